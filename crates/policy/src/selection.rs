//! Selects the backend server for one attempt.
//!
//! Each host decides on its own from evidence that all hosts share. The choice
//! is made for this load pattern: about a third of the backend servers are in
//! an outage of some seconds, in which they fail nearly every request faster
//! than a healthy server responds and so look idle, while four requests in five
//! are not repeatable.
//!
//! Repeatable requests therefore gather the evidence that the others rely on. A
//! repeatable request first goes to a suspected backend server, as long as the
//! retry quota covers a second attempt elsewhere. A request that is not
//! repeatable goes to a backend server with a low expected cost among a random
//! sample. Among servers of similar cost the load is kept even. Which requests
//! go to servers that get none is decided in [`exploration`], and which may leave
//! the host's availability zone in [`locality`].

use std::time::{Duration, Instant};

use rand::{Rng, RngExt, seq::index};
use smallvec::SmallVec;

use crate::{exploration, locality};

/// Weights of the selection. Costs are in failed requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Outage probability from which a backend server is suspected.
    pub suspect_threshold: f64,
    /// Minimum time between two requests that test a suspected backend server.
    pub test_interval: Duration,
    /// Backend servers whose cost is higher than the lowest one by more than
    /// this are left out.
    pub margin: f64,
    /// Difference up to which two costs count as similar.
    pub similar_cost: f64,
    /// Cost of a response that takes longer than the latency objective.
    pub late_cost: f64,
    /// Spread of the response time, relative to the objective: the scale of the
    /// logistic function that estimates the probability of a late response.
    pub latency_spread: f64,
    /// Cost of a backend server whose slots are all in use, proportionally less
    /// if fewer are.
    pub occupancy_cost: f64,
    /// Cost of each multiple of the objective by which a response is expected to
    /// exceed it.
    pub overload_cost: f64,
    /// Cost of waiting for a slot behind as many requests as the backend server
    /// has slots, proportionally less behind fewer.
    pub wait_cost: f64,
    /// Additional `wait_cost` if the service sheds all requests, proportionally
    /// less if it sheds fewer, up to [`MAX_SHED_RATIO`]: a waiting request is the
    /// one that is shed.
    pub shed_wait_cost: f64,
    /// Number of sound backend servers in the host's own zone from which on all
    /// requests may stay there. With fewer, one outage hits too many of them.
    pub same_zone_threshold: usize,
    /// Cost by which the best backend server of the own zone may exceed the best
    /// of the others before a request that may stay leaves.
    pub same_zone_margin: f64,
    /// Number of random backend servers of the host's own zone, and of the other
    /// zones, that are compared.
    pub sample_size: usize,
    /// Time without a request from which a backend server is explored.
    pub explore_idle_threshold: Duration,
    /// Cost of each kilobyte of a request or response that crosses availability
    /// zones.
    pub cross_zone_kilobyte_cost: f64,
    /// Assumed size of a response, in kilobytes, since it is not known in advance.
    pub response_kilobytes: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            suspect_threshold: 0.08,
            test_interval: Duration::from_millis(250),
            margin: 0.09,
            // The outage risk that a server adds without a request for some 0.15 s.
            similar_cost: 0.02,
            late_cost: 0.4,
            latency_spread: 0.18,
            occupancy_cost: 0.06,
            overload_cost: 0.2,
            wait_cost: 0.2,
            shed_wait_cost: 8.0,
            same_zone_threshold: 6,
            // Above it a request is more likely to fail at home than elsewhere, also
            // if the evidence about other zones is some milliseconds older.
            same_zone_margin: 0.25,
            sample_size: 16,
            // With the time until an idle server is covered, and the one until
            // that is known, its next request comes after about 1.5 s.
            explore_idle_threshold: Duration::from_millis(1250),
            cross_zone_kilobyte_cost: 0.0025,
            response_kilobytes: 3.0,
        }
    }
}

