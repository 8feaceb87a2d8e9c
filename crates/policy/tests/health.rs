//! Tests of ejection and readmission.

mod common;

use std::time::Duration;

use common::{Fixture, HOSTS, Step};
use dotterelhinge_policy::health::Outcome;
use googletest::prelude::*;
use serde::Deserialize;

#[derive(Deserialize)]
struct Case {
    name: String,
    guards: String,
    upstreams: Vec<String>,
    floor: usize,
    /// Classes for which all upstreams report good outcomes before the steps.
    active: Vec<usize>,
    steps: Vec<Step>,
}

/// Runs the cases in `cases/health.json`. Each names the failure that it guards
/// against.
#[googletest::test]
fn cases() {
    let cases: Vec<Case> = serde_json::from_str(include_str!("cases/health.json")).unwrap();
    for case in cases {
        let mut fixture = Fixture::new(&case.upstreams, 3, case.floor);
        let (all, hosts) = (
            (0..case.upstreams.len()).collect::<Vec<_>>(),
            HOSTS.map(str::to_owned),
        );
        for class in case.active {
            fixture.apply(
                Step::Send(all.clone(), class, vec![Outcome::Good], hosts.to_vec(), 20),
                "",
            );
        }
        for (index, step) in case.steps.into_iter().enumerate() {
            fixture.apply(
                step,
                &format!("{} ({}), step {index}", case.name, case.guards),
            );
        }
    }
}

/// Guards against a flapping upstream that is readmitted again and again: each
/// ejection lasts twice as long as the one before, up to 5 min, and 5 s again
/// after 10 min without an ejection.
#[googletest::test]
fn ejections_of_a_flapping_upstream_get_longer() {
    let mut fixture = Fixture::new(&["u0", "u1", "u2"].map(str::to_owned), 3, 1);
    fixture.pass(3000);
    let ejection_secs = |fixture: &mut Fixture| {
        (0..20).for_each(|n| fixture.observe((0, 0), HOSTS[n % 2], Outcome::Failed, 0));
        expect_that!(
            fixture.changes().last(),
            some(starts_with("UpstreamEjected"))
        );
        let began = fixture.now;
        while fixture.changes.is_empty() && fixture.now < began + Duration::from_secs(400) {
            fixture.pass(100);
        }
        (fixture.now - began).as_secs()
    };
    // After the first ejection, the next three follow a failed trial, and the
    // others follow a recovery.
    for expected in [5, 10, 20, 40] {
        expect_that!(ejection_secs(&mut fixture), eq(expected));
    }
    for (healthy_ms, expected) in [
        (10_000, 80),
        (10_000, 160),
        (10_000, 300),
        (10_000, 300),
        (600_000, 5),
    ] {
        (0..10).for_each(|_| fixture.observe((0, 0), HOSTS[0], Outcome::Good, 0));
        fixture.pass(healthy_ms);
        expect_that!(fixture.health.healthy_count(), eq(3));
        expect_that!(ejection_secs(&mut fixture), eq(expected));
    }
}

/// Guards against a latency limit that one slow upstream of 8 raises until it no
/// longer counts as slow, and against one that stays the same when all upstreams
/// become slower, so that the floor would prevent ejections indefinitely.
#[googletest::test]
fn slow_upstream_is_ejected_but_a_slow_service_is_not() {
    let names: Vec<String> = (0..8).map(|n| format!("u{n}")).collect();
    // Latencies vary by a tenth. An attempt that exceeds the limit is overdue.
    let serve = |fixture: &mut Fixture, seconds: usize, latency: [u64; 8]| {
        fixture.changes.clear();
        for round in 0..seconds * 10 {
            fixture.pass(100);
            for (upstream, latency) in latency.into_iter().enumerate() {
                let limit = fixture.health.slow_after(0).as_millis() as u64;
                let elapsed = latency * (95 + round as u64 % 11) / 100;
                let outcome = if elapsed > limit {
                    Outcome::Overdue
                } else {
                    Outcome::Good
                };
                fixture.observe((upstream, 0), HOSTS[round % 2], outcome, elapsed.min(limit));
            }
        }
    };
    let slow = [40, 40, 400, 40, 40, 40, 40, 40];
    // The floor keeps the slow upstream in service.
    let mut fixture = Fixture::new(&names, 3, 8);
    serve(&mut fixture, 20, [40; 8]);
    serve(&mut fixture, 60, slow);
    expect_that!(fixture.health.slow_after(0).as_millis(), le(150));

    let mut fixture = Fixture::new(&names, 3, 5);
    serve(&mut fixture, 20, [40; 8]);
    expect_that!(fixture.changes(), is_empty());
    serve(&mut fixture, 4, slow);
    expect_that!(
        fixture.changes(),
        contains(starts_with("UpstreamEjected { upstream: 2"))
    );
    expect_that!(fixture.health.slow_after(0).as_millis(), le(150));
    serve(&mut fixture, 60, [400; 8]);
    expect_that!(fixture.changes(), not(contains(starts_with("Ejected"))));
    expect_that!(fixture.health.slow_after(0).as_millis(), ge(1000));
    expect_that!(fixture.health.healthy_count(), eq(8));
}
