//! The store that outlives all hosts, as the daemon needs it.
//!
//! An adapter implements [`Store`] for one platform. The daemon only reads
//! configuration and backend servers; it writes the list of hosts.

use std::{net::Ipv4Addr, sync::Arc, time::Duration};

use error_stack::Report;
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use crate::catalog::{Configuration, Upstream, Upstreams};

/// Why a call to the store gave no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// No answer in time, or the connection broke.
    #[error("the store does not answer")]
    Unreachable,
    /// The store answered that it does not serve the call now.
    #[error("the store refuses the call")]
    Refused,
    /// The store no longer knows what changed since the given version.
    #[error("the store's history does not reach back far enough")]
    Compacted,
    /// The answer can't be understood.
    #[error("the store's answer can't be read")]
    Invalid,
}

/// Result of a call to the store.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// What the store answered to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Response<T> {
    /// Newest version of the store.
    pub version: u64,
    /// The store's own steady clock at the answer, in milliseconds.
    pub clock: u64,
    /// What was asked for.
    pub value: T,
}

/// A change of one backend server's entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Change {
    /// The entry is new or has changed.
    Put(Arc<Upstream>),
    /// The entry with this identity is gone, or names no usable server.
    Remove(Arc<str>),
}

/// A machine that runs a daemon, as it registers itself for the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// Unique name.
    pub name: Arc<str>,
    /// Address at which other daemons reach it.
    pub address: Ipv4Addr,
    /// Availability zone it is in.
    pub availability_zone: Arc<str>,
    /// How much work it can take on for others.
    #[serde(default)]
    pub strength: u32,
}

/// Calls to the platform's store.
pub trait Store {
    /// The newest configuration, `None` before the first one.
    fn configuration(&self) -> LocalBoxFuture<'_, Result<Response<Option<Arc<Configuration>>>>>;

    /// Waits up to `wait` for a configuration newer than store version `after`.
    fn configuration_after(
        &self,
        after: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Response<Option<Arc<Configuration>>>>>;

    /// All backend servers.
    fn upstreams(&self) -> LocalBoxFuture<'_, Result<Response<Upstreams>>>;

    /// Waits up to `wait` for changes after store version `after`.
    fn upstreams_after(
        &self,
        after: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Response<Vec<Change>>>>;

    /// Adds a host to the list of hosts.
    fn register<'a>(&'a self, host: &'a Host) -> LocalBoxFuture<'a, Result<()>>;

    /// The registered hosts, including some that are gone.
    fn hosts(&self) -> LocalBoxFuture<'_, Result<Vec<Host>>>;
}
