//! A queueing model of one service under load, driven by the daemon's own
//! evidence and choice. What happens at a backend server becomes known to the
//! hosts after a delay, as it does through reports.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_gateway::{
    catalog::{State, Upstream},
    evidence::{self, Evidence, Observation, Outcome},
};
use dotterelhinge_policy::{outage, quota, selection};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Load and faults of a run.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub servers: usize,
    pub hosts: usize,
    /// Requests a second.
    pub rate: f64,
    /// Share of the requests that may be repeated.
    pub repeatable: f64,
    /// Mean seconds of work.
    pub work: f64,
    /// Objective in seconds.
    pub objective: f64,
    /// Mean seconds between two spells of a server, and of one spell.
    pub sound: f64,
    pub failing: f64,
    /// Share of requests that fail in a spell, and otherwise.
    pub fails: f64,
    pub errors: f64,
    /// Time until other hosts know of an event.
    pub delay: f64,
    /// Fastest and slowest server relative to the mean.
    pub speeds: (f64, f64),
    /// How much longer a server works while all its slots are in use.
    pub crowded: f64,
    pub seconds: f64,
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            servers: 33,
            hosts: 48,
            rate: 225.0,
            repeatable: 0.2,
            work: 0.225,
            objective: 0.584,
            sound: 6.3,
            failing: 2.7,
            fails: 0.9,
            errors: 0.012,
            delay: 0.03,
            speeds: (1.0, 1.0),
            crowded: 1.0,
            seconds: 60.0,
            seed: 1,
        }
    }
}

/// Shares of the requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Result {
    pub requests: u32,
    pub in_time: u32,
    pub late: u32,
    pub failed: u32,
    pub shed: u32,
    pub sends: u32,
}

impl Result {
    pub(crate) fn unserved(&self) -> f64 {
        f64::from(self.failed + self.shed) / f64::from(self.requests)
    }

    pub(crate) fn late(&self) -> f64 {
        f64::from(self.late) / f64::from(self.requests)
    }
}

const SLOTS: usize = 3;
const QUEUE: usize = 12;

#[derive(Debug)]
struct Server {
    busy: usize,
    queue: VecDeque<usize>,
    failing: bool,
    changes: f64,
    pace: f64,
}

#[derive(Debug)]
struct Job {
    arrived: f64,
    repeatable: bool,
    tried: Vec<usize>,
    server: usize,
    started: f64,
    outlived: bool,
}

#[derive(Debug, PartialEq)]
enum Event {
    Arrive,
    Finish(usize),
    Outlived(usize),
    Tell(Told),
}

#[derive(Debug, PartialEq)]
enum Told {
    Begin(usize),
    End(usize),
    Seen(usize, Outcome, f64),
}

struct Key(f64, u64);

impl PartialEq for Key {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Key {}
impl PartialOrd for Key {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Key {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

pub(crate) struct Model {
    scenario: Scenario,
    choice: selection::Settings,
    rng: SmallRng,
    base: Instant,
    now: f64,
    events: BinaryHeap<Reverse<(Key, usize)>>,
    bodies: Vec<Option<Event>>,
    servers: Vec<Server>,
    upstreams: Vec<Arc<Upstream>>,
    keys: Vec<u64>,
    evidence: Evidence,
    terms: quota::Settings,
    tokens: f64,
    jobs: Vec<Job>,
    result: Result,
}

impl Model {
    pub(crate) fn new(
        scenario: Scenario,
        choice: selection::Settings,
        outage: outage::Settings,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(scenario.seed);
        let base = Instant::now();
        let upstreams: Vec<_> = (0..scenario.servers)
            .map(|i| {
                Arc::new(Upstream {
                    id: format!("s{i}").into(),
                    incarnation: 0,
                    service: "desk".into(),
                    address: ([127, 0, 0, 1], 1000 + i as u16).into(),
                    availability_zone: "north".into(),
                    slots: SLOTS as u32,
                    state: State::Ready,
                    cold_left: Duration::ZERO,
                })
            })
            .collect();
        let keys = upstreams.iter().map(|upstream| upstream.key()).collect();
        let mut evidence = Evidence::new(outage);
        evidence.set_upstreams(base, upstreams.iter());
        let share = scenario.failing / (scenario.failing + scenario.sound);
        let servers = (0..scenario.servers)
            .map(|_| {
                let failing = rng.random_bool(share);
                let mean = if failing {
                    scenario.failing
                } else {
                    scenario.sound
                };
                Server {
                    pace: rng.random_range(scenario.speeds.0..=scenario.speeds.1),
                    busy: 0,
                    queue: VecDeque::new(),
                    failing,
                    changes: exponential(&mut rng, mean),
                }
            })
            .collect();
        Self {
            tokens: scenario.hosts as f64,
            terms: quota::Settings::default(),
            choice,
            rng,
            base,
            now: 0.0,
            events: BinaryHeap::new(),
            bodies: Vec::new(),
            servers,
            upstreams,
            keys,
            evidence,
            jobs: Vec::new(),
            result: Result::default(),
            scenario,
        }
    }

