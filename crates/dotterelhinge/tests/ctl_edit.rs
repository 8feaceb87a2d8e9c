//! Commands of the command line that edit the text on a platform.

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

/// Writes a text whose first floor is `floor`, and returns its path.
fn text(floor: u64) -> String {
    let base = include_str!("data/base.json");
    let mut text: Value = serde_json::from_str(base).expect("base is JSON");
    text["services"][0]["floor"] = json!(floor);
    let name = format!("text-{}-{floor}.json", std::process::id());
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    // Tests write the same content, so that a reader sees whole files only.
    let draft = file.with_extension(format!("{:?}", thread::current().id()));
    fs::write(&draft, text.to_string()).expect("directory is writable");
    fs::rename(&draft, &file).expect("directory is writable");
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
    let file = text(floor);
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

/// Guards against an edit that is applied a second time after its answer was
/// lost.
#[gtest]
fn a_lost_answer_makes_one_version() {
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

/// A platform whose transaction takes effect, and that is down for the next
/// calls.
struct Cutoff {
    inner: Memory,
    /// Calls that fail after a transaction.
    outage: Cell<usize>,
    left: Cell<usize>,
}

impl Cutoff {
    fn new(outage: usize) -> Self {
        Self {
            inner: Memory::new(),
            outage: Cell::new(outage),
            left: Cell::new(0),
        }
    }

    fn tick(&self) {
        let left = self.left.get();
        self.inner.set_down(left > 0);
        self.left.set(left.saturating_sub(1));
    }
}

impl Store for Cutoff {
    fn transact<'a>(
        &'a self,
        conditions: &'a [Condition],
        writes: &'a [Write],
    ) -> LocalBoxFuture<'a, platform::Result<()>> {
        async move {
            self.tick();
            if self.outage.get() > 0 {
                self.inner.lose_response();
                self.left.set(self.outage.replace(0));
            }
            self.inner.transact(conditions, writes).await
        }
        .boxed_local()
    }

    fn row<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, platform::Result<Option<String>>> {
        self.tick();
        self.inner.row(key)
    }

    fn rows<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, platform::Result<Vec<Row>>> {
        self.tick();
        self.inner.rows(prefix, after, limit)
    }

    fn put_object<'a>(
        &'a self,
        name: &'a str,
        body: Bytes,
    ) -> LocalBoxFuture<'a, platform::Result<()>> {
        self.tick();
        self.inner.put_object(name, body)
    }

    fn get_object<'a>(
        &'a self,
        name: &'a str,
    ) -> LocalBoxFuture<'a, platform::Result<Option<Bytes>>> {
        self.tick();
        self.inner.get_object(name)
    }

    fn hosts(&self) -> LocalBoxFuture<'_, platform::Result<Vec<Host>>> {
        self.tick();
        self.inner.hosts()
    }
}

/// Guards against an unknown outcome reported as accepted or as refused.
#[gtest]
fn an_outage_after_the_write_is_settled_or_unproven() {
    // Of five calls, two read-backs and a repeated transaction fall to the
    // platform client, and the rest to the command.
    let short = Rc::new(Cutoff::new(5));
    let settled = apply(short.clone(), 1, "0");
    expect_that!(settled.code, eq(Code::Ok));
    expect_that!(settled.json["result"], eq(&json!("accepted")));
    expect_that!(short.inner.applied_transactions(), eq(1));

    let long = Rc::new(Cutoff::new(1000));
    let unproven = apply(long.clone(), 1, "0");
    expect_that!(unproven.code, eq(Code::Unproven));
    expect_that!(
        unproven.problems,
        elements_are![contains_substring("history")]
    );
    expect_that!(long.inner.applied_transactions(), eq(1));
}

/// Guards against a conflict that hides whose edit would be overwritten.
#[gtest]
fn a_conflict_names_who_changed_what() {
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

/// Starts the stand-in of the platform and returns its base URL.
fn standin() -> String {
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

/// Guards against a command line that agrees with itself and not with the
/// platform's interface.
#[gtest]
fn the_program_edits_a_platform_over_http() {
    let platform = standin();
    let run = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_dotterelhingectl"))
            .args(arguments)
            .args(["--platform", &platform, "--output", "json"])
            .output()
            .expect("program starts");
        let json: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        (output.status.code(), json)
    };
    let apply =
        |floor, base: &str| run(&["apply", &text(floor), "--base", base, "--author", "ana"]);
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
