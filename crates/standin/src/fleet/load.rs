//! Load on a fleet while a test acts on it, and observations of the fleet.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{sync::oneshot, task};

use super::{Daemon, Fleet};
use crate::{
    backend::record::{Entry, Page, State},
    caller::{mix, result::Results, run},
    check, client,
};

static TEST_GUARD: Mutex<()> = Mutex::new(());

/// Returns a guard that serializes the tests of one executable, so that few
/// processes run at once.
pub fn serialize_tests() -> MutexGuard<'static, ()> {
    TEST_GUARD.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a mix of repeatable lookups, orders that are not repeatable, and
/// small uploads.
pub fn mix() -> mix::Mix {
    let lookup = mix::Kind {
        name: "lookup".to_owned(),
        weight: 6.0,
        path: "/lookup/1".to_owned(),
        bytes: Some(3000),
        repeatable: true,
        ..Default::default()
    };
    let order = mix::Kind {
        name: "order".to_owned(),
        weight: 3.0,
        method: "POST".to_owned(),
        path: "/order/1".to_owned(),
        body_bytes: 300,
        ..Default::default()
    };
    let upload = mix::Kind {
        name: "upload".to_owned(),
        weight: 1.0,
        method: "PUT".to_owned(),
        path: "/upload/1".to_owned(),
        body_bytes: 100_000,
        repeatable: true,
        ..Default::default()
    };
    mix::Mix {
        kinds: vec![lookup, order, upload],
    }
}

/// Load that runs on its own thread.
#[derive(Debug)]
pub struct Load {
    stop: Option<oneshot::Sender<()>>,
    thread: thread::JoinHandle<Option<Results>>,
}

impl Load {
    /// Starts the load.
    pub fn start(settings: run::Settings) -> Self {
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .ok()?;
            let stopped = async move {
                // A dropped sender stops the load as well.
                let _ = stopped.await;
            };
            task::LocalSet::new().block_on(&runtime, run::run(settings, stopped))
        });
        Self {
            stop: Some(stop),
            thread,
        }
    }

    /// Waits until the arrivals have ended and the last answer is in.
    pub fn join(self) -> Results {
        let Self { stop, thread } = self;
        let results = thread.join().ok().flatten();
        // Dropped only now: a dropped sender ends the arrivals.
        drop(stop);
        results.expect("the load is valid and does not panic")
    }

    /// Stops the arrivals and waits for the last answer.
    pub fn finish(mut self) -> Results {
        drop(self.stop.take());
        self.join()
    }
}

impl Daemon {
    /// Sends a `GET` request as a caller. Returns the status, 0 without an answer.
    pub fn call(&self, path: &str) -> u16 {
        client::get(&self.listen, path).map_or(0, |answer| answer.status)
    }

    /// Returns the JSON log lines of the running process in order.
    pub fn log(&self) -> Vec<Value> {
        let output = self.process.as_ref().map(|process| process.output());
        let output = output.unwrap_or_default();
        let lines = output.lines();
        lines
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect()
    }

    /// Returns the log lines with this event.
    pub fn events(&self, event: &str) -> Vec<Value> {
        let mut lines = self.log();
        lines.retain(|line| line["event"] == event);
        lines
    }
}

impl Fleet {
    /// Starts load on all daemons that are ready, for at most `length`.
    pub fn load(&self, mix: mix::Mix, rate: f64, length: Duration) -> Load {
        let all = 0..self.daemons.len();
        self.load_at(&all.collect::<Vec<_>>(), mix, rate, length)
    }

    /// Starts load on the daemons with these indices.
    pub fn load_at(&self, at: &[usize], mix: mix::Mix, rate: f64, length: Duration) -> Load {
        let daemons = || at.iter().map(|index| &self.daemons[*index]);
        Load::start(run::Settings {
            targets: daemons().map(|daemon| daemon.listen.clone()).collect(),
            admins: daemons().map(|daemon| daemon.admin.clone()).collect(),
            ready_period: Duration::from_millis(50),
            mix: Arc::new(mix),
            rate,
            length,
            ..Default::default()
        })
    }

    /// Waits until no request is running and returns the record.
    pub fn completed_record(&self) -> Vec<Entry> {
        self.wait("no request runs", |fleet| {
            fleet.entries().iter().all(|e| e.state != State::Running)
        });
        self.entries()
    }

