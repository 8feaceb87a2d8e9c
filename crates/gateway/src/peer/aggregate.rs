//! Evidence that an aggregator collects from its reporters and distributes.

use std::collections::{HashMap, HashSet};

use super::{
    report::{Count, MAX_COUNTS, MAX_OUTCOMES},
    usage,
};
use crate::evidence::Observation;

/// Unchanged counts that each digest repeats in turn, so that a lost datagram
/// leaves a wrong count only briefly.
const REPEATED_COUNTS: usize = 8;

/// The receivers of a digest. Other zones get digests less often.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Audience {
    /// Hosts of the same availability zone.
    Zone,
    /// Hosts of all other availability zones.
    OtherZones,
}

/// Evidence that fits into one datagram.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Part {
    /// Outcomes.
    pub outcomes: Vec<Observation>,
    /// Requests in flight.
    pub in_use: Vec<Count>,
}

/// What has not been sent to one audience yet.
#[derive(Debug, Default)]
struct Pending {
    outcomes: Vec<Observation>,
    /// Backend servers whose total has changed.
    changed: HashSet<u64>,
    /// Index of the backend server whose count was repeated last.
    last_repeated: usize,
    /// Admitted requests by customer.
    usage: usage::Outgoing,
}

impl Pending {
    fn take(&mut self, totals: &HashMap<u64, u16>, upstreams: &[u64]) -> Vec<Part> {
        let mut keys: Vec<u64> = self.changed.drain().collect();
        for _ in 0..REPEATED_COUNTS.min(upstreams.len()) {
            self.last_repeated = (self.last_repeated + 1) % upstreams.len();
            keys.push(upstreams[self.last_repeated]);
        }
        let count = |key: &u64| (*key, totals.get(key).copied().unwrap_or(0));
        let in_use: Vec<Count> = keys.iter().map(count).collect();
        let outcomes = std::mem::take(&mut self.outcomes);
        let parts = outcomes
            .len()
            .div_ceil(MAX_OUTCOMES)
            .max(in_use.len().div_ceil(MAX_COUNTS))
            .max(1);
        let mut outcomes = outcomes.chunks(MAX_OUTCOMES);
        let mut in_use = in_use.chunks(MAX_COUNTS);
        (0..parts)
            .map(|_| Part {
                outcomes: outcomes.next().unwrap_or_default().to_vec(),
                in_use: in_use.next().unwrap_or_default().to_vec(),
            })
            .collect()
    }
}

/// Evidence of an aggregator and its reporters on its way to all other hosts.
#[derive(Debug, Default)]
pub struct Aggregate {
    /// Requests in flight of this host and its reporters, by backend server.
    totals: HashMap<u64, u16>,
    zone: Pending,
    other_zones: Pending,
}

impl Aggregate {
    /// Adds an outcome for all audiences.
    pub fn add_outcome(&mut self, observation: &Observation) {
        self.zone.outcomes.push(observation.clone());
        self.other_zones.outcomes.push(observation.clone());
    }

    /// Replaces the requests in flight of one of these hosts: `before` are
    /// subtracted from the totals, `after` are added.
    pub fn replace_counts(&mut self, before: &[Count], after: &[Count]) {
        for (upstream, count) in before {
            let total = self.totals.entry(*upstream).or_default();
            *total = total.saturating_sub(*count);
        }
        for (upstream, count) in after {
            let total = self.totals.entry(*upstream).or_default();
            *total = total.saturating_add(*count);
        }
        let is_same = |entry: &&Count| before.contains(entry) && after.contains(entry);
        for entry in before.iter().chain(after).filter(|entry| !is_same(entry)) {
            self.zone.changed.insert(entry.0);
            self.other_zones.changed.insert(entry.0);
        }
        self.totals.retain(|_, total| *total > 0);
    }

    /// Adds admitted requests of a customer for all audiences.
    pub fn add_usage(&mut self, key: u64, count: u16) {
        self.zone.usage.add(key, count);
        self.other_zones.usage.add(key, count);
    }

    /// Takes the counters of admitted requests that are due to `audience`.
    pub fn take_usage(&mut self, audience: Audience) -> Vec<usage::Count> {
        match audience {
            Audience::Zone => self.zone.usage.take(),
            Audience::OtherZones => self.other_zones.usage.take(),
        }
    }

    /// Returns whether outcomes or changed counts wait to be sent to `audience`.
    pub fn has_pending(&self, audience: Audience) -> bool {
        let pending = match audience {
            Audience::Zone => &self.zone,
            Audience::OtherZones => &self.other_zones,
        };
        !pending.outcomes.is_empty() || !pending.changed.is_empty() || pending.usage.has_pending()
    }

    /// Takes what has not been sent to `audience` yet, as at least one part,
    /// with some repeated counts. `upstreams` are all backend servers in any
    /// order that is stable between calls.
    pub fn take(&mut self, audience: Audience, upstreams: &[u64]) -> Vec<Part> {
        let pending = match audience {
            Audience::Zone => &mut self.zone,
            Audience::OtherZones => &mut self.other_zones,
        };
        pending.take(&self.totals, upstreams)
    }

    /// Discards what has not been sent, after this host has ceased to aggregate.
    /// Counters of admitted requests go on from where they are, should it aggregate
    /// again.
    pub fn discard(&mut self) {
        for pending in [&mut self.zone, &mut self.other_zones] {
            pending.usage.restart();
            *pending = Pending {
                usage: std::mem::take(&mut pending.usage),
                ..Pending::default()
            };
        }
    }
}
