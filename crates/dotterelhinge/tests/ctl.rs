//! `dotterelhingectl`, run as a process.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Command, Output},
    sync::mpsc,
    thread,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use googletest::prelude::*;
use hdrhistogram::serialization::Serializer;
use serde_json::{Value, json};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dotterelhingectl"))
        .args(arguments)
        .output()
        .expect("program starts")
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("program exits")
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("output is UTF-8")
}

fn json_of(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).expect("output is JSON")
}

fn data(name: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("tests/data").join(name).display().to_string()
}

/// Stand-in for a daemon's admin port with a fixed response for each path.
/// `requests` receives each request line.
struct Admin {
    address: SocketAddr,
    requests: mpsc::Receiver<String>,
}

impl Admin {
    fn start(responses: Vec<(&'static str, Value)>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback is available");
        let address = listener.local_addr().expect("bound");
        let (sender, requests) = mpsc::channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("accepted");
                let mut head = Vec::new();
                let mut byte = [0];
                while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|n| n > 0) {
                    head.push(byte[0]);
                }
                let head = String::from_utf8_lossy(&head).into_owned();
                let line = head.lines().next().unwrap_or_default().to_owned();
                let response = responses
                    .iter()
                    .find(|(path, _)| line.contains(&format!(" {path} ")));
                let (status, body) = match response {
                    Some((_, body)) => ("200 OK", body.to_string()),
                    None => ("404 Not Found", String::new()),
                };
                // Sent before the response, so that all requests of a command
                // are recorded when it exits.
                let _ = sender.send(line);
                let length = body.len();
                let _ = write!(
                    stream,
                    "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
                );
            }
        });
        Self { address, requests }
    }

    fn status(host: &str, version: Value, hash: &str) -> (&'static str, Value) {
        let status = json!({"host": host, "version": version, "hash": hash, "ready": true,
            "coordinator_of": ["desk"], "members": 2});
        ("/status", status)
    }
}

/// Runs a command on daemons.
fn run_on(arguments: &[&str], daemons: &[SocketAddr]) -> Output {
    let mut all: Vec<String> = arguments
        .iter()
        .map(|&argument| argument.to_owned())
        .collect();
    for address in daemons {
        all.extend(["--admin".to_owned(), address.to_string()]);
    }
    run(&all.iter().map(String::as_str).collect::<Vec<_>>())
}

/// Returns an address that accepts connections and closes them without a
/// response. Another test could bind a port that is closed.
fn unresponsive() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback is available");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || listener.incoming().for_each(drop));
    address
}

/// Guards against scripts that mistake a failed command for a successful one.
#[gtest]
fn exit_codes_of_usage_errors_are_stable() {
    let cases: &[(&[&str], i32)] = &[
        (&[], 2),
        (&["launch"], 2),
        (&["check"], 2),
        (&["check", "/nonexistent/text.json"], 2),
        (&["apply", "text.json", "--author", "ana"], 2),
        (
            &["apply", "text.json", "--author", "ana", "--base", "newest"],
            2,
        ),
        (&["show"], 2),
        (&["show", "0", "--platform", "http://127.0.0.1:1"], 2),
        (&["status"], 2),
        (&["status", "--admin", "localhost"], 2),
        (&["latency", "--by", "host"], 2),
        (&["upstreams"], 2),
        (&["drain", "entry-1"], 2),
        (&["completion", "tcsh"], 2),
        (&["status", "--output", "yaml"], 2),
        (&["--help"], 0),
        (&["--version"], 0),
    ];
    for (arguments, expected) in cases {
        expect_that!(code(&run(arguments)), eq(*expected), "{arguments:?}");
    }
}

/// Guards against a command whose help has no usage example.
#[gtest]
fn help_of_every_command_has_an_example() {
    for command in dotterelhinge::ctl::command().get_subcommands() {
        let help = stdout(&run(&[command.get_name(), "--help"]));
        let example = format!("Example:\n  dotterelhingectl {}", command.get_name());
        expect_that!(help, contains_substring(example));
    }
}

