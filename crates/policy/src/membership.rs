//! Fleet membership: the failure detector and dissemination of SWIM.
//!
//! Every second a daemon pings one member, in a random order that visits each
//! member once per cycle. If the ping fails, three other members relay a ping
//! to it (indirect probe). If none reaches it, it is suspected, and is declared
//! dead 3 s later unless it refutes the suspicion with a higher incarnation.
//! Reports about members are piggybacked on pings and acks.
//!
//! # Guarantees
//!
//! - A daemon detects that its process was paused, reports the pause, and
//!   declares no member suspected or dead on account of timers and requests
//!   from before it.
//! - A daemon that can reach no other daemon does not disseminate its state
//!   changes, and reverts them at the next contact, so that one isolated daemon
//!   cannot remove the others from the fleet's list.
//! - Every 30 s one dead member that is not yet forgotten, or one seed that is
//!   not in the list, is contacted, so that a partition heals.
//!
//! # Costs
//!
//! One ping and its ack per daemon and second, with at most 12 queued reports
//! each. The exchange every 30 s sends one hash per 8 to 16 members, at most
//! 256 hashes, and then only the parts of the list that differ. Sending the
//! whole list would take 7 KB/s at 3,800 members, above the limit of 4 KB/s for
//! all control traffic.

mod detector;
mod probe;
mod roster;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

pub use self::detector::Membership;

/// State of a member. Within an incarnation, a later variant takes precedence.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// In service.
    Alive,
    /// Suspected to have failed: it answered neither a ping nor a relayed one.
    Suspect,
    /// Shutting down as planned; is assigned no new roles.
    Leaving,
    /// Declared failed or stopped.
    Dead,
}

/// A host as the members of the fleet know it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Unique name.
    pub host: Arc<str>,
    /// Peer address.
    pub address: SocketAddr,
    /// Availability zone the host is in.
    pub availability_zone: Arc<str>,
    /// Region of that zone.
    pub region: Arc<str>,
    /// Start time in milliseconds since the Unix epoch. A refutation raises it
    /// to one more than the incarnation of the refuted report.
    pub incarnation: u64,
    /// State as last reported.
    pub state: State,
}

impl Member {
    /// Returns whether the host may be assigned roles such as coordinator.
    pub fn is_eligible(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }

    /// Returns the precedence of a report: the greatest one about a host is
    /// current.
    fn precedence(&self) -> (u64, State) {
        (self.incarnation, self.state)
    }
}

/// The member list at one time: every host that is not dead, sorted by name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Changes if and only if `members` does.
    pub generation: u64,
    /// The members, including the local host.
    pub members: Vec<Member>,
}

/// Result of a relayed ping.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reachability {
    /// The target answered.
    Reached,
    /// The target did not answer, or another host answered at its address.
    Unreached,
    /// The relay was paused meanwhile, so the result is not known.
    Unknown,
}

/// The kind of a message and its content besides the reports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Asks whether the receiver is alive.
    Ping,
    /// Asks the receiver to ping another host (indirect probe).
    Relay {
        /// Name of that host.
        host: Arc<str>,
        /// Its peer address.
        address: SocketAddr,
    },
    /// Asks for the parts of the list that differ from this summary.
    Exchange {
        /// One hash for each part of the list.
        summary: Vec<u64>,
    },
    /// Delivers reports only.
    Push,
    /// Answer to `Ping` and `Push`.
    Ack,
    /// Answer to `Relay`.
    Relayed(Reachability),
    /// Answer to `Exchange`; the members of the differing parts are in
    /// `Message::updates`.
    Differing {
        /// Number of parts in the summary.
        #[serde(rename = "of")]
        part_count: u16,
        /// Indices of the parts that differ.
        parts: Vec<u16>,
    },
}

/// A request or answer between daemons, encoded as MessagePack.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// The sender's own entry.
    pub from: Member,
    /// Version of the configuration in force at the sender, or 0 if it has
    /// none.
    pub configuration: u64,
    /// Reports about hosts.
    pub updates: Vec<Member>,
    /// The request or answer.
    pub body: Body,
}

/// Identifies a request.
pub type Id = u64;

/// An input of the failure detector.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed. Due several times a second.
    Tick,
    /// A request arrived. It is answered by an `Action::Respond` with the same
    /// id, immediately or after a later event.
    Request {
        /// Chosen by the caller.
        id: Id,
        /// The request.
        message: Message,
    },
    /// A request sent by this daemon was answered.
    Response {
        /// From `Action::Send`.
        id: Id,
        /// The answer.
        message: Message,
    },
    /// A request sent by this daemon failed or timed out.
    Failed(Id),
    /// Peer addresses from the settings or from the platform's host list.
    Seeds(Vec<SocketAddr>),
    /// The version of the configuration in force changed.
    Configuration(u64),
    /// This daemon begins a planned shutdown.
    Leave,
}

/// An operation that the failure detector requests from its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a request; report `Event::Response` or `Event::Failed`.
    Send {
        /// Identifies the request.
        id: Id,
        /// Peer address.
        to: SocketAddr,
        /// The request.
        message: Message,
        /// Time after which the request counts as failed.
        timeout: Duration,
    },
    /// Answer a request.
    Respond {
        /// From `Event::Request`.
        id: Id,
        /// The answer.
        message: Message,
    },
    /// The member list changed.
    Changed {
        /// Generation of the new list.
        generation: u64,
    },
    /// A peer has a newer version of the configuration.
    NewerConfiguration {
        /// Peer address.
        peer: SocketAddr,
        /// Its version.
        version: u64,
    },
    /// This daemon's process was paused.
    Paused {
        /// Time since the previous tick.
        gap: Duration,
    },
}

/// Parameters of the failure detector.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time between two pings.
    #[serde(rename = "period")]
    pub ping_interval: Duration,
    /// Time to wait for the ack of a ping.
    pub ping_timeout: Duration,
    /// Time to wait for the answer of a relay.
    pub relay_timeout: Duration,
    /// Number of members asked to relay a ping.
    pub relays: usize,
    /// Time after which a suspected member is declared dead.
    #[serde(rename = "suspicion")]
    pub suspicion_timeout: Duration,
    /// A report is sent about this many times log2(members).
    #[serde(rename = "repeat_factor")]
    pub retransmit_factor: u32,
    /// Maximum number of queued reports in a message.
    #[serde(rename = "updates")]
    pub max_updates: usize,
    /// Time between two exchanges of the list.
    #[serde(rename = "exchange")]
    pub exchange_interval: Duration,
    /// Time to wait for the answer to an exchange.
    pub exchange_timeout: Duration,
    /// Time after which a dead host is forgotten.
    #[serde(rename = "forget")]
    pub dead_retention: Duration,
    /// Minimum gap between ticks that counts as a pause of the process.
    #[serde(rename = "pause")]
    pub pause_threshold: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ping_interval: Duration::from_secs(1),
            ping_timeout: Duration::from_millis(400),
            relay_timeout: Duration::from_millis(900),
            relays: 3,
            suspicion_timeout: Duration::from_secs(3),
            retransmit_factor: 3,
            max_updates: 12,
            exchange_interval: Duration::from_secs(30),
            exchange_timeout: Duration::from_secs(5),
            dead_retention: Duration::from_secs(5 * 60),
            pause_threshold: Duration::from_secs(2),
        }
    }
}
