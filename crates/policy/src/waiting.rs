//! Lets requests wait on their hosts while the backend servers of a service have
//! no spare capacity, and decides their order and which are refused.
//!
//! Load pattern: a burst of less urgent requests exceeds the capacity of a
//! service for some seconds. A backend server queues what exceeds its slots in
//! order of arrival, whatever its priority, and sheds the rest. Urgent requests
//! then wait behind the burst and are late. Requests are therefore sent only
//! while the servers' queues are short, so that the order is decided on the
//! hosts. Each of many hosts serves few requests, and all see the same occupancy
//! with a delay; each sends only its part of what the servers can take.

mod flow;
mod line;
mod queue;
mod room;

use std::time::{Duration, Instant};

pub use flow::Flow;
pub use line::{Line, Refusal, Verdict};
pub use queue::Queue;
pub use room::{Limits, Room};

/// Parameters of waiting.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Whether requests wait at all. Otherwise they go to the servers' own queues.
    pub is_enabled: bool,
    /// Maximum number of requests of a service that wait on a host.
    pub max_requests: usize,
    /// Maximum size of their bodies together, in bytes.
    pub max_bytes: u64,
    /// Outage probability from which a backend server's slots don't count as
    /// capacity.
    pub suspect_threshold: f64,
    /// Distance of the occupancy from its limit, from which on requests are sent
    /// no faster than the servers finish others.
    pub onset: f64,
    /// Time in which the hosts together correct a difference between occupancy
    /// and limit. It has to be several times the delay of the evidence, or else
    /// the same room is used repeatedly.
    pub correction: Duration,
    /// Part of the capacity that goes to the requests that have waited longest,
    /// whatever their priority, so that none of them starves.
    pub aging_ratio: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            is_enabled: false,
            // A host serves some ten requests a second for a deadline of two
            // seconds; this leaves room for a load that is fifty times higher.
            max_requests: 1024,
            max_bytes: 4 << 20,
            suspect_threshold: 0.5,
            onset: 0.15,
            // Evidence is 30 ms late.
            correction: Duration::from_millis(100),
            // A less urgent kind of request may be served more often than an urgent
            // one by at most 5 in 100.
            aging_ratio: 0.04,
        }
    }
}

/// Time that a request needs to be answered before its deadline, relative to the
/// typical latency: requests differ in their work, and an answer after the
/// deadline has taken a slot from another request.
const NEEDED_RATIO: f64 = 1.5;

/// What is known about a service when a decision is made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Conditions {
    /// Time of the decision.
    pub now: Instant,
    /// Occupancy of the available servers.
    pub room: Room,
    /// Limits on the occupancy by rank.
    pub limits: Limits,
    /// Typical time from sending a request to its answer; zero if unknown.
    pub typical: Duration,
    /// Live hosts, including this one.
    pub hosts: usize,
}

impl Conditions {
    /// Returns the requests a second that the servers finish for each host;
    /// `None` if that is unknown.
    pub fn host_rate(&self, in_use: f64) -> Option<f64> {
        let typical = self.typical.as_secs_f64();
        (typical > 0.0).then(|| in_use / typical / self.hosts.max(1) as f64)
    }
}

/// A request that may have to wait.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Position of its priority among those of the service; 0 is the most urgent.
    pub rank: usize,
    /// When the request arrived at the host.
    pub arrived: Instant,
    /// End of the time within which its answer has its full value.
    pub objective: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Customer for the purpose of fairness. Requests without a customer count as
    /// those of one.
    pub customer: Option<u64>,
    /// Size of the body in bytes.
    pub bytes: u64,
}

impl Request {
    /// Returns the latest time at which sending the request is worth a slot. A
    /// request with little time in all gets half of it, since some answers are
    /// faster than the typical one.
    pub fn latest_start(&self, typical: Duration) -> Instant {
        let whole = self.deadline.saturating_duration_since(self.arrived);
        let needed = typical.mul_f64(NEEDED_RATIO);
        let start = self.deadline.checked_sub(needed.min(whole / 2));
        start.unwrap_or(self.arrived)
    }

    /// Returns whether an answer is likely within the latency objective if the
    /// request is sent at `now`.
    pub fn can_meet_objective(&self, now: Instant, typical: Duration) -> bool {
        now + typical <= self.objective
    }
}
