//! Retry budget of one service: a token bucket that limits the attempts to 1.2
//! times the requests, whatever fails.

/// One token, in thousandths of a token so that sums are exact.
const TOKEN: u32 = 1000;
/// Thousandths of a token that each request earns.
const EARNED_PER_REQUEST: u32 = 200;
/// Maximum balance. It limits the burst of retries after a time without them.
const MAX_BALANCE: u32 = 100 * TOKEN;

/// Balance of retry tokens; a new budget is empty.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    balance: u32,
}

impl Budget {
    /// Counts a request, which earns 0.2 tokens.
    pub fn earn(&mut self) {
        self.balance = (self.balance + EARNED_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Takes the token of one retry, or returns `false` when there is none.
    pub fn take(&mut self) -> bool {
        let Some(balance) = self.balance.checked_sub(TOKEN) else {
            return false;
        };
        self.balance = balance;
        true
    }

    /// Puts back the token of a retry that did not take place.
    pub fn refund(&mut self) {
        self.balance = (self.balance + TOKEN).min(MAX_BALANCE);
    }

    /// Returns the number of whole tokens.
    pub fn tokens(&self) -> u32 {
        self.balance / TOKEN
    }
}
