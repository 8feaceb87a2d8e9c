//! `dotterelhingectl` commands that edit the configuration on a platform.

use std::{
    cell::Cell, fs, path::PathBuf, process::Command, rc::Rc, sync::Arc, sync::mpsc, thread,
    time::Duration,
};

use bytes::Bytes;
use dotterelhinge::{
    ctl::{self, Code, Output},
    platform::{self, Condition, Host, Memory, Row, Store, Write},
};
use dotterelhinge_policy::clock;
use dotterelhinge_standin::platform::server;
use futures_util::{FutureExt, future::LocalBoxFuture};
use googletest::prelude::*;
use serde_json::{Value, json};

/// Writes a configuration whose first service has this floor, and returns the
/// path.
fn write_configuration(floor: u64) -> String {
    let base = include_str!("data/base.json");
    let mut document: Value = serde_json::from_str(base).expect("base is JSON");
    document["services"][0]["floor"] = json!(floor);
    let name = format!("text-{}-{floor}.json", std::process::id());
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    // Several tests write the same content to this file. Renaming a temporary
    // file ensures that readers see complete files only.
    let temporary = file.with_extension(format!("{:?}", thread::current().id()));
    fs::write(&temporary, document.to_string()).expect("directory is writable");
    fs::rename(&temporary, &file).expect("directory is writable");
    file.display().to_string()
}

fn client(store: Rc<dyn Store>) -> platform::Client {
    let settings = platform::Settings {
        max_attempts: 2,
        initial_backoff: Duration::ZERO,
        ..platform::Settings::default()
    };
    platform::Client::new(store, Arc::new(clock::System), settings)
}

/// Runs a command in this process.
fn execute(store: Rc<dyn Store>, arguments: &[&str]) -> Output {
    let session = ctl::Session {
        platform: Some(client(store)),
        resolve_interval: Duration::ZERO,
    };
    let all = [&["dotterelhingectl"], arguments].concat();
    let matches = ctl::command()
        .try_get_matches_from(all)
        .expect("arguments are valid");
    let task = ctl::execute(&matches, &session);
    actix::System::new()
        .block_on(task)
        .expect("command has an answer")
}

fn apply(store: Rc<dyn Store>, floor: u64, base: &str) -> Output {
    let file = write_configuration(floor);
    execute(
        store,
        &[
            "apply",
            &file,
            "--base",
            base,
            "--author",
            "ana",
            "--summary",
            "floor",
        ],
    )
}

/// Guards against an edit that creates a second version when it is repeated
/// after a lost response.
#[gtest]
fn a_lost_response_creates_one_version() {
    let store = Rc::new(Memory::new());
    store.lose_response();
    let first = apply(store.clone(), 1, "0");
    expect_that!(first.code, eq(Code::Ok));
    expect_that!(first.json["version"], eq(&json!(1)));
    let again = apply(store.clone(), 1, "latest");
    expect_that!(again.code, eq(Code::Ok));
    expect_that!(again.json["result"], eq(&json!("unchanged")));
    expect_that!(store.applied_transactions(), eq(1));
}

/// A platform whose first transaction takes effect, and that is then down for
/// the next calls.
struct FailsAfterWrite {
    inner: Memory,
    /// Number of calls that fail after the first transaction.
    outage: Cell<usize>,
    left: Cell<usize>,
}

impl FailsAfterWrite {
    fn new(outage: usize) -> Self {
        Self {
            inner: Memory::new(),
            outage: Cell::new(outage),
            left: Cell::new(0),
        }
    }

    fn count_call(&self) {
        let left = self.left.get();
        self.inner.set_down(left > 0);
        self.left.set(left.saturating_sub(1));
    }
}

impl Store for FailsAfterWrite {
    fn transact<'a>(
        &'a self,
        conditions: &'a [Condition],
        writes: &'a [Write],
    ) -> LocalBoxFuture<'a, platform::Result<()>> {
        async move {
            self.count_call();
            if self.outage.get() > 0 {
                self.inner.lose_response();
                self.left.set(self.outage.replace(0));
            }
            self.inner.transact(conditions, writes).await
        }
        .boxed_local()
    }

    fn row<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, platform::Result<Option<String>>> {
        self.count_call();
        self.inner.row(key)
    }

    fn rows<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, platform::Result<Vec<Row>>> {
        self.count_call();
        self.inner.rows(prefix, after, limit)
    }

    fn put_object<'a>(
        &'a self,
        name: &'a str,
        body: Bytes,
    ) -> LocalBoxFuture<'a, platform::Result<()>> {
        self.count_call();
        self.inner.put_object(name, body)
    }

    fn get_object<'a>(
        &'a self,
        name: &'a str,
    ) -> LocalBoxFuture<'a, platform::Result<Option<Bytes>>> {
        self.count_call();
        self.inner.get_object(name)
    }

    fn hosts(&self) -> LocalBoxFuture<'_, platform::Result<Vec<Host>>> {
        self.count_call();
        self.inner.hosts()
    }
}

