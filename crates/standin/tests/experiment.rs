//! Figures and tables of experiments.

use std::time::Duration;

use dotterelhinge_standin::{
    backend::record::{Entry, State},
    caller::{
        judge::Outcome,
        result::{Request, Results},
    },
    experiment::{
        bound,
        figures::{Class, Run},
        load, measure, scenario, table, usage,
    },
};
use googletest::prelude::*;
use serde_json::json;

/// Beginnings every 20 ms from 0 until `end`.
fn steady(end: u32) -> Vec<f64> {
    (0..end / 20).map(|n| f64::from(n) * 20.0).collect()
}

/// Guards against a detection time that counts readmission trials or misses
/// the last request.
#[googletest::test]
fn detection_ends_with_the_last_request_before_the_quiet_time() {
    let mut begins = steady(3000);
    begins.extend([8000.0, 8001.0]);
    let found = measure::detection(&begins, 1000.0, 50.0, 10_000.0);
    // From 2840 ms on, fewer than 10 requests follow within 2 s.
    expect_that!(found.detected, eq(true));
    expect_that!(found.seconds, near(1.8, 0.03));
}

/// Guards against a server that is never avoided counting as detected because
/// the run ended.
#[googletest::test]
fn detection_without_quiet_time_lasts_to_the_end() {
    let found = measure::detection(&steady(10_000), 1000.0, 50.0, 10_000.0);
    expect_that!(
        found,
        eq(measure::Detection {
            seconds: 9.0,
            detected: false
        })
    );
}

/// Guards against a server avoided from the first moment counting as not
/// detected.
#[googletest::test]
fn detection_without_requests_takes_no_time() {
    let found = measure::detection(&[10.0, 20.0], 1000.0, 50.0, 10_000.0);
    expect_that!(
        found,
        eq(measure::Detection {
            seconds: 0.0,
            detected: true
        })
    );
}

/// Guards against swapped weights.
#[googletest::test]
fn cost_weighs_ejections_and_seconds() {
    expect_that!(measure::cost(2.0, 60.0, 3.0, 4.0), near(132.0, 1e-9));
}

/// Guards against a wrong queue formula, by textbook values: M/M/1 waits with
/// probability load; Erlang C of 2 servers at 0.5 is 1/3.
#[googletest::test]
fn ideal_queue_has_known_values() {
    expect_that!(measure::waiting_share(1, 0.8), near(0.8, 1e-9));
    expect_that!(measure::waiting_share(2, 0.5), near(1.0 / 3.0, 1e-9));
    let second = Duration::from_secs(1);
    let wait = measure::ideal_wait(1, 0.8, second, 0.99);
    expect_that!(wait.as_secs_f64(), near(80_f64.ln() / 0.2, 1e-6));
    // The p99 wait of the design page for 30 and 8 upstreams with 3 slots.
    let wait = measure::ideal_wait(90, 0.8, second, 0.99);
    expect_that!(wait.as_secs_f64(), near(0.06, 0.02));
    let wait = measure::ideal_wait(24, 0.8, second, 0.99);
    expect_that!(wait.as_secs_f64(), near(0.66, 0.05));
    expect_that!(
        measure::ideal_wait(24, 0.1, second, 0.5),
        eq(Duration::ZERO)
    );
}

/// Guards against quantiles off by one rank.
#[googletest::test]
fn quantile_takes_the_nearest_rank() {
    let values: Vec<f64> = (1..=100).map(f64::from).collect();
    expect_that!(measure::quantile(&values, 0.99), some(eq(99.0)));
    expect_that!(measure::quantile(&values, 0.0), some(eq(1.0)));
    expect_that!(measure::quantile(&[], 0.5), none());
    expect_that!(measure::median(&mut [3.0, 1.0, 2.0]), some(eq(2.0)));
}

fn entry(number: u64, id: &str, start_ms: f64, end_ms: f64) -> Entry {
    Entry {
        number,
        id: Some(id.to_owned()),
        key: None,
        class: "lookup".to_owned(),
        server: 0,
        start_ms,
        end_ms: Some(end_ms),
        state: State::Finished,
    }
}

