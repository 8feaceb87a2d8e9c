//! Handling of the events of one service.

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

/// Number of bits of a grant number below the term.
const TERM_SHIFT: u32 = 40;
/// Minimum weight of settled attempts for estimating the wait. Three recent
/// attempts reach it. With fewer, a single long attempt after a start would cause
/// the next requests to be refused.
const MIN_SERVICE_TIME_WEIGHT: f64 = 2.5;

/// Exponentially decayed mean of the time that an attempt uses a slot.
struct ServiceTime {
    sum: f64,
    weight: f64,
    updated_at: Instant,
}

impl ServiceTime {
    fn record(&mut self, now: Instant, half_life: Duration, used: Duration) {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let decay = 0.5_f64.powf(age / half_life.as_secs_f64());
        self.sum = self.sum * decay + used.as_secs_f64();
        self.weight = self.weight * decay + 1.0;
        self.updated_at = self.updated_at.max(now);
    }

    fn mean(&self) -> Option<f64> {
        (self.weight >= MIN_SERVICE_TIME_WEIGHT).then(|| self.sum / self.weight)
    }
}

/// Slots, queue and health of the upstreams of one service.
pub struct Coordinator {
    settings: Settings,
    service: Arc<contract::Service>,
    classes: Arc<[contract::Class]>,
    /// Indexes of the upstreams by name.
    index_by_name: HashMap<Arc<str>, usize>,
    leaving: Vec<bool>,
    health: health::Health,
    pool: Pool,
    grants: Grants,
    queue: Queue,
    accounts: Accounts,
    budget: budget::Budget,
    service_time: ServiceTime,
    rng: SmallRng,
    next_grant: Id,
    last_tick: Instant,
    observations: u64,
    /// Whether health reduces the slots of any upstream that is not leaving.
    has_reduced_slots: bool,
}

impl Coordinator {
    /// Creates the coordinator at the start of a term, with no slot in use.
    pub fn new(
        settings: Settings,
        service: Arc<contract::Service>,
        classes: Arc<[contract::Class]>,
        customers: Arc<contract::Customers>,
        adopted: &health::View,
        now: Instant,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(settings.seed);
        // Two coordinators may act in the same term. With random offsets, their
        // grant numbers still differ.
        let offset = rng.next_u64() >> (64 - TERM_SHIFT + 1);
        let health = health::Health::new(Arc::clone(&service), Arc::clone(&classes), adopted, now);
        let mut coordinator = Self {
            index_by_name: HashMap::new(),
            leaving: Vec::new(),
            pool: Pool::new(&service, classes.len(), settings.avoid_threshold),
            grants: Grants::new(settings.holder_timeout),
            queue: Queue::new(now),
            accounts: Accounts::new(customers),
            budget: budget::Budget::default(),
            service_time: ServiceTime {
                sum: 0.0,
                weight: 0.0,
                updated_at: now,
            },
            rng,
            next_grant: (settings.term << TERM_SHIFT) | offset,
            last_tick: now,
            observations: 0,
            has_reduced_slots: false,
            settings,
            service,
            classes,
            health,
        };
        coordinator.rebuild_index();
        coordinator
    }

    /// Returns the health of the upstreams.
    pub fn health(&self) -> &health::Health {
        &self.health
    }

    /// Returns the slots in use by upstream index.
    pub fn in_use(&self) -> &[u32] {
        self.pool.in_use()
    }

    /// Returns the number of requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of grants in use.
    pub fn granted(&self) -> usize {
        self.grants.len()
    }

    /// Returns the settings of this coordinator.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the number of outcomes passed to the health of the upstreams.
    pub fn observations(&self) -> u64 {
        self.observations
    }

    /// Returns the term of this coordinator.
    pub fn term(&self) -> u64 {
        self.settings.term
    }

    /// Returns the time at which the next [`Event::Tick`] is due if no other event
    /// is handled before.
    pub fn next_tick(&self) -> Option<Instant> {
        // Without grants there is no new evidence, and without reduced slots there
        // is no capacity to restore.
        let needs_health_tick = self.has_reduced_slots || self.grants.len() > 0;
        let health = needs_health_tick.then(|| self.last_tick + self.settings.health_interval);
        [
            self.queue.next_deadline(),
            self.grants.next_deadline(),
            health,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Handles one event at the time `now` and returns the resulting actions.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        // Done before expiry, so that an abandoned request is not answered.
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
                self.grants.record_contact(now, &host);
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
                if let Some(&upstream) = self.index_by_name.get(&name) {
                    let changes = self.health.mark_leaving(upstream);
                    self.apply_changes(now, changes, &mut actions);
                }
            }
            Event::Returned(name) => {
                if let Some(&upstream) = self.index_by_name.get(&name)
                    && !self.service.upstreams[upstream].leaving
                {
                    self.health.mark_returned(now, upstream);
                    self.rebuild_index();
                    self.refresh_all(now);
                }
            }
            Event::Adopt(view) => {
                let changes = self.health.adopt(now, &view);
                self.apply_changes(now, changes, &mut actions);
                // Adopted ejections are not reported as changes, so the slots are
                // updated in any case.
                self.rebuild_index();
                self.refresh_all(now);
            }
            Event::Tick => {
                self.last_tick = now;
                let changes = self.health.tick(now);
                self.apply_changes(now, changes, &mut actions);
                self.refresh_all(now);
            }
        }
        while let Some(host) = self.grants.expired_holder(now) {
            self.release_host(now, &host);
        }
        self.dispatch(now, &mut actions);
        self.expire(now, true, &mut actions);
        actions
    }

    fn apply_changes(
        &mut self,
        now: Instant,
        changes: Vec<health::Change>,
        actions: &mut Vec<Action>,
    ) {
        // A change may concern one class or all classes. Everything is updated,
        // since changes are rare.
        if !changes.is_empty() {
            self.rebuild_index();
            self.refresh_all(now);
            self.refuse_impossible(actions);
        }
        actions.extend(changes.into_iter().map(Action::Log));
    }

    fn refresh(&mut self, now: Instant, upstream: usize) {
        let full = self.service.upstreams[upstream].slots;
        let reduced = self.pool.update(now, upstream, full, &self.health);
        self.has_reduced_slots |= reduced && !self.leaving[upstream];
        if self.accounts.set_open_slots(self.pool.open_slots()) {
            for customer in self.queue.customers() {
                self.queue
                    .set_excess(&customer, self.accounts.excess(&customer));
            }
        }
    }

    fn refresh_all(&mut self, now: Instant) {
        self.has_reduced_slots = false;
        for upstream in 0..self.service.upstreams.len() {
            self.refresh(now, upstream);
        }
    }
}
