//! The coordination of one service for one term: the coordinator of the policy,
//! and the daemons that wait for slots.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{contract, health, placement};
use tokio::sync::oneshot;

use crate::{context, document, events, wire};

/// Time without a request for its answer after which a ticket is abandoned.
const TICKET_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without a further report that an upstream is leaving after which it is
/// used again. The host list repeats the report every second, and a server that
/// was restarted in place no longer drains.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which ejections, trials and ramps are advanced.
const HEALTH_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a daemon stops coordinating a service that the member list
/// assigns to another one. Holders have moved their grants by then, and a short
/// disagreement of member lists does not restart the term.
const STEP_DOWN_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after its grant in which a request can be cancelled. Its host has either
/// settled the grant or listed it in a renewal by then.
const MAX_CANCEL_AGE: Duration = Duration::from_secs(5);

struct Ticket {
    host: Arc<str>,
    request: u64,
    waiter: Option<oneshot::Sender<wire::Answer>>,
    answer: Option<wire::Answer>,
    // When the host last asked for the answer, or the answer was stored.
    last_active: Instant,
}

enum Stage {
    Waiting(u64),
    Granted(placement::Id),
}

/// Result of a request for the answer to a ticket.
pub(super) enum Wait {
    /// The ticket is unknown.
    UnknownTicket,
    /// The answer was already there.
    Ready(wire::Answer),
    /// The answer will be sent on this channel.
    Pending(oneshot::Receiver<wire::Answer>),
}

/// Coordinator of one service.
pub(super) struct Coordinator {
    contract: Arc<contract::Service>,
    policy: placement::Coordinator,
    term: u64,
    version: u64,
    tickets: HashMap<u64, Ticket>,
    // Stage of each request by host and number, so that it can be cancelled.
    requests: HashMap<(Arc<str>, u64), (Instant, Stage)>,
    // The last change of each upstream, by class or for all classes together.
    changes: HashMap<(usize, Option<usize>), (Instant, health::Change)>,
    last_tick: Instant,
    // When the member list last assigned the service to this daemon.
    last_assigned: Instant,
    // When each upstream was last reported as leaving, without those that the
    // configuration marks as leaving.
    leaving: HashMap<Arc<str>, Instant>,
}

impl Coordinator {
    /// Starts a term with the ejections in the last known status of the service.
    pub(super) fn start(
        context: &context::Context,
        in_force: &context::Configuration,
        service: usize,
        now: Instant,
    ) -> Self {
        let snapshot = &in_force.snapshot;
        let contract = Arc::clone(&snapshot.services[service]);
        let adopted = context
            .status(&contract.name)
            .map(|status| status.view)
            .unwrap_or_default();
        let term = context
            .clock
            .wall()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(1, |since| since.as_millis() as u64);
        log::info!(event = "coordinator_started", service = &*contract.name, term = term; "coordinator of a service started");
        let settings = placement::Settings {
            term,
            seed: rand::random(),
            ..placement::Settings::default()
        };
        let policy = placement::Coordinator::new(
            settings,
            Arc::clone(&contract),
            Arc::clone(&snapshot.classes),
            Arc::clone(&snapshot.customers),
            &adopted,
            now,
        );
        Self {
            contract,
            policy,
            term,
            version: in_force.version,
            tickets: HashMap::new(),
            requests: HashMap::new(),
            changes: HashMap::new(),
            last_tick: now,
            last_assigned: now,
            leaving: HashMap::new(),
        }
    }

    /// Applies the configuration in force if its version differs.
    pub(super) fn configure(
        &mut self,
        now: Instant,
        in_force: &context::Configuration,
        service: usize,
    ) {
        if self.version == in_force.version {
            return;
        }
        self.version = in_force.version;
        let snapshot = &in_force.snapshot;
        self.contract = Arc::clone(&snapshot.services[service]);
        // Indices may now refer to other upstreams and classes.
        self.changes.clear();
        let actions = self.policy.configure(
            now,
            Arc::clone(&self.contract),
            Arc::clone(&snapshot.classes),
            Arc::clone(&snapshot.customers),
        );
        self.execute(now, in_force, actions);
    }