/// Guards against an added latency that hides the time of earlier attempts.
#[googletest::test]
fn added_latency_leaves_out_only_the_last_attempt() {
    let record = [entry(1, "a", 0.0, 10.0), entry(2, "a", 12.0, 20.0)];
    let results = Results {
        requests: vec![Request {
            id: "a".to_owned(),
            kind: "lookup".to_owned(),
            outcome: Outcome::Whole,
            detail: String::new(),
            key: None,
            server: None,
            at_ms: 0.0,
            micros: 21_000,
        }],
        ..Default::default()
    };
    let added = measure::added(&record, &results);
    expect_that!(added["lookup"], elements_are![near(13.0, 1e-9)]);
    expect_that!(measure::repeated(&record).get("lookup"), some(eq(&1)));
}

/// Guards against requests that no route of the text takes, or orders that the
/// load calls repeatable.
#[googletest::test]
fn kinds_follow_the_text() {
    let text = json!({
        "classes": [
            {"name": "lookup", "repeatable": true, "deadline_ms": 1000},
            {"name": "order", "repeatable": false, "deadline_ms": 1000},
            {"name": "scan", "repeatable": true, "upload": true, "deadline_ms": 1000},
        ],
        "routes": [
            {"path_prefix": "/a", "methods": ["GET"], "service": "desk", "class": "lookup"},
            {"path_prefix": "/b", "methods": ["POST"], "service": "desk", "class": "order"},
            {"path_prefix": "/c", "methods": ["PUT"], "service": "intake", "class": "scan"},
        ],
    });
    let desk = load::kinds(&text, "desk", 7);
    let seen: Vec<_> = desk
        .iter()
        .map(|kind| (kind.method.as_str(), kind.path.as_str(), kind.repeatable))
        .collect();
    expect_that!(
        seen,
        elements_are![eq(&("GET", "/a/1", true)), eq(&("POST", "/b/1", false))]
    );
    expect_that!(load::kinds(&text, "intake", 7)[0].body_bytes, eq(7));
}

/// Guards against columns that do not line up.
#[googletest::test]
fn table_pads_cells() {
    let rows = [vec!["lookup".to_owned(), table::number(Some(1.25), 1)]];
    let text = table::format(&["class", "ms"], &rows);
    expect_that!(
        text,
        eq("| class  |  ms |\n| ------ | --: |\n| lookup | 1.2 |\n")
    );
    expect_that!(table::number(None, 1), eq("-"));
}

/// Guards against program names that shift the fields of `/proc/<pid>/stat`.
#[googletest::test]
fn processor_time_follows_the_program_name() {
    let stat = "7 (a (b) c) S 1 7 7 0 -1 4194560 100 0 0 0 250 50 0 0 20 0 1 0 100";
    expect_that!(usage::ticks(stat), some(eq(300)));
    expect_that!(usage::ticks("7 (a"), none());
}

fn run_of(policy: &str, cost: f64, added_p99_ms: f64) -> Run {
    let class = Class {
        cost,
        added_p99_ms: Some(added_p99_ms),
        ..Class::default()
    };
    Run {
        deployment: "works".to_owned(),
        policy: policy.to_owned(),
        attempts_per_request: 1.1,
        classes: [("lookup".to_owned(), class)].into(),
        ..Run::default()
    }
}

fn verdicts(scenario: &str, runs: &[Run]) -> Vec<(String, bool)> {
    let all = scenario::all();
    let scenario = all.iter().find(|s| s.name == scenario).expect("a scenario");
    let queues = [("lookup".to_owned(), 90, Duration::from_millis(30))];
    bound::of(scenario, "works", runs, &queues)
        .into_iter()
        .map(|bound| (bound.name.clone(), bound.is_kept()))
        .collect()
}

/// Guards against bounds that pass although the target is missed.
#[googletest::test]
fn bounds_compare_the_fleet_with_the_targets() {
    let runs = [run_of("fleet", 6.0, 8.0), run_of("baseline", 10.0, 1.0)];
    let found: Vec<_> = verdicts("load-80", &runs);
    let expected = [
        ("attempts/requests".to_owned(), true),
        ("added p99 ms lookup".to_owned(), false),
        ("weighted cost".to_owned(), true),
    ];
    expect_that!(found.as_slice(), eq(&expected[..]));
    let found: Vec<_> = verdicts("fail-all", &runs);
    let expected = [
        ("attempts/requests".to_owned(), true),
        ("weighted cost".to_owned(), false),
    ];
    expect_that!(found.as_slice(), eq(&expected[..]));
    // Without figures of the fleet nothing passes.
    let kept: Vec<_> = verdicts("leaving", &runs[1..])
        .into_iter()
        .filter(|(_, kept)| *kept)
        .collect();
    expect_that!(kept, is_empty());
}
