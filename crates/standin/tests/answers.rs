//! Requirements R2, R3 and R4 under faults of the backend servers.

use std::time::Duration;

use dotterelhinge_standin::{backend::record::State, fleet};
use googletest::prelude::*;
use serde_json::{Value, json};

const RATE: f64 = 150.0;

/// Requests before a fault, which fill the retry budget as in normal service.
const BEFORE: u64 = 300;

/// Requests during a fault.
const DURING: u64 = 300;

fn under_fault(fault: Value, retried: bool) {
    let _guard = fleet::serialize_tests();
    let fleet = fleet::Fleet::start(&fleet::Options::default());
    let load = fleet.load(fleet::mix(), RATE, Duration::from_secs(60));
    fleet.wait_for_requests(BEFORE);
    fleet.set_fault(&[1], fault.clone());
    fleet.wait_for_requests(DURING);
    let results = load.finish();

    expect_that!(fleet.findings(&results), is_empty(), "{fault}");
    for (name, kind) in &results.kinds {
        expect_that!(kind.wrong.len(), eq(0), "{fault}: {:?}", kind.wrong);
        if kind.repeatable {
            expect_that!(
                kind.whole,
                eq(kind.sent),
                "{fault}: {name} {:?}",
                kind.failed
            );
        }
    }
    if retried {
        // Otherwise no request met the fault.
        let (attempts, requests) = (fleet.counter("attempts"), fleet.counter("requests"));
        expect_that!(attempts, gt(requests), "{fault}");
    }
}

/// Guards against an answer that is passed on although it is cut.
#[googletest::test]
fn cut_answers_reach_nobody() {
    under_fault(json!({"kind": "cut"}), true);
}

/// Guards against an answer that reaches another caller.
#[googletest::test]
fn crossed_answers_reach_nobody() {
    under_fault(json!({"kind": "crossed"}), true);
}

/// Guards against a request that runs after its caller was told that it did
/// not.
#[googletest::test]
fn late_answers_reach_nobody() {
    under_fault(json!({"kind": "late", "by_ms": 50}), false);
}

/// Guards against errors of one server that reach callers of repeatable
/// requests.
#[googletest::test]
fn some_failed_answers_are_retried() {
    under_fault(json!({"kind": "fail", "share": 0.5}), true);
}

/// Guards against requests that wait for a server that never answers.
#[googletest::test]
fn hanging_servers_are_given_up() {
    under_fault(json!({"kind": "hang", "begin": true}), true);
}

/// Guards against a request that was shed and is told to have run, or the
/// reverse.
#[googletest::test]
fn shed_requests_run_elsewhere() {
    under_fault(json!({"kind": "shed", "share": 0.7}), true);
}

/// Guards against a refused connection that ends a request.
#[googletest::test]
fn refused_connections_are_retried() {
    under_fault(json!({"kind": "refuse"}), true);
}

/// Guards against requests sent on connections that went silent.
#[googletest::test]
fn silent_connections_are_not_reused() {
    under_fault(json!({"kind": "silent_open"}), false);
}

/// Guards against a slow server that makes repeatable requests fail.
#[googletest::test]
fn slow_servers_delay_nobody_past_the_deadline() {
    under_fault(json!({"kind": "slow", "fixed_ms": 1500}), true);
}

/// Guards against requests that run twice, or are told not to have run, when
/// the daemon that carries them dies; and against a death that disturbs the
/// callers of the others after it was noticed.
#[googletest::test]
fn a_killed_daemon_leaves_no_wrong_answers() {
    let _guard = fleet::serialize_tests();
    let mut fleet = fleet::Fleet::start(&fleet::Options::default());
    let load = fleet.load(fleet::mix(), RATE, Duration::from_secs(60));
    fleet.wait_for_requests(BEFORE);
    let victim = other_than_coordinator(&fleet);
    let process = fleet.daemons[victim].process.take();
    process.expect("the daemon runs").kill();
    fleet.wait_for_requests(DURING);
    let results = load.finish();
    expect_that!(fleet.findings(&results), is_empty());

    let after = fleet
        .load(fleet::mix(), RATE, Duration::from_secs(2))
        .join();
    expect_that!(fleet.findings(&after), is_empty());
    for (name, kind) in &after.kinds {
        expect_that!(kind.whole, eq(kind.sent), "{name} {:?}", kind.failed);
    }
}