    pub(crate) fn run(mut self) -> Result {
        self.at(0.0, Event::Arrive);
        while let Some(Reverse((Key(time, _), index))) = self.events.pop() {
            self.now = time;
            let event = self.bodies[index].take();
            match event {
                Some(Event::Arrive) => self.arrive(),
                Some(Event::Finish(job)) => self.finish(job),
                Some(Event::Outlived(job)) => self.outlived(job),
                Some(Event::Tell(told)) => self.tell(&told),
                None => {}
            }
        }
        self.result
    }

    fn at(&mut self, time: f64, event: Event) {
        let index = self.bodies.len();
        self.bodies.push(Some(event));
        self.events.push(Reverse((Key(time, index as u64), index)));
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_secs_f64(self.now)
    }

    fn arrive(&mut self) {
        let next = self.now + exponential(&mut self.rng, 1.0 / self.scenario.rate);
        if next < self.scenario.seconds {
            self.at(next, Event::Arrive);
        }
        self.result.requests += 1;
        self.tokens = (self.tokens + self.terms.ratio * 0.85).min(self.scenario.hosts as f64);
        let job = self.jobs.len();
        let repeatable = self.rng.random_bool(self.scenario.repeatable);
        self.jobs.push(Job {
            arrived: self.now,
            repeatable,
            tried: Vec::new(),
            server: 0,
            started: 0.0,
            outlived: false,
        });
        self.send(job);
    }

    fn send(&mut self, job: usize) {
        let now = self.instant();
        let order = &self.jobs[job];
        let first = order.tried.is_empty();
        let free: Vec<usize> = (0..self.servers.len())
            .filter(|server| !order.tried.contains(server))
            .collect();
        let candidates: Vec<_> = free
            .iter()
            .map(|&server| {
                let key = self.keys[server];
                self.evidence
                    .candidate(now, key, &self.upstreams[server], "north")
            })
            .collect();
        let usual = self.evidence.typical_latency("desk").unwrap_or_default();
        let learn = order.repeatable && first && self.tokens >= 1.0;
        let request = selection::Request {
            relative_latency: usual.as_secs_f64() / self.scenario.objective,
            kilobytes: 0.3,
            purpose: if learn {
                selection::Purpose::Learn
            } else {
                selection::Purpose::Serve
            },
        };
        let chosen = selection::choose(&self.choice, now, &candidates, &request, &mut self.rng);
        let Some(server) = chosen.map(|position| free[position]) else {
            self.result.shed += 1;
            return;
        };
        self.result.sends += 1;
        self.jobs[job].tried.push(server);
        self.jobs[job].server = server;
        self.jobs[job].started = self.now;
        self.jobs[job].outlived = false;
        let delay = self.scenario.delay;
        self.at(self.now + delay, Event::Tell(Told::Begin(server)));
        self.reach(job, server);
    }

