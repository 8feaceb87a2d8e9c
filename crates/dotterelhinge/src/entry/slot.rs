//! Slots for attempts: granted by the coordinator of the service, or chosen by
//! this daemon alone while the coordinator can't be reached.

use std::{
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{contract, health, placement};

use super::{Exchange, Worker};
use crate::{coordinator, ledger, metrics, wire};

/// A coordinator that has not answered for this much longer than it may take
/// is passed over.
const ANSWER_GRACE: Duration = Duration::from_millis(50);

/// A coordinator that failed is not asked again for this long.
const PASSED_OVER: Duration = Duration::from_secs(1);

/// A grant must be used within this time.
const START_WITHIN: Duration = Duration::from_secs(1);

/// Slots that this worker uses by its own choice, and coordinators that it
/// passes over.
#[derive(Default)]
pub struct Own {
    in_use: HashMap<std::net::SocketAddr, u32>,
    passed_over: HashMap<Arc<str>, Instant>,
}

/// The right to run one attempt on one upstream. Dropping it gives the slot
/// back without evidence.
pub struct Slot {
    worker: Rc<Worker>,
    upstream: contract::Upstream,
    attempt: u64,
    granted: bool,
    settled: bool,
    /// The attempt must start by then.
    pub start_by: Instant,
    /// The attempt counts as slow after this time.
    pub slow_after: Duration,
}

impl Slot {
    /// Name of the upstream.
    pub fn upstream(&self) -> &Arc<str> {
        &self.upstream.name
    }

    /// Address of the upstream.
    pub fn address(&self) -> std::net::SocketAddr {
        self.upstream.address
    }

    /// Reports that the attempt is slow.
    pub fn overdue(&self, elapsed: Duration) {
        if self.granted {
            self.worker.ledger.do_send(ledger::Overdue {
                attempt: self.attempt,
                elapsed,
            });
        }
    }

    /// Gives the slot back with evidence.
    pub fn settle(mut self, outcome: health::Outcome, elapsed: Duration, draining: bool) {
        self.finish(outcome, elapsed, draining);
    }

    fn finish(&mut self, outcome: health::Outcome, elapsed: Duration, draining: bool) {
        if std::mem::replace(&mut self.settled, true) {
            return;
        }
        if self.granted {
            self.worker.ledger.do_send(ledger::Settle {
                attempt: self.attempt,
                outcome,
                elapsed,
                draining,
            });
        } else {
            let mut own = self.worker.slots.borrow_mut();
            if let Some(in_use) = own.in_use.get_mut(&self.upstream.address) {
                *in_use = in_use.saturating_sub(1);
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.finish(health::Outcome::Neutral, Duration::ZERO, false);
    }
}

/// Gets a slot for the next attempt of `exchange`.
pub async fn acquire(
    worker: &Rc<Worker>,
    exchange: &Exchange,
) -> Result<Slot, placement::Refusal> {
    let now = worker.context.clock.now();
    let members = worker.context.members.load_full();
    if let Some(member) = members.coordinator(&exchange.service().name) {
        let passed_over = worker
            .slots
            .borrow()
            .passed_over
            .get(&member.host)
            .is_some_and(|since| now.duration_since(*since) < PASSED_OVER);
        if !passed_over {
            match ask(worker, exchange, member).await {
                Some(wire::Answer::Granted(grant)) => {
                    if let Some(slot) = accept(worker, exchange, member, &grant) {
                        return Ok(slot);
                    }
                }
                Some(wire::Answer::Refused(refusal)) => return Err(refusal),
                Some(wire::Answer::Queued { .. } | wire::Answer::NotCoordinator) => {}
                None => {
                    let now = worker.context.clock.now();
                    log::warn!(event = "coordinator_unreachable", service = &*exchange.service().name, coordinator = &*member.host;
                        "placing requests without the coordinator");
                    worker
                        .slots
                        .borrow_mut()
                        .passed_over
                        .insert(Arc::clone(&member.host), now);
                }
            }
        }
    }
    metrics::Registry::add(&worker.context.metrics.counters.fallbacks, 1);
    alone(worker, exchange).ok_or(placement::Refusal::NoUpstream)
}

async fn ask(
    worker: &Rc<Worker>,
    exchange: &Exchange,
    member: &crate::members::Member,
) -> Option<wire::Answer> {
    let now = worker.context.clock.now();
    let settings = &worker.context.settings;
    let wait = exchange.class().queue.min(exchange.left(now));
    let message = wire::Acquire {
        service: Arc::clone(&exchange.service().name),
        class: Arc::clone(&exchange.class().name),
        customer: Arc::clone(&exchange.customer),
        host: Arc::clone(&settings.host),
        availability_zone: Arc::clone(&settings.availability_zone),
        wait_ms: wait.as_millis() as u32,
        attempt: exchange.attempts,
        excluded: exchange.excluded.clone(),
    };
    let local = member.host == settings.host;
    let mut answer = if local {
        worker.coordinator.send(coordinator::Acquire(message)).await.ok()
    } else {
        let limit = coordinator::FIRST_ANSWER + ANSWER_GRACE;
        worker
            .peers
            .post(member.address, "/peer/v1/acquire", &message, limit)
            .await
            .ok()
    };
    while let Some(wire::Answer::Queued { ticket }) = answer {
        let message = wire::Await {
            service: Arc::clone(&exchange.service().name),
            ticket,
        };
        answer = if local {
            worker.coordinator.send(coordinator::Await(message)).await.ok()
        } else {
            let limit = coordinator::NEXT_ANSWER + ANSWER_GRACE;
            worker
                .peers
                .post(member.address, "/peer/v1/await", &message, limit)
                .await
                .ok()
        };
    }
    answer
}

fn accept(
    worker: &Rc<Worker>,
    exchange: &Exchange,
    member: &crate::members::Member,
    grant: &wire::Grant,
) -> Option<Slot> {
    let attempt = Worker::next_attempt();
    worker.ledger.do_send(ledger::Hold {
        attempt,
        held: ledger::Held {
            coordinator: Arc::clone(&member.host),
            service: Arc::clone(&exchange.service().name),
            class: Arc::clone(&exchange.class().name),
            customer: Arc::clone(&exchange.customer),
            upstream: Arc::clone(&grant.upstream),
            term: grant.term,
            grant: grant.grant,
        },
    });
    let now = worker.context.clock.now();
    let upstream = exchange
        .service()
        .upstreams
        .iter()
        .find(|upstream| upstream.name == grant.upstream)
        .cloned();
    let Some(upstream) = upstream else {
        // The coordinator runs a newer text that this daemon doesn't hold yet.
        worker.ledger.do_send(ledger::Settle {
            attempt,
            outcome: health::Outcome::Neutral,
            elapsed: Duration::ZERO,
            draining: false,
        });
        return None;
    };
    Some(Slot {
        worker: Rc::clone(worker),
        upstream,
        attempt,
        granted: true,
        settled: false,
        start_by: now + Duration::from_millis(grant.start_within_ms.into()),
        slow_after: Duration::from_millis(grant.slow_after_ms.into()),
    })
}

/// Two random choices by this worker's own slots in use.
fn alone(worker: &Rc<Worker>, exchange: &Exchange) -> Option<Slot> {
    let now = worker.context.clock.now();
    let service = exchange.service();
    let leaving = worker
        .context
        .standing(&service.name)
        .map(|standing| standing.view.leaving)
        .unwrap_or_default();
    let candidates: Vec<_> = service
        .upstreams
        .iter()
        .filter(|u| !u.leaving && !leaving.contains(&u.name) && !exchange.excluded.contains(&u.name))
        .collect();
    if candidates.is_empty() {
        return None;
    }
    let mut own = worker.slots.borrow_mut();
    let pick = || candidates[rand::random_range(0..candidates.len())];
    let (left, right) = (pick(), pick());
    let used = |u: &contract::Upstream| own.in_use.get(&u.address).copied().unwrap_or(0);
    let chosen = if used(left) <= used(right) { left } else { right };
    *own.in_use.entry(chosen.address).or_insert(0) += 1;
    Some(Slot {
        worker: Rc::clone(worker),
        upstream: chosen.clone(),
        attempt: Worker::next_attempt(),
        granted: false,
        settled: false,
        start_by: now + START_WITHIN,
        slow_after: Duration::from_secs(1),
    })
}
