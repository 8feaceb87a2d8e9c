//! Which daemons are members of the fleet: the SWIM failure detector and
//! dissemination.
//!
//! Every second a daemon pings one member, in a random order that visits each
//! member once per cycle. If the ping fails, three other members are asked to
//! ping it. If none reaches it, it is suspected, and is dead 3 s later unless
//! it refutes the suspicion with a higher incarnation. Reports travel on the
//! pings and their answers.
//!
//! # Guarantees
//!
//! - A daemon that was paused reports it and judges nobody by timers or calls
//!   from before the pause.
//! - A daemon that can reach nobody keeps its judgements to itself and undoes
//!   them at the first contact, so that one isolated daemon cannot remove the
//!   others from the fleet's list.
//! - Dead members are contacted again every 30 s until they are forgotten, and
//!   seeds that are not in the list likewise, so that a partition heals.
//!
//! # Costs
//!
//! One ping with its answer per daemon and second, with at most 12 reports
//! each. The 30 s exchange sends one hash per 16 members and then only the
//! parts of the list that differ. Sending the list whole would take 7 KB/s at
//! 3,800 members, above the 4 KB/s that all control traffic may use.

mod detector;
mod probe;
mod roster;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

pub use self::detector::Membership;

/// State of a member. Later states win within an incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// In service.
    Alive,
    /// Did not answer lately.
    Suspect,
    /// About to stop; takes no new duties.
    Leaving,
    /// Gone.
    Dead,
}

/// A host as its members know it.
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
    /// Start time in milliseconds since the Unix epoch, plus one for every
    /// refutation.
    pub incarnation: u64,
    /// State as last reported.
    pub state: State,
}

impl Member {
    /// Whether the host may be given duties such as a coordinator's.
    pub fn is_eligible(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }

    fn rank(&self) -> (u64, State) {
        (self.incarnation, self.state)
    }
}

/// The member list at one time: every host that is not dead, by name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Changes if and only if `members` does.
    pub generation: u64,
    /// The members, the own host included.
    pub members: Vec<Member>,
}

/// Whether a relayed ping reached its target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reachability {
    /// It answered.
    Reached,
    /// It did not.
    Unreached,
    /// The relay cannot tell.
    Unknown,
}

/// What a message says besides its reports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Asks whether the receiver is alive.
    Ping,
    /// Asks the receiver to ping another host.
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
    /// Only hands over reports.
    Push,
    /// Answer to `Ping` and `Push`.
    Ack,
    /// Answer to `Relay`.
    Relayed(Reachability),
    /// Answer to `Exchange`, with the members of the parts as updates.
    Differing {
        /// Number of parts of the summary.
        #[serde(rename = "of")]
        part_count: u16,
        /// Parts that differ.
        parts: Vec<u16>,
    },
}

/// Request or answer between daemons, in MessagePack on the network.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// The sender as it knows itself.
    pub from: Member,
    /// Version of the configuration in force at the sender, 0 without one.
    pub configuration: u64,
    /// Reports about hosts.
    pub updates: Vec<Member>,
    /// The request or answer itself.
    pub body: Body,
}

/// Identifies a request.
pub type Id = u64;

/// What the failure detector is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed. Due several times a second.
    Tick,
    /// A request arrived. Its answer is `Action::Respond` with the same id,
    /// at once or later.
    Request {
        /// Chosen by the caller.
        id: Id,
        /// The request.
        message: Message,
    },
    /// A request of this daemon was answered.
    Response {
        /// From `Action::Send`.
        id: Id,
        /// The answer.
        message: Message,
    },
    /// A request of this daemon was not answered in time.
    Failed(Id),
    /// Peer addresses from settings or the platform's host list.
    Seeds(Vec<SocketAddr>),
    /// The version of the configuration in force changed.
    Configuration(u64),
    /// This daemon begins a planned stop.
    Leave,
}

/// What the failure detector wants done.
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
        /// Longest wait for the answer.
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
        /// New generation.
        generation: u64,
    },
    /// A peer has a newer version of the configuration.
    NewerConfiguration {
        /// Peer address.
        peer: SocketAddr,
        /// Its version.
        version: u64,
    },
    /// This daemon was paused.
    Paused {
        /// Time since the tick before.
        gap: Duration,
    },
}

/// Times and sizes of the failure detector.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time between pings.
    #[serde(rename = "period")]
    pub ping_interval: Duration,
    /// Longest wait for the answer to a ping.
    pub ping_timeout: Duration,
    /// Longest wait for the answer of a relay.
    pub relay_timeout: Duration,
    /// Members asked to relay a ping.
    pub relays: usize,
    /// Time from suspicion to death.
    #[serde(rename = "suspicion")]
    pub suspicion_timeout: Duration,
    /// A report is sent this many times log2(members).
    #[serde(rename = "repeat_factor")]
    pub retransmit_factor: u32,
    /// Reports at most in a message.
    #[serde(rename = "updates")]
    pub max_updates: usize,
    /// Time between exchanges of the list.
    #[serde(rename = "exchange")]
    pub exchange_interval: Duration,
    /// Longest wait for the answer to an exchange.
    pub exchange_timeout: Duration,
    /// Time after which a dead host is forgotten.
    #[serde(rename = "forget")]
    pub dead_retention: Duration,
    /// Gap between ticks that counts as a pause.
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
