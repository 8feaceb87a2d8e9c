//! Counts of the requests that hosts admitted for customers with a limit.
//!
//! A count travels as a cumulative counter of its sender, modulo 2^16, and the
//! receiver deducts the difference to the last one it got. What a lost datagram
//! contained therefore arrives with the next count of the customer, and a
//! datagram that arrives twice or late counts once. Only counters that changed
//! are sent, each twice, so that the last one before a pause also arrives.
//!
//! The first counter of a customer follows the value that it started from, as
//! two entries with the same key: a receiver can't know otherwise whether a
//! counter that it has not seen before was counted elsewhere. A counter without
//! that value only sets the start.

use std::{
    collections::{HashMap, HashSet},
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use dotterelhinge_policy::rate_limit;

use super::{
    aggregate::Aggregate,
    members::Member,
    report::{Report, Scope},
};

/// Key of a customer's name, and a counter of its admitted requests.
pub type Count = (u64, u16);

/// Maximum counters and values they started from in one datagram. An even
/// number, so that no datagram divides such a pair.
pub const MAX_USAGE: usize = 80;

/// Difference of counters from which the datagram counts as an old one that
/// arrived late.
const MAX_STEP: u16 = 1 << 15;

/// Time without a datagram after which the counters of a digest's origin are
/// forgotten. The coverage has fallen by then, at the first check after
/// [`rate_limit::SILENCE_TIMEOUT`].
const COUNTER_TIMEOUT: Duration = rate_limit::SILENCE_TIMEOUT.saturating_mul(2);

#[derive(Clone, Copy, Debug, Default)]
struct Counter {
    value: u16,
    /// Value as last sent.
    sent: u16,
    /// Whether the receivers got the value that the counter started from.
    is_introduced: bool,
}

/// The counters that one host sends to one set of receivers.
#[derive(Debug, Default)]
pub struct Outgoing {
    counters: HashMap<u64, Counter>,
    changed: HashSet<u64>,
    /// Customers whose counter was sent once since it changed.
    repeated: HashSet<u64>,
}

impl Outgoing {
    /// Counts admitted requests of the customer `key`.
    pub fn add(&mut self, key: u64, count: u16) {
        let counter = self.counters.entry(key).or_default();
        counter.value = counter.value.wrapping_add(count);
        self.changed.insert(key);
    }

    /// Returns whether a changed counter waits to be sent.
    pub fn has_pending(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Takes the counters that are due.
    pub fn take(&mut self) -> Vec<Count> {
        let changed = std::mem::take(&mut self.changed);
        let repeated = std::mem::replace(&mut self.repeated, changed.clone());
        let mut introduced = Vec::new();
        let mut counts = Vec::with_capacity(changed.len() + repeated.len());
        for key in changed.iter().chain(repeated.difference(&changed)) {
            let Some(counter) = self.counters.get_mut(key) else {
                continue;
            };
            if !counter.is_introduced {
                introduced.extend([(*key, counter.sent), (*key, counter.value)]);
            } else {
                counts.push((*key, counter.value));
            }
            counter.is_introduced = true;
            counter.sent = counter.value;
        }
        introduced.append(&mut counts);
        introduced
    }

    /// Begins with a new receiver, which has seen none of the counters. What was
    /// sent to the one before is not counted again.
    pub fn restart(&mut self) {
        self.repeated.clear();
        for counter in self.counters.values_mut() {
            counter.is_introduced = false;
        }
    }
}

/// The counters that one host has received from another one.
#[derive(Clone, Debug, Default)]
pub struct Incoming {
    incarnation: u64,
    last: Option<Instant>,
    counters: HashMap<u64, u16>,
}

impl Incoming {
    /// Forgets all counters if the sender's process is another one, or if it was not
    /// heard for half a second: this host did not use the share of the hosts
    /// behind it meanwhile, so what they spent does not count here. Returns whether
    /// it did. Must be called for each datagram.
    pub fn resume(&mut self, now: Instant, incarnation: u64) -> bool {
        let is_continued = incarnation == self.incarnation
            && self
                .last
                .is_some_and(|at| now.saturating_duration_since(at) < COUNTER_TIMEOUT);
        self.last = Some(now);
        if !is_continued {
            self.counters.clear();
            self.incarnation = incarnation;
        }
        !is_continued
    }

    /// As [`Self::resume`], of a host whose own reports come more rarely.
    pub fn resume_reporter(&mut self, incarnation: u64) {
        if incarnation != self.incarnation {
            self.counters.clear();
            self.incarnation = incarnation;
        }
    }

    /// Takes counters in. Calls `admitted` with what they add.
    pub fn record(&mut self, usage: &[Count], mut admitted: impl FnMut(u64, u16)) {
        for (position, (key, value)) in usage.iter().enumerate() {
            let is_start = usage.get(position + 1).is_some_and(|next| next.0 == *key);
            if is_start {
                self.counters.insert(*key, *value);
                continue;
            }
            let before = self.counters.entry(*key).or_insert(*value);
            let step = value.wrapping_sub(*before);
            if step < MAX_STEP {
                *before = *value;
                if step > 0 {
                    admitted(*key, step);
                }
            }
        }
    }
}

/// Counts of one host on their way to its aggregator, and back.
///
/// The digests of the aggregator have sums that contain this host's own counts.
/// What was reported is subtracted from them once.
#[derive(Debug, Default)]
pub struct Ledger {
    outgoing: Outgoing,
    /// Reported requests by customer that no digest has contained yet.
    echoes: HashMap<u64, u32>,
}

impl Ledger {
    /// Queues admitted requests of this host for its aggregator, which must be
    /// another host.
    pub fn add(&mut self, key: u64, count: u16) {
        self.outgoing.add(key, count);
        *self.echoes.entry(key).or_default() += u32::from(count);
    }

    /// Returns whether a count waits to be reported.
    pub fn has_pending(&self) -> bool {
        self.outgoing.has_pending()
    }

    /// Takes the counters that are due to the aggregator.
    pub fn take(&mut self) -> Vec<Count> {
        self.outgoing.take()
    }

    /// Begins with a new aggregator.
    pub fn restart(&mut self) {
        self.outgoing.restart();
        self.echoes.clear();
    }

    /// Takes in the counts of a report of `member`. Those of a host that reports to
    /// this one are added to `aggregate`. Calls `deduct` with what other hosts
    /// admitted. Must be called for each report; `aggregator` is the host that this
    /// one reports to.
    pub fn record(
        &mut self,
        now: Instant,
        report: &Report,
        member: &mut Member,
        aggregator: Ipv4Addr,
        aggregate: &mut Aggregate,
        mut deduct: impl FnMut(u64, u16),
    ) {
        if report.scope == Scope::Host {
            member.usage.resume_reporter(report.incarnation);
            member.usage.record(&report.usage, |key, count| {
                aggregate.add_usage(key, count);
                deduct(key, count);
            });
            return;
        }
        let is_new = member.digest_usage.resume(now, report.incarnation);
        if report.origin() != aggregator {
            member.digest_usage.record(&report.usage, deduct);
            return;
        }
        if is_new {
            self.echoes.clear();
        }
        member.digest_usage.record(&report.usage, |key, count| {
            deduct(key, self.without_echo(key, count));
        });
    }

    /// Returns how many of `count` requests in a digest were admitted by others.
    /// While reports of this host are on their way, those of others may be taken for
    /// them; the next digests make up for it.
    fn without_echo(&mut self, key: u64, count: u16) -> u16 {
        let Some(pending) = self.echoes.get_mut(&key) else {
            return count;
        };
        let own = (*pending).min(u32::from(count));
        *pending -= own;
        if *pending == 0 {
            self.echoes.remove(&key);
        }
        count - own as u16
    }
}
