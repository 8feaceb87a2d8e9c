//! Steps of the health tests, and the service that they run on.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{
    contract,
    health::{Change, Health, Observation, Outcome, View},
};
use googletest::prelude::*;
use serde::Deserialize;

pub(crate) const HOSTS: [&str; 2] = ["a", "b"];

/// Step of a case. A change is given by its debug output up to the evidence.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Step {
    /// Reports outcomes: the upstreams, the class, the outcomes and hosts to be used
    /// in turn, and the number of rounds of 10 ms.
    Send(Vec<usize>, usize, Vec<Outcome>, Vec<String>, usize),
    /// Reports one outcome: the upstream, the class, the outcome and the duration
    /// of the attempt in ms.
    Late(usize, usize, Outcome, u64),
    PassMs(u64),
    /// Expects these changes since the last such step.
    Changes(Vec<String>),
    /// Expects the numbers of slots, given as upstream, class and slots.
    Slots(Vec<(usize, usize, u32)>),
    Healthy(usize),
    Leave(usize),
    Return(usize),
    /// Changes the configuration to these upstreams, where `!` marks a leaving one,
    /// and this floor.
    Configure(Vec<String>, usize),
    /// Starts a new coordinator that adopts the view of the last one.
    Restart,
}

/// Health of a service under test.
pub(crate) struct Fixture {
    pub(crate) now: Instant,
    pub(crate) health: Health,
    pub(crate) upstreams: Vec<String>,
    pub(crate) floor: usize,
    pub(crate) changes: Vec<Change>,
    slots: u32,
}

impl Fixture {
    pub(crate) fn new(upstreams: &[String], slots: u32, floor: usize) -> Self {
        let (service, classes) = contract(upstreams, slots, floor);
        let now = Instant::now();
        Self {
            now,
            health: Health::new(service, classes, &View::default(), now),
            upstreams: upstreams.to_vec(),
            floor,
            changes: Vec::new(),
            slots,
        }
    }

    /// Returns the debug output of the changes since the last call, up to the
    /// evidence.
    pub(crate) fn changes(&mut self) -> Vec<String> {
        let text = self.changes.drain(..).map(|change| format!("{change:?}"));
        text.map(|text| text.split(", evidence").take(1).collect())
            .collect()
    }

    /// Reports one outcome of an attempt that took `ms` milliseconds.
    pub(crate) fn observe(
        &mut self,
        (upstream, class): (usize, usize),
        host: &str,
        outcome: Outcome,
        ms: u64,
    ) {
        let observation = Observation {
            upstream,
            class,
            host: Arc::from(host),
            outcome,
            elapsed: Duration::from_millis(ms),
        };
        self.changes
            .extend(self.health.observe(self.now, &observation));
    }

    /// Advances the time by `ms` milliseconds, with a tick every 100 ms.
    pub(crate) fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.now += Duration::from_millis(100);
            self.changes.extend(self.health.tick(self.now));
        }
    }

    pub(crate) fn apply(&mut self, step: Step, place: &str) {
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
                expect_that!(self.changes(), eq(&expected), "{place}");
            }
            Step::Slots(expected) => {
                let slots = |(upstream, class, _)| self.health.slots(self.now, upstream, class);
                let found: Vec<_> = expected.iter().map(|&e| (e.0, e.1, slots(e))).collect();
                expect_that!(found, eq(&expected), "{place}");
            }
            Step::Healthy(count) => {
                expect_that!(self.health.healthy_count(), eq(count), "{place}")
            }
            Step::Leave(upstream) => self.changes.extend(self.health.mark_leaving(upstream)),
            Step::Return(upstream) => self.health.mark_returned(self.now, upstream),
            Step::Configure(upstreams, floor) => {
                let (service, classes) = contract(&upstreams, self.slots, floor);
                (self.upstreams, self.floor) = (upstreams, floor);
                self.changes
                    .extend(self.health.configure(self.now, service, classes));
            }
            Step::Restart => {
                let (service, classes) = contract(&self.upstreams, self.slots, self.floor);
                self.health = Health::new(service, classes, &self.health.view(), self.now);
            }
        }
    }
}

/// Returns the configuration of a service with three classes, of which the first is
/// repeatable.
fn contract(
    upstreams: &[String],
    slots: u32,
    floor: usize,
) -> (Arc<contract::Service>, Arc<[contract::Class]>) {
    let upstreams = upstreams.iter().map(|name| contract::Upstream {
        name: Arc::from(name.trim_end_matches('!')),
        address: ([127, 0, 0, 1], 80).into(),
        availability_zone: Arc::from("alajuela"),
        slots,
        connections: 350,
        leaving: name.ends_with('!'),
    });
    let service = contract::Service {
        floor,
        cold_start: Duration::from_secs(3),
        upstreams: upstreams.collect(),
        ..contract::Service::default()
    };
    let classes = ["lookup", "order", "confirm"].map(|name| contract::Class {
        name: Arc::from(name),
        repeatable: name == "lookup",
        ..contract::Class::default()
    });
    (Arc::new(service), Arc::from(classes))
}
