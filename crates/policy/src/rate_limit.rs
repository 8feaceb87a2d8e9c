//! Limits on the requests of a customer over all hosts.
//!
//! Answers the load of a few customers that send several times their usual rate
//! for seconds, through all hosts of the fleet. Most customers send far less
//! than one request a second through each host, so a fixed share of the limit
//! for each host would refuse them. Instead each host keeps a token bucket of
//! the whole fleet for each customer and deducts what all hosts admitted: its
//! own requests at once, those of the others when their counts arrive. What is
//! admitted too much until then leaves a debt, which is repaid before the next
//! request is admitted.
//!
//! A host that hears only some of the others uses their fraction of the limit
//! ([`Coverage`]), so that the parts of a divided fleet together stay within it.

mod bucket;
mod recent;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use self::bucket::Bucket;

/// Time without counts of other hosts after which they no longer count as
/// heard. Aggregators send a digest every 100 ms at least, so one lost digest is
/// tolerated. Until then, each part of a divided fleet uses the whole rate.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time between updates of the coverage while requests are admitted.
pub const COVERAGE_INTERVAL: Duration = Duration::from_millis(25);

/// Time without an update of the coverage after which the process counts as
/// having been frozen. It has missed counts then, so it counts as alone. Updates
/// come every 100 ms, later on a host whose processor is busy.
pub const FREEZE_THRESHOLD: Duration = Duration::from_millis(500);

/// Requests that a customer may send, over all hosts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limit {
    /// Requests a second in the long run.
    pub per_second: f64,
    /// Requests that may be sent at once in addition.
    pub burst: f64,
}

/// How exactly the limits must be kept.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Window in which the requests of a customer are counted.
    pub window: Duration,
    /// Ratio by which the requests in a window may exceed the limit.
    pub overshoot: f64,
    /// Requests in a window that are tolerated in addition to the ratio.
    pub slack: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overshoot: 0.1,
            slack: 20.0,
        }
    }
}

impl Settings {
    /// Returns the requests in a window that are tolerated in addition to `limit`.
    pub fn tolerance(&self, limit: &Limit) -> f64 {
        let allowed = limit.per_second * self.window.as_secs_f64() + limit.burst;
        self.overshoot * allowed + self.slack
    }
}

/// The hosts whose counts this host gets, out of those that may serve callers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Coverage {
    /// Hosts whose counts this host gets, itself included.
    pub heard: usize,
    /// Hosts that may admit requests, itself included: all known ones that did
    /// not announce a stop. Zero until the list of hosts is known.
    pub known: usize,
}

impl Coverage {
    /// Returns the coverage of a host that hears no other.
    fn alone(self) -> Self {
        Self {
            heard: 1,
            known: self.known,
        }
    }

    /// Returns the fraction of each limit that the host uses; 0 until the list of
    /// hosts is known.
    pub fn fraction(self) -> f64 {
        if self.known == 0 {
            return 0.0;
        }
        self.heard.clamp(1, self.known) as f64 / self.known as f64
    }
}

/// One host's view of the limits of all customers.
#[derive(Debug)]
pub struct Limiter {
    settings: Settings,
    coverage: Coverage,
    /// When the coverage was last updated.
    updated: Option<Instant>,
    buckets: HashMap<u64, Bucket>,
}

