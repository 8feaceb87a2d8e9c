//! The coordinator of one service: hands out the slots of its upstreams.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use smallvec::SmallVec;

use crate::{contract, health};

/// Identifies a waiting request to the owner of the coordinator.
pub type Ticket = u64;

/// Identifies a granted slot within a term.
pub type Id = u64;

/// Limits of the coordinator.
#[derive(Clone, Debug)]
pub struct Settings {
    /// A grant of a holder silent for this long is released.
    pub holder_silence: Duration,
    /// A grant must start within this time.
    pub start_within: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            holder_silence: Duration::from_secs(5),
            start_within: Duration::from_secs(1),
        }
    }
}

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct Acquire {
    /// Identifies the request in the answer.
    pub ticket: Ticket,
    /// Index of the class in the configuration.
    pub class: usize,
    /// Customer the request is accounted to.
    pub customer: Arc<str>,
    /// Host that will hold the grant.
    pub host: Arc<str>,
    /// Availability zone of that host.
    pub availability_zone: Arc<str>,
    /// Longest time to wait for a slot.
    pub wait: Duration,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Upstreams that must not be chosen.
    pub excluded: SmallVec<[Arc<str>; 4]>,
}

/// Why no slot was handed out.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Refusal {
    /// The wait for a slot would exceed the limit.
    Overloaded,
    /// The wait for a slot exceeded the limit.
    QueueTimeout,
    /// The customer holds its whole share.
    CustomerLimit,
    /// No upstream may take the class.
    NoUpstream,
    /// The retry budget is spent.
    Budget,
}

/// What the coordinator is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A slot is wanted.
    Acquire(Acquire),
    /// The caller of a waiting request went away.
    Abandon(Ticket),
    /// Evidence from an attempt that goes on.
    Overdue {
        /// The grant of the attempt.
        grant: Id,
        /// Time since the first byte was sent.
        elapsed: Duration,
    },
    /// An attempt ended and its slot is free.
    Settle {
        /// The grant of the attempt.
        grant: Id,
        /// How it ended.
        outcome: health::Outcome,
        /// Time from the first byte to the end.
        elapsed: Duration,
    },
    /// A host is alive and holds these grants.
    Renew {
        /// The host.
        host: Arc<str>,
        /// All grants of this term that it holds.
        grants: Vec<Id>,
    },
    /// A slot granted in an earlier term is still in use.
    Inherit {
        /// The host that holds it.
        host: Arc<str>,
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Index of the class.
        class: usize,
        /// Customer of the request.
        customer: Arc<str>,
        /// Number under which it will be settled.
        grant: Id,
    },
    /// A host is gone.
    HostGone(Arc<str>),
    /// An upstream is leaving.
    Leaving(Arc<str>),
    /// Time passed.
    Tick,
}

/// What the coordinator wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Hand a slot to a waiting request.
    Grant {
        /// The request.
        ticket: Ticket,
        /// Number of the grant.
        grant: Id,
        /// Index of the chosen upstream.
        upstream: usize,
        /// Time after which the attempt counts as slow.
        slow_after: Duration,
    },
    /// Turn a waiting request away.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The reason.
        reason: Refusal,
    },
    /// Put a change into the event log.
    Log(health::Change),
}

struct Held {
    upstream: usize,
    class: usize,
    host: Arc<str>,
    renewed: Instant,
}

/// Slots, queue and health of one service.
pub struct Coordinator {
    settings: Settings,
    service: Arc<contract::Service>,
    classes: Arc<[contract::Class]>,
    health: health::Health,
    in_use: Vec<u32>,
    held: HashMap<Id, Held>,
    waiting: Vec<(Instant, Acquire)>,
    next: Id,
}

impl Coordinator {
    /// Starts a term with no slot in use.
    pub fn new(
        settings: Settings,
        service: Arc<contract::Service>,
        classes: Arc<[contract::Class]>,
        adopted: &health::View,
        now: Instant,
    ) -> Self {
        let health = health::Health::new(Arc::clone(&service), Arc::clone(&classes), adopted, now);
        Self {
            in_use: vec![0; service.upstreams.len()],
            settings,
            service,
            classes,
            health,
            held: HashMap::new(),
            waiting: Vec::new(),
            next: 1,
        }
    }

    /// Health of the upstreams.
    pub fn health(&self) -> &health::Health {
        &self.health
    }

