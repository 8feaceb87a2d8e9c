//! Which hosts read the platform's store for all others.
//!
//! Calls to the store are limited and cost money, so a few readers watch it and
//! pass on what they learn. Readers are not elected and hold no lease: every
//! host ranks the live hosts by rendezvous hashing, the first ones read all the
//! time, and the others begin one after the other when news stops coming.

use std::time::Duration;

use crate::rendezvous;

/// Terms of the duty.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Hosts that read all the time.
    pub readers: usize,
    /// Age of the newest proof of currency after which the next host reads.
    pub stale_threshold: Duration,
    /// Further age that each later host waits.
    pub rank_delay: Duration,
    /// Age after which every host reads, whatever its rank: what it hears from
    /// others does not prove its own copy.
    pub max_age: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            readers: 2,
            stale_threshold: Duration::from_millis(800),
            rank_delay: Duration::from_millis(40),
            max_age: Duration::from_millis(3000),
        }
    }
}

/// Key under which hosts are ranked.
const KEY: &str = "store-reader";

/// A host that may read, and its strength.
pub type Host<'a> = (&'a str, u32);

/// Position of `host` among the live `hosts`, which include it.
pub fn rank<'a>(host: Host<'_>, hosts: impl Iterator<Item = Host<'a>>) -> usize {
    let own = rendezvous::score(KEY, host.0, host.1);
    hosts
        .filter(|(name, strength)| rendezvous::score(KEY, name, *strength) > own)
        .count()
}

/// Pause after which a host of this rank repeats a failed call, one of `hosts`.
/// While the store is away the hosts after the readers take turns, so that the
/// load on a store that is in trouble does not grow with the fleet.
pub fn retry_interval(settings: &Settings, rank: usize, hosts: usize) -> Duration {
    if rank < settings.readers {
        return Duration::ZERO;
    }
    settings.rank_delay * hosts as u32
}

/// Whether the host with this rank reads the store now. `age` is the age of the
/// newest proof that this host's copy is current; without a copy, the time that
/// the host has waited for one.
pub fn is_reader(settings: &Settings, rank: usize, age: Duration) -> bool {
    if rank < settings.readers {
        return true;
    }
    let waits = settings.rank_delay * (rank - settings.readers) as u32;
    age >= (settings.stale_threshold + waits).min(settings.max_age)
}
