//! Leases on ranges of idempotency keys, and the records of the keys.
//!
//! A key hashes to one of 64 ranges. The owner of a range holds a lease, which
//! is a row in the platform's table, and keeps the records of the range's keys
//! in memory.
//!
//! # Guarantees
//!
//! - No key is begun twice within the repeat window, unless its first attempt
//!   is proven not to have run, as long as the wall clocks of daemons differ by
//!   at most `Settings::max_clock_skew`. This holds across crashes, pauses,
//!   store outages and handovers.
//! - A lease expires by the owner's monotonic clock, counted from a reading
//!   before the write that acquired or renewed it. Every begin checks it.
//!
//! # Costs
//!
//! 64 renewals per 10 s in the whole fleet. A record takes a few hundred
//! bytes, and `Settings::max_records` bounds their number. At the maximum, a
//! begin evicts the record of the oldest UUID version 7 key of its range, and
//! keys created up to that key's time are unknown from then on. If the range
//! has no such record, the verdict is `Full`.

mod keys;
mod lease;
mod state;

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

pub use self::lease::Idempotency;

/// Number of key ranges.
pub const RANGES: u16 = 64;

/// The value of the table row `key-range/<n>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Host that holds the lease.
    pub owner: Arc<str>,
    /// Incarnation of that host.
    pub incarnation: u64,
    /// Number of the ownership, incremented by every claim.
    pub term: u64,
    /// Increased by every write of the owner.
    pub counter: u64,
    /// Whether the owner has released the lease.
    pub released: bool,
    /// The daemon that received all records before the release.
    pub successor: Option<Successor>,
}

/// The receiver of a handover.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Successor {
    /// Name of its host.
    pub host: Arc<str>,
    /// Incarnation that acknowledged the handover.
    pub incarnation: u64,
    /// Number of the handover.
    pub number: u64,
}

/// Times up to which records may be missing: a key within these bounds that has
/// no record may have been begun. In milliseconds since the Unix epoch; 0 if no
/// records are missing.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Horizon {
    /// Bound on the creation time of UUID version 7 keys.
    #[serde(rename = "made_until")]
    pub created_until: u64,
    /// Bound on the begin time of other keys. They are unknown until the repeat
    /// window after it is over.
    pub begun_until: u64,
}

impl Row {
    /// Returns the table key of a range's row.
    pub fn key(range: u16) -> String {
        format!("key-range/{range}")
    }
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// Proven not to have run, so that the key is free again.
    NotRun,
    /// May have run.
    Unknown,
    /// Answered.
    Done {
        /// HTTP status.
        status: u16,
    },
}

/// A request to begin a key, from the daemon that will send the caller's
/// request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Begin {
    /// The caller's idempotency key.
    pub key: Arc<str>,
    /// Hash of customer, method, path and body length.
    pub fingerprint: u64,
    /// Random identifier of the request. It lets the same daemon repeat a begin
    /// whose answer was lost, and keeps a delayed end from freeing the key of a
    /// later attempt.
    pub attempt: u64,
}

/// Answer to a begin.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// The request may be sent.
    Begin,
    /// The request was already answered.
    Done {
        /// HTTP status of that answer.
        status: u16,
    },
    /// An attempt is in progress.
    InProgress,
    /// An attempt may have run, or its record may be missing.
    Unknown,
    /// The key was used for another request.
    Mismatch,
    /// The key was created before the repeat window.
    TooOld,
    /// The key's creation time is further ahead than clocks may differ.
    TooNew,
    /// The maximum number of records is reached, and the range has no UUID
    /// version 7 key to evict.
    Full,
    /// Another daemon owns the range.
    NotOwner,
    /// No valid lease proves that this daemon owns the range.
    Unfenced,
}

/// Answer to an end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Ended {
    /// The end is recorded, or no longer has an effect.
    Recorded,
    /// The end is not recorded: the records are being handed over, or this
    /// daemon has none for the range.
    NotOwner,
}

