//! The datagram between daemons.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    evidence::Seen,
    replica::{Delta, Standing},
};

/// Largest datagram that fits into one packet on common networks.
pub const LARGEST: usize = 1400;

/// Who sends reports. Part of every periodic report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Name of the host.
    pub name: Arc<str>,
    /// Availability zone of the host.
    pub availability_zone: Arc<str>,
    /// Whether the host is stopping.
    pub leaving: bool,
}

/// What one host tells the others.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// IPv4 address of the host that made the report, as a number.
    pub origin: u32,
    /// Random number that tells two runs of a process apart.
    pub incarnation: u64,
    /// Number of the report within the run.
    pub sequence: u32,
    /// Whether the receiver passes the report on within its zone.
    pub relay: bool,
    /// Who the origin is.
    pub hello: Option<Hello>,
    /// Outcomes since the last report.
    pub outcomes: Vec<Seen>,
    /// Requests in flight by backend server, if that changed.
    pub in_use: Option<Vec<(u64, u8)>>,
    /// The origin's copy of the catalog.
    pub standing: Standing,
    /// Changes that the origin has just learned from the store.
    pub delta: Option<Delta>,
}

impl Report {
    /// Decodes a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }

    /// Encodes the report, without its delta if it would grow too large.
    pub fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        let bytes = rmp_serde::to_vec(self)?;
        if bytes.len() <= LARGEST || self.delta.is_none() {
            return Ok(bytes);
        }
        let short = Self {
            delta: None,
            ..self.clone()
        };
        rmp_serde::to_vec(&short)
    }
}
