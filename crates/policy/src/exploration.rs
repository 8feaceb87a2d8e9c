//! Decides how many requests go to backend servers that no host has sent
//! anything for a while, and to which of them.
//!
//! Answers this load pattern: a third of the backend servers are in an outage
//! of some seconds, in which they fail requests at once, and few or none of the
//! requests of the service are repeatable. A server that failed a request gets
//! no other one until its evidence has decayed, long after it has recovered,
//! while the remaining servers carry the load of all.
//!
//! The share of requests that explore follows from the number of idle servers
//! and the rate of the service's requests, so that each idle server is expected
//! to get one request within [`COVER_TIME`] from all hosts together, and none is
//! risked beyond that. All hosts share the same evidence without any agreement
//! on who explores; the choice is therefore random, in favor of the servers that
//! have been idle for longest.

use std::time::{Duration, Instant};

use rand::{Rng, seq::index};
use smallvec::SmallVec;

use crate::selection::{Candidate, Settings};

/// Time in which the idle servers of a service are to get a request. Together
/// with `explore_idle_threshold` it stays below the 2 s after which callers
/// count a server as unused.
pub const COVER_TIME: Duration = Duration::from_millis(250);

/// Time in which a server that has never got a request is to get its first one.
pub const FIRST_COVER_TIME: Duration = Duration::from_millis(500);

/// Maximum share of the requests that explore. In an outage of a third of the
/// servers, a tenth of all requests then fails by exploring.
pub const MAX_SHARE: f64 = 0.3;

/// Shares of failed requests between which exploring begins. Below, the failures
/// by exploring would exceed all others. Small services need the lower end: their
/// loss is known late, and a few idle servers are a large part of them.
const FAILURE_RATIOS: std::ops::Range<f64> = 0.05..0.08;

/// Outage probability from which a server of a large service is not explored. A
/// server that has just failed a request falls below it after about 2 s, when
/// callers count it as usable again. Sooner, most of the requests that explore
/// would fail.
const SUSPICION_LIMIT: f64 = 0.55;

/// Number of available servers up to which a service is small: each server is so large a part
/// of the capacity that its recovery has to be seen early.
const SMALL_SERVICE: usize = 48;

/// What is divided by the number of servers of a small service and added to
/// [`SUSPICION_LIMIT`]. With up to 15 servers any is explored.
const SMALL_SERVICE_BONUS: f64 = 7.0;

/// Additional idle time from which hosts of other zones explore a server, so that
/// those of its own zone go first.
const PRECEDENCE: Duration = Duration::from_millis(250);

/// What is known about the service and the request that may explore.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Requests per second that all hosts send to the service.
    pub rate: f64,
    /// Recent share of the requests of the service that failed or were shed.
    pub failure_ratio: f64,
    /// Number of servers of the service, of which the candidates may be a sample.
    pub servers: usize,
    /// Whether the service has a repeatable route, whose requests test suspected
    /// servers.
    pub is_tested: bool,
}

/// Returns the share of the requests of `demand` that should explore.
pub fn share(settings: &Settings, now: Instant, candidates: &[Candidate], demand: &Demand) -> f64 {
    let width = FAILURE_RATIOS.end - FAILURE_RATIOS.start;
    let loss_factor = if demand.is_tested {
        // The failures are mostly those of tests, which are retried elsewhere.
        0.0
    } else {
        ((demand.failure_ratio - FAILURE_RATIOS.start) / width).clamp(0.0, 1.0)
    };
    let mut needed = 0.0;
    let limit = suspicion_limit(candidates.len());
    for candidate in candidates {
        if candidate.outage_probability >= limit || !is_idle(settings, now, candidate) {
            continue;
        }
        needed += if candidate.last_sent.is_none() {
            (loss_factor / COVER_TIME.as_secs_f64()).max(FIRST_COVER_TIME.as_secs_f64().recip())
        } else {
            loss_factor / COVER_TIME.as_secs_f64()
        };
    }
    let scale = (demand.servers as f64 / candidates.len().max(1) as f64).max(1.0);
    (needed * scale / demand.rate.max(1.0)).min(MAX_SHARE)
}

/// Returns the position of the idle backend server to explore, if there is one.
///
/// It is the better of two random ones: the one with the longer idle time,
/// weighted by the probability that it is not in an outage. As long as some have
/// never got a request, it is one of those.
pub(crate) fn choose(
    settings: &Settings,
    now: Instant,
    candidates: &[Candidate],
    rng: &mut impl Rng,
) -> Option<usize> {
    let limit = suspicion_limit(candidates.len());
    let mut idle: SmallVec<[usize; 64]> = (0..candidates.len())
        .filter(|&position| candidates[position].outage_probability < limit)
        .filter(|&position| is_idle(settings, now, &candidates[position]))
        .collect();
    if idle
        .iter()
        .any(|&position| candidates[position].last_sent.is_none())
    {
        idle.retain(|position| candidates[*position].last_sent.is_none());
    }
    let score = |position: &usize| {
        let candidate = &candidates[*position];
        let seconds = candidate.last_sent.map_or(f64::INFINITY, |sent| {
            now.saturating_duration_since(sent).as_secs_f64()
        });
        seconds * (1.0 - candidate.outage_probability)
    };
    let drawn = index::sample(rng, idle.len(), idle.len().min(2));
    let drawn = drawn.iter().map(|index| idle[index]);
    drawn.max_by(|left, right| score(left).total_cmp(&score(right)))
}

/// Returns the outage probability from which a server is not explored, if `servers`
/// of its service are available.
fn suspicion_limit(servers: usize) -> f64 {
    if servers > SMALL_SERVICE {
        return SUSPICION_LIMIT;
    }
    SUSPICION_LIMIT + SMALL_SERVICE_BONUS / servers.max(1) as f64
}

/// Returns whether `candidate` has room and has got no request of any host for
/// the idle threshold.
fn is_idle(settings: &Settings, now: Instant, candidate: &Candidate) -> bool {
    let mut threshold = settings.explore_idle_threshold;
    if !candidate.is_same_zone {
        threshold += PRECEDENCE;
    }
    let idle = |sent: Instant| now.saturating_duration_since(sent) >= threshold;
    candidate.in_use < candidate.slots && candidate.last_sent.is_none_or(idle)
}
