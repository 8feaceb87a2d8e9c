//! The clock as an interface, so that tests decide what time it is.

use std::time::{Instant, SystemTime};

/// Source of time readings.
pub trait Clock: Send + Sync {
    /// Monotonic reading; it goes on while the process is stopped.
    fn now(&self) -> Instant;

    /// Wall clock reading, for timestamps only and never for timeouts.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
