//! Requirement R7: an accepted text is in force everywhere within 6 s and
//! never reverts.

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use dotterelhinge_standin::fleet;
use googletest::prelude::*;
use serde_json::{Value, json};

/// Within this time an accepted edit is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(6);

/// A text that differs from that of the fleet and from edits with another
/// number; a text without a change makes no version.
fn edited(fleet: &fleet::Fleet, number: u64) -> Value {
    let mut text = fleet.document.clone();
    text["services"][0]["cold_start_ms"] = json!(1000 + number);
    text
}

/// Number of versions that the platform's history lists.
fn history(fleet: &fleet::Fleet) -> usize {
    let (code, output) = fleet.run_ctl(&["--output", "json", "history"]);
    assert_eq!(code, 0, "{output}");
    let rows: Value = serde_json::from_str(&output).expect("the output is JSON");
    let rows = rows.as_array().or_else(|| rows["versions"].as_array());
    rows.map_or_else(|| panic!("no rows: {output}"), Vec::len)
}

/// Guards against an edit that overwrites another one that it did not see.
#[googletest::test]
fn one_of_racing_edits_wins() {
    let _guard = fleet::serialize_tests();
    let fleet = fleet::Fleet::start(&fleet::Options::default());
    for round in 0..5 {
        let base = round + 1;
        let mut codes: Vec<i32> = thread::scope(|scope| {
            let operators: Vec<_> = (0..4_u64)
                .map(|n| {
                    let text = edited(&fleet, 10 * round + n);
                    let fleet = &fleet;
                    scope.spawn(move || {
                        fleet
                            .apply_document(&text, base, &format!("operator-{n}"))
                            .0
                    })
                })
                .collect();
            operators
                .into_iter()
                .filter_map(|o| o.join().ok())
                .collect()
        });
        codes.sort_unstable();
        expect_that!(codes, eq(&vec![0, 4, 4, 4]), "round {round}");
        expect_that!(history(&fleet), eq(base as usize + 1));
    }
}

/// Ends the daemons: their leases on key ranges are writes too, and would take
/// the lost answer that is meant for the operator.
fn stop_lease_writes(fleet: &mut fleet::Fleet) {
    for daemon in &mut fleet.daemons {
        if let Some(process) = daemon.process.take() {
            process.kill();
        }
    }
}

/// Guards against an edit that is accepted twice, or reported as lost,
/// because the answer to its transaction was lost.
#[googletest::test]
fn a_lost_answer_makes_one_version() {
    let _guard = fleet::serialize_tests();
    let mut fleet = fleet::Fleet::start(&fleet::Options::default());
    stop_lease_writes(&mut fleet);
    let writes = fleet.platform_counter("writes");
    // The effect comes before the delay, so that the loss can be set between
    // the write of the text and that of the version.
    fleet.control_platform(&json!({"delay_ms": 1000}));
    let (code, output) = thread::scope(|scope| {
        let operator = scope.spawn(|| fleet.apply_document(&edited(&fleet, 1), 1, "operator"));
        fleet.wait("the text is written", |fleet| {
            fleet.platform_counter("writes") == writes + 1
        });
        fleet.control_platform(&json!({"lose_answers": 1, "delay_ms": 0}));
        operator.join().expect("the operator ends")
    });
    expect_that!(code, eq(0), "{output}");
    expect_that!(fleet.platform_counter("lost_answers"), eq(1));
    expect_that!(history(&fleet), eq(2));
    for daemon in &mut fleet.daemons {
        daemon.start();
    }
    fleet.wait("the edit is in force", |fleet| fleet.is_version_active(2));
}

/// Guards against half an edit: with the answer to the write of the text lost,
/// nothing is changed and the operator can repeat the command.
#[googletest::test]
fn an_edit_whose_text_was_not_confirmed_changes_nothing() {
    let _guard = fleet::serialize_tests();
    let mut fleet = fleet::Fleet::start(&fleet::Options::default());
    stop_lease_writes(&mut fleet);
    fleet.control_platform(&json!({"lose_answers": 1}));
    let text = edited(&fleet, 1);
    expect_that!(fleet.apply_document(&text, 1, "operator").0, eq(5));
    expect_that!(fleet.platform_counter("lost_answers"), eq(1));
    expect_that!(history(&fleet), eq(1));
    expect_that!(fleet.apply_document(&text, 1, "operator").0, eq(0));
    expect_that!(history(&fleet), eq(2));
}

/// Guards against daemons that need the store to go on or to start.
#[googletest::test]
fn daemons_start_from_peers_while_the_store_is_down() {
    let _guard = fleet::serialize_tests();
    let mut fleet = fleet::Fleet::start(&fleet::Options::default());
    expect_that!(
        fleet.apply_document(&edited(&fleet, 1), 1, "operator").0,
        eq(0)
    );
    fleet.wait("the edit is in force", |fleet| fleet.is_version_active(2));
    fleet.control_platform(&json!({"down": true}));
    let process = fleet.daemons[2].process.take();
    process.expect("the daemon runs").kill();
    fleet.daemons[2].start();
    fleet.wait("the daemon is ready again", |fleet| {
        fleet.is_version_active(2)
    });
    for daemon in &fleet.daemons {
        expect_that!(daemon.call("/lookup/1"), eq(200));
    }
    // No version came from the store: it answered nothing.
    expect_that!(fleet.platform_counter("unavailable"), gt(0));
}

