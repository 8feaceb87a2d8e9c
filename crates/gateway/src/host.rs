//! State of one daemon that its tasks share. All tasks run on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Instant,
};

use dotterelhinge_policy::{clock, quota, split};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::sync::Notify;

use crate::{
    catalog::Route,
    control,
    evidence::{Evidence, Observation, Transition},
    logging, metrics,
    peer::{members::Members, report::Hello},
    replica::{Delta, Replica},
    settings::{Reloadable, Settings},
};

/// Lines a second about attempts that ended well.
const GOOD_LINES: u32 = 20;

/// Lines a second about attempts that did not, and about requests that failed.
const FAILURE_LINES: u32 = 100;

/// Lines a second about what the host believes of backend servers.
const BELIEF_LINES: u32 = 20;

/// Bounds of the log by kind of event. Failures have a bound of their own, so
/// that successes never displace them.
#[derive(Debug)]
pub(crate) struct LogLimits {
    /// Attempts that ended well.
    pub success: logging::Limiter,
    /// Attempts that did not, and requests that failed.
    pub failure: logging::Limiter,
    /// Changes of belief.
    pub belief: logging::Limiter,
}

/// What waits to be told to other hosts.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Outcomes since the last report.
    pub outcomes: Vec<Observation>,
    /// Changes of the list that this host has just learned from the store.
    pub delta: Option<Delta>,
    /// Whether to tell at once, without waiting for more.
    pub urgent: bool,
}

/// State of one daemon.
pub(crate) struct Host {
    /// Settings of the process.
    pub settings: Settings,
    /// Settings that may change while it runs.
    pub reloadable: RefCell<Rc<Reloadable>>,
    /// When the process started.
    pub started: Instant,
    /// The clock.
    pub clock: Arc<dyn clock::Clock>,
    /// Copy of the catalog.
    pub replica: RefCell<Replica>,
    /// Evidence about the backend servers.
    pub evidence: RefCell<Evidence>,
    /// Other daemons.
    pub members: RefCell<Members>,
    /// What waits to be told.
    pub outbox: RefCell<Outbox>,
    /// Wakes the task that tells other hosts.
    pub outbox_changed: Notify,
    /// Retry quotas by service.
    pub quotas: RefCell<HashMap<Arc<str>, quota::Quota>>,
    /// Running balances of split routes by route name.
    pub splits: RefCell<HashMap<Arc<str>, split::Split>>,
    /// Random numbers.
    pub rng: RefCell<SmallRng>,
    /// What the control server shows.
    pub shared: Arc<control::Shared>,
    /// Bounds of the log.
    pub log_limits: LogLimits,
    /// Counters and histograms.
    pub metrics: Arc<metrics::Registry>,
    /// Whether a planned stop has begun.
    pub stopping: Cell<bool>,
    /// When the planned stop began.
    pub stopping_since: Cell<Option<Instant>>,
    /// Requests that are being served.
    pub serving: Cell<usize>,
}

impl Host {
    /// State of a daemon that has just started.
    pub(crate) fn new(settings: Settings, clock: Arc<dyn clock::Clock>) -> Rc<Self> {
        let metrics = Arc::new(metrics::Registry::default());
        Rc::new(Self {
            replica: RefCell::new(Replica::new(settings.reregistration)),
            evidence: RefCell::new(Evidence::new(settings.outage.clone())),
            members: RefCell::new(Members::new(
                settings.address,
                Hello {
                    name: Arc::clone(&settings.host),
                    availability_zone: Arc::clone(&settings.availability_zone),
                    strength: settings.strength,
                    leaving: false,
                },
            )),
            outbox: RefCell::default(),
            outbox_changed: Notify::new(),
            quotas: RefCell::default(),
            splits: RefCell::default(),
            rng: RefCell::new(SmallRng::from_rng(&mut rand::rng())),
            shared: Arc::new(control::Shared::new(Arc::clone(&metrics))),
            metrics,
            log_limits: LogLimits {
                success: logging::Limiter::new(GOOD_LINES),
                failure: logging::Limiter::new(FAILURE_LINES),
                belief: logging::Limiter::new(BELIEF_LINES),
            },
            stopping: Cell::new(false),
            stopping_since: Cell::new(None),
            serving: Cell::new(0),
            reloadable: RefCell::new(Rc::new(settings.reloadable.clone())),
            settings,
            started: clock.now(),
            clock,
        })
    }

