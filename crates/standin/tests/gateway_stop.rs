//! Planned stops of a daemon while callers go on using their connections.

use std::{
    thread,
    time::{Duration, Instant},
};

use dotterelhinge_standin::{
    client,
    gateway::{Fleet, Settings},
};
use googletest::prelude::*;

/// Deadline of each request, in milliseconds.
const DEADLINE_MS: &str = "4000";

fn start(settings: Settings) -> Fleet {
    Fleet::start(settings).unwrap_or_else(|error| panic!("{error:?}"))
}

/// Opens a connection that the daemon keeps open after a first request.
fn used_connection(fleet: &Fleet, id: &str) -> client::Connection {
    let mut connection =
        client::Connection::open(&fleet.caller_address(0), client::TIMEOUT).unwrap();
    let headers = [("x-request-id", id)];
    let answer = connection.send("GET", "/nowhere/", &headers, b"").unwrap();
    assert_eq!(answer.status, 404);
    connection
}

/// Sends an order on `connection` and returns the status of a complete answer.
fn order(connection: &mut client::Connection, id: &str) -> Option<u16> {
    let headers = [("x-request-id", id), ("x-deadline-ms", DEADLINE_MS)];
    let answer = connection.send("POST", "/order/1", &headers, b"order");
    answer.ok().map(|answer| answer.status)
}

// Guards against a stopping daemon that accepts a request which it can't finish
// before it is killed, and cuts it off while it runs.
#[gtest]
fn a_stopping_daemon_finishes_or_refuses_every_request() {
    let mut fleet = start(Settings {
        hosts: 1,
        service_time: Duration::from_secs(3),
        ..Settings::default()
    });
    let sent_ms = [500, 1500, 2500, 2700, 2900, 3100, 3300];
    let connections: Vec<_> = sent_ms
        .iter()
        .map(|at| used_connection(&fleet, &format!("warm-{at}")))
        .collect();
    fleet.host(0).unwrap().terminate().unwrap();
    let stopped = Instant::now();
    let callers: Vec<_> = connections
        .into_iter()
        .zip(sent_ms)
        .map(|(mut connection, at)| {
            thread::spawn(move || {
                let wait = Duration::from_millis(at).saturating_sub(stopped.elapsed());
                thread::sleep(wait);
                order(&mut connection, &format!("order-{at}"))
            })
        })
        .collect();
    let statuses: Vec<_> = callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .collect();
    let ran: Vec<String> = fleet
        .record()
        .unwrap()
        .entries
        .into_iter()
        .filter_map(|entry| entry.id)
        .collect();
    for (status, at) in statuses.iter().zip(sent_ms) {
        let has_run = ran.contains(&format!("order-{at}"));
        match status {
            Some(200) => expect_true!(has_run, "{at} ms"),
            // Refused, or closed unread, which callers may repeat.
            Some(503) | None => expect_false!(has_run, "{at} ms"),
            other => panic!("{at} ms: {other:?}"),
        }
    }
    expect_that!(statuses[..2], elements_are![some(eq(&200)), some(eq(&200))]);
    let mut daemon = fleet.hosts[0].take().unwrap();
    expect_true!(daemon.wait(Duration::from_secs(3)).unwrap().success());
}
