//! The duty for one service: its coordinator, and the daemons that wait for
//! slots.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{contract, health, placement};
use tokio::sync::oneshot;

use crate::{context, document, events, wire};

/// A ticket that nobody awaits for this long is abandoned.
const TICKET_SILENCE: Duration = Duration::from_secs(1);

/// An upstream whose departure was not signalled again for this long is taken
/// back: the host list repeats its sign every second, and a server that was
/// restarted in place no longer drains.
const DEPARTURE: Duration = Duration::from_secs(60);

/// Period in which holds, trials and ramps are advanced.
const HEALTH_TICK: Duration = Duration::from_millis(100);

/// A daemon that the member list has not named for this long gives a duty up.
/// Holders have moved their grants by then, and a short disagreement of member
/// lists does not restart the term.
const STEP_DOWN: Duration = Duration::from_secs(10);

/// A request can be cancelled for this long after its grant. Its host has
/// either settled the grant or listed it in a renewal by then.
const CANCELLABLE: Duration = Duration::from_secs(5);

struct Ticket {
    host: Arc<str>,
    request: u64,
    waiter: Option<oneshot::Sender<wire::Answer>>,
    answer: Option<wire::Answer>,
    seen: Instant,
}

enum Stage {
    Waiting(u64),
    Granted(placement::Id),
}

/// What waiting for a ticket comes to.
pub(super) enum Wait {
    /// The ticket is not known.
    UnknownTicket,
    /// There was an answer already.
    Ready(wire::Answer),
    /// The answer will come.
    Pending(oneshot::Receiver<wire::Answer>),
}

/// Coordinator of one service.
pub(super) struct Coordinator {
    contract: Arc<contract::Service>,
    policy: placement::Coordinator,
    term: u64,
    version: u64,
    tickets: HashMap<u64, Ticket>,
    // What became of each request of a host, so that it can be cancelled.
    requests: HashMap<(Arc<str>, u64), (Instant, Stage)>,
    // The last change of each upstream and class, or of all its classes.
    changes: HashMap<(usize, Option<usize>), (Instant, health::Change)>,
    ticked: Instant,
    // When the member list last named this daemon.
    named: Instant,
    // When a departure was last signalled, but for those in the text.
    leaving: HashMap<Arc<str>, Instant>,
}

