//! Slots in use and waiting requests by customer.

use std::{collections::HashMap, sync::Arc};

use crate::contract;

/// What one customer uses.
#[derive(Clone, Copy, Default)]
pub(super) struct Use {
    pub(super) in_use: u32,
    pub(super) waiting: usize,
}

/// Accounts of the customers that use or want a slot.
pub(super) struct Accounts {
    shares: Arc<contract::Customers>,
    uses: HashMap<Arc<str>, Use>,
    open: u32,
}

impl Accounts {
    pub(super) fn new(shares: Arc<contract::Customers>) -> Self {
        Self {
            shares,
            uses: HashMap::new(),
            open: 0,
        }
    }

    pub(super) fn configure(&mut self, shares: Arc<contract::Customers>) {
        self.shares = shares;
    }

    /// Takes the number of open slots; returns whether it changed.
    pub(super) fn resize(&mut self, open: u32) -> bool {
        std::mem::replace(&mut self.open, open) != open
    }

    /// Slots that `customer` may use while others wait: its share of the open
    /// slots, rounded down, but at least one. `None` without a limit.
    pub(super) fn limit(&self, customer: &str) -> Option<u32> {
        let share = *self.shares.get(customer)?;
        // A share that is not a number limits to one slot.
        (share.is_nan() || share < 1.0).then(|| ((f64::from(self.open) * share) as u32).max(1))
    }

    pub(super) fn get(&self, customer: &str) -> Use {
        self.uses.get(customer).copied().unwrap_or_default()
    }

    /// Slots in use in thousandths of the limit, if that is reached.
    pub(super) fn excess(&self, customer: &str) -> Option<u64> {
        let limit = self.limit(customer)?;
        let in_use = self.get(customer).in_use;
        (in_use >= limit).then(|| u64::from(in_use) * 1000 / u64::from(limit))
    }

    /// Changes the account of `customer`.
    pub(super) fn change(&mut self, customer: &Arc<str>, change: impl FnOnce(&mut Use)) {
        let entry = self.uses.entry(Arc::clone(customer)).or_default();
        change(entry);
        if entry.in_use == 0 && entry.waiting == 0 {
            self.uses.remove(customer);
        }
    }
}
