//! Repeats of orders under the same idempotency key, through any daemon.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use dotterelhinge_standin::{client, fleet};
use googletest::prelude::*;
use serde_json::{Value, json};

const PATIENCE: Duration = Duration::from_secs(20);

/// A lease lapses after 30 s and a successor waits for 33 s; the rest is for a
/// loaded machine.
const TAKEOVER: Duration = Duration::from_secs(90);

static ONE_FLEET: Mutex<()> = Mutex::new(());

/// Fleets are started one after the other, to keep the machine responsive.
fn alone() -> MutexGuard<'static, ()> {
    ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner)
}

fn key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Sends an order with a key; returns the status and the problem kind.
fn order(daemon: &fleet::Daemon, path: &str, key: &str) -> (u16, String) {
    let answer = client::request(
        &daemon.listen,
        "POST",
        path,
        &[("idempotency-key", key)],
        b"one charm",
        PATIENCE,
    );
    match answer {
        Err(_) => (0, "broken".to_owned()),
        Ok(answer) => {
            let title = answer.json()["title"].as_str().unwrap_or("").to_owned();
            (answer.status, title)
        }
    }
}

/// How often each key was begun.
fn begun(fleet: &fleet::Fleet) -> HashMap<String, usize> {
    let mut begun = HashMap::new();
    let record = fleet.record();
    for entry in record["entries"].as_array().into_iter().flatten() {
        if let Some(key) = entry["key"].as_str() {
            *begun.entry(key.to_owned()).or_default() += 1;
        }
    }
    begun
}

/// Orders new keys until `count` in a row are served, so that most ranges have
/// an owner. Returns the served keys.
fn serve(fleet: &fleet::Fleet, through: &[usize], count: usize, limit: Duration) -> Vec<String> {
    let until = Instant::now() + limit;
    let mut served = Vec::new();
    while served.len() < count {
        assert!(
            Instant::now() < until,
            "key ranges without an owner after {limit:?}"
        );
        let key = key();
        let daemon = &fleet.daemons[through[served.len() % through.len()]];
        match order(daemon, "/order/1", &key) {
            (200, _) => served.push(key),
            _ => {
                served.clear();
                thread::sleep(Duration::from_millis(200));
            }
        }
    }
    served
}

fn expect_once(fleet: &fleet::Fleet, keys: &[String]) {
    let begun = begun(fleet);
    for key in keys {
        expect_that!(begun.get(key).copied().unwrap_or(0), eq(1), "key {key}");
    }
    expect_that!(begun.values().max().copied().unwrap_or(0), le(1));
}

/// Guards against an order that runs again when its caller repeats it through
/// another daemon, one after the other or at the same time.
#[googletest::test]
fn repeats_through_other_daemons_do_not_run() {
    let _alone = alone();
    let fleet = fleet::Fleet::start(&fleet::Options {
        service_ms: 100,
        ..fleet::Options::default()
    });
    let keys = serve(&fleet, &[0, 1, 2], 40, PATIENCE);
    for (n, key) in keys.iter().enumerate() {
        let repeat = order(&fleet.daemons[(n + 1) % 3], "/order/1", key);
        expect_that!(repeat, eq(&(409, "key-done".to_owned())));
        let other = order(&fleet.daemons[n % 3], "/order/2", key);
        expect_that!(other, eq(&(422, "key-mismatch".to_owned())));
    }
    let shared = key();
    let answers: Vec<_> = thread::scope(|scope| {
        let sent: Vec<_> = (0..9)
            .map(|n| {
                let (fleet, shared) = (&fleet, &shared);
                scope.spawn(move || order(&fleet.daemons[n % 3], "/order/1", shared))
            })
            .collect();
        sent.into_iter().map(|sent| sent.join().unwrap()).collect()
    });
    let served = answers.iter().filter(|(status, _)| *status == 200).count();
    expect_that!(served, eq(1), "{answers:?}");
    expect_once(&fleet, &keys);
    expect_that!(begun(&fleet)[&shared], eq(1));
}

