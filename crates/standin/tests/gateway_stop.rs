//! Planned stops of a daemon while callers go on using their connections.

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use dotterelhinge_standin::{
    client,
    gateway::{Fleet, Settings},
    scripted,
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

/// Size of an answer that the daemon streams.
const ANSWER_BYTES: usize = 3_000_000;

/// Time over which the backend server sends it.
const ANSWER_TIME: Duration = Duration::from_secs(3);

// Guards against a planned stop that ends the process while answers are being
// streamed: they counted as answered once their beginning had been read.
#[gtest]
fn a_stopping_daemon_streams_its_answers_to_the_end() {
    let fleet = start(Settings {
        hosts: 1,
        upstreams: 1,
        ..Settings::default()
    });
    let server = scripted::Server::start(|connection| {
        const PARTS: usize = 60;
        connection.read_request()?;
        write!(
            connection.socket,
            "HTTP/1.1 200 OK\r\nx-server-stamp: s\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n"
        )?;
        for _ in 0..PARTS {
            connection.socket.write_all(&[b'a'; ANSWER_BYTES / PARTS])?;
            thread::sleep(ANSWER_TIME / PARTS as u32);
        }
        Ok(())
    })
    .unwrap();
    fleet
        .put_row("servers", "slow", &server.entry("ready"))
        .unwrap();
    fleet.unregister(0).unwrap();
    thread::sleep(Duration::from_millis(500));
    let front = fleet.caller_address(0);
    let callers: Vec<_> = (0..4)
        .map(|number| {
            let front = front.clone();
            thread::spawn(move || {
                let headers = [
                    ("x-request-id", &*format!("stream-{number}")),
                    ("x-deadline-ms", DEADLINE_MS),
                ];
                client::Connection::open(&front, client::TIMEOUT)
                    .and_then(|mut caller| caller.send("GET", "/lookup/1", &headers, b""))
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    fleet.host(0).unwrap().terminate().unwrap();
    for caller in callers {
        match caller.join().unwrap() {
            Ok(answer) => {
                expect_that!(answer.status, eq(200));
                expect_that!(answer.body.len(), eq(ANSWER_BYTES));
            }
            Err(error) => panic!("{error:?}"),
        }
    }
}

// Guards against the same on the path of a caller that reads slowly: the
// backend server has sent everything, and the daemon waits for the caller.
#[gtest]
fn a_stopping_daemon_waits_for_a_slow_reader() {
    let fleet = start(Settings {
        hosts: 1,
        ..Settings::default()
    });
    let mut caller = TcpStream::connect(fleet.caller_address(0)).unwrap();
    write!(
        caller,
        "GET /lookup/1?bytes=20000000 HTTP/1.1\r\nhost: {}\r\nx-request-id: slow\r\n\r\n",
        fleet.ip(0)
    )
    .unwrap();
    thread::sleep(Duration::from_millis(300));
    fleet.host(0).unwrap().terminate().unwrap();
    thread::sleep(Duration::from_millis(2700));
    let mut answer = Vec::new();
    let _ = caller.read_to_end(&mut answer);
    expect_that!(answer.len(), gt(20_000_000));
}

// Guards against a process that stays until the end of its grace period because
// of connections that nobody uses.
#[gtest]
fn idle_connections_do_not_delay_a_stop() {
    let mut fleet = start(Settings {
        hosts: 1,
        grace: Duration::from_secs(20),
        ..Settings::default()
    });
    let _used = used_connection(&fleet, "idle");
    let _unused = TcpStream::connect(fleet.caller_address(0)).unwrap();
    let mut daemon = fleet.hosts[0].take().unwrap();
    daemon.terminate().unwrap();
    expect_true!(daemon.wait(Duration::from_secs(4)).unwrap().success());
}