    /// Slots in use by upstream index.
    pub fn in_use(&self) -> &[u32] {
        &self.in_use
    }

    /// Requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Takes a new text into force; grants in use stay accounted by name.
    pub fn configure(
        &mut self,
        now: Instant,
        service: Arc<contract::Service>,
        classes: Arc<[contract::Class]>,
    ) {
        let view = self.health.view();
        let index = |name: &Arc<str>| service.upstreams.iter().position(|u| u.name == *name);
        let old = std::mem::replace(&mut self.service, Arc::clone(&service));
        self.health = health::Health::new(Arc::clone(&service), Arc::clone(&classes), &view, now);
        self.in_use = vec![0; service.upstreams.len()];
        self.held.retain(|_, held| {
            let Some(upstream) = index(&old.upstreams[held.upstream].name) else {
                return false;
            };
            held.upstream = upstream;
            true
        });
        for held in self.held.values() {
            self.in_use[held.upstream] += 1;
        }
        self.classes = classes;
    }

    /// Takes one event at the time `now`.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Acquire(acquire) => self.waiting.push((now + acquire.wait, acquire)),
            Event::Abandon(ticket) => self.waiting.retain(|(_, a)| a.ticket != ticket),
            Event::Overdue { .. } => {}
            Event::Settle {
                grant,
                outcome,
                elapsed,
            } => self.settle(now, grant, outcome, elapsed, &mut actions),
            Event::Renew { host, grants } => {
                for held in grants.iter().filter_map(|id| self.held.get(id)) {
                    debug_assert_eq!(held.host, host);
                }
                for id in grants {
                    if let Some(held) = self.held.get_mut(&id) {
                        held.renewed = now;
                    }
                }
            }
            Event::Inherit { .. } => {}
            Event::HostGone(host) => self.release(|held| held.host == host),
            Event::Leaving(name) => {
                if let Some(index) = self.service.upstreams.iter().position(|u| u.name == name) {
                    actions.extend(self.health.mark_leaving(index).into_iter().map(Action::Log));
                }
            }
            Event::Tick => {
                let silence = self.settings.holder_silence;
                self.release(|held| now.duration_since(held.renewed) >= silence);
                actions.extend(self.health.tick(now).into_iter().map(Action::Log));
            }
        }
        self.dispatch(now, &mut actions);
        actions
    }

    fn release(&mut self, lost: impl Fn(&Held) -> bool) {
        let in_use = &mut self.in_use;
        self.held.retain(|_, held| {
            let keep = !lost(held);
            if !keep {
                in_use[held.upstream] -= 1;
            }
            keep
        });
    }

    fn settle(
        &mut self,
        now: Instant,
        grant: Id,
        outcome: health::Outcome,
        elapsed: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(held) = self.held.remove(&grant) else {
            return;
        };
        self.in_use[held.upstream] -= 1;
        let changes = self.health.observe(
            now,
            &health::Observation {
                upstream: held.upstream,
                class: held.class,
                host: held.host,
                outcome,
                elapsed,
            },
        );
        actions.extend(changes.into_iter().map(Action::Log));
    }

    fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_key(|(limit, a)| (self.classes[a.class].priority, *limit));
        for (limit, acquire) in waiting {
            if let Some(upstream) = self.choose(now, &acquire) {
                let grant = self.next;
                self.next += 1;
                self.in_use[upstream] += 1;
                actions.push(Action::Grant {
                    ticket: acquire.ticket,
                    grant,
                    upstream,
                    slow_after: self.health.slow_after(acquire.class),
                });
                self.held.insert(
                    grant,
                    Held {
                        upstream,
                        class: acquire.class,
                        host: acquire.host,
                        renewed: now,
                    },
                );
            } else if now >= limit {
                actions.push(Action::Refuse {
                    ticket: acquire.ticket,
                    reason: Refusal::QueueTimeout,
                });
            } else {
                self.waiting.push((limit, acquire));
            }
        }
    }

    fn choose(&self, now: Instant, acquire: &Acquire) -> Option<usize> {
        let upstreams = &self.service.upstreams;
        (0..upstreams.len())
            .filter(|&i| {
                self.in_use[i] < self.health.slots(now, i, acquire.class)
                    && !acquire.excluded.contains(&upstreams[i].name)
            })
            .min_by_key(|&i| {
                (
                    upstreams[i].availability_zone != acquire.availability_zone,
                    self.in_use[i],
                )
            })
    }
}
