//! What is known about each backend server from the attempts of all hosts.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{
    availability::{self, Event, Listing, Reason},
    outage, selection,
};
use serde::{Deserialize, Serialize};

use self::service::Service;
use crate::{
    catalog::{Instance, Upstream},
    peer::report::Count,
};

mod service;

/// How an attempt ended, as evidence about the backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(into = "u8", try_from = "u8")]
pub enum Outcome {
    /// A complete response that is not a failure.
    Good,
    /// As [`Outcome::Good`], for an attempt that was already reported as
    /// [`Outcome::StillRunning`]. That outcome was already evidence about the
    /// moment at which the attempt began; this one adds none.
    Finished,
    /// The attempt has been running for longer than a server in an outage takes
    /// to fail.
    StillRunning,
    /// The server responded with a failure, or broke off its response.
    Failed,
    /// No response before the attempt's timeout.
    Silent,
    /// The server shed the request: it answered that it is overloaded.
    Shed,
    /// The attempt takes much longer than usual and is still running.
    Overdue,
    /// The address refuses connections: the server's process has ended.
    Refused,
    /// The connection was not established in time, or was reset at once.
    Unreachable,
    /// Another server responded at the address: this instance has ended for
    /// good.
    Gone,
    /// The server said in an answer that it is leaving.
    Leaving,
}

/// All outcomes, ordered by their numbers in reports, which must not change.
const OUTCOMES: [Outcome; 11] = [
    Outcome::Good,
    Outcome::Finished,
    Outcome::StillRunning,
    Outcome::Failed,
    Outcome::Silent,
    Outcome::Shed,
    Outcome::Overdue,
    Outcome::Refused,
    Outcome::Unreachable,
    Outcome::Gone,
    Outcome::Leaving,
];

impl From<Outcome> for u8 {
    fn from(outcome: Outcome) -> Self {
        outcome as Self
    }
}

impl TryFrom<u8> for Outcome {
    type Error = String;

    fn try_from(number: u8) -> Result<Self, Self::Error> {
        let outcome = OUTCOMES.get(usize::from(number)).copied();
        outcome.ok_or_else(|| format!("unknown outcome number {number}"))
    }
}

impl Outcome {
    /// Returns whether other hosts should be notified at once, since that may
    /// spare them a failure.
    pub fn is_urgent(self) -> bool {
        !matches!(self, Self::Good | Self::Finished | Self::StillRunning)
    }
}

/// The outcome of one attempt, as hosts report it to each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Observation {
    /// Key of the backend server's instance; see [`Upstream::key`].
    pub upstream: u64,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time that the attempt took, in milliseconds.
    pub elapsed_ms: u32,
}

/// Outage probability from which the log reports a backend server as
/// suspected.
const SUSPICION_THRESHOLD: f64 = 0.5;

/// What an outcome changed in the belief about a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It is suspected from now on.
    Suspected,
    /// It is trusted again.
    Trusted,
    /// It is known to be leaving.
    Leaving,
}

/// A change in the belief about a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// Identity of the backend server.
    pub upstream: Arc<str>,
    /// Probability that it is in an outage now.
    pub outage_probability: f64,
    /// What has changed.
    pub change: Change,
}

/// Weight of the latest response in the moving average of a backend server's
/// latency ratio.
const LATENCY_RATIO_WEIGHT: f64 = 0.4;

/// Time in which a latency ratio without new responses returns halfway to 1.
const LATENCY_RATIO_HALF_LIFE: Duration = Duration::from_secs(3);

/// Age from which an attempt is reported as [`Outcome::StillRunning`]. A backend
/// server in an outage fails sooner, since it needs no work to do so.
pub const STILL_RUNNING_THRESHOLD: Duration = Duration::from_millis(25);

/// Multiple of the service's typical latency from which an attempt is overdue.
pub const OVERDUE_RATIO: f64 = 2.5;

/// Time for which a backend server counts as full after it shed a request.
const FULL_DURATION: Duration = Duration::from_millis(150);

/// Part of its slots that a server is given while it has just started. It takes
/// about twice the usual time, so that more would make requests wait.
const COLD_SLOT_RATIO: f64 = 0.5;

/// Weight of the latest attempt to connect in a host's connect ratio.
const CONNECT_RATIO_WEIGHT: f64 = 0.2;

/// Ratio of successful connections below which a host attributes failures to
/// its own network links and does not report the servers that it can't reach.
const MIN_CONNECT_RATIO: f64 = 0.5;

