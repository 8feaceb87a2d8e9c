//! State that the tasks of one daemon share. All tasks run on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{
    availability::{Listing, Reason, Tally},
    clock, lag, memory, quota, shutdown, split,
};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::sync::{Notify, watch};

use crate::{
    allocator,
    catalog::{Instance, Route, Upstream},
    control,
    evidence::{Change, Evidence, Observation, Outcome, Transition},
    limiter::Limiter,
    logging, metrics,
    peer::{members::Members, report::Hello},
    proxy,
    replica::Replica,
    settings::{Reloadable, Settings},
};

/// Maximum log lines per second about successful attempts.
const MAX_SUCCESS_LINES: u32 = 20;

/// Maximum log lines per second about failed attempts and failed requests.
const MAX_FAILURE_LINES: u32 = 100;

/// Maximum log lines per second about backend servers that become suspected or
/// trusted.
const MAX_SUSPICION_LINES: u32 = 20;

/// Maximum log lines per second about changes of the list of backend servers
/// that other daemons reported.
const MAX_LIST_LINES: u32 = 20;

/// Maximum log lines per second about requests over the limit of a customer.
const MAX_RATE_LIMIT_LINES: u32 = 20;

/// Rate limits of the log by kind of event. Failures have a limit of their own,
/// so that successes never displace them.
#[derive(Debug)]
pub(crate) struct LogLimits {
    /// Successful attempts.
    pub success: logging::Limiter,
    /// Failed attempts and failed requests.
    pub failure: logging::Limiter,
    /// Backend servers that become suspected or trusted.
    pub suspicion: logging::Limiter,
    /// Changes of the list of backend servers that other daemons reported.
    pub list: logging::Limiter,
    /// Requests over the limit of a customer.
    pub rate_limit: logging::Limiter,
}

/// Updates that wait to be reported to other hosts.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Outcomes since the last report.
    pub outcomes: Vec<Observation>,
    /// Version of the list of backend servers before the first change that this
    /// host has read from the store, to tell all others of.
    pub changed_since: Option<u64>,
    /// As `changed_since`, of changes that it has fetched from another host, to tell
    /// the hosts that get its digests of.
    pub fetched_since: Option<u64>,
    /// Whether to report at once, without waiting for more updates.
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
    /// This host's copy of the catalog.
    pub replica: RefCell<Replica>,
    /// Evidence about the backend servers.
    pub evidence: RefCell<Evidence>,
    /// Other daemons.
    pub members: RefCell<Members>,
    /// Updates that wait to be reported.
    pub outbox: RefCell<Outbox>,
    /// Wakes the task that sends reports.
    pub outbox_changed: Notify,
    /// Whether this host sends digests.
    pub is_aggregating: Cell<bool>,
    /// Retry quotas by service.
    pub quotas: RefCell<HashMap<Arc<str>, quota::Quota>>,
    /// Limits of the customers.
    pub limiter: RefCell<Limiter>,
    /// State of the weighted choice between the services of a route, by route
    /// name.
    pub splits: RefCell<HashMap<Arc<str>, split::Split>>,
    /// Services of which no server was available, with the time and the result of
    /// the last search among all their servers.
    pub exhausted: RefCell<HashMap<Arc<str>, (Instant, Tally)>>,
    /// Requests that wait until the servers of their service have room.
    pub waiting: RefCell<proxy::waiting::Services>,
    pub rng: RefCell<SmallRng>,
    /// State that the control server publishes.
    pub shared: Arc<control::Shared>,
    /// Rate limits of the log.
    pub log_limits: LogLimits,
    /// How long tasks wait to be scheduled.
    pub lag: RefCell<lag::Lag>,
    /// Memory that bodies in flight may hold.
    pub memory: memory::Budget,
    /// What the answers of each backend server hold of it.
    pub memory_sources: RefCell<memory::Sources>,
    /// Whether that memory is short.
    pub memory_strain: Cell<memory::Strain>,
    /// When free memory is returned to the system.
    pub memory_reclaim: Cell<memory::Reclaim>,
    /// Counters and histograms.
    pub metrics: Arc<metrics::Registry>,
    /// The graceful shutdown, once it has begun.
    pub shutdown: Cell<Option<shutdown::Shutdown>>,
    /// Number of requests being served.
    pub serving: Cell<usize>,
    /// Number of open caller connections that had a request.
    pub used_connections: Cell<usize>,
    /// Changes when caller connections are to be closed once they are idle.
    pub closing: watch::Sender<bool>,
}

