//! Which hosts' counts of admitted requests this host gets.

use std::{net::Ipv4Addr, time::Instant};

use dotterelhinge_policy::rate_limit::{Coverage, SILENCE_TIMEOUT};

use super::{Member, Members, within};

impl Members {
    /// Returns the hosts whose counts of admitted requests this host gets, which
    /// reports to `aggregator`. A host whose aggregator is silent or does not list it
    /// counts as alone: others don't get its counts. Silent hosts count as known,
    /// since they may be serving callers; only those that announced a stop don't.
    pub fn coverage(&self, now: Instant, aggregator: Ipv4Addr) -> Coverage {
        if !self.has_list {
            return Coverage::default();
        }
        let others = self.by_address.values().filter(|other| !other.leaving);
        let known = 1 + others.count();
        let is_heard_by_others = aggregator == self.own
            || self.by_address.get(&aggregator).is_some_and(|member| {
                member.lists_own && within(now, member.last_digest, SILENCE_TIMEOUT)
            });
        if !is_heard_by_others {
            return Coverage { heard: 1, known };
        }
        let digests = self
            .by_address
            .values()
            .filter(|member| within(now, member.last_digest, SILENCE_TIMEOUT));
        let heard: usize = digests.map(|member| usize::from(member.heard)).sum();
        let own = if aggregator == self.own {
            self.heard_reporters(now)
        } else {
            0
        };
        Coverage {
            heard: (own + heard).clamp(1, known),
            known,
        }
    }

    /// Returns the number of hosts whose own reports this host gets, itself included.
    /// While customers have limits, hosts report every 100 ms at least.
    pub fn heard_reporters(&self, now: Instant) -> usize {
        let reporters = self
            .by_address
            .values()
            .filter(|member| !member.leaving && within(now, member.last_report, SILENCE_TIMEOUT));
        1 + reporters.count()
    }

    /// Returns the host at `address`.
    pub fn get_mut(&mut self, address: Ipv4Addr) -> Option<&mut Member> {
        self.by_address.get_mut(&address)
    }
}
