//! The actor that runs the coordinators of the services that this daemon
//! coordinates.

mod service;

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use actix::prelude::*;
use dotterelhinge_policy::placement;

use crate::{context, wire};

/// Maximum time to answer an acquire. A request that is still waiting gets
/// `Queued`, so that its daemon can distinguish a full service from a paused
/// coordinator.
pub(crate) const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(25);

/// Maximum time to answer an await.
pub(crate) const AWAIT_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval of the timer that expires waiting requests.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Minimum gap between ticks that counts as a pause of the process. Daemons
/// abandon an acquire that is not answered within 75 ms.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(250);

/// Time after a pause in which messages sent during the pause may arrive.
const RESUME_GRACE: Duration = Duration::from_millis(500);

/// Runs the coordinators of this daemon.
pub(crate) struct Actor {
    context: Arc<context::Context>,
    // By name of the service.
    coordinators: HashMap<Arc<str>, service::Coordinator>,
    next_ticket: u64,
    last_tick: Instant,
    // When the end of the last pause was detected.
    resumed: Option<Instant>,
}

impl Actor {
    /// Creates an actor without coordinators; they are started on demand.
    pub(crate) fn new(context: Arc<context::Context>) -> Self {
        Self {
            last_tick: context.clock.now(),
            resumed: None,
            context,
            coordinators: HashMap::new(),
            next_ticket: 1,
        }
    }

    /// Returns the coordinator of `service` with the configuration in force
    /// applied, and starts it first if there is none. Returns `None` if no
    /// configuration with this service is in force.
    fn coordinator(
        &mut self,
        now: Instant,
        service: &Arc<str>,
    ) -> Option<&mut service::Coordinator> {
        let in_force = self.context.in_force.load_full()?;
        let index = in_force.snapshot.service_position(service)?;
        if !self.coordinators.contains_key(service) {
            let coordinator = service::Coordinator::start(&self.context, &in_force, index, now);
            self.coordinators.insert(Arc::clone(service), coordinator);
        }
        let coordinator = self.coordinators.get_mut(service)?;
        coordinator.configure(now, &in_force, index);
        Some(coordinator)
    }

    fn handle_event(&mut self, service: &Arc<str>, event: placement::Event) {
        let now = self.context.clock.now();
        let Some(in_force) = self.context.in_force.load_full() else {
            return;
        };
        if let Some(coordinator) = self.coordinator(now, service) {
            coordinator.handle(now, &in_force, event);
        }
    }

    fn class(&self, name: &str) -> Option<usize> {
        let in_force = self.context.in_force.load();
        in_force.as_ref()?.snapshot.class_position(name)
    }

    fn wait(
        &mut self,
        service: &Arc<str>,
        ticket: u64,
        limit: Duration,
    ) -> ResponseFuture<wire::Answer> {
        let now = self.context.clock.now();
        let waiting = self
            .coordinators
            .get_mut(service)
            .map_or(service::Wait::UnknownTicket, |coordinator| {
                coordinator.wait(now, ticket)
            });
        let receiver = match waiting {
            service::Wait::UnknownTicket => {
                return Box::pin(std::future::ready(wire::Answer::NotCoordinator));
            }
            service::Wait::Ready(answer) => return Box::pin(std::future::ready(answer)),
            service::Wait::Pending(receiver) => receiver,
        };
        Box::pin(async move {
            match tokio::time::timeout(limit, receiver).await {
                Ok(Ok(answer)) => answer,
                Ok(Err(_)) => wire::Answer::NotCoordinator,
                Err(_) => wire::Answer::Queued { ticket },
            }
        })
    }

    /// Returns whether the process was paused a short time ago. Requests for
    /// slots that were sent during the pause have been abandoned, and grants for
    /// them would occupy their slots until the next renewals.
    fn was_paused(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tick) >= PAUSE_THRESHOLD
            || self
                .resumed
                .is_some_and(|resumed| now.saturating_duration_since(resumed) < RESUME_GRACE)
    }

    fn tick(&mut self) {
        let now = self.context.clock.now();
        if now.saturating_duration_since(self.last_tick) >= PAUSE_THRESHOLD {
            self.resumed = Some(now);
        }
        self.last_tick = now;
        let members = self.context.members.load_full();
        let me = &self.context.settings.host;
        self.coordinators.retain(|service, coordinator| {
            let is_assigned = members
                .coordinator(service)
                .is_some_and(|member| member.host == *me);
            coordinator.is_retained(now, service, is_assigned)
        });
        let Some(in_force) = self.context.in_force.load_full() else {
            return;
        };
        let services: Vec<_> = self.coordinators.keys().cloned().collect();
        for service in services {
            if let Some(coordinator) = self.coordinator(now, &service) {
                coordinator.tick(now, &in_force);
            }
        }
    }
}

impl actix::Actor for Actor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK_INTERVAL, |actor, _| actor.tick());
    }
}

/// Requests a slot.
#[derive(Message)]
#[rtype(result = "wire::Answer")]
pub(crate) struct Acquire(pub wire::Acquire);

impl Handler<Acquire> for Actor {
    type Result = ResponseFuture<wire::Answer>;

