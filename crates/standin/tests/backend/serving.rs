//! Serving without faults.

use std::io::Read;
use std::time::Duration;

use dotterelhinge_standin::backend::record::State;
use dotterelhinge_standin::client;
use dotterelhinge_standin::process::Process;
use googletest::prelude::*;
use serde_json::json;

use crate::support::{self, Backend};

/// Guards against answers that a caller cannot prove to be whole and its own.
#[gtest]
fn answer_names_request_server_and_checksum() {
    let backend = Backend::start(&["--count", "2"]);
    for path in ["/lookup?bytes=1000", "/lookup?bytes=1000&chunked=1"] {
        let answer = backend
            .send(1, "GET", path, &[("x-request-id", "r1")], b"")
            .expect("answer");
        expect_that!(answer.status, eq(200));
        expect_that!(answer.body.len(), eq(1000));
        expect_that!(answer.headers.get("x-request-id"), some(eq("r1")));
        expect_that!(answer.headers.get("x-server"), some(eq("backend-1")));
        let checksum = format!("{:08x}", crc32fast::hash(&answer.body));
        expect_that!(
            answer.headers.get("x-checksum"),
            some(eq(checksum.as_str()))
        );
    }
    expect_that!(
        backend.get("/lookup", "r2").expect("answer").body.len(),
        eq(200)
    );
}

/// Guards against uploads whose bytes are not all counted.
#[gtest]
fn upload_is_counted_and_summed() {
    let backend = Backend::start(&[]);
    let body: Vec<u8> = (0..500_000_u32).map(|n| n.to_le_bytes()[0]).collect();
    let expected = json!({"bytes": body.len(), "crc32": format!("{:08x}", crc32fast::hash(&body))});
    let answer = backend
        .send(0, "POST", "/scan", &[], &body)
        .expect("answer");
    expect_that!(answer.json(), eq(&expected));

    let mut stream = backend.connect();
    support::write(
        &mut stream,
        "POST /scan HTTP/1.1\r\nexpect: 100-continue\r\ntransfer-encoding: chunked\r\n\r\n",
    );
    let interim = support::read_to(&mut stream, "\r\n\r\n");
    expect_that!(interim, starts_with("HTTP/1.1 100 "));
    support::write(&mut stream, "4\r\nabcd\r\n2;x=y\r\nef\r\n0\r\n\r\n");
    let head = support::read_to(&mut stream, "\r\n\r\n");
    expect_that!(head, starts_with("HTTP/1.1 200 "));
    let text = support::read_to(&mut stream, "}");
    let sum = format!("{:08x}", crc32fast::hash(b"abcdef"));
    expect_that!(text, eq(&json!({"bytes": 6, "crc32": sum}).to_string()));
}

/// Guards against a record that misses keys, classes or the end of requests.
#[gtest]
fn begun_requests_are_recorded() {
    let backend = Backend::start(&[]);
    let headers = [("x-request-id", "r1"), ("idempotency-key", "k1")];
    backend
        .send(0, "POST", "/order/7", &headers, b"x")
        .expect("answer");
    backend.get("/lookup", "r2").expect("answer");
    let record = backend.record();
    let found: Vec<_> = record
        .iter()
        .map(|e| {
            (
                e.number,
                e.id.as_deref(),
                e.key.as_deref(),
                e.class.as_str(),
                e.state,
            )
        })
        .collect();
    expect_that!(
        found,
        elements_are![
            eq(&(1, Some("r1"), Some("k1"), "order", State::Finished)),
            eq(&(2, Some("r2"), None, "lookup", State::Finished))
        ]
    );
    expect_that!(
        record[0]
            .end_ms
            .is_some_and(|end| end >= record[0].start_ms),
        eq(true)
    );

    let control = backend.process.control();
    let page = client::get(control, "/record?after=1")
        .expect("record")
        .json();
    expect_that!(page["entries"].as_array().map(Vec::len), some(eq(1)));
    expect_that!(
        client::post(control, "/reset", &json!({}))
            .expect("reset")
            .status,
        eq(204)
    );
    backend.get("/lookup", "r3").expect("answer");
    let record = backend.record();
    expect_that!(record.len(), eq(1));
    expect_that!(record[0].number, eq(3));
}

