//! Ejection and readmission. The cases are in `cases/health.json`.

mod common;

use std::time::{Duration, Instant};

use dotterelhinge_policy::health::{Change, Health, Outcome, View};
use googletest::prelude::*;
use serde::Deserialize;

const CLASSES: [&str; 2] = ["lookup", "order"];

const HOSTS: [&str; 2] = ["a", "b"];

#[derive(Deserialize)]
struct Case {
    name: String,
    guards: String,
    upstreams: Vec<String>,
    floor: usize,
    /// Classes of which all upstreams have good outcomes before the steps.
    active: Vec<usize>,
    steps: Vec<Step>,
}

/// Step of a case. A change is given as its debug format up to the evidence.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Step {
    /// Upstreams, class, outcomes and hosts in turn, and rounds of 10 ms.
    Send(Vec<usize>, usize, Vec<Outcome>, Vec<String>, usize),
    /// Outcomes of one upstream and class whose attempts took so many ms.
    Late(usize, usize, Outcome, u64),
    PassMs(u64),
    /// All changes since the last such step.
    Changes(Vec<String>),
    /// Upstream, class and slots.
    Slots(Vec<(usize, usize, u32)>),
    Healthy(usize),
    Leave(usize),
    Return(usize),
    Configure(Vec<String>),
    /// A new coordinator adopts the view.
    Restart,
}

struct Run {
    now: Instant,
    health: Health,
    upstreams: Vec<String>,
    floor: usize,
    changes: Vec<String>,
}

impl Run {
    fn new(upstreams: &[String], floor: usize) -> Self {
        let (service, classes) = common::terms(upstreams, &CLASSES, 3, floor);
        let now = Instant::now();
        Self {
            now,
            health: Health::new(service, classes, &View::default(), now),
            upstreams: upstreams.to_vec(),
            floor,
            changes: Vec::new(),
        }
    }

    fn note(&mut self, changes: &[Change]) {
        let text = changes.iter().map(|change| format!("{change:?}"));
        let short = text.map(|text| {
            text.split(", evidence")
                .next()
                .unwrap_or_default()
                .to_owned()
        });
        self.changes.extend(short);
    }

    fn observe(&mut self, place: (usize, usize), host: &str, outcome: Outcome, ms: u64) {
        let changes = common::observe(&mut self.health, self.now, place, host, outcome, ms);
        self.note(&changes);
    }

    /// Passes time with a tick every 100 ms.
    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.now += Duration::from_millis(100);
            let changes = self.health.tick(self.now);
            self.note(&changes);
        }
    }

    fn apply(&mut self, step: Step, place: &str) {
        match step {
            Step::Send(to, class, outcomes, from, rounds) => {
                for round in 0..rounds {
                    let (host, outcome) =
                        (&from[round % from.len()], outcomes[round % outcomes.len()]);
                    for &upstream in &to {
                        self.observe((upstream, class), host, outcome, 0);
                    }
                    self.now += Duration::from_millis(10);
                }
            }
            Step::Late(upstream, class, outcome, ms) => {
                self.observe((upstream, class), HOSTS[0], outcome, ms)
            }
            Step::PassMs(ms) => self.pass(ms),
            Step::Changes(expected) => {
                expect_that!(std::mem::take(&mut self.changes), eq(&expected), "{place}");
            }
            Step::Slots(expected) => {
                let slots = |(upstream, class, _)| self.health.slots(self.now, upstream, class);
                let found: Vec<_> = expected.iter().map(|&e| (e.0, e.1, slots(e))).collect();
                expect_that!(found, eq(&expected), "{place}");
            }
            Step::Healthy(count) => expect_that!(self.health.healthy(), eq(count), "{place}"),
            Step::Leave(upstream) => {
                let changes = self.health.mark_leaving(upstream);
                self.note(&changes);
            }
            Step::Return(upstream) => self.health.mark_returned(self.now, upstream),
            Step::Configure(upstreams) => {
                let (service, classes) = common::terms(&upstreams, &CLASSES, 3, self.floor);
                self.upstreams = upstreams;
                let changes = self.health.configure(self.now, service, classes);
                self.note(&changes);
            }
            Step::Restart => {
                let (service, classes) = common::terms(&self.upstreams, &CLASSES, 3, self.floor);
                self.health = Health::new(service, classes, &self.health.view(), self.now);
            }
        }
    }
}