    fn handle(&mut self, Acquire(message): Acquire, _: &mut Self::Context) -> Self::Result {
        let now = self.context.clock.now();
        let class = self.class(&message.class);
        let is_unavailable = self.context.is_stopping() || self.was_paused(now);
        let (Some(class), false) = (class, is_unavailable) else {
            return Box::pin(std::future::ready(wire::Answer::NotCoordinator));
        };
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let Some(coordinator) = self.coordinator(now, &message.service) else {
            return Box::pin(std::future::ready(wire::Answer::NotCoordinator));
        };
        coordinator.open(now, ticket, Arc::clone(&message.host), message.request);
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
        self.wait(&message.service, ticket, ACQUIRE_TIMEOUT)
    }
}

/// Continues to wait for a slot.
#[derive(Message)]
#[rtype(result = "wire::Answer")]
pub(crate) struct Await(pub wire::Await);

impl Handler<Await> for Actor {
    type Result = ResponseFuture<wire::Answer>;

    fn handle(&mut self, Await(message): Await, _: &mut Self::Context) -> Self::Result {
        self.wait(&message.service, message.ticket, AWAIT_TIMEOUT)
    }
}

/// Processes the report of a holder of grants.
#[derive(Message)]
#[rtype(result = "wire::Receipt")]
pub(crate) struct Report(pub wire::Report);

impl Handler<Report> for Actor {
    type Result = MessageResult<Report>;

    fn handle(&mut self, Report(report): Report, _: &mut Self::Context) -> Self::Result {
        let mut services: Vec<Arc<str>> = Vec::new();
        for entry in report.entries {
            let service = entry.service();
            if !services.contains(service) {
                services.push(Arc::clone(service));
            }
            self.process(&report.host, entry);
        }
        // Each answer to a report carries the ejections, so that the holder can
        // respect them while this coordinator is unreachable.
        let statuses = services
            .into_iter()
            .filter_map(|service| {
                let coordinator = self.coordinators.get(&service)?;
                Some(wire::Status {
                    term: coordinator.term(),
                    view: coordinator.view(),
                    service,
                })
            })
            .collect();
        MessageResult(wire::Receipt { statuses })
    }
}

impl Actor {
    fn term(&self, service: &Arc<str>) -> Option<u64> {
        self.coordinators
            .get(service)
            .map(service::Coordinator::term)
    }

    /// Returns whether a grant of `term` was issued, or inherited, in the
    /// current term. Term 0 marks inherited grants.
    fn is_current(&self, service: &Arc<str>, term: u64) -> bool {
        self.term(service)
            .is_some_and(|current| term == current || term == 0)
    }

    fn process(&mut self, host: &Arc<str>, entry: wire::Entry) {
        match entry {
            wire::Entry::Settle {
                service,
                term,
                grant,
                outcome,
                elapsed_us,
                draining,
            } if self.is_current(&service, term) => {
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
            } if self.is_current(&service, term) => self.handle_event(
                &service,
                placement::Event::Overdue {
                    grant,
                    elapsed: Duration::from_micros(elapsed_us),
                },
            ),
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
            wire::Entry::Cancel { service, request } => self.cancel(&service, host, request),
            wire::Entry::Leaving { service, upstream } => self.note_leaving(&service, upstream),
            wire::Entry::Adopt {
                service,
                term,
                view,
            } => {
                self.handle_event(&service, placement::Event::Adopt(view.clone()));
                self.context.update_status(service, term, view);
            }
            wire::Entry::Renew {
                service,
                term,
                grants,
            } if self.is_current(&service, term) => self.handle_event(
                &service,
                placement::Event::Renew {
                    host: Arc::clone(host),
                    grants,
                },
            ),
            wire::Entry::Settle { .. }
            | wire::Entry::Overdue { .. }
            | wire::Entry::Renew { .. } => {
                // The grants belong to an earlier term.
            }
        }
    }

    fn note_leaving(&mut self, service: &Arc<str>, upstream: Arc<str>) {
        let now = self.context.clock.now();
        self.handle_event(service, placement::Event::Leaving(Arc::clone(&upstream)));
        if let Some(coordinator) = self.coordinators.get_mut(service) {
            coordinator.note_leaving(now, upstream);
        }
    }

    fn cancel(&mut self, service: &Arc<str>, host: &Arc<str>, request: u64) {
        let event = self
            .coordinators
            .get_mut(service)
            .and_then(|coordinator| coordinator.cancel(host, request));
        if let Some(event) = event {
            self.handle_event(service, event);
        }
    }
}

/// Requests the state of every upstream that this daemon coordinates.
#[derive(Message)]
#[rtype(result = "Vec<serde_json::Value>")]
pub(crate) struct Inspect;

impl Handler<Inspect> for Actor {
    type Result = MessageResult<Inspect>;

    fn handle(&mut self, _: Inspect, _: &mut Self::Context) -> Self::Result {
        let now = self.context.clock.now();
        let mut rows = Vec::new();
        if let Some(in_force) = self.context.in_force.load_full() {
            for coordinator in self.coordinators.values() {
                coordinator.inspect(now, &in_force.snapshot, &mut rows);
            }
        }
        MessageResult(rows)
    }
}
