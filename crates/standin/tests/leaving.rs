//! Requirement R5: a backend server that is leaving receives no new work
//! after 3 s.

use std::time::Duration;

use dotterelhinge_standin::fleet;
use googletest::prelude::*;
use serde_json::json;

/// Longest time after the sign in which requests may begin, in milliseconds.
const LIMIT_MS: f64 = 3000.0;

/// Requests that arrive after the limit, so that the server would be chosen.
const AFTER: u64 = 200;

/// Gives server 1 a sign of leaving under load and returns no earlier than
/// requests had the chance to begin on it after the limit.
fn no_new_work(sign: impl Fn(&fleet::Fleet) -> f64) {
    let _guard = fleet::serialize_tests();
    let fleet = fleet::Fleet::start(&fleet::Options::default());
    let load = fleet.load(fleet::mix(), 100.0, Duration::from_secs(60));
    fleet.wait("the server has work", |fleet| {
        fleet.entries().iter().any(|entry| entry.server == 1)
    });
    let at_ms = sign(&fleet);
    fleet.wait("the limit has passed", |fleet| {
        fleet.record_time_ms() > at_ms + LIMIT_MS
    });
    fleet.wait_for_requests(AFTER);
    let results = load.finish();
    let record = fleet.completed_record();
    let late = record
        .iter()
        .filter(|entry| entry.start_ms > at_ms + LIMIT_MS);
    let (gone, others): (Vec<_>, Vec<_>) = late.partition(|entry| entry.server == 1);
    expect_that!(gone, is_empty());
    expect_that!(others.len(), ge(AFTER as usize / 2));
    expect_that!(fleet.findings(&results), is_empty());
    for (name, kind) in &results.kinds {
        expect_that!(kind.whole, eq(kind.sent), "{name} {:?}", kind.failed);
    }
}

/// Guards against a sign in an answer that only some daemons learn of.
#[googletest::test]
fn a_drain_sign_is_followed() {
    no_new_work(|fleet| fleet.set_class_fault(None, &[1], json!({"kind": "drain"})));
}

/// Guards against a drain sign that needs the store to be spread.
#[googletest::test]
fn a_drain_sign_is_followed_without_the_store() {
    no_new_work(|fleet| {
        fleet.control_platform(&json!({"down": true}));
        fleet.set_class_fault(None, &[1], json!({"kind": "drain"}))
    });
}

/// Guards against an edit that is in force and not followed.
#[googletest::test]
fn an_edit_is_followed() {
    no_new_work(|fleet| {
        let mut text = fleet.document.clone();
        text["services"][0]["upstreams"][1]["leaving"] = json!(true);
        let (code, output) = fleet.apply_document(&text, 1, "operator");
        expect_that!(code, eq(0), "{output}");
        fleet.record_time_ms()
    });
}

/// Guards against a host list that is read by too few daemons, or too rarely.
#[googletest::test]
fn the_host_list_is_followed() {
    no_new_work(|fleet| {
        let address = &fleet.document["services"][0]["upstreams"][1]["address"];
        let host = json!({"name": "desk-1", "address": address, "state": "leaving"});
        fleet.control_platform(&json!({"hosts": [host]}));
        fleet.record_time_ms()
    });
}
