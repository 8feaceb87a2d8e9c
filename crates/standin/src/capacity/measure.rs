//! Runs of real daemons on loopback and what they used.

use std::{
    fs, thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use super::{text, usage};
use crate::{client, fleet, process};

/// Longest wait for a fleet to be ready or a version to be in force.
const PATIENCE: Duration = Duration::from_secs(60);

/// Time for lists to settle, which is one full exchange.
const SETTLE: Duration = Duration::from_secs(3);

/// Counters and usage of all daemons of a fleet at one time.
#[derive(Clone, Copy, Debug)]
struct Reading {
    at: Instant,
    requests: f64,
    sent: f64,
    received: f64,
    cpu: f64,
    resident: f64,
}

/// Mean use of a daemon over an interval.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Requests a second.
    pub requests: f64,
    /// Control bytes sent a second.
    pub sent: f64,
    /// Control bytes received a second.
    pub received: f64,
    /// Share of a core.
    pub cpu: f64,
    /// Resident bytes at the end.
    pub resident: f64,
}

impl Rates {
    /// The rates as JSON, for the output of the program.
    pub fn json(&self) -> Value {
        json!({
            "requests_per_s": self.requests,
            "sent_bytes_per_s": self.sent,
            "received_bytes_per_s": self.received,
            "cpu_percent": self.cpu * 100.0,
            "resident_bytes": self.resident,
        })
    }
}

fn read(fleet: &fleet::Fleet) -> Reading {
    let mut reading = Reading {
        at: Instant::now(),
        requests: 0.0,
        sent: 0.0,
        received: 0.0,
        cpu: 0.0,
        resident: 0.0,
    };
    for daemon in &fleet.daemons {
        let counters = &daemon.admin("/status")["counters"];
        let count = |name: &str| counters[name].as_f64().unwrap_or(f64::NAN);
        reading.requests += count("requests");
        reading.sent += count("control_bytes_sent");
        reading.received += count("control_bytes_received");
        let id = daemon.process.as_ref().map(process::Process::id);
        let used = id.and_then(usage::read).unwrap_or_default();
        reading.cpu += used.cpu;
        reading.resident += used.resident as f64;
    }
    reading
}

fn rates(fleet: &fleet::Fleet, before: &Reading, after: &Reading) -> Rates {
    let count = fleet.daemons.len() as f64;
    let seconds = (after.at - before.at).as_secs_f64() * count;
    Rates {
        requests: (after.requests - before.requests) / seconds,
        sent: (after.sent - before.sent) / seconds,
        received: (after.received - before.received) / seconds,
        cpu: (after.cpu - before.cpu) / seconds,
        resident: after.resident / count,
    }
}

/// Use without requests over `time`.
pub fn idle(fleet: &fleet::Fleet, time: Duration) -> Rates {
    let before = read(fleet);
    thread::sleep(time);
    rates(fleet, &before, &read(fleet))
}

/// Use under `rate` requests a second and daemon of `kind`, over `seconds`.
pub fn loaded(fleet: &fleet::Fleet, kind: &Value, rate: f64, seconds: u64) -> Rates {
    let name = format!("dotterelhinge-capacity-{}", std::process::id());
    let mix = std::env::temp_dir().join(format!("{name}-mix.json"));
    let output = std::env::temp_dir().join(format!("{name}-out.json"));
    fs::write(&mix, json!({"kinds": [kind]}).to_string()).expect("the mix is writable");
    let targets: Vec<_> = fleet.daemons.iter().map(|d| d.listen.as_str()).collect();
    let total = rate * fleet.daemons.len() as f64;
    let before = read(fleet);
    let mut caller = process::Process::start(
        "standin-caller",
        &[
            "--targets",
            &targets.join(","),
            "--mix",
            &mix.to_string_lossy(),
            "--rate",
            &total.to_string(),
            "--seconds",
            &seconds.to_string(),
            "--seed",
            "1",
            "--output",
            &output.to_string_lossy(),
        ],
    )
    .unwrap_or_else(|report| panic!("caller does not start: {report:?}"));
    let ended = caller.wait(Duration::from_secs(seconds) + PATIENCE);
    let rates = rates(fleet, &before, &read(fleet));
    assert!(ended.is_ok(), "the caller did not end");
    let _ = fs::remove_file(&mix);
    let _ = fs::remove_file(&output);
    rates
}

fn until(what: &str, condition: impl Fn() -> bool) -> Duration {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < PATIENCE,
            "not within {PATIENCE:?}: {what}"
        );
        thread::sleep(Duration::from_millis(10));
    }
    start.elapsed()
}

fn joined(daemon: &fleet::Daemon, count: usize) -> bool {
    daemon.is_ready() && daemon.admin("/status")["members"] == count
}

/// A fleet of `options` whose daemons are ready and know each other.
pub fn start(options: &fleet::Options) -> fleet::Fleet {
    let fleet = fleet::Fleet::start_unready(options);
    let count = fleet.daemons.len();
    until("all daemons are ready", || {
        fleet.daemons.iter().all(|daemon| joined(daemon, count))
    });
    thread::sleep(SETTLE);
    fleet
}

/// Time from an edit until it is in force on all daemons, the command line
/// included.
pub fn edit(fleet: &mut fleet::Fleet, change: impl FnOnce(&mut Value)) -> Duration {
    let version = |daemon: &fleet::Daemon| daemon.admin("/status")["version"].as_u64();
    let base = version(&fleet.daemons[0]).expect("a text is in force");
    change(&mut fleet.document);
    let start = Instant::now();
    assert_eq!(fleet.apply(base), 0, "the text is not accepted");
    until("the version is in force", || {
        fleet
            .daemons
            .iter()
            .all(|daemon| version(daemon) > Some(base))
    });
    start.elapsed()
}

/// Kills all daemons and starts them at once. Returns the times until all are
/// ready, and until all list each other as well.
pub fn restart(fleet: &mut fleet::Fleet) -> (Duration, Duration) {
    for daemon in &mut fleet.daemons {
        daemon.process = None;
    }
    let start = Instant::now();
    thread::scope(|scope| {
        for daemon in &mut fleet.daemons {
            scope.spawn(|| daemon.start());
        }
    });
    let count = fleet.daemons.len();
    until("all daemons are ready", || {
        fleet.daemons.iter().all(fleet::Daemon::is_ready)
    });
    let ready = start.elapsed();
    until("all daemons know each other", || {
        fleet.daemons.iter().all(|daemon| joined(daemon, count))
    });
    (ready, start.elapsed())
}

/// Gives the platform a host list of `count` rows and returns the use of a
/// single daemon, which reads it once a second, over `time`.
pub fn reader(fleet: &fleet::Fleet, count: usize, time: Duration) -> Rates {
    let hosts = json!({"hosts": text::hosts(count)});
    let answer = client::post(fleet.platform.listening(), "/control", &hosts);
    assert!(
        answer.is_ok_and(|answer| answer.status == 204),
        "the host list is not taken"
    );
    thread::sleep(SETTLE);
    idle(fleet, time)
}

/// Reads and writes that the platform has served.
pub fn platform(fleet: &fleet::Fleet) -> (f64, f64) {
    let counters = client::get(fleet.platform.listening(), "/counters")
        .map_or(Value::Null, |answer| answer.json());
    let count = |name: &str| counters[name].as_f64().unwrap_or(f64::NAN);
    (count("reads"), count("writes"))
}