/// Guards against an invalid configuration that passes, and against missing
/// faults.
#[gtest]
fn check_prints_every_fault_and_exits_with_3() -> googletest::Result<()> {
    let valid = run(&["check", &data("base.json"), "--output", "json"]);
    expect_that!(code(&valid), eq(0));
    expect_that!(json_of(&valid)["valid"], eq(&json!(true)));

    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("invalid-text.json");
    let json = fs::read_to_string(data("base.json")).or_fail()?;
    let json = json.replace("\"slots\": 3", "\"slots\": 0");
    fs::write(&file, json).or_fail()?;
    let file = file.display().to_string();
    let invalid = run(&["check", &file]);
    expect_that!(code(&invalid), eq(3));
    let expected = "/services/0/upstreams/0/slots: 0: at least 1\n\
                    /services/0/upstreams/1/slots: 0: at least 1\n";
    expect_that!(stdout(&invalid), eq(expected));
    let invalid = run(&["check", &file, "--output", "json"]);
    expect_that!(json_of(&invalid)["code"], eq(&json!(3)));
    expect_that!(json_of(&invalid)["faults"].as_array(), some(len(eq(2))));
    // An invalid configuration is rejected before the platform is contacted.
    let apply = ["apply", &file, "--base", "latest", "--author", "ana"];
    let output = run(&[&apply[..], &["--platform", "http://127.0.0.1:1"]].concat());
    expect_that!(code(&output), eq(3));
    Ok(())
}

/// Guards against an edit that is reported as accepted while the platform is
/// down.
#[gtest]
fn an_unreachable_platform_exits_with_5() {
    let platform = format!("http://{}", unresponsive());
    let file = data("base.json");
    let apply = ["apply", &file, "--base", "0", "--author", "ana"];
    for arguments in [&["show"][..], &["history"], &["diff", "1", "2"], &apply] {
        let output = run(&[arguments, &["--platform", &platform]].concat());
        expect_that!(code(&output), eq(5), "{arguments:?}");
    }
}

/// Guards against a lagging, unreachable or diverged daemon that is not
/// reported.
#[gtest]
fn status_reports_daemons_that_are_not_current() {
    let new = Admin::start(vec![Admin::status("entry-1", json!(7), "bb")]);
    let old = Admin::start(vec![Admin::status("entry-2", json!(6), "aa")]);
    let other = Admin::start(vec![Admin::status("entry-3", json!(7), "cc")]);
    let empty = Admin::start(vec![Admin::status("entry-4", Value::Null, "")]);

    let all_current = run_on(&["status"], &[new.address]);
    expect_that!(code(&all_current), eq(0));
    let daemons = [
        new.address,
        old.address,
        other.address,
        empty.address,
        unresponsive(),
    ];
    let output = run_on(&["status", "--output", "json"], &daemons);
    expect_that!(code(&output), eq(7));
    let mut states: Vec<_> = json_of(&output)["daemons"]
        .as_array()
        .expect("array")
        .iter()
        .map(|daemon| daemon["state"].as_str().unwrap_or_default().to_owned())
        .collect();
    expect_that!(states[1], eq("lagging"));
    expect_that!(states[3], eq("without text"));
    expect_that!(states[4], eq("unreachable"));
    // Of two hashes for the newest version, it is unknown which one is right,
    // so either daemon may be reported as current.
    let mut newest = [states.swap_remove(2), states.swap_remove(0)];
    newest.sort();
    expect_that!(newest, elements_are![eq("current"), eq("other hash")]);
}

