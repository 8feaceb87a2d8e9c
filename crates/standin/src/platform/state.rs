//! Rows, objects, host lists and injected faults of the platform.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Bound;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::platform::limit;

/// Writes per second that the platform accepts.
pub const WRITES_PER_SECOND: usize = 300;
/// Reads per second that the platform accepts.
pub const READS_PER_SECOND: usize = 2_000;
/// Maximum number of rows in one answer.
pub const MAX_ROWS: usize = 1_000;
/// Maximum number of past host lists retained for `hosts_lag_ms`.
const MAX_HOST_LISTS: usize = 10_000;

/// A condition of a transaction. Exactly one of `equals` and `absent` is set.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Condition {
    /// Row key.
    pub key: String,
    /// The value that the row must have.
    pub equals: Option<String>,
    /// `true` if the row must not exist.
    pub absent: Option<bool>,
}

/// A write of a transaction. Exactly one of `value` and `delete` is set.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Write {
    /// Row key.
    pub key: String,
    /// New value.
    pub value: Option<String>,
    /// `true` if the row is removed.
    pub delete: Option<bool>,
}

/// Body of `POST /v1/table/transact`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    #[serde(default)]
    pub conditions: Vec<Condition>,
    /// Writes, applied all or none.
    #[serde(default)]
    pub writes: Vec<Write>,
}

/// A row as it is listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Row {
    /// Row key.
    pub key: String,
    /// Value, or null if the row does not exist.
    pub value: Option<String>,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All writes were applied.
    Applied,
    /// A condition did not hold; contains the current rows of all conditions.
    Conflict(Vec<Row>),
    /// The transaction is malformed.
    Invalid(&'static str),
}

/// State of a host in the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// In service.
    Live,
    /// Leaving service.
    Leaving,
}

/// An entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Host name.
    pub name: String,
    /// Peer address of a daemon or address of a backend server.
    pub address: String,
    /// Whether the host is leaving.
    pub state: HostState,
}

/// Body of `POST /control`. Absent fields leave the setting as it is.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Whether every call is answered 503.
    pub down: Option<bool>,
    /// Whether calls are accepted and never answered.
    pub silent: Option<bool>,
    /// Delay of every answer, after the call has taken effect.
    pub delay_ms: Option<u64>,
    /// Number of writes that take effect and whose answers are dropped.
    pub lose_answers: Option<u64>,
    /// New host list.
    pub hosts: Option<Vec<Host>>,
    /// Age of the host list that is served, in milliseconds.
    pub hosts_lag_ms: Option<u64>,
}

/// Answer of `GET /counters`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads that were served.
    pub reads: u64,
    /// Writes that were served, including conflicts and dropped answers.
    pub writes: u64,
    /// Calls over a rate limit, answered 429.
    pub refused: u64,
    /// Calls during an outage, answered 503 or not at all.
    pub unavailable: u64,
    /// Writes whose answers were dropped.
    pub lost_answers: u64,
}

/// Kind of a call, for rate limits and counters.
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
    /// It is served; its answer may be delayed or dropped.
    Serve {
        /// Delay of the answer.
        delay: Duration,
        /// Whether the connection closes without an answer.
        lose_answer: bool,
    },
    /// It is over the rate limit and answered 429.
    Refuse,
    /// The platform is down; the call is answered 503.
    Down,
    /// The call is never answered.
    Silent,
}

/// State of the platform stand-in.
#[derive(Debug)]
pub struct State {
    rows: BTreeMap<String, String>,
    objects: HashMap<String, Bytes>,
    /// Host lists by the time at which they were set, oldest first.
    host_lists: VecDeque<(Instant, Arc<[Host]>)>,
    hosts_lag: Duration,
    is_down: bool,
    is_silent: bool,
    delay: Duration,
    lose_answers: u64,
    reads: limit::Limiter,
    writes: limit::Limiter,
    counters: Counters,
}

impl State {
    /// Returns an empty platform.
    pub fn new(now: Instant) -> Self {
        State {
            rows: BTreeMap::new(),
            objects: HashMap::new(),
            host_lists: VecDeque::from([(now, Arc::from([]))]),
            hosts_lag: Duration::ZERO,
            is_down: false,
            is_silent: false,
            delay: Duration::ZERO,
            lose_answers: 0,
            reads: limit::Limiter::new(READS_PER_SECOND),
            writes: limit::Limiter::new(WRITES_PER_SECOND),
            counters: Counters::default(),
        }
    }

