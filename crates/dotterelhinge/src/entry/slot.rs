//! Slots for attempts: granted by the coordinator of the service, or chosen by this
//! daemon while the coordinator can't be reached.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{contract, health, placement};

use super::{Exchange, Worker};
use crate::{coordinator, ledger, members, metrics, settings, wire};

/// Time added to a coordinator's maximum response time before it counts as
/// unreachable.
const RESPONSE_GRACE_PERIOD: Duration = Duration::from_millis(50);

/// Time within which an attempt on a slot without a grant must start.
const LOCAL_START_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an attempt without a grant counts as slow. A fixed value, since
/// only the coordinator knows the latency of the service.
const LOCAL_SLOW_THRESHOLD: Duration = Duration::from_secs(1);

/// The right to run one attempt on one upstream. Dropping it releases the slot
/// with neutral evidence.
pub(super) struct Slot {
    worker: Rc<Worker>,
    service: Arc<str>,
    upstream: contract::Upstream,
    attempt: u64,
    is_granted: bool,
    is_settled: bool,
    /// When the right to start the attempt expires.
    pub start_by: Instant,
    /// Time after which the attempt counts as slow.
    pub slow_threshold: Duration,
}

impl Slot {
    /// Returns the name of the upstream.
    pub(super) fn upstream(&self) -> &Arc<str> {
        &self.upstream.name
    }

    /// Returns the address of the upstream.
    pub(super) fn address(&self) -> std::net::SocketAddr {
        self.upstream.address
    }

    /// Reports to the coordinator that the attempt is slow.
    pub(super) fn report_overdue(&self, elapsed: Duration) {
        if self.is_granted {
            self.worker.ledger.do_send(ledger::Overdue {
                attempt: self.attempt,
                elapsed,
            });
        }
    }

    /// Releases the slot and reports how the attempt ended.
    pub(super) fn settle(mut self, outcome: health::Outcome, elapsed: Duration, is_draining: bool) {
        self.finish(outcome, elapsed, is_draining);
    }

    fn finish(&mut self, outcome: health::Outcome, elapsed: Duration, is_draining: bool) {
        if std::mem::replace(&mut self.is_settled, true) {
            return;
        }
        if self.is_granted {
            self.worker.ledger.do_send(ledger::Settle {
                attempt: self.attempt,
                outcome,
                elapsed,
                draining: is_draining,
            });
        }
        let now = self.worker.context.clock.now();
        self.worker.local.borrow_mut().settle(
            now,
            &self.service,
            &self.upstream.name,
            outcome,
            is_draining,
            !self.is_granted,
        );
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.finish(health::Outcome::Neutral, Duration::ZERO, false);
    }
}

/// Acquires a slot for the next attempt of `exchange`.
pub(super) async fn acquire(
    worker: &Rc<Worker>,
    exchange: &Exchange,
) -> Result<Slot, placement::Refusal> {
    if worker.context.settings.policy == settings::Policy::Fleet {
        let members = worker.context.members.load_full();
        if let Some(member) = members.coordinator(&exchange.service().name)
            && let Some(answer) = query_if_reachable(worker, exchange, member).await
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
    choose_locally(worker, exchange)
}

async fn query_if_reachable(
    worker: &Rc<Worker>,
    exchange: &Exchange,
    member: &members::Member,
) -> Option<wire::Answer> {
    let now = worker.context.clock.now();
    if worker.local.borrow().is_unreachable(now, &member.host) {
        return None;
    }
    let answer = query(worker, exchange, member).await;
    if answer.is_none() {
        let now = worker.context.clock.now();
        log::warn!(event = "coordinator_unreachable", service = &*exchange.service().name, coordinator = &*member.host;
            "placing requests without the coordinator");
        worker
            .local
            .borrow_mut()
            .mark_unreachable(now, Arc::clone(&member.host));
    }
    answer
}

/// A request for a slot. If it is dropped without an answer, the coordinator is
/// notified that the requester has given up, so that a slot granted in the meantime
/// does not stay in use until the next renewal.
struct Query {
    worker: Rc<Worker>,
    coordinator: Arc<str>,
    service: Arc<str>,
    request: u64,
    is_answered: bool,
}

impl Drop for Query {
    fn drop(&mut self) {
        if !self.is_answered {
            self.worker.ledger.do_send(ledger::Cancel {
                coordinator: Arc::clone(&self.coordinator),
                service: Arc::clone(&self.service),
                request: self.request,
            });
        }
    }
}

async fn query(
    worker: &Rc<Worker>,
    exchange: &Exchange,
    member: &members::Member,
) -> Option<wire::Answer> {
    let now = worker.context.clock.now();
    let settings = &worker.context.settings;
    let wait = exchange.class().max_queue_wait.min(exchange.time_left(now));
    let mut query = Query {
        worker: Rc::clone(worker),
        coordinator: Arc::clone(&member.host),
        service: Arc::clone(&exchange.service().name),
        request: Worker::next_attempt(),
        is_answered: false,
    };
    let message = wire::Acquire {
        service: Arc::clone(&exchange.service().name),
        class: Arc::clone(&exchange.class().name),
        customer: Arc::clone(&exchange.customer),
        host: Arc::clone(&settings.host),
        availability_zone: Arc::clone(&settings.availability_zone),
        wait_ms: wait.as_millis() as u32,
        request: query.request,
        attempt: exchange.attempt,
        excluded: worker
            .local
            .borrow_mut()
            .excluded(&worker.context, exchange, now),
    };
    let is_local = member.host == settings.host;
    let mut answer = if is_local {
        worker
            .coordinator
            .send(coordinator::Acquire(message))
            .await
            .ok()
    } else {
        let timeout = coordinator::ACQUIRE_TIMEOUT + RESPONSE_GRACE_PERIOD;
        worker
            .peers
            .post(member.address, "/peer/v1/acquire", &message, timeout)
            .await
            .ok()
    };
    while let Some(wire::Answer::Queued { ticket }) = answer {
        let message = wire::Await {
            service: Arc::clone(&exchange.service().name),
            ticket,
        };
        answer = if is_local {
            worker
                .coordinator
                .send(coordinator::Await(message))
                .await
                .ok()
        } else {
            let timeout = coordinator::AWAIT_TIMEOUT + RESPONSE_GRACE_PERIOD;
            worker
                .peers
                .post(member.address, "/peer/v1/await", &message, timeout)
                .await
                .ok()
        };
    }
    query.is_answered = answer.is_some();
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
        // The coordinator uses a newer configuration than this daemon.
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
        is_granted: true,
        is_settled: false,
        start_by: now + Duration::from_millis(grant.start_within_ms.into()),
        slow_threshold: Duration::from_millis(grant.slow_after_ms.into()),
    })
}

/// Returns a slot on an upstream that this daemon chooses without the coordinator.
fn choose_locally(worker: &Rc<Worker>, exchange: &Exchange) -> Result<Slot, placement::Refusal> {
    let now = worker.context.clock.now();
    let upstream = worker
        .local
        .borrow_mut()
        .pick(&worker.context, exchange, now)?;
    Ok(Slot {
        worker: Rc::clone(worker),
        service: Arc::clone(&exchange.service().name),
        upstream,
        attempt: Worker::next_attempt(),
        is_granted: false,
        is_settled: false,
        start_by: now + LOCAL_START_TIMEOUT,
        slow_threshold: LOCAL_SLOW_THRESHOLD,
    })
}