    /// Returns the record at this moment.
    pub fn entries(&self) -> Vec<Entry> {
        let page: Page = serde_json::from_value(self.record()).expect("the record is a page");
        page.entries
    }

    /// Returns the violated requirements in `results`, once no request is running.
    pub fn findings(&self, results: &Results) -> Vec<check::Finding> {
        check::check(&self.completed_record(), results)
    }

    /// Returns the sum of a counter over all running daemons.
    pub fn counter(&self, name: &str) -> u64 {
        let daemons = self.daemons.iter().filter(|d| d.process.is_some());
        daemons
            .filter_map(|daemon| daemon.admin("/status")["counters"][name].as_u64())
            .sum()
    }

    /// Waits until the daemons have received `count` more requests.
    pub fn wait_for_requests(&self, count: u64) {
        let before = self.counter("requests");
        self.wait("requests arrive", |fleet| {
            fleet.counter("requests") >= before + count
        });
    }

    /// Returns the index of the only running daemon that coordinates a service, or
    /// `None` if there is none or more than one.
    pub fn coordinator(&self) -> Option<usize> {
        let is_coordinator = |daemon: &Daemon| {
            let status = daemon.admin("/status");
            status["coordinator_of"]
                .as_array()
                .is_some_and(|services| !services.is_empty())
        };
        let mut found = (0..self.daemons.len())
            .filter(|n| self.daemons[*n].process.is_some() && is_coordinator(&self.daemons[*n]));
        found.next().filter(|_| found.next().is_none())
    }

    /// Returns the rows of `/upstreams` of all running daemons, by host.
    pub fn upstreams(&self) -> BTreeMap<String, Vec<Value>> {
        let running = self.daemons.iter().filter(|d| d.process.is_some());
        running
            .map(|daemon| {
                let rows = daemon.admin("/upstreams").as_array().cloned();
                (daemon.host.clone(), rows.unwrap_or_default())
            })
            .collect()
    }

    /// Returns the states of an upstream for a class at the running daemons that
    /// coordinate it.
    pub fn states(&self, upstream: &str, class: &str) -> Vec<String> {
        let rows = self.upstreams().into_values().flatten();
        rows.filter(|row| row["upstream"] == upstream && row["class"] == class)
            .filter_map(|row| row["state"].as_str().map(str::to_owned))
            .collect()
    }

    /// Sends a control call to the platform stand-in.
    pub fn control_platform(&self, control: &Value) {
        let answer = client::post(self.platform.listening(), "/control", control);
        assert!(
            answer.is_ok_and(|answer| answer.status == 204),
            "control {control}"
        );
    }

    /// Returns a counter of the platform stand-in.
    pub fn platform_counter(&self, name: &str) -> u64 {
        let answer = client::get(self.platform.listening(), "/counters");
        let answer = answer.expect("the platform answers").json();
        answer[name].as_u64().expect("the counter is known")
    }

    /// Returns the current time on the record's clock, in milliseconds.
    pub fn record_time_ms(&self) -> f64 {
        // Clearing the faults of a class that has none changes nothing.
        self.set_class_fault(Some("/none"), &[], json!({"kind": "clear"}))
    }

    /// Sets a fault for a class, or for all classes without one. Returns the time
    /// on the record's clock, in milliseconds.
    pub fn set_class_fault(&self, class: Option<&str>, servers: &[usize], fault: Value) -> f64 {
        let body = json!({"servers": servers, "class": class, "fault": fault});
        let answer = client::post(self.backend.control(), "/fault", &body);
        let answer = answer.expect("the backend answers").json();
        answer["at_ms"].as_f64().expect("the fault is known")
    }

    /// Commits `document` on top of `base` from a separate file per author, so that
    /// several operators can do so concurrently. Returns exit code and output.
    pub fn apply_document(&self, document: &Value, base: u64, author: &str) -> (i32, String) {
        let path = self.directory.join(format!("text-{author}.json"));
        std::fs::write(&path, document.to_string()).expect("the configuration file is writable");
        let path = path.to_string_lossy();
        let base = base.to_string();
        self.run_ctl(&["apply", &path, "--base", &base, "--author", author])
    }

    /// Whether all running daemons are ready and use this version.
    pub fn is_version_active(&self, version: u64) -> bool {
        let mut running = self.daemons.iter().filter(|d| d.process.is_some());
        running.all(|daemon| {
            let status = daemon.admin("/status");
            status["version"] == version && status["ready"] == true
        })
    }
}
