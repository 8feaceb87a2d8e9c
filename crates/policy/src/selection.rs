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

/// Weights of the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Probability of failing from which a backend server is in doubt.
    pub doubt: f64,
    /// Time between two requests that test a backend server in doubt.
    pub test_every: Duration,
    /// Backend servers whose cost is higher than the lowest one by more than
    /// this are left out.
    pub margin: f64,
    /// Cost of a full backend server, relative to a certain failure.
    pub full: f64,
    /// Cost of each further queued request per slot.
    pub queued: f64,
    /// Cost of one in-use slot share below full.
    pub used: f64,
    /// Cost of a backend server that takes twice its service's usual time.
    pub slow: f64,
    /// Cost of a backend server in another availability zone.
    pub remote: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            doubt: 0.3,
            test_every: Duration::from_millis(250),
            margin: 0.05,
            full: 0.12,
            queued: 0.25,
            used: 0.03,
            slow: 0.15,
            remote: 0.0,
        }
    }
}

/// What is known about one backend server that may be chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Probability that it fails the request.
    pub failing: f64,
    /// Requests that it works on, as far as known, by all hosts.
    pub in_use: f64,
    /// Requests that it works on at the same time.
    pub slots: f64,
    /// Its time for a request relative to the usual time of its service.
    pub pace: f64,
    /// Whether it is in the availability zone of this host.
    pub near: bool,
    /// When any host last sent it a request, as far as known.
    pub sent: Option<Instant>,
}

/// What the attempt may be used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// The attempt should succeed.
    Serve,
    /// The attempt may fail, since another one can follow.
    Learn,
}

/// Chooses among `candidates`; returns a position.
pub fn choose(
    settings: &Settings,
    now: Instant,
    candidates: &[Candidate],
    purpose: Purpose,
    rng: &mut impl Rng,
) -> Option<usize> {
    if purpose == Purpose::Learn
        && let Some(tested) = doubtful(settings, now, candidates)
    {
        return Some(tested);
    }
    least_cost(settings, candidates, rng)
}

/// The doubtful backend server whose last request is the longest ago.
fn doubtful(settings: &Settings, now: Instant, candidates: &[Candidate]) -> Option<usize> {
    let due = |candidate: &Candidate| {
        candidate.failing >= settings.doubt
            && candidate.in_use < candidate.slots
            && candidate
                .sent
                .is_none_or(|sent| now.saturating_duration_since(sent) >= settings.test_every)
    };
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| due(candidate))
        .min_by_key(|(_, candidate)| candidate.sent)
        .map(|(position, _)| position)
}

fn least_cost(settings: &Settings, candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
    let costs: SmallVec<[f64; 64]> = candidates
        .iter()
        .map(|candidate| cost(settings, candidate))
        .collect();
    let lowest = costs.iter().copied().min_by(f64::total_cmp)?;
    let good: SmallVec<[usize; 64]> = (0..costs.len())
        .filter(|&position| costs[position] <= lowest + settings.margin)
        .collect();
    let left = good[rng.random_range(0..good.len())];
    let right = good[rng.random_range(0..good.len())];
    Some(if costs[right] < costs[left] {
        right
    } else {
        left
    })
}

/// Expected loss of an attempt, in failed requests.
pub fn cost(settings: &Settings, candidate: &Candidate) -> f64 {
    let used = candidate.in_use / candidate.slots.max(1.0);
    let waiting = if used >= 1.0 {
        settings.full + settings.queued * (used - 1.0)
    } else {
        0.0
    };
    let slow = settings.slow * (candidate.pace - 1.0).clamp(0.0, 6.0);
    let remote = if candidate.near { 0.0 } else { settings.remote };
    candidate.failing + settings.used * used + waiting + slow + remote
}
