//! Answers of a backend server that are not what they look like.

use std::{io::Write, time::Duration};

use dotterelhinge_standin::{
    gateway::{Answer, Fleet, Settings},
    scripted,
};
use googletest::prelude::*;

/// Starts a fleet of one daemon with one backend server that runs `script`.
fn start(
    script: impl Fn(&mut scripted::Connection) -> std::io::Result<()> + Send + Sync + 'static,
) -> (Fleet, scripted::Server) {
    let fleet = Fleet::start(Settings {
        hosts: 1,
        upstreams: 1,
        ..Settings::default()
    })
    .unwrap_or_else(|error| panic!("{error:?}"));
    let server = scripted::Server::start(script).unwrap();
    fleet
        .put_row("servers", "scripted", &server.entry("ready"))
        .unwrap();
    fleet.unregister(0).unwrap();
    std::thread::sleep(Duration::from_millis(800));
    (fleet, server)
}

/// Returns how often the server received the request of `answer` whole.
fn runs(server: &scripted::Server, answer: &Answer) -> usize {
    let received = server.received();
    received
        .iter()
        .filter(|request| request.id() == answer.id)
        .count()
}

// Guards against a head that breaks off and is passed on as a success, with an
// empty or short body that looks whole.
#[gtest]
fn an_answer_cut_in_its_head_is_no_success() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nx-server-stamp: s\r\ncontent-length: 1234\r\n\r\n";
    // Each connection ends one byte later, up to the complete head.
    let (mut fleet, server) = start(|connection| {
        let request = connection.read_request()?;
        let length = request.head.query("length").unwrap_or_default();
        let length = length.parse().unwrap_or(0);
        connection.socket.write_all(&HEAD.as_bytes()[..length])
    });
    for length in 0..=HEAD.len() {
        for (method, path) in [("POST", "/order/1"), ("GET", "/lookup/1")] {
            let path = format!("{path}?length={length}");
            let answer = fleet.send(0, method, &path, b"");
            expect_that!(answer.status, some(eq(502)), "{path}");
            expect_that!(runs(&server, &answer), eq(1), "{path}");
        }
    }
}

// Guards against a refusal that was meant for an earlier request: the caller
// would be told that its request has not run while it runs.
#[gtest]
fn a_refusal_of_another_request_promises_nothing() {
    for id in ["", "x-request-id: earlier\r\n"] {
        let (mut fleet, server) = start(move |connection| {
            connection.read_request()?;
            write!(
                connection.socket,
                "HTTP/1.1 503 Service Unavailable\r\n{id}x-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            )
        });
        for (method, path) in [("POST", "/order/1"), ("POST", "/scan/1")] {
            let answer = fleet.send(0, method, path, b"body");
            expect_that!(answer.status, some(eq(502)), "{id}{path}");
            expect_that!(runs(&server, &answer), eq(1), "{id}{path}");
        }
    }
}

// Guards against the same for a server that says it is another one.
#[gtest]
fn a_misdirection_of_another_request_promises_nothing() {
    let (mut fleet, server) = start(|connection| {
        connection.read_request()?;
        connection
            .socket
            .write_all(b"HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n")
    });
    let answer = fleet.send(0, "POST", "/order/1", b"order");
    expect_that!(answer.status, some(eq(502)));
    expect_that!(runs(&server, &answer), eq(1));
}

// Guards against a refusal that is written before the request is read: either
// nothing was sent and the request goes elsewhere, or it may have run.
#[gtest]
fn an_early_copy_of_a_refusal_makes_no_request_run_twice() {
    let (mut fleet, server) = start(|connection| {
        if connection.number % 2 == 1 {
            connection.socket.write_all(
                b"HTTP/1.1 503 Service Unavailable\r\nx-request-id: earlier\r\n\
                  x-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
            )?;
        }
        let request = connection.read_request()?;
        connection.succeed(&request)
    });
    for _ in 0..60 {
        let answer = fleet.send(0, "POST", "/order/1", b"order");
        let ran = runs(&server, &answer);
        expect_that!(ran, le(1), "{answer:?}");
        if answer.status == Some(503) {
            expect_that!(ran, eq(0), "{answer:?}");
        }
    }
}

// Guards against a lookup that is given up because it takes longer than usual,
// although there is no other server to try.
#[gtest]
fn a_slow_lookup_is_not_given_up_without_another_server() {
    let (mut fleet, server) = start(|connection| {
        let request = connection.read_request()?;
        if request.head.query("slow").is_some() {
            std::thread::sleep(Duration::from_millis(600));
        }
        connection.succeed(&request)
    });
    for _ in 0..10 {
        let answer = fleet.send(0, "GET", "/lookup/1", b"");
        expect_that!(answer.status, some(eq(200)));
    }
    let answer = fleet.send(0, "GET", "/lookup/1?slow=1", b"");
    expect_that!(answer.status, some(eq(200)));
    expect_that!(runs(&server, &answer), eq(1));
}
