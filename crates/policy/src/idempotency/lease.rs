//! The leases of one daemon.

use std::{
    sync::Arc,
    time::{Instant, SystemTime},
};

use super::{
    Action, Begin, Ended, Event, Handover, Horizon, Outcome, RANGES, Row, Settings, Successor,
    Verdict, Written,
    keys::Keys,
    range,
    state::{Lease, Range, Stage, Staged, Writing},
};
use crate::rendezvous;

/// Key ranges as one daemon holds them.
pub struct Idempotency {
    settings: Settings,
    host: Arc<str>,
    incarnation: u64,
    members: Vec<Arc<str>>,
    stopping: bool,
    ranges: Vec<Range>,
}

fn millis(wall: SystemTime) -> u64 {
    wall.duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |time| {
            u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
        })
}

/// What the successor of an owner whose records are lost cannot vouch for.
/// That owner began keys made up to the skew ahead of its clock, which may be
/// the skew ahead of this daemon's.
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
    /// A daemon without leases.
    pub fn new(host: Arc<str>, incarnation: u64, settings: Settings) -> Self {
        Self {
            settings,
            host,
            incarnation,
            members: Vec::new(),
            stopping: false,
            ranges: (0..RANGES).map(|_| Range::default()).collect(),
        }
    }

    /// The daemon that should own the range of `key`.
    pub fn owner(&self, key: &str) -> Option<&str> {
        owner(&self.members, range(key))
    }

    /// Ranges held, valid or not. A planned stop is complete at 0.
    pub fn held_ranges(&self) -> usize {
        let held = |range: &&Range| range.lease.is_some();
        self.ranges.iter().filter(held).count()
    }

    /// Records in memory.
    pub fn record_count(&self) -> usize {
        let leases = self.ranges.iter().filter_map(|range| range.lease.as_ref());
        leases.map(|lease| lease.keys.len()).sum()
    }

    /// Whether a request with this key may be sent. The readings must be
    /// taken at the time of the call, since a daemon may have been paused.
    pub fn begin(&mut self, now: Instant, wall: SystemTime, begin: &Begin) -> Verdict {
        let n = range(&begin.key);
        let full = self.record_count() >= self.settings.max_records;
        let own = owner(&self.members, n) == Some(&*self.host);
        let Some(lease) = &mut self.ranges[usize::from(n)].lease else {
            return if own {
                Verdict::Unfenced
            } else {
                Verdict::NotOwner
            };
        };
        if now >= lease.valid_until || lease.stage != Stage::Serving {
            return Verdict::Unfenced;
        }
        lease.keys.begin(&self.settings, millis(wall), begin, full)
    }

    /// Records how an attempt ended.
    pub fn end(&mut self, key: &str, attempt: u64, outcome: Outcome) -> Ended {
        let range = &mut self.ranges[usize::from(range(key))];
        match (&mut range.lease, &mut range.staged) {
            (Some(lease), _) if lease.stage == Stage::Serving => {
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

    /// Takes one event into account.
    pub fn handle(&mut self, now: Instant, wall: SystemTime, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, wall, &mut actions),
            Event::Members(members) => self.members = members,
            Event::Stop => self.stopping = true,
            Event::Read { range, row } => {
                self.ranges[usize::from(range)].reading = false;
                self.known(now, wall, range, row);
            }
            Event::ReadFailed { range } => {
                let retry = now + self.settings.retry_interval;
                let range = &mut self.ranges[usize::from(range)];
                range.reading = false;
                range.next_try = Some(retry);
            }
            Event::Written { range, row, result } => self.written(now, wall, range, &row, result),
            Event::Handover(handover) => self.stage(handover),
            Event::HandedOver { range, receiver } => self.handed_over(range, receiver),
        }
        actions
    }

    fn tick(&mut self, now: Instant, wall: SystemTime, actions: &mut Vec<Action>) {
        for n in 0..RANGES {
            let wanted = owner(&self.members, n) == Some(&*self.host) && !self.stopping;
            let range = &mut self.ranges[usize::from(n)];
            if let Some(lease) = &mut range.lease {
                lease.keys.expire(millis(wall));
                if !wanted && lease.stage == Stage::Serving && now < lease.valid_until {
                    self.hand_over(n, actions);
                }
                self.renew(now, n, actions);
            } else if wanted {
                self.claim(now, n, actions);
            }
        }
    }

    /// Begins to move a range to the daemon that should own it now.
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
            lease.handovers += 1;
            lease.stage = Stage::HandingOver(Arc::clone(&to), lease.handovers);
            let handover = Handover {
                range: n,
                term: lease.row.term,
                number: lease.handovers,
                horizon: lease.keys.horizon,
                records: lease.keys.records(),
            };
            actions.push(Action::Handover { to, handover });
        }
    }

    /// Keeps records until their owner's release is seen. A hand-over that
    /// arrives late must not replace one that came after it.
    fn stage(&mut self, handover: Handover) {
        let range = &mut self.ranges[usize::from(handover.range % RANGES)];
        let order = (handover.term, handover.number);
        let newer = |staged: &Staged| order > (staged.term, staged.number);
        if range.lease.is_none() && range.staged.as_ref().is_none_or(newer) {
            range.staged = Some(Staged {
                term: handover.term,
                number: handover.number,
                keys: Keys::new(handover.horizon, handover.records),
            });
            range.next_try = None;
        }
    }

    fn handed_over(&mut self, n: u16, receiver: Option<u64>) {
        let Some(lease) = &mut self.ranges[usize::from(n)].lease else {
            return;
        };
        let Stage::HandingOver(to, number) = &lease.stage else {
            return;
        };
        lease.stage = match receiver {
            Some(incarnation) => Stage::Releasing(Successor {
                host: Arc::clone(to),
                incarnation,
                number: *number,
            }),
            None => Stage::Serving,
        };
    }

    /// Writes the row of an owned range again, or its release.
    fn renew(&mut self, now: Instant, n: u16, actions: &mut Vec<Action>) {
        let range = &mut self.ranges[usize::from(n)];
        let Some(lease) = &mut range.lease else {
            return;
        };
        let releasing = matches!(lease.stage, Stage::Releasing(_));
        let due =
            now >= lease.next_renew || (releasing && range.next_try.is_none_or(|at| now >= at));
        if !due || range.writing.is_some() {
            return;
        }
        lease.tried += 1;
        let mut row = Row {
            counter: lease.tried,
            ..lease.row.clone()
        };
        if let Stage::Releasing(successor) = &lease.stage {
            row.released = true;
            row.successor = Some(successor.clone());
        }
        range.next_try = Some(now + self.settings.retry_interval);
        lease.next_renew = now + self.settings.renew_interval;
        range.writing = Some(Writing {
            started: now,
            row: row.clone(),
        });
        actions.push(Action::Write {
            range: n,
            expect: Some(lease.row.clone()),
            row,
        });
    }

    /// Works towards owning a range.
    fn claim(&mut self, now: Instant, n: u16, actions: &mut Vec<Action>) {
        let unchanged = self.settings.takeover_delay;
        let range = &mut self.ranges[usize::from(n)];
        if range.writing.is_some() || range.reading {
            return;
        }
        if let Some((row, since)) = &range.seen {
            let free = match row {
                None => true,
                Some(row) => row.released || now.duration_since(*since) >= unchanged,
            };
            // A row that was read long ago is worth no write.
            if free && range.next_try.is_some_and(|at| now < at) {
                let row = row.clone();
                let new = Row {
                    owner: Arc::clone(&self.host),
                    incarnation: self.incarnation,
                    term: row.as_ref().map_or(0, |row| row.term) + 1,
                    counter: row.as_ref().map_or(0, |row| row.counter) + 1,
                    released: false,
                    successor: None,
                };
                range.claimed_from = Some(row.clone());
                range.writing = Some(Writing {
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
            range.reading = true;
            range.next_try = Some(now + self.settings.retry_interval);
            actions.push(Action::Read { range: n });
        }
    }

    fn is_mine(&self, row: &Row) -> bool {
        row.owner == self.host && row.incarnation == self.incarnation
    }

    fn written(&mut self, now: Instant, wall: SystemTime, n: u16, row: &Row, result: Written) {
        let range = &mut self.ranges[usize::from(n)];
        let Some(writing) = range.writing.take_if(|writing| writing.row == *row) else {
            return;
        };
        match result {
            Written::Applied => {
                self.known(now, wall, n, Some(writing.row));
                let lease_time = self.settings.lease_duration;
                if let Some(lease) = &mut self.ranges[usize::from(n)].lease {
                    lease.valid_until = writing.started + lease_time;
                    lease.next_renew = writing.started + self.settings.renew_interval;
                }
            }
            Written::Conflict(current) => self.known(now, wall, n, current),
            // An owner writes again with the next counter, and a claimant
            // reads what is there now.
            Written::Unknown => {
                let retry = now + self.settings.retry_interval;
                range.next_try = Some(retry);
                if let Some(lease) = &mut range.lease {
                    lease.next_renew = retry;
                }
            }
        }
    }

    /// Takes the content of a row at some time before `now`.
    fn known(&mut self, now: Instant, wall: SystemTime, n: u16, row: Option<Row>) {
        let retry = now + self.settings.retry_interval;
        let mine = row.as_ref().is_some_and(|row| self.is_mine(row));
        let range = &mut self.ranges[usize::from(n)];
        if !range.seen.as_ref().is_some_and(|(seen, _)| *seen == row) {
            range.seen = Some((row.clone(), now));
        }
        let row = match row {
            Some(row) if mine && !row.released => row,
            _ => {
                // Released, or claimed by another daemon.
                range.lease = None;
                range.next_try = Some(retry);
                let term = range.seen.iter().filter_map(|(row, _)| row.as_ref());
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
                // After a conflict with a late effect of an earlier write,
                // the next one is due at once.
                lease.next_renew = now;
                return;
            }
            range.lease = None;
        }
        // The claim took effect. Without the answer to its write the lease
        // counts as lapsed until the next renewal.
        let Some(from) = range.claimed_from.take() else {
            return;
        };
        let staged = range.staged.take();
        let keys = from.map(|from| {
            let whole = |staged: &Staged| {
                let successor = Successor {
                    host: Arc::clone(&self.host),
                    incarnation: self.incarnation,
                    number: staged.number,
                };
                from.released && from.term == staged.term && from.successor == Some(successor)
            };
            staged.filter(whole).map_or_else(
                || Keys::new(horizon(&self.settings, wall), Vec::new()),
                |staged| staged.keys,
            )
        });
        let keys = keys.unwrap_or_default();
        range.lease = Some(Lease {
            tried: row.counter,
            row,
            valid_until: now,
            next_renew: now,
            keys,
            handovers: 0,
            stage: Stage::Serving,
        });
    }
}
