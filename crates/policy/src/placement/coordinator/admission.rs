//! Requests for a slot: admission, queue and choice of an upstream.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::RngExt;

use super::{
    super::{
        Acquire, Action, Refusal, Ticket,
        grant::Held,
        pool::Excluded,
        queue::{Group, Waiting},
    },
    Coordinator,
};

/// Longer waits are cut to this one, so that no limit is beyond the clock.
const MAX_WAIT: Duration = Duration::from_secs(24 * 60 * 60);

impl Coordinator {
    pub(super) fn group(&self, acquire: &Acquire) -> Group {
        let names = acquire.excluded.iter();
        let mut excluded: Excluded = names.filter_map(|n| self.names.get(n).copied()).collect();
        excluded.sort_unstable();
        excluded.dedup();
        Arc::new((acquire.class, excluded))
    }

    /// Whether any upstream that stays could take a request of the group.
    pub(super) fn possible(&self, group: &Group) -> bool {
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
        // A repeated message must not be answered twice.
        if self.queue.contains(acquire.ticket) {
            return;
        }
        self.grants.heard(now, &acquire.host);
        if acquire.attempt <= 1 {
            self.budget.earn();
        }
        // A daemon with another text may name a class that is not known here.
        if acquire.class >= self.classes.len() {
            return self.refuse(&acquire, Refusal::NoUpstream, false, actions);
        }
        if self.pool.activate(acquire.class) {
            self.refresh_all(now);
        }
        let group = self.group(&acquire);
        if !self.possible(&group) {
            return self.refuse(&acquire, Refusal::NoUpstream, false, actions);
        }
        if acquire.attempt > 1 && !self.budget.take() {
            return self.refuse(&acquire, Refusal::Budget, false, actions);
        }
        // No waiting request can take a slot that is free now, so a grant to a
        // new one keeps the order of the queue.
        if let Some(upstream) = self.choose(now, &acquire, &group) {
            return self.grant(now, &acquire, upstream, actions);
        }
        if let Some(reason) = self.over_limit(now, &acquire) {
            return self.refuse(&acquire, reason, true, actions);
        }
        let class = &self.classes[acquire.class];
        let promote = class.upload.then(|| now + acquire.wait / 2);
        let customer = Arc::clone(&acquire.customer);
        self.queue.push(Waiting {
            group,
            priority: class.priority,
            limit: now + acquire.wait,
            promote,
            promoted: false,
            acquire,
        });
        self.accounts
            .change(&customer, |account| account.waiting += 1);
        self.queue
            .set_excess(&customer, self.accounts.excess(&customer));
    }

    /// Why a request that no slot is free for should not wait, if it should not.
    pub(super) fn over_limit(&self, now: Instant, acquire: &Acquire) -> Option<Refusal> {
        let own = self.accounts.get(&acquire.customer).waiting;
        if own >= self.settings.max_customer_queued {
            return Some(Refusal::CustomerLimit);
        }
        if self.queue.len() >= self.settings.max_queued {
            return Some(Refusal::Overloaded);
        }
        let mean = self.service_time.mean()?;
        let limit = acquire.wait.as_secs_f64();
        let estimate = |ahead: usize, slots: u32| {
            // Without an open slot there is no rate to estimate from.
            (slots > 0).then(|| mean * (ahead + 1) as f64 / f64::from(slots))
        };
        // Alone in the queue, a customer may use the slots of all.
        if self.queue.len() > own
            && let Some(share) = self.accounts.limit(&acquire.customer)
            && estimate(own, share)? > limit
        {
            return Some(Refusal::CustomerLimit);
        }
        let class = &self.classes[acquire.class];
        let (higher, same) = self.queue.ahead(class.priority, now + acquire.wait);
        let open = self.pool.open();
        let mut wait = estimate(higher + same, open)?;
        if class.upload {
            // Promotion puts it before the higher priorities after half of its
            // limit, so these alone are no reason to refuse it.
            wait = wait.min(limit / 2.0 + estimate(same, open)?);
        }
        (wait > limit).then_some(Refusal::Overloaded)
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
            // The health changed with time since the upstream was entered.
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
        // A grant of another coordinator may have been inherited under the next
        // number.
        while self.grants.get(self.next).is_some() {
            self.next += 1;
        }
        let id = self.next;
        self.next += 1;
        actions.push(Action::Grant {
            ticket: acquire.ticket,
            grant: id,
            upstream,
            slow_after: self.health.slow_after(acquire.class),
        });
        let held = Held {
            upstream,
            class: Some(acquire.class),
            customer: Arc::clone(&acquire.customer),
            host: Arc::clone(&acquire.host),
            since: now,
            overdue: false,
        };
        self.hold(now, id, held);
    }

    pub(super) fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut stale = 0;
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
            // The slots seen as free were gone with time; they are entered
            // anew by now, so this ends after one pass over the upstreams.
            self.queue.push(waiting);
            stale += 1;
            if stale > self.service.upstreams.len() {
                return;
            }
        }
    }

    pub(super) fn expire(&mut self, now: Instant, inclusive: bool, actions: &mut Vec<Action>) {
        while let Some(ticket) = self.queue.expired(now, inclusive) {
            self.refuse_waiting(ticket, Refusal::QueueTimeout, actions);
        }
    }

    pub(super) fn refuse_impossible(&mut self, actions: &mut Vec<Action>) {
        for ticket in self.queue.tickets(|group| !self.possible(group)) {
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

    /// Takes a waiting request out of its customer's account.
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

    /// Turns a request away; `charged` says whether it paid for a retry.
    pub(super) fn refuse(
        &mut self,
        acquire: &Acquire,
        reason: Refusal,
        charged: bool,
        actions: &mut Vec<Action>,
    ) {
        if charged {
            self.refund(acquire);
        }
        actions.push(Action::Refuse {
            ticket: acquire.ticket,
            reason,
        });
    }
}
