//! Grants in use: evidence, settlement and release.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    super::{Action, Id, grant::Held},
    Coordinator,
};
use crate::health;

impl Coordinator {
    pub(super) fn hold(&mut self, now: Instant, id: Id, held: Held) {
        let upstream = held.upstream;
        self.pool.add(upstream, held.class);
        self.use_slots(&held.customer, 1);
        self.grants.insert(now, id, held);
        self.refresh(now, upstream);
    }

    pub(super) fn inherit(
        &mut self,
        now: Instant,
        host: Arc<str>,
        upstream: &Arc<str>,
        class: usize,
        customer: Arc<str>,
        grant: Id,
    ) {
        self.grants.heard(now, &host);
        let Some(&upstream) = self.names.get(upstream) else {
            return;
        };
        if self.grants.get(grant).is_some() {
            return;
        }
        let class = (class < self.classes.len()).then_some(class);
        if class.is_some_and(|class| self.pool.activate(class)) {
            self.refresh_all(now);
        }
        let held = Held {
            upstream,
            class,
            customer,
            host,
            since: now,
            overdue: false,
        };
        self.hold(now, grant, held);
    }

    pub(super) fn overdue(
        &mut self,
        now: Instant,
        grant: Id,
        elapsed: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(held) = self.grants.get_mut(grant) else {
            return;
        };
        if std::mem::replace(&mut held.overdue, true) {
            return;
        }
        let host = Arc::clone(&held.host);
        let (upstream, class) = (held.upstream, held.class);
        self.grants.heard(now, &host);
        let outcome = health::Outcome::Overdue;
        self.observe(now, upstream, class, host, outcome, elapsed, actions);
    }

    pub(super) fn settle(
        &mut self,
        now: Instant,
        grant: Id,
        outcome: health::Outcome,
        elapsed: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(held) = self.release(now, grant) else {
            return;
        };
        self.grants.heard(now, &held.host);
        let used = now.saturating_duration_since(held.since).max(elapsed);
        let half_life = self.settings.service_time_half_life;
        self.service_time.record(now, half_life, used);
        // The evidence of an overdue attempt was taken when it became overdue.
        if !held.overdue {
            let (upstream, class) = (held.upstream, held.class);
            self.observe(now, upstream, class, held.host, outcome, elapsed, actions);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of an observation")]
    pub(super) fn observe(
        &mut self,
        now: Instant,
        upstream: usize,
        class: Option<usize>,
        host: Arc<str>,
        outcome: health::Outcome,
        elapsed: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(class) = class else {
            return;
        };
        let observation = health::Observation {
            upstream,
            class,
            host,
            outcome,
            elapsed,
        };
        self.observations += 1;
        let changes = self.health.observe(now, &observation);
        self.refresh(now, upstream);
        self.take_changes(now, changes, actions);
    }

    /// Frees the slot of a grant.
    pub(super) fn release(&mut self, now: Instant, id: Id) -> Option<Held> {
        let held = self.grants.remove(id)?;
        self.pool.remove(held.upstream, held.class);
        self.use_slots(&held.customer, -1);
        self.refresh(now, held.upstream);
        Some(held)
    }

    pub(super) fn release_host(&mut self, now: Instant, host: &str) {
        for id in self.grants.of_host(host) {
            self.release(now, id);
        }
    }

    pub(super) fn use_slots(&mut self, customer: &Arc<str>, change: i32) {
        self.accounts.change(customer, |account| {
            account.in_use = account.in_use.saturating_add_signed(change);
        });
        self.queue
            .set_excess(customer, self.accounts.excess(customer));
    }
}
