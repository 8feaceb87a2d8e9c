//! The actor that runs the coordinators of the services this daemon is
//! responsible for.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use actix::prelude::*;
use dotterelhinge_policy::{health, placement};
use tokio::sync::oneshot;

use crate::{context, events, text, wire};

/// An acquire is answered within this time, if only with `Queued`, so that a
/// caller can tell a full service from a paused coordinator.
pub(crate) const FIRST_ANSWER: Duration = Duration::from_millis(25);

/// An await is answered within this time.
pub(crate) const NEXT_ANSWER: Duration = Duration::from_millis(250);

/// A ticket that nobody awaits for this long is abandoned.
const TICKET_SILENCE: Duration = Duration::from_secs(1);

/// An upstream whose departure was not signalled again for this long is taken
/// back: the host list repeats its sign every second, and a server that was
/// restarted in place no longer drains.
const DEPARTURE: Duration = Duration::from_secs(60);

/// Period of the timer that expires waiting requests.
const TICK: Duration = Duration::from_millis(10);

struct Ticket {
    waiter: Option<oneshot::Sender<wire::Answer>>,
    answer: Option<wire::Answer>,
    seen: Instant,
}

struct Duty {
    policy: placement::Coordinator,
    term: u64,
    version: u64,
    tickets: HashMap<u64, Ticket>,
    // When a departure was last signalled, but for those in the text.
    leaving: HashMap<Arc<str>, Instant>,
}

/// Coordinators of this daemon, by service.
pub(crate) struct Actor {
    context: Arc<context::Context>,
    duties: HashMap<Arc<str>, Duty>,
    next_ticket: u64,
}

impl Actor {
    /// An actor without duties; they begin with the first request.
    pub(crate) fn new(context: Arc<context::Context>) -> Self {
        Self {
            context,
            duties: HashMap::new(),
            next_ticket: 1,
        }
    }

    /// The duty for `service`, started or brought to the text in force.
    fn duty(&mut self, now: Instant, service: &Arc<str>) -> Option<&mut Duty> {
        let in_force = self.context.in_force.load_full()?;
        let snapshot = &in_force.snapshot;
        let contract = &snapshot.services[snapshot.service(service)?];
        if !self.duties.contains_key(service) {
            let adopted = self
                .context
                .standing(service)
                .map(|standing| standing.view)
                .unwrap_or_default();
            let term = self
                .context
                .clock
                .wall()
                .duration_since(std::time::UNIX_EPOCH)
                .map_or(1, |since| since.as_millis() as u64);
            log::info!(event = "coordinator_started", service = &**service, term = term; "coordinating a service");
            self.duties.insert(
                Arc::clone(service),
                Duty {
                    policy: placement::Coordinator::new(
                        placement::Settings {
                            term,
                            seed: rand::random(),
                            ..placement::Settings::default()
                        },
                        Arc::clone(contract),
                        Arc::clone(&snapshot.classes),
                        Arc::clone(&snapshot.customers),
                        &adopted,
                        now,
                    ),
                    term,
                    version: in_force.version,
                    tickets: HashMap::new(),
                    leaving: HashMap::new(),
                },
            );
        }
        let duty = self.duties.get_mut(service)?;
        if duty.version != in_force.version {
            duty.version = in_force.version;
            let actions = duty.policy.configure(
                now,
                Arc::clone(contract),
                Arc::clone(&snapshot.classes),
                Arc::clone(&snapshot.customers),
            );
            duty.carry_out(now, &in_force, service, actions);
        }
        Some(duty)
    }

    fn handle_event(&mut self, service: &Arc<str>, event: placement::Event) {
        let now = self.context.clock.now();
        let Some(in_force) = self.context.in_force.load_full() else {
            return;
        };
        let Some(duty) = self.duty(now, service) else {
            return;
        };
        let actions = duty.policy.handle(now, event);
        duty.carry_out(now, &in_force, service, actions);
    }

    fn class(&self, name: &str) -> Option<usize> {
        let in_force = self.context.in_force.load();
        in_force.as_ref()?.snapshot.class(name)
    }

