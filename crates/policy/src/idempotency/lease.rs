//! Acquisition, renewal and handover of the leases of one daemon.

use std::{
    sync::Arc,
    time::{Instant, SystemTime},
};

use super::{
    Action, Begin, Ended, Event, Handover, Horizon, Outcome, RANGES, Row, Settings, Successor,
    Verdict, Written,
    keys::Keys,
    range,
    state::{Lease, PendingWrite, Phase, Range, StagedRecords},
};
use crate::rendezvous;

/// The key ranges of one daemon.
pub struct Idempotency {
    settings: Settings,
    host: Arc<str>,
    incarnation: u64,
    members: Vec<Arc<str>>,
    is_stopping: bool,
    ranges: Vec<Range>,
}

fn millis(wall: SystemTime) -> u64 {
    wall.duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |time| {
            u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
        })
}

/// Returns the horizon of a successor to an owner whose records are lost. That
/// owner began keys created up to the maximum skew ahead of its clock, which
/// may itself be the maximum skew ahead of this daemon's.
fn horizon(settings: &Settings, wall: SystemTime) -> Horizon {
    let until = millis(wall + 2 * settings.max_clock_skew);
    Horizon {
        created_until: until,
        begun_until: until,
    }
}

fn owner(members: &[Arc<str>], range: u16) -> Option<&str> {
    rendezvous::owner(&Row::key(range), members.iter().map(|host| &**host))
}

impl Idempotency {
    /// Creates the state of a daemon without leases.
    pub fn new(host: Arc<str>, incarnation: u64, settings: Settings) -> Self {
        Self {
            settings,
            host,
            incarnation,
            members: Vec::new(),
            is_stopping: false,
            ranges: (0..RANGES).map(|_| Range::default()).collect(),
        }
    }

    /// Returns the daemon that should own the range of `key`.
    pub fn owner(&self, key: &str) -> Option<&str> {
        owner(&self.members, range(key))
    }

    /// Returns the number of leases held, valid or expired. A planned shutdown
    /// is complete at 0.
    pub fn held_ranges(&self) -> usize {
        let is_held = |range: &&Range| range.lease.is_some();
        self.ranges.iter().filter(is_held).count()
    }

    /// Returns the number of records under all leases held.
    pub fn record_count(&self) -> usize {
        let leases = self.ranges.iter().filter_map(|range| range.lease.as_ref());
        leases.map(|lease| lease.keys.len()).sum()
    }

    /// Decides whether a request with this key may be sent. Both clocks must be
    /// read immediately before the call, since the process may have been paused
    /// after an earlier reading.
    pub fn begin(&mut self, now: Instant, wall: SystemTime, begin: &Begin) -> Verdict {
        let n = range(&begin.key);
        let is_full = self.record_count() >= self.settings.max_records;
        let is_owner = owner(&self.members, n) == Some(&*self.host);
        let Some(lease) = &mut self.ranges[usize::from(n)].lease else {
            return if is_owner {
                Verdict::Unfenced
            } else {
                Verdict::NotOwner
            };
        };
        if now >= lease.valid_until || lease.phase != Phase::Serving {
            return Verdict::Unfenced;
        }
        lease
            .keys
            .begin(&self.settings, millis(wall), begin, is_full)
    }

    /// Records the outcome of an attempt.
    pub fn end(&mut self, key: &str, attempt: u64, outcome: Outcome) -> Ended {
        let range = &mut self.ranges[usize::from(range(key))];
        match (&mut range.lease, &mut range.staged) {
            (Some(lease), _) if lease.phase == Phase::Serving => {
                lease.keys.end(key, attempt, outcome);
                Ended::Recorded
            }
            (None, Some(staged)) => {
                staged.keys.end(key, attempt, outcome);
                Ended::Recorded
            }
            _ => Ended::NotOwner,
        }
    }