/// What is known about one instance of a backend server.
#[derive(Debug)]
struct Server {
    id: Arc<str>,
    service: Arc<str>,
    is_suspected: bool,
    belief: outage::Belief,
    /// Requests of this host in flight.
    local: u32,
    /// Requests in flight that other hosts reported.
    remote: u32,
    /// Requests of this host that `remote` includes, because the digests of its
    /// aggregator count them.
    echoed: u32,
    /// Moving average of response times relative to the typical latency of the
    /// service, as of `latency_ratio_at`.
    latency_ratio: f64,
    latency_ratio_at: Instant,
    full_until: Option<Instant>,
    /// When a request was last sent to it, by any host.
    last_sent: Option<Instant>,
    /// When it no longer counts as just started.
    cold_until: Instant,
}

/// Evidence about all backend servers.
#[derive(Debug)]
pub struct Evidence {
    settings: outage::Settings,
    availability: availability::Registry,
    servers: HashMap<u64, Server>,
    /// Moving average of this host's attempts to connect that succeeded.
    connect_ratio: f64,
    services: HashMap<Arc<str>, Service>,
}

impl Evidence {
    /// Creates a collection without evidence.
    pub fn new(settings: outage::Settings, availability: availability::Settings) -> Self {
        Self {
            settings,
            availability: availability::Registry::new(availability),
            servers: HashMap::new(),
            connect_ratio: 1.0,
            services: HashMap::new(),
        }
    }

