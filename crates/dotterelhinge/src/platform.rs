//! Client of the platform's table, object store and host list
//! (`docs/platform.md`).
//!
//! [`Store`] is the boundary: [`Http`] talks to the platform and [`Memory`]
//! stands in for it in tests. [`Client`] builds the configuration history on
//! top of either.

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

/// What went wrong, as far as a caller acts on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// No usable answer. The effect of a write is unknown.
    Unavailable,
    /// A condition did not hold, and nothing was written.
    Conflict,
    /// The platform rejected the call, or what it holds is malformed.
    Invalid,
    /// The rate limit was exceeded, and nothing was written.
    RateLimited,
}

/// Failure of a call to the platform.
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

    /// What went wrong.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// After a conflict, the current values of the conditions' keys.
    pub fn current(&self) -> &[Current] {
        &self.current
    }
}

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// A stored row of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Unique key.
    pub key: String,
    /// The value.
    pub value: String,
}

/// The value of a key at the time of a conflict.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Current {
    /// The key of a condition.
    pub key: String,
    /// Its value, or `None` if the row does not exist.
    pub value: Option<String>,
}

/// What must hold for a transaction to take effect.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Condition {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    equals: Option<String>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    absent: bool,
}

impl Condition {
    /// The row exists with exactly this value.
    pub fn equals(key: impl Into<String>, value: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            equals: Some(value.into()),
            absent: false,
        }
    }

    /// The row does not exist.
    pub fn absent(key: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            equals: None,
            absent: true,
        }
    }
}

/// One change of a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Write {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    delete: bool,
}

impl Write {
    /// Sets the value of a row.
    pub fn put(key: impl Into<String>, value: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            value: Some(value.into()),
            delete: false,
        }
    }

    /// Removes a row.
    pub fn delete(key: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            value: None,
            delete: true,
        }
    }
}

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// In service.
    Live,
    /// About to be stopped.
    Leaving,
}

/// A host in the platform's list, which lags behind the hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// Unique name.
    pub name: Arc<str>,
    /// Peer address of a daemon, or address of a backend server.
    pub address: SocketAddr,
    /// State as last reported.
    pub state: HostState,
}

/// The platform's interfaces. No call is repeated behind the caller's back,
/// because the effect of a lost answer is for the caller to find out.
pub trait Store {
    /// Applies all writes if all conditions hold, and otherwise none. Fails
    /// with [`Kind::Conflict`] and the current values if one does not hold.
    fn transact<'a>(
        &'a self,
        conditions: &'a [Condition],
        writes: &'a [Write],
    ) -> LocalBoxFuture<'a, Result<()>>;

    /// The value of one row.
    fn row<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<String>>>;

    /// At most `limit` rows in key order whose keys start with `prefix` and
    /// sort after `after`.
    fn rows<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>>>;

    /// Stores an object whole.
    fn put_object<'a>(&'a self, name: &'a str, body: Bytes) -> LocalBoxFuture<'a, Result<()>>;

    /// The body of an object.
    fn get_object<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<Option<Bytes>>>;

    /// The host list.
    fn hosts(&self) -> LocalBoxFuture<'_, Result<Vec<Host>>>;
}
