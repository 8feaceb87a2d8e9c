//! Header rules, and what the HTTP libraries must not do unasked. The upstream
//! is a socket that answers fixed bytes and keeps what it received.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use dotterelhinge_standin::{client, fleet};
use googletest::prelude::*;
use serde_json::json;

const PATIENCE: Duration = Duration::from_secs(20);

/// Above the 64 KiB that a daemon holds back, so that answers stream.
const LARGE: usize = 300_000;

type Heads = Arc<Mutex<Vec<String>>>;

fn value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let fields = head.lines().filter_map(|line| line.split_once(':'));
    let mut own = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
    own.next().map(|(_, value)| value.trim())
}

fn answer(head: &str) -> Vec<u8> {
    let path = head.split(' ').nth(1).unwrap_or_default();
    let (status, fields, body) = match path {
        "/lookup/redirect" => (
            "302 Found",
            "location: /lookup/elsewhere\r\ncontent-length: 0\r\n",
            Vec::new(),
        ),
        "/lookup/encoded" => (
            "200 OK",
            "content-encoding: gzip\r\ncontent-length: 11\r\n",
            b"as it comes".to_vec(),
        ),
        "/lookup/hop" => (
            "200 OK",
            "connection: close, x-hop\r\nx-hop: 1\r\nkeep-alive: timeout=5\r\n\
             proxy-connection: close\r\nx-end: 1\r\ncontent-length: 2\r\n",
            b"ok".to_vec(),
        ),
        "/lookup/short-length" => (
            "200 OK",
            "content-length: 300000\r\n",
            vec![b'a'; LARGE - 50_000],
        ),
        "/lookup/short-chunked" => {
            let mut body = format!("{LARGE:x}\r\n").into_bytes();
            body.extend(vec![b'a'; LARGE]);
            body.extend(b"\r\n");
            ("200 OK", "transfer-encoding: chunked\r\n", body)
        }
        _ => ("200 OK", "content-length: 2\r\n", b"ok".to_vec()),
    };
    let id = value(head, "x-request-id").unwrap_or_default();
    let mut bytes = format!("HTTP/1.1 {status}\r\nx-request-id: {id}\r\n{fields}\r\n").into_bytes();
    bytes.extend(body);
    bytes
}

/// Answers one request on a connection and closes it.
fn serve(mut stream: TcpStream, heads: &Heads) {
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    while !received.windows(4).any(|part| part == b"\r\n\r\n") {
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => received.extend(&chunk[..count]),
            _ => return,
        }
    }
    let head = String::from_utf8_lossy(&received).into_owned();
    let answer = answer(&head);
    heads
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(head);
    let _ = stream.write_all(&answer);
}

/// A fleet whose only upstream is the socket, and the heads that it received.
fn fleet_with_socket() -> (fleet::Fleet, Heads) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("it is bound").to_string();
    let heads = Heads::default();
    let kept = Arc::clone(&heads);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let kept = Arc::clone(&kept);
            thread::spawn(move || serve(stream, &kept));
        }
    });
    let fleet = fleet::Fleet::start(&fleet::Options::default());
    let mut text = fleet.document.clone();
    let service = &mut text["services"][0];
    service["floor"] = json!(1);
    service["upstreams"] = json!([{
        "name": "socket",
        "address": address,
        "availability_zone": "zone-0",
        "slots": 3,
        "connections": 400,
    }]);
    let (code, output) = fleet.apply_document(&text, 1, "test");
    assert_eq!(code, 0, "{output}");
    fleet.wait("the socket is in force", |fleet| fleet.is_version_active(2));
    (fleet, heads)
}

