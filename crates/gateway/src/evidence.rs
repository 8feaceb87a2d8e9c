//! What all hosts together know about each backend server.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{outage, selection};
use serde::{Deserialize, Serialize};

use crate::{catalog::Upstream, peer::report::Count};

/// How an attempt ended, as evidence about the backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(into = "u8", try_from = "u8")]
pub enum Outcome {
    /// A whole answer that is no failure.
    Good,
    /// The same, after the attempt was told as [`Outcome::StillRunning`]. It says
    /// nothing new about the moment at which the attempt began.
    Finished,
    /// The request is at work for longer than a failing server takes to fail.
    StillRunning,
    /// The server answered with a failure, or broke its answer off.
    Failed,
    /// No answer within the time that was given.
    Silent,
    /// The server declined the request.
    Shed,
    /// The request takes much longer than usual and goes on.
    Overdue,
    /// The address refuses connections: the server's process has ended.
    Refused,
    /// No connection within the time that one takes, or it was reset at once.
    Unreachable,
    /// Another server answered at the address: this run has ended for good.
    Gone,
}

/// All outcomes in the order of their numbers in reports, which stay the same.
const OUTCOMES: [Outcome; 10] = [
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
        outcome.ok_or_else(|| format!("no outcome has the number {number}"))
    }
}

impl Outcome {
    /// Whether other hosts should know at once, since it may spare them a
    /// failure.
    pub fn is_urgent(self) -> bool {
        !matches!(self, Self::Good | Self::Finished | Self::StillRunning)
    }
}

/// One outcome, as hosts tell it to each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Observation {
    /// Number of the run of the backend server.
    pub upstream: u64,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time that the attempt took, in milliseconds.
    pub elapsed_ms: u32,
}

/// Probability of failing from which the log says that a backend server is
/// suspected.
const DOUBTED: f64 = 0.5;

/// A change of what is believed about a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// Identity of the backend server.
    pub upstream: Arc<str>,
    /// Probability that it is failing now.
    pub failing: f64,
    /// Whether it is suspected now.
    pub is_suspected: bool,
}

/// Weight of the newest answer in the pace of a backend server.
const PACE_WEIGHT: f64 = 0.4;

/// Time in which an extreme pace without new answers returns halfway to 1.
const PACE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Time after which an attempt has outlived the quick failures of a failing
/// backend server, which needs no work to fail.
pub const STILL_RUNNING_THRESHOLD: Duration = Duration::from_millis(25);

/// Multiple of the usual time from which an attempt is overdue.
pub const OVERDUE_RATIO: f64 = 2.5;

/// Time for which a backend server that declined a request counts as full.
const FULL: Duration = Duration::from_millis(150);

/// First time for which a host leaves a backend server alone that it can't
/// connect to; it doubles with each further failure.
const UNREACHABLE: Duration = Duration::from_secs(1);

/// Longest time for which a host leaves such a backend server alone.
const UNREACHABLE_MOST: Duration = Duration::from_secs(8);

/// Failed connections after which the time doubles no more.
const UNREACHABLE_STEPS: u32 = 4;

/// Weight of the newest connection in the share that a host could open lately.
const CONNECTS_WEIGHT: f64 = 0.2;

/// Share of opened connections below which a host takes its own links for the
/// cause, and tells nobody of servers that it can't reach.
const CONNECTS_LEAST: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct Unreachable {
    until: Instant,
    times: u32,
}

#[derive(Debug)]
struct Known {
    id: Arc<str>,
    service: Arc<str>,
    is_suspected: bool,
    belief: outage::Belief,
    /// Requests of this host in flight.
    local: u32,
    /// Requests in flight that other hosts told of.
    remote: u32,
    /// Requests of this host among those, since its own aggregator counts them.
    echoed: u32,
    pace: f64,
    paced: Instant,
    full_until: Option<Instant>,
    sent: Option<Instant>,
    unreachable: Option<Unreachable>,
    /// Whether another server was met at the address.
    gone: bool,
    cold_until: Instant,
}

/// Weight of one attempt in what is known about a service as a whole.
const SERVICE_WEIGHT: f64 = 0.02;

/// What is known about a service as a whole.
#[derive(Clone, Copy, Debug)]
struct Service {
    /// Usual seconds for an answer, once there was one.
    usual: Option<f64>,
    /// Share of the attempts that were declined lately.
    declined: f64,
    /// Share of the attempts that were not answered well lately.
    lost: f64,
}

/// Share of lost attempts that is assumed of a service before there was any.
const LOST_AT_FIRST: f64 = 0.2;

impl Default for Service {
    fn default() -> Self {
        Self {
            usual: None,
            declined: 0.0,
            lost: LOST_AT_FIRST,
        }
    }
}

