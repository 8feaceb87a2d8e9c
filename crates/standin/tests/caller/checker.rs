//! The checker finds planted violations, made up ones and real ones.

use std::fs;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::thread;

use dotterelhinge_standin::backend::record::{Entry, Page, State};
use dotterelhinge_standin::caller::judge::Outcome;
use dotterelhinge_standin::caller::result::{Kind, Request, Results};
use dotterelhinge_standin::check::{self, Finding};
use dotterelhinge_standin::process;
use googletest::prelude::*;
use serde_json::json;

use crate::support;

fn begun(id: &str, key: Option<&str>) -> Entry {
    Entry {
        number: 1,
        id: Some(id.to_owned()),
        key: key.map(str::to_owned),
        class: "order".to_owned(),
        server: 0,
        start_ms: 1.0,
        end_ms: None,
        state: State::Running,
    }
}

fn request(id: &str, kind: &str, outcome: Outcome, key: Option<&str>) -> Request {
    Request {
        id: id.to_owned(),
        kind: kind.to_owned(),
        outcome,
        detail: "d".to_owned(),
        key: key.map(str::to_owned),
        server: None,
        at_ms: 0.0,
        micros: 1,
    }
}

fn results(requests: Vec<Request>) -> Results {
    let kind = |repeatable| Kind {
        repeatable,
        ..Default::default()
    };
    let kinds = [("order", kind(false)), ("lookup", kind(true))];
    Results {
        kinds: kinds.map(|(name, kind)| (name.to_owned(), kind)).into(),
        requests,
        ..Default::default()
    }
}

/// Guards against a checker that reports what is allowed.
#[gtest]
fn allowed_histories_have_no_findings() {
    let record = [
        begun("o1", Some("k1")),
        begun("l1", None),
        begun("l1", None),
        begun("o2", None),
        begun("foreign", None),
    ];
    let results = results(vec![
        request("o1", "order", Outcome::Whole, Some("k1")),
        request("l1", "lookup", Outcome::Whole, None),
        request("o2", "order", Outcome::Unknown, None),
        request("o3", "order", Outcome::Unknown, None),
        request("o4", "order", Outcome::NotRun, None),
        request("o4", "order", Outcome::NotRun, Some("k4")),
    ]);
    expect_that!(check::check(&record, &results), is_empty());
}

/// Guards against a checker that misses a violation among allowed requests.
#[gtest]
fn planted_violations_are_found() {
    let record = [
        begun("o1", None),
        begun("o1", None),
        begun("o2", Some("k")),
        begun("o3", Some("k")),
        begun("l1", None),
        begun("w1", None),
        begun("x1", None),
        begun("x1", None),
    ];
    let results = results(vec![
        request("o1", "order", Outcome::Unknown, None),
        request("o2", "order", Outcome::Whole, Some("k")),
        request("o3", "order", Outcome::Whole, Some("k")),
        request("l1", "lookup", Outcome::NotRun, None),
        request("w1", "lookup", Outcome::Wrong, None),
        request("n1", "lookup", Outcome::Whole, None),
        // A kind that the results do not describe counts as not repeatable.
        request("x1", "other", Outcome::Whole, None),
    ]);
    let text = |text: &str| text.to_owned();
    let detail = || text("d");
    expect_that!(
        check::check(&record, &results),
        unordered_elements_are![
            eq(&Finding::BegunAgain {
                id: text("o1"),
                begun: 2
            }),
            eq(&Finding::KeyBegunAgain {
                key: text("k"),
                begun: 2
            }),
            eq(&Finding::ReportedNotRun {
                id: text("l1"),
                detail: detail()
            }),
            eq(&Finding::WrongAnswer {
                id: text("w1"),
                detail: detail()
            }),
            eq(&Finding::NeverBegan { id: text("n1") }),
            eq(&Finding::BegunAgain {
                id: text("x1"),
                begun: 2
            }),
        ]
    );
}

/// How the planted proxy breaks a requirement.
#[derive(Clone, Copy, Debug)]
enum Lie {
    /// Sends each request twice.
    Twice,
    /// Sends the request and says that it was not run.
    NotRun,
    /// Ends a truncated answer as if it were whole.
    Shortened,
    /// Answers without sending the request.
    Invented,
}