    fn wait(
        &mut self,
        service: &Arc<str>,
        ticket: u64,
        limit: Duration,
    ) -> ResponseFuture<wire::Answer> {
        let now = self.context.clock.now();
        let Some(entry) = self
            .duties
            .get_mut(service)
            .and_then(|duty| duty.tickets.get_mut(&ticket))
        else {
            return Box::pin(std::future::ready(wire::Answer::NotCoordinator));
        };
        entry.seen = now;
        if let Some(answer) = entry.answer.take() {
            if let Some(duty) = self.duties.get_mut(service) {
                duty.tickets.remove(&ticket);
            }
            return Box::pin(std::future::ready(answer));
        }
        let (sender, receiver) = oneshot::channel();
        entry.waiter = Some(sender);
        Box::pin(async move {
            match tokio::time::timeout(limit, receiver).await {
                Ok(Ok(answer)) => answer,
                Ok(Err(_)) => wire::Answer::NotCoordinator,
                Err(_) => wire::Answer::Queued { ticket },
            }
        })
    }

    fn tick(&mut self) {
        let now = self.context.clock.now();
        let services: Vec<_> = self.duties.keys().cloned().collect();
        for service in services {
            self.expire(now, &service);
            self.return_upstreams(now, &service);
            self.handle_event(&service, placement::Event::Tick);
        }
    }

    /// Gives up tickets whose holder went away.
    fn expire(&mut self, now: Instant, service: &Arc<str>) {
        let Some(duty) = self.duties.get_mut(service) else {
            return;
        };
        let silent: Vec<u64> = duty
            .tickets
            .iter()
            .filter(|(_, ticket)| now.duration_since(ticket.seen) > TICKET_SILENCE)
            .map(|(number, _)| *number)
            .collect();
        let events: Vec<_> = silent
            .into_iter()
            .filter_map(|number| match duty.tickets.remove(&number)?.answer {
                Some(wire::Answer::Granted(grant)) => Some(placement::Event::Settle {
                    grant: grant.grant,
                    outcome: health::Outcome::Neutral,
                    elapsed: Duration::ZERO,
                }),
                Some(_) => None,
                None => Some(placement::Event::Abandon(number)),
            })
            .collect();
        for event in events {
            self.handle_event(service, event);
        }
    }
}

impl Duty {
    fn carry_out(
        &mut self,
        now: Instant,
        in_force: &context::InForce,
        service: &Arc<str>,
        actions: Vec<placement::Action>,
    ) {
        let snapshot = &in_force.snapshot;
        let Some(contract) = snapshot
            .service(service)
            .map(|index| &snapshot.services[index])
        else {
            return;
        };
        for action in actions {
            match action {
                placement::Action::Grant {
                    ticket,
                    grant,
                    upstream,
                    slow_after,
                } => {
                    let answer = wire::Answer::Granted(wire::Grant {
                        term: self.term,
                        grant,
                        upstream: Arc::clone(&contract.upstreams[upstream].name),
                        start_within_ms: 1000,
                        slow_after_ms: slow_after.as_millis() as u32,
                    });
                    self.answer(now, ticket, answer);
                }
                placement::Action::Refuse { ticket, reason } => {
                    self.answer(now, ticket, wire::Answer::Refused(reason));
                }
                placement::Action::Log(change) => {
                    events::health(contract, &in_force.snapshot.classes, &change);
                }
            }
        }
    }

    fn answer(&mut self, now: Instant, number: u64, answer: wire::Answer) {
        let Some(mut ticket) = self.tickets.remove(&number) else {
            return;
        };
        let unsent = match ticket.waiter.take() {
            Some(waiter) => waiter.send(answer).err(),
            None => Some(answer),
        };
        if let Some(answer) = unsent {
            ticket.answer = Some(answer);
            ticket.seen = now;
            self.tickets.insert(number, ticket);
        }
    }
}

impl actix::Actor for Actor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK, |actor, _| actor.tick());
    }
}

