//! The versions of the text as the command line sees them.

use std::sync::Arc;

use error_stack::Report;
use futures_util::future::LocalBoxFuture;
use serde::Serialize;

use super::{Code, Error};

/// The newest version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Number of the version, from 1.
    pub version: u64,
    /// Hash of the text.
    pub hash: Arc<str>,
    /// Who made it.
    pub author: Arc<str>,
}

/// One accepted edit.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Edit {
    /// Number of the version that the edit made.
    pub version: u64,
    /// Identifies the edit.
    pub edit: uuid::Uuid,
    /// Who made it.
    pub author: Arc<str>,
    /// The version that it started from.
    pub base: u64,
    /// When it was made, in milliseconds since the Unix epoch.
    pub time: u64,
    /// What the author says about it.
    pub summary: Arc<str>,
    /// Hash of the text.
    pub hash: Arc<str>,
}

/// Outcome of sending an edit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Accept {
    /// The text is this version.
    Accepted {
        /// Number of the version.
        version: u64,
    },
    /// The head was not the base, and nothing changed.
    Conflict {
        /// Number of the newest version.
        version: u64,
        /// Edits after the base, oldest first, as far as they are known.
        edits: Vec<Edit>,
    },
    /// The outcome could not be learned; the edit may still take effect.
    Unproven(Edit),
}

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// The platform. Failures have the code [`Code::Unavailable`].
pub trait Versions {
    /// The newest version, or `None` before the first one.
    fn head(&self) -> LocalBoxFuture<'_, Result<Option<Head>>>;

    /// The canonical JSON with the given hash.
    fn text<'a>(&'a self, hash: &'a str) -> LocalBoxFuture<'a, Result<String>>;

    /// Makes a text the version after `base`, unless another edit came first.
    /// Never makes two versions.
    fn accept<'a>(
        &'a self,
        base: u64,
        text: &'a str,
        author: &'a str,
        summary: &'a str,
    ) -> LocalBoxFuture<'a, Result<Accept>>;

    /// Reads back what became of an unproven edit, without sending it.
    fn resolve<'a>(&'a self, edit: &'a Edit) -> LocalBoxFuture<'a, Result<Accept>>;

    /// The newest `count` edits, oldest first. An implementation may leave out
    /// the newest of a large number.
    fn history(&self, count: u64) -> LocalBoxFuture<'_, Result<Vec<Edit>>>;
}

/// Connects to the platform at a base URL.
pub fn connect(base: &str) -> Result<Box<dyn Versions>> {
    Err(Report::new(Error::new(
        Code::Unavailable,
        format!("no platform client for {base} in this build"),
    )))
}
