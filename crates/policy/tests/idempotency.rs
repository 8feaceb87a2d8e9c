//! No key may be begun twice, whatever happens to its owners.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use dotterelhinge_policy::idempotency::{
    self, Action, Begin, Event, Idempotency, Outcome, Row, Settings, Verdict, Written,
};
use googletest::prelude::*;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Deserialize;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A version 7 key made `offset` after `wall`, in range `range` or any.
fn timed_key(wall: SystemTime, offset: i64, salt: u64, range: Option<u16>) -> Arc<str> {
    let since = wall.duration_since(SystemTime::UNIX_EPOCH).unwrap();
    let made = u64::try_from(since.as_millis())
        .unwrap()
        .saturating_add_signed(offset);
    let key = |n: u64| {
        let (high, low) = (made >> 16, made & 0xffff);
        Arc::from(format!(
            "{high:08x}-{low:04x}-7000-8000-{:012x}",
            salt << 16 | n
        ))
    };
    let fits = |key: &Arc<str>| range.is_none_or(|range| idempotency::range(key) == range);
    (0..).map(key).find(fits).unwrap()
}

/// The table, with writes that arrive late or whose answers are lost.
struct World {
    now: Instant,
    wall: SystemTime,
    table: BTreeMap<u16, Row>,
    down: bool,
    /// Share of calls that go wrong.
    trouble: f64,
    /// Writes and hand-overs that will still arrive.
    late: Vec<(u16, Option<Row>, Row)>,
    late_records: Vec<(usize, idempotency::Handover)>,
    rng: StdRng,
    daemons: Vec<Daemon>,
}

struct Daemon {
    machine: Idempotency,
    incarnation: u64,
    skew: u64,
    paused: bool,
    held: Vec<Event>,
}

fn host(n: usize) -> Arc<str> {
    Arc::from(format!("entry-{n}"))
}

impl World {
    fn new(count: usize, seed: u64, skew: u64) -> Self {
        let mut world = Self {
            now: Instant::now(),
            wall: SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000),
            table: BTreeMap::new(),
            down: false,
            trouble: 0.0,
            late: Vec::new(),
            late_records: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            daemons: Vec::new(),
        };
        for n in 0..count {
            let machine = Idempotency::new(host(n), 1, Settings::default());
            world.daemons.push(Daemon {
                machine,
                incarnation: 1,
                skew: skew * n as u64,
                paused: false,
                held: Vec::new(),
            });
        }
        world
    }

    fn wall_of(&self, n: usize) -> SystemTime {
        self.wall + millis(self.daemons[n].skew)
    }

    fn event(&mut self, n: usize, event: Event) {
        if self.daemons[n].paused {
            self.daemons[n].held.push(event);
            return;
        }
        let wall = self.wall_of(n);
        for action in self.daemons[n].machine.handle(self.now, wall, event) {
            self.act(n, action);
        }
    }

    fn transact(&mut self, range: u16, expect: &Option<Row>, row: Row) -> Written {
        let current = self.table.get(&range).cloned();
        if current != *expect {
            return Written::Conflict(current);
        }
        self.table.insert(range, row);
        Written::Applied
    }

    fn act(&mut self, n: usize, action: Action) {
        let trouble = self.rng.random_bool(self.trouble);
        match action {
            Action::Read { range } if self.down || trouble => {
                self.event(n, Event::ReadFailed { range });
            }
            Action::Read { range } => {
                let row = self.table.get(&range).cloned();
                self.event(n, Event::Read { range, row });
            }
            Action::Write { range, expect, row } => {
                let result = if self.down {
                    Written::Unknown
                } else if !trouble {
                    self.transact(range, &expect, row.clone())
                } else {
                    // Lost, late, or only the answer is lost.
                    match self.rng.random_range(0..3) {
                        0 => {}
                        1 => self.late.push((range, expect, row.clone())),
                        _ => drop(self.transact(range, &expect, row.clone())),
                    }
                    Written::Unknown
                };
                self.event(n, Event::Written { range, row, result });
            }
            Action::Handover { to, handover } => {
                let to = (0..self.daemons.len()).find(|n| host(*n) == to).unwrap();
                let range = handover.range;
                let arrives = !trouble || self.rng.random_bool(0.5);
                if trouble {
                    self.late_records.push((to, handover.clone()));
                }
                let receiver = (!trouble).then(|| self.daemons[to].incarnation);
                if arrives && !self.daemons[to].paused {
                    self.event(to, Event::Handover(handover));
                    self.event(n, Event::HandedOver { range, receiver });
                } else {
                    self.event(
                        n,
                        Event::HandedOver {
                            range,
                            receiver: None,
                        },
                    );
                }
            }
        }
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let step = millis(500).min(end - self.now);
            self.now += step;
            self.wall += step;
            if !self.late.is_empty() && !self.down && self.rng.random_bool(0.1) {
                let (range, expect, row) = self.late.remove(0);
                drop(self.transact(range, &expect, row));
            }
            if !self.late_records.is_empty() && self.rng.random_bool(0.1) {
                let (to, handover) = self.late_records.remove(0);
                self.event(to, Event::Handover(handover));
            }
            for n in 0..self.daemons.len() {
                if !self.daemons[n].paused {
                    self.event(n, Event::Tick);
                }
            }
        }
    }

    fn members(&mut self, members: &[usize]) {
        let hosts: Vec<_> = members.iter().map(|n| host(*n)).collect();
        for n in 0..self.daemons.len() {
            self.event(n, Event::Members(hosts.clone()));
        }
    }

    fn restart(&mut self, n: usize) {
        let daemon = &mut self.daemons[n];
        daemon.incarnation += 1;
        daemon.machine = Idempotency::new(host(n), daemon.incarnation, Settings::default());
        daemon.paused = false;
        daemon.held.clear();
    }

    fn resume(&mut self, n: usize) {
        self.daemons[n].paused = false;
        for event in std::mem::take(&mut self.daemons[n].held) {
            self.event(n, event);
        }
    }

    fn begin(&mut self, n: usize, key: &Arc<str>, attempt: u64) -> Verdict {
        let begin = Begin {
            key: Arc::clone(key),
            fingerprint: 7,
            attempt,
        };
        let wall = self.wall_of(n);
        self.daemons[n].machine.begin(self.now, wall, &begin)
    }
}