/// Guards against an unknown outcome reported as accepted or as rejected.
#[gtest]
fn an_edit_before_an_outage_is_resolved_or_unproven() {
    // Of the five failing calls, two reads of the history and a repeated
    // transaction are made by the platform client, the others by the command.
    let short = Rc::new(FailsAfterWrite::new(5));
    let settled = apply(short.clone(), 1, "0");
    expect_that!(settled.code, eq(Code::Ok));
    expect_that!(settled.json["result"], eq(&json!("accepted")));
    expect_that!(short.inner.applied_transactions(), eq(1));

    let long = Rc::new(FailsAfterWrite::new(1000));
    let unproven = apply(long.clone(), 1, "0");
    expect_that!(unproven.code, eq(Code::Unproven));
    expect_that!(
        unproven.problems,
        elements_are![contains_substring("history")]
    );
    expect_that!(long.inner.applied_transactions(), eq(1));
}

/// Guards against a conflict message that does not say whose edit would be
/// overwritten.
#[gtest]
fn a_conflict_lists_authors_and_changes() {
    let store = Rc::new(Memory::new());
    expect_that!(apply(store.clone(), 1, "0").code, eq(Code::Ok));
    expect_that!(apply(store.clone(), 2, "1").code, eq(Code::Ok));
    let late = apply(store.clone(), 0, "1");
    expect_that!(late.code, eq(Code::Conflict));
    let problem = &late.problems[0];
    expect_that!(
        problem,
        starts_with("the head is version 2, not 1\n  version 2 by ana at 20")
    );
    expect_that!(
        problem,
        ends_with(": floor\n    ~ /services/desk/floor: 1 -> 2")
    );
    expect_that!(late.json["edits"][0]["edit"]["author"], eq(&json!("ana")));
    expect_that!(store.applied_transactions(), eq(2));
}

/// Starts the platform stand-in and returns its base URL.
fn start_platform() -> String {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        actix::System::new().block_on(async move {
            let server = server::Server::bind("127.0.0.1:0").expect("loopback is available");
            let base = format!("http://{}", server.address());
            let running = server.run().expect("server starts");
            sender.send(base).expect("test waits");
            running.await
        })
    });
    receiver.recv().expect("server starts")
}

/// Guards against commands that work with the in-memory store but not with the
/// platform's HTTP interface.
#[gtest]
fn the_program_edits_a_platform_over_http() {
    let platform = start_platform();
    let run = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_dotterelhingectl"))
            .args(arguments)
            .args(["--platform", &platform, "--output", "json"])
            .output()
            .expect("program starts");
        let json: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        (output.status.code(), json)
    };
    let apply = |floor, base: &str| {
        run(&[
            "apply",
            &write_configuration(floor),
            "--base",
            base,
            "--author",
            "ana",
        ])
    };
    expect_that!(run(&["show"]).0, some(eq(2)));
    expect_that!(apply(1, "0").0, some(eq(0)));
    expect_that!(apply(2, "latest").0, some(eq(0)));
    expect_that!(apply(0, "1").0, some(eq(4)));
    let (code, edits) = run(&["history"]);
    expect_that!(code, some(eq(0)));
    expect_that!(edits.as_array(), some(len(eq(2))));
    let (_, first) = run(&["show", "1"]);
    expect_that!(first["text"]["services"][0]["floor"], eq(&json!(1)));
    let (code, patch) = run(&["diff", "1", "2"]);
    expect_that!(code, some(eq(0)));
    let expected = json!([{"op": "replace", "path": "/services/0/floor", "value": 2}]);
    expect_that!(patch, eq(&expected));
    expect_that!(run(&["show", "3"]).0, some(eq(2)));
    expect_that!(run(&["diff", "1", "9"]).0, some(eq(2)));
}
