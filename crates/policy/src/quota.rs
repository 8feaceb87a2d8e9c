//! One host's quota of the retry budget of the whole fleet.
//!
//! In any window, the fleet may retry at most a fixed ratio of the requests of
//! a service plus a fixed number. The quota is a token bucket: each host earns
//! the ratio from its own requests, and its capacity is its part of the fixed
//! number, so that the sum stays within the bound without any message between
//! the hosts.

/// Parameters of the budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Retries allowed for each request of the service.
    pub ratio: f64,
    /// Retries allowed in a window in addition to the ratio, for all hosts
    /// together.
    pub slack: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 60.0,
        }
    }
}

/// Ratio of the budget that the hosts use. The rest covers requests that fall
/// into another window where the bound is measured than on the host.
const USED_BUDGET_RATIO: f64 = 0.85;

/// Retry tokens of one host for one service.
#[derive(Clone, Debug)]
pub struct Quota {
    balance: f64,
}

impl Quota {
    /// Creates the quota of a host that has just started, one of `hosts`. It
    /// starts with at most one token.
    pub fn new(settings: &Settings, hosts: usize) -> Self {
        Self {
            balance: capacity(settings, hosts).min(1.0),
        }
    }

    /// Counts a request for the service, which earns a part of a token.
    pub fn earn(&mut self, settings: &Settings, hosts: usize) {
        let max_balance = capacity(settings, hosts).max(1.0);
        self.balance = (self.balance + settings.ratio * USED_BUDGET_RATIO).min(max_balance);
    }

    /// Whether there is a token for a retry.
    pub fn has_token(&self) -> bool {
        self.balance >= 1.0
    }

    /// Takes the token of a retry, or returns `false` if there is less than a
    /// whole token.
    pub fn take(&mut self) -> bool {
        if !self.has_token() {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns the token of a retry that reached no backend server.
    pub fn refund(&mut self) {
        self.balance += 1.0;
    }
}

/// Returns the tokens that one of `hosts` hosts may accumulate.
fn capacity(settings: &Settings, hosts: usize) -> f64 {
    settings.slack * USED_BUDGET_RATIO / hosts.max(1) as f64
}
