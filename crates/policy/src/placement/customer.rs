//! Slots in use and waiting requests by customer.

use std::{collections::HashMap, sync::Arc};

use crate::contract;

/// Slots in use and waiting requests of one customer.
#[derive(Clone, Copy, Default)]
pub(super) struct Usage {
    pub(super) in_use: u32,
    pub(super) waiting: usize,
}

/// Usage of the customers that use or wait for a slot.
pub(super) struct Accounts {
    shares: Arc<contract::Customers>,
    usage: HashMap<Arc<str>, Usage>,
    open_slots: u32,
}

impl Accounts {
    pub(super) fn new(shares: Arc<contract::Customers>) -> Self {
        Self {
            shares,
            usage: HashMap::new(),
            open_slots: 0,
        }
    }

    pub(super) fn configure(&mut self, shares: Arc<contract::Customers>) {
        self.shares = shares;
    }

    /// Sets the number of open slots. Returns whether it changed.
    pub(super) fn set_open_slots(&mut self, open_slots: u32) -> bool {
        std::mem::replace(&mut self.open_slots, open_slots) != open_slots
    }

    /// Returns how many slots `customer` may use while others wait: its share of
    /// the open slots, rounded down, but at least one. `None` means no limit.
    pub(super) fn limit(&self, customer: &str) -> Option<u32> {
        let share = *self.shares.get(customer)?;
        // A NaN share limits the customer to one slot.
        (share.is_nan() || share < 1.0)
            .then(|| ((f64::from(self.open_slots) * share) as u32).max(1))
    }

    pub(super) fn get(&self, customer: &str) -> Usage {
        self.usage.get(customer).copied().unwrap_or_default()
    }

    /// Returns the slots in use in thousandths of the limit, or `None` below the
    /// limit.
    pub(super) fn excess(&self, customer: &str) -> Option<u64> {
        let limit = self.limit(customer)?;
        let in_use = self.get(customer).in_use;
        (in_use >= limit).then(|| u64::from(in_use) * 1000 / u64::from(limit))
    }

    /// Changes the usage of `customer`, and removes its entry when it becomes zero.
    pub(super) fn change(&mut self, customer: &Arc<str>, change: impl FnOnce(&mut Usage)) {
        let entry = self.usage.entry(Arc::clone(customer)).or_default();
        change(entry);
        if entry.in_use == 0 && entry.waiting == 0 {
            self.usage.remove(customer);
        }
    }
}