#[derive(Deserialize)]
struct Earlier {
    #[serde(default)]
    key: String,
    #[serde(default = "seven")]
    fingerprint: u64,
    #[serde(default)]
    attempt: u64,
    end: Option<Outcome>,
}

fn seven() -> u64 {
    7
}

#[derive(Deserialize)]
struct Case {
    name: String,
    /// Records at most.
    records: Option<usize>,
    /// Whether an earlier owner crashed 33 s ago.
    #[serde(default)]
    crashed: bool,
    /// Whether no lease is taken.
    #[serde(default)]
    unowned: bool,
    members: Option<Vec<Arc<str>>>,
    /// A begin right after the claim, of the same key or of another one.
    earlier: Option<Earlier>,
    /// Time with renewals, then time without.
    #[serde(default)]
    ticks: u64,
    #[serde(default)]
    wait: u64,
    /// Creation time relative to the begin; null for a key without one.
    key: Option<i64>,
    expect: Verdict,
}

fn verdict(case: &Case) -> Verdict {
    let mut world = World::new(1, 1, 0);
    world.daemons[0].machine = Idempotency::new(
        host(0),
        1,
        Settings {
            max_records: case.records.unwrap_or(100),
            ..Settings::default()
        },
    );
    let due = world.wall + millis(case.ticks + case.wait);
    let key = match case.key {
        Some(offset) => timed_key(due, offset, 1, None),
        None => Arc::from("order-1"),
    };
    let range = idempotency::range(&key);
    if case.crashed {
        let owner = Row {
            owner: host(9),
            incarnation: 1,
            term: 1,
            counter: 5,
            released: false,
            successor: None,
        };
        world.table.insert(range, owner);
    }
    let members = case.members.clone().unwrap_or_else(|| vec![host(0)]);
    if !case.unowned {
        world.event(0, Event::Members(vec![host(0)]));
        // A read, and after the time of an earlier owner another one and the
        // claim.
        world.event(0, Event::Tick);
        world.now += Duration::from_secs(33);
        world.event(0, Event::Tick);
        world.event(0, Event::Tick);
        if !case.crashed {
            // Begins are counted from the latest renewal.
            world.now += Duration::from_secs(10);
            world.event(0, Event::Tick);
        }
    }
    world.event(0, Event::Members(members));
    if let Some(earlier) = &case.earlier {
        let wall = world.wall_of(0);
        let other = match earlier.key.as_str() {
            "other" => timed_key(wall, -5, 2, Some(range)),
            "plain" => (0..)
                .map(|n| Arc::from(format!("order-{n}")))
                .find(|key| idempotency::range(key) == range)
                .unwrap(),
            _ => Arc::clone(&key),
        };
        let begin = Begin {
            key: other,
            fingerprint: earlier.fingerprint,
            attempt: earlier.attempt,
        };
        assert_eq!(
            world.daemons[0].machine.begin(world.now, wall, &begin),
            Verdict::Begin
        );
        if let Some(outcome) = earlier.end {
            world.daemons[0]
                .machine
                .end(&begin.key, earlier.attempt, outcome);
        }
        if earlier.key == "displaced" {
            let newer = timed_key(wall, 5, 3, Some(range));
            assert_eq!(world.begin(0, &newer, 4), Verdict::Begin);
        }
    }
    for _ in 0..case.ticks / 10_000 {
        world.now += Duration::from_secs(10);
        world.wall += Duration::from_secs(10);
        world.event(0, Event::Tick);
    }
    world.wall += millis(case.ticks % 10_000 + case.wait);
    world.now += millis(case.wait);
    world.begin(0, &key, 2)
}