impl Coordinator {
    /// Starts a term with what the standing of an earlier coordinator says.
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
            .map(|standing| standing.view)
            .unwrap_or_default();
        let term = context
            .clock
            .wall()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(1, |since| since.as_millis() as u64);
        log::info!(event = "coordinator_started", service = &*contract.name, term = term; "coordinating a service");
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
            ticked: now,
            named: now,
            leaving: HashMap::new(),
        }
    }

    /// Takes a newer text into force.
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
        // Indices may stand for other upstreams and classes from now on.
        self.changes.clear();
        let actions = self.policy.configure(
            now,
            Arc::clone(&self.contract),
            Arc::clone(&snapshot.classes),
            Arc::clone(&snapshot.customers),
        );
        self.carry_out(now, in_force, actions);
    }

    /// Term of the coordinator.
    pub(super) fn term(&self) -> u64 {
        self.term
    }

    /// Ejected and leaving upstreams.
    pub(super) fn view(&self) -> health::View {
        self.policy.health().view()
    }

    /// Takes one event.
    pub(super) fn handle(
        &mut self,
        now: Instant,
        in_force: &context::Configuration,
        event: placement::Event,
    ) {
        let actions = self.policy.handle(now, event);
        self.carry_out(now, in_force, actions);
    }

    /// Opens a ticket for a request of a host.
    pub(super) fn open(&mut self, now: Instant, ticket: u64, host: Arc<str>, request: u64) {
        self.requests
            .insert((Arc::clone(&host), request), (now, Stage::Waiting(ticket)));
        let opened = Ticket {
            host,
            request,
            waiter: None,
            answer: None,
            seen: now,
        };
        self.tickets.insert(ticket, opened);
    }

    /// Waits for the answer to a ticket.
    pub(super) fn wait(&mut self, now: Instant, number: u64) -> Wait {
        let Some(ticket) = self.tickets.get_mut(&number) else {
            return Wait::UnknownTicket;
        };
        ticket.seen = now;
        if let Some(answer) = ticket.answer.take() {
            self.tickets.remove(&number);
            return Wait::Ready(answer);
        }
        let (sender, receiver) = oneshot::channel();
        ticket.waiter = Some(sender);
        Wait::Pending(receiver)
    }

    /// Gives up a request whose host no longer waits for it. Returns what the
    /// coordinator must be told.
    pub(super) fn cancel(&mut self, host: &Arc<str>, request: u64) -> Option<placement::Event> {
        let (_, stage) = self.requests.remove(&(Arc::clone(host), request))?;
        match stage {
            Stage::Waiting(ticket) => {
                self.tickets.remove(&ticket)?;
                Some(placement::Event::Abandon(ticket))
            }
            Stage::Granted(grant) => Some(unused(grant)),
        }
    }

    /// Notes a sign that an upstream is leaving.
    pub(super) fn note_leaving(&mut self, now: Instant, upstream: Arc<str>) {
        self.leaving.insert(upstream, now);
    }

    /// Whether the duty goes on. It ends some time after the member list has
    /// given it to another daemon, since its state would be stale if it came
    /// back.
    pub(super) fn is_kept(&mut self, now: Instant, service: &str, named: bool) -> bool {
        if named {
            self.named = now;
        }
        let kept = now.duration_since(self.named) < STEP_DOWN;
        if !kept {
            log::info!(event = "coordinator_stopped", service = service, term = self.term; "another daemon coordinates the service");
        }
        kept
    }

    /// Expires tickets and departures, and advances the coordinator.
    pub(super) fn tick(&mut self, now: Instant, in_force: &context::Configuration) {
        let mut events = self.expire(now);
        events.extend(self.returned(now));
        let wake = self.policy.next_tick();
        if wake.is_some_and(|wake| wake <= now) || now.duration_since(self.ticked) >= HEALTH_TICK {
            self.ticked = now;
            self.requests.retain(|_, (at, stage)| {
                matches!(stage, Stage::Waiting(_)) || now.duration_since(*at) < CANCELLABLE
            });
            events.push(placement::Event::Tick);
        }
        for event in events {
            self.handle(now, in_force, event);
        }
    }

    /// Gives up tickets whose host went away.
    fn expire(&mut self, now: Instant) -> Vec<placement::Event> {
        let silent: Vec<u64> = self
            .tickets
            .iter()
            .filter(|(_, ticket)| now.duration_since(ticket.seen) > TICKET_SILENCE)
            .map(|(number, _)| *number)
            .collect();
        let mut events = Vec::new();
        for number in silent {
            let Some(ticket) = self.tickets.remove(&number) else {
                continue;
            };
            self.requests.remove(&(ticket.host, ticket.request));
            match ticket.answer {
                Some(wire::Answer::Granted(grant)) => events.push(unused(grant.grant)),
                Some(_) => {}
                None => events.push(placement::Event::Abandon(number)),
            }
        }
        events
    }

    /// Upstreams whose departure was not signalled for a while.
    fn returned(&mut self, now: Instant) -> Vec<placement::Event> {
        let mut returned = Vec::new();
        let service = &self.contract.name;
        self.leaving.retain(|upstream, signalled| {
            let over = now.duration_since(*signalled) >= DEPARTURE;
            if over {
                log::info!(event = "upstream_returned", service = &**service, upstream = &**upstream; "no sign of a departure any more");
                returned.push(placement::Event::Returned(Arc::clone(upstream)));
            }
            !over
        });
        returned
    }

    fn carry_out(
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
                    let concerns = (change.upstream(), change.class());
                    self.changes.insert(concerns, (now, change));
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
            ticket.seen = now;
            self.tickets.insert(number, ticket);
        }
    }

    /// Adds the state of each upstream and class to `rows`.
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

/// The end of a grant that no attempt used.
fn unused(grant: placement::Id) -> placement::Event {
    placement::Event::Settle {
        grant,
        outcome: health::Outcome::Neutral,
        elapsed: Duration::ZERO,
    }
}
