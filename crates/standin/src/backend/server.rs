//! One backend server: slots, connections, faults and counters.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::{Distribution as _, Exp1};
use serde::Serialize;
use tokio::sync::watch;

use crate::backend::fault::{Fault, Plan, Rules};
use crate::backend::record::Record;
use crate::http::head;

/// Distribution of service times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distribution {
    /// Exponential with the given mean.
    Exponential,
    /// Constant.
    Fixed,
}

/// Settings shared by all servers.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Requests that run at the same time on a server.
    pub slots: usize,
    /// Connections that a server accepts.
    pub connections: usize,
    /// Mean service time.
    pub service_time: Duration,
    /// Distribution of service times.
    pub distribution: Distribution,
    /// Time that a health probe takes.
    pub probe_time: Duration,
    /// Time that a new connection takes before its first request is read.
    pub connect_delay: Duration,
    /// Whether a server abandons a request at its deadline.
    pub honours_deadlines: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            slots: 3,
            connections: 400,
            service_time: Duration::from_millis(30),
            distribution: Distribution::Exponential,
            probe_time: Duration::from_millis(25),
            connect_delay: Duration::ZERO,
            honours_deadlines: false,
        }
    }
}

/// Counters of a server since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Requests that began.
    pub begun: u64,
    /// Requests answered as not run since no slot was free.
    pub over_slots: u64,
    /// Requests shed by a fault.
    pub shed: u64,
    /// Requests and probes that are never answered.
    pub hung: u64,
    /// Probes answered.
    pub probes: u64,
    /// Connections accepted.
    pub connections: u64,
    /// Connections closed since the connection limit was reached.
    pub over_connections: u64,
}

/// Entry of the answer to `GET /servers`.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Server name.
    pub name: Arc<str>,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Slots in use.
    pub busy: usize,
    /// Open connections.
    pub open: usize,
    /// Faults that are set.
    pub faults: Vec<Fault>,
    /// Counters.
    pub counters: Counters,
}

#[derive(Debug)]
struct Inner {
    random: StdRng,
    rules: Rules,
    busy: usize,
    open: usize,
    next_connection: u64,
    /// Connections with a smaller number never answer.
    silent_before: u64,
    last_id: Option<String>,
    counters: Counters,
}

/// A backend server.
#[derive(Debug)]
pub struct Server {
    /// Number from 0.
    pub index: usize,
    /// Name in `x-server`.
    pub name: Arc<str>,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Settings.
    pub settings: Arc<Settings>,
    /// Record of the requests that began.
    pub record: Arc<Record>,
    /// Number of the last change of the faults; the listener watches it.
    pub changes: watch::Sender<u64>,
    /// Number of the last change that the listener has applied.
    pub applied: watch::Sender<u64>,
    inner: Mutex<Inner>,
}

