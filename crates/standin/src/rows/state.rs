//! The rows, their change history, and the injected faults of the store.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::platform::limit::Limiter;

/// Write calls per second that are served.
const WRITES_PER_SECOND: usize = 400;

/// Read calls per second that are served.
const READS_PER_SECOND: usize = 2000;

/// Time for which changes are retained for the change feed.
const HISTORY_RETENTION: Duration = Duration::from_secs(20);

/// Maximum number of rows in one answer.
const MAX_ROWS: usize = 500;

/// Identifies a row by table, part and key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// Table.
    pub table: String,
    /// Part of the table; may be empty.
    #[serde(default)]
    pub part: String,
    /// Key within the part.
    pub key: String,
}

/// A row as returned to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Row {
    /// Place of the row.
    #[serde(flatten)]
    pub place: Place,
    /// Value in base64, or `None` if the row was removed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// Version of its last change.
    pub ver: u64,
    /// Whether it was removed.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub deleted: bool,
}

/// Condition of a transaction: the version that a row must have, or 0 if it
/// must not exist.
#[derive(Clone, Debug, Deserialize)]
pub struct Expected {
    #[serde(flatten)]
    place: Place,
    ver: u64,
}

/// Row to be written by a transaction.
#[derive(Clone, Debug, Deserialize)]
pub struct Put {
    /// Place of the row.
    #[serde(flatten)]
    pub place: Place,
    /// Value in base64.
    pub value: String,
}

/// A transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Transaction {
    /// Rows and the versions that they must have.
    pub expected: Vec<Expected>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Rows to remove.
    pub remove: Vec<Place>,
}

/// How calls of the affected hosts are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Calls are served.
    #[default]
    Serve,
    /// Calls are answered 503.
    #[serde(rename = "busy")]
    Unavailable,
    /// Calls are answered 429.
    #[serde(rename = "many")]
    TooManyRequests,
    /// Calls are never answered.
    Silent,
}

/// Fault of the store, as set by a control call.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// How calls are served.
    pub mode: Mode,
    /// Addresses of the hosts that `mode` and `lost_writes` affect; all if
    /// empty.
    pub hosts: BTreeSet<IpAddr>,
    /// Delay of each answer, for all hosts.
    pub delay_ms: u64,
    /// Number of the next writes that are applied and not answered.
    pub lost_writes: u32,
}

/// Whether a call reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// A read.
    Read,
    /// A write.
    Write,
}

/// Whether and how a call is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is served after a delay; its answer may be dropped.
    Serve {
        /// Delay of the answer.
        delay: Duration,
        /// Whether the connection is closed without an answer.
        lose_answer: bool,
    },
    /// It is refused with this status.
    Refuse(u16),
    /// It is never answered.
    Silent,
}

struct Entry {
    at: Instant,
    row: Row,
}

/// State of the store.
pub struct State {
    rows: BTreeMap<Place, Row>,
    history: VecDeque<Entry>,
    /// Changes up to this version are no longer retained.
    compacted_version: u64,
    version: u64,
    fault: Fault,
    writes: Limiter,
    reads: Limiter,
    calls: BTreeMap<String, u64>,
}

impl Default for State {
    fn default() -> Self {
        State {
            rows: BTreeMap::new(),
            history: VecDeque::new(),
            compacted_version: 0,
            version: 1,
            fault: Fault::default(),
            writes: Limiter::new(WRITES_PER_SECOND),
            reads: Limiter::new(READS_PER_SECOND),
            calls: BTreeMap::new(),
        }
    }
}

impl State {
    /// Returns the newest version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Replaces the fault.
    pub fn set_fault(&mut self, fault: Fault) {
        self.fault = fault;
    }

    /// Returns the number of calls by name since the start.
    pub fn calls(&self) -> &BTreeMap<String, u64> {
        &self.calls
    }

    /// Decides whether and how a call is served, and counts it.
    pub fn admit(&mut self, call: &str, access: Access, from: IpAddr, now: Instant) -> Admission {
        *self.calls.entry(call.to_owned()).or_default() += 1;
        let is_affected = self.fault.hosts.is_empty() || self.fault.hosts.contains(&from);
        if is_affected {
            match self.fault.mode {
                Mode::Serve => {}
                Mode::Unavailable => return Admission::Refuse(503),
                Mode::TooManyRequests => return Admission::Refuse(429),
                Mode::Silent => return Admission::Silent,
            }
        }
        let limit = match access {
            Access::Read => &mut self.reads,
            Access::Write => &mut self.writes,
        };
        if !limit.admit(now) {
            return Admission::Refuse(429);
        }
        let lose_answer = access == Access::Write && is_affected && self.fault.lost_writes > 0;
        if lose_answer {
            self.fault.lost_writes -= 1;
        }
        Admission::Serve {
            delay: Duration::from_millis(self.fault.delay_ms),
            lose_answer,
        }
    }

    /// Applies a transaction and returns its version, or returns the current
    /// rows of all conditions if one of them does not hold.
    pub fn transact(&mut self, transaction: &Transaction, now: Instant) -> Result<u64, Vec<Row>> {
        let current = |place: &Place| self.rows.get(place).map_or(0, |row| row.ver);
        let holds = transaction
            .expected
            .iter()
            .all(|expected| current(&expected.place) == expected.ver);
        if !holds {
            return Err(transaction
                .expected
                .iter()
                .filter_map(|expected| self.rows.get(&expected.place).cloned())
                .collect());
        }
        self.version += 1;
        for put in &transaction.puts {
            self.change(now, &put.place, Some(put.value.clone()));
        }
        for place in &transaction.remove {
            self.change(now, place, None);
        }
        Ok(self.version)
    }

    fn change(&mut self, now: Instant, place: &Place, value: Option<String>) {
        let row = Row {
            place: place.clone(),
            deleted: value.is_none(),
            value,
            ver: self.version,
        };
        if row.deleted {
            self.rows.remove(place);
        } else {
            self.rows.insert(place.clone(), row.clone());
        }
        self.history.push_back(Entry { at: now, row });
    }

    /// Returns rows of a part in key order, from `from` (inclusive) to `to`
    /// (exclusive), and whether there are more.
    pub fn rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: Option<&str>,
        limit: usize,
    ) -> (Vec<Row>, bool) {
        let limit = limit.min(MAX_ROWS);
        let mut found = self.rows.values().filter(|row| {
            row.place.table == table
                && row.place.part == part
                && row.place.key.as_str() >= from
                && to.is_none_or(|to| row.place.key.as_str() < to)
        });
        let rows: Vec<Row> = found.by_ref().take(limit).cloned().collect();
        (rows, found.next().is_some())
    }

    /// Returns the changes of a table after a version, or `None` if they are
    /// no longer all retained.
    pub fn changes(&mut self, table: &str, after: u64, now: Instant) -> Option<Vec<Row>> {
        while let Some(entry) = self.history.front()
            && now.saturating_duration_since(entry.at) > HISTORY_RETENTION
        {
            self.compacted_version = entry.row.ver;
            self.history.pop_front();
        }
        if after < self.compacted_version {
            return None;
        }
        Some(
            self.history
                .iter()
                .filter(|entry| entry.row.place.table == table && entry.row.ver > after)
                .map(|entry| entry.row.clone())
                .collect(),
        )
    }

    /// Removes all changes from the history.
    pub fn compact(&mut self) {
        self.compacted_version = self.version;
        self.history.clear();
    }
}
