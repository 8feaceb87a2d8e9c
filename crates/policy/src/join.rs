//! Decides how a starting host joins the fleet through the platform's store.
//!
//! Load pattern: all hosts of a large fleet start within a fraction of a
//! second. The store applies the writes of one part of a table one after the
//! other and refuses writes that would wait for more than a second, so hosts
//! that registered at once would mostly be refused and call again. Until a host
//! has the list of hosts, it would also take itself for a reader of the store
//! (see [`reader`](crate::reader)).

use std::time::Duration;

use rand::{Rng, RngExt};

/// Parameters of the decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time over which the hosts of a fleet that starts for the first time
    /// spread their registrations.
    pub registration_spread: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            registration_spread: Duration::from_secs(2),
        }
    }
}

/// What a starting host knows before it calls the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Start {
    /// The whole fleet starts for the first time: the store lists no host.
    First,
    /// Another daemon has sent its list of hosts.
    Informed,
    /// The host may have run before, and no other daemon has responded.
    Alone,
}

/// The next call of a starting host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Register after this delay, then read the list unless a daemon has sent it.
    Register(Duration),
    /// Read the list, then register only if the list does not have this host.
    Read,
}

/// Returns the first call of a starting host.
pub fn first_step(settings: &Settings, start: Start, rng: &mut impl Rng) -> Step {
    match start {
        Start::First => {
            let delay = settings.registration_spread.mul_f64(rng.random());
            Step::Register(delay)
        }
        Start::Informed => Step::Register(Duration::ZERO),
        Start::Alone => Step::Read,
    }
}
