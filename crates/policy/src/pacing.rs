//! Bounds what a host sends to other hosts by what its link carries.
//!
//! Load pattern: many servers change at once, or a whole fleet starts, and a host has
//! to pass each change on to all hosts of its zone, so that each byte that arrives is
//! sent many times over. The link accepts all of it and queues what it can't carry yet.
//! A queue of several seconds cuts the host off: its answers, its calls and the signs
//! that it is alive wait in it too, long after the load has ended.
//!
//! The bound is a token bucket. What the least needs to be sent has to find it half
//! full; what keeps the fleet together is always sent.

use std::time::{Duration, Instant};

/// Parameters of the bound.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Capacity of the link, in bytes a second.
    pub link_bytes_per_second: u64,
    /// Share of the capacity that may be used. The rest is for callers, backend
    /// servers and the store.
    pub share: f64,
    /// Time in which the link carries what may be sent at once.
    pub burst: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            link_bytes_per_second: 125_000_000,
            share: 0.7,
            burst: Duration::from_millis(100),
        }
    }
}

/// How much it matters that a message is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Priority {
    /// It shows which hosts are alive. Small; always sent.
    Vital,
    /// It must reach the hosts, which otherwise fetch it at a higher cost. Sent until
    /// a whole burst is owed.
    Change,
    /// It is repeated or loses its value soon.
    Digest,
    /// As [`Self::Digest`], and concerns hosts of other zones.
    Forwarded,
}

/// Decides which messages a host sends.
#[derive(Clone, Debug)]
pub struct Pacer {
    /// Bytes a second that may be sent.
    rate: f64,
    /// Bytes that may be sent at once.
    burst: f64,
    /// Bytes that may be sent now; negative if some are owed.
    level: f64,
    /// When the level was last updated.
    at: Option<Instant>,
}

impl Pacer {
    /// Creates the state of a host that has sent nothing.
    pub fn new(settings: &Settings) -> Self {
        let rate = settings.link_bytes_per_second as f64 * settings.share;
        let burst = rate * settings.burst.as_secs_f64();
        Self {
            rate,
            burst,
            level: burst,
            at: None,
        }
    }

    /// Returns whether a message of `priority` may be sent at `now`.
    pub fn allows(&mut self, now: Instant, priority: Priority) -> bool {
        let elapsed = self
            .at
            .replace(now)
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.level = (self.level + self.rate * elapsed.as_secs_f64()).min(self.burst);
        match priority {
            Priority::Vital => true,
            Priority::Change => self.level > -self.burst,
            Priority::Digest => self.level > 0.0,
            Priority::Forwarded => self.level > self.burst / 2.0,
        }
    }

    /// Returns whether a message of `priority` may be sent at `now`, and if so counts
    /// its `bytes`, for all of its receivers together.
    pub fn admit(&mut self, now: Instant, priority: Priority, bytes: usize) -> bool {
        let is_allowed = self.allows(now, priority);
        if is_allowed {
            self.level -= bytes as f64;
        }
        is_allowed
    }
}
