//! How long the end of a caller's connection waits for the caller.
//!
//! Load pattern: callers that send further requests, or the rest of a body, while the
//! answer that ends their connection is on its way, and that read it slowly. What they
//! sent must be read before the connection is closed, and what they send until they
//! know of the end too: either would reset the connection, and a reset discards what a
//! caller has not received. Callers that never close their side, or send without an end,
//! must not hold a connection for long, or keep a process from ending.

use std::time::{Duration, Instant};

/// Parameters of the end of a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time without bytes in either direction after which the caller knows of the end.
    pub quiet: Duration,
    /// Maximum time until the connection is closed.
    pub max_time: Duration,
    /// Maximum bytes of the caller that are read meanwhile.
    pub max_bytes: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // The head of an answer says that the connection ends. A caller that reads
            // slowly has it within two seconds, unless earlier answers are in the way.
            quiet: Duration::from_secs(2),
            max_time: Duration::from_secs(10),
            max_bytes: 64 << 20,
        }
    }
}

/// The end of one connection, on which nothing is sent any more.
#[derive(Clone, Debug)]
pub struct Linger {
    quiet: Duration,
    /// When the connection is closed in any case.
    end: Instant,
    /// When bytes were last sent or received; `None` if none were.
    active: Option<Instant>,
    /// Bytes of the caller that may still be read.
    bytes_left: u64,
}

impl Linger {
    /// Begins the end of a connection at `now`, on which the last bytes were sent at
    /// `sent`; `None` if there were none, so that the caller waits for nothing.
    pub fn new(settings: &Settings, now: Instant, sent: Option<Instant>) -> Self {
        Self {
            quiet: settings.quiet,
            end: now + settings.max_time,
            active: sent,
            bytes_left: settings.max_bytes,
        }
    }

    /// Records bytes that the caller sent until `now`.
    pub fn record(&mut self, now: Instant, bytes: usize) {
        self.active = self.active.max(Some(now));
        self.bytes_left = self.bytes_left.saturating_sub(bytes as u64);
    }

    /// Returns when the connection is closed unless the caller sends more or closes its
    /// side; `None` if that is due at once.
    pub fn deadline(&self) -> Option<Instant> {
        let quiet = self.active? + self.quiet;
        (self.bytes_left > 0).then_some(quiet.min(self.end))
    }
}
