//! Which version of the operators' text is in force on a daemon, and how a
//! new one spreads.
//!
//! # Guarantees
//!
//! - Versions are adopted in strictly increasing order, and only after the
//!   caller has loaded the text and checked its hash.
//! - A daemon is not ready before it holds a text, nor after a pause until it
//!   has compared versions with a peer or `Settings::check_timeout` has passed.
//!
//! # Costs
//!
//! Per accepted version, each daemon sends `Settings::offer_fanout` offers. Three
//! readers per region read the store once a second, and all others only while
//! they have no text and no peer that has one.

mod state;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

pub use self::state::Configuration;

/// A version of the text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Version {
    /// Number from the table row, from 1.
    pub number: u64,
    /// Hash of the text.
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

/// Identifies a question or a load.
pub type Id = u64;

/// Where a text comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The difference to the text in force, sent with an offer.
    Delta(SocketAddr),
    /// The whole text at a peer.
    Peer(SocketAddr),
    /// The whole text in the platform's object store.
    Store,
}

/// Why a text was not loaded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The source did not answer or does not have it.
    Unavailable,
    /// The text does not match its hash.
    HashMismatch,
    /// The text is whole and breaks a rule, so that no source can help.
    Invalid,
}

/// What the state machine is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed. Due several times a second.
    Tick,
    /// The live daemons, the own one included.
    Members(Vec<Peer>),
    /// A peer offers a version as a difference to version `base`.
    Offered {
        /// Peer address.
        peer: SocketAddr,
        /// The version.
        version: Version,
        /// Version that the difference starts from, 0 without one.
        base: u64,
    },
    /// A peer was heard to have a higher version number.
    Announced {
        /// Peer address.
        peer: SocketAddr,
        /// Its version number.
        number: u64,
    },
    /// A peer answered a question with its version.
    QueryAnswered {
        /// From `Action::Query`.
        id: Id,
        /// Its version in force.
        version: Option<Version>,
    },
    /// A peer did not answer a question.
    QueryFailed(Id),
    /// The store's accepted version was read.
    Head(Option<Version>),
    /// The store could not be read.
    StoreFailed,
    /// A text was loaded, and it matches its hash and all rules.
    Loaded {
        /// From `Action::Load`.
        id: Id,
        /// The version that the source gave.
        version: Version,
    },
    /// A text could not be loaded.
    NotLoaded {
        /// From `Action::Load`.
        id: Id,
        /// The reason.
        failure: Failure,
    },
    /// The process was paused.
    Paused,
}

/// What the state machine wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask a peer for its version; report `QueryAnswered` or `QueryFailed`.
    Query {
        /// Identifies the question.
        id: Id,
        /// Peer address.
        peer: SocketAddr,
    },
    /// Get a text, check its hash and compile it; report `Loaded` or
    /// `NotLoaded`. Keep it until then.
    Load {
        /// Identifies the load.
        id: Id,
        /// Where to get it.
        source: Source,
        /// Number of the version; a peer may answer with a higher one.
        number: u64,
        /// Expected hash, if known.
        hash: Option<Arc<str>>,
    },
    /// Put the text of this load in force, and drop it from the loads.
    Adopt {
        /// The load.
        id: Id,
        /// Its version.
        version: Version,
    },
    /// Drop the text of this load.
    Discard(Id),
    /// Offer the version in force as a difference to version `base`.
    Offer {
        /// Peer address.
        peer: SocketAddr,
        /// The version in force.
        version: Version,
        /// Version to build the difference from, 0 for none.
        base: u64,
    },
    /// Read the head and the host list of the platform; report `Head` or
    /// `StoreFailed`.
    Poll,
    /// Admit requests from now on, or no longer.
    Ready(bool),
}

/// Times and counts of the spreading.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Peers offered a newly adopted version.
    #[serde(rename = "offers")]
    pub offer_fanout: usize,
    /// Peers asked at start and after a pause.
    #[serde(rename = "asks")]
    pub query_fanout: usize,
    /// Readers of the store per region.
    #[serde(rename = "readers")]
    pub readers_per_region: usize,
    /// Time between polls of a reader.
    #[serde(rename = "poll")]
    pub poll_interval: Duration,
    /// Longest time between polls while the store fails. With the default, a
    /// store that is back is noticed within the 6 s for a change.
    #[serde(rename = "poll_limit")]
    pub max_poll_interval: Duration,
    /// Longest time that a check after a pause, or a round of questions at
    /// start, takes.
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
