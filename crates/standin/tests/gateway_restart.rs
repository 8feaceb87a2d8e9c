//! Daemons that start again after something was withdrawn while they were down.

use std::{thread, time::Duration};

use dotterelhinge_standin::gateway::{Fleet, Settings, eventually};
use googletest::prelude::*;
use serde_json::json;

/// Bound for a change of the list or of the configuration to be in force.
const APPLY: Duration = Duration::from_secs(2);

fn start() -> Fleet {
    Fleet::start(Settings::default()).unwrap_or_else(|error| panic!("{error:?}"))
}

/// Sends 30 orders through `host` and returns how many `server` began.
fn begun(fleet: &mut Fleet, host: usize, server: usize) -> usize {
    let count = |fleet: &Fleet| {
        let entries = fleet.record().unwrap().entries;
        entries
            .iter()
            .filter(|entry| entry.server == server)
            .count()
    };
    let before = count(fleet);
    for _ in 0..30 {
        fleet.send(host, "POST", "/order/1", b"order");
    }
    count(fleet) - before
}

// Guards against a server that left while a daemon was down and is used by it
// after its start, whether its first copy comes from the store or from a peer.
#[gtest]
fn a_server_that_left_is_not_used_after_a_restart() {
    for fault in [json!({}), json!({"mode": "silent"})] {
        let mut fleet = start();
        fleet.hosts[2].take().unwrap().kill();
        fleet.unregister(0).unwrap();
        fleet.register(1, "draining").unwrap();
        thread::sleep(APPLY);
        fleet.set_store_fault(&fault).unwrap();
        fleet.start_host(2).unwrap();
        for server in 0..2 {
            expect_that!(begun(&mut fleet, 2, server), eq(0), "{fault}");
        }
    }
}

// Guards against a route that was withdrawn while a daemon was down and is
// served by it after its start.
#[gtest]
fn a_withdrawn_route_is_not_served_after_a_restart() {
    for fault in [json!({}), json!({"mode": "silent"})] {
        let mut fleet = start();
        fleet.configure(&json!({"/added/": {}})).unwrap();
        let is_served =
            |fleet: &mut Fleet, host| fleet.send(host, "GET", "/added/1", b"").status == Some(200);
        expect_true!(eventually(APPLY, || is_served(&mut fleet, 2)));
        fleet.hosts[2].take().unwrap().kill();
        fleet.configure(&json!({})).unwrap();
        thread::sleep(APPLY);
        fleet.set_store_fault(&fault).unwrap();
        fleet.start_host(2).unwrap();
        let answer = fleet.send(2, "GET", "/added/1", b"");
        expect_that!(answer.status, some(eq(404)), "{fault}");
    }
}

// Guards against a fleet that starts anew as a whole and goes back to what it
// had before.
#[gtest]
fn what_was_withdrawn_stays_so_after_a_restart_of_the_fleet() {
    let mut fleet = start();
    fleet.configure(&json!({"/added/": {}})).unwrap();
    thread::sleep(APPLY);
    for host in 0..3 {
        fleet.hosts[host].take().unwrap().kill();
    }
    fleet.unregister(0).unwrap();
    fleet.configure(&json!({})).unwrap();
    for host in 0..3 {
        fleet.start_host(host).unwrap();
    }
    for host in 0..3 {
        expect_that!(begun(&mut fleet, host, 0), eq(0));
        let answer = fleet.send(host, "GET", "/added/1", b"");
        expect_that!(answer.status, some(eq(404)));
    }
}
