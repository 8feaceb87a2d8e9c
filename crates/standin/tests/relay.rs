//! The relay as a process between a test and an echo server.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use dotterelhinge_standin::client;
use dotterelhinge_standin::process::Process;
use googletest::prelude::*;
use serde_json::{Value, json};

/// Answers each byte with the same byte; the thread ends with the test.
fn echo() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("accepts");
            thread::spawn(move || {
                let mut byte = [0];
                while stream.read_exact(&mut byte).is_ok() && stream.write_all(&byte).is_ok() {}
            });
        }
    });
    address
}

fn relay(to: &str) -> Process {
    let arguments = [
        "--listen",
        "127.0.0.1:0",
        "--control",
        "127.0.0.1:0",
        "--to",
        to,
    ];
    Process::start("standin-relay", &arguments).expect("relay starts")
}

fn set(relay: &Process, change: Value) {
    let answer = client::post(relay.control(), "/link", &change).expect("control answers");
    assert_eq!(answer.status, 200, "{change}: {}", answer.json());
}

fn status(relay: &Process) -> Value {
    client::get(relay.control(), "/link")
        .expect("status")
        .json()
}

fn wait_for(relay: &Process, field: &str, value: u64) {
    for _ in 0..4000 {
        if status(relay)[field] == json!(value) {
            return;
        }
        thread::sleep(Duration::from_millis(5));
    }
    panic!("{field} did not become {value}: {}", status(relay));
}

fn connect(relay: &Process) -> TcpStream {
    let stream = TcpStream::connect(relay.listening()).expect("connects");
    stream
        .set_read_timeout(Some(client::TIMEOUT))
        .expect("timeout");
    stream
}

fn round_trip(stream: &mut TcpStream, byte: u8) {
    stream.write_all(&[byte]).expect("writes");
    let mut back = [0];
    stream.read_exact(&mut back).expect("reads");
    assert_eq!(back[0], byte);
}

/// Guards against a freeze that also holds the other direction, loses bytes or
/// ends connections.
#[gtest]
fn directions_freeze_one_by_one() {
    let relay = relay(&echo());
    let mut stream = connect(&relay);
    round_trip(&mut stream, 1);

    // The byte passes forward and its echo is held.
    set(&relay, json!({"backward": "frozen"}));
    stream.write_all(&[2]).expect("writes");
    wait_for(&relay, "forward_bytes", 2);
    let short = Some(Duration::from_millis(50));
    stream.set_read_timeout(short).expect("timeout");
    let held = stream.read(&mut [0]).map_err(|error| error.kind());
    expect_that!(
        matches!(held, Err(ErrorKind::WouldBlock | ErrorKind::TimedOut)),
        eq(true)
    );
    expect_that!(status(&relay)["backward_bytes"], eq(&json!(1)));
    set(&relay, json!({"backward": "open"}));
    stream
        .set_read_timeout(Some(client::TIMEOUT))
        .expect("timeout");
    let mut byte = [0];
    stream.read_exact(&mut byte).expect("held byte arrives");
    expect_that!(byte[0], eq(2));

    // The byte is held forward; a new connection is accepted and held as well.
    set(&relay, json!({"forward": "frozen"}));
    stream.write_all(&[3]).expect("writes");
    let mut second = connect(&relay);
    second.write_all(&[4]).expect("writes");
    wait_for(&relay, "open", 2);
    expect_that!(status(&relay)["forward_bytes"], eq(&json!(2)));
    set(&relay, json!({"forward": "open"}));
    stream.read_exact(&mut byte).expect("held byte arrives");
    expect_that!(byte[0], eq(3));
    second.read_exact(&mut byte).expect("held byte arrives");
    expect_that!(byte[0], eq(4));
}

/// Guards against a closed link that still accepts or does not open again.
#[gtest]
fn closed_link_refuses_and_ends_connections() {
    let relay = relay(&echo());
    let mut stream = connect(&relay);
    round_trip(&mut stream, 1);
    set(&relay, json!({"forward": "closed"}));
    let refused = TcpStream::connect(relay.listening()).map_err(|error| error.kind());
    expect_that!(refused.err(), some(eq(ErrorKind::ConnectionRefused)));
    // The end is noticed even if the link opens again at once.
    set(&relay, json!({"forward": "open"}));
    let end = stream.read(&mut [0]).map_err(|error| error.kind());
    expect_that!(
        matches!(end, Ok(0) | Err(ErrorKind::ConnectionReset)),
        eq(true),
        "{end:?}"
    );
    wait_for(&relay, "open", 0);
    round_trip(&mut connect(&relay), 2);
}

/// Guards against ends of streams that are not passed on.
#[gtest]
fn end_of_stream_is_passed_on() {
    let relay = relay(&echo());
    let mut stream = connect(&relay);
    round_trip(&mut stream, 1);
    stream
        .shutdown(std::net::Shutdown::Write)
        .expect("shuts down");
    expect_that!(stream.read(&mut [0]).expect("reads"), eq(0));
    wait_for(&relay, "open", 0);
}