    /// Adds the backend servers of `upstreams` that are new, and drops those
    /// that are not among them.
    pub fn set_upstreams<'a>(
        &mut self,
        now: Instant,
        upstreams: impl Iterator<Item = &'a Instance>,
    ) {
        let mut servers = HashMap::with_capacity(self.servers.len());
        for Instance { key, upstream } in upstreams {
            let server = self.servers.remove(key).unwrap_or_else(|| Server {
                id: Arc::clone(&upstream.id),
                service: Arc::clone(&upstream.service),
                is_suspected: false,
                belief: outage::Belief::new(&self.settings, now),
                local: 0,
                remote: 0,
                echoed: 0,
                latency_ratio: 1.0,
                latency_ratio_at: now,
                full_until: None,
                last_sent: None,
                // A duration beyond the clock's range is not a real slow start.
                cold_until: now.checked_add(upstream.cold_left).unwrap_or(now),
            });
            servers.insert(*key, server);
        }
        self.servers = servers;
        let listed = self.servers.keys().copied();
        self.availability.set_listed(now, listed);
    }

    /// Returns the typical response time of `service`; `None` before its first
    /// response.
    pub fn typical_latency(&self, service: &str) -> Option<Duration> {
        let seconds = self.services.get(service)?.typical_latency;
        seconds.map(Duration::from_secs_f64)
    }

    /// Returns the recent share of attempts at `service` that failed, timed out
    /// or were shed, from 0 to 1.
    pub fn failure_ratio(&self, service: &str) -> f64 {
        let service = self.services.get(service);
        service.map_or(service::INITIAL_FAILURE_RATIO, |service| {
            service.failure_ratio
        })
    }

    /// Returns the recent share of attempts at `service` that were shed, from 0
    /// to 1.
    pub fn shed_ratio(&self, service: &str) -> f64 {
        let service = self.services.get(service);
        service.map_or(0.0, |service| service.shed_ratio)
    }

    /// Returns how many attempts per second all hosts make at `service`.
    pub fn attempt_rate(&self, now: Instant, service: &str) -> f64 {
        let service = self.services.get(service);
        service.map_or(0.0, |service| service.attempt_rate(now))
    }

    /// Returns why the backend server may not get a request now, if it may not.
    pub fn check(&self, now: Instant, upstream: u64, listing: Listing) -> Result<(), Reason> {
        self.availability.check(now, upstream, listing)
    }

    /// Records that the backend server wants no request of this host for `time`.
    pub fn defer(&mut self, now: Instant, upstream: u64, time: Duration) {
        self.availability
            .observe(now, upstream, Event::Deferred(time));
    }

    /// Returns the identities of the backend servers that said that they are
    /// leaving or asked this host for time, with the reason.
    pub fn withdrawn(&self, now: Instant) -> impl Iterator<Item = (Arc<str>, Reason)> {
        self.availability
            .withdrawn(now)
            .filter_map(|(key, reason)| {
                let server = self.servers.get(&key)?;
                Some((Arc::clone(&server.id), reason))
            })
    }

    /// Returns the probability that the backend server is in an outage.
    pub fn outage_probability(&self, now: Instant, upstream: u64) -> f64 {
        match self.servers.get(&upstream) {
            Some(server) => server.belief.probability(&self.settings, now),
            None => self.settings.stationary_probability(),
        }
    }

    /// Returns the keys of all backend servers, in an order that is stable until
    /// the list changes.
    pub fn upstreams(&self) -> Vec<u64> {
        self.servers.keys().copied().collect()
    }

    /// Returns the backend server with the key `key` as a candidate for a
    /// request of a host in the availability zone `zone`.
    pub fn candidate(
        &self,
        now: Instant,
        key: u64,
        upstream: &Upstream,
        zone: &str,
    ) -> selection::Candidate {
        let is_same_zone = *upstream.availability_zone == *zone;
        let slots = f64::from(upstream.slots);
        let Some(server) = self.servers.get(&key) else {
            return selection::Candidate {
                outage_probability: self.settings.stationary_probability(),
                in_use: 0.0,
                slots,
                latency_ratio: 1.0,
                is_same_zone,
                last_sent: None,
            };
        };
        let is_full = server.full_until.is_some_and(|until| now < until);
        let in_use = f64::from(server.local + server.remote.saturating_sub(server.echoed));
        let slots = if server.is_cold(now) {
            (slots * COLD_SLOT_RATIO).max(1.0)
        } else {
            slots
        };
        selection::Candidate {
            outage_probability: server.belief.probability(&self.settings, now),
            in_use: if is_full { in_use.max(slots) } else { in_use },
            slots,
            latency_ratio: server.decayed_latency_ratio(now),
            is_same_zone,
            last_sent: server.last_sent,
        }
    }

    /// Records that this host sends a request.
    pub fn begin(&mut self, now: Instant, upstream: u64) {
        if let Some(server) = self.servers.get_mut(&upstream) {
            server.local += 1;
            server.last_sent = Some(now);
        }
    }

    /// Records that a request of this host has ended.
    pub fn end(&mut self, upstream: u64) {
        if let Some(server) = self.servers.get_mut(&upstream) {
            server.local = server.local.saturating_sub(1);
        }
    }

    /// Replaces the requests in flight that another host reported: `before` no
    /// longer count, `after` do.
    pub fn replace_remote(&mut self, now: Instant, before: &[Count], after: &[Count]) {
        for (upstream, count) in before {
            if let Some(server) = self.servers.get_mut(upstream) {
                server.remote = server.remote.saturating_sub((*count).into());
            }
        }
        for (upstream, count) in after {
            if let Some(server) = self.servers.get_mut(upstream) {
                server.remote += u32::from(*count);
                let previous = before.iter().find(|entry| entry.0 == *upstream);
                if previous.is_none_or(|(_, previous)| previous < count) {
                    server.last_sent = Some(now);
                }
            }
        }
    }

    /// Sets which requests of this host the digests of another one include, so
    /// that they are not counted twice.
    pub fn set_echoed(&mut self, counts: &[Count]) {
        for server in self.servers.values_mut() {
            server.echoed = 0;
        }
        for (upstream, count) in counts {
            if let Some(server) = self.servers.get_mut(upstream) {
                server.echoed = (*count).into();
            }
        }
    }

    /// Returns this host's requests in flight, sorted by backend server.
    pub fn in_use(&self) -> Vec<Count> {
        let mut counts: Vec<Count> = self
            .servers
            .iter()
            .filter(|(_, server)| server.local > 0)
            .map(|(key, server)| (*key, server.local.min(u16::MAX.into()) as u16))
            .collect();
        counts.sort_unstable();
        counts
    }

    /// Takes an outcome of an attempt of any host into account. Returns what it
    /// changed in the belief about the backend server.
    pub fn observe(&mut self, now: Instant, observation: &Observation) -> Option<Transition> {
        let is_news = self.observe_availability(now, observation);
        let server = self.servers.get_mut(&observation.upstream)?;
        if observation.outcome == Outcome::Leaving {
            return is_news.then(|| Transition {
                upstream: Arc::clone(&server.id),
                outage_probability: server.belief.probability(&self.settings, now),
                change: Change::Leaving,
            });
        }
        let name = Arc::clone(&server.service);
        let service = self.services.entry(name).or_default();
        let shed_ratio = service.shed_ratio;
        service.record_outcome(now, observation.outcome);
        match observation.outcome {
            Outcome::StillRunning => {
                server
                    .belief
                    .observe(&self.settings, now, outage::Evidence::StillRunning);
            }
            Outcome::Good | Outcome::Finished => {
                if observation.outcome == Outcome::Good {
                    server
                        .belief
                        .observe(&self.settings, now, outage::Evidence::Succeeded);
                }
                server.full_until = None;
                let elapsed = f64::from(observation.elapsed_ms.max(1)) / 1000.0;
                server.record_latency_ratio(
                    now,
                    elapsed / service.typical_latency.unwrap_or(elapsed),
                );
                service.record_latency(elapsed);
            }
            Outcome::Silent => {
                let age = Duration::from_millis(observation.elapsed_ms.into());
                let failed = outage::Evidence::Failed;
                server.belief.observe_aged(&self.settings, now, failed, age);
            }
            Outcome::Failed | Outcome::Refused | Outcome::Gone => {
                server
                    .belief
                    .observe(&self.settings, now, outage::Evidence::Failed);
            }
            Outcome::Unreachable => {
                server
                    .belief
                    .observe(&self.settings, now, outage::Evidence::Unreachable);
            }
            Outcome::Shed => {
                server.belief.observe(
                    &self.settings,
                    now,
                    outage::Evidence::Shed { ratio: shed_ratio },
                );
                server.full_until = Some(now + FULL_DURATION);
            }
            Outcome::Overdue => {
                server.latency_ratio = server.decayed_latency_ratio(now).max(OVERDUE_RATIO);
                server.latency_ratio_at = now;
            }
            Outcome::Leaving => {}
        }
        let outage_probability = server.belief.probability(&self.settings, now);
        let is_suspected = outage_probability >= SUSPICION_THRESHOLD;
        if std::mem::replace(&mut server.is_suspected, is_suspected) == is_suspected {
            return None;
        }
        Some(Transition {
            upstream: Arc::clone(&server.id),
            outage_probability,
            change: if is_suspected {
                Change::Suspected
            } else {
                Change::Trusted
            },
        })
    }

    /// Takes what an outcome says about the availability of the backend server
    /// into account, also of one that this host's list does not have. Returns
    /// whether it changes anything.
    fn observe_availability(&mut self, now: Instant, observation: &Observation) -> bool {
        let event = match observation.outcome {
            Outcome::Leaving => Event::Leaving,
            Outcome::Gone => Event::Gone,
            Outcome::Good | Outcome::Finished => Event::Reached,
            Outcome::StillRunning
            | Outcome::Failed
            | Outcome::Silent
            | Outcome::Shed
            | Outcome::Overdue
            | Outcome::Refused
            | Outcome::Unreachable => return false,
        };
        self.availability.observe(now, observation.upstream, event)
    }

    /// Records that this host failed to connect; `refused` if the address
    /// refused the connection. Returns whether other hosts should be notified:
    /// not if this host's own links are the likely cause.
    pub fn connect_failed(&mut self, now: Instant, upstream: u64, refused: bool) -> bool {
        // A refusal shows that the link works.
        let success = if refused { 1.0 } else { 0.0 };
        self.connect_ratio += (success - self.connect_ratio) * CONNECT_RATIO_WEIGHT;
        self.availability
            .observe(now, upstream, Event::ConnectFailed);
        refused || self.connect_ratio >= MIN_CONNECT_RATIO
    }

    /// Records that this host has connected.
    pub fn connect_succeeded(&mut self, now: Instant, upstream: u64) {
        self.connect_ratio += (1.0 - self.connect_ratio) * CONNECT_RATIO_WEIGHT;
        self.availability.observe(now, upstream, Event::Reached);
    }
}

impl Server {
    fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    fn decayed_latency_ratio(&self, now: Instant) -> f64 {
        let idle = now
            .saturating_duration_since(self.latency_ratio_at)
            .as_secs_f64();
        let retained = 0.5f64.powf(idle / LATENCY_RATIO_HALF_LIFE.as_secs_f64());
        let ratio = 1.0 + (self.latency_ratio - 1.0) * retained;
        // A server that has just started takes about twice the typical time.
        if self.is_cold(now) {
            ratio.max(2.0)
        } else {
            ratio
        }
    }

    fn record_latency_ratio(&mut self, now: Instant, latest: f64) {
        let ratio = self.decayed_latency_ratio(now);
        self.latency_ratio = ratio + (latest - ratio) * LATENCY_RATIO_WEIGHT;
        self.latency_ratio_at = now;
    }
}