/// Sends a request without reading its answer.
fn send(address: &str, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the socket listens");
    let head = format!("GET {path} HTTP/1.1\r\nhost: desk\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("the head fits");
    stream
}

fn status(mut stream: TcpStream) -> String {
    let mut answer = String::new();
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let _ = stream.read_to_string(&mut answer);
    answer.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Guards against a daemon that was paused during an edit and admits requests
/// under the old text, before or after it is ready again.
#[googletest::test]
fn a_frozen_daemon_never_serves_the_old_text() {
    let _guard = fleet::serialize_tests();
    let fleet = fleet::Fleet::start(&fleet::Options::default());
    let victim = &fleet.daemons[2];
    let process = victim.process.as_ref().expect("the daemon runs");
    let mut text = fleet.document.clone();
    text["routes"].as_array_mut().expect("routes").remove(0);
    process.suspend().expect("the daemon can be stopped");
    expect_that!(fleet.apply_document(&text, 1, "operator").0, eq(0));
    fleet.wait("the edit is in force elsewhere", |fleet| {
        let mut others = fleet.daemons[..2].iter();
        others.all(|daemon| daemon.admin("/status")["version"] == 2)
    });
    // Longer than the gap from which on a daemon takes itself for paused.
    thread::sleep(Duration::from_secs(3));
    // These wait in the socket's queue and are served first.
    let early: Vec<TcpStream> = (0..20).map(|_| send(&victim.listen, "/lookup/1")).collect();
    process.resume().expect("the daemon can be continued");
    for stream in early {
        expect_that!(status(stream), any!(eq("503"), eq("404")));
    }
    let until = Instant::now() + Duration::from_secs(20);
    let mut ready = 0;
    while ready < 50 && Instant::now() < until {
        if victim.is_ready() {
            ready += 1;
            expect_that!(victim.admin("/status")["version"], eq(&json!(2)));
            expect_that!(status(send(&victim.listen, "/lookup/1")), eq("404"));
        }
    }
    expect_that!(ready, eq(50));
}

/// Ends the watchers, also when the test panics.
struct Ends<'a>(&'a AtomicBool);

impl Drop for Ends<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Guards against a daemon that goes back to an older text.
#[googletest::test]
fn versions_never_go_back() {
    let _guard = fleet::serialize_tests();
    let fleet = fleet::Fleet::start(&fleet::Options {
        daemons: 4,
        ..Default::default()
    });
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        let ends = Ends(&done);
        let watchers: Vec<_> = fleet
            .daemons
            .iter()
            .map(|daemon| {
                let done = &done;
                scope.spawn(move || {
                    let mut seen = Vec::new();
                    loop {
                        // Read before the last look, which then sees the end.
                        let last = done.load(Ordering::Relaxed);
                        if let Some(version) = daemon.admin("/status")["version"].as_u64() {
                            seen.push(version);
                        }
                        if last {
                            break;
                        }
                        thread::sleep(Duration::from_millis(5));
                    }
                    seen
                })
            })
            .collect();
        for base in 1..=10_u64 {
            if base == 5 {
                let process = fleet.daemons[3].process.as_ref().expect("it runs");
                process.suspend().expect("the daemon can be stopped");
            }
            if base == 8 {
                let process = fleet.daemons[3].process.as_ref().expect("it runs");
                process.resume().expect("the daemon can be continued");
            }
            let (code, output) = fleet.apply_document(&edited(&fleet, base), base, "operator");
            expect_that!(code, eq(0), "{output}");
            thread::sleep(Duration::from_millis(300));
        }
        fleet.wait("the last edit is in force", |fleet| {
            fleet.is_version_active(11)
        });
        drop(ends);
        for watcher in watchers {
            let seen = watcher.join().expect("the watcher ends");
            expect_that!(seen.is_sorted(), is_true(), "{seen:?}");
            expect_that!(seen.last(), some(eq(&11)));
        }
    });
}

/// Guards against an accepted edit that takes longer than stated to be in
/// force on every host.
#[googletest::test]
fn an_edit_is_in_force_on_twelve_hosts_within_the_limit() {
    let _guard = fleet::serialize_tests();
    let fleet = fleet::Fleet::start(&fleet::Options {
        daemons: 12,
        ..Default::default()
    });
    for base in 1..=3 {
        let (code, output) = fleet.apply_document(&edited(&fleet, base), base, "operator");
        let accepted = Instant::now();
        expect_that!(code, eq(0), "{output}");
        fleet.wait("the edit is in force", |fleet| {
            fleet.is_version_active(base + 1)
        });
        expect_that!(accepted.elapsed(), lt(IN_FORCE));
    }
}
