//! Ownership of idempotency-key ranges, and what happened to each key.
//!
//! A key hashes to one of 64 ranges. The owner of a range holds a lease row in
//! the platform's table and keeps the records of its keys in memory.
//!
//! # Guarantees
//!
//! - No key is begun twice within the repeat window, unless its first attempt
//!   was proved not run, as long as the wall clocks of daemons differ by at
//!   most `Settings::max_clock_skew`. This holds across crashes, pauses, store outages
//!   and hand-overs.
//! - A lease lapses by the owner's monotonic clock, read before the write that
//!   took or renewed it, and is checked on every begin.
//!
//! # Costs
//!
//! 64 renewals per 10 s in the whole fleet. A record takes a few hundred
//! bytes, and `Settings::max_records` bounds their number. When it is reached, the
//! record of the oldest version 7 key of the range is dropped, and keys made up
//! to that time are unknown from then on. Without such a record the verdict
//! is `Full`.

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
    /// Number of the ownership, one higher with every claim.
    pub term: u64,
    /// Higher with every write of the owner.
    pub counter: u64,
    /// Set when the owner gave the lease up.
    pub released: bool,
    /// Who was given all records before the release.
    pub successor: Option<Successor>,
}

/// The receiver of a hand-over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Successor {
    /// Its host.
    pub host: Arc<str>,
    /// The incarnation that acknowledged.
    pub incarnation: u64,
    /// Number of the hand-over.
    pub number: u64,
}

/// Keys for which an owner cannot vouch that nobody began them. Times are in
/// milliseconds since the Unix epoch, and 0 if there are none.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Horizon {
    /// Version 7 keys made up to this time.
    #[serde(rename = "made_until")]
    pub created_until: u64,
    /// Other keys begun up to this time, whose window has to pass.
    pub begun_until: u64,
}

impl Row {
    /// The table key of a range's row.
    pub fn key(range: u16) -> String {
        format!("key-range/{range}")
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// Proved not run; frees the key.
    NotRun,
    /// May have run.
    Unknown,
    /// Answered with this status.
    Done {
        /// HTTP status.
        status: u16,
    },
}

/// A request for a key, from the daemon that will send it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Begin {
    /// The caller's key.
    pub key: Arc<str>,
    /// Hash of method, path and body length.
    pub fingerprint: u64,
    /// Chosen at random for each request, so that a begin whose answer was
    /// lost can be repeated by the same daemon, and a late end cannot free
    /// the key of a later attempt.
    pub attempt: u64,
}

/// Answer to a begin.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// The request may be sent.
    Begin,
    /// It was answered before.
    Done {
        /// HTTP status of that answer.
        status: u16,
    },
    /// An attempt is running.
    InProgress,
    /// An attempt may have run, or the owner cannot vouch that none did.
    Unknown,
    /// The key was used for another request.
    Mismatch,
    /// The key was made before the repeat window.
    TooOld,
    /// The key claims to be made in the future.
    TooNew,
    /// The memory for records is full and holds no version 7 key to drop.
    Full,
    /// Another daemon owns the range.
    NotOwner,
    /// No lease on the range can be proved.
    Unfenced,
}

/// Answer to an end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Ended {
    /// It is recorded, or changes nothing any more.
    Recorded,
    /// Another daemon has the records of the range.
    NotOwner,
}

/// What became of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Hash of method, path and body length.
    pub fingerprint: u64,
    /// The attempt that began it.
    pub attempt: u64,
    /// Time after which it is dropped, in milliseconds since the Unix epoch.
    pub expires: u64,
    /// How the attempt ended, or `None` while it runs.
    pub outcome: Option<Outcome>,
}

/// The records of a range on the way to its next owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Handover {
    /// The range.
    pub range: u16,
    /// Term of the owner that hands over.
    pub term: u64,
    /// Number of the hand-over, higher with every one of a term.
    pub number: u64,
    /// Keys that are unknown unless recorded.
    #[serde(rename = "unvouched")]
    pub horizon: Horizon,
    /// All records.
    pub records: Vec<(Arc<str>, Record)>,
}

/// Result of a write to the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Written {
    /// It took effect.
    Applied,
    /// It did not; the current row.
    Conflict(Option<Row>),
    /// It may or may not take effect.
    Unknown,
}

/// What the owner is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed. Due several times a second.
    Tick,
    /// Hosts that take duties, the own one included if it does.
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
        /// Counter and term of the row that was written.
        row: Row,
        /// The result.
        result: Written,
    },
    /// An owner hands a range over. Acknowledge it after this event.
    Handover(Handover),
    /// A hand-over was acknowledged by the host and incarnation, or failed.
    HandedOver {
        /// The range.
        range: u16,
        /// Incarnation of the receiver, or `None` if it failed.
        receiver: Option<u64>,
    },
    /// This daemon begins a planned stop.
    Stop,
}

/// What the owner wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read a row; report `Read` or `ReadFailed`.
    Read {
        /// The range.
        range: u16,
    },
    /// Write a row if the current one is `expect`; report `Written`. It must
    /// be sent at most once.
    Write {
        /// The range.
        range: u16,
        /// The row that must be there, or `None` for no row.
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

/// Times and limits of the leases and records.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Duration of a lease.
    #[serde(rename = "lease")]
    pub lease_duration: Duration,
    /// Time between renewals.
    #[serde(rename = "renew")]
    pub renew_interval: Duration,
    /// Time for which a claimant must see a row unchanged. It exceeds the
    /// lease by 10 % for clocks that run at different speeds.
    #[serde(rename = "unchanged")]
    pub takeover_delay: Duration,
    /// Time between reads of a row that is not free, and before a failed
    /// write is followed by the next one.
    #[serde(rename = "retry")]
    pub retry_interval: Duration,
    /// Time in which callers may repeat a key.
    #[serde(rename = "window")]
    pub repeat_window: Duration,
    /// Allowed difference between the wall clocks of two daemons.
    #[serde(rename = "skew")]
    pub max_clock_skew: Duration,
    /// Records at most.
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

/// The range of a key.
pub fn range(key: &str) -> u16 {
    // The remainder is below 64.
    (xxhash_rust::xxh3::xxh3_64(key.as_bytes()) % u64::from(RANGES)) as u16
}
