//! Choice of the backend server for one attempt.
//!
//! Each host decides alone from evidence that all hosts share. The load pattern
//! that this answers: about a third of the backend servers fail nearly every
//! request for some seconds, answer those failures faster than any sound server
//! and so look idle, while four requests in five may run only once.
//!
//! Evidence is therefore bought with requests that may be repeated and spent on
//! those that may not. A repeatable request goes first to a backend server in
//! doubt, as long as the retry allowance covers a second attempt elsewhere. A
//! request that may run only once goes to the backend servers that are least
//! likely to fail, the less loaded of two random ones among them.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};
use smallvec::SmallVec;

/// Weights of the choice. Costs are in failed requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Probability of failing from which a backend server is in doubt.
    pub suspect_threshold: f64,
    /// Time between two requests that test a backend server in doubt.
    pub test_interval: Duration,
    /// Backend servers whose cost is higher than the lowest one by more than
    /// this are left out.
    pub margin: f64,
    /// Cost of an answer that comes after its objective.
    pub late_cost: f64,
    /// Spread of the time of an answer, relative to the objective.
    pub latency_spread: f64,
    /// Cost of a backend server whose slots are all in use; fewer cost less.
    pub occupancy_cost: f64,
    /// Cost of each further time that a request waits for as long as its
    /// objective.
    pub overload_cost: f64,
    /// Backend servers of the own zone among those that cost least from which
    /// on the others are left out.
    pub same_zone_threshold: usize,
    /// Time without a request after which a backend server is explored.
    pub explore_idle_threshold: Duration,
    /// Probability of failing up to which a backend server is explored.
    pub explore_suspicion_limit: f64,
    /// Cost of sending a kilobyte of a request to another availability zone.
    pub cross_zone_kilobyte_cost: f64,
    /// Kilobytes of an answer, as far as not known before.
    pub response_kilobytes: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            suspect_threshold: 0.08,
            test_interval: Duration::from_millis(250),
            margin: 0.09,
            late_cost: 0.4,
            latency_spread: 0.18,
            occupancy_cost: 0.06,
            overload_cost: 0.2,
            same_zone_threshold: 6,
            explore_idle_threshold: Duration::from_millis(1500),
            explore_suspicion_limit: 0.4,
            cross_zone_kilobyte_cost: 0.0025,
            response_kilobytes: 3.0,
        }
    }
}

/// What is known about one backend server that may be chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Probability that it fails the request.
    pub outage_probability: f64,
    /// Requests that it works on, as far as known, by all hosts.
    pub in_use: f64,
    /// Requests that it works on at the same time.
    pub slots: f64,
    /// Its time for a request relative to the usual time of its service.
    pub latency_ratio: f64,
    /// Whether it is in the availability zone of this host.
    pub is_same_zone: bool,
    /// When any host last sent it a request, as far as known.
    pub last_sent: Option<Instant>,
}

/// The request that a backend server is chosen for.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Usual time of an answer of the service, relative to the objective of
    /// the request.
    pub relative_latency: f64,
    /// Size of the request.
    pub kilobytes: f64,
    /// What the attempt may be used for.
    pub purpose: Purpose,
}

/// What the attempt may be used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// The attempt should succeed.
    Serve,
    /// The attempt may fail, since another one can follow.
    Learn,
    /// The attempt should find out whether a backend server without requests
    /// is sound.
    Explore,
}

/// Chooses among `candidates`; returns a position.
pub fn choose(
    settings: &Settings,
    now: Instant,
    candidates: &[Candidate],
    request: &Request,
    rng: &mut impl Rng,
) -> Option<usize> {
    let tested = match request.purpose {
        Purpose::Serve => None,
        Purpose::Learn => doubtful(settings, now, candidates, rng),
        Purpose::Explore => unused(settings, now, candidates, rng),
    };
    tested.or_else(|| least_cost(settings, candidates, request, rng))
}

/// A backend server in doubt that is due for a test. It is picked at random:
/// all hosts have the same evidence, and would test the same one at the same
/// time.
fn doubtful(
    settings: &Settings,
    now: Instant,
    candidates: &[Candidate],
    rng: &mut impl Rng,
) -> Option<usize> {
    let due = |candidate: &Candidate| {
        candidate.outage_probability >= settings.suspect_threshold
            && candidate.in_use < candidate.slots
            && candidate
                .last_sent
                .is_none_or(|sent| now.saturating_duration_since(sent) >= settings.test_interval)
    };
    any(candidates, due, rng)
}

/// A backend server that no host has sent a request to for a while, and that is
/// not known to fail.
fn unused(
    settings: &Settings,
    now: Instant,
    candidates: &[Candidate],
    rng: &mut impl Rng,
) -> Option<usize> {
    let unused = |candidate: &Candidate| {
        candidate.outage_probability < settings.explore_suspicion_limit
            && candidate.last_sent.is_none_or(|sent| {
                now.saturating_duration_since(sent) >= settings.explore_idle_threshold
            })
    };
    any(candidates, unused, rng)
}

/// Position of a random candidate among those that `fit`.
fn any(
    candidates: &[Candidate],
    fit: impl Fn(&Candidate) -> bool,
    rng: &mut impl Rng,
) -> Option<usize> {
    let fitting: SmallVec<[usize; 64]> = (0..candidates.len())
        .filter(|&position| fit(&candidates[position]))
        .collect();
    (!fitting.is_empty()).then(|| fitting[rng.random_range(0..fitting.len())])
}

/// The cheaper of two random backend servers among those that cost least.
/// Every host chooses from the same evidence, so the single best one would be
/// chosen by all of them at once.
fn least_cost(
    settings: &Settings,
    candidates: &[Candidate],
    request: &Request,
    rng: &mut impl Rng,
) -> Option<usize> {
    let costs: SmallVec<[f64; 64]> = candidates
        .iter()
        .map(|candidate| cost(settings, candidate, request))
        .collect();
    let lowest = costs.iter().copied().min_by(f64::total_cmp)?;
    let mut good: SmallVec<[usize; 64]> = (0..costs.len())
        .filter(|&position| costs[position] <= lowest + settings.margin)
        .collect();
    let near = |position: &usize| candidates[*position].is_same_zone;
    if good.iter().copied().filter(|p| near(p)).count() >= settings.same_zone_threshold {
        good.retain(|position| near(position));
    }
    let left = good[rng.random_range(0..good.len())];
    let right = good[rng.random_range(0..good.len())];
    Some(if costs[right] < costs[left] {
        right
    } else {
        left
    })
}

/// Expected loss of an attempt, in failed requests.
///
/// A backend server without a free slot makes the request wait; whether that
/// matters depends on the request's objective. Below its slots the load costs
/// nothing, so that requests gather on the backend servers with the newest
/// evidence: fewer of them can then turn bad unseen.
pub fn cost(settings: &Settings, candidate: &Candidate, request: &Request) -> f64 {
    let slots = candidate.slots.max(1.0);
    let waiting = (candidate.in_use + 1.0 - slots).max(0.0) / slots;
    let expected = request.relative_latency * candidate.latency_ratio * (1.0 + waiting);
    let late = 1.0 / (1.0 + ((1.0 - expected) / settings.latency_spread).exp());
    let remote = if candidate.is_same_zone {
        0.0
    } else {
        settings.cross_zone_kilobyte_cost * (request.kilobytes + settings.response_kilobytes)
    };
    let used = settings.occupancy_cost * candidate.in_use / slots;
    let overload = settings.overload_cost * (expected - 1.0).max(0.0);
    candidate.outage_probability + used + settings.late_cost * late + overload + remote
}
