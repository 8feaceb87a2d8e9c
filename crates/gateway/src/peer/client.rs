//! Calls to the HTTP interface of other daemons.

use std::{net::Ipv4Addr, time::Duration};

use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};

use crate::{catalog::Catalog, replica::Freshness, store};

/// Path of [`Snapshot`] on the peer port.
pub const COPY_PATH: &str = "/peer/v2/copy";

/// Longest time for a call. A host that takes longer is overloaded or cut off,
/// and another one is asked.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Largest answer of another daemon, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Why a call to another daemon failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// No answer in time, or the connection broke.
    #[error("the daemon does not answer")]
    Unreachable,
    /// The answer can't be understood.
    #[error("the daemon's answer can't be read")]
    Invalid,
}

/// What the asking daemon has already, so that it is not sent again.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Versions {
    /// Version of its configuration; 0 without one.
    pub configuration: u64,
    /// Digest of its list of backend servers; 0 without one.
    pub digest: u64,
}

impl Versions {
    /// What a daemon with this copy has.
    pub fn of(freshness: &Freshness) -> Self {
        Self {
            configuration: freshness.configuration,
            digest: freshness.digest,
        }
    }
}

/// What a daemon knows of the catalog and of the other hosts.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Snapshot {
    /// The catalog, without the parts that the asking daemon has.
    pub catalog: Catalog,
    /// How current it is.
    #[serde(rename = "standing")]
    pub freshness: Freshness,
    /// The hosts it knows.
    pub hosts: Vec<store::Host>,
}

/// Fetches the copy of the daemon at `address`.
pub async fn fetch(
    client: &awc::Client,
    address: Ipv4Addr,
    port: u16,
    versions: Versions,
) -> Result<Snapshot, Report<Error>> {
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
        rmp_serde::from_slice(&body).change_context(Error::Invalid)
    };
    tokio::time::timeout(CALL_TIMEOUT, call)
        .await
        .change_context(Error::Unreachable)?
}
