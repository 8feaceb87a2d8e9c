//! What a host that aggregates collects from its reporters and tells on.

use std::collections::{HashMap, HashSet};

use super::report::{Count, MAX_COUNTS, MAX_OUTCOMES};
use crate::evidence::Observation;

/// Counts that each digest repeats although they did not change, so that a lost
/// datagram leaves a wrong count only for a moment.
const REPEATED: usize = 8;

/// Whom a digest is for. Other zones get digests less often.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Audience {
    /// Hosts of the same availability zone.
    Zone,
    /// Hosts of all other availability zones.
    OtherZones,
}

/// The evidence of one datagram.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Part {
    /// Outcomes.
    pub outcomes: Vec<Observation>,
    /// Requests in flight.
    pub in_use: Vec<Count>,
}

#[derive(Debug, Default)]
struct Pending {
    outcomes: Vec<Observation>,
    changed: HashSet<u64>,
    next_repeated: usize,
}

impl Pending {
    fn take(&mut self, totals: &HashMap<u64, u16>, upstreams: &[u64]) -> Vec<Part> {
        let mut keys: Vec<u64> = self.changed.drain().collect();
        for _ in 0..REPEATED.min(upstreams.len()) {
            self.next_repeated = (self.next_repeated + 1) % upstreams.len();
            keys.push(upstreams[self.next_repeated]);
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

/// Evidence of a group of hosts on its way to all others.
#[derive(Debug, Default)]
pub struct Aggregate {
    totals: HashMap<u64, u16>,
    zone: Pending,
    others: Pending,
}

impl Aggregate {
    /// Adds an outcome.
    pub fn add_outcome(&mut self, seen: &Observation) {
        self.zone.outcomes.push(seen.clone());
        self.others.outcomes.push(seen.clone());
    }

    /// Replaces the requests in flight that one host of the group had.
    pub fn replace_counts(&mut self, before: &[Count], after: &[Count]) {
        for (upstream, count) in before {
            let total = self.totals.entry(*upstream).or_default();
            *total = total.saturating_sub(*count);
        }
        for (upstream, count) in after {
            let total = self.totals.entry(*upstream).or_default();
            *total = total.saturating_add(*count);
        }
        let same = |entry: &&Count| before.contains(entry) && after.contains(entry);
        for entry in before.iter().chain(after).filter(|entry| !same(entry)) {
            self.zone.changed.insert(entry.0);
            self.others.changed.insert(entry.0);
        }
        self.totals.retain(|_, total| *total > 0);
    }

    /// Whether there are outcomes or changed counts to tell.
    pub fn has_pending(&self, audience: Audience) -> bool {
        let pending = match audience {
            Audience::Zone => &self.zone,
            Audience::OtherZones => &self.others,
        };
        !pending.outcomes.is_empty() || !pending.changed.is_empty()
    }

    /// Takes what `audience` has not been told yet, at least one part.
    /// `upstreams` are all backend servers in any fixed order.
    pub fn take(&mut self, audience: Audience, upstreams: &[u64]) -> Vec<Part> {
        let pending = match audience {
            Audience::Zone => &mut self.zone,
            Audience::OtherZones => &mut self.others,
        };
        pending.take(&self.totals, upstreams)
    }

    /// Forgets outcomes that nobody is to be told, after the duty has ended.
    pub fn discard(&mut self) {
        self.zone = Pending::default();
        self.others = Pending::default();
    }
}
