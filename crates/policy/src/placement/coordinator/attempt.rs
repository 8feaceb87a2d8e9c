//! Grants in use: evidence, settlement and release.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    super::{Action, Id, grant::Grant},
    Coordinator,
};
use crate::health;

impl Coordinator {
    pub(super) fn insert_grant(&mut self, now: Instant, id: Id, grant: Grant) {
        let upstream = grant.upstream;
        self.pool.add(upstream, grant.class);
        self.adjust_in_use(&grant.customer, 1);
        self.grants.insert(now, id, grant);
        self.refresh(now, upstream);
    }

    pub(super) fn inherit(
        &mut self,
        now: Instant,
        host: Arc<str>,
        upstream: &Arc<str>,
        class: usize,
        customer: Arc<str>,
        id: Id,
    ) {
        self.grants.record_contact(now, &host);
        let Some(&upstream) = self.index_by_name.get(upstream) else {
            return;
        };
        if self.grants.get(id).is_some() {
            return;
        }
        let class = (class < self.classes.len()).then_some(class);
        if class.is_some_and(|class| self.pool.activate(class)) {
            self.refresh_all(now);
        }
        let grant = Grant {
            upstream,
            class,
            customer,
            host,
            granted_at: now,
            is_overdue: false,
        };
        self.insert_grant(now, id, grant);
    }

    pub(super) fn overdue(
        &mut self,
        now: Instant,
        id: Id,
        elapsed: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(grant) = self.grants.get_mut(id) else {
            return;
        };
        if std::mem::replace(&mut grant.is_overdue, true) {
            return;
        }
        let host = Arc::clone(&grant.host);
        let (upstream, class) = (grant.upstream, grant.class);
        self.grants.record_contact(now, &host);
        let outcome = health::Outcome::Overdue;
        self.observe(now, upstream, class, host, outcome, elapsed, actions);
    }

    pub(super) fn settle(
        &mut self,
        now: Instant,
        id: Id,
        outcome: health::Outcome,
        elapsed: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(grant) = self.release(now, id) else {
            return;
        };
        self.grants.record_contact(now, &grant.host);
        let used = now.saturating_duration_since(grant.granted_at).max(elapsed);
        let half_life = self.settings.service_time_half_life;
        self.service_time.record(now, half_life, used);
        // An overdue attempt was counted as evidence when it became overdue.
        if !grant.is_overdue {
            let (upstream, class) = (grant.upstream, grant.class);
            self.observe(now, upstream, class, grant.host, outcome, elapsed, actions);
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
        self.apply_changes(now, changes, actions);
    }

    /// Releases the slot of a grant and returns the grant, if it exists.
    pub(super) fn release(&mut self, now: Instant, id: Id) -> Option<Grant> {
        let grant = self.grants.remove(id)?;
        self.pool.remove(grant.upstream, grant.class);
        self.adjust_in_use(&grant.customer, -1);
        self.refresh(now, grant.upstream);
        Some(grant)
    }

    pub(super) fn release_host(&mut self, now: Instant, host: &str) {
        for id in self.grants.of_host(host) {
            self.release(now, id);
        }
    }

    pub(super) fn adjust_in_use(&mut self, customer: &Arc<str>, change: i32) {
        self.accounts.change(customer, |account| {
            account.in_use = account.in_use.saturating_add_signed(change);
        });
        self.queue
            .set_excess(customer, self.accounts.excess(customer));
    }
}