/// State of one backend server that may be chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Probability that it is in an outage, used as the probability that it fails
    /// the request.
    pub outage_probability: f64,
    /// Known requests of all hosts that are in flight at the server.
    pub in_use: f64,
    /// Requests that it runs concurrently.
    pub slots: f64,
    /// Its response time relative to the usual response time of its service.
    pub latency_ratio: f64,
    /// Whether it is in the availability zone of this host.
    pub is_same_zone: bool,
    /// When any host last sent it a request, if known.
    pub last_sent: Option<Instant>,
}

/// The request for which a backend server is chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Usual response time of the service, relative to the latency objective of
    /// the request.
    pub relative_latency: f64,
    /// Size of the request in kilobytes.
    pub kilobytes: f64,
    /// Recent share of the requests of the service that were shed.
    pub shed_ratio: f64,
    /// Whether it may go to any availability zone: an earlier attempt failed, so
    /// there is less time to find a sound server.
    pub any_zone: bool,
    /// Purpose of the attempt.
    pub purpose: Purpose,
}

/// Share of shed requests above which the cost of waiting no longer grows.
/// Servers that shed more do so whatever their load, and another one is no
/// better.
pub const MAX_SHED_RATIO: f64 = 0.15;

/// Purpose of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Serves the request: the attempt should succeed.
    Serve,
    /// Tests a suspected backend server if one is due: the attempt may fail,
    /// because another one can follow.
    Learn,
    /// Tests whether a backend server that gets no requests is healthy.
    Explore,
}

/// Returns the position of the chosen candidate, or `None` without candidates.
pub fn choose(
    settings: &Settings,
    now: Instant,
    candidates: &[Candidate],
    request: &Request,
    rng: &mut impl Rng,
) -> Option<usize> {
    let tested = match request.purpose {
        Purpose::Serve => None,
        Purpose::Learn => suspect_to_test(settings, now, candidates, rng),
        Purpose::Explore => exploration::choose(settings, now, candidates, rng),
    };
    tested.or_else(|| least_cost(settings, now, candidates, request, rng))
}

/// Returns a random suspected backend server that is due for a test. All hosts
/// share the same evidence, so with a fixed order they would test the same
/// server at the same time.
fn suspect_to_test(
    settings: &Settings,
    now: Instant,
    candidates: &[Candidate],
    rng: &mut impl Rng,
) -> Option<usize> {
    // The hosts of a server's own zone test it, and others only if they don't.
    let has_own = candidates.iter().any(|candidate| candidate.is_same_zone);
    let due = |candidate: &Candidate| {
        let interval = if has_own && !candidate.is_same_zone {
            settings.explore_idle_threshold
        } else {
            settings.test_interval
        };
        candidate.outage_probability >= settings.suspect_threshold
            && candidate.in_use < candidate.slots
            && candidate
                .last_sent
                .is_none_or(|sent| now.saturating_duration_since(sent) >= interval)
    };
    let due: SmallVec<[usize; 64]> = (0..candidates.len())
        .filter(|&position| due(&candidates[position]))
        .collect();
    (!due.is_empty()).then(|| due[rng.random_range(0..due.len())])
}

/// Returns a backend server for a request that should succeed, in the host's own
/// zone unless the request is among the share that may leave it, or the other
/// zones have a much better one.
fn least_cost(
    settings: &Settings,
    now: Instant,
    candidates: &[Candidate],
    request: &Request,
    rng: &mut impl Rng,
) -> Option<usize> {
    let leave_share = if request.any_zone {
        1.0
    } else {
        locality::Load::of(settings, candidates).leave_share(settings)
    };
    if !rng.random_bool(leave_share) {
        let (own, others): (Vec<usize>, Vec<usize>) =
            (0..candidates.len()).partition(|&position| candidates[position].is_same_zone);
        let own = Sample::draw(settings, candidates, request, &own, rng);
        let others = Sample::draw(settings, candidates, request, &others, rng);
        if own.lowest <= others.lowest + settings.same_zone_margin {
            return own.choose(settings, now, candidates, rng);
        }
    }
    let all: Vec<usize> = (0..candidates.len()).collect();
    Sample::draw(settings, candidates, request, &all, rng).choose(settings, now, candidates, rng)
}