/// Guards against a key that its next owner doesn't know after a planned stop.
#[googletest::test]
fn planned_stop_hands_keys_over() {
    let _alone = alone();
    let mut fleet = fleet::Fleet::start(&fleet::Options::default());
    let keys = serve(&fleet, &[0, 1, 2], 60, PATIENCE);
    let stopped = fleet.daemons[2].process.take().unwrap().stop(PATIENCE);
    expect_that!(stopped.unwrap().success(), eq(true));
    for (n, key) in keys.iter().enumerate() {
        let until = Instant::now() + PATIENCE;
        // Until the successor has taken the lease, the key is refused as not
        // run; it must never become unknown or run.
        loop {
            let repeat = order(&fleet.daemons[n % 2], "/order/1", key);
            if repeat.1 == "unfenced" && Instant::now() < until {
                thread::sleep(Duration::from_millis(100));
                continue;
            }
            expect_that!(repeat, eq(&(409, "key-done".to_owned())));
            break;
        }
    }
    expect_once(&fleet, &keys);
}

/// Guards against a successor that begins keys which a killed owner had begun,
/// and against key ranges that stay without an owner.
#[googletest::test]
fn killed_owner_leaves_no_key_to_run_twice() {
    let _alone = alone();
    let mut fleet = fleet::Fleet::start(&fleet::Options::default());
    let keys = serve(&fleet, &[0, 1, 2], 60, PATIENCE);
    fleet.daemons[2].process.take().unwrap().kill();
    for (n, key) in keys.iter().enumerate() {
        let (_, kind) = order(&fleet.daemons[n % 2], "/order/1", key);
        expect_that!(
            kind,
            any![eq("key-done"), eq("unfenced"), eq("key-unknown")]
        );
    }
    let later = serve(&fleet, &[0, 1], 60, TAKEOVER);
    let mut unknown = 0;
    for (n, key) in keys.iter().enumerate() {
        let (_, kind) = order(&fleet.daemons[n % 2], "/order/1", key);
        expect_that!(kind, any![eq("key-done"), eq("key-unknown")]);
        unknown += usize::from(kind == "key-unknown");
    }
    // A third of the ranges had the killed owner.
    expect_that!(unknown, all![gt(0), lt(keys.len())]);
    expect_once(&fleet, &keys);
    expect_once(&fleet, &later);
}

/// Guards against keyed orders that run without a lease while the store is
/// away, and against a class that was told to run stopping all the same.
#[googletest::test]
fn store_outage_refuses_keyed_orders_unless_told_to_run() {
    let _alone = alone();
    let fleet = fleet::Fleet::start(&fleet::Options {
        document: |text: &mut Value| {
            let classes = text["classes"].as_array_mut().unwrap();
            classes.push(
                json!({"name": "note", "repeatable": false, "deadline_ms": 5000,
                "when_unfenced": "run"}),
            );
            let routes = text["routes"].as_array_mut().unwrap();
            routes.push(json!({"path_prefix": "/note", "service": "desk", "class": "note"}));
        },
        ..fleet::Options::default()
    });
    let keys = serve(&fleet, &[0, 1, 2], 30, PATIENCE);
    let down = client::post(
        fleet.platform.listening(),
        "/control",
        &json!({"down": true}),
    );
    expect_that!(down.unwrap().status, eq(204));
    let until = Instant::now() + TAKEOVER;
    let refused = loop {
        let refused = key();
        let answer = order(&fleet.daemons[0], "/order/1", &refused);
        if answer.0 != 200 || Instant::now() > until {
            expect_that!(answer, eq(&(503, "unfenced".to_owned())));
            break refused;
        }
        thread::sleep(Duration::from_millis(500));
    };
    expect_that!(begun(&fleet).get(&refused), none());
    // By then every lease has lapsed or soon will.
    thread::sleep(Duration::from_secs(1));
    expect_that!(order(&fleet.daemons[1], "/note/1", &key()).0, eq(200));
    for key in &keys {
        let (_, kind) = order(&fleet.daemons[1], "/order/1", key);
        expect_that!(kind, any![eq("key-done"), eq("unfenced")]);
    }
    let unkeyed = client::request(
        &fleet.daemons[1].listen,
        "POST",
        "/order/1",
        &[],
        b"x",
        PATIENCE,
    );
    expect_that!(unkeyed.unwrap().status, eq(200));
    expect_once(&fleet, &keys);
}
