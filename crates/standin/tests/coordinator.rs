//! The loss of a coordinator, and the limit on attempts.

use std::time::Duration;

use dotterelhinge_standin::{caller::result::Results, fleet};
use googletest::prelude::*;
use serde_json::json;

const RATE: f64 = 150.0;
const BEFORE: u64 = 300;
const DURING: u64 = 600;

fn expect_sound(fleet: &fleet::Fleet, results: &Results) {
    expect_that!(fleet.findings(results), is_empty());
    for kind in results.kinds.values() {
        expect_that!(kind.wrong.len(), eq(0), "{:?}", kind.wrong);
    }
}

/// Guards against requests that fail, run twice or are told not to have run
/// because the coordinator of their service died.
#[googletest::test]
fn requests_go_on_without_a_killed_coordinator() {
    let _guard = fleet::serialize_tests();
    let mut fleet = fleet::Fleet::start(&fleet::Options::default());
    let coordinator = fleet.coordinator().expect("one daemon coordinates");
    let others: Vec<usize> = (0..3).filter(|n| *n != coordinator).collect();
    let load = fleet.load_at(&others, fleet::mix(), RATE, Duration::from_secs(60));
    fleet.wait_for_requests(BEFORE);
    let process = fleet.daemons[coordinator].process.take();
    process.expect("the daemon runs").kill();
    fleet.wait_for_requests(DURING);
    fleet.wait("another daemon coordinates", |fleet| {
        fleet.coordinator().is_some()
    });
    fleet.wait_for_requests(BEFORE);
    let results = load.finish();
    expect_sound(&fleet, &results);
    expect_that!(fleet.counter("fallbacks"), gt(0));
    for (name, kind) in &results.kinds {
        expect_that!(kind.whole, eq(kind.sent), "{name} {:?}", kind.failed);
    }
}

/// Guards against requests that wait for a coordinator that does not answer,
/// and against harm by its late answers.
#[googletest::test]
fn requests_go_on_without_a_frozen_coordinator() {
    let _guard = fleet::serialize_tests();
    let fleet = fleet::Fleet::start(&fleet::Options::default());
    let coordinator = fleet.coordinator().expect("one daemon coordinates");
    let others: Vec<usize> = (0..3).filter(|n| *n != coordinator).collect();
    let load = fleet.load_at(&others, fleet::mix(), RATE, Duration::from_secs(60));
    fleet.wait_for_requests(BEFORE);
    let process = fleet.daemons[coordinator].process.as_ref();
    let process = process.expect("the daemon runs");
    process.suspend().expect("the daemon can be stopped");
    // The frozen daemon's own counter is missing from this sum until it runs
    // again, and callers do not use it.
    let served = |fleet: &fleet::Fleet| -> u64 {
        let requests = |n: &usize| {
            let status = fleet.daemons[*n].admin("/status");
            status["counters"]["requests"].as_u64().unwrap_or(0)
        };
        others.iter().map(requests).sum()
    };
    let before = served(&fleet);
    fleet.wait("requests arrive", |fleet| served(fleet) >= before + DURING);
    process.resume().expect("the daemon can be continued");
    fleet.wait_for_requests(BEFORE);
    let results = load.finish();
    expect_sound(&fleet, &results);
    expect_that!(fleet.counter("fallbacks"), gt(0));
    for (name, kind) in &results.kinds {
        expect_that!(kind.whole, eq(kind.sent), "{name} {:?}", kind.failed);
    }
}

/// Guards against retries that multiply the load when everything fails.
#[googletest::test]
fn attempts_stay_within_the_budget_when_everything_fails() {
    let _guard = fleet::serialize_tests();
    let fleet = fleet::Fleet::start(&fleet::Options::default());
    fleet.set_fault(&[0, 1, 2, 3], json!({"kind": "fail"}));
    let load = fleet.load(fleet::mix(), RATE, Duration::from_secs(60));
    fleet.wait_for_requests(1500);
    let results = load.finish();
    expect_sound(&fleet, &results);
    let (attempts, requests) = (fleet.counter("attempts"), fleet.counter("requests"));
    expect_that!(attempts * 10, le(requests * 12), "{attempts} {requests}");
    expect_that!(attempts, gt(requests), "no request was retried");
}
