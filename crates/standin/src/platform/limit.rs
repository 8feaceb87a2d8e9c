//! Rate limiter with a sliding window of one second.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Admits at most `per_second` events in any second.
#[derive(Debug)]
pub struct Limiter {
    per_second: usize,
    admitted: VecDeque<Instant>,
}

impl Limiter {
    /// Returns a limiter that has admitted nothing.
    pub fn new(per_second: usize) -> Self {
        Limiter {
            per_second,
            admitted: VecDeque::new(),
        }
    }

    /// Returns whether an event at `now` is within the limit, and counts it if
    /// so.
    pub fn admit(&mut self, now: Instant) -> bool {
        while self
            .admitted
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) >= Duration::from_secs(1))
        {
            self.admitted.pop_front();
        }
        let is_admitted = self.admitted.len() < self.per_second;
        if is_admitted {
            self.admitted.push_back(now);
        }
        is_admitted
    }
}
