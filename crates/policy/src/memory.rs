//! Memory that the bodies in flight on one host may hold.
//!
//! Answers without end, callers that read slowly and uploads that stop midway all
//! leave a body in memory for as long as their deadline allows. Many of them at a
//! time would exceed what the host may use, and every request on it would be lost.
//!
//! All bodies share one [`Budget`] with a dynamic threshold: a body may hold at
//! most a fixed share of what is free at that moment. A single body on an idle
//! host gets all that it can use; the more bodies hold memory, the less each may
//! hold, and a part stays free, so that a small body always finds room. What a
//! body holds is a [`Permit`], which returns it when it is dropped.
//!
//! Bodies that come from the same place, such as the answers of one backend server,
//! have a second threshold of the same form for all of them together, their
//! [`Source`]. The many answers of a faulty server leave most of the budget to the
//! others.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

/// Limits of a [`Budget`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Bytes that all bodies may hold together.
    pub limit_bytes: usize,
    /// Maximum share of the free bytes that one body may hold.
    pub share: f64,
    /// Maximum share of the bytes that others leave free that the bodies of one
    /// source may hold together.
    pub source_share: f64,
    /// Bytes that one body may hold if there is no other. Where the shares allow
    /// less, they are increased, so that a small host refuses no usual body.
    pub single_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            limit_bytes: 64 << 20,
            share: 1.0 / 16.0,
            source_share: 1.0 / 4.0,
            single_bytes: 2 << 20,
        }
    }
}

/// The memory of the bodies in flight. Clones share it.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    limit: usize,
    share: f64,
    source_share: f64,
    usage: Mutex<Usage>,
}

/// Bytes that are held now, and the most that were held at a time.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    held: usize,
    peak: usize,
}

/// Where bodies come from that share a bound. Clones are the same source.
#[derive(Clone, Debug, Default)]
pub struct Source(
    /// Bytes that its bodies hold; changed only while the usage of the budget is
    /// locked.
    Arc<AtomicUsize>,
);

impl Source {
    /// Returns the bytes that its bodies hold now.
    pub fn held(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Budget {
    /// Creates a budget of which nothing is held.
    pub fn new(settings: &Settings) -> Self {
        let needed = settings.single_bytes as f64 / settings.limit_bytes.max(1) as f64;
        Self(Arc::new(Shared {
            limit: settings.limit_bytes,
            share: settings.share.max(needed).clamp(0.0, 1.0),
            source_share: settings.source_share.max(needed).clamp(0.0, 1.0),
            usage: Mutex::default(),
        }))
    }

    /// Returns a permit that holds nothing yet, of a body without a source.
    pub fn permit(&self) -> Permit {
        self.permit_of(None)
    }

    /// Returns a permit that holds nothing yet, of a body of `source`.
    pub fn permit_of(&self, source: Option<&Source>) -> Permit {
        Permit {
            budget: self.clone(),
            source: source.cloned(),
            held: 0,
        }
    }

    /// Returns the bytes held now.
    pub fn held(&self) -> usize {
        self.usage().held
    }

    /// Returns the most bytes that were held at a time.
    pub fn peak(&self) -> usize {
        self.usage().peak
    }

    /// Returns the bytes that one more body without a source may hold.
    pub fn allowance(&self) -> usize {
        self.part(self.held(), self.0.share)
    }

    /// Returns `share` of the bytes that are free while `others` are held.
    fn part(&self, others: usize, share: f64) -> usize {
        let free = self.0.limit.saturating_sub(others);
        (free as f64 * share) as usize
    }

    fn usage(&self) -> MutexGuard<'_, Usage> {
        self.0.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes of a [`Budget`] that one body holds, returned when this is dropped.
#[derive(Debug)]
pub struct Permit {
    budget: Budget,
    source: Option<Source>,
    held: usize,
}

impl Permit {
    /// Returns the bytes that this permit may hold now.
    pub fn allowance(&self) -> usize {
        self.allowance_of(*self.budget.usage())
    }

    fn allowance_of(&self, usage: Usage) -> usize {
        let budget = &self.budget;
        let single = budget.part(usage.held - self.held, budget.0.share);
        let Some(source) = &self.source else {
            return single;
        };
        let of_source = budget.part(usage.held - source.held(), budget.0.source_share);
        single.min(of_source.saturating_sub(source.held() - self.held))
    }

    /// Returns the bytes that this permit holds.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Holds `bytes` in all, more or less than before. Returns whether the budget
    /// allows that; if not, the permit holds what it held. Less is always allowed.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        let mut usage = self.budget.usage();
        if bytes > self.held && bytes > self.allowance_of(*usage) {
            return false;
        }
        usage.held = usage.held - self.held + bytes;
        usage.peak = usage.peak.max(usage.held);
        if let Some(source) = &self.source {
            let held = source.held() - self.held + bytes;
            source.0.store(held, Ordering::Relaxed);
        }
        drop(usage);
        self.held = bytes;
        true
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let _ = self.resize(0);
    }
}

/// The sources of a host by the key of their backend server.
#[derive(Debug, Default)]
pub struct Sources {
    by_key: HashMap<u64, Source>,
    /// Number of sources from which the unused ones are removed.
    limit: usize,
}

impl Sources {
    /// Number of sources that are kept without a search for unused ones.
    const MIN_LIMIT: usize = 64;

    /// Returns the source of `key`.
    pub fn get(&mut self, key: u64) -> Source {
        if self.by_key.len() >= self.limit.max(Self::MIN_LIMIT) {
            self.by_key
                .retain(|_, source| Arc::strong_count(&source.0) > 1);
            self.limit = 2 * self.by_key.len();
        }
        self.by_key.entry(key).or_default().clone()
    }

    /// Returns the number of sources that are kept.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns whether no source is kept.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }
}

/// Decides when the allocator should return free memory to the system. It keeps
/// what many large bodies have used, which counts as used by the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reclaim {
    /// Most bytes held since memory was returned.
    high: usize,
    /// Since when only a small part of that is held.
    low_since: Option<Instant>,
}

impl Reclaim {
    /// Bytes held at a time from which returning them is worth its cost.
    const MIN_BYTES: usize = 8 << 20;

    /// Time for which most must have been free. Connections end soon after their
    /// bodies.
    const SETTLE_TIME: Duration = Duration::from_secs(1);

    /// Takes over the bytes that bodies hold at `now`. Returns whether to return
    /// memory: once most of what was held has been free for a while.
    pub fn update(&mut self, now: Instant, held: usize) -> bool {
        self.high = self.high.max(held);
        if self.high < Self::MIN_BYTES || held >= self.high / 4 {
            self.low_since = None;
            return false;
        }
        let since = *self.low_since.get_or_insert(now);
        if now.saturating_duration_since(since) < Self::SETTLE_TIME {
            return false;
        }
        *self = Self::default();
        true
    }
}

/// Whether memory is short, with hysteresis.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Strain(bool);

impl Strain {
    /// Allowance, in bytes, below which memory is short: a body that is usually
    /// buffered whole can't be.
    const BEGIN_BYTES: usize = 1 << 20;

    /// Allowance, in bytes, from which it is sufficient again.
    const END_BYTES: usize = 2 << 20;

    /// Takes over the allowance of the budget. Returns whether memory is short if
    /// that has changed.
    pub fn update(&mut self, allowance: usize) -> Option<bool> {
        let bound = if self.0 {
            Self::END_BYTES
        } else {
            Self::BEGIN_BYTES
        };
        let is_short = allowance < bound;
        if is_short == self.0 {
            return None;
        }
        self.0 = is_short;
        Some(is_short)
    }
}