/// Guards against a server that runs more than its slots, or begins what it sheds.
#[gtest]
fn requests_over_the_slots_are_not_begun() {
    let backend = Backend::start(&["--slots", "2", "--service-ms", "3600000"]);
    let mut held = Vec::new();
    for id in ["r1", "r2"] {
        let mut stream = backend.connect();
        support::write(
            &mut stream,
            &format!("GET /a HTTP/1.1\r\nx-request-id: {id}\r\n\r\n"),
        );
        held.push(stream);
    }
    backend.wait_for(|record| record.len() == 2);
    let answer = backend.get("/a", "r3").expect("answer");
    expect_that!(answer.status, eq(503));
    expect_that!(answer.headers.get("x-not-run"), some(eq("1")));
    expect_that!(answer.headers.get("x-request-id"), some(eq("r3")));
    expect_that!(backend.record().len(), eq(2));

    drop(held.remove(0));
    let record = backend.wait_for(|record| record.iter().any(|e| e.state != State::Running));
    expect_that!(
        record
            .iter()
            .filter(|e| e.state == State::Cancelled)
            .count(),
        eq(1)
    );
    backend.wait_for_status("/busy", &json!(1));
}

/// Guards against a shed upload whose answer is lost to a connection reset.
#[gtest]
fn shed_upload_gets_its_answer() {
    let backend = Backend::start(&["--slots", "0"]);
    let body = vec![0; 200_000];
    let answer = backend
        .send(0, "POST", "/scan", &[], &body)
        .expect("answer");
    expect_that!(answer.headers.get("x-not-run"), some(eq("1")));
    expect_that!(backend.record(), is_empty());
}

/// Guards against a connection limit that counts closed connections or none.
#[gtest]
fn connections_over_the_limit_are_closed() {
    let backend = Backend::start(&["--connections", "1"]);
    let mut first = backend.connect();
    let request = "GET /a HTTP/1.1\r\n\r\n";
    for _ in 0..2 {
        support::write(&mut first, request);
        support::read_to(&mut first, "\r\n\r\n");
        let mut body = [0; 200];
        first.read_exact(&mut body).expect("body");
    }
    let mut second = backend.connect();
    // The close may arrive as an end or, with unread bytes, as a reset.
    let end = second.read(&mut [0; 16]);
    expect_that!(
        end.as_ref().is_ok_and(|n| *n == 0) || end.is_err(),
        eq(true)
    );
    drop(first);
    backend.wait_for_status("/open", &json!(0));
    expect_that!(backend.get("/a", "r").is_ok(), eq(true));
}

/// Guards against servers that ignore the deadline although told to honour it.
#[gtest]
fn deadline_is_honoured_on_request() {
    let backend = Backend::start(&["--service-ms", "3600000", "--honour-deadlines"]);
    let answer = backend
        .send(0, "GET", "/a", &[("x-deadline-ms", "20")], b"")
        .expect("answer");
    expect_that!(answer.status, eq(504));
    expect_that!(backend.record()[0].state, eq(State::Cancelled));
}

/// Guards against malformed heads that end the server or get no answer.
#[gtest]
fn malformed_head_is_refused() {
    let backend = Backend::start(&[]);
    let mut stream = backend.connect();
    support::write(&mut stream, "\u{1}\r\n\r\n");
    expect_that!(support::read_all(&mut stream), starts_with("HTTP/1.1 400 "));
    expect_that!(backend.get("/a", "r").is_ok(), eq(true));
}

/// Guards against a helper that leaves processes or cannot stop a frozen one.
#[gtest]
fn process_is_frozen_thawed_and_stopped() {
    let backend = Backend::start(&[]);
    let address = backend.address(0);
    backend.process.suspend().expect("freezes");
    let short = Duration::from_millis(50);
    let frozen = client::request(&address, "GET", "/a", &[], b"", short);
    expect_that!(frozen.is_err(), eq(true));
    backend.process.resume().expect("thaws");
    expect_that!(backend.get("/a", "r").is_ok(), eq(true));
    let status = backend
        .process
        .stop(Duration::from_secs(20))
        .expect("stops");
    expect_that!(status.success(), eq(true));

    let backend = Backend::start(&[]);
    let address = backend.address(0);
    backend.process.suspend().expect("freezes");
    drop(backend);
    expect_that!(client::get(&address, "/a").is_err(), eq(true));
}

/// Guards against a failed start that goes unnoticed until the ready timeout.
#[gtest]
fn failed_start_is_reported_with_its_output() {
    let report = Process::start("standin-backend", &["--listen", "nowhere"]).expect_err("fails");
    expect_that!(
        format!("{report:?}"),
        contains_substring("invalid value 'nowhere'")
    );
    expect_that!(Process::start("standin-absent", &[]).is_err(), eq(true));
}
