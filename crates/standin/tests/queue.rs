//! Waiting for a slot.

use std::{thread, time::Duration};

use dotterelhinge_standin::{client, fleet};
use googletest::prelude::*;

const PATIENCE: Duration = Duration::from_secs(20);

/// Guards against slots granted to callers that have gone away: each such
/// grant held its slot until the ticket had been silent for a second, so that
/// a few dozen impatient callers blocked a service.
#[googletest::test]
fn callers_that_gave_up_hold_no_slot() {
    let fleet = fleet::Fleet::start(&fleet::Options {
        daemons: 2,
        upstreams: 1,
        floor: 0,
        slots: 1,
        service_ms: 400,
        ..fleet::Options::default()
    });
    let lookup = |daemon: usize, patience| {
        client::request(
            &fleet.daemons[daemon].listen,
            "GET",
            "/lookup/1",
            &[],
            b"",
            patience,
        )
    };
    thread::scope(|scope| {
        let first = scope.spawn(|| lookup(0, PATIENCE));
        thread::sleep(Duration::from_millis(100));
        let impatient: Vec<_> = (0..24)
            .map(|n| scope.spawn(move || lookup(n % 2, Duration::from_millis(50))))
            .collect();
        for caller in impatient {
            expect_that!(caller.join().unwrap().is_err(), eq(true));
        }
        for daemon in 0..2 {
            expect_that!(lookup(daemon, PATIENCE).unwrap().status, eq(200));
        }
        expect_that!(first.join().unwrap().unwrap().status, eq(200));
    });
    let begun = fleet.record()["entries"].as_array().unwrap().len();
    expect_that!(begun, eq(3));
}
