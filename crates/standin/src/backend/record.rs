//! Record of the requests that began on the servers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use serde::{Deserialize, Serialize};

/// State of a request that began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It is running.
    Running,
    /// It completed; its answer may still have been lost or truncated.
    Finished,
    /// It was cancelled because its connection closed or its deadline passed.
    Cancelled,
}

/// A request that began.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Sequence number in the order in which requests began, from 1.
    pub number: u64,
    /// `x-request-id`.
    pub id: Option<String>,
    /// `idempotency-key`.
    pub key: Option<String>,
    /// `x-class`, or the first segment of the path.
    pub class: String,
    /// Server number from 0.
    pub server: usize,
    /// Start, in milliseconds since the start of the process.
    pub start_ms: f64,
    /// End, in milliseconds since the start of the process.
    pub end_ms: Option<f64>,
    /// Its state.
    pub state: State,
}

/// A request that reached a server, whether or not it began, and what its answer
/// said about further requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// `x-request-id`.
    pub id: String,
    /// Server number from 0.
    pub server: usize,
    /// When its head was read, in milliseconds since the start of the process.
    pub at_ms: f64,
    /// When its answer was written.
    pub answered_ms: Option<f64>,
    /// Whether the answer said that the server is leaving.
    pub is_leaving: bool,
    /// Time without requests that the answer asked for, in seconds.
    pub retry_after: Option<f64>,
}

/// Answer of `GET /arrivals`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrivals {
    /// Requests in the order in which they arrived.
    pub arrivals: Vec<Arrival>,
    /// Time of this answer, in milliseconds since the start of the process.
    pub now_ms: f64,
}

/// Answer of `GET /record`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Requests in the order in which they began.
    pub entries: Vec<Entry>,
    /// Number of the last request; `after` of the next call.
    pub last: u64,
}

#[derive(Debug, Default)]
struct Entries {
    /// Number of the last entry that a reset removed.
    base: u64,
    list: Vec<Entry>,
}

/// The request record, shared by all servers.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    entries: Mutex<Entries>,
    arrivals: Mutex<Vec<Arrival>>,
}

impl Record {
    /// Returns an empty record whose times count from `start`.
    pub fn new(start: Instant) -> Self {
        Record {
            start,
            entries: Mutex::default(),
            arrivals: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the milliseconds since the start.
    pub fn elapsed_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    /// Records the arrival of a request and returns its number.
    pub fn arrive(&self, id: &str, server: usize) -> usize {
        let mut arrivals = self.lock_arrivals();
        arrivals.push(Arrival {
            id: id.to_owned(),
            server,
            at_ms: self.elapsed_ms(),
            answered_ms: None,
            is_leaving: false,
            retry_after: None,
        });
        arrivals.len() - 1
    }

    /// Records what the answer to the arrival `number` says. A request that
    /// arrived before a reset is no longer listed.
    pub fn answer(&self, number: usize, is_leaving: bool, retry_after: Option<f64>) {
        if let Some(arrival) = self.lock_arrivals().get_mut(number) {
            arrival.answered_ms = Some(self.elapsed_ms());
            arrival.is_leaving = is_leaving;
            arrival.retry_after = retry_after;
        }
    }

    /// Returns the arrivals.
    pub fn arrivals(&self) -> Arrivals {
        Arrivals {
            arrivals: self.lock_arrivals().clone(),
            now_ms: self.elapsed_ms(),
        }
    }

    fn lock_arrivals(&self) -> MutexGuard<'_, Vec<Arrival>> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of a request. It is recorded as cancelled if the
    /// returned value is dropped without a call of [`Begun::finish`].
    pub fn begin(
        self: &Arc<Self>,
        id: Option<String>,
        key: Option<String>,
        class: String,
        server: usize,
    ) -> Begun {
        let start_ms = self.elapsed_ms();
        let mut entries = self.lock();
        let number = entries.base + entries.list.len() as u64 + 1;
        entries.list.push(Entry {
            number,
            id,
            key,
            class,
            server,
            start_ms,
            end_ms: None,
            state: State::Running,
        });
        Begun {
            record: Arc::clone(self),
            number,
            state: State::Cancelled,
        }
    }

    fn end(&self, number: u64, state: State) {
        let end_ms = self.elapsed_ms();
        let mut entries = self.lock();
        let base = entries.base;
        // A request that began before a reset is no longer listed.
        if let Some(entry) = number
            .checked_sub(base + 1)
            .and_then(|index| entries.list.get_mut(usize::try_from(index).ok()?))
        {
            entry.end_ms = Some(end_ms);
            entry.state = state;
        }
    }

    /// Returns the entries with a number greater than `number`.
    pub fn after(&self, number: u64) -> Page {
        let entries = self.lock();
        let skip = usize::try_from(number.saturating_sub(entries.base)).unwrap_or(usize::MAX);
        Page {
            entries: entries.list.iter().skip(skip).cloned().collect(),
            last: entries.base + entries.list.len() as u64,
        }
    }

    /// Removes all entries. Numbering continues.
    pub fn reset(&self) {
        let mut entries = self.lock();
        entries.base += entries.list.len() as u64;
        entries.list.clear();
        self.lock_arrivals().clear();
    }
}

/// A request that has begun and not ended; recorded as ended on drop.
#[derive(Debug)]
pub struct Begun {
    record: Arc<Record>,
    number: u64,
    state: State,
}

impl Begun {
    /// Records that the request completed.
    pub fn finish(mut self) {
        self.state = State::Finished;
    }
}

impl Drop for Begun {
    fn drop(&mut self) {
        self.record.end(self.number, self.state);
    }
}
