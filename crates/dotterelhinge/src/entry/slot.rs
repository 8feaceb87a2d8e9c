//! Slots for attempts: granted by the coordinator of the service, or chosen by
//! this daemon alone while the coordinator can't be reached.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{contract, health, placement};

use super::{Exchange, Worker};
use crate::{coordinator, ledger, members, metrics, settings, wire};

/// A coordinator that has not answered for this much longer than it may take
/// is passed over.
const ANSWER_GRACE: Duration = Duration::from_millis(50);

/// A slot of this daemon's own choice must be used within this time.
const START_WITHIN: Duration = Duration::from_secs(1);

/// Without the coordinator the latency of the service is not known.
const SLOW_AFTER: Duration = Duration::from_secs(1);

/// The right to run one attempt on one upstream. Dropping it gives the slot
/// back without evidence.
pub(super) struct Slot {
    worker: Rc<Worker>,
    service: Arc<str>,
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
    pub(super) fn upstream(&self) -> &Arc<str> {
        &self.upstream.name
    }

    /// Address of the upstream.
    pub(super) fn address(&self) -> std::net::SocketAddr {
        self.upstream.address
    }

    /// Reports that the attempt is slow.
    pub(super) fn overdue(&self, elapsed: Duration) {
        if self.granted {
            self.worker.ledger.do_send(ledger::Overdue {
                attempt: self.attempt,
                elapsed,
            });
        }
    }

    /// Gives the slot back with evidence.
    pub(super) fn settle(mut self, outcome: health::Outcome, elapsed: Duration, draining: bool) {
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
        }
        let now = self.worker.context.clock.now();
        self.worker.own.borrow_mut().settle(
            now,
            &self.service,
            &self.upstream.name,
            outcome,
            draining,
            !self.granted,
        );
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.finish(health::Outcome::Neutral, Duration::ZERO, false);
    }
}

/// Gets a slot for the next attempt of `exchange`.
pub(super) async fn acquire(
    worker: &Rc<Worker>,
    exchange: &Exchange,
) -> Result<Slot, placement::Refusal> {
    if worker.context.settings.policy == settings::Policy::Fleet {
        let members = worker.context.members.load_full();
        if let Some(member) = members.coordinator(&exchange.service().name)
            && let Some(answer) = ask_if_reachable(worker, exchange, member).await
        {
            match answer {
                wire::Answer::Granted(grant) => {
                    if let Some(slot) = accept(worker, exchange, member, &grant) {
                        return Ok(slot);
                    }
                }
                wire::Answer::Refused(refusal) => return Err(refusal),
                wire::Answer::Queued { .. } | wire::Answer::NotCoordinator => {}
            }
        }
        metrics::Registry::add(&worker.context.metrics.counters.fallbacks, 1);
    }
    alone(worker, exchange)
}

async fn ask_if_reachable(
    worker: &Rc<Worker>,
    exchange: &Exchange,
    member: &members::Member,
) -> Option<wire::Answer> {
    let now = worker.context.clock.now();
    if worker.own.borrow().passes_over(now, &member.host) {
        return None;
    }
    let answer = ask(worker, exchange, member).await;
    if answer.is_none() {
        let now = worker.context.clock.now();
        log::warn!(event = "coordinator_unreachable", service = &*exchange.service().name, coordinator = &*member.host;
            "placing requests without the coordinator");
        worker
            .own
            .borrow_mut()
            .pass_over(now, Arc::clone(&member.host));
    }
    answer
}

/// A request for a slot. Unless it was answered, the coordinator is told that
/// nobody waits any more, so that a slot granted meanwhile is not held for
/// nothing until the next renewal.
struct Asked {
    worker: Rc<Worker>,
    coordinator: Arc<str>,
    service: Arc<str>,
    request: u64,
    answered: bool,
}

impl Drop for Asked {
    fn drop(&mut self) {
        if !self.answered {
            self.worker.ledger.do_send(ledger::Cancel {
                coordinator: Arc::clone(&self.coordinator),
                service: Arc::clone(&self.service),
                request: self.request,
            });
        }
    }
}

async fn ask(
    worker: &Rc<Worker>,
    exchange: &Exchange,
    member: &members::Member,
) -> Option<wire::Answer> {
    let now = worker.context.clock.now();
    let settings = &worker.context.settings;
    let wait = exchange.class().max_queue_wait.min(exchange.left(now));
    let mut asked = Asked {
        worker: Rc::clone(worker),
        coordinator: Arc::clone(&member.host),
        service: Arc::clone(&exchange.service().name),
        request: Worker::next_attempt(),
        answered: false,
    };
    let message = wire::Acquire {
        service: Arc::clone(&exchange.service().name),
        class: Arc::clone(&exchange.class().name),
        customer: Arc::clone(&exchange.customer),
        host: Arc::clone(&settings.host),
        availability_zone: Arc::clone(&settings.availability_zone),
        wait_ms: wait.as_millis() as u32,
        request: asked.request,
        attempt: exchange.attempts,
        excluded: worker
            .own
            .borrow_mut()
            .excluded(&worker.context, exchange, now),
    };
    let local = member.host == settings.host;
    let mut answer = if local {
        worker
            .coordinator
            .send(coordinator::Acquire(message))
            .await
            .ok()
    } else {
        let limit = coordinator::ACQUIRE_TIMEOUT + ANSWER_GRACE;
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
            worker
                .coordinator
                .send(coordinator::Await(message))
                .await
                .ok()
        } else {
            let limit = coordinator::AWAIT_TIMEOUT + ANSWER_GRACE;
            worker
                .peers
                .post(member.address, "/peer/v1/await", &message, limit)
                .await
                .ok()
        };
    }
    asked.answered = answer.is_some();
    answer
}

fn accept(
    worker: &Rc<Worker>,
    exchange: &Exchange,
    member: &members::Member,
    grant: &wire::Grant,
) -> Option<Slot> {
    let attempt = Worker::next_attempt();
    worker.ledger.do_send(ledger::Hold {
        attempt,
        grant: ledger::Grant {
            coordinator: Arc::clone(&member.host),
            service: Arc::clone(&exchange.service().name),
            class: Arc::clone(&exchange.class().name),
            customer: Arc::clone(&exchange.customer),
            upstream: Arc::clone(&grant.upstream),
            term: grant.term,
            id: grant.grant,
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
        service: Arc::clone(&exchange.service().name),
        upstream,
        attempt,
        granted: true,
        settled: false,
        start_by: now + Duration::from_millis(grant.start_within_ms.into()),
        slow_after: Duration::from_millis(grant.slow_after_ms.into()),
    })
}

/// A slot of this daemon's own choice.
fn alone(worker: &Rc<Worker>, exchange: &Exchange) -> Result<Slot, placement::Refusal> {
    let now = worker.context.clock.now();
    let upstream = worker
        .own
        .borrow_mut()
        .pick(&worker.context, exchange, now)?;
    Ok(Slot {
        worker: Rc::clone(worker),
        service: Arc::clone(&exchange.service().name),
        upstream,
        attempt: Worker::next_attempt(),
        granted: false,
        settled: false,
        start_by: now + START_WITHIN,
        slow_after: SLOW_AFTER,
    })
}