impl Service {
    fn note_end(&mut self, outcome: Outcome) {
        let note = |share: &mut f64, counts: bool| {
            *share += (f64::from(u8::from(counts)) - *share) * SERVICE_WEIGHT;
        };
        match outcome {
            Outcome::Good | Outcome::Finished | Outcome::Failed | Outcome::Silent => {
                let good = matches!(outcome, Outcome::Good | Outcome::Finished);
                note(&mut self.declined, false);
                note(&mut self.lost, !good);
            }
            Outcome::Shed => {
                note(&mut self.declined, true);
                note(&mut self.lost, true);
            }
            Outcome::StillRunning
            | Outcome::Overdue
            | Outcome::Refused
            | Outcome::Unreachable
            | Outcome::Gone => {}
        }
    }

    fn note_answer(&mut self, elapsed: f64) {
        let usual = self.usual.get_or_insert(elapsed);
        *usual += (elapsed.min(*usual * OVERDUE_RATIO) - *usual) * SERVICE_WEIGHT;
    }
}

/// Evidence about all backend servers.
#[derive(Debug)]
pub struct Evidence {
    settings: outage::Settings,
    known: HashMap<u64, Known>,
    /// Share of the newest connections that this host could open.
    connects: f64,
    services: HashMap<Arc<str>, Service>,
}

impl Evidence {
    /// No evidence yet.
    pub fn new(settings: outage::Settings) -> Self {
        Self {
            settings,
            known: HashMap::new(),
            connects: 1.0,
            services: HashMap::new(),
        }
    }

