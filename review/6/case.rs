//! The steady clock of the platform's store passes 366 days. From then on no daemon can
//! read an answer of the store: new configurations don't come into force, upstreams that
//! drain go on getting requests, and once all daemons have been started again none of
//! them serves anything.

#[path = "../standin-2/mod.rs"]
mod standin;

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use standin::{
    client::{self, Outcome},
    fleet::{self, Fleet, SIGTERM, UBKW_GATE},
    has_trouble,
    record::Record,
    sleep_until,
    store::Store,
    upstream::{self, Upstream},
};

const DAEMONS: usize = 4;

/// Upstreams of `desk`, the last of which drains, and of `archive`.
const DESK: usize = 4;
const ARCHIVE: usize = 3;

/// What the steady clock of the store shows at the start of the case, with the
/// disruption: 366 days are reached 12 s later.
const CLOCK: Duration = Duration::from_secs(366 * 24 * 60 * 60 - 12);

/// Time from the start of the case until the changes.
const CHANGES: Duration = Duration::from_secs(15);

/// Time for which requests are sent after the changes.
const WATCHED: Duration = Duration::from_secs(8);

/// `configApply` and `drain` of the deployment.
const BOUND: Duration = Duration::from_secs(2);

/// Margin of the check.
const MARGIN: Duration = Duration::from_millis(500);

/// `grace` and `recovery` of the deployment.
const GRACE: Duration = Duration::from_secs(6);
const RECOVERY: Duration = Duration::from_secs(15);

fn play(record: &Record) -> Result<bool, String> {
    let text = |error: io::Error| error.to_string();
    let began = Instant::now();
    let store = Store::start_at(if has_trouble() { CLOCK } else { Duration::ZERO });
    let store = store.map_err(text)?;
    let settings = upstream::Settings {
        work: Duration::from_millis(60),
        body_bytes: 1500,
        is_early: false,
    };
    let zone = |number: usize| UBKW_GATE.zones[number % UBKW_GATE.zones.len()];
    let mut upstreams = Vec::new();
    for number in 0..DESK + ARCHIVE {
        let service = if number < DESK { "desk" } else { "archive" };
        let id = format!("{service}-{number}");
        let upstream = Upstream::start(&id, settings.clone()).map_err(text)?;
        store.put(
            "servers",
            &id,
            &upstream.entry(service, zone(number), "ready"),
        );
        upstreams.push(upstream);
    }
    store.put("op", "config", &fleet::configuration(7, "desk"));
    let mut fleet = Fleet::new(DAEMONS, &UBKW_GATE, &store).map_err(text)?;
    fleet.start_all()?;

    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let clients: Vec<_> = (0..DAEMONS)
        .map(|daemon| {
            let front = fleet.front(daemon);
            let (sent, is_over) = (Arc::clone(&sent), Arc::clone(&is_over));
            thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::Relaxed) {
                    number += 1;
                    let (method, target) = if number % 2 == 0 {
                        ("GET", "/look/1")
                    } else {
                        ("POST", "/order/1")
                    };
                    let id = format!("{daemon}-{number}");
                    let outcome = client::send(&front, method, target, &id, b"");
                    sent.lock().unwrap().push(outcome);
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();

    sleep_until(began + CHANGES);
    let drains = &upstreams[DESK - 1];
    store.put("op", "config", &fleet::configuration(8, "archive"));
    store.put(
        "servers",
        &drains.id,
        &drains.entry("desk", zone(DESK - 1), "draining"),
    );
    let changed = Instant::now();
    record.add(format!("the store has acknowledged configuration 8, which moves /order/ from desk to archive, and that {} drains", drains.id));
    thread::sleep(WATCHED);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }

    let sent = sent.lock().unwrap();
    let sent_at = |id: &str| sent.iter().find(|it| it.id == id).map(|it| it.sent);
    let bound = changed + BOUND + MARGIN;
    let (mut outdated, mut current, mut drained) = (0, 0, 0);
    for upstream in &upstreams {
        for run in upstream.runs() {
            if sent_at(&run.id).is_none_or(|at| at < bound) {
                continue;
            }
            let after = (run.at - changed).as_secs_f64();
            let is_order = run.target.starts_with("/order/");
            if is_order && run.upstream.starts_with("desk") {
                outdated += 1;
                if outdated <= 5 {
                    record.add(format!("CONFIG: {} {} was run by {} of the old service {after:.2} s after the acknowledgement", run.target, run.id, run.upstream));
                }
            } else if is_order {
                current += 1;
            }
            if run.upstream == drains.id {
                drained += 1;
                if drained <= 5 {
                    record.add(format!(
                        "DRAIN: {} {} reached {} {after:.2} s after the acknowledgement",
                        run.target, run.id, run.upstream
                    ));
                }
            }
        }
    }
    let served = sent
        .iter()
        .filter(|it| it.answer.as_ref().is_ok_and(|it| it.status() == 200));
    record.add(format!("{} requests sent, {} served; later than {:.1} s after the acknowledgement {outdated} orders were run by the old service and {current} by the new one, and {drained} requests reached the upstream that drains", sent.len(), served.count(), (BOUND + MARGIN).as_secs_f64()));
    if outdated + current == 0 {
        return Err("no order was run after the change".to_owned());
    }

    // What follows shows how far the fault reaches and does not decide the result.
    for daemon in 0..DAEMONS {
        fleet.signal(daemon, SIGTERM);
    }
    for daemon in 0..DAEMONS {
        if !fleet.wait(daemon, GRACE) {
            return Err(format!("daemon {daemon} did not end within its grace time"));
        }
    }
    for daemon in 0..DAEMONS {
        fleet.start(daemon, false).map_err(text)?;
    }
    let back = Instant::now();
    while back.elapsed() < RECOVERY && !(0..DAEMONS).all(|daemon| fleet.is_ready(daemon)) {
        thread::sleep(Duration::from_millis(100));
    }
    let ready = (0..DAEMONS)
        .filter(|daemon| fleet.is_ready(*daemon))
        .count();
    let outcome = client::send(&fleet.front(0), "GET", "/look/1", "last", b"");
    let status = outcome.answer.map(|answer| answer.status());
    record.add(format!("{:.1} s after all daemons were stopped by SIGTERM and started again {ready} of {DAEMONS} are ready; a request gets {status:?}", back.elapsed().as_secs_f64()));
    Ok(outdated > 0)
}

fn main() {
    standin::run(play)
}
