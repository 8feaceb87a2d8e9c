//! Requests for a slot: admission, queue and choice of an upstream.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::RngExt;

use super::{
    super::{
        Acquire, Action, Refusal, Ticket,
        grant::Grant,
        pool::Excluded,
        queue::{Group, Waiting},
    },
    Coordinator,
};

/// Maximum wait. Longer waits are reduced to it, so that adding them to the
/// current time does not overflow.
const MAX_WAIT: Duration = Duration::from_secs(24 * 60 * 60);

impl Coordinator {
    pub(super) fn group(&self, acquire: &Acquire) -> Group {
        let names = acquire.excluded.iter();
        let mut excluded: Excluded = names
            .filter_map(|n| self.index_by_name.get(n).copied())
            .collect();
        excluded.sort_unstable();
        excluded.dedup();
        Arc::new((acquire.class, excluded))
    }

    /// Returns whether any upstream that is not leaving could serve a request of
    /// the group.
    pub(super) fn is_possible(&self, group: &Group) -> bool {
        let upstreams = &self.service.upstreams;
        (0..upstreams.len()).any(|index| {
            upstreams[index].slots > 0 && !self.leaving[index] && !group.1.contains(&index)
        })
    }

    pub(super) fn acquire(
        &mut self,
        now: Instant,
        mut acquire: Acquire,
        actions: &mut Vec<Action>,
    ) {
        acquire.wait = acquire.wait.min(MAX_WAIT);
        // A duplicate message must not be answered twice.
        if self.queue.contains(acquire.ticket) {
            return;
        }
        self.grants.record_contact(now, &acquire.host);
        if acquire.attempt <= 1 {
            self.budget.earn();
        }
        // A daemon with another configuration may use a class that is unknown here.
        if acquire.class >= self.classes.len() {
            return self.refuse(&acquire, Refusal::NoUpstream, false, actions);
        }
        if self.pool.activate(acquire.class) {
            self.refresh_all(now);
        }
        let group = self.group(&acquire);
        if !self.is_possible(&group) {
            return self.refuse(&acquire, Refusal::NoUpstream, false, actions);
        }
        if acquire.attempt > 1 && !self.budget.take() {
            return self.refuse(&acquire, Refusal::Budget, false, actions);
        }
        // No waiting request can use a slot that is free now, so granting it to a
        // new request respects the order of the queue.
        if let Some(upstream) = self.choose(now, &acquire, &group) {
            return self.grant(now, &acquire, upstream, actions);
        }
        if let Some(reason) = self.check_queue_limits(now, &acquire) {
            return self.refuse(&acquire, reason, true, actions);
        }
        let class = &self.classes[acquire.class];
        let promote_at = class.upload.then(|| now + acquire.wait / 2);
        let customer = Arc::clone(&acquire.customer);
        self.queue.push(Waiting {
            group,
            priority: class.priority,
            deadline: now + acquire.wait,
            promote_at,
            is_promoted: false,
            acquire,
        });
        self.accounts
            .change(&customer, |account| account.waiting += 1);
        self.queue
            .set_excess(&customer, self.accounts.excess(&customer));
    }

    /// Returns why a request without a free slot must not be queued, or `None` if
    /// it may wait.
    pub(super) fn check_queue_limits(&self, now: Instant, acquire: &Acquire) -> Option<Refusal> {
        let own = self.accounts.get(&acquire.customer).waiting;
        if own >= self.settings.max_customer_queued {
            return Some(Refusal::CustomerLimit);
        }
        if self.queue.len() >= self.settings.max_queued {
            return Some(Refusal::Overloaded);
        }
        let mean = self.service_time.mean()?;
        let max_wait = acquire.wait.as_secs_f64();
        let estimate = |ahead: usize, slots: u32| {
            // Without an open slot the wait cannot be estimated.
            (slots > 0).then(|| mean * (ahead + 1) as f64 / f64::from(slots))
        };
        // If no other customer waits, a customer may exceed its share.
        if self.queue.len() > own
            && let Some(share) = self.accounts.limit(&acquire.customer)
            && estimate(own, share)? > max_wait
        {
            return Some(Refusal::CustomerLimit);
        }
        let class = &self.classes[acquire.class];
        let (higher, same) = self.queue.count_ahead(class.priority, now + acquire.wait);
        let open = self.pool.open_slots();
        let mut wait = estimate(higher + same, open)?;
        if class.upload {
            // After half of its wait, an upload is promoted ahead of the higher
            // priorities, so these alone are no reason to refuse it.
            wait = wait.min(max_wait / 2.0 + estimate(same, open)?);
        }
        (wait > max_wait).then_some(Refusal::Overloaded)
    }

