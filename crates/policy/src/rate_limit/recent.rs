//! A sum over the immediate past.

use std::time::{Duration, Instant};

/// Number of slots of which the sum consists.
const SLOTS: usize = 4;

/// Duration of one slot. All slots together cover the time in which the loss of
/// other hosts goes unnoticed: the silence timeout and the interval of checks.
const SLOT: Duration = Duration::from_millis(100);

/// Sum of what was added within the last 300 to 400 ms.
#[derive(Clone, Debug, Default)]
pub(super) struct Recent {
    slots: [f64; SLOTS],
    /// Start of the newest slot, which is the first one.
    start: Option<Instant>,
}

impl Recent {
    /// Adds `amount`.
    pub(super) fn add(&mut self, now: Instant, amount: f64) {
        self.advance(now);
        self.slots[0] += amount;
    }

    /// Returns the sum.
    pub(super) fn sum(&mut self, now: Instant) -> f64 {
        self.advance(now);
        self.slots.iter().sum()
    }

    fn advance(&mut self, now: Instant) {
        let start = *self.start.get_or_insert(now);
        let passed = now.saturating_duration_since(start).as_millis() / SLOT.as_millis();
        let passed = passed.min(SLOTS as u128) as usize;
        if passed == 0 {
            return;
        }
        self.slots.rotate_right(passed % SLOTS);
        self.slots[..passed].fill(0.0);
        self.start = Some(if passed == SLOTS {
            now
        } else {
            start + SLOT * passed as u32
        });
    }
}
