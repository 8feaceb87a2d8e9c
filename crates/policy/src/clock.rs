//! The clock as an interface, so that tests decide what time it is.

use std::time::{Duration, Instant, SystemTime};

use nix::time::{ClockId, clock_gettime};

/// Source of time readings.
pub trait Clock: Send + Sync {
    /// Monotonic reading; it goes on while the process is stopped.
    fn now(&self) -> Instant;

    /// Time since the machine was started. Unlike [`Clock::now`] it also goes
    /// on while the machine is suspended.
    fn uptime(&self) -> Duration;

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

    fn uptime(&self) -> Duration {
        // The call fails only for clocks that the system does not have.
        clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
