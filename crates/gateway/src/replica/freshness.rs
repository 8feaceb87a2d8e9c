//! Versions of a host's copy of the catalog and proofs of how current it is.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Versions of a host's copy and proofs of how current it is, as reported to
/// other hosts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Freshness {
    /// Version of the configuration; 0 without one.
    pub configuration: u64,
    /// Version of the list of upstreams; 0 without one.
    pub upstreams: u64,
    /// Digest of the list of upstreams; 0 without one.
    pub digest: u64,
    /// Store version up to which changes of the list are known.
    pub cursor: u64,
    /// Store version up to which changes of the configuration are known; 0 if
    /// it was never read.
    pub configuration_cursor: u64,
    /// Proof that the configuration is current.
    pub configuration_proof: Option<Proof>,
    /// Proof that the list of upstreams is current.
    pub upstreams_proof: Option<Proof>,
}

/// Proof that a copy was current, as reported from one host to another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Proof {
    /// The store's clock at the time of the proof, in milliseconds.
    pub clock: u64,
    /// Age of the proof when it was sent, in milliseconds.
    pub age_ms: u32,
}

impl Proof {
    /// Returns the proof with `elapsed` added to its age.
    pub fn aged(self, elapsed: Duration) -> Self {
        Self {
            age_ms: self.age_ms.saturating_add(whole_ms(elapsed)),
            ..self
        }
    }
}

/// Proof that a copy was current at a time of this host's clock.
///
/// Proofs are ordered by the store's clock, not by their age. Hosts forward
/// them to each other and the network delay is not added to the age, so a host
/// that accepted its own proof back would make it younger with each round trip.
#[derive(Clone, Copy, Debug)]
pub(super) struct LocalProof {
    pub clock: u64,
    pub at: Instant,
}

impl LocalProof {
    /// Returns the proof to report to other hosts at `now`.
    pub(super) fn report(self, now: Instant) -> Proof {
        Proof {
            clock: self.clock,
            age_ms: whole_ms(now.saturating_duration_since(self.at)),
        }
    }

    /// Returns whether `known` is missing or older than a proof at the store's
    /// time `clock`.
    pub(super) fn is_older_than(known: Option<Self>, clock: u64) -> bool {
        known.is_none_or(|known| clock > known.clock)
    }
}

/// Returns an age in milliseconds. After 49 days it stays the greatest that the type
/// holds, so that an old proof never looks like a new one.
fn whole_ms(age: Duration) -> u32 {
    age.as_millis().try_into().unwrap_or(u32::MAX)
}
