//! The limits of the customers on one host, and what it admitted of late.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use dotterelhinge_policy::rate_limit::{self, Coverage};
use rand::Rng;

use crate::{
    catalog::customer::{Customer, Customers},
    host::{Host, rounded},
};

/// Limits and counts of one host.
#[derive(Debug)]
pub(crate) struct Limiter {
    policy: rate_limit::Limiter,
    /// Requests that this host admitted since its last report, by customer.
    admitted: HashMap<u64, u16>,
    /// Version of the configuration whose limits are in force.
    version: Option<u64>,
}

impl Limiter {
    /// Creates the limiter of a host that has just started.
    pub(crate) fn new(settings: rate_limit::Settings) -> Self {
        Self {
            policy: rate_limit::Limiter::new(settings),
            admitted: HashMap::new(),
            version: None,
        }
    }

    /// Puts the limits of a version of the configuration in force.
    pub(crate) fn configure(
        &mut self,
        now: Instant,
        version: u64,
        customers: Option<&Customers>,
        rng: &mut impl Rng,
    ) {
        if self.version.replace(version) == Some(version) {
            return;
        }
        let limits = customers
            .into_iter()
            .flat_map(Customers::iter)
            .filter_map(|customer| Some((customer.key(), customer.limit?)));
        self.policy.configure(now, limits, rng);
    }

    /// Returns whether no customer has a limit.
    pub(crate) fn is_empty(&self) -> bool {
        self.policy.is_empty()
    }

    /// Returns the fraction of each limit that this host uses.
    pub(crate) fn coverage(&self) -> f64 {
        self.policy.coverage()
    }

    /// Returns whether an update of the coverage is due because of limits.
    pub(crate) fn is_coverage_due(&self, now: Instant) -> bool {
        self.policy.is_coverage_due(now)
    }

    /// Updates which hosts' counts this host gets.
    pub(crate) fn set_coverage(&mut self, now: Instant, coverage: Coverage, rng: &mut impl Rng) {
        self.policy.set_coverage(now, coverage, rng);
    }

    /// Deducts requests that other hosts admitted.
    pub(crate) fn deduct(&mut self, now: Instant, key: u64, count: u16) {
        self.policy.deduct(now, key, count);
    }

    /// Takes what this host admitted since the last call, by customer.
    pub(crate) fn take_admitted(&mut self) -> HashMap<u64, u16> {
        std::mem::take(&mut self.admitted)
    }
}

impl Host {
    /// Returns whether a request of `customer` would be admitted, or the time after
    /// which it should be sent again.
    pub(crate) fn check_usage(&self, customer: &Customer) -> Result<(), Duration> {
        self.limit_usage(customer, false)
    }

    /// Takes a token of `customer` for a request whose body has been read, or returns
    /// the time after which it should be sent again. A request that is refused later
    /// does not return its token. Customers
    /// without a limit need no token.
    pub(crate) fn admit_usage(&self, customer: &Customer) -> Result<(), Duration> {
        self.limit_usage(customer, true)
    }

    fn limit_usage(&self, customer: &Customer, is_charged: bool) -> Result<(), Duration> {
        if customer.limit.is_none() {
            return Ok(());
        }
        let (now, key) = (self.now(), customer.key());
        let mut limiter = self.limiter.borrow_mut();
        let mut rng = self.rng.borrow_mut();
        let result = if is_charged {
            limiter.policy.admit(now, key, &mut *rng)
        } else {
            limiter.policy.check(now, key, &mut *rng)
        };
        match result {
            Ok(()) if is_charged => {
                let count = limiter.admitted.entry(key).or_default();
                *count = count.saturating_add(1);
                self.outbox_changed.notify_one();
            }
            Ok(()) => {}
            Err(retry_after) => {
                self.metrics.rate_limits.record_refusal(&customer.name);
                if let Some(left_out) = self.log_limits.rate_limit.admit(now) {
                    let balance = limiter.policy.balance(key).unwrap_or_default();
                    log::info!(event = "rate_limited", customer = &*customer.name, balance = rounded(balance), coverage = rounded(limiter.coverage()),
                        retry_after_ms = retry_after.as_millis() as u64, left_out = left_out; "request over the customer's limit");
                }
            }
        }
        result
    }
}
