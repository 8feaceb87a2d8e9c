//! Retry tokens of one service. They bound the attempts by 1.2 times the
//! requests, whatever fails.

/// Thousandths of a token, so that sums are exact.
const TOKEN: u32 = 1000;
/// Earned by each request.
const PER_REQUEST: u32 = 200;
/// Tokens kept at most; this bounds the burst of retries after a quiet time.
const KEPT: u32 = 100 * TOKEN;

/// The tokens at hand; a new budget has none.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    balance: u32,
}

impl Budget {
    /// Counts a request, which earns 0.2 token.
    pub fn earn(&mut self) {
        self.balance = (self.balance + PER_REQUEST).min(KEPT);
    }

    /// Takes the token of one retry, or returns `false` when there is none.
    pub fn take(&mut self) -> bool {
        let Some(rest) = self.balance.checked_sub(TOKEN) else {
            return false;
        };
        self.balance = rest;
        true
    }

    /// Returns the token of a retry that did not take place.
    pub fn refund(&mut self) {
        self.balance = (self.balance + TOKEN).min(KEPT);
    }

    /// Whole tokens at hand.
    pub fn tokens(&self) -> u32 {
        self.balance / TOKEN
    }
}
