//! How fast one host sends requests to a service.
//!
//! Each host earns credit for the requests that the servers finish, its part of
//! them, more while the occupancy is below the limit and less above it. Every
//! request that is sent costs a credit, and urgent requests may overdraw it, so
//! that less urgent ones give way to them.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::{Conditions, Settings};

/// Longest time for which credit is earned at once, so that a paused process
/// doesn't send all that it missed.
const MAX_STEP: Duration = Duration::from_millis(100);

/// Time for which credit may accumulate. Hosts that save it for longer would use it
/// all at the same moment.
const MAX_CREDIT_TIME: Duration = Duration::from_millis(20);

/// Time for which requests that go without credit may overdraw it. A host that has
/// overdrawn more would hold back less urgent requests long after the servers have
/// room again.
const MAX_DEBT_TIME: Duration = Duration::from_millis(200);

/// Number of requests up to which the rate of more urgent ones is not trusted. It
/// comes from a few requests of one host, and may for a moment reach the capacity.
const SHORT_LINE: f64 = 2.0;

/// Part of the capacity that a request in a short line is expected to get at least:
/// enough that one or two requests ahead don't look like more than a second.
const SHORT_LINE_RATIO: f64 = 0.25;

/// Time constant of the rates at which requests are sent. A host sends a few requests
/// a second; over one second, four urgent ones by chance would look like all of its
/// capacity, and a request behind another would be refused.
const RATE_TIME: Duration = Duration::from_secs(2);

/// Time constant after which a request that was sent counts as in flight in the
/// evidence: its connection is open by then.
const CONNECT_TIME: Duration = Duration::from_millis(3);

/// Credit of one host for one service.
#[derive(Clone, Debug, Default)]
pub struct Flow {
    updated: Option<Instant>,
    credit: f64,
    /// Credit for the requests that have waited longest.
    aging: f64,
    /// Requests sent a second by rank, as moving averages.
    rates: SmallVec<[f64; 4]>,
    /// Requests sent of late that may not yet count as in flight, and when the last
    /// one was sent.
    recent: f64,
    sent: Option<Instant>,
}

impl Flow {
    /// Earns the credit since the last call. `rank` is the most urgent rank that
    /// would use it.
    pub fn earn(&mut self, settings: &Settings, conditions: &Conditions, rank: usize) {
        let now = conditions.now;
        let Some(updated) = self.updated.replace(now) else {
            self.credit = 1.0;
            return;
        };
        let elapsed = now.saturating_duration_since(updated);
        let step = elapsed.min(MAX_STEP).as_secs_f64();
        let decay = (-elapsed.as_secs_f64() / RATE_TIME.as_secs_f64()).exp();
        self.rates.iter_mut().for_each(|rate| *rate *= decay);
        let room = conditions.room;
        let finished = conditions.host_rate(room.busy()).unwrap_or_default();
        let free = conditions.limits.get(rank) * room.slots - room.in_use;
        let hosts = conditions.hosts.max(1) as f64;
        let correction = free / settings.correction.as_secs_f64() / hosts;
        let rate = (finished + correction).max(0.0);
        let max_credit = (rate * MAX_CREDIT_TIME.as_secs_f64()).max(1.0);
        self.credit = (self.credit + rate * step).min(max_credit);
        self.aging = (self.aging + finished * settings.aging_ratio * step).min(1.0);
    }

    /// Returns the requests that were sent but may not yet count as in flight.
    pub fn recent(&self, now: Instant) -> f64 {
        let sent = self.sent.unwrap_or(now);
        let elapsed = now.saturating_duration_since(sent).as_secs_f64();
        self.recent * (-elapsed / CONNECT_TIME.as_secs_f64()).exp()
    }

    /// Returns whether there is credit for a request.
    pub fn has_credit(&self) -> bool {
        self.credit >= 1.0
    }

    /// Drops the credit for the request that has waited longest, since none waits.
    pub fn restart_aging(&mut self) {
        self.aging = 0.0;
    }

    /// Takes the credit for the request that has waited longest, if there is one.
    pub fn take_aging(&mut self) -> bool {
        let has_credit = self.aging >= 1.0;
        if has_credit {
            self.aging -= 1.0;
        }
        has_credit
    }

    /// Records that a request of `rank` is sent.
    pub fn spend(&mut self, conditions: &Conditions, rank: usize) {
        let rate = conditions.host_rate(conditions.room.slots);
        let max_debt = (rate.unwrap_or_default() * MAX_DEBT_TIME.as_secs_f64()).max(1.0);
        self.credit = (self.credit - 1.0).max(-max_debt);
        if self.rates.len() <= rank {
            self.rates.resize(rank + 1, 0.0);
        }
        self.rates[rank] += 1.0 / RATE_TIME.as_secs_f64();
        self.recent = self.recent(conditions.now) + 1.0;
        self.sent = Some(conditions.now);
    }

    /// Returns the time that `ahead` requests of `rank` or more urgent ones take
    /// to be sent, while the more urgent ones that don't wait go on as of late.
    /// Zero if the capacity is unknown, so that no request is refused for lack of
    /// evidence.
    pub fn wait(
        &self,
        settings: &Settings,
        conditions: &Conditions,
        rank: usize,
        ahead: f64,
    ) -> Duration {
        let Some(capacity) = conditions.host_rate(conditions.room.slots) else {
            return Duration::ZERO;
        };
        let urgent: f64 = self.rates.iter().take(rank).sum();
        let least = if ahead <= SHORT_LINE {
            SHORT_LINE_RATIO
        } else {
            settings.aging_ratio
        };
        let rate = (capacity - urgent).max(capacity * least);
        Duration::try_from_secs_f64(ahead / rate).unwrap_or(Duration::MAX)
    }
}