/// Guards against wrong verdicts at the edges of leases, windows and claims.
#[googletest::test]
fn begin_verdicts() {
    let cases = include_str!("data/begin.json");
    let cases: Vec<Case> = serde_json::from_str(cases).unwrap();
    for case in cases {
        expect_that!(verdict(&case), eq(case.expect), "{}", case.name);
    }
}

/// Guards against keys that become unknown at a planned stop.
#[googletest::test]
fn a_planned_stop_hands_all_records_over() {
    let mut world = World::new(2, 1, 1_000);
    world.members(&[0]);
    world.advance(Duration::from_secs(5));
    let keys: Vec<_> = (0..200)
        .map(|n| timed_key(world.wall, 0, n, None))
        .collect();
    for key in &keys {
        expect_that!(world.begin(0, key, 1), eq(Verdict::Begin));
        world.daemons[0]
            .machine
            .end(key, 1, Outcome::Done { status: 200 });
    }
    world.members(&[1]);
    world.event(0, Event::Stop);
    world.advance(Duration::from_secs(6));
    expect_that!(world.daemons[0].machine.held_ranges(), eq(0));
    for key in &keys {
        expect_that!(world.begin(1, key, 2), eq(Verdict::Done { status: 200 }));
    }
    let fresh = timed_key(world.wall, 0, 999, None);
    expect_that!(world.begin(1, &fresh, 3), eq(Verdict::Begin));
}

/// Guards against a range that nobody owns after a crash, or that is claimed
/// while the owner may still begin keys.
#[googletest::test]
fn a_crashed_owner_is_succeeded_after_33_s() {
    let mut world = World::new(2, 1, 0);
    world.members(&[0]);
    world.advance(Duration::from_secs(5));
    world.daemons[0].paused = true;
    world.members(&[1]);
    world.advance(Duration::from_secs(33));
    expect_that!(world.daemons[1].machine.held_ranges(), eq(0));
    world.advance(Duration::from_secs(4));
    expect_that!(world.daemons[1].machine.held_ranges(), eq(64));
    let key = timed_key(world.wall, 0, 1, None);
    let resumed = world.daemons[0].machine.begin(
        world.now,
        world.wall,
        &Begin {
            key,
            fingerprint: 7,
            attempt: 1,
        },
    );
    expect_that!(resumed, eq(Verdict::Unfenced));
}

/// Guards against records of an abandoned hand-over that stand in for the
/// owner's last ones: after the owner's crash, or when a copy arrives late.
#[googletest::test]
fn only_the_last_hand_over_counts() {
    for crash in [true, false] {
        let mut world = World::new(2, 1, 0);
        world.members(&[0]);
        world.advance(Duration::from_secs(5));
        let (now, wall) = (world.now, world.wall);
        let machine = &mut world.daemons[0].machine;
        machine.handle(now, wall, Event::Members(vec![host(1)]));
        let abandoned: Vec<_> = machine.handle(now, wall, Event::Tick);
        for action in abandoned {
            let Action::Handover { handover, .. } = action else {
                continue;
            };
            let range = handover.range;
            world.event(
                0,
                Event::HandedOver {
                    range,
                    receiver: None,
                },
            );
            world.late_records.push((1, handover));
        }
        world.event(0, Event::Members(vec![host(0)]));
        let key = timed_key(wall, 0, 1, None);
        expect_that!(world.begin(0, &key, 1), eq(Verdict::Begin));
        if crash {
            for (to, handover) in std::mem::take(&mut world.late_records) {
                world.event(to, Event::Handover(handover));
            }
            world.daemons[0].paused = true;
            world.members(&[1]);
            world.advance(Duration::from_secs(40));
            expect_that!(world.begin(1, &key, 2), eq(Verdict::Unknown));
        } else {
            world.event(0, Event::Members(vec![host(1)]));
            world.event(0, Event::Tick);
            for (to, handover) in std::mem::take(&mut world.late_records) {
                world.event(to, Event::Handover(handover));
            }
            world.members(&[1]);
            world.advance(Duration::from_secs(10));
            expect_that!(world.begin(1, &key, 2), eq(Verdict::InProgress));
        }
    }
}

