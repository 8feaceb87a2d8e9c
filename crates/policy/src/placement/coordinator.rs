//! Events of a service and what follows from them.

mod admission;
mod attempt;
mod configuration;

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    Action, Event, Id, Refusal, Settings, customer::Accounts, grant::Grants, pool::Pool,
    queue::Queue,
};
use crate::{budget, contract, health};

/// Bits of a grant's number below the term.
const TERM_SHIFT: u32 = 40;
/// Weight of settled attempts needed before the wait is estimated, which three
/// recent ones have, so that one long attempt after a start does not refuse
/// the next requests.
const SAMPLES: f64 = 2.5;

/// Decayed mean of the time that an attempt uses a slot.
struct ServiceTime {
    sum: f64,
    weight: f64,
    at: Instant,
}

impl ServiceTime {
    fn record(&mut self, now: Instant, half_life: Duration, used: Duration) {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let decay = 0.5_f64.powf(age / half_life.as_secs_f64());
        self.sum = self.sum * decay + used.as_secs_f64();
        self.weight = self.weight * decay + 1.0;
        self.at = self.at.max(now);
    }

    fn mean(&self) -> Option<f64> {
        (self.weight >= SAMPLES).then(|| self.sum / self.weight)
    }
}

/// Slots, queue and health of one service.
pub struct Coordinator {
    settings: Settings,
    service: Arc<contract::Service>,
    classes: Arc<[contract::Class]>,
    /// Indexes of the upstreams by name.
    names: HashMap<Arc<str>, usize>,
    leaving: Vec<bool>,
    health: health::Health,
    pool: Pool,
    grants: Grants,
    queue: Queue,
    accounts: Accounts,
    budget: budget::Budget,
    service_time: ServiceTime,
    rng: SmallRng,
    next: Id,
    ticked: Instant,
    observations: u64,
    /// Whether the slots of an upstream that stays are reduced by its health.
    reduced: bool,
}

impl Coordinator {
    /// Starts a term with no slot in use.
    pub fn new(
        settings: Settings,
        service: Arc<contract::Service>,
        classes: Arc<[contract::Class]>,
        customers: Arc<contract::Customers>,
        adopted: &health::View,
        now: Instant,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(settings.seed);
        // Two coordinators may believe in the same term; with random starts
        // their grants have different numbers all the same.
        let offset = rng.next_u64() >> (64 - TERM_SHIFT + 1);
        let health = health::Health::new(Arc::clone(&service), Arc::clone(&classes), adopted, now);
        let mut coordinator = Self {
            names: HashMap::new(),
            leaving: Vec::new(),
            pool: Pool::new(&service, classes.len(), settings.avoid_threshold),
            grants: Grants::new(settings.holder_timeout),
            queue: Queue::new(now),
            accounts: Accounts::new(customers),
            budget: budget::Budget::default(),
            service_time: ServiceTime {
                sum: 0.0,
                weight: 0.0,
                at: now,
            },
            rng,
            next: (settings.term << TERM_SHIFT) | offset,
            ticked: now,
            observations: 0,
            reduced: false,
            settings,
            service,
            classes,
            health,
        };
        coordinator.index();
        coordinator
    }

    /// Health of the upstreams.
    pub fn health(&self) -> &health::Health {
        &self.health
    }

    /// Slots in use by upstream index.
    pub fn in_use(&self) -> &[u32] {
        self.pool.in_use()
    }

    /// Requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Grants in use.
    pub fn granted(&self) -> usize {
        self.grants.len()
    }

    /// Limits of this coordinator.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Outcomes passed to the health of the upstreams so far.
    pub fn observations(&self) -> u64 {
        self.observations
    }

    /// Term of this coordinator.
    pub fn term(&self) -> u64 {
        self.settings.term
    }

    /// Time by which the next [`Event::Tick`] is due, if nothing else happens.
    pub fn next_tick(&self) -> Option<Instant> {
        // Without grants there is no evidence, and without reduced slots there
        // is nothing to restore.
        let judged = self.reduced || self.grants.len() > 0;
        let health = judged.then(|| self.ticked + self.settings.health_interval);
        [
            self.queue.next_deadline(),
            self.grants.next_deadline(),
            health,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Takes one event at the time `now`.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        // Before expiry, so that an abandoned request is not answered.
        if let Event::Abandon(ticket) = event
            && let Some(waiting) = self.queue.remove(ticket)
        {
            self.stop_waiting(&waiting.acquire);
            self.refund(&waiting.acquire);
        }
        self.expire(now, false, &mut actions);
        match event {
            Event::Acquire(acquire) => self.acquire(now, acquire, &mut actions),
            Event::Abandon(_) => {}
            Event::Overdue { grant, elapsed } => {
                self.overdue(now, grant, elapsed, &mut actions);
            }
            Event::Settle {
                grant,
                outcome,
                elapsed,
            } => self.settle(now, grant, outcome, elapsed, &mut actions),
            Event::Renew { host, grants } => {
                self.grants.heard(now, &host);
                let age = self.settings.min_unlisted_age;
                for id in self.grants.unlisted(now, &host, &grants, age) {
                    self.release(now, id);
                }
            }
            Event::Inherit {
                host,
                upstream,
                class,
                customer,
                grant,
            } => self.inherit(now, host, &upstream, class, customer, grant),
            Event::HostGone(host) => {
                self.release_host(now, &host);
                for ticket in self.queue.of_host(&host) {
                    self.refuse_waiting(ticket, Refusal::QueueTimeout, &mut actions);
                }
            }
            Event::Leaving(name) => {
                if let Some(&upstream) = self.names.get(&name) {
                    let changes = self.health.mark_leaving(upstream);
                    self.take_changes(now, changes, &mut actions);
                }
            }
            Event::Returned(name) => {
                if let Some(&upstream) = self.names.get(&name)
                    && !self.service.upstreams[upstream].leaving
                {
                    self.health.mark_returned(now, upstream);
                    self.index();
                    self.refresh_all(now);
                }
            }
            Event::Adopt(view) => {
                let changes = self.health.adopt(now, &view);
                self.take_changes(now, changes, &mut actions);
                // Ejections taken over are no changes of this term.
                self.index();
                self.refresh_all(now);
            }
            Event::Tick => {
                self.ticked = now;
                let changes = self.health.tick(now);
                self.take_changes(now, changes, &mut actions);
                self.refresh_all(now);
            }
        }
        while let Some(host) = self.grants.silent(now) {
            self.release_host(now, &host);
        }
        self.dispatch(now, &mut actions);
        self.expire(now, true, &mut actions);
        actions
    }

    fn take_changes(
        &mut self,
        now: Instant,
        changes: Vec<health::Change>,
        actions: &mut Vec<Action>,
    ) {
        // A change may concern one class or all, so all are entered anew;
        // changes are rare.
        if !changes.is_empty() {
            self.index();
            self.refresh_all(now);
            self.refuse_impossible(actions);
        }
        actions.extend(changes.into_iter().map(Action::Log));
    }

    fn refresh(&mut self, now: Instant, upstream: usize) {
        let full = self.service.upstreams[upstream].slots;
        let reduced = self.pool.update(now, upstream, full, &self.health);
        self.reduced |= reduced && !self.leaving[upstream];
        if self.accounts.resize(self.pool.open()) {
            for customer in self.queue.customers() {
                self.queue
                    .set_excess(&customer, self.accounts.excess(&customer));
            }
        }
    }

    fn refresh_all(&mut self, now: Instant) {
        self.reduced = false;
        for upstream in 0..self.service.upstreams.len() {
            self.refresh(now, upstream);
        }
    }
}