/// Random backend servers with their costs.
///
/// Many requests are placed before the hosts know of the first of them. If all
/// hosts compared all servers of a large service, these requests would go to
/// the few that had the lowest cost, which then shed them, while healthy
/// servers without recent evidence got none.
struct Sample {
    costs: SmallVec<[(usize, f64); 16]>,
    lowest: f64,
}

impl Sample {
    fn draw(
        settings: &Settings,
        candidates: &[Candidate],
        request: &Request,
        positions: &[usize],
        rng: &mut impl Rng,
    ) -> Self {
        let amount = positions.len().min(settings.sample_size);
        let costs: SmallVec<[(usize, f64); 16]> = index::sample(rng, positions.len(), amount)
            .iter()
            .map(|index| positions[index])
            .map(|position| (position, cost(settings, &candidates[position], request)))
            .collect();
        let lowest = costs.iter().map(|(_, cost)| *cost);
        let lowest = lowest.fold(f64::INFINITY, f64::min);
        Self { costs, lowest }
    }

    /// Returns one of two random backend servers whose cost is within the margin
    /// of the lowest: the cheaper one, or of two with similar costs the less
    /// loaded one, or the one that has been idle for longer. All hosts share the
    /// same evidence, so they would all choose the single best one at the same
    /// time.
    fn choose(
        &self,
        settings: &Settings,
        now: Instant,
        candidates: &[Candidate],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let eligible: SmallVec<[(usize, f64); 16]> = self
            .costs
            .iter()
            .filter(|(_, cost)| *cost <= self.lowest + settings.margin)
            .copied()
            .collect();
        if eligible.is_empty() {
            return None;
        }
        let left = eligible[rng.random_range(0..eligible.len())];
        let right = eligible[rng.random_range(0..eligible.len())];
        let key = |(position, _): (usize, f64)| {
            let candidate = &candidates[position];
            let idle = candidate
                .last_sent
                .map_or(Duration::MAX, |sent| now.saturating_duration_since(sent));
            (
                candidate.in_use / candidate.slots.max(1.0),
                std::cmp::Reverse(idle),
            )
        };
        let is_similar = (left.1 - right.1).abs() <= settings.similar_cost;
        let is_right = if is_similar {
            key(right) < key(left)
        } else {
            right.1 < left.1
        };
        Some(if is_right { right.0 } else { left.0 })
    }
}

/// Returns the expected cost of an attempt, in failed requests.
///
/// A backend server without a free slot makes the request wait; whether that
/// matters depends on the request's latency objective. While slots are free,
/// load adds only the small occupancy cost, so that requests concentrate on the
/// backend servers with the newest evidence and fewer servers can enter an
/// outage unnoticed.
pub fn cost(settings: &Settings, candidate: &Candidate, request: &Request) -> f64 {
    let slots = candidate.slots.max(1.0);
    let relative_wait = (candidate.in_use + 1.0 - slots).max(0.0) / slots;
    let expected_latency =
        request.relative_latency * candidate.latency_ratio * (1.0 + relative_wait);
    let late_probability = 1.0 / (1.0 + ((1.0 - expected_latency) / settings.latency_spread).exp());
    let transfer = if candidate.is_same_zone {
        0.0
    } else {
        settings.cross_zone_kilobyte_cost * (request.kilobytes + settings.response_kilobytes)
    };
    let occupancy = settings.occupancy_cost * candidate.in_use / slots;
    let overload = settings.overload_cost * (expected_latency - 1.0).max(0.0);
    let shed_ratio = request.shed_ratio.min(MAX_SHED_RATIO);
    let wait = (settings.wait_cost + settings.shed_wait_cost * shed_ratio) * relative_wait;
    candidate.outage_probability
        + occupancy
        + settings.late_cost * late_probability
        + overload
        + wait
        + transfer
}
