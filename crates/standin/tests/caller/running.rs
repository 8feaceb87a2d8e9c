//! Runs of the caller against backend servers.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;
use std::{fs, io};

use dotterelhinge_standin::caller::judge::Outcome;
use dotterelhinge_standin::caller::result::{Kind, Results};
use dotterelhinge_standin::check;
use dotterelhinge_standin::process::Process;
use googletest::prelude::*;
use serde_json::{Value, json};

use crate::support;

fn lookup(extra: &Value) -> Value {
    let mut kind = json!({"name": "lookup", "path": "/lookup", "bytes": 300, "repeatable": true});
    for (name, value) in extra.as_object().expect("object") {
        kind[name] = value.clone();
    }
    json!({"kinds": [kind]})
}

fn only(results: &Results) -> &Kind {
    results.kinds.values().next().expect("a kind")
}

/// Guards against a caller that misjudges a server without faults, loses
/// requests or writes histograms that cannot be read.
#[gtest]
fn faultless_server_gives_whole_answers() {
    let backend = support::backend(&[]);
    let mix = json!({"kinds": [
        {"name": "lookup", "weight": 3, "path": "/lookup", "bytes": 3000, "repeatable": true},
        {"name": "chunked", "path": "/lookup?chunked=1", "bytes": 70000, "repeatable": true},
        {"name": "order", "method": "POST", "path": "/order", "body_bytes": 40, "key": "uuid7"},
        {"name": "scan", "method": "PUT", "path": "/scan", "body_bytes": 100_000,
            "body_rate": 2_000_000, "expect": true, "chunked": true},
        {"name": "head", "method": "HEAD", "path": "/lookup", "repeatable": true}
    ]});
    let arguments = ["--rate", "200", "--seconds", "1", "--seed", "5"];
    let results = support::run("whole", backend.listening(), &mix, &arguments);
    expect_that!(results.requests.len(), gt(100));
    expect_that!(results.not_sent, eq(0));
    for (name, kind) in &results.kinds {
        expect_that!(
            kind.whole,
            eq(kind.sent),
            "{name}: {:?} {:?}",
            kind.failed,
            kind.wrong
        );
        expect_that!(kind.sent, gt(0), "{name}");
        let histogram = kind.latency.decode().expect("histogram");
        expect_that!(histogram.len(), eq(kind.whole));
        expect_that!(histogram.value_at_quantile(0.99), eq(kind.latency.p99));
        expect_that!(kind.latency.p50 <= kind.latency.p999, eq(true));
    }
    let record = support::record(&backend);
    expect_that!(record.len(), eq(results.requests.len()));
    expect_that!(
        record.iter().filter(|e| e.key.is_some()).count() as u64,
        eq(results.kinds["order"].sent)
    );
    expect_that!(check::check(&record, &results), is_empty());
}

/// Guards against faults that the caller does not see.
#[gtest]
fn faults_show_in_the_results() {
    let backend = support::backend(&[]);
    let arguments = ["--rate", "200", "--seconds", "0.3"];
    for (fault, outcome, detail) in [
        (json!({"kind": "cut"}), Outcome::Unknown, "truncated"),
        (json!({"kind": "crossed"}), Outcome::Wrong, "other-id"),
        (json!({"kind": "shed"}), Outcome::NotRun, "shed"),
        (
            json!({"kind": "fail", "status": 502}),
            Outcome::Answered,
            "status-502",
        ),
        (json!({"kind": "hang"}), Outcome::Unknown, "caller-deadline"),
        (json!({"kind": "refuse"}), Outcome::NotRun, "caller-connect"),
    ] {
        support::set(&backend, json!({"kind": "clear"}));
        support::set(&backend, fault);
        let deadline = (detail == "caller-deadline").then_some(300);
        let mix = lookup(&json!({"deadline_ms": deadline}));
        let results = support::run(detail, backend.listening(), &mix, &arguments);
        let kind = only(&results);
        expect_that!(kind.sent, gt(0));
        let all = BTreeMap::from([(detail.to_owned(), kind.sent)]);
        let found = if outcome == Outcome::Wrong {
            &kind.wrong
        } else {
            &kind.failed
        };
        expect_that!(found, eq(&all));
        expect_that!(
            results.requests.iter().all(|r| r.outcome == outcome),
            eq(true)
        );
        expect_that!(
            kind.not_run,
            eq(if outcome == Outcome::NotRun {
                kind.sent
            } else {
                0
            })
        );
        expect_that!(
            kind.unproven,
            eq(if outcome == Outcome::Unknown {
                kind.sent
            } else {
                0
            })
        );
    }
}

