//! Occupancy of a service, and the limits on it.

use std::time::Duration;

use crate::selection;

/// Requests in flight and slots of the available servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// Requests in flight, including those that wait at the servers.
    pub in_use: f64,
    /// Slots.
    pub slots: f64,
}

impl Room {
    /// Counts the server `candidate` unless it is likely to be in an outage, since
    /// its free slots are no capacity.
    pub fn add(&mut self, candidate: &selection::Candidate, suspect_threshold: f64) {
        if candidate.outage_probability < suspect_threshold {
            self.in_use += candidate.in_use;
            self.slots += candidate.slots;
        }
    }

    /// Returns the room of a service of which this one is a sample, one server in
    /// `stride`.
    pub fn scaled(self, stride: usize) -> Self {
        Self {
            in_use: self.in_use * stride as f64,
            slots: self.slots * stride as f64,
        }
    }

    /// Returns the requests in flight for each slot; `None` without slots.
    pub fn occupancy(&self) -> Option<f64> {
        (self.slots > 0.0).then(|| self.in_use / self.slots)
    }

    /// Returns how many slots are in use.
    pub fn busy(&self) -> f64 {
        self.in_use.min(self.slots)
    }
}

/// Bound of the limit for the most urgent requests, where as many requests wait at
/// the servers as run. Longer queues keep no more slots busy.
const MAX_LIMIT: f64 = 2.0;

/// Part of the time that a typical urgent request has to spare that it may spend in
/// a server's queue. The rest covers servers that are slower than others.
const SPENT_RATIO: f64 = 0.5;

/// Bound of the limit for the least urgent requests. Hosts choose servers by late
/// evidence, so that with one request for each slot a tenth of the slots is free;
/// above this bound few are.
const MAX_LEAST_LIMIT: f64 = 1.2;

/// Part of the time that a typical urgent request has to spare that the least urgent
/// ones may take from it.
const LEAST_SPENT_RATIO: f64 = 0.25;

/// Limits on the occupancy of a service, up to which requests of each rank are
/// sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    ranks: usize,
    highest: f64,
    lowest: f64,
}

impl Limits {
    /// Derives the limits for `ranks` priorities, of which the most urgent has the
    /// latency objective `objective`. A request that finds the occupancy `o` above
    /// 1 waits at the server for `o - 1` times the typical latency.
    pub fn new(ranks: usize, objective: Duration, typical: Duration) -> Self {
        let spare = if typical.is_zero() {
            f64::INFINITY
        } else {
            (objective.as_secs_f64() / typical.as_secs_f64() - 1.0).max(0.0)
        };
        Self {
            ranks: ranks.max(1),
            highest: (1.0 + spare * SPENT_RATIO).min(MAX_LIMIT),
            lowest: (1.0 + spare * LEAST_SPENT_RATIO).min(MAX_LEAST_LIMIT),
        }
    }

    /// Returns the limit for `rank`, 0 being the most urgent.
    pub fn get(&self, rank: usize) -> f64 {
        let last = self.ranks - 1;
        if last == 0 {
            return self.highest;
        }
        let part = (last - rank.min(last)) as f64 / last as f64;
        self.lowest + (self.highest - self.lowest) * part
    }
}