    /// Follows the list: adds new backend servers and drops all others.
    pub fn set_upstreams<'a>(
        &mut self,
        now: Instant,
        upstreams: impl Iterator<Item = &'a Arc<Upstream>>,
    ) {
        let mut kept = HashMap::new();
        for upstream in upstreams {
            let key = upstream.key();
            let known = self.known.remove(&key).unwrap_or_else(|| Known {
                id: Arc::clone(&upstream.id),
                service: Arc::clone(&upstream.service),
                is_suspected: false,
                belief: outage::Belief::new(&self.settings, now),
                local: 0,
                remote: 0,
                echoed: 0,
                pace: 1.0,
                paced: now,
                full_until: None,
                sent: None,
                unreachable: None,
                gone: false,
                cold_until: now + upstream.cold_left,
            });
            kept.insert(key, known);
        }
        self.known = kept;
    }

    /// The usual time of an answer of `service`.
    pub fn typical_latency(&self, service: &str) -> Option<Duration> {
        let usual = self.services.get(service)?.usual;
        usual.map(Duration::from_secs_f64)
    }

    /// Share of the attempts at `service` that were not answered well lately.
    pub fn failure_ratio(&self, service: &str) -> f64 {
        let service = self.services.get(service);
        service.map_or(LOST_AT_FIRST, |service| service.lost)
    }

    /// Whether requests should go to other backend servers: this one has ended,
    /// or this host could not connect to it lately.
    pub fn is_avoided(&self, now: Instant, upstream: u64) -> bool {
        self.known.get(&upstream).is_some_and(|known| {
            let unreachable = known.unreachable;
            known.gone || unreachable.is_some_and(|unreachable| now < unreachable.until)
        })
    }

    /// Probability that the backend server is failing.
    pub fn failing_probability(&self, now: Instant, upstream: u64) -> f64 {
        match self.known.get(&upstream) {
            Some(known) => known.belief.probability(&self.settings, now),
            None => self.settings.stationary_probability(),
        }
    }

    /// Numbers of all backend servers, in an order that stays until the list
    /// changes.
    pub fn upstreams(&self) -> Vec<u64> {
        self.known.keys().copied().collect()
    }

    /// The backend server with the number `key` as a candidate of the choice.
    pub fn candidate(
        &self,
        now: Instant,
        key: u64,
        upstream: &Upstream,
        zone: &str,
    ) -> selection::Candidate {
        let is_same_zone = *upstream.availability_zone == *zone;
        let slots = f64::from(upstream.slots);
        let Some(known) = self.known.get(&key) else {
            return selection::Candidate {
                outage_probability: self.settings.stationary_probability(),
                in_use: 0.0,
                slots,
                latency_ratio: 1.0,
                is_same_zone,
                last_sent: None,
            };
        };
        let full = known.full_until.is_some_and(|until| now < until);
        let in_use = f64::from(known.local + known.remote.saturating_sub(known.echoed));
        selection::Candidate {
            outage_probability: known.belief.probability(&self.settings, now),
            in_use: if full { in_use.max(slots) } else { in_use },
            slots,
            latency_ratio: known.pace_at(now),
            is_same_zone,
            last_sent: known.sent,
        }
    }

    /// Notes that this host sends a request.
    pub fn begin(&mut self, now: Instant, upstream: u64) {
        if let Some(known) = self.known.get_mut(&upstream) {
            known.local += 1;
            known.sent = Some(now);
        }
    }

    /// Notes that a request of this host has ended.
    pub fn end(&mut self, upstream: u64) {
        if let Some(known) = self.known.get_mut(&upstream) {
            known.local = known.local.saturating_sub(1);
        }
    }

    /// Replaces the requests in flight that another host had told of.
    pub fn replace_remote(&mut self, now: Instant, before: &[Count], after: &[Count]) {
        for (upstream, count) in before {
            if let Some(known) = self.known.get_mut(upstream) {
                known.remote = known.remote.saturating_sub((*count).into());
            }
        }
        for (upstream, count) in after {
            if let Some(known) = self.known.get_mut(upstream) {
                known.remote += u32::from(*count);
                let earlier = before.iter().find(|entry| entry.0 == *upstream);
                if earlier.is_none_or(|(_, earlier)| earlier < count) {
                    known.sent = Some(now);
                }
            }
        }
    }

    /// Notes which requests of this host another one counts in its digests.
    pub fn set_echoed(&mut self, counts: &[Count]) {
        for known in self.known.values_mut() {
            known.echoed = 0;
        }
        for (upstream, count) in counts {
            if let Some(known) = self.known.get_mut(upstream) {
                known.echoed = (*count).into();
            }
        }
    }

    /// Requests of this host in flight, by backend server.
    pub fn in_use(&self) -> Vec<Count> {
        let mut counts: Vec<Count> = self
            .known
            .iter()
            .filter(|(_, known)| known.local > 0)
            .map(|(key, known)| (*key, known.local.min(u16::MAX.into()) as u16))
            .collect();
        counts.sort_unstable();
        counts
    }

    /// Takes an outcome of any host into account. Returns what changes, if the
    /// backend server is suspected or trusted from now on.
    pub fn observe(&mut self, now: Instant, seen: &Observation) -> Option<Transition> {
        let known = self.known.get_mut(&seen.upstream)?;
        let name = Arc::clone(&known.service);
        let service = self.services.entry(name).or_default();
        let share = service.declined;
        service.note_end(seen.outcome);
        match seen.outcome {
            Outcome::StillRunning => {
                known
                    .belief
                    .observe(&self.settings, now, outage::Evidence::StillRunning);
            }
            Outcome::Good | Outcome::Finished => {
                if seen.outcome == Outcome::Good {
                    known
                        .belief
                        .observe(&self.settings, now, outage::Evidence::Succeeded);
                }
                known.full_until = None;
                known.unreachable = None;
                let elapsed = f64::from(seen.elapsed_ms.max(1)) / 1000.0;
                known.note_pace(now, elapsed / service.usual.unwrap_or(elapsed));
                service.note_answer(elapsed);
            }
            Outcome::Failed | Outcome::Silent | Outcome::Refused => {
                known
                    .belief
                    .observe(&self.settings, now, outage::Evidence::Failed);
            }
            Outcome::Unreachable => {
                known
                    .belief
                    .observe(&self.settings, now, outage::Evidence::Unreachable);
            }
            Outcome::Gone => {
                known.gone = true;
                known
                    .belief
                    .observe(&self.settings, now, outage::Evidence::Failed);
            }
            Outcome::Shed => {
                known
                    .belief
                    .observe(&self.settings, now, outage::Evidence::Shed { ratio: share });
                known.full_until = Some(now + FULL);
            }
            Outcome::Overdue => {
                known.pace = known.pace_at(now).max(OVERDUE_RATIO);
                known.paced = now;
            }
        }
        let failing = known.belief.probability(&self.settings, now);
        let is_suspected = failing >= DOUBTED;
        if std::mem::replace(&mut known.is_suspected, is_suspected) == is_suspected {
            return None;
        }
        Some(Transition {
            upstream: Arc::clone(&known.id),
            failing,
            is_suspected,
        })
    }

    /// Notes that this host could not connect. Returns whether others should
    /// know.
    pub fn connect_failed(&mut self, now: Instant, upstream: u64, refused: bool) -> bool {
        // A refusal shows that the link works.
        let opened = if refused { 1.0 } else { 0.0 };
        self.connects += (opened - self.connects) * CONNECTS_WEIGHT;
        if let Some(known) = self.known.get_mut(&upstream) {
            let times = known.unreachable.map_or(0, |unreachable| unreachable.times);
            let pause = UNREACHABLE * 2u32.pow(times.min(UNREACHABLE_STEPS));
            known.unreachable = Some(Unreachable {
                until: now + pause.min(UNREACHABLE_MOST),
                times: times + 1,
            });
        }
        refused || self.connects >= CONNECTS_LEAST
    }

    /// Notes that this host could connect.
    pub fn connect_succeeded(&mut self, upstream: u64) {
        self.connects += (1.0 - self.connects) * CONNECTS_WEIGHT;
        if let Some(known) = self.known.get_mut(&upstream) {
            known.unreachable = None;
        }
    }
}

impl Known {
    fn pace_at(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.paced).as_secs_f64();
        let kept = 0.5f64.powf(idle / PACE_HALF_LIFE.as_secs_f64());
        let pace = 1.0 + (self.pace - 1.0) * kept;
        // A server that has just started takes about twice the usual time.
        if now < self.cold_until {
            pace.max(2.0)
        } else {
            pace
        }
    }

    fn note_pace(&mut self, now: Instant, ratio: f64) {
        let pace = self.pace_at(now);
        self.pace = pace + (ratio - pace) * PACE_WEIGHT;
        self.paced = now;
    }
}