    pub(super) fn choose(
        &mut self,
        now: Instant,
        acquire: &Acquire,
        group: &Group,
    ) -> Option<usize> {
        let class = acquire.class;
        let explore =
            self.classes[class].repeatable && self.rng.random_bool(self.settings.explore_ratio);
        for _ in 0..=self.service.upstreams.len() {
            let zone = &acquire.availability_zone;
            let upstream = self
                .pool
                .choose(class, zone, &group.1, explore, &mut self.rng)?;
            let full = self.service.upstreams[upstream].slots;
            let slots = self.health.slots(now, upstream, class).min(full);
            if slots == self.pool.slots(upstream, class) {
                return Some(upstream);
            }
            // The slots that health allows have changed with time since the
            // last update of the pool.
            self.refresh(now, upstream);
        }
        None
    }

    pub(super) fn grant(
        &mut self,
        now: Instant,
        acquire: &Acquire,
        upstream: usize,
        actions: &mut Vec<Action>,
    ) {
        // An inherited grant of another coordinator may have the next number.
        while self.grants.get(self.next_grant).is_some() {
            self.next_grant += 1;
        }
        let id = self.next_grant;
        self.next_grant += 1;
        actions.push(Action::Grant {
            ticket: acquire.ticket,
            grant: id,
            upstream,
            slow_after: self.health.slow_after(acquire.class),
        });
        let grant = Grant {
            upstream,
            class: Some(acquire.class),
            customer: Arc::clone(&acquire.customer),
            host: Arc::clone(&acquire.host),
            granted_at: now,
            is_overdue: false,
        };
        self.insert_grant(now, id, grant);
    }

    pub(super) fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut retries = 0;
        while let Some(ticket) = self
            .queue
            .next(|group| self.pool.has_free(group.0, &group.1))
        {
            let Some(waiting) = self.queue.remove(ticket) else {
                return;
            };
            if let Some(upstream) = self.choose(now, &waiting.acquire, &waiting.group) {
                self.stop_waiting(&waiting.acquire);
                self.grant(now, &waiting.acquire, upstream, actions);
                continue;
            }
            // The slots in the pool were out of date. `choose` has updated them,
            // so this ends after one pass over the upstreams.
            self.queue.push(waiting);
            retries += 1;
            if retries > self.service.upstreams.len() {
                return;
            }
        }
    }

    pub(super) fn expire(&mut self, now: Instant, inclusive: bool, actions: &mut Vec<Action>) {
        while let Some(ticket) = self.queue.next_expired(now, inclusive) {
            self.refuse_waiting(ticket, Refusal::QueueTimeout, actions);
        }
    }

    pub(super) fn refuse_impossible(&mut self, actions: &mut Vec<Action>) {
        for ticket in self.queue.tickets(|group| !self.is_possible(group)) {
            self.refuse_waiting(ticket, Refusal::NoUpstream, actions);
        }
    }

    pub(super) fn refuse_waiting(
        &mut self,
        ticket: Ticket,
        reason: Refusal,
        actions: &mut Vec<Action>,
    ) {
        if let Some(waiting) = self.queue.remove(ticket) {
            self.stop_waiting(&waiting.acquire);
            self.refuse(&waiting.acquire, reason, true, actions);
        }
    }

    /// Removes a waiting request from the account of its customer.
    pub(super) fn stop_waiting(&mut self, acquire: &Acquire) {
        self.accounts
            .change(&acquire.customer, |account| account.waiting -= 1);
    }

    /// Returns the retry token of a request that gets no slot.
    pub(super) fn refund(&mut self, acquire: &Acquire) {
        if acquire.attempt > 1 {
            self.budget.refund();
        }
    }

    /// Refuses a request. If `is_charged`, a retry gets its retry token back.
    pub(super) fn refuse(
        &mut self,
        acquire: &Acquire,
        reason: Refusal,
        is_charged: bool,
        actions: &mut Vec<Action>,
    ) {
        if is_charged {
            self.refund(acquire);
        }
        actions.push(Action::Refuse {
            ticket: acquire.ticket,
            reason,
        });
    }
}