/// Guards against a bound on requests in flight that is not kept or not shown.
#[gtest]
fn arrivals_over_the_bound_are_not_sent() {
    let backend = support::backend(&[]);
    support::set(&backend, json!({"kind": "hang"}));
    let arguments = ["--rate", "200", "--seconds", "0.3", "--max-in-flight", "3"];
    let arguments = [&arguments[..], &["--drain-seconds", "0"]].concat();
    let results = support::run(
        "bound",
        backend.listening(),
        &lookup(&json!({})),
        &arguments,
    );
    expect_that!(results.requests.len(), eq(3));
    expect_that!(results.not_sent, gt(0));
}

/// Guards against uploads that go on after their answer, or whose early answer
/// is missed.
#[gtest]
fn early_answer_ends_the_upload() {
    let backend = support::backend(&[]);
    support::set(&backend, json!({"kind": "shed"}));
    // At this rate the upload would take hours.
    let mix = json!({"kinds": [{"name": "scan", "method": "PUT", "path": "/scan",
        "body_bytes": 1_000_000, "body_rate": 100}]});
    let arguments = ["--rate", "100", "--seconds", "0.2"];
    let results = support::run("early", backend.listening(), &mix, &arguments);
    let kind = only(&results);
    expect_that!(
        kind.failed,
        eq(&BTreeMap::from([("shed".to_owned(), kind.sent)]))
    );
    expect_that!(kind.not_run, eq(kind.sent));
}

/// Guards against a run that waits for answers without end, or drops the
/// requests that had none.
#[gtest]
fn run_ends_without_answers() {
    let backend = support::backend(&[]);
    support::set(&backend, json!({"kind": "hang"}));
    let arguments = [
        "--rate",
        "200",
        "--seconds",
        "0.2",
        "--drain-seconds",
        "0.2",
    ];
    let results = support::run("end", backend.listening(), &lookup(&json!({})), &arguments);
    let kind = only(&results);
    expect_that!(kind.sent, gt(0));
    expect_that!(
        kind.failed,
        eq(&BTreeMap::from([("run-ended".to_owned(), kind.sent)]))
    );
}

/// Guards against requests sent to targets that are not ready.
#[gtest]
fn only_ready_targets_get_requests() {
    let (first, second) = (support::backend(&[]), support::backend(&[]));
    // The backend answers every path, so it stands in for an admin address;
    // the other admin address accepts and never answers.
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let silent = listener.local_addr().expect("address").to_string();
    let targets = format!("{},{}", first.listening(), second.listening());
    let admins = format!("{silent},{}", second.listening());
    let arguments = ["--rate", "200", "--seconds", "0.3", "--admins", &admins];
    let results = support::run("ready", &targets, &lookup(&json!({})), &arguments);
    expect_that!(only(&results).whole, all![gt(0), eq(only(&results).sent)]);
    expect_that!(support::record(&first), is_empty());

    let admins = format!("{silent},{silent}");
    let arguments = ["--rate", "200", "--seconds", "0.3", "--admins", &admins];
    let results = support::run("unready", &targets, &lookup(&json!({})), &arguments);
    let all = BTreeMap::from([("no-target".to_owned(), only(&results).sent)]);
    expect_that!(only(&results).failed, eq(&all));
}

/// Guards against an interrupted run without results, and against latencies
/// that do not count the time by which a request was sent late.
#[gtest]
fn terminated_run_counts_from_the_intended_start() -> io::Result<()> {
    let backend = support::backend(&[]);
    let (mix, output) = (support::file("term-mix"), support::file("term-out"));
    fs::write(&mix, lookup(&json!({})).to_string())?;
    let paths = [mix.to_str().expect("path"), output.to_str().expect("path")];
    let arguments = [
        "--targets",
        backend.listening(),
        "--mix",
        paths[0],
        "--output",
        paths[1],
    ];
    let long = [&arguments[..], &["--rate", "200", "--seconds", "3600"]].concat();
    let caller = Process::start("standin-caller", &long).expect("starts");
    let wait_for = |count| {
        while support::record(&backend).len() < count {
            thread::sleep(Duration::from_millis(5));
        }
    };
    wait_for(1);
    // The server is idle all the time; only the caller is late.
    caller.suspend().expect("freezes");
    thread::sleep(Duration::from_secs(1));
    let sent = support::record(&backend).len();
    caller.resume().expect("thaws");
    wait_for(sent + 150);
    let status = caller.stop(Duration::from_secs(60)).expect("stops");
    expect_that!(status.success(), eq(true));
    let results: Results = serde_json::from_slice(&fs::read(&output)?)?;
    expect_that!(only(&results).whole, gt(0));
    expect_that!(only(&results).latency.max, gt(500_000));
    fs::remove_file(mix)?;
    fs::remove_file(output)
}
