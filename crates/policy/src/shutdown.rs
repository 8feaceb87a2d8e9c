//! Decides what a daemon still does during a graceful shutdown.
//!
//! Load pattern: the load balancer goes on sending callers until its readiness
//! checks have failed, and callers keep using open connections for as long as
//! the process exists. The process is killed at the end of its grace period, so
//! a request that may last longer than that must not be accepted once callers
//! have had time to go elsewhere.

use std::time::{Duration, Instant};

/// Parameters of a graceful shutdown.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time after which the load balancer has noticed that the daemon is not
    /// ready.
    pub notice: Duration,
    /// Time before the end of the grace period at which the process ends even
    /// if requests are still being served.
    pub margin: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // Two readiness checks, one second apart, and their answers.
            notice: Duration::from_millis(2300),
            margin: Duration::from_millis(250),
        }
    }
}

/// A graceful shutdown that has begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shutdown {
    noticed: Instant,
    end: Instant,
}

impl Shutdown {
    /// Begins a shutdown at `now` with `grace` until the process is killed.
    pub fn new(settings: &Settings, now: Instant, grace: Duration) -> Self {
        Self {
            noticed: now + settings.notice,
            end: now + grace.saturating_sub(settings.margin),
        }
    }

    /// Returns whether a request is accepted at `now` that may last until
    /// `deadline`. While the load balancer may still send callers, all are: few
    /// requests last until their deadline. Later ones have to end in time.
    pub fn accepts(&self, now: Instant, deadline: Instant) -> bool {
        now < self.noticed || deadline <= self.end
    }

    /// Returns whether the load balancer has noticed, so that connections can
    /// be closed as soon as they are idle.
    pub fn is_noticed(&self, now: Instant) -> bool {
        now >= self.noticed
    }

    /// Returns whether the process ends at `now`, with `unfinished` callers
    /// waiting for the rest of an answer.
    pub fn is_over(&self, now: Instant, unfinished: usize) -> bool {
        now >= self.end || (self.is_noticed(now) && unfinished == 0)
    }
}