fn taken(heads: &Heads) -> Vec<String> {
    std::mem::take(&mut *heads.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Guards against redirects that are followed, bodies that are decompressed
/// and headers that are lost or leak from one connection to the other.
#[googletest::test]
fn heads_and_bodies_pass_by_the_rules() {
    let _guard = fleet::serialize_tests();
    let (fleet, heads) = fleet_with_socket();
    let address = &fleet.daemons[0].listen;
    let get = |path: &str, fields: &[(&str, &str)]| {
        client::request(address, "GET", path, fields, b"", PATIENCE).expect("a whole answer")
    };

    let redirect = get("/lookup/redirect", &[]);
    expect_that!(redirect.status, eq(302));
    expect_that!(
        redirect.headers.get("location"),
        some(eq("/lookup/elsewhere"))
    );
    expect_that!(taken(&heads).len(), eq(1));

    let encoded = get("/lookup/encoded", &[("accept-encoding", "gzip")]);
    expect_that!(encoded.body.as_slice(), eq(b"as it comes".as_slice()));
    expect_that!(encoded.headers.get("content-encoding"), some(eq("gzip")));
    let head = taken(&heads).concat();
    expect_that!(value(&head, "accept-encoding"), some(eq("gzip")));

    let hop = get(
        "/lookup/hop",
        &[
            ("connection", "x-mine"),
            ("x-mine", "1"),
            ("te", "trailers"),
            ("keep-alive", "timeout=5"),
            ("x-kept", "1"),
            ("x-deadline-ms", "700"),
        ],
    );
    expect_that!(hop.headers.get("x-end"), some(eq("1")));
    for name in ["x-hop", "keep-alive", "proxy-connection"] {
        expect_that!(hop.headers.get(name), none(), "{name}");
    }
    let head = taken(&heads).concat();
    expect_that!(value(&head, "x-kept"), some(eq("1")));
    for name in ["x-mine", "te", "keep-alive"] {
        expect_that!(value(&head, name), none(), "{name}");
    }
    // No encoding is asked for that the caller did not accept.
    let encoding = value(&head, "accept-encoding");
    expect_that!(encoding, any!(none(), some(eq("identity"))));
    let left = value(&head, "x-deadline-ms").and_then(|value| value.parse::<u64>().ok());
    expect_that!(left, some(le(700)));
    // Without an id from the caller, the daemon gives one and echoes it.
    let id = value(&head, "x-request-id").expect("the request has an id");
    expect_that!(id, not(eq("")));
    expect_that!(hop.headers.get("x-request-id"), some(eq(id)));
    let own = get("/lookup/own", &[("x-request-id", "own-1")]);
    expect_that!(own.headers.get("x-request-id"), some(eq("own-1")));
}

/// Guards against a streamed answer that ends short and looks whole.
#[googletest::test]
fn short_answers_break_the_transfer() {
    let _guard = fleet::serialize_tests();
    let (fleet, heads) = fleet_with_socket();
    for path in ["/lookup/short-length", "/lookup/short-chunked"] {
        let answer = client::request(&fleet.daemons[0].listen, "GET", path, &[], b"", PATIENCE);
        expect_that!(
            answer.map(|answer| answer.body.len()),
            err(anything()),
            "{path}"
        );
        expect_that!(taken(&heads).len(), eq(1), "{path}");
    }
}

/// Guards against a request whose end the daemon and the upstream see at
/// different places.
#[googletest::test]
fn conflicting_lengths_are_refused() {
    let _guard = fleet::serialize_tests();
    let (fleet, heads) = fleet_with_socket();
    for fields in [
        "content-length: 3\r\ncontent-length: 4\r\n",
        "content-length: 3\r\ncontent-length: 3\r\n",
        "content-length: 3, 4\r\n",
        "content-length: 3\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 3\r\n",
    ] {
        let mut stream = TcpStream::connect(&fleet.daemons[0].listen).expect("it listens");
        let _ = stream.set_read_timeout(Some(PATIENCE));
        let head =
            format!("POST /order/1 HTTP/1.1\r\nhost: desk\r\nconnection: close\r\n{fields}\r\nabc");
        stream.write_all(head.as_bytes()).expect("the head fits");
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        expect_that!(answer, starts_with("HTTP/1.1 400 "), "{fields}");
        expect_that!(taken(&heads), is_empty(), "{fields}");
    }
}