/// State of a key that was begun.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Hash of customer, method, path and body length.
    pub fingerprint: u64,
    /// The attempt that began the key.
    pub attempt: u64,
    /// Time after which the record is removed, in milliseconds since the Unix
    /// epoch.
    pub expires: u64,
    /// Result of the attempt, or `None` while it is in progress.
    pub outcome: Option<Outcome>,
}

/// The records of a range, sent to its next owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Handover {
    /// The range.
    pub range: u16,
    /// Term of the owner that hands the range over.
    pub term: u64,
    /// Number of the handover, increasing within a term.
    pub number: u64,
    /// Bounds within which keys without a record are unknown.
    #[serde(rename = "unvouched")]
    pub horizon: Horizon,
    /// All records.
    pub records: Vec<(Arc<str>, Record)>,
}

/// Result of a write to the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Written {
    /// The write took effect.
    Applied,
    /// The write did not take effect; contains the current row.
    Conflict(Option<Row>),
    /// The write may have taken effect, or may still do so.
    Unknown,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed. Due several times a second.
    Tick,
    /// Hosts that may own ranges, including the local one if it may.
    Members(Vec<Arc<str>>),
    /// A row was read.
    Read {
        /// The range.
        range: u16,
        /// Its row.
        row: Option<Row>,
    },
    /// A row could not be read.
    ReadFailed {
        /// The range.
        range: u16,
    },
    /// A write ended.
    Written {
        /// The range.
        range: u16,
        /// The row that was to be written.
        row: Row,
        /// The result.
        result: Written,
    },
    /// An owner hands a range over. The caller acknowledges it after this
    /// event.
    Handover(Handover),
    /// A handover was acknowledged or failed.
    HandedOver {
        /// The range.
        range: u16,
        /// Incarnation of the receiver, or `None` if the handover failed.
        receiver: Option<u64>,
    },
    /// This daemon begins a planned shutdown.
    Stop,
}

/// An operation that the state machine requests from its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read a row; report `Read` or `ReadFailed`.
    Read {
        /// The range.
        range: u16,
    },
    /// Write a row if the current one is `expect`; report `Written`. The write
    /// must be sent at most once.
    Write {
        /// The range.
        range: u16,
        /// The row that must be present, or `None` if there must be none.
        expect: Option<Row>,
        /// The new row.
        row: Row,
    },
    /// Send the records of a range to a host; report `HandedOver`.
    Handover {
        /// The receiver.
        to: Arc<str>,
        /// The records.
        handover: Handover,
    },
}

/// Parameters of the leases and records.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Duration of a lease.
    #[serde(rename = "lease")]
    pub lease_duration: Duration,
    /// Time between two renewals of a lease.
    #[serde(rename = "renew")]
    pub renew_interval: Duration,
    /// Time for which a claimant must observe a row unchanged before it takes
    /// the range over. It exceeds the lease duration by 10 % to allow for
    /// monotonic clocks that run at different speeds.
    #[serde(rename = "unchanged")]
    pub takeover_delay: Duration,
    /// Time between two reads of a row that is not free, and time until a failed
    /// write is retried.
    #[serde(rename = "retry")]
    pub retry_interval: Duration,
    /// Time during which callers may repeat a key.
    #[serde(rename = "window")]
    pub repeat_window: Duration,
    /// Maximum difference between the wall clocks of two daemons.
    #[serde(rename = "skew")]
    pub max_clock_skew: Duration,
    /// Maximum number of records over all ranges that the daemon holds.
    #[serde(rename = "records")]
    pub max_records: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_secs(30),
            renew_interval: Duration::from_secs(10),
            takeover_delay: Duration::from_secs(33),
            retry_interval: Duration::from_secs(2),
            repeat_window: Duration::from_secs(24 * 60 * 60),
            max_clock_skew: Duration::from_secs(1),
            max_records: 60_000,
        }
    }
}

/// Returns the range that a key hashes to.
pub fn range(key: &str) -> u16 {
    // The cast is lossless, since the remainder is below 64.
    (xxhash_rust::xxh3::xxh3_64(key.as_bytes()) % u64::from(RANGES)) as u16
}