impl Host {
    /// Creates the state of a daemon that has just started.
    pub(crate) fn new(settings: Settings, clock: Arc<dyn clock::Clock>) -> Rc<Self> {
        let metrics = Arc::new(metrics::Registry::default());
        Rc::new(Self {
            replica: RefCell::new(Replica::new(settings.reregistration)),
            evidence: RefCell::new(Evidence::new(
                settings.outage.clone(),
                settings.availability.clone(),
            )),
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
            is_aggregating: Cell::new(false),
            quotas: RefCell::default(),
            limiter: RefCell::new(Limiter::new(settings.rate_limit.clone())),
            splits: RefCell::default(),
            exhausted: RefCell::default(),
            waiting: RefCell::default(),
            rng: RefCell::new(SmallRng::from_rng(&mut rand::rng())),
            shared: Arc::new(control::Shared::new(Arc::clone(&metrics))),
            metrics,
            lag: RefCell::new(lag::Lag::new(settings.lag.clone())),
            memory: memory::Budget::new(&settings.memory),
            memory_sources: RefCell::default(),
            memory_strain: Cell::default(),
            memory_reclaim: Cell::default(),
            log_limits: LogLimits {
                success: logging::Limiter::new(MAX_SUCCESS_LINES),
                failure: logging::Limiter::new(MAX_FAILURE_LINES),
                suspicion: logging::Limiter::new(MAX_SUSPICION_LINES),
                list: logging::Limiter::new(MAX_LIST_LINES),
                rate_limit: logging::Limiter::new(MAX_RATE_LIMIT_LINES),
            },
            shutdown: Cell::new(None),
            serving: Cell::new(0),
            used_connections: Cell::new(0),
            closing: watch::Sender::new(false),
            reloadable: RefCell::new(Rc::new(settings.reloadable.clone())),
            settings,
            started: clock.now(),
            clock,
        })
    }

    /// Returns the current time of the daemon's clock.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns whether a graceful shutdown has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Returns the reloadable settings in force.
    pub(crate) fn reloadable(&self) -> Rc<Reloadable> {
        Rc::clone(&self.reloadable.borrow())
    }

    /// Returns where the bytes to and from `upstream` are counted; `None` if it is
    /// in this host's availability zone.
    pub(crate) fn zone_metrics(&self, upstream: &Upstream) -> Option<Arc<metrics::Registry>> {
        let is_same = upstream.availability_zone == self.settings.availability_zone;
        (!is_same).then(|| Arc::clone(&self.metrics))
    }

    /// Returns the number of live hosts, including this one.
    pub(crate) fn live_hosts(&self) -> usize {
        self.members.borrow().live_count(self.now())
    }

    /// Takes an outcome of this host into account and queues it for the other
    /// hosts.
    pub(crate) fn observe(&self, observation: Observation) {
        let now = self.now();
        let transition = self.evidence.borrow_mut().observe(now, &observation);
        self.log_transition(now, transition, &observation, &self.settings.host);
        let mut outbox = self.outbox.borrow_mut();
        outbox.urgent |= observation.outcome.is_urgent();
        outbox.outcomes.push(observation);
        self.outbox_changed.notify_one();
    }

    /// Returns why `instance` may not get a request now, if it may not.
    pub(crate) fn check(&self, now: Instant, instance: &Instance) -> Result<(), Reason> {
        let listing = self.replica.borrow().listing(now, instance);
        self.evidence.borrow().check(now, instance.key, listing)
    }

    /// Records that `instance` said that it is leaving, and tells the other hosts
    /// unless they were told.
    pub(crate) fn record_leaving(&self, instance: &Instance, elapsed: Duration) {
        let known = self
            .evidence
            .borrow()
            .check(self.now(), instance.key, Listing::Ready);
        if known == Err(Reason::Leaving) {
            return;
        }
        self.metrics.leaving.increment();
        self.observe(Observation {
            upstream: instance.key,
            outcome: Outcome::Leaving,
            elapsed_ms: elapsed.as_millis() as u32,
        });
    }

    /// Records that `instance` wants no request of this host for `time`. That
    /// concerns no other host.
    pub(crate) fn defer(&self, instance: &Instance, time: Duration) {
        let now = self.now();
        self.metrics.deferrals.increment();
        self.evidence.borrow_mut().defer(now, instance.key, time);
        if let Some(left_out) = self.log_limits.suspicion.admit(now) {
            log::info!(event = "upstream_deferred", upstream = &*instance.upstream.id, seconds = rounded(time.as_secs_f64()), left_out = left_out; "backend server asked for time without requests");
        }
    }

    /// Publishes which backend servers get no requests because of what they said.
    pub(crate) fn publish_withdrawn(&self, now: Instant) {
        let evidence = self.evidence.borrow();
        let mut withdrawn = Vec::new();
        for (upstream, reason) in evidence.withdrawn(now) {
            let until = match reason {
                Reason::Deferred(until) => Some(until),
                _ => None,
            };
            withdrawn.push(metrics::Withdrawn { upstream, until });
        }
        self.metrics.publish_withdrawn(withdrawn);
    }

