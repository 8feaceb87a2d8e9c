//! The tokens of one customer, as one host sees them.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use super::{Coverage, Limit, Settings, recent::Recent};

/// Maximum debt that a drop of the coverage leaves, in windows of this host's
/// share of the rate. A customer is refused for no longer than that because its
/// requests of the last moment are counted twice.
const MAX_DROP_DEBT_WINDOWS: f64 = 0.5;

/// A token bucket of the whole fleet. A fraction of it is in use on a host that
/// hears only some of the others.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    limit: Limit,
    /// Tokens; negative while more was admitted than the limit allows.
    balance: f64,
    /// Until when the refill is contained in the balance.
    refilled: Instant,
    /// Random number below 1 that decides whether a fraction of a token counts as a
    /// whole one; see [`Self::credit`].
    draw: f64,
    drawn: Instant,
    /// Requests that this host admitted.
    own: Recent,
    /// Requests that all hosts admitted, as far as this one heard.
    spent: Recent,
    refused: Recent,
}

impl Bucket {
    /// Creates the bucket of a customer or a host that is new. It starts with at
    /// most half of the tolerance: all hosts may have lost their counts at once.
    pub(super) fn new(
        now: Instant,
        limit: Limit,
        settings: &Settings,
        fraction: f64,
        rng: &mut impl Rng,
    ) -> Self {
        let half = settings.tolerance(&limit) / 2.0;
        let capacity = capacity(&limit, fraction);
        let start = capacity.min(half * fraction);
        // A fraction of a token is rounded, so that the sum over all hosts is
        // right on average. Below a capacity of 1 `draw` does the same.
        let balance = if capacity >= 1.0 {
            start.floor() + f64::from(u8::from(rng.random_bool(start.fract())))
        } else {
            start
        };
        Self {
            limit,
            balance: balance.min(capacity),
            refilled: now,
            draw: rng.random_range(0.0..1.0),
            drawn: now,
            own: Recent::default(),
            spent: Recent::default(),
            refused: Recent::default(),
        }
    }

    pub(super) fn limit(&self) -> Limit {
        self.limit
    }

    pub(super) fn balance(&self) -> f64 {
        self.balance
    }

    /// Changes the limit. The balance is kept, since a new burst would be granted
    /// once more by each version of the configuration.
    pub(super) fn set_limit(&mut self, now: Instant, limit: Limit, fraction: f64) {
        self.refill(now, fraction);
        self.limit = limit;
        self.balance = self.balance.min(capacity(&limit, fraction));
    }

    /// Changes the fraction of the limit that is in use. When it falls, the hosts
    /// that are lost have the rest of the balance, as of the time at which they were
    /// last heard: what was spent since then is charged to this part of the fleet
    /// alone. When it rises, the balance stays; the refill makes up for it.
    pub(super) fn change_coverage(
        &mut self,
        now: Instant,
        settings: &Settings,
        before: f64,
        coverage: Coverage,
        rng: &mut impl Rng,
    ) {
        self.refill(now, before);
        let after = coverage.fraction();
        if after < before {
            let ratio = after / before;
            let share = ratio * self.balance;
            let spent = if coverage.heard <= 1 {
                self.own.sum(now)
            } else {
                self.spent.sum(now)
            };
            let debt = (1.0 - ratio) * spent;
            let per_window = self.limit.per_second * after * settings.window.as_secs_f64();
            let floor = share.min(-MAX_DROP_DEBT_WINDOWS * per_window);
            self.balance = (share - debt).max(floor);
            self.draw(now, rng);
        }
    }

    /// Refills until `begin` and leaves out the refill from there until `end`.
    pub(super) fn skip(&mut self, begin: Instant, end: Instant, fraction: f64) {
        self.refill(begin, fraction);
        self.refilled = self.refilled.max(end);
    }

    fn refill(&mut self, now: Instant, fraction: f64) {
        let elapsed = now.saturating_duration_since(self.refilled);
        self.refilled = self.refilled.max(now);
        let earned = self.limit.per_second * fraction * elapsed.as_secs_f64();
        self.balance = (self.balance + earned).min(capacity(&self.limit, fraction));
    }

    /// Deducts a request that this host admitted.
    pub(super) fn admit(&mut self, now: Instant, fraction: f64) {
        self.spend(now, fraction, 1.0);
        self.own.add(now, 1.0);
    }

    /// Deducts requests that were admitted.
    pub(super) fn spend(&mut self, now: Instant, fraction: f64, count: f64) {
        self.refill(now, fraction);
        self.balance -= count;
        self.spent.add(now, count);
    }

    /// Draws a new random number.
    pub(super) fn draw(&mut self, now: Instant, rng: &mut impl Rng) {
        self.draw = rng.random_range(0.0..1.0);
        self.drawn = now;
    }

    /// Returns what is added to the balance of a host whose share of the burst is
    /// less than one token, and which would never have one otherwise. The host has
    /// a token with the probability of that share. The number is drawn anew only
    /// when the share of the burst could have been earned again, so that requests
    /// that are sent again do not draw until they win.
    fn credit(&mut self, now: Instant, fraction: f64, rng: &mut impl Rng) -> f64 {
        if capacity(&self.limit, fraction) >= 1.0 {
            return 0.0;
        }
        let elapsed = now.saturating_duration_since(self.drawn).as_secs_f64();
        if elapsed * self.limit.per_second >= self.limit.burst.max(1.0) {
            self.draw(now, rng);
        }
        self.draw
    }

    /// Returns the time until there is a token; zero if there is one.
    pub(super) fn time_until_token(
        &mut self,
        now: Instant,
        settings: &Settings,
        fraction: f64,
        rng: &mut impl Rng,
    ) -> Duration {
        self.refill(now, fraction);
        let missing = 1.0 - self.balance - self.credit(now, fraction, rng);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = missing / (self.limit.per_second * fraction);
        // Without a rate or the list of hosts no token is in sight.
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(settings.window);
        // Less than a nanosecond would count as a token.
        wait.max(Duration::from_millis(1))
    }

    /// Counts a refused request. Returns how many were refused of late.
    pub(super) fn record_refusal(&mut self, now: Instant) -> f64 {
        self.refused.add(now, 1.0);
        self.refused.sum(now)
    }
}

/// Returns the tokens that may accumulate: the share of the burst, and of one
/// request if there is no burst.
fn capacity(limit: &Limit, fraction: f64) -> f64 {
    limit.burst.max(1.0) * fraction
}