    /// Processes one event and returns the operations that it requires.
    pub fn handle(&mut self, now: Instant, wall: SystemTime, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, wall, &mut actions),
            Event::Members(members) => self.members = members,
            Event::Stop => self.is_stopping = true,
            Event::Read { range, row } => {
                self.ranges[usize::from(range)].is_reading = false;
                self.observe_row(now, wall, range, row);
            }
            Event::ReadFailed { range } => {
                let retry = now + self.settings.retry_interval;
                let range = &mut self.ranges[usize::from(range)];
                range.is_reading = false;
                range.next_try = Some(retry);
            }
            Event::Written { range, row, result } => {
                self.write_ended(now, wall, range, &row, result)
            }
            Event::Handover(handover) => self.accept_handover(handover),
            Event::HandedOver { range, receiver } => self.handover_ended(range, receiver),
        }
        actions
    }

    fn tick(&mut self, now: Instant, wall: SystemTime, actions: &mut Vec<Action>) {
        for n in 0..RANGES {
            let is_wanted = owner(&self.members, n) == Some(&*self.host) && !self.is_stopping;
            let range = &mut self.ranges[usize::from(n)];
            if let Some(lease) = &mut range.lease {
                lease.keys.remove_expired(millis(wall));
                if !is_wanted && lease.phase == Phase::Serving && now < lease.valid_until {
                    self.hand_over(n, actions);
                }
                self.renew(now, n, actions);
            } else if is_wanted {
                self.claim(now, n, actions);
            }
        }
    }

    /// Starts the handover of a range to the other daemon that should own it.
    fn hand_over(&mut self, n: u16, actions: &mut Vec<Action>) {
        let others: Vec<_> = self
            .members
            .iter()
            .filter(|host| **host != self.host)
            .cloned()
            .collect();
        let Some(to) = owner(&others, n).map(Arc::from) else {
            return;
        };
        if let Some(lease) = &mut self.ranges[usize::from(n)].lease {
            lease.handover_count += 1;
            lease.phase = Phase::HandingOver(Arc::clone(&to), lease.handover_count);
            let handover = Handover {
                range: n,
                term: lease.row.term,
                number: lease.handover_count,
                horizon: lease.keys.horizon,
                records: lease.keys.records(),
            };
            actions.push(Action::Handover { to, handover });
        }
    }

    /// Stages received records until the release by their owner is observed. A
    /// delayed handover must not replace a later one.
    fn accept_handover(&mut self, handover: Handover) {
        let range = &mut self.ranges[usize::from(handover.range % RANGES)];
        let order = (handover.term, handover.number);
        let is_newer = |staged: &StagedRecords| order > (staged.term, staged.number);
        if range.lease.is_none() && range.staged.as_ref().is_none_or(is_newer) {
            range.staged = Some(StagedRecords {
                term: handover.term,
                number: handover.number,
                keys: Keys::new(handover.horizon, handover.records),
            });
            range.next_try = None;
        }
    }

    fn handover_ended(&mut self, n: u16, receiver: Option<u64>) {
        let Some(lease) = &mut self.ranges[usize::from(n)].lease else {
            return;
        };
        let Phase::HandingOver(to, number) = &lease.phase else {
            return;
        };
        lease.phase = match receiver {
            Some(incarnation) => Phase::Releasing(Successor {
                host: Arc::clone(to),
                incarnation,
                number: *number,
            }),
            None => Phase::Serving,
        };
    }

    /// Renews or releases the lease of a range when that is due.
    fn renew(&mut self, now: Instant, n: u16, actions: &mut Vec<Action>) {
        let range = &mut self.ranges[usize::from(n)];
        let Some(lease) = &mut range.lease else {
            return;
        };
        let is_releasing = matches!(lease.phase, Phase::Releasing(_));
        let is_due =
            now >= lease.next_renew || (is_releasing && range.next_try.is_none_or(|at| now >= at));
        if !is_due || range.pending_write.is_some() {
            return;
        }
        lease.last_counter += 1;
        let mut row = Row {
            counter: lease.last_counter,
            ..lease.row.clone()
        };
        if let Phase::Releasing(successor) = &lease.phase {
            row.released = true;
            row.successor = Some(successor.clone());
        }
        range.next_try = Some(now + self.settings.retry_interval);
        lease.next_renew = now + self.settings.renew_interval;
        range.pending_write = Some(PendingWrite {
            started: now,
            row: row.clone(),
        });
        actions.push(Action::Write {
            range: n,
            expect: Some(lease.row.clone()),
            row,
        });
    }

    /// Takes the next step to acquire the lease of a range: a read of its row
    /// or, if the row is free, the write that claims it.
    fn claim(&mut self, now: Instant, n: u16, actions: &mut Vec<Action>) {
        let takeover_delay = self.settings.takeover_delay;
        let range = &mut self.ranges[usize::from(n)];
        if range.pending_write.is_some() || range.is_reading {
            return;
        }
        if let Some((row, since)) = &range.observed {
            let is_free = match row {
                None => true,
                Some(row) => row.released || now.duration_since(*since) >= takeover_delay,
            };
            // A row that was not read recently is read again before a claim is
            // written.
            if is_free && range.next_try.is_some_and(|at| now < at) {
                let row = row.clone();
                let new = Row {
                    owner: Arc::clone(&self.host),
                    incarnation: self.incarnation,
                    term: row.as_ref().map_or(0, |row| row.term) + 1,
                    counter: row.as_ref().map_or(0, |row| row.counter) + 1,
                    released: false,
                    successor: None,
                };
                range.replaced_row = Some(row.clone());
                range.pending_write = Some(PendingWrite {
                    started: now,
                    row: new.clone(),
                });
                actions.push(Action::Write {
                    range: n,
                    expect: row,
                    row: new,
                });
                return;
            }
        }
        if range.next_try.is_none_or(|at| now >= at) {
            range.is_reading = true;
            range.next_try = Some(now + self.settings.retry_interval);
            actions.push(Action::Read { range: n });
        }
    }

    fn is_own_row(&self, row: &Row) -> bool {
        row.owner == self.host && row.incarnation == self.incarnation
    }

    fn write_ended(&mut self, now: Instant, wall: SystemTime, n: u16, row: &Row, result: Written) {
        let range = &mut self.ranges[usize::from(n)];
        let Some(writing) = range.pending_write.take_if(|writing| writing.row == *row) else {
            return;
        };
        match result {
            Written::Applied => {
                self.observe_row(now, wall, n, Some(writing.row));
                let lease_duration = self.settings.lease_duration;
                if let Some(lease) = &mut self.ranges[usize::from(n)].lease {
                    lease.valid_until = writing.started + lease_duration;
                    lease.next_renew = writing.started + self.settings.renew_interval;
                }
            }
            Written::Conflict(current) => self.observe_row(now, wall, n, current),
            // An owner retries with the next counter; a claimant reads the row
            // again.
            Written::Unknown => {
                let retry = now + self.settings.retry_interval;
                range.next_try = Some(retry);
                if let Some(lease) = &mut range.lease {
                    lease.next_renew = retry;
                }
            }
        }
    }

    /// Processes the content that a row had at some time before `now`.
    fn observe_row(&mut self, now: Instant, wall: SystemTime, n: u16, row: Option<Row>) {
        let retry = now + self.settings.retry_interval;
        let is_own = row.as_ref().is_some_and(|row| self.is_own_row(row));
        let range = &mut self.ranges[usize::from(n)];
        if !range
            .observed
            .as_ref()
            .is_some_and(|(observed, _)| *observed == row)
        {
            range.observed = Some((row.clone(), now));
        }
        let row = match row {
            Some(row) if is_own && !row.released => row,
            _ => {
                // Released, or claimed by another daemon.
                range.lease = None;
                range.next_try = Some(retry);
                let term = range.observed.iter().filter_map(|(row, _)| row.as_ref());
                let term = term.map(|row| row.term).max().unwrap_or(0);
                range.staged.take_if(|staged| staged.term < term);
                return;
            }
        };
        if let Some(lease) = &mut range.lease {
            if lease.row.term == row.term {
                if row.counter > lease.row.counter {
                    lease.row = row;
                }
                // After a conflict with an earlier write that took effect late,
                // the next write is due immediately.
                lease.next_renew = now;
                return;
            }
            range.lease = None;
        }
        // The claim took effect. If the answer to its write was lost, the lease
        // counts as expired until the next renewal.
        let Some(from) = range.replaced_row.take() else {
            return;
        };
        let staged = range.staged.take();
        let keys = from.map(|from| {
            let is_current = |staged: &StagedRecords| {
                let successor = Successor {
                    host: Arc::clone(&self.host),
                    incarnation: self.incarnation,
                    number: staged.number,
                };
                from.released && from.term == staged.term && from.successor == Some(successor)
            };
            staged.filter(is_current).map_or_else(
                || Keys::new(horizon(&self.settings, wall), Vec::new()),
                |staged| staged.keys,
            )
        });
        let keys = keys.unwrap_or_default();
        range.lease = Some(Lease {
            last_counter: row.counter,
            row,
            valid_until: now,
            next_renew: now,
            keys,
            handover_count: 0,
            phase: Phase::Serving,
        });
    }
}