impl Limiter {
    /// Creates the limiter of a host that has just started.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            coverage: Coverage::default(),
            updated: None,
            buckets: HashMap::new(),
        }
    }

    /// Returns whether no customer has a limit.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Returns the fraction of each limit that this host uses.
    pub fn coverage(&self) -> f64 {
        self.coverage.fraction()
    }

    /// Returns the tokens of the customer `key`; negative if it owes some. `None` if
    /// it has no limit.
    pub fn balance(&self, key: u64) -> Option<f64> {
        self.buckets.get(&key).map(Bucket::balance)
    }

    /// Returns whether an update of the coverage is due because of limits.
    pub fn is_coverage_due(&self, now: Instant) -> bool {
        let is_due = |at| now.saturating_duration_since(at) >= COVERAGE_INTERVAL;
        !self.is_empty() && self.updated.is_none_or(is_due)
    }

    /// Puts the limits of a configuration in force, by customer. A bucket whose
    /// limit changes keeps its balance as far as its new burst allows.
    pub fn configure(
        &mut self,
        now: Instant,
        limits: impl IntoIterator<Item = (u64, Limit)>,
        rng: &mut impl Rng,
    ) {
        let fraction = self.coverage();
        let mut before = std::mem::take(&mut self.buckets);
        for (key, limit) in limits {
            let bucket = match before.remove(&key) {
                Some(mut bucket) => {
                    bucket.set_limit(now, limit, fraction);
                    bucket
                }
                None => Bucket::new(now, limit, &self.settings, fraction, rng),
            };
            self.buckets.insert(key, bucket);
        }
    }

    /// Updates which hosts are heard. Must be called every 100 ms or so, also
    /// while nothing changes; see [`FREEZE_THRESHOLD`]. Calls at
    /// [`COVERAGE_INTERVAL`] notice a loss earlier.
    pub fn set_coverage(&mut self, now: Instant, coverage: Coverage, rng: &mut impl Rng) {
        self.detect_freeze(now, rng);
        self.updated = Some(now);
        self.change_coverage(now, coverage, rng);
    }

    fn change_coverage(&mut self, now: Instant, coverage: Coverage, rng: &mut impl Rng) {
        let (before, after) = (self.coverage(), coverage.fraction());
        self.coverage = coverage;
        if before == after {
            return;
        }
        for bucket in self.buckets.values_mut() {
            if before == 0.0 {
                *bucket = Bucket::new(now, bucket.limit(), &self.settings, after, rng);
            } else {
                bucket.change_coverage(now, &self.settings, before, coverage, rng);
            }
        }
    }

    /// Treats this host as alone if it was frozen since the last update. The time
    /// of the freeze earns no tokens, since other hosts may have spent them.
    fn detect_freeze(&mut self, now: Instant, rng: &mut impl Rng) {
        let is_frozen = |at: &Instant| now.saturating_duration_since(*at) >= FREEZE_THRESHOLD;
        let Some(last) = self.updated.filter(is_frozen) else {
            return;
        };
        self.updated = Some(now);
        let fraction = self.coverage();
        for bucket in self.buckets.values_mut() {
            bucket.skip(last, now, fraction);
        }
        self.change_coverage(now, self.coverage.alone(), rng);
    }

    /// Returns whether a request of the customer `key` would be admitted, or the
    /// time after which it should be sent again.
    pub fn check(&mut self, now: Instant, key: u64, rng: &mut impl Rng) -> Result<(), Duration> {
        self.detect_freeze(now, rng);
        let coverage = self.coverage;
        let Some(bucket) = self.buckets.get_mut(&key) else {
            return Ok(());
        };
        let wait = bucket.time_until_token(now, &self.settings, coverage.fraction(), rng);
        if wait.is_zero() {
            return Ok(());
        }
        // Callers are spread over the time in which as many tokens arrive as
        // requests are refused on the hosts that are heard.
        let refused = bucket.record_refusal(now) * coverage.heard.max(1) as f64;
        let spread = refused / bucket.limit().per_second * rng.random_range(0.0..1.0);
        let spread = Duration::try_from_secs_f64(spread).unwrap_or(self.settings.window);
        Err(wait + spread.min(self.settings.window))
    }

    /// Takes a token of the customer `key`, or returns the time after which the
    /// request should be sent again. Customers without a limit need no token.
    pub fn admit(&mut self, now: Instant, key: u64, rng: &mut impl Rng) -> Result<(), Duration> {
        self.check(now, key, rng)?;
        let fraction = self.coverage();
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.admit(now, fraction);
            bucket.draw(now, rng);
        }
        Ok(())
    }

    /// Deducts requests of the customer `key` that other hosts admitted.
    pub fn deduct(&mut self, now: Instant, key: u64, count: u16) {
        let fraction = self.coverage();
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.spend(now, fraction, f64::from(count));
        }
    }
}
