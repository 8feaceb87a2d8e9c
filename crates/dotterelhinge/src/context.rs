//! State shared by the threads of one daemon.

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

/// Time without a tick after which the process counts as paused. The failure
/// detector uses the same value.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// The configuration in force.
pub(crate) struct Configuration {
    /// Its version in the platform's table.
    pub version: u64,
    /// The document, as sent to other daemons.
    pub document: document::Document,
    /// The document compiled for routing requests.
    pub snapshot: Arc<document::Snapshot>,
}

/// The ejections last reported by the coordinator of a service.
#[derive(Clone)]
pub(crate) struct Status {
    /// When the report was received.
    pub received: Instant,
    /// Term of the coordinator.
    pub term: u64,
    /// Ejected and leaving upstreams.
    pub view: health::View,
}

/// State shared by the threads of a daemon.
pub(crate) struct Context {
    /// Settings from the daemon's settings file.
    pub settings: settings::Settings,
    /// Source of the monotonic and the wall-clock time.
    pub clock: Arc<dyn clock::Clock>,
    /// Start time of the process, in milliseconds since the Unix epoch. A
    /// restarted daemon on the same host has a higher value.
    pub incarnation: u64,
    /// The configuration in force, or `None` until the first one is loaded.
    pub in_force: ArcSwapOption<Configuration>,
    /// Members of the fleet as known to this daemon.
    pub members: ArcSwap<members::List>,
    /// Last reported status by service name.
    pub statuses: Mutex<HashMap<Arc<str>, Status>>,
    /// Counters and histograms.
    pub metrics: metrics::Registry,
    is_stopping: AtomicBool,
    is_version_check_due: AtomicBool,
    started_at: Instant,
    // Milliseconds from `started_at` to the last tick of the control thread.
    last_tick_ms: AtomicU64,
}

impl Context {
    /// Creates the state of a daemon without configuration and members.
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
        let started_at = clock.now();
        Self {
            members: ArcSwap::from_pointee(members::List::default()),
            settings,
            clock,
            incarnation,
            in_force: ArcSwapOption::empty(),
            statuses: Mutex::default(),
            metrics,
            is_stopping: AtomicBool::new(false),
            is_version_check_due: AtomicBool::new(false),
            started_at,
            last_tick_ms: AtomicU64::new(0),
        }
    }

    /// Returns whether a planned shutdown has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Begins a planned shutdown. Returns whether one had already begun.
    pub(crate) fn begin_shutdown(&self) -> bool {
        self.is_stopping.swap(true, Ordering::AcqRel)
    }

    /// Returns whether the process was paused and has not yet compared its
    /// configuration version with a peer. Requests can arrive before the first
    /// tick after a pause detects it, so the time since the last tick is checked
    /// as well.
    pub(crate) fn is_version_check_due(&self) -> bool {
        let last_tick = Duration::from_millis(self.last_tick_ms.load(Ordering::Acquire));
        let since_tick = (self.clock.now() - self.started_at).saturating_sub(last_tick);
        since_tick >= PAUSE_THRESHOLD || self.is_version_check_due.load(Ordering::Acquire)
    }

    /// Records that the control thread is running.
    pub(crate) fn record_tick(&self) {
        let elapsed = self.clock.now() - self.started_at;
        self.last_tick_ms
            .store(elapsed.as_millis() as u64, Ordering::Release);
    }

    /// Sets whether the version must still be compared with a peer after a pause.
    pub(crate) fn set_version_check_due(&self, due: bool) {
        self.is_version_check_due.store(due, Ordering::Release);
    }

    /// Returns whether the load balancer should send new callers to this daemon.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && !self.is_version_check_due() && self.in_force.load().is_some()
    }

    /// Records the status that the coordinator of `service` reported, unless one
    /// of a later term is known.
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

    /// Returns the last reported status of `service`.
    pub(crate) fn status(&self, service: &str) -> Option<Status> {
        lock(&self.statuses).get(service).cloned()
    }
}

/// Locks a mutex whose data stays valid if a thread panicked while holding it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