/// Asks for a slot.
#[derive(Message)]
#[rtype(result = "wire::Answer")]
pub(crate) struct Acquire(pub wire::Acquire);

impl Handler<Acquire> for Actor {
    type Result = ResponseFuture<wire::Answer>;

    fn handle(&mut self, Acquire(message): Acquire, _: &mut Self::Context) -> Self::Result {
        let now = self.context.clock.now();
        let class = self.class(&message.class);
        let (Some(class), false) = (class, self.context.stopping()) else {
            return Box::pin(std::future::ready(wire::Answer::NotCoordinator));
        };
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let Some(duty) = self.duty(now, &message.service) else {
            return Box::pin(std::future::ready(wire::Answer::NotCoordinator));
        };
        duty.tickets.insert(
            ticket,
            Ticket {
                waiter: None,
                answer: None,
                seen: now,
            },
        );
        let event = placement::Event::Acquire(placement::Acquire {
            ticket,
            class,
            customer: message.customer,
            host: message.host,
            availability_zone: message.availability_zone,
            wait: Duration::from_millis(message.wait_ms.into()),
            attempt: message.attempt,
            excluded: message.excluded,
        });
        self.handle_event(&message.service, event);
        self.wait(&message.service, ticket, FIRST_ANSWER)
    }
}

/// Goes on waiting for a slot.
#[derive(Message)]
#[rtype(result = "wire::Answer")]
pub(crate) struct Await(pub wire::Await);

impl Handler<Await> for Actor {
    type Result = ResponseFuture<wire::Answer>;

    fn handle(&mut self, Await(message): Await, _: &mut Self::Context) -> Self::Result {
        self.wait(&message.service, message.ticket, NEXT_ANSWER)
    }
}

/// Takes what a holder of grants reports.
#[derive(Message)]
#[rtype(result = "wire::Receipt")]
pub(crate) struct Report(pub wire::Report);

impl Handler<Report> for Actor {
    type Result = MessageResult<Report>;

    fn handle(&mut self, Report(report): Report, _: &mut Self::Context) -> Self::Result {
        let mut receipt = wire::Receipt::default();
        for entry in report.entries {
            self.take(&report.host, entry, &mut receipt);
        }
        MessageResult(receipt)
    }
}

impl Actor {
    fn term(&self, service: &Arc<str>) -> Option<u64> {
        self.duties.get(service).map(|duty| duty.term)
    }

    /// Whether a grant of `term` was handed out, or inherited, in the current
    /// term. Term 0 marks inherited grants.
    fn current(&self, service: &Arc<str>, term: u64) -> bool {
        self.term(service)
            .is_some_and(|current| term == current || term == 0)
    }

    fn take(&mut self, host: &Arc<str>, entry: wire::Entry, receipt: &mut wire::Receipt) {
        match entry {
            wire::Entry::Settle {
                service,
                term,
                grant,
                outcome,
                elapsed_us,
                draining,
            } if self.current(&service, term) => {
                if let Some(upstream) = draining {
                    self.note_leaving(&service, upstream);
                }
                self.handle_event(
                    &service,
                    placement::Event::Settle {
                        grant,
                        outcome,
                        elapsed: Duration::from_micros(elapsed_us),
                    },
                );
            }
            wire::Entry::Overdue {
                service,
                term,
                grant,
                elapsed_us,
            } if self.current(&service, term) => self.handle_event(
                &service,
                placement::Event::Overdue {
                    grant,
                    elapsed: Duration::from_micros(elapsed_us),
                },
            ),
            wire::Entry::Settle { .. } | wire::Entry::Overdue { .. } => {}
            wire::Entry::Inherit {
                service,
                upstream,
                class,
                customer,
                grant,
            } => {
                if let Some(class) = self.class(&class) {
                    self.handle_event(
                        &service,
                        placement::Event::Inherit {
                            host: Arc::clone(host),
                            upstream,
                            class,
                            customer,
                            grant,
                        },
                    );
                }
            }
            wire::Entry::Leaving { service, upstream } => self.note_leaving(&service, upstream),
            wire::Entry::Adopt {
                service,
                term,
                view,
            } => {
                self.handle_event(&service, placement::Event::Adopt(view.clone()));
                self.context.note_standing(service, term, view);
            }
            wire::Entry::Renew {
                service,
                term,
                grants,
            } => self.renew(host, service, term, grants, receipt),
        }
    }