    /// Returns the term of the coordinator.
    pub(super) fn term(&self) -> u64 {
        self.term
    }

    /// Returns the ejected and leaving upstreams.
    pub(super) fn view(&self) -> health::View {
        self.policy.health().view()
    }

    /// Processes one event.
    pub(super) fn handle(
        &mut self,
        now: Instant,
        in_force: &context::Configuration,
        event: placement::Event,
    ) {
        let actions = self.policy.handle(now, event);
        self.execute(now, in_force, actions);
    }

    /// Creates a ticket for a request of a host.
    pub(super) fn open(&mut self, now: Instant, ticket: u64, host: Arc<str>, request: u64) {
        self.requests
            .insert((Arc::clone(&host), request), (now, Stage::Waiting(ticket)));
        let opened = Ticket {
            host,
            request,
            waiter: None,
            answer: None,
            last_active: now,
        };
        self.tickets.insert(ticket, opened);
    }

    /// Returns the answer to a ticket, or a channel for it.
    pub(super) fn wait(&mut self, now: Instant, number: u64) -> Wait {
        let Some(ticket) = self.tickets.get_mut(&number) else {
            return Wait::UnknownTicket;
        };
        ticket.last_active = now;
        if let Some(answer) = ticket.answer.take() {
            self.tickets.remove(&number);
            return Wait::Ready(answer);
        }
        let (sender, receiver) = oneshot::channel();
        ticket.waiter = Some(sender);
        Wait::Pending(receiver)
    }

    /// Cancels a request whose host no longer waits for it. Returns the event
    /// for the coordinator.
    pub(super) fn cancel(&mut self, host: &Arc<str>, request: u64) -> Option<placement::Event> {
        let (_, stage) = self.requests.remove(&(Arc::clone(host), request))?;
        match stage {
            Stage::Waiting(ticket) => {
                self.tickets.remove(&ticket)?;
                Some(placement::Event::Abandon(ticket))
            }
            Stage::Granted(grant) => Some(settle_unused(grant)),
        }
    }

    /// Records a report that an upstream is leaving.
    pub(super) fn note_leaving(&mut self, now: Instant, upstream: Arc<str>) {
        self.leaving.insert(upstream, now);
    }

    /// Returns whether this daemon still coordinates the service. It stops some
    /// time after the member list has assigned the service to another daemon,
    /// since its state would be stale if the service were assigned to it again.
    pub(super) fn is_retained(&mut self, now: Instant, service: &str, is_assigned: bool) -> bool {
        if is_assigned {
            self.last_assigned = now;
        }
        let is_retained = now.duration_since(self.last_assigned) < STEP_DOWN_TIMEOUT;
        if !is_retained {
            log::info!(event = "coordinator_stopped", service = service, term = self.term; "another daemon coordinates the service");
        }
        is_retained
    }

    /// Expires tickets and reports of leaving upstreams, and advances the
    /// coordinator.
    pub(super) fn tick(&mut self, now: Instant, in_force: &context::Configuration) {
        let mut events = self.expire_tickets(now);
        events.extend(self.expire_leaving(now));
        let wake = self.policy.next_tick();
        if wake.is_some_and(|wake| wake <= now)
            || now.duration_since(self.last_tick) >= HEALTH_INTERVAL
        {
            self.last_tick = now;
            self.requests.retain(|_, (at, stage)| {
                matches!(stage, Stage::Waiting(_)) || now.duration_since(*at) < MAX_CANCEL_AGE
            });
            events.push(placement::Event::Tick);
        }
        for event in events {
            self.handle(now, in_force, event);
        }
    }

    /// Removes tickets whose host no longer asks for the answer.
    fn expire_tickets(&mut self, now: Instant) -> Vec<placement::Event> {
        let expired: Vec<u64> = self
            .tickets
            .iter()
            .filter(|(_, ticket)| now.duration_since(ticket.last_active) > TICKET_TIMEOUT)
            .map(|(number, _)| *number)
            .collect();
        let mut events = Vec::new();
        for number in expired {
            let Some(ticket) = self.tickets.remove(&number) else {
                continue;
            };
            self.requests.remove(&(ticket.host, ticket.request));
            match ticket.answer {
                Some(wire::Answer::Granted(grant)) => events.push(settle_unused(grant.grant)),
                Some(_) => {}
                None => events.push(placement::Event::Abandon(number)),
            }
        }
        events
    }

