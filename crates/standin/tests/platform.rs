//! The platform stand-in as a process.

use std::time::{Duration, Instant};

use dotterelhinge_standin::client;
use dotterelhinge_standin::platform::{limit, state};
use dotterelhinge_standin::process::Process;
use googletest::prelude::*;
use serde_json::{Value, json};

fn platform() -> Process {
    Process::start("standin-platform", &["--listen", "127.0.0.1:0"]).expect("platform starts")
}

fn control(platform: &Process, body: Value) {
    let answer = client::post(platform.listening(), "/control", &body).expect("control answers");
    assert_eq!(answer.status, 204, "{body}");
}

fn transact(platform: &Process, body: Value) -> (u16, Value) {
    let answer =
        client::post(platform.listening(), "/v1/table/transact", &body).expect("store answers");
    (answer.status, answer.json())
}

fn get(platform: &Process, path: &str) -> (u16, Value) {
    let answer = client::get(platform.listening(), path).expect("platform answers");
    (answer.status, answer.json())
}

/// Guards against a table that applies part of a transaction.
#[gtest]
fn transaction_applies_all_writes_or_none() {
    let platform = platform();
    let first = json!({"conditions": [{"key": "a", "absent": true}],
        "writes": [{"key": "a", "value": "1"}, {"key": "b", "value": "2"}]});
    expect_that!(
        transact(&platform, first.clone()),
        eq(&(200, json!({"applied": true})))
    );
    expect_that!(
        transact(&platform, first),
        eq(&(
            409,
            json!({"applied": false, "current": [{"key": "a", "value": "1"}]})
        ))
    );
    let mixed = json!({"conditions": [{"key": "a", "equals": "1"}, {"key": "c", "equals": "x"}],
        "writes": [{"key": "b", "delete": true}]});
    expect_that!(
        transact(&platform, mixed),
        eq(&(
            409,
            json!({"applied": false, "current": [
            {"key": "a", "value": "1"}, {"key": "c", "value": null}]})
        ))
    );
    expect_that!(
        get(&platform, "/v1/table/row?key=b"),
        eq(&(200, json!({"key": "b", "value": "2"})))
    );
    let delete = json!({"conditions": [{"key": "a", "equals": "1"}],
        "writes": [{"key": "b", "delete": true}]});
    expect_that!(transact(&platform, delete).0, eq(200));
    expect_that!(get(&platform, "/v1/table/row?key=b").0, eq(404));
}

/// Guards against malformed conditions that hold by accident.
#[gtest]
fn malformed_transaction_is_refused() {
    let platform = platform();
    for body in [
        json!({"conditions": [{"key": "a"}], "writes": []}),
        json!({"conditions": [{"key": "a", "absent": false}], "writes": []}),
        json!({"writes": [{"key": "a"}]}),
        json!({"writes": [{"key": "a", "value": "1", "delete": true}]}),
        json!({"other": 1}),
    ] {
        expect_that!(transact(&platform, body).0, eq(400));
    }
}

/// Guards against listings that miss or repeat rows at page borders.
#[gtest]
fn rows_are_listed_by_prefix_in_pages() {
    let platform = platform();
    let writes: Vec<Value> = ["p/3", "p/1", "q/1", "p/2", "o/9"]
        .iter()
        .map(|key| json!({"key": key, "value": key}))
        .collect();
    expect_that!(transact(&platform, json!({"writes": writes})).0, eq(200));
    let keys = |path: &str| -> Vec<String> {
        get(&platform, path).1["rows"]
            .as_array()
            .expect("rows")
            .iter()
            .map(|row| row["key"].as_str().expect("key").to_owned())
            .collect()
    };
    expect_that!(
        keys("/v1/table/rows?prefix=p/"),
        eq(&vec!["p/1", "p/2", "p/3"])
    );
    expect_that!(
        keys("/v1/table/rows?prefix=p/&limit=2"),
        eq(&vec!["p/1", "p/2"])
    );
    expect_that!(
        keys("/v1/table/rows?prefix=p/&after=p/2&limit=2"),
        eq(&vec!["p/3"])
    );
}

