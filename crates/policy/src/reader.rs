//! Decides which hosts read the platform's store for all others.
//!
//! Calls to the store are limited and cost money, so a few readers watch it and
//! forward the updates. Readers are not elected and hold no lease: every host
//! ranks the live hosts by rendezvous hashing, the first ones read all the
//! time, and the others start one after the other when updates stop arriving.

use std::time::Duration;

use crate::rendezvous;

/// Parameters of the choice of readers.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Hosts that read all the time.
    pub readers: usize,
    /// Age of the newest proof that the copy is current after which the first
    /// host behind the readers starts to read.
    pub stale_threshold: Duration,
    /// Additional age for each further rank.
    pub rank_delay: Duration,
    /// Age after which every host reads, whatever its rank: messages from other
    /// hosts do not prove that its own copy is current. Has to leave enough of the
    /// time within which a change must be in force to read and apply it.
    pub max_age: Duration,
    /// Time after which a host reads that has no list of hosts, and so no rank.
    pub unranked_delay: Duration,
}

impl Settings {
    /// Share of the time within which a change must be in force that a host waits
    /// for others to tell it.
    const WAIT_SHARE: f64 = 0.75;

    /// Returns settings under which each host reads early enough to have a change
    /// in force within `bound`.
    pub fn within(bound: Duration) -> Self {
        let default = Self::default();
        Self {
            max_age: default.max_age.min(bound.mul_f64(Self::WAIT_SHARE)),
            ..default
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            readers: 2,
            stale_threshold: Duration::from_millis(800),
            rank_delay: Duration::from_millis(40),
            max_age: Duration::from_millis(3000),
            unranked_delay: Duration::from_millis(3000),
        }
    }
}

/// Rendezvous key by which hosts are ranked.
const RENDEZVOUS_KEY: &str = "store-reader";

/// Name and strength of a host that may read.
pub type Host<'a> = (&'a str, u32);

/// Returns the position, from 0, of `host` among the live `hosts`, which
/// include it.
pub fn rank<'a>(host: Host<'_>, hosts: impl Iterator<Item = Host<'a>>) -> usize {
    let own = rendezvous::score(RENDEZVOUS_KEY, host.0, host.1);
    hosts
        .filter(|(name, strength)| rendezvous::score(RENDEZVOUS_KEY, name, *strength) > own)
        .count()
}

/// Returns the time after which a host of this rank, one of `hosts`, repeats a
/// failed call. While the store is unavailable, the interval of the hosts
/// behind the readers grows with the fleet, so that the load on the store does
/// not. Zero for the readers.
pub fn retry_interval(settings: &Settings, rank: usize, hosts: usize) -> Duration {
    if rank < settings.readers {
        return Duration::ZERO;
    }
    settings.rank_delay * hosts as u32
}

/// Whether the host with this rank reads the store now. `age` is the age of the
/// newest proof that this host's copy is current or, without a copy, the time
/// that the host has waited for one. The rank is `None` while the host has no
/// list of hosts: when a whole fleet starts, each would rank itself first.
pub fn is_reader(settings: &Settings, rank: Option<usize>, age: Duration) -> bool {
    let Some(rank) = rank else {
        return age >= settings.unranked_delay;
    };
    if rank < settings.readers {
        return true;
    }
    let delay = settings.rank_delay * (rank - settings.readers) as u32;
    age >= (settings.stale_threshold + delay).min(settings.max_age)
}