#[derive(Clone, Debug)]
enum Op {
    Advance(u64),
    Begin { daemon: usize, key: usize },
    NewKey { offset: i64, timed: bool },
    End { key: usize, outcome: usize },
    Crash(usize),
    Pause(usize),
    Resume(usize),
    Stop(usize),
    Down(bool),
    Trouble(bool),
    Members(usize),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (100_u64..12_000).prop_map(Op::Advance),
        1 => (30_000_u64..50_000).prop_map(Op::Advance),
        20 => (0_usize..2, 0_usize..8).prop_map(|(daemon, key)| Op::Begin { daemon, key }),
        8 => (-3_000_i64..2_500, proptest::bool::weighted(0.8))
            .prop_map(|(offset, timed)| Op::NewKey { offset, timed }),
        4 => (0_usize..8, 0_usize..3).prop_map(|(key, outcome)| Op::End { key, outcome }),
        1 => (0_usize..2).prop_map(Op::Crash),
        1 => (0_usize..2).prop_map(Op::Pause),
        4 => (0_usize..2).prop_map(Op::Resume),
        1 => (0_usize..2).prop_map(Op::Stop),
        1 => proptest::bool::weighted(0.2).prop_map(Op::Down),
        1 => proptest::bool::weighted(0.5).prop_map(Op::Trouble),
        4 => (0_usize..3).prop_map(Op::Members),
    ]
}

/// Runs the operations; the number of begins and of those by a second owner.
fn run(ops: Vec<Op>, seed: u64, skew: u64) -> (usize, usize) {
    let mut world = World::new(2, seed, skew);
    world.members(&[0, 1]);
    let mut keys: Vec<Arc<str>> = Vec::new();
    // The attempt and daemon that hold each key.
    let mut begun: HashMap<Arc<str>, u64> = HashMap::new();
    let (mut begins, mut owners, mut attempt) = (0, std::collections::BTreeSet::new(), 0);
    for op in ops {
        match op {
            Op::Advance(time) => world.advance(millis(time)),
            Op::NewKey { offset, timed } => {
                let salt = keys.len() as u64;
                keys.push(if timed {
                    timed_key(world.wall, offset, salt, Some(3))
                } else {
                    Arc::from(format!("order-{salt}"))
                });
            }
            Op::Begin { daemon, key } => {
                let Some(key) = keys.iter().rev().nth(key).cloned() else {
                    continue;
                };
                attempt += 1;
                if world.begin(daemon, &key, attempt) == Verdict::Begin {
                    let earlier = begun.insert(Arc::clone(&key), attempt);
                    assert_eq!(earlier, None, "key {key} was begun twice");
                    begins += 1;
                    owners.insert(daemon);
                }
            }
            Op::End { key, outcome } => {
                let Some(key) = keys.iter().rev().nth(key) else {
                    continue;
                };
                let Some(attempt) = begun.get(key).copied() else {
                    continue;
                };
                let outcomes = [
                    Outcome::NotRun,
                    Outcome::Unknown,
                    Outcome::Done { status: 200 },
                ];
                if outcomes[outcome] == Outcome::NotRun {
                    begun.remove(key);
                }
                for daemon in &mut world.daemons {
                    daemon.machine.end(key, attempt, outcomes[outcome]);
                }
            }
            Op::Crash(n) => {
                world.restart(n);
                let members = Event::Members(vec![host(0), host(1)]);
                world.event(n, members);
            }
            Op::Pause(n) => world.daemons[n].paused = true,
            Op::Resume(n) => world.resume(n),
            Op::Stop(n) => world.event(n, Event::Stop),
            Op::Down(down) => world.down = down,
            Op::Trouble(trouble) => world.trouble = if trouble { 0.4 } else { 0.0 },
            Op::Members(0) => world.members(&[0]),
            Op::Members(1) => world.members(&[1]),
            Op::Members(_) => world.members(&[0, 1]),
        }
    }
    (begins, owners.len())
}

/// Guards against a key that is begun twice across crashes, pauses, planned
/// stops, hand-overs, store outages, late writes and clocks 1 s apart.
#[test]
fn no_key_is_begun_twice() {
    let config = proptest::test_runner::Config {
        cases: 1_500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..Default::default()
    };
    let input = (
        proptest::collection::vec(op(), 40..240),
        any::<u64>(),
        0_u64..=1_000,
    );
    let (begins, moved) = (std::cell::Cell::new(0), std::cell::Cell::new(0));
    proptest::test_runner::TestRunner::new(config)
        .run(&input, |(ops, seed, skew)| {
            let (count, owners) = run(ops, seed, skew);
            begins.set(begins.get() + count);
            moved.set(moved.get() + usize::from(owners > 1));
            Ok(())
        })
        .unwrap();
    println!(
        "{} begins, {} runs with two owners",
        begins.get(),
        moved.get()
    );
    // A run without begins would prove nothing.
    assert!(begins.get() > 3_000 && moved.get() > 300);
}