/// Guards against rows of another service, and rows lost because another daemon
/// is unreachable.
#[gtest]
fn upstreams_lists_the_rows_of_a_service() {
    let row = |service: &str, upstream: &str| {
        json!({"service": service, "upstream": upstream, "class": "lookup", "state": "ejected",
            "slots": 3, "in_use": 1, "suspicion": 1.25, "since_ms": 1500,
            "reason": "failed"})
    };
    let rows = json!([
        row("desk", "desk-2"),
        row("vault", "vault-1"),
        row("desk", "desk-1")
    ]);
    let admin = Admin::start(vec![("/upstreams", rows)]);
    let output = run_on(&["upstreams", "desk"], &[admin.address]);
    expect_that!(code(&output), eq(0));
    let lines: Vec<String> = stdout(&output).lines().map(str::to_owned).collect();
    expect_that!(lines, len(eq(3)));
    expect_that!(
        lines[1],
        contains_regex("^desk +desk-1 +lookup +ejected +1/3 +1.25 +1.5s +failed$")
    );
    let partial = run_on(&["upstreams"], &[admin.address, unresponsive()]);
    expect_that!(code(&partial), eq(7));
    expect_that!(stdout(&partial).lines().count(), eq(4));
}

/// Guards against distributions that are averaged instead of merged.
#[gtest]
fn latency_merges_the_histograms_of_daemons() {
    let answer = |value: u64, count: u64| {
        let mut histogram = hdrhistogram::Histogram::<u64>::new(3).expect("three digits");
        histogram.record_n(value, count).expect("in range");
        let mut bytes = Vec::new();
        hdrhistogram::serialization::V2Serializer::new()
            .serialize(&histogram, &mut bytes)
            .expect("writes to memory");
        let series = json!({"name": "lookup", "count": count, "p50_us": value, "p99_us": value,
            "p999_us": value, "max_us": value, "histogram": STANDARD.encode(&bytes)});
        ("/latency", json!({"by_class": [series], "by_customer": []}))
    };
    let fast = Admin::start(vec![answer(1000, 990)]);
    let slow = Admin::start(vec![answer(50_000, 10)]);
    let output = run_on(
        &["latency", "--output", "json"],
        &[fast.address, slow.address],
    );
    expect_that!(code(&output), eq(0));
    let sum = &json_of(&output)[0];
    expect_that!(sum["count"], eq(&json!(1000)));
    expect_that!(sum["p50_us"], eq(&json!(1000)));
    expect_that!(sum["p999_us"].as_u64(), some(ge(49_900)));
    let text = stdout(&run_on(&["latency"], &[fast.address, slow.address]));
    expect_that!(
        text,
        contains_regex("(?m)^lookup \\|@ +=\\|$|^lookup \\|@ +[.:=+*-]+ *\\|$")
    );
}

/// Guards against draining the wrong daemon.
#[gtest]
fn drain_reaches_the_named_host_only() {
    let other = Admin::start(vec![
        Admin::status("entry-1", json!(7), "bb"),
        ("/drain", json!({})),
    ]);
    let named = Admin::start(vec![
        Admin::status("entry-2", json!(7), "bb"),
        ("/drain", json!({})),
    ]);
    let daemons = [other.address, named.address];
    expect_that!(code(&run_on(&["drain", "entry-2"], &daemons)), eq(0));
    expect_that!(code(&run_on(&["drain", "entry-9"], &daemons)), eq(2));
    expect_that!(
        code(&run_on(
            &["drain", "entry-9"],
            &[other.address, unresponsive()]
        )),
        eq(7)
    );
    let drains = |admin: &Admin| {
        let lines: Vec<String> = admin.requests.try_iter().collect();
        lines
            .iter()
            .filter(|line| line.starts_with("POST /drain "))
            .count()
    };
    expect_that!(drains(&other), eq(0));
    expect_that!(drains(&named), eq(1));
}

/// Guards against an empty completion script.
#[gtest]
fn completion_scripts_contain_the_commands() {
    for shell in ["bash", "zsh", "fish", "elvish", "powershell"] {
        let output = run(&["completion", shell]);
        expect_that!(code(&output), eq(0));
        expect_that!(stdout(&output), contains_substring("upstreams"), "{shell}");
    }
}