impl Server {
    /// Returns an idle server. Its random generator is seeded with
    /// `seed + index`.
    pub fn new(
        index: usize,
        address: SocketAddr,
        settings: Arc<Settings>,
        record: Arc<Record>,
        seed: u64,
    ) -> Self {
        Server {
            index,
            name: format!("backend-{index}").into(),
            address,
            settings,
            record,
            changes: watch::Sender::new(0),
            applied: watch::Sender::new(0),
            inner: Mutex::new(Inner {
                random: StdRng::seed_from_u64(seed.wrapping_add(index as u64)),
                rules: Rules::default(),
                busy: 0,
                open: 0,
                next_connection: 0,
                silent_before: 0,
                last_id: None,
                counters: Counters::default(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets a fault and returns the number of the change.
    pub fn set_fault(&self, class: Option<String>, fault: Fault) -> u64 {
        {
            let mut inner = self.lock();
            if matches!(fault, Fault::SilentOpen {}) {
                inner.silent_before = inner.next_connection;
            } else {
                inner.rules.set(class, fault, Instant::now());
            }
        }
        self.changes.send_modify(|number| *number += 1);
        *self.changes.borrow()
    }

    /// Whether connections are refused now.
    pub fn refuses(&self) -> bool {
        self.lock().rules.refuses(Instant::now())
    }

    /// Whether the listener may have to change without another control call.
    pub fn flaps(&self) -> bool {
        self.lock().rules.flaps()
    }

    /// Whether probes fail now.
    pub fn fails_probes(&self) -> bool {
        self.lock().rules.fails_probes(Instant::now())
    }

    /// Whether probes are never answered now.
    pub fn hangs_probes(&self) -> bool {
        self.lock().rules.hangs_probes(Instant::now())
    }

    /// Whether answers announce that the server is draining.
    pub fn drains(&self) -> bool {
        self.lock().rules.drains(Instant::now())
    }

    /// Whether the connection with this number never answers.
    pub fn is_silent(&self, connection: u64) -> bool {
        connection < self.lock().silent_before
    }

    /// Whether answers say that the server is leaving.
    pub fn leaves(&self) -> bool {
        self.lock().rules.leaves(Instant::now())
    }

    /// Counts an answered probe.
    pub fn count_probe(&self) {
        self.lock().counters.probes += 1;
    }

    /// Counts a request shed by a fault.
    pub fn count_shed(&self) {
        self.lock().counters.shed += 1;
    }

    /// Counts a request or probe that is never answered.
    pub fn count_hung(&self) {
        self.lock().counters.hung += 1;
    }

    /// Counts a request that began.
    pub fn count_begun(&self) {
        self.lock().counters.begun += 1;
    }

    /// Draws a service time and returns the effect of the faults on the request.
    pub fn plan(&self, head: &head::Request, class: &str) -> Plan {
        let mean = self.settings.service_time;
        let mut inner = self.lock();
        let Inner { random, rules, .. } = &mut *inner;
        let service = match self.settings.distribution {
            Distribution::Fixed => mean,
            Distribution::Exponential => {
                let factor: f64 = Exp1.sample(random);
                mean.mul_f64(factor)
            }
        };
        rules.plan(head.path(), class, service, Instant::now(), random)
    }

    /// Takes a slot, or returns `None` and counts the request if none is free.
    pub fn take_slot(self: &Arc<Self>) -> Option<Slot> {
        let mut inner = self.lock();
        if inner.busy >= self.settings.slots {
            inner.counters.over_slots += 1;
            return None;
        }
        inner.busy += 1;
        Some(Slot(Arc::clone(self)))
    }

    /// Registers a connection, or returns `None` at the connection limit.
    pub fn take_connection(self: &Arc<Self>) -> Option<Connection> {
        let mut inner = self.lock();
        if inner.open >= self.settings.connections {
            inner.counters.over_connections += 1;
            return None;
        }
        inner.open += 1;
        inner.counters.connections += 1;
        let number = inner.next_connection;
        inner.next_connection += 1;
        Some(Connection {
            server: Arc::clone(self),
            number,
        })
    }

    /// Stores the id of the current request and returns that of the previous
    /// one, if it differs.
    pub fn replace_last_id(&self, id: &str) -> Option<String> {
        self.lock()
            .last_id
            .replace(id.to_owned())
            .filter(|last| last != id)
    }

    /// Returns the status for `GET /servers`.
    pub fn status(&self) -> Status {
        let inner = self.lock();
        Status {
            name: Arc::clone(&self.name),
            address: self.address,
            busy: inner.busy,
            open: inner.open,
            faults: inner.rules.iter().map(|rule| rule.fault.clone()).collect(),
            counters: inner.counters,
        }
    }
}

/// A slot in use, released on drop.
#[derive(Debug)]
pub struct Slot(Arc<Server>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.lock().busy -= 1;
    }
}

/// An open connection, unregistered on drop.
#[derive(Debug)]
pub struct Connection {
    server: Arc<Server>,
    /// Number in the order of acceptance.
    pub number: u64,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.server.lock().open -= 1;
    }
}