    /// Applies a control call.
    pub fn control(&mut self, control: Control, now: Instant) {
        if let Some(down) = control.down {
            self.is_down = down;
        }
        if let Some(silent) = control.silent {
            self.is_silent = silent;
        }
        if let Some(delay) = control.delay_ms {
            self.delay = Duration::from_millis(delay);
        }
        if let Some(count) = control.lose_answers {
            self.lose_answers = count;
        }
        if let Some(lag) = control.hosts_lag_ms {
            self.hosts_lag = Duration::from_millis(lag);
        }
        if let Some(hosts) = control.hosts {
            self.host_lists.push_back((now, hosts.into()));
            if self.host_lists.len() > MAX_HOST_LISTS {
                self.host_lists.pop_front();
            }
        }
    }

    /// Decides whether and how a call is served, and counts it.
    pub fn admit(&mut self, access: Access, now: Instant) -> Admission {
        if self.is_silent || self.is_down {
            self.counters.unavailable += 1;
            return if self.is_silent {
                Admission::Silent
            } else {
                Admission::Down
            };
        }
        let limit = match access {
            Access::Read => &mut self.reads,
            Access::Write => &mut self.writes,
        };
        if !limit.admit(now) {
            self.counters.refused += 1;
            return Admission::Refuse;
        }
        let mut lose_answer = false;
        match access {
            Access::Read => self.counters.reads += 1,
            Access::Write => {
                self.counters.writes += 1;
                if self.lose_answers > 0 {
                    self.lose_answers -= 1;
                    self.counters.lost_answers += 1;
                    lose_answer = true;
                }
            }
        }
        Admission::Serve {
            delay: self.delay,
            lose_answer,
        }
    }

    /// Applies a transaction if all its conditions hold.
    pub fn transact(&mut self, transaction: &Transaction) -> Outcome {
        let mut holds = true;
        for condition in &transaction.conditions {
            let current = self.rows.get(&condition.key);
            holds &= match (&condition.equals, condition.absent) {
                (Some(expected), None) => current == Some(expected),
                (None, Some(true)) => current.is_none(),
                _ => return Outcome::Invalid("a condition has either equals or absent: true"),
            };
        }
        for write in &transaction.writes {
            if !matches!(
                (&write.value, write.delete),
                (Some(_), None) | (None, Some(true))
            ) {
                return Outcome::Invalid("a write has either value or delete: true");
            }
        }
        if !holds {
            return Outcome::Conflict(
                transaction
                    .conditions
                    .iter()
                    .map(|condition| Row {
                        key: condition.key.clone(),
                        value: self.rows.get(&condition.key).cloned(),
                    })
                    .collect(),
            );
        }
        for write in &transaction.writes {
            match &write.value {
                Some(value) => self.rows.insert(write.key.clone(), value.clone()),
                None => self.rows.remove(&write.key),
            };
        }
        Outcome::Applied
    }

    /// Returns the value of a row.
    pub fn row(&self, key: &str) -> Option<&str> {
        self.rows.get(key).map(String::as_str)
    }

    /// Returns the rows with a prefix in key order, starting after the key
    /// `after`, at most `limit` and [`MAX_ROWS`].
    pub fn rows(&self, prefix: &str, after: Option<&str>, limit: usize) -> Vec<Row> {
        let start = match after {
            Some(after) if after >= prefix => Bound::Excluded(after),
            _ => Bound::Included(prefix),
        };
        self.rows
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit.min(MAX_ROWS))
            .map(|(key, value)| Row {
                key: key.clone(),
                value: Some(value.clone()),
            })
            .collect()
    }

    /// Stores an object.
    pub fn put_object(&mut self, name: String, body: Bytes) {
        self.objects.insert(name, body);
    }

    /// Returns the body of an object.
    pub fn object(&self, name: &str) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }

    /// Returns the host list as it was `hosts_lag_ms` ago, or an empty one if
    /// none was set by then.
    pub fn hosts(&self, now: Instant) -> Arc<[Host]> {
        self.host_lists
            .iter()
            .rev()
            .find(|(at, _)| now.saturating_duration_since(*at) >= self.hosts_lag)
            .map_or_else(|| Arc::from([]), |(_, hosts)| Arc::clone(hosts))
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }
}