fn header<'a>(head: &'a str, name: &str) -> &'a str {
    head.lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
        .unwrap_or_default()
}

fn forward(backend: &str, message: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(backend).expect("connects");
    stream.write_all(message).expect("sends");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("reads");
    answer
}

/// Serves one request per connection; requests have no body.
fn serve(lie: Lie, backend: &str, mut stream: TcpStream) {
    let mut message = Vec::new();
    while !message.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("reads");
        message.push(byte[0]);
    }
    let head = String::from_utf8(message.clone()).expect("text");
    let id = header(&head, "x-request-id");
    let not_run = json!({"type": "urn:dotterelhinge:problem:overloaded"}).to_string();
    let answer = match lie {
        Lie::Twice => {
            forward(backend, &message);
            forward(backend, &message)
        }
        Lie::NotRun => {
            forward(backend, &message);
            format!(
                "HTTP/1.1 503 x\r\ndotterelhinge-outcome: not-run\r\ncontent-length: {}\r\n\r\n{not_run}",
                not_run.len()
            )
            .into_bytes()
        }
        Lie::Shortened => {
            let answer = String::from_utf8(forward(backend, &message)).expect("text");
            let shorter = answer.replace("content-length: 300", "content-length: 299");
            shorter.as_bytes()[..shorter.len() - 1].to_vec()
        }
        Lie::Invented => {
            let body = "x".repeat(300);
            let sum = crc32fast::hash(body.as_bytes());
            format!("HTTP/1.1 200 x\r\nx-request-id: {id}\r\nx-checksum: {sum:08x}\r\ncontent-length: 300\r\n\r\n{body}")
                .into_bytes()
        }
    };
    stream.write_all(&answer).expect("answers");
}

/// Guards against violations over the wire that caller, record and checker
/// together do not show.
#[gtest]
fn lying_proxies_are_found() {
    let mix = json!({"kinds": [{"name": "order", "path": "/order", "bytes": 300}]});
    for lie in [Lie::Twice, Lie::NotRun, Lie::Shortened, Lie::Invented] {
        let backend = support::backend(&[]);
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let address = listener.local_addr().expect("address").to_string();
        let upstream = backend.listening().to_owned();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (upstream, stream) = (upstream.clone(), stream.expect("accepts"));
                thread::spawn(move || serve(lie, &upstream, stream));
            }
        });
        let arguments = ["--rate", "100", "--seconds", "0.3"];
        let results = support::run(&format!("{lie:?}"), &address, &mix, &arguments);
        let findings = check::check(&support::record(&backend), &results);
        expect_that!(results.requests, not(is_empty()));
        expect_that!(findings.len(), eq(results.requests.len()), "{lie:?}");
        let as_expected = |finding: &Finding| match (lie, finding) {
            (Lie::Twice, Finding::BegunAgain { begun: 2, .. })
            | (Lie::Invented, Finding::NeverBegan { .. }) => true,
            (Lie::NotRun, Finding::ReportedNotRun { detail, .. }) => detail == "overloaded",
            (Lie::Shortened, Finding::WrongAnswer { detail, .. }) => detail == "length",
            _ => false,
        };
        expect_that!(
            findings.iter().all(as_expected),
            eq(true),
            "{lie:?}: {findings:?}"
        );
    }
}

/// Guards against a check command that passes with findings.
#[gtest]
fn check_command_fails_on_findings() {
    let results = results(vec![request("o1", "order", Outcome::NotRun, None)]);
    let program = process::program_path("standin-caller").expect("program");
    for (entries, code) in [(vec![], 0), (vec![begun("o1", None)], 1)] {
        let page = Page { entries, last: 1 };
        let (first, second) = (
            support::file("check-results"),
            support::file("check-record"),
        );
        fs::write(&first, serde_json::to_vec(&results).expect("json")).expect("writes");
        fs::write(&second, serde_json::to_vec(&page).expect("json")).expect("writes");
        let output = Command::new(&program)
            .arg("check")
            .args([&first, &second])
            .output();
        let output = output.expect("runs");
        expect_that!(output.status.code(), some(eq(code)));
        let printed = String::from_utf8_lossy(&output.stdout).into_owned();
        expect_that!(printed.contains("told-not-run"), eq(code == 1));
        fs::remove_file(first).expect("removes");
        fs::remove_file(second).expect("removes");
    }
}
