//! Experiments over the whole path: platform, daemons and backend servers as
//! processes on loopback, with load, faults and checks.
//!
//! # Guarantees
//!
//! - Every process ends when its deployment is dropped, also after an error,
//!   SIGINT, SIGTERM or the time limit of [`interrupt::watch`].
//! - Every wait is bounded.

use std::path::PathBuf;

use serde_json::Value;

pub mod bench;
pub mod bound;
pub mod deployment;
pub mod figures;
pub mod interrupt;
pub mod load;
pub mod measure;
pub mod quickstart;
pub mod report;
pub mod scenario;
pub mod table;
pub mod usage;

/// Why an experiment ended without a result.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file could not be read or is malformed.
    #[error("cannot read {0}")]
    Read(PathBuf),
    /// A file could not be written.
    #[error("cannot write {0}")]
    Write(PathBuf),
    /// The deployment text lacks a field that experiments need.
    #[error("the text has no {0}")]
    Text(&'static str),
    /// A process did not start.
    #[error("{0} does not start")]
    Start(String),
    /// A process did not follow a call.
    #[error("{0} failed")]
    Call(String),
    /// The deployment did not reach a state in time.
    #[error("not in time: {0}; {1}")]
    Late(&'static str, String),
    /// The load could not be run.
    #[error("load could not be run")]
    Load,
    /// There is no scenario of this name.
    #[error("no scenario {0:?}")]
    Scenario(String),
    /// A signal came or the time limit passed.
    #[error("interrupted")]
    Interrupted,
}

/// A field that is a string, or an empty one.
pub(crate) fn string<'a>(value: &'a Value, field: &str) -> &'a str {
    value[field].as_str().unwrap_or_default()
}

/// A field that is a list, or an empty one.
pub(crate) fn list<'a>(value: &'a Value, field: &str) -> &'a [Value] {
    value[field].as_array().map_or(&[], Vec::as_slice)
}