/// Guards against objects whose names with slashes are not found again.
#[gtest]
fn objects_are_stored_whole() {
    let platform = platform();
    let body = vec![7; 3_000_000];
    let put = client::request(
        platform.listening(),
        "PUT",
        "/v1/objects/config/ab/c",
        &[],
        &body,
        client::TIMEOUT,
    )
    .expect("put answers");
    expect_that!(put.status, eq(204));
    let got = client::get(platform.listening(), "/v1/objects/config/ab/c").expect("get answers");
    expect_that!(got.status, eq(200));
    expect_that!(got.body == body, eq(true));
    expect_that!(get(&platform, "/v1/objects/other").0, eq(404));
}

/// Guards against a lost answer that also loses its effect, or that is answered.
#[gtest]
fn lost_answer_keeps_the_effect() {
    let platform = platform();
    control(&platform, json!({"lose_answers": 1}));
    let body = json!({"writes": [{"key": "a", "value": "1"}]});
    let lost = client::post(platform.listening(), "/v1/table/transact", &body);
    expect_that!(lost.is_err(), eq(true));
    expect_that!(get(&platform, "/v1/table/row?key=a").0, eq(200));
    expect_that!(transact(&platform, body).0, eq(200));
    let (_, counters) = get(&platform, "/counters");
    expect_that!(counters["writes"], eq(&json!(2)));
    expect_that!(counters["lost_answers"], eq(&json!(1)));
}

/// Guards against outages that reach control calls or do not end.
#[gtest]
fn outage_shows_as_503_or_silence_until_it_ends() {
    let platform = platform();
    control(&platform, json!({"down": true}));
    expect_that!(get(&platform, "/v1/hosts").0, eq(503));
    control(&platform, json!({"down": false, "silent": true}));
    let silent = client::request(
        platform.listening(),
        "GET",
        "/v1/hosts",
        &[],
        b"",
        Duration::from_millis(100),
    );
    expect_that!(silent.is_err(), eq(true));
    // The call may reach a busy server only after the client gave up.
    while get(&platform, "/counters").1["unavailable"] != json!(2) {
        std::thread::sleep(Duration::from_millis(5));
    }
    control(&platform, json!({"silent": false, "delay_ms": 20}));
    let asked = Instant::now();
    expect_that!(get(&platform, "/v1/hosts").0, eq(200));
    expect_that!(asked.elapsed() >= Duration::from_millis(20), eq(true));
    platform
        .stop(Duration::from_secs(20))
        .expect("stops on SIGTERM with a call open");
}

/// Guards against a host list that is served too early or is never served.
#[gtest]
fn host_list_lags() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let host = |name: &str| state::Host {
        name: name.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        state: state::HostState::Live,
    };
    let mut platform = state::State::new(start);
    let set = |name: &str| state::Control {
        hosts: Some(vec![host(name)]),
        ..Default::default()
    };
    platform.control(set("one"), at(100));
    expect_that!(platform.hosts(at(100)).len(), eq(1));
    platform.control(
        state::Control {
            hosts_lag_ms: Some(50),
            ..Default::default()
        },
        at(100),
    );
    expect_that!(platform.hosts(at(149)).len(), eq(0));
    platform.control(set("two"), at(150));
    expect_that!(platform.hosts(at(150))[0].name, eq("one"));
    expect_that!(platform.hosts(at(200))[0].name, eq("two"));
}

/// Guards against a limit that admits two bursts within one second.
#[gtest]
fn limit_holds_over_any_second() {
    let start = Instant::now();
    let mut limit = limit::Limiter::new(3);
    let admitted = |limit: &mut limit::Limiter, ms| limit.admit(start + Duration::from_millis(ms));
    for (ms, expected) in [
        (0, true),
        (900, true),
        (950, true),
        (999, false),
        (1000, true),
        (1001, false),
        (1900, true),
        (1950, true),
        (1951, false),
    ] {
        expect_that!(admitted(&mut limit, ms), eq(expected), "at {ms} ms");
    }
}

/// Guards against limits that are counted but not answered.
#[gtest]
fn calls_over_the_limit_are_refused() {
    let start = Instant::now();
    let mut platform = state::State::new(start);
    let write = |platform: &mut state::State| platform.admit(state::Access::Write, start);
    let admitted = (0..400)
        .filter(|_| matches!(write(&mut platform), state::Admission::Serve { .. }))
        .count();
    expect_that!(admitted, eq(state::WRITES_PER_SECOND));
    expect_that!(write(&mut platform), eq(state::Admission::Refuse));
    expect_that!(platform.counters().refused, eq(101));
    let read = platform.admit(state::Access::Read, start);
    expect_that!(matches!(read, state::Admission::Serve { .. }), eq(true));
}