/// Guards against a daemon that was paused and then sends on rights that have
/// lapsed, or tells callers what is no longer true.
#[googletest::test]
fn a_frozen_daemon_leaves_no_wrong_answers() {
    let _guard = fleet::serialize_tests();
    let fleet = fleet::Fleet::start(&fleet::Options::default());
    let load = fleet.load(fleet::mix(), RATE, Duration::from_secs(60));
    fleet.wait_for_requests(BEFORE);
    let victim = other_than_coordinator(&fleet);
    let process = fleet.daemons[victim].process.as_ref();
    let process = process.expect("the daemon runs");
    process.suspend().expect("the daemon can be stopped");
    std::thread::sleep(Duration::from_secs(5));
    process.resume().expect("the daemon can be continued");
    fleet.wait_for_requests(DURING);
    let results = load.finish();
    expect_that!(fleet.findings(&results), is_empty());
    let whole: u64 = results.kinds.values().map(|kind| kind.whole).sum();
    expect_that!(whole, gt(BEFORE));
}

fn other_than_coordinator(fleet: &fleet::Fleet) -> usize {
    let coordinator = fleet.coordinator().expect("one daemon coordinates");
    (coordinator + 1) % fleet.daemons.len()
}

/// Sends `head` and some bytes of a body, waits until the request runs on a
/// server, goes away, and returns the states of its attempts once the server
/// noticed.
fn go_away(fleet: &fleet::Fleet, id: &str, head: &str, body: &[u8]) -> Vec<State> {
    use std::io::Write;

    let daemon = &fleet.daemons[0];
    let mut stream = std::net::TcpStream::connect(&daemon.listen).expect("the daemon listens");
    stream
        .write_all(format!("{head}host: desk\r\nx-request-id: {id}\r\n\r\n").as_bytes())
        .and_then(|()| stream.write_all(body))
        .expect("the daemon reads");
    let states = |fleet: &fleet::Fleet| -> Vec<State> {
        let entries = fleet.entries().into_iter();
        let own = entries.filter(|entry| entry.id.as_deref() == Some(id));
        own.map(|entry| entry.state).collect()
    };
    fleet.wait("the request runs", |fleet| {
        states(fleet) == [State::Running]
    });
    drop(stream);
    fleet.wait("the attempt ends", |fleet| {
        states(fleet) != [State::Running]
    });
    states(fleet)
}

/// Guards against servers that work on for a caller that has gone.
#[googletest::test]
fn a_caller_that_goes_away_cancels_its_attempt() {
    let _guard = fleet::serialize_tests();
    // Deadlines beyond the waits of this test, so that they cancel nothing.
    let fleet = fleet::Fleet::start(&fleet::Options {
        document: |text| {
            for class in text["classes"].as_array_mut().into_iter().flatten() {
                class["deadline_ms"] = json!(200_000);
            }
        },
        ..Default::default()
    });
    fleet.set_fault(&[0, 1, 2, 3], json!({"kind": "slow", "fixed_ms": 100_000}));
    let lookup = go_away(&fleet, "gone-lookup", "GET /lookup/1 HTTP/1.1\r\n", b"");
    expect_that!(lookup, elements_are![eq(&State::Cancelled)]);
    let order = "POST /order/1 HTTP/1.1\r\ncontent-length: 3\r\n";
    let order = go_away(&fleet, "gone-order", order, b"one");
    expect_that!(order, elements_are![eq(&State::Cancelled)]);
    let upload = "PUT /upload/1 HTTP/1.1\r\ncontent-length: 1000000\r\n";
    let upload = go_away(&fleet, "gone-upload", upload, &[7; 10_000]);
    expect_that!(upload, elements_are![eq(&State::Cancelled)]);
}
