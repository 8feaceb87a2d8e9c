//! One host's share of the retry budget that all hosts keep together.
//!
//! The fleet as a whole may send at most a fixed ratio of the requests of a
//! service more than once, plus a fixed number, in any window. Every host earns
//! the ratio from its own requests and keeps its part of the fixed number, so
//! that the sum keeps the bound without any message between the hosts.

/// Terms of the budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Repeated sends allowed for each request of the service.
    pub ratio: f64,
    /// Repeated sends allowed in a window beside the ratio, for all hosts.
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

/// Part of the bound that is used. The rest covers requests that are counted
/// in another window at the bound's end of the measurement than here.
const USED: f64 = 0.85;

/// Tokens of one host for one service.
#[derive(Clone, Debug)]
pub struct Quota {
    balance: f64,
}

impl Quota {
    /// Tokens of a host that has just started, one of `hosts`.
    pub fn new(settings: &Settings, hosts: usize) -> Self {
        Self {
            balance: kept(settings, hosts).min(1.0),
        }
    }

    /// Counts a request for the service.
    pub fn earn(&mut self, settings: &Settings, hosts: usize) {
        let most = kept(settings, hosts).max(1.0);
        self.balance = (self.balance + settings.ratio * USED).min(most);
    }

    /// Whether a repeated send could be paid for now.
    pub fn has_token(&self) -> bool {
        self.balance >= 1.0
    }

    /// Pays for a repeated send, or returns `false` without a whole token.
    pub fn take(&mut self) -> bool {
        if !self.has_token() {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns the token of a repeated send that reached no backend server.
    pub fn refund(&mut self) {
        self.balance += 1.0;
    }
}

fn kept(settings: &Settings, hosts: usize) -> f64 {
    settings.slack * USED / hosts.max(1) as f64
}
