//! What the threads of one daemon share.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant, UNIX_EPOCH},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use dotterelhinge_policy::{clock, health};

use crate::{document, members, metrics, settings};

/// A gap of this length between two ticks means that the process was paused.
/// The failure detector uses the same length.
const PAUSE: Duration = Duration::from_secs(2);

/// A text in force.
pub(crate) struct Configuration {
    /// Version in the platform's table.
    pub version: u64,
    /// The text itself, as handed to other daemons.
    pub document: document::Document,
    /// The text compiled for requests.
    pub snapshot: Arc<document::Snapshot>,
}

/// The last ejections that the coordinator of a service told.
#[derive(Clone)]
pub(crate) struct Status {
    /// When they were received.
    pub received: Instant,
    /// Term of the coordinator.
    pub term: u64,
    /// Ejected and leaving upstreams.
    pub view: health::View,
}

/// State shared by the threads of a daemon.
pub(crate) struct Context {
    /// Settings of the process.
    pub settings: settings::Settings,
    /// The clock.
    pub clock: Arc<dyn clock::Clock>,
    /// Start of the process in milliseconds since the epoch; a restart of the
    /// same host has a higher one.
    pub incarnation: u64,
    /// The text in force, once there is one.
    pub in_force: ArcSwapOption<Configuration>,
    /// Daemons of the fleet as this one sees them.
    pub members: ArcSwap<members::List>,
    /// Last known ejections by service.
    pub statuses: Mutex<HashMap<Arc<str>, Status>>,
    /// Metrics of the daemon.
    pub metrics: metrics::Registry,
    stopping: AtomicBool,
    version_check_due: AtomicBool,
    started: Instant,
    // Milliseconds from `started` to the last tick of the control thread.
    ticked: AtomicU64,
}

impl Context {
    /// State of a daemon that has just started.
    pub(crate) fn new(
        settings: settings::Settings,
        clock: Arc<dyn clock::Clock>,
        metrics: metrics::Registry,
    ) -> Self {
        let incarnation = clock
            .wall()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO)
            .as_millis() as u64;
        let started = clock.now();
        Self {
            members: ArcSwap::from_pointee(members::List::default()),
            settings,
            clock,
            incarnation,
            in_force: ArcSwapOption::empty(),
            statuses: Mutex::default(),
            metrics,
            stopping: AtomicBool::new(false),
            version_check_due: AtomicBool::new(false),
            started,
            ticked: AtomicU64::new(0),
        }
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a planned stop; returns whether it had already begun.
    pub(crate) fn begin_shutdown(&self) -> bool {
        self.stopping.swap(true, Ordering::AcqRel)
    }

    /// Whether the process was paused and has not yet compared its version
    /// with a peer. The first request after a pause may come before the tick
    /// that notices the pause, so the time since the last tick counts as well.
    pub(crate) fn is_version_check_due(&self) -> bool {
        let ticked = Duration::from_millis(self.ticked.load(Ordering::Acquire));
        let silence = (self.clock.now() - self.started).saturating_sub(ticked);
        silence >= PAUSE || self.version_check_due.load(Ordering::Acquire)
    }

    /// Notes that the control thread runs.
    pub(crate) fn record_tick(&self) {
        let since = self.clock.now() - self.started;
        self.ticked
            .store(since.as_millis() as u64, Ordering::Release);
    }

    /// Sets whether a comparison after a pause is due.
    pub(crate) fn set_version_check_due(&self, due: bool) {
        self.version_check_due.store(due, Ordering::Release);
    }

    /// Whether the balancer should send new callers here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && !self.is_version_check_due() && self.in_force.load().is_some()
    }

    /// Notes what the coordinator of `service` told, unless a later term told
    /// something before.
    pub(crate) fn update_status(&self, service: Arc<str>, term: u64, view: health::View) {
        let received = self.clock.now();
        let mut statuses = lock(&self.statuses);
        match statuses.get(&service) {
            Some(known) if known.term > term => {}
            _ => {
                statuses.insert(
                    service,
                    Status {
                        received,
                        term,
                        view,
                    },
                );
            }
        }
    }

    /// The last standing of `service`.
    pub(crate) fn status(&self, service: &str) -> Option<Status> {
        lock(&self.statuses).get(service).cloned()
    }
}

/// Locks a mutex whose data stays sound if a holder panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
