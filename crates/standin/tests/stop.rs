//! Requirement R6: a planned stop cuts no request in flight.

use std::time::Duration;

use dotterelhinge_standin::{caller::mix, client, fleet};
use googletest::prelude::*;
use serde_json::json;

/// An upload of 8 MB at 2 MB/s needs 4 s.
const UPLOAD_BYTES: u64 = 8_000_000;
const UPLOAD_RATE: u64 = 2_000_000;

/// Longest wait for the process to end after the upload.
const END: Duration = Duration::from_secs(30);

/// One upload to a daemon; the rate and length make further arrivals unlikely
/// to be needed, and the load is ended after the first.
fn upload() -> mix::Mix {
    mix::Mix {
        kinds: vec![mix::Kind {
            name: "upload".to_owned(),
            method: "PUT".to_owned(),
            path: "/upload/1".to_owned(),
            body_bytes: UPLOAD_BYTES,
            body_rate: Some(UPLOAD_RATE),
            ..Default::default()
        }],
    }
}

fn lookups() -> mix::Mix {
    let mut mix = fleet::mix();
    mix.kinds.retain(|kind| kind.name != "upload");
    mix
}

/// Stops daemon 0 by `stop` while it carries an upload and others are served.
fn stops_without_a_cut(stop: impl Fn(&fleet::Daemon)) {
    let _guard = fleet::serialize_tests();
    let mut fleet = fleet::Fleet::start(&fleet::Options {
        // Long enough that the balancer sees the notice.
        settings: |settings| settings["stop_notice_ms"] = json!(2000),
        ..Default::default()
    });
    let others = fleet.load(lookups(), 100.0, Duration::from_secs(60));
    let uploads = fleet.load_at(&[0], upload(), 20.0, Duration::from_secs(60));
    fleet.wait("an upload runs", |fleet| {
        fleet.entries().iter().any(|entry| entry.class == "upload")
    });
    stop(&fleet.daemons[0]);
    fleet.wait("the daemon is not ready", |fleet| {
        client::get(&fleet.daemons[0].admin, "/ready").is_ok_and(|answer| answer.status == 503)
    });
    // A caller that the balancer sent before it noticed is still served.
    expect_that!(fleet.daemons[0].call("/lookup/late"), eq(200));

    let mut process = fleet.daemons[0].process.take().expect("the daemon runs");
    let status = process.wait(END).expect("the daemon ends");
    expect_that!(status.code(), some(eq(0)));
    let uploads = uploads.finish();
    // The others serve on after its end.
    let served = fleet.counter("requests");
    fleet.wait("others are served", |fleet| {
        fleet.counter("requests") >= served + 100
    });
    let others = others.finish();

    let kind = &uploads.kinds["upload"];
    expect_that!(kind.whole, gt(0));
    let cut = uploads.requests.iter();
    let cut: Vec<_> = cut
        .filter(|request| !matches!(request.detail.as_str(), "" | "no-target"))
        .collect();
    expect_that!(cut, is_empty());
    for (name, kind) in &others.kinds {
        expect_that!(kind.whole, eq(kind.sent), "{name} {:?}", kind.failed);
    }
    expect_that!(fleet.findings(&uploads), is_empty());
    expect_that!(fleet.findings(&others), is_empty());
}

/// Guards against a stop that cuts an upload or answers callers with errors.
#[googletest::test]
fn a_termination_signal_cuts_nothing() {
    stops_without_a_cut(|daemon| {
        let process = daemon.process.as_ref().expect("the daemon runs");
        process.terminate().expect("the daemon can be signalled");
    });
}

/// Guards against a drain that differs from a stop by signal.
#[googletest::test]
fn a_drain_cuts_nothing() {
    stops_without_a_cut(|daemon| {
        let answer = client::post(&daemon.admin, "/drain", &json!({}));
        expect_that!(answer.expect("it answers").status, eq(202));
    });
}
