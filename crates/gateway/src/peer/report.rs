//! Datagrams between daemons.

use std::{net::Ipv4Addr, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{fragment, usage};
use crate::{
    evidence::Observation,
    replica::{Delta, Freshness},
};

/// Maximum size of a datagram, so that it fits into one packet on common
/// networks.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Maximum outcomes in one datagram; with as many counts it stays below
/// [`MAX_DATAGRAM_BYTES`].
pub const MAX_OUTCOMES: usize = 40;

/// Maximum counts of requests in flight in one datagram.
pub const MAX_COUNTS: usize = 40;

/// Maximum hosts that one datagram introduces.
pub const MAX_INTRODUCTIONS: usize = 20;

/// Identity and state of a host. Part of its periodic reports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Name of the host.
    pub name: Arc<str>,
    /// Availability zone of the host.
    pub availability_zone: Arc<str>,
    /// Capacity of the host for work on behalf of others; see
    /// [`crate::settings::Settings::strength`].
    pub strength: u32,
    /// Whether the host is shutting down.
    pub leaving: bool,
}

/// The intended receivers of a report, and what they do with it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Scope {
    /// One host's own report, for the aggregator of its zone.
    #[default]
    Host,
    /// Digest of the reports of several hosts, for the receiver only.
    Digest,
    /// Digest that the receiver forwards to the hosts of its own zone.
    Relay,
}

/// Identity of a host, as reported by another one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Introduction {
    /// IPv4 address of the host, as a number.
    pub address: u32,
    /// Its identity and state.
    pub hello: Hello,
}

/// Key of a backend server's instance, and the number of requests in flight
/// there.
pub type Count = (u64, u16);

/// One report or digest, sent as one datagram.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// IPv4 address of the host that created the report, as a number.
    pub origin: u32,
    /// Random number that distinguishes the incarnations of the origin's
    /// process.
    pub incarnation: u64,
    /// Number of the report within the incarnation.
    pub sequence: u32,
    /// The intended receivers.
    pub scope: Scope,
    /// Identity and state of the origin; `None` in reports that are not
    /// periodic.
    pub hello: Option<Hello>,
    /// Hosts that may be unknown to the receiver.
    pub introduced: Vec<Introduction>,
    /// Addresses of the live hosts whose reports the origin aggregates, itself
    /// included; `None` in reports without a list.
    pub listed: Option<Vec<u32>>,
    /// Outcomes since the last report.
    pub outcomes: Vec<Observation>,
    /// Requests in flight by backend server. A digest has the sums over all
    /// hosts that report to its origin, only for servers whose sum changed or
    /// whose turn it is to be repeated. A host's own report has all of its
    /// requests, if they changed or the report is periodic.
    pub in_use: Option<Vec<Count>>,
    /// Versions of the origin's copy of the catalog, and proofs of how current
    /// it is.
    #[serde(rename = "standing")]
    pub freshness: Freshness,
    /// Changes of the list of backend servers that the origin has just learned;
    /// some of them if `part` is present.
    pub delta: Option<Delta>,
    /// Position of `delta` among the parts of a larger one. Daemons of earlier
    /// builds drop reports with it and fetch the list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<fragment::Position>,
    /// Counters of the requests that were admitted for customers with a limit, by
    /// key of the customer's name; in a digest the sums of all hosts that report to
    /// its origin. This and `heard` are encoded after the report, where daemons of
    /// earlier builds don't look: a longer array would be unreadable for them.
    #[serde(skip)]
    pub usage: Vec<usage::Count>,
    /// In a digest, the number of hosts whose counts `usage` contains, the origin
    /// included.
    #[serde(skip)]
    pub heard: Option<u16>,
}

impl Report {
    /// Returns how many counters of usage have room besides what the report has; an
    /// even number. An outcome or a count of requests in flight takes no less room.
    pub fn usage_room(&self) -> usize {
        let in_use = self.in_use.as_ref().map_or(0, Vec::len);
        usage::MAX_USAGE.saturating_sub(self.outcomes.len() + in_use) & !1
    }

    /// Returns the address of the host that created the report.
    pub fn origin(&self) -> Ipv4Addr {
        Ipv4Addr::from_bits(self.origin)
    }

    /// Decodes a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        let mut rest = bytes;
        let mut report: Self = rmp_serde::from_read(&mut rest)?;
        // Daemons of earlier builds send nothing after the report.
        if !rest.is_empty() {
            (report.heard, report.usage) = rmp_serde::from_slice(rest)?;
        }
        Ok(report)
    }

    /// Encodes the report.
    pub fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        let mut bytes = rmp_serde::to_vec(self)?;
        if !self.usage.is_empty() || self.heard.is_some() {
            rmp_serde::encode::write(&mut bytes, &(self.heard, &self.usage))?;
        }
        Ok(bytes)
    }
}
