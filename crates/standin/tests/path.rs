//! The whole path: caller, daemon, upstream.

use std::time::Duration;

use dotterelhinge_standin::{client, fleet};
use googletest::prelude::*;

const PATIENCE: Duration = Duration::from_secs(20);

/// Guards against a path that is broken at any daemon for any class.
#[googletest::test]
fn every_class_is_served_whole_at_every_daemon() {
    let fleet = fleet::Fleet::start(&fleet::Options::default());
    let upload = vec![7_u8; 8 << 20];
    for daemon in &fleet.daemons {
        for (method, path, body) in [
            ("GET", "/lookup/1?bytes=3000", &b""[..]),
            ("POST", "/order/1", b"one charm"),
            ("POST", "/upload/1", &upload),
        ] {
            let id = format!("{}-{}", daemon.host, path.replace('/', "-"));
            let answer = client::request(
                &daemon.listen,
                method,
                path,
                &[("x-request-id", &id)],
                body,
                PATIENCE,
            )
            .unwrap();
            expect_that!(answer.status, eq(200), "{path}: {:?}", answer.json());
            expect_that!(answer.headers.get("x-request-id"), some(eq(id.as_str())));
            let sum = format!("{:08x}", crc32fast::hash(&answer.body));
            expect_that!(answer.headers.get("x-checksum"), some(eq(sum.as_str())));
        }
    }
}

/// Guards against a path that the route table and a backend server read
/// differently, so that an order would run under the terms of lookups.
#[googletest::test]
fn paths_with_dot_segments_are_refused() {
    let fleet = fleet::Fleet::start(&fleet::Options {
        daemons: 1,
        ..fleet::Options::default()
    });
    for path in [
        "/lookup/../order/1",
        "/lookup/%2e%2e/order/1",
        "/lookup/.%2E/order/1",
        "/lookup/./1",
        "/lookup/..%2forder/1",
        "/lookup/..\\order",
    ] {
        let answer = client::request(&fleet.daemons[0].listen, "GET", path, &[], b"", PATIENCE);
        expect_that!(answer.unwrap().status, eq(400), "{path}");
    }
    let record = fleet.record();
    expect_that!(record["entries"].as_array().unwrap().len(), eq(0));
    let answer = client::get(&fleet.daemons[0].listen, "/lookup/a.b/..c").unwrap();
    expect_that!(answer.status, eq(200));
}
