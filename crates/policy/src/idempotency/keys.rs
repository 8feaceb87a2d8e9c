//! Records of a key range, and the decision on a begin.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use super::{Begin, Horizon, Outcome, Record, Settings, Verdict};

/// The records of one range.
#[derive(Default)]
pub(super) struct Keys {
    records: HashMap<Arc<str>, Record>,
    /// Keys by the expiry time of their record, soonest first.
    by_expiry: BTreeSet<(u64, Arc<str>)>,
    /// UUID version 7 keys by creation time, oldest first.
    by_creation: BTreeSet<(u64, Arc<str>)>,
    pub(super) horizon: Horizon,
}

/// Returns the creation time of a UUID version 7 key in milliseconds since the
/// Unix epoch, or `None` for any other key.
fn creation_time(key: &str) -> Option<u64> {
    let bytes = key.as_bytes();
    let is_well_formed = bytes.len() == 36
        && bytes.iter().enumerate().all(|(n, byte)| match n {
            8 | 13 | 18 | 23 => *byte == b'-',
            14 => *byte == b'7',
            19 => b"89abAB".contains(byte),
            _ => byte.is_ascii_hexdigit(),
        });
    if !is_well_formed {
        return None;
    }
    let high = u64::from_str_radix(&key[..8], 16).ok()?;
    let low = u64::from_str_radix(&key[9..13], 16).ok()?;
    Some(high << 16 | low)
}

fn millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Keys {
    pub(super) fn new(horizon: Horizon, records: Vec<(Arc<str>, Record)>) -> Self {
        let mut keys = Self {
            horizon,
            ..Self::default()
        };
        for (key, record) in records {
            keys.insert(key, record);
        }
        keys
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn records(&self) -> Vec<(Arc<str>, Record)> {
        let mut records: Vec<_> = self
            .records
            .iter()
            .map(|(key, record)| (Arc::clone(key), record.clone()))
            .collect();
        records.sort_unstable_by(|left, right| left.0.cmp(&right.0));
        records
    }

    fn insert(&mut self, key: Arc<str>, record: Record) {
        self.by_expiry.insert((record.expires, Arc::clone(&key)));
        if let Some(created) = creation_time(&key) {
            self.by_creation.insert((created, Arc::clone(&key)));
        }
        self.records.insert(key, record);
    }

    fn remove(&mut self, key: &Arc<str>) {
        if let Some(record) = self.records.remove(key) {
            self.by_expiry.remove(&(record.expires, Arc::clone(key)));
            if let Some(created) = creation_time(key) {
                self.by_creation.remove(&(created, Arc::clone(key)));
            }
        }
    }

    /// Removes the records that have expired.
    pub(super) fn remove_expired(&mut self, wall: u64) {
        while let Some((expires, key)) = self.by_expiry.first()
            && *expires < wall
        {
            let key = Arc::clone(key);
            self.remove(&key);
        }
    }

    /// Evicts the record of the oldest UUID version 7 key and moves the horizon
    /// up to its creation time. Returns false if there is no such key.
    fn evict_oldest(&mut self) -> bool {
        let Some((created, key)) = self.by_creation.first().cloned() else {
            return false;
        };
        self.horizon.created_until = self.horizon.created_until.max(created);
        self.remove(&key);
        true
    }

    /// Returns the verdict on a key under a valid lease, and records the key if
    /// it may be begun. `is_full` says that the maximum number of records is
    /// reached.
    pub(super) fn begin(
        &mut self,
        settings: &Settings,
        wall: u64,
        begin: &Begin,
        is_full: bool,
    ) -> Verdict {
        self.remove_expired(wall);
        if let Some(record) = self.records.get(&begin.key) {
            if record.fingerprint != begin.fingerprint {
                return Verdict::Mismatch;
            }
            return match record.outcome {
                None if record.attempt == begin.attempt => Verdict::Begin,
                None => Verdict::InProgress,
                Some(Outcome::Done { status }) => Verdict::Done { status },
                Some(Outcome::Unknown | Outcome::NotRun) => Verdict::Unknown,
            };
        }
        let (window, skew) = (
            millis(settings.repeat_window),
            millis(settings.max_clock_skew),
        );
        let created = creation_time(&begin.key);
        if let Some(created) = created {
            if created > wall + skew {
                return Verdict::TooNew;
            }
            if created + window < wall {
                return Verdict::TooOld;
            }
        }
        let is_in_horizon = match created {
            Some(created) => created <= self.horizon.created_until,
            // Any such key may have been begun within the window before the
            // records were lost.
            None => self.horizon.begun_until > 0 && wall <= self.horizon.begun_until + window,
        };
        if is_in_horizon {
            return Verdict::Unknown;
        }
        if is_full && !self.evict_oldest() {
            return Verdict::Full;
        }
        let record = Record {
            fingerprint: begin.fingerprint,
            attempt: begin.attempt,
            // The record outlives the window by the clock skew of later owners,
            // so that the key is too old for them before its record is removed.
            expires: created.unwrap_or(0).max(wall) + window + 2 * skew,
            outcome: None,
        };
        self.insert(Arc::clone(&begin.key), record);
        Verdict::Begin
    }

    /// Records the outcome of an attempt in progress.
    pub(super) fn end(&mut self, key: &str, attempt: u64, outcome: Outcome) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        if record.attempt != attempt || record.outcome.is_some() {
            return;
        }
        if outcome == Outcome::NotRun {
            self.remove(&Arc::from(key));
        } else {
            record.outcome = Some(outcome);
        }
    }
}
