//! The version of the operators' configuration that is in force on a daemon,
//! and the dissemination of new versions.
//!
//! # Guarantees
//!
//! - Versions are adopted in strictly increasing order, and only after the
//!   caller has loaded the configuration and checked its hash.
//! - A daemon is not ready before it has a configuration. After a pause it is
//!   not ready until it has compared versions with a peer or
//!   `Settings::check_timeout` has passed.
//!
//! # Costs
//!
//! Per adopted version, each daemon sends `Settings::offer_fanout` offers. Three
//! readers per region read the store once a second. Other daemons read it only
//! while they have no configuration and no peer that has one.

mod state;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

pub use self::state::Configuration;

/// A version of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Version {
    /// Version number from the table row, starting at 1.
    pub number: u64,
    /// Hash of the configuration.
    pub hash: Arc<str>,
}

/// A live daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Unique name.
    pub host: Arc<str>,
    /// Peer address.
    pub address: SocketAddr,
    /// Region the host is in.
    pub region: Arc<str>,
}

/// Identifies a query or a load.
pub type Id = u64;

/// Source of a configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The difference to the configuration in force, received with an offer.
    Delta(SocketAddr),
    /// The complete configuration, from a peer.
    Peer(SocketAddr),
    /// The complete configuration, from the platform's object store.
    Store,
}

/// Reason that a configuration was not loaded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The source did not answer or does not have the version.
    Unavailable,
    /// The configuration does not match its hash.
    HashMismatch,
    /// The configuration is invalid, so that no other source can help.
    Invalid,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed. Due several times a second.
    Tick,
    /// The live daemons, including the local one.
    Members(Vec<Peer>),
    /// A peer offers a version as a difference to version `base`.
    Offered {
        /// Peer address.
        peer: SocketAddr,
        /// The version.
        version: Version,
        /// Version that the difference applies to, or 0 without a difference.
        base: u64,
    },
    /// A peer announced its version number in a membership message, see
    /// `membership::Action::NewerConfiguration`.
    Announced {
        /// Peer address.
        peer: SocketAddr,
        /// Its version number.
        number: u64,
    },
    /// A peer answered a query.
    QueryAnswered {
        /// From `Action::Query`.
        id: Id,
        /// Its version in force.
        version: Option<Version>,
    },
    /// A peer did not answer a query.
    QueryFailed(Id),
    /// The store's latest accepted version was read.
    Head(Option<Version>),
    /// The store could not be read.
    StoreFailed,
    /// A configuration was loaded; it matches its hash and is valid.
    Loaded {
        /// From `Action::Load`.
        id: Id,
        /// The version that the source supplied.
        version: Version,
    },
    /// A configuration could not be loaded.
    NotLoaded {
        /// From `Action::Load`.
        id: Id,
        /// The reason.
        failure: Failure,
    },
    /// The process was paused.
    Paused,
}

/// An operation that the state machine requests from its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask a peer for its version; report `QueryAnswered` or `QueryFailed`.
    Query {
        /// Identifies the query.
        id: Id,
        /// Peer address.
        peer: SocketAddr,
    },
    /// Fetch a configuration, check its hash and compile it; report `Loaded` or
    /// `NotLoaded`. A loaded configuration is retained until `Adopt` or
    /// `Discard`.
    Load {
        /// Identifies the load.
        id: Id,
        /// Source to fetch from.
        source: Source,
        /// Version number; a peer may supply a higher one.
        number: u64,
        /// Expected hash, if known.
        hash: Option<Arc<str>>,
    },
    /// Put the configuration of this load in force and remove the load.
    Adopt {
        /// The load.
        id: Id,
        /// Its version.
        version: Version,
    },
    /// Drop the configuration of this load.
    Discard(Id),
    /// Offer the version in force as a difference to version `base`.
    Offer {
        /// Peer address.
        peer: SocketAddr,
        /// The version in force.
        version: Version,
        /// Version that the difference is to apply to, or 0 for no difference.
        base: u64,
    },
    /// Read the head and the host list of the platform; report `Head` or
    /// `StoreFailed`.
    Poll,
    /// Start admitting requests, or stop.
    Ready(bool),
}

/// Parameters of the dissemination.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Number of peers that a newly adopted version is offered to.
    #[serde(rename = "offers")]
    pub offer_fanout: usize,
    /// Number of peers queried at start and after a pause.
    #[serde(rename = "asks")]
    pub query_fanout: usize,
    /// Number of daemons per region that read the store.
    #[serde(rename = "readers")]
    pub readers_per_region: usize,
    /// Time between two polls of the store by a reader.
    #[serde(rename = "poll")]
    pub poll_interval: Duration,
    /// Maximum time between two polls while the store fails. The default lets a
    /// daemon detect that the store is available again within the 6 s allowed
    /// for a configuration change.
    #[serde(rename = "poll_limit")]
    pub max_poll_interval: Duration,
    /// Maximum duration of the version check after a pause and of a round of
    /// queries at start.
    #[serde(rename = "check")]
    pub check_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            offer_fanout: 4,
            query_fanout: 5,
            readers_per_region: 3,
            poll_interval: Duration::from_secs(1),
            max_poll_interval: Duration::from_secs(4),
            check_timeout: Duration::from_secs(1),
        }
    }
}