    fn note_leaving(&mut self, service: &Arc<str>, upstream: Arc<str>) {
        let now = self.context.clock.now();
        self.handle_event(service, placement::Event::Leaving(Arc::clone(&upstream)));
        if let Some(duty) = self.duties.get_mut(service) {
            duty.leaving.insert(upstream, now);
        }
    }

    /// Lets upstreams return whose departure was not signalled for a while.
    fn return_upstreams(&mut self, now: Instant, service: &Arc<str>) {
        let Some(duty) = self.duties.get_mut(service) else {
            return;
        };
        let mut returned = Vec::new();
        duty.leaving.retain(|upstream, signalled| {
            let over = now.duration_since(*signalled) >= DEPARTURE;
            if over {
                returned.push(Arc::clone(upstream));
            }
            !over
        });
        for upstream in returned {
            log::info!(event = "upstream_returned", service = &**service, upstream = &*upstream; "no sign of a departure any more");
            self.handle_event(service, placement::Event::Returned(upstream));
        }
    }

    fn renew(
        &mut self,
        host: &Arc<str>,
        service: Arc<str>,
        term: u64,
        grants: Vec<u64>,
        receipt: &mut wire::Receipt,
    ) {
        if self.current(&service, term) {
            self.handle_event(
                &service,
                placement::Event::Renew {
                    host: Arc::clone(host),
                    grants,
                },
            );
        }
        if let Some(duty) = self.duties.get(&service) {
            receipt.standings.push(wire::Standing {
                term: duty.term,
                view: duty.policy.health().view(),
                service,
            });
        }
    }
}

/// Asks for the state of every upstream that this daemon coordinates.
#[derive(Message)]
#[rtype(result = "Vec<serde_json::Value>")]
pub(crate) struct Inspect;

impl Handler<Inspect> for Actor {
    type Result = MessageResult<Inspect>;

    fn handle(&mut self, _: Inspect, _: &mut Self::Context) -> Self::Result {
        let now = self.context.clock.now();
        let mut rows = Vec::new();
        if let Some(in_force) = self.context.in_force.load_full() {
            for (name, duty) in &self.duties {
                duty.inspect(now, &in_force.snapshot, name, &mut rows);
            }
        }
        MessageResult(rows)
    }
}

impl Duty {
    fn inspect(
        &self,
        now: Instant,
        snapshot: &text::Snapshot,
        name: &Arc<str>,
        rows: &mut Vec<serde_json::Value>,
    ) {
        let Some(service) = snapshot
            .service(name)
            .map(|index| &snapshot.services[index])
        else {
            return;
        };
        let health = self.policy.health();
        let view = health.view();
        for (index, upstream) in service.upstreams.iter().enumerate() {
            for (class, terms) in snapshot.classes.iter().enumerate() {
                let ejected = view
                    .ejected
                    .iter()
                    .any(|(u, c)| *u == upstream.name && *c == terms.name);
                let state = if view.leaving.contains(&upstream.name) {
                    "leaving"
                } else if ejected {
                    "ejected"
                } else if health.slots(now, index, class) < upstream.slots {
                    "readmitting"
                } else {
                    "healthy"
                };
                rows.push(serde_json::json!({
                    "service": name,
                    "upstream": upstream.name,
                    "class": terms.name,
                    "state": state,
                    "slots": health.slots(now, index, class),
                    "in_use": self.policy.in_use().get(index).copied().unwrap_or(0),
                    "suspicion": health.suspicion(index, class),
                    "slow_after_ms": health.slow_after(class).as_millis() as u64,
                    "term": self.term,
                }));
            }
        }
    }
}
