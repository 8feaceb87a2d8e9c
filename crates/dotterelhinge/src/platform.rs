//! Client of the platform's table, object store and host list
//! (`docs/platform.md`).
//!
//! [`Store`] is the interface to the platform. [`Http`] implements it over HTTP
//! and [`Memory`] in memory, for tests. [`Client`] keeps the configuration
//! history in either.

mod client;
mod http;
mod memory;

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use error_stack::Report;
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

pub use self::{
    client::{Client, Edit, Head, Outcome, Settings},
    http::{Http, Limits},
    memory::Memory,
};

/// Kind of an [`Error`], by what a caller can do about it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// No usable response. A write may or may not have taken effect.
    Unavailable,
    /// A condition of the transaction did not hold; nothing was written.
    Conflict,
    /// The platform rejected the call as invalid, or the stored data is
    /// malformed.
    Invalid,
    /// The platform's rate limit was exceeded; nothing was written.
    RateLimited,
}

/// Error of a call to the platform.
#[derive(Debug, thiserror::Error)]
#[error("{message}")]
pub struct Error {
    kind: Kind,
    message: String,
    current: Vec<Current>,
}

impl Error {
    fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            current: Vec::new(),
        }
    }

    fn conflict(current: Vec<Current>) -> Self {
        Self {
            kind: Kind::Conflict,
            message: "a condition of the transaction does not hold".to_owned(),
            current,
        }
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns, after a conflict, the current values of the conditions' keys;
    /// empty for other errors.
    pub fn current(&self) -> &[Current] {
        &self.current
    }
}

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// A row of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Unique key.
    pub key: String,
    /// Value of the row.
    pub value: String,
}

/// The value of a row at the time of a conflict.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Current {
    /// Key of a condition of the transaction.
    pub key: String,
    /// Value of the row, or `None` if it does not exist.
    pub value: Option<String>,
}

/// A condition that must hold for a transaction to take effect.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Condition {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    equals: Option<String>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    absent: bool,
}

impl Condition {
    /// Returns the condition that the row exists with exactly this value.
    pub fn equals(key: impl Into<String>, value: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            equals: Some(value.into()),
            absent: false,
        }
    }

    /// Returns the condition that the row does not exist.
    pub fn absent(key: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            equals: None,
            absent: true,
        }
    }
}

/// One write of a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Write {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    delete: bool,
}

impl Write {
    /// Returns a write that sets the value of a row.
    pub fn put(key: impl Into<String>, value: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            value: Some(value.into()),
            delete: false,
        }
    }

    /// Returns a write that removes a row.
    pub fn delete(key: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            value: None,
            delete: true,
        }
    }
}

/// State of a host in the platform's host list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// In service.
    Live,
    /// About to be shut down.
    Leaving,
}

/// An entry of the platform's host list, which lags behind the state of the
/// hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// Unique name of the host.
    pub name: Arc<str>,
    /// Peer address of a daemon, or address of a backend server.
    pub address: SocketAddr,
    /// State as last reported.
    pub state: HostState,
}

/// The platform's interface. Implementations do not retry calls: if a response
/// is lost, only the caller can find out whether the call took effect.
pub trait Store {
    /// Applies all writes if all conditions hold, and otherwise none. Fails
    /// with [`Kind::Conflict`] and the current values of the conditions' keys
    /// if a condition does not hold.
    fn transact<'a>(
        &'a self,
        conditions: &'a [Condition],
        writes: &'a [Write],
    ) -> LocalBoxFuture<'a, Result<()>>;

    /// Returns the value of a row, or `None` if it does not exist.
    fn row<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<String>>>;

    /// Returns at most `limit` rows in key order whose keys start with `prefix` and
    /// sort after `after`.
    fn rows<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>>>;

    /// Stores an object; it is never visible in part.
    fn put_object<'a>(&'a self, name: &'a str, body: Bytes) -> LocalBoxFuture<'a, Result<()>>;

    /// Returns the body of an object, or `None` if it does not exist.
    fn get_object<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<Option<Bytes>>>;

    /// Returns the host list.
    fn hosts(&self) -> LocalBoxFuture<'_, Result<Vec<Host>>>;
}
