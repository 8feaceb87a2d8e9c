//! The records of one range and the verdicts on its keys.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use super::{Begin, Horizon, Outcome, Record, Settings, Verdict};

/// The records of one range.
#[derive(Default)]
pub(super) struct Keys {
    records: HashMap<Arc<str>, Record>,
    /// Expiry times of the records, soonest first.
    expiries: BTreeSet<(u64, Arc<str>)>,
    /// Creation times of the version 7 keys, oldest first.
    made: BTreeSet<(u64, Arc<str>)>,
    pub(super) horizon: Horizon,
}

/// Creation time of a version 7 UUID, in milliseconds since the Unix epoch.
fn made(key: &str) -> Option<u64> {
    let bytes = key.as_bytes();
    let shaped = bytes.len() == 36
        && bytes.iter().enumerate().all(|(n, byte)| match n {
            8 | 13 | 18 | 23 => *byte == b'-',
            14 => *byte == b'7',
            19 => b"89abAB".contains(byte),
            _ => byte.is_ascii_hexdigit(),
        });
    if !shaped {
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
        self.expiries.insert((record.expires, Arc::clone(&key)));
        if let Some(made) = made(&key) {
            self.made.insert((made, Arc::clone(&key)));
        }
        self.records.insert(key, record);
    }

    fn remove(&mut self, key: &Arc<str>) {
        if let Some(record) = self.records.remove(key) {
            self.expiries.remove(&(record.expires, Arc::clone(key)));
            if let Some(made) = made(key) {
                self.made.remove(&(made, Arc::clone(key)));
            }
        }
    }

    /// Drops the records whose repeat window is over.
    pub(super) fn expire(&mut self, wall: u64) {
        while let Some((expires, key)) = self.expiries.first()
            && *expires < wall
        {
            let key = Arc::clone(key);
            self.remove(&key);
        }
    }

    /// Makes room by giving up the oldest key that has a creation time. From
    /// then on nothing is vouched for up to that time.
    fn drop_oldest(&mut self) -> bool {
        let Some((made, key)) = self.made.first().cloned() else {
            return false;
        };
        self.horizon.created_until = self.horizon.created_until.max(made);
        self.remove(&key);
        true
    }

    /// The verdict on a key under a valid lease. `full` says that there is no
    /// memory for another record.
    pub(super) fn begin(
        &mut self,
        settings: &Settings,
        wall: u64,
        begin: &Begin,
        full: bool,
    ) -> Verdict {
        self.expire(wall);
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
        let made = made(&begin.key);
        if let Some(made) = made {
            if made > wall + skew {
                return Verdict::TooNew;
            }
            if made + window < wall {
                return Verdict::TooOld;
            }
        }
        let lost = match made {
            Some(made) => made <= self.horizon.created_until,
            // It may be any key that was begun within the window before the
            // records were lost.
            None => self.horizon.begun_until > 0 && wall <= self.horizon.begun_until + window,
        };
        if lost {
            return Verdict::Unknown;
        }
        if full && !self.drop_oldest() {
            return Verdict::Full;
        }
        let record = Record {
            fingerprint: begin.fingerprint,
            attempt: begin.attempt,
            // The record outlives the window by the skew of a later owner's
            // clock, so that the key is too old there before it is dropped.
            expires: made.unwrap_or(0).max(wall) + window + 2 * skew,
            outcome: None,
        };
        self.insert(Arc::clone(&begin.key), record);
        Verdict::Begin
    }

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