    /// Removes upstreams that were not reported as leaving for a while and
    /// returns the events for the coordinator.
    fn expire_leaving(&mut self, now: Instant) -> Vec<placement::Event> {
        let mut returned = Vec::new();
        let service = &self.contract.name;
        self.leaving.retain(|upstream, last_reported| {
            let is_expired = now.duration_since(*last_reported) >= LEAVING_TIMEOUT;
            if is_expired {
                log::info!(event = "upstream_returned", service = &**service, upstream = &**upstream; "upstream is no longer reported as leaving");
                returned.push(placement::Event::Returned(Arc::clone(upstream)));
            }
            !is_expired
        });
        returned
    }

    fn execute(
        &mut self,
        now: Instant,
        in_force: &context::Configuration,
        actions: Vec<placement::Action>,
    ) {
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
                        upstream: Arc::clone(&self.contract.upstreams[upstream].name),
                        start_within_ms: self.policy.settings().start_timeout.as_millis() as u32,
                        slow_after_ms: slow_after.as_millis() as u32,
                    });
                    self.answer(now, ticket, answer);
                }
                placement::Action::Refuse { ticket, reason } => {
                    self.answer(now, ticket, wire::Answer::Refused(reason));
                }
                placement::Action::Log(change) => {
                    events::log_change(&self.contract, &in_force.snapshot.classes, &change);
                    let key = (change.upstream(), change.class());
                    self.changes.insert(key, (now, change));
                }
            }
        }
    }

    fn answer(&mut self, now: Instant, number: u64, answer: wire::Answer) {
        let Some(mut ticket) = self.tickets.remove(&number) else {
            return;
        };
        if let wire::Answer::Granted(grant) = &answer {
            let request = (Arc::clone(&ticket.host), ticket.request);
            self.requests
                .insert(request, (now, Stage::Granted(grant.grant)));
        }
        let unsent = match ticket.waiter.take() {
            Some(waiter) => waiter.send(answer).err(),
            None => Some(answer),
        };
        if let Some(answer) = unsent {
            ticket.answer = Some(answer);
            ticket.last_active = now;
            self.tickets.insert(number, ticket);
        }
    }

    /// Appends the state of each upstream and class to `rows`.
    pub(super) fn inspect(
        &self,
        now: Instant,
        snapshot: &document::Snapshot,
        rows: &mut Vec<serde_json::Value>,
    ) {
        let service = &self.contract;
        let health = self.policy.health();
        let view = health.view();
        for (index, upstream) in service.upstreams.iter().enumerate() {
            for (class, parameters) in snapshot.classes.iter().enumerate() {
                let ejected = view
                    .ejected
                    .iter()
                    .any(|(u, c)| *u == upstream.name && *c == parameters.name);
                let state = if view.leaving.contains(&upstream.name) {
                    "leaving"
                } else if ejected {
                    "ejected"
                } else if health.slots(now, index, class) < upstream.slots {
                    "readmitting"
                } else {
                    "healthy"
                };
                let (statistic, threshold) = health.evidence(index, class);
                let change = [Some(class), None]
                    .into_iter()
                    .filter_map(|class| self.changes.get(&(index, class)))
                    .max_by_key(|(at, _)| *at);
                rows.push(serde_json::json!({
                    "statistic": statistic,
                    "threshold": threshold,
                    "since_ms": change.map(|(at, _)| now.duration_since(*at).as_millis() as u64),
                    "reason": change.map(|(_, change)| events::describe(change)),
                    "service": service.name,
                    "upstream": upstream.name,
                    "class": parameters.name,
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

/// Returns the event that settles a grant that no attempt used.
fn settle_unused(grant: placement::Id) -> placement::Event {
    placement::Event::Settle {
        grant,
        outcome: health::Outcome::Neutral,
        elapsed: Duration::ZERO,
    }
}
