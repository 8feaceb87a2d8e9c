//! Clock interface, so that tests control the time.

use std::time::{Duration, Instant, SystemTime};

use nix::time::{ClockId, clock_gettime};

/// Source of time readings.
pub trait Clock: Send + Sync {
    /// Returns a monotonic reading, which also advances while the process is
    /// paused.
    fn now(&self) -> Instant;

    /// Returns the time since the machine booted. Unlike [`Clock::now`] it also
    /// advances while the machine is suspended.
    fn uptime(&self) -> Duration;

    /// Returns a wall clock reading, for timestamps only and never for timeouts.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn uptime(&self) -> Duration {
        // The call fails only for clocks that the system does not support.
        clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
