//! Faults as rules over time, without a process.

use std::time::{Duration, Instant};

use dotterelhinge_standin::backend::fault::{Fault, Plan, Rules};
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;

const SERVICE: Duration = Duration::from_millis(30);

fn fault(value: serde_json::Value) -> Fault {
    serde_json::from_value(value).expect("fault")
}

fn plan(rules: &Rules, path: &str, now: Instant) -> Plan {
    rules.plan(path, "lookup", SERVICE, now, &mut StdRng::seed_from_u64(1))
}

/// Guards against flapping that drifts or starts with the wrong turn.
#[gtest]
fn flapping_alternates_by_period() {
    let start = Instant::now();
    let mut rules = Rules::default();
    let flap = json!({"kind": "flap", "period_ms": 100, "fault": {"kind": "shed"}});
    rules.set(None, fault(flap), start);
    for (ms, shed) in [
        (0, true),
        (99, true),
        (100, false),
        (199, false),
        (200, true),
    ] {
        let at = start + Duration::from_millis(ms);
        expect_that!(plan(&rules, "/a", at).is_shed, eq(shed), "at {ms} ms");
    }
}

/// Guards against a cold start without an end.
#[gtest]
fn cold_start_ends() {
    let start = Instant::now();
    let mut rules = Rules::default();
    rules.set(
        None,
        fault(json!({"kind": "cold", "for_ms": 500, "factor": 4.0})),
        start,
    );
    for (ms, service) in [(0, SERVICE * 4), (499, SERVICE * 4), (500, SERVICE)] {
        let at = start + Duration::from_millis(ms);
        expect_that!(
            plan(&rules, "/a", at).service_time,
            eq(service),
            "at {ms} ms"
        );
    }
}

/// Guards against repeated calls that pile up, and `clear` that removes too much.
#[gtest]
fn setting_replaces_and_clear_removes_by_class() {
    let start = Instant::now();
    let mut rules = Rules::default();
    let slow = |factor: f64| fault(json!({"kind": "slow", "factor": factor}));
    rules.set(None, slow(10.0), start);
    rules.set(None, slow(2.0), start);
    rules.set(Some("/a".to_owned()), fault(json!({"kind": "shed"})), start);
    expect_that!(plan(&rules, "/a", start).service_time, eq(SERVICE * 2));
    rules.set(Some("/a".to_owned()), Fault::Clear {}, start);
    expect_that!(plan(&rules, "/a", start).is_shed, eq(false));
    expect_that!(plan(&rules, "/a", start).service_time, eq(SERVICE * 2));
    rules.set(None, Fault::Clear {}, start);
    expect_that!(plan(&rules, "/a", start).service_time, eq(SERVICE));
}

/// Guards against calls that are accepted and do nothing.
#[gtest]
fn meaningless_faults_are_rejected() {
    for value in [
        json!({"kind": "slow"}),
        json!({"kind": "fail", "share": 1.5}),
        json!({"kind": "flap", "period_ms": 0, "fault": {"kind": "fail"}}),
        json!({"kind": "flap", "period_ms": 5, "fault": {"kind": "clear"}}),
        json!({"kind": "flap", "period_ms": 5, "fault": {"kind": "cut", "share": -1.0}}),
        json!({"kind": "cold", "for_ms": 5, "factor": -2.0}),
    ] {
        expect_that!(
            fault(value.clone()).validate().is_err(),
            eq(true),
            "{value}"
        );
    }
    let unknown = json!({"kind": "fail", "percent": 3});
    expect_that!(serde_json::from_value::<Fault>(unknown).is_err(), eq(true));
}