    /// Returns whether the processor leaves time to serve a request that arrives
    /// now within `left`.
    pub(crate) fn can_serve_within(&self, left: Duration) -> bool {
        let (now, serving) = (self.now(), self.serving.get());
        let admits = self.lag.borrow_mut().admits(now, left, serving);
        if !admits {
            self.metrics.overloaded.increment();
        }
        admits
    }

    /// Returns by how much sooner than its deadline a request that arrives now has
    /// to end.
    pub(crate) fn deadline_margin(&self) -> Duration {
        self.lag.borrow().margin(self.now())
    }

    /// Publishes how much memory bodies hold, and logs when it becomes short and
    /// when that ends.
    pub(crate) fn check_memory(&self) {
        let (held, peak) = (self.memory.held(), self.memory.peak());
        self.metrics.memory_held.set(held as u64);
        self.metrics.memory_peak.set(peak as u64);
        let mut reclaim = self.memory_reclaim.get();
        if reclaim.update(self.now(), held) {
            allocator::trim();
        }
        self.memory_reclaim.set(reclaim);
        let mut strain = self.memory_strain.get();
        let change = strain.update(self.memory.allowance());
        self.memory_strain.set(strain);
        let Some(is_short) = change else {
            return;
        };
        let event = if is_short {
            "memory_short"
        } else {
            "memory_sufficient"
        };
        log::warn!(event = event, held_bytes = held, limit_bytes = self.settings.memory.limit_bytes, peak_bytes = peak; "memory for bodies in flight became short or sufficient");
    }

    /// Has the changes of the list of backend servers that were read from the store
    /// since the version `before` reported to other hosts at once.
    pub(crate) fn announce_changes(&self, before: u64) {
        self.outbox.borrow_mut().changed_since.get_or_insert(before);
        self.request_flush();
    }

    /// As [`Self::announce_changes`], for changes that were fetched from another host,
    /// if any host reports to this one.
    pub(crate) fn announce_fetched(&self, before: u64) {
        if self.members.borrow().has_reporters(self.now()) {
            self.outbox.borrow_mut().fetched_since.get_or_insert(before);
            self.request_flush();
        }
    }

    /// Has pending updates reported to other hosts at once.
    pub(crate) fn request_flush(&self) {
        self.outbox.borrow_mut().urgent = true;
        self.outbox_changed.notify_one();
    }

    /// Logs a transition that an outcome reported by the host `from` caused.
    pub(crate) fn log_transition(
        &self,
        now: Instant,
        transition: Option<Transition>,
        observation: &Observation,
        from: &str,
    ) {
        let Some(transition) = transition else {
            return;
        };
        if let Some(left_out) = self.log_limits.suspicion.admit(now) {
            let event = match transition.change {
                Change::Suspected => "upstream_doubted",
                Change::Trusted => "upstream_trusted",
                Change::Leaving => "upstream_leaving",
            };
            log::info!(event = event, upstream = &*transition.upstream, failing = rounded(transition.outage_probability), outcome = format!("{:?}", observation.outcome),
                elapsed_ms = observation.elapsed_ms, told_by = from, left_out = left_out; "belief about a backend server changed");
        }
    }

    /// Updates everything that depends on the catalog.
    pub(crate) fn catalog_changed(&self) {
        let now = self.now();
        let replica = self.replica.borrow();
        let catalog = replica.catalog();
        if catalog.upstreams.is_some() {
            self.evidence
                .borrow_mut()
                .set_upstreams(now, replica.instances());
        }
        if let Some(configuration) = replica.configuration() {
            let mut rng = self.rng.borrow_mut();
            self.limiter.borrow_mut().configure(
                now,
                configuration.version,
                configuration.customers.as_ref(),
                &mut *rng,
            );
        }
        self.shared.publish_catalog(&replica, now);
        self.shared
            .set_ready(catalog.is_complete() && !self.is_stopping());
    }

    /// Chooses the service for a request on `route` by the weights of the
    /// route's targets.
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

    /// Credits the retry quota of `service` for one request.
    pub(crate) fn earn(&self, service: &Arc<str>) {
        let hosts = self.live_hosts();
        let settings = &self.reloadable().quota;
        self.quotas
            .borrow_mut()
            .entry(Arc::clone(service))
            .or_insert_with(|| quota::Quota::new(settings, hosts))
            .earn(settings, hosts);
    }

    /// Calls `with` on the retry quota of `service`. Returns `None` if the
    /// service has had no request yet.
    pub(crate) fn with_quota<T>(
        &self,
        service: &str,
        with: impl FnOnce(&mut quota::Quota) -> T,
    ) -> Option<T> {
        self.quotas.borrow_mut().get_mut(service).map(with)
    }
}

/// Rounds to three decimal places, for the log.
pub(crate) fn rounded(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
