//! Requirement R1: ejections leave at least `floor` upstreams.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use dotterelhinge_standin::fleet;
use googletest::prelude::*;
use serde_json::{Value, json};

const RATE: f64 = 200.0;
const BEFORE: u64 = 200;
const DURING: u64 = 1500;

/// Longest wait for an ejection and for the way back: hold, trial and ramp.
const RETURN: Duration = Duration::from_secs(40);

/// Service times that keep about half of the slots in use: a suspect upstream
/// is chosen last, and without need it receives no work that could confirm the
/// suspicion.
fn busy() -> fleet::Options {
    fleet::Options {
        service_ms: 30,
        ..Default::default()
    }
}

fn states(fleet: &fleet::Fleet, class: &str) -> Vec<BTreeMap<String, String>> {
    let daemons = fleet.upstreams().into_values();
    let by_name = daemons.map(|rows| {
        let rows = rows.iter().filter(|row| row["class"] == class);
        rows.filter_map(|row| Some((row["upstream"].as_str()?, row["state"].as_str()?)))
            .map(|(name, state)| (name.to_owned(), state.to_owned()))
            .collect()
    });
    by_name
        .filter(|rows: &BTreeMap<_, _>| !rows.is_empty())
        .collect()
}

const FLOOR: usize = 4;

/// Lets some of six upstreams fail under load; returns the ejections.
fn leaves_the_floor(failing: &[usize]) -> Vec<Value> {
    let _guard = fleet::serialize_tests();
    let fleet = fleet::Fleet::start(&fleet::Options {
        upstreams: 6,
        floor: FLOOR,
        ..busy()
    });
    let load = fleet.load(fleet::mix(), RATE, Duration::from_secs(60));
    fleet.wait_for_requests(BEFORE);
    fleet.set_fault(failing, json!({"kind": "fail"}));
    let until = fleet.counter("requests") + DURING;
    let mut looks = 0;
    while fleet.counter("requests") < until {
        for class in ["lookup", "order", "upload"] {
            for states in states(&fleet, class) {
                let left = states.values().filter(|state| *state != "ejected");
                expect_that!(left.count(), ge(FLOOR), "{class}: {states:?}");
                looks += 1;
            }
        }
    }
    let results = load.finish();
    expect_that!(looks, gt(0));
    expect_that!(fleet.findings(&results), is_empty());
    let of = |event: &str| -> Vec<_> {
        let daemons = fleet.daemons.iter();
        daemons.flat_map(|daemon| daemon.events(event)).collect()
    };
    // The evidence called for more than the floor allows.
    expect_that!(of("floor_held"), not(is_empty()));
    let ejected = of("ejected");
    for line in &ejected {
        let healthy = line["healthy"].as_u64();
        expect_that!(healthy, some(ge(FLOOR as u64)), "{line}");
    }
    ejected
}

/// Guards against ejections that take away more than the floor allows when
/// most upstreams fail at once. That is taken for a common cause, so it need
/// not eject any.
#[googletest::test]
fn most_upstreams_failing_at_once_leave_the_floor() {
    leaves_the_floor(&[0, 1, 2, 3, 4]);
}

/// Guards against ejections beyond the floor when more upstreams fail than it
/// allows to eject, and against a floor that prevents them all.
#[googletest::test]
fn half_of_the_upstreams_failing_leave_the_floor() {
    let ejected = leaves_the_floor(&[0, 1, 2]);
    expect_that!(ejected, not(is_empty()));
}

/// Guards against a failure of one class that takes a server from the others.
#[googletest::test]
fn a_class_that_fails_alone_is_ejected_alone() {
    let _guard = fleet::serialize_tests();
    let fleet = fleet::Fleet::start(&busy());
    let load = fleet.load(fleet::mix(), RATE, Duration::from_secs(60));
    fleet.wait_for_requests(BEFORE);
    fleet.set_class_fault(Some("/order"), &[1], json!({"kind": "fail"}));
    fleet.wait("the class is ejected", |fleet| {
        fleet
            .states("desk-1", "order")
            .contains(&"ejected".to_owned())
    });
    fleet.wait_for_requests(DURING);
    let results = load.finish();
    expect_that!(fleet.findings(&results), is_empty());
    let ejected: BTreeSet<_> = fleet
        .daemons
        .iter()
        .flat_map(|daemon| daemon.events("ejected"))
        .map(|line| (line["upstream"].to_string(), line["class"].to_string()))
        .collect();
    let only = ("\"desk-1\"".to_owned(), "\"order\"".to_owned());
    expect_that!(ejected, eq(&BTreeSet::from([only])));
}

/// Guards against a failing server that keeps its work, a sound one that loses
/// it, and a recovered one that stays out.
#[googletest::test]
fn a_failing_server_is_ejected_and_readmitted() {
    let _guard = fleet::serialize_tests();
    let fleet = fleet::Fleet::start(&busy());
    let load = fleet.load(fleet::mix(), RATE, 3 * RETURN);
    fleet.wait_for_requests(BEFORE);
    fleet.set_fault(&[1], json!({"kind": "fail"}));
    let all = |state: &str| {
        let classes = ["lookup", "order", "upload"];
        classes
            .iter()
            .all(|class| fleet.states("desk-1", class) == [state.to_owned()])
    };
    let until = Instant::now() + RETURN;
    while !all("ejected") && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    expect_that!(all("ejected"), is_true(), "{:?}", fleet.upstreams());
    fleet.set_fault(&[1], json!({"kind": "clear"}));
    let until = Instant::now() + RETURN;
    while !all("healthy") && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    expect_that!(all("healthy"), is_true());
    let from = fleet.record_time_ms();
    fleet.wait("it has work again", |fleet| {
        let mut entries = fleet.entries().into_iter();
        entries.any(|entry| entry.server == 1 && entry.start_ms > from)
    });
    let results = load.finish();
    expect_that!(fleet.findings(&results), is_empty());
    for daemon in &fleet.daemons {
        for line in daemon.events("ejected") {
            expect_that!(line["upstream"], eq(&json!("desk-1")), "{line}");
        }
    }
}
