//! The datagram between daemons.

use std::{net::Ipv4Addr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    evidence::Observation,
    replica::{Delta, Freshness},
};

/// Largest datagram that fits into one packet on common networks.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Outcomes in one datagram at most; with as many counts it stays below
/// [`MAX_DATAGRAM_BYTES`].
pub const MAX_OUTCOMES: usize = 40;

/// Counts of requests in flight in one datagram at most.
pub const MAX_COUNTS: usize = 40;

/// Hosts that one datagram introduces at most.
pub const MAX_INTRODUCTIONS: usize = 20;

/// Who sends reports. Part of every periodic report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Name of the host.
    pub name: Arc<str>,
    /// Availability zone of the host.
    pub availability_zone: Arc<str>,
    /// How much work the host can take on for others; see
    /// [`crate::settings::Settings::strength`].
    pub strength: u32,
    /// Whether the host is stopping.
    pub leaving: bool,
}

/// Whom a report is for, and what the receiver does with it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Scope {
    /// One host's own report, for the host that aggregates in its zone.
    #[default]
    Host,
    /// Digest of the reports of several hosts, for the receiver alone.
    Digest,
    /// Digest that the receiver passes on to the hosts of its own zone.
    Relay,
}

/// Who a host is, as another one tells.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Introduction {
    /// IPv4 address of the host, as a number.
    pub address: u32,
    /// Who it is.
    pub hello: Hello,
}

/// Requests in flight at one backend server.
pub type Count = (u64, u16);

/// What one host tells others.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// IPv4 address of the host that made the report, as a number.
    pub origin: u32,
    /// Random number that tells two runs of a process apart.
    pub incarnation: u64,
    /// Number of the report within the run.
    pub sequence: u32,
    /// Whom the report is for.
    pub scope: Scope,
    /// Who the origin is.
    pub hello: Option<Hello>,
    /// Hosts that may be unknown to the receiver.
    pub introduced: Vec<Introduction>,
    /// Addresses of the live hosts whose reports the origin aggregates, itself
    /// included; `None` in reports without a list.
    pub listed: Option<Vec<u32>>,
    /// Outcomes since the last report.
    pub outcomes: Vec<Observation>,
    /// Requests in flight by backend server: in a digest, of all hosts that
    /// report to its origin and only where that changed or is due for a
    /// repetition; in a host's own report all there are, if they changed.
    pub in_use: Option<Vec<Count>>,
    /// The origin's copy of the catalog.
    #[serde(rename = "standing")]
    pub freshness: Freshness,
    /// Changes that the origin has just learned.
    pub delta: Option<Delta>,
}

impl Report {
    /// Address of the host that made the report.
    pub fn origin(&self) -> Ipv4Addr {
        Ipv4Addr::from_bits(self.origin)
    }

    /// Decodes a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }

    /// Encodes the report, without its delta if it would grow too large.
    pub fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        let bytes = rmp_serde::to_vec(self)?;
        if bytes.len() <= MAX_DATAGRAM_BYTES || self.delta.is_none() {
            return Ok(bytes);
        }
        let short = Self {
            delta: None,
            ..self.clone()
        };
        rmp_serde::to_vec(&short)
    }
}