/// Each case names the failure that it guards against.
#[googletest::test]
fn cases() {
    let cases: Vec<Case> = serde_json::from_str(include_str!("cases/health.json")).unwrap();
    for case in cases {
        let mut run = Run::new(&case.upstreams, case.floor);
        let (all, hosts) = (
            (0..case.upstreams.len()).collect::<Vec<_>>(),
            HOSTS.map(str::to_owned),
        );
        for class in case.active {
            run.apply(
                Step::Send(all.clone(), class, vec![Outcome::Good], hosts.to_vec(), 20),
                "",
            );
        }
        for (index, step) in case.steps.into_iter().enumerate() {
            run.apply(
                step,
                &format!("{} ({}), step {index}", case.name, case.guards),
            );
        }
    }
}

/// Guards against a flapping upstream that keeps coming back: each hold is twice
/// the one before, up to 5 min, and 5 s again after 10 min of health.
#[googletest::test]
fn holds_of_a_flapping_upstream_grow() {
    let mut run = Run::new(&["u0", "u1", "u2"].map(str::to_owned), 1);
    run.pass(3000);
    let hold = |run: &mut Run| {
        (0..20).for_each(|n| run.observe((0, 0), HOSTS[n % 2], Outcome::Failed, 0));
        expect_that!(run.changes.last(), some(starts_with("UpstreamEjected")));
        let began = run.now;
        run.changes.clear();
        while run.changes.is_empty() && run.now < began + Duration::from_secs(400) {
            run.pass(100);
        }
        (run.now - began).as_secs()
    };
    // The first four are ejected from the trial, the others after a recovery.
    for expected in [5, 10, 20, 40] {
        expect_that!(hold(&mut run), eq(expected));
    }
    for (healthy_ms, expected) in [
        (10_000, 80),
        (10_000, 160),
        (10_000, 300),
        (10_000, 300),
        (600_000, 5),
    ] {
        (0..10).for_each(|_| run.observe((0, 0), HOSTS[0], Outcome::Good, 0));
        run.pass(healthy_ms);
        expect_that!(run.health.healthy(), eq(3));
        expect_that!(hold(&mut run), eq(expected));
    }
}

/// Guards against a slow limit that one slow upstream of 8 raises until it no
/// longer looks slow, and against one that stays when all become slower, which
/// would hold the floor for ever.
#[googletest::test]
fn slow_upstream_is_ejected_and_a_slow_service_is_not() {
    let names: Vec<String> = (0..8).map(|n| format!("u{n}")).collect();
    // Latencies vary by a tenth; an attempt that passes the limit is overdue.
    let serve = |run: &mut Run, seconds: usize, latency: [u64; 8]| {
        run.changes.clear();
        for round in 0..seconds * 10 {
            run.pass(100);
            for (upstream, latency) in latency.into_iter().enumerate() {
                let limit = run.health.slow_after(0).as_millis() as u64;
                let elapsed = latency * (95 + round as u64 % 11) / 100;
                let outcome = if elapsed > limit {
                    Outcome::Overdue
                } else {
                    Outcome::Good
                };
                run.observe((upstream, 0), HOSTS[round % 2], outcome, elapsed.min(limit));
            }
        }
    };
    let slow = [40, 40, 400, 40, 40, 40, 40, 40];
    // The floor keeps the slow upstream in service.
    let mut run = Run::new(&names, 8);
    serve(&mut run, 20, [40; 8]);
    serve(&mut run, 60, slow);
    expect_that!(run.health.slow_after(0).as_millis(), le(150));

    let mut run = Run::new(&names, 5);
    serve(&mut run, 20, [40; 8]);
    expect_that!(run.changes, is_empty());
    serve(&mut run, 4, slow);
    expect_that!(
        run.changes,
        contains(starts_with("UpstreamEjected { upstream: 2"))
    );
    expect_that!(run.health.slow_after(0).as_millis(), le(150));
    serve(&mut run, 60, [400; 8]);
    expect_that!(run.changes, not(contains(starts_with("Ejected"))));
    expect_that!(run.health.slow_after(0).as_millis(), ge(1000));
    expect_that!(run.health.healthy(), eq(8));
}