    /// The time now.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The reloadable settings in force.
    pub(crate) fn reloadable(&self) -> Rc<Reloadable> {
        Rc::clone(&self.reloadable.borrow())
    }

    /// Number of live hosts, with this one.
    pub(crate) fn live_hosts(&self) -> usize {
        self.members.borrow().live_count(self.now())
    }

    /// Takes an outcome of this host into account and tells it to the others.
    pub(crate) fn observe(&self, seen: Observation) {
        let now = self.now();
        let shift = self.evidence.borrow_mut().observe(now, &seen);
        self.log_transition(now, shift, &seen, &self.settings.host);
        let mut outbox = self.outbox.borrow_mut();
        outbox.urgent |= seen.outcome.is_urgent();
        outbox.outcomes.push(seen);
        self.outbox_changed.notify_one();
    }

    /// Tells other hosts at once what is new.
    pub(crate) fn request_flush(&self) {
        self.outbox.borrow_mut().urgent = true;
        self.outbox_changed.notify_one();
    }

    /// Logs a change of belief that an outcome told by the host `from` caused.
    pub(crate) fn log_transition(
        &self,
        now: Instant,
        shift: Option<Transition>,
        seen: &Observation,
        from: &str,
    ) {
        let Some(shift) = shift else {
            return;
        };
        if let Some(left_out) = self.log_limits.belief.admit(now) {
            let event = if shift.is_suspected {
                "upstream_doubted"
            } else {
                "upstream_trusted"
            };
            log::info!(event = event, upstream = &*shift.upstream, failing = rounded(shift.failing), outcome = format!("{:?}", seen.outcome),
                elapsed_ms = seen.elapsed_ms, told_by = from, left_out = left_out; "belief about a backend server changed");
        }
    }

    /// Brings everything that depends on the catalog up to date.
    pub(crate) fn catalog_changed(&self) {
        let now = self.now();
        let replica = self.replica.borrow();
        let catalog = replica.catalog();
        if let Some(list) = &catalog.upstreams {
            self.evidence
                .borrow_mut()
                .set_upstreams(now, list.value.values());
        }
        self.shared
            .publish_catalog(catalog, replica.freshness(now), now);
        self.shared
            .set_ready(catalog.is_complete() && !self.stopping.get());
    }

    /// Chooses the service for a request on `route`.
    pub(crate) fn choose_service(&self, route: &Route) -> Arc<str> {
        if let [only] = &route.targets[..] {
            return Arc::clone(&only.service);
        }
        let weights = || route.targets.iter().map(|target| target.weight);
        let mut splits = self.splits.borrow_mut();
        let mut rng = self.rng.borrow_mut();
        let split = splits
            .entry(Arc::clone(&route.name))
            .or_insert_with(|| split::Split::new(weights(), &mut *rng));
        if !split.has_weights(weights()) {
            *split = split::Split::new(weights(), &mut *rng);
        }
        Arc::clone(&route.targets[split.choose()].service)
    }

    /// Counts a request for `service`, which earns retries.
    pub(crate) fn earn(&self, service: &Arc<str>) {
        let hosts = self.live_hosts();
        let terms = &self.reloadable().quota;
        self.quotas
            .borrow_mut()
            .entry(Arc::clone(service))
            .or_insert_with(|| quota::Quota::new(terms, hosts))
            .earn(terms, hosts);
    }

    /// Runs `with` on the retry quota of `service`.
    pub(crate) fn with_quota<T>(
        &self,
        service: &str,
        with: impl FnOnce(&mut quota::Quota) -> T,
    ) -> Option<T> {
        self.quotas.borrow_mut().get_mut(service).map(with)
    }
}

/// A probability with three digits, for the log.
pub(crate) fn rounded(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
