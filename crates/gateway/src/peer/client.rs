//! Calls to the HTTP interface of other daemons.

use std::{net::Ipv4Addr, time::Duration};

use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};

use crate::{
    catalog::Catalog,
    replica::{Delta, Freshness},
    store,
};

/// Path of [`Snapshot`] on the peer port.
pub const COPY_PATH: &str = "/peer/v2/copy";

/// Timeout of a call. A host that takes longer is overloaded or unreachable, and
/// the copy is requested from another one.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum size of another daemon's response.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Why a call to another daemon failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// No response in time, or the connection broke.
    #[error("the daemon did not respond")]
    Unreachable,
    /// The request could not be encoded, or the response could not be decoded.
    #[error("the daemon's response could not be decoded")]
    Invalid,
}

/// What the requesting daemon already has, so that it is not sent again.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Versions {
    /// Version of its configuration; 0 without one.
    pub configuration: u64,
    /// Digest of its list of backend servers; 0 without one.
    pub digest: u64,
    /// Version of that list. Daemons of earlier builds do not send it; they get
    /// the whole list.
    #[serde(default)]
    pub upstreams: u64,
    /// Digest of the hosts that it knows; see [`Members::digest`]. Daemons of
    /// earlier builds do not send it; they get all hosts.
    ///
    /// [`Members::digest`]: super::members::Members::digest
    #[serde(default)]
    pub hosts: u64,
}

impl Versions {
    /// Returns the versions of a copy of this freshness.
    pub fn of(freshness: &Freshness, hosts: u64) -> Self {
        Self {
            configuration: freshness.configuration,
            digest: freshness.digest,
            upstreams: freshness.upstreams,
            hosts,
        }
    }
}

/// A daemon's copy of the catalog and its list of hosts.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Snapshot {
    /// The catalog, without the parts that the requesting daemon has.
    pub catalog: Catalog,
    /// Versions of the copy and proofs of how current it is.
    #[serde(rename = "standing")]
    pub freshness: Freshness,
    /// The hosts that the daemon knows; none for one that knows the same.
    pub hosts: Vec<store::Host>,
    /// Changes of the list of backend servers since the version of the requesting
    /// daemon, in place of the whole list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changes: Option<Delta>,
}

/// Fetches the copy of the daemon at `address`, without the parts that
/// `versions` shows to be present already. Returns it with its size in bytes.
///
/// # Errors
///
/// Fails with [`Error::Unreachable`] if no complete response of at most 16 MiB
/// arrives within 800 ms, and with [`Error::Invalid`] if it can't be decoded.
pub async fn fetch(
    client: &awc::Client,
    address: Ipv4Addr,
    port: u16,
    versions: Versions,
) -> Result<(Snapshot, usize), Report<Error>> {
    let call = async {
        let mut response = client
            .get(format!("http://{address}:{port}{COPY_PATH}"))
            .query(&versions)
            .map_err(|error| Report::new(Error::Invalid).attach(error.to_string()))?
            .send()
            .await
            .map_err(|error| Report::new(Error::Unreachable).attach(error.to_string()))?;
        let body = response
            .body()
            .limit(MAX_RESPONSE_BYTES)
            .await
            .change_context(Error::Unreachable)?;
        let copy = rmp_serde::from_slice(&body).change_context(Error::Invalid)?;
        Ok((copy, body.len()))
    };
    tokio::time::timeout(CALL_TIMEOUT, call)
        .await
        .change_context(Error::Unreachable)?
}
