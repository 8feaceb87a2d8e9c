//! Record of the requests that the servers began.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use serde::{Deserialize, Serialize};

/// How a begun request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It runs.
    Running,
    /// It ran to its end; the answer may still have been lost or cut.
    Finished,
    /// It was cancelled because its connection closed or its deadline passed.
    Cancelled,
}

/// A begun request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Number in the order of the beginnings, from 1.
    pub number: u64,
    /// `x-request-id`.
    pub id: Option<String>,
    /// `idempotency-key`.
    pub key: Option<String>,
    /// `x-class`, or the first segment of the path.
    pub class: String,
    /// Server number from 0.
    pub server: usize,
    /// Beginning in milliseconds since the start of the process.
    pub start_ms: f64,
    /// End in milliseconds since the start of the process.
    pub end_ms: Option<f64>,
    /// How it stands.
    pub state: State,
}

/// Answer of `GET /record`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Begun requests in the order of their beginnings.
    pub entries: Vec<Entry>,
    /// Number of the last request, for the next call's `after`.
    pub last: u64,
}

#[derive(Debug, Default)]
struct Entries {
    /// Number of the entry before the first.
    base: u64,
    list: Vec<Entry>,
}

/// The record, shared by all servers.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    entries: Mutex<Entries>,
}

impl Record {
    /// An empty record; times count from `start`.
    pub fn new(start: Instant) -> Self {
        Record {
            start,
            entries: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Milliseconds since the start.
    pub fn elapsed_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    /// Records a beginning. Without a call of [`Begun::finish`] it counts as
    /// cancelled when the returned value is dropped.
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

    /// Entries after a number.
    pub fn after(&self, number: u64) -> Page {
        let entries = self.lock();
        let skip = usize::try_from(number.saturating_sub(entries.base)).unwrap_or(usize::MAX);
        Page {
            entries: entries.list.iter().skip(skip).cloned().collect(),
            last: entries.base + entries.list.len() as u64,
        }
    }

    /// Forgets all entries. Numbers go on.
    pub fn reset(&self) {
        let mut entries = self.lock();
        entries.base += entries.list.len() as u64;
        entries.list.clear();
    }
}

/// A request that has begun and not ended.
#[derive(Debug)]
pub struct Begun {
    record: Arc<Record>,
    number: u64,
    state: State,
}

impl Begun {
    /// Records the end of a request that ran to its end.
    pub fn finish(mut self) {
        self.state = State::Finished;
    }
}

impl Drop for Begun {
    fn drop(&mut self) {
        self.record.end(self.number, self.state);
    }
}