    fn reach(&mut self, job: usize, server: usize) {
        self.advance(server);
        let state = &mut self.servers[server];
        if state.busy < SLOTS {
            state.busy += 1;
            self.work(job);
        } else if state.queue.len() < QUEUE {
            state.queue.push_back(job);
            self.at(
                self.now + evidence::STILL_RUNNING_THRESHOLD.as_secs_f64(),
                Event::Outlived(job),
            );
        } else {
            self.done(job, Outcome::Shed);
            self.retry(job, true);
        }
    }

    fn work(&mut self, job: usize) {
        let server = self.jobs[job].server;
        let failing = self.servers[server].failing;
        let share = if failing {
            self.scenario.fails
        } else {
            self.scenario.errors
        };
        if self.rng.random_bool(share) {
            self.leave(server);
            self.done(job, Outcome::Failed);
            self.retry(job, false);
            return;
        }
        let spread: f64 = self.rng.random_range(0.6..1.4);
        let state = &self.servers[server];
        let crowded = if state.busy == SLOTS {
            self.scenario.crowded
        } else {
            1.0
        };
        let end = self.now + self.scenario.work * spread * state.pace * crowded;
        self.at(end, Event::Finish(job));
        let outlives = self.jobs[job].started + evidence::STILL_RUNNING_THRESHOLD.as_secs_f64();
        if outlives > self.now {
            self.at(outlives, Event::Outlived(job));
        }
    }

    fn finish(&mut self, job: usize) {
        let server = self.jobs[job].server;
        self.leave(server);
        let outlived = self.jobs[job].outlived;
        let outcome = if outlived {
            Outcome::Finished
        } else {
            Outcome::Good
        };
        self.done(job, outcome);
        let taken = self.now - self.jobs[job].arrived;
        if taken <= self.scenario.objective {
            self.result.in_time += 1;
        } else {
            self.result.late += 1;
        }
    }

    fn leave(&mut self, server: usize) {
        self.advance(server);
        let state = &mut self.servers[server];
        match state.queue.pop_front() {
            Some(next) => self.work(next),
            None => state.busy -= 1,
        }
    }

    fn outlived(&mut self, job: usize) {
        self.jobs[job].outlived = true;
        let server = self.jobs[job].server;
        let delay = self.scenario.delay;
        self.at(
            self.now + delay,
            Event::Tell(Told::Seen(server, Outcome::StillRunning, 0.0)),
        );
    }

    fn done(&mut self, job: usize, outcome: Outcome) {
        let server = self.jobs[job].server;
        let elapsed = self.now - self.jobs[job].started;
        let time = self.now + self.scenario.delay;
        self.at(time, Event::Tell(Told::End(server)));
        self.at(time, Event::Tell(Told::Seen(server, outcome, elapsed)));
    }

    fn retry(&mut self, job: usize, not_run: bool) {
        let may = self.jobs[job].repeatable || not_run;
        if may && self.jobs[job].tried.len() < 2 && self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.send(job);
        } else if not_run {
            self.result.shed += 1;
        } else {
            self.result.failed += 1;
        }
    }

    fn tell(&mut self, told: &Told) {
        let now = self.instant();
        match told {
            Told::Begin(server) => self.evidence.begin(now, self.keys[*server]),
            Told::End(server) => self.evidence.end(self.keys[*server]),
            Told::Seen(server, outcome, elapsed) => {
                let seen = Observation {
                    upstream: self.keys[*server],
                    outcome: *outcome,
                    elapsed_ms: (elapsed * 1000.0) as u32,
                };
                self.evidence.observe(now, &seen);
            }
        }
    }

    fn advance(&mut self, server: usize) {
        while self.servers[server].changes <= self.now {
            let state = &mut self.servers[server];
            state.failing = !state.failing;
            let mean = if state.failing {
                self.scenario.failing
            } else {
                self.scenario.sound
            };
            let period = exponential(&mut self.rng, mean);
            self.servers[server].changes += period;
        }
    }
}

fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random_range(0.0..1.0f64)).ln()
}
