//! Ejection and readmission. The cases are in `cases/health.json`.

mod common;

use std::time::Duration;

use common::{HOSTS, Run, Step};
use dotterelhinge_policy::health::Outcome;
use googletest::prelude::*;
use serde::Deserialize;

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

/// Each case names the failure that it guards against.
#[googletest::test]
fn cases() {
    let cases: Vec<Case> = serde_json::from_str(include_str!("cases/health.json")).unwrap();
    for case in cases {
        let mut run = Run::new(&case.upstreams, 3, case.floor);
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
    let mut run = Run::new(&["u0", "u1", "u2"].map(str::to_owned), 3, 1);
    run.pass(3000);
    let hold = |run: &mut Run| {
        (0..20).for_each(|n| run.observe((0, 0), HOSTS[n % 2], Outcome::Failed, 0));
        expect_that!(run.changes().last(), some(starts_with("UpstreamEjected")));
        let began = run.now;
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
        expect_that!(run.health.healthy_count(), eq(3));
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
    let mut run = Run::new(&names, 3, 8);
    serve(&mut run, 20, [40; 8]);
    serve(&mut run, 60, slow);
    expect_that!(run.health.slow_after(0).as_millis(), le(150));

    let mut run = Run::new(&names, 3, 5);
    serve(&mut run, 20, [40; 8]);
    expect_that!(run.changes(), is_empty());
    serve(&mut run, 4, slow);
    expect_that!(
        run.changes(),
        contains(starts_with("UpstreamEjected { upstream: 2"))
    );
    expect_that!(run.health.slow_after(0).as_millis(), le(150));
    serve(&mut run, 60, [400; 8]);
    expect_that!(run.changes(), not(contains(starts_with("Ejected"))));
    expect_that!(run.health.slow_after(0).as_millis(), ge(1000));
    expect_that!(run.health.healthy_count(), eq(8));
}
