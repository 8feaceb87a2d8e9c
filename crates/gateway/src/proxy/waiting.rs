//! Requests of this host that wait until the backend servers of their service
//! have room for them.
//!
//! [`policy`](dotterelhinge_policy::waiting) decides; this module holds what
//! waits. While no request of a service waits, it has no task and no timer.

use std::{
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{
    availability::Listing,
    waiting::{Conditions, Limits, Line, Refusal, Request, Room, Verdict},
};
use tokio::sync::oneshot;

use super::{answer::Reason, attempts::Admitted};
use crate::{
    catalog::priority::Priorities,
    host::{Host, rounded},
};

/// Interval at which waiting requests are decided about: as often as evidence
/// of other hosts arrives.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum servers of a service that are counted for its occupancy, so that the
/// cost doesn't grow with the service.
const SAMPLE_SIZE: usize = 256;

/// Why a request is not sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Refused {
    /// Reason for the caller.
    pub reason: Reason,
    /// Expected wait, and when the caller may return; `None` if the daemon stops.
    pub refusal: Option<Refusal>,
}

impl Refused {
    fn congested(refusal: Refusal) -> Self {
        Self {
            reason: Reason::Congested,
            refusal: Some(refusal),
        }
    }
}

/// A request that waits.
#[derive(Debug)]
struct Waiter {
    deadline: Instant,
    sender: oneshot::Sender<Result<(), Refused>>,
}

/// What waits for one service.
#[derive(Debug, Default)]
struct Service {
    /// Version of the configuration that `priorities` is from.
    version: u64,
    priorities: Priorities,
    line: Line,
    waiters: HashMap<u64, Waiter>,
    /// Occupancy when it was last needed.
    occupancy: f64,
    /// Whether a task checks the waiting requests.
    is_checked: bool,
}

/// What waits on this host, by service.
#[derive(Debug, Default)]
pub(crate) struct Services(HashMap<Arc<str>, Service>);

impl Services {
    /// Returns the state of `service` with the priorities under the configuration
    /// in force.
    fn get(&mut self, host: &Host, service: &Arc<str>) -> &mut Service {
        let replica = host.replica.borrow();
        let configuration = replica.configuration();
        let version = configuration.map_or(0, |configuration| configuration.version);
        if !self.0.contains_key(service) {
            // Services that are no longer configured are dropped.
            self.0
                .retain(|_, it| it.version == version || it.is_checked);
            self.0.insert(Arc::clone(service), Service::default());
        }
        let state = self.0.get_mut(service).expect("inserted above");
        if state.version != version
            && let Some(configuration) = configuration
        {
            state.priorities = Priorities::new(configuration, service);
            state.version = version;
        }
        state
    }

    /// Returns the number of waiting requests.
    fn count(&self) -> u64 {
        let lengths = self.0.values().map(|service| service.line.len());
        lengths.sum::<usize>() as u64
    }
}

impl Host {
    /// Publishes the occupancy of the services in which requests may wait.
    pub(crate) fn publish_occupancies(&self) {
        let mut services = self.waiting.borrow_mut();
        let settings = &self.settings.waiting;
        let mixed = services
            .0
            .iter_mut()
            .filter(|(_, it)| settings.is_enabled && it.priorities.is_mixed());
        let occupancies = mixed.map(|(name, service)| {
            let room = room(self, name);
            service.occupancy = room.occupancy().unwrap_or_default();
            (Arc::clone(name), service.occupancy)
        });
        self.metrics
            .waiting
            .publish_occupancies(occupancies.collect());
    }
}

/// Returns the occupancy of the available servers of `service`.
fn room(host: &Host, service: &str) -> Room {
    let now = host.now();
    let replica = host.replica.borrow();
    let evidence = host.evidence.borrow();
    let zone = &host.settings.availability_zone;
    let stride = replica.ready_count(service).div_ceil(SAMPLE_SIZE).max(1);
    let mut room = Room::default();
    for instance in replica.usable(now, service).step_by(stride) {
        if evidence.check(now, instance.key, Listing::Ready).is_ok() {
            let candidate = evidence.candidate(now, instance.key, &instance.upstream, zone);
            room.add(&candidate, host.settings.waiting.suspect_threshold);
        }
    }
    room.scaled(stride)
}

fn conditions(host: &Host, service: &str, priorities: &Priorities) -> Conditions {
    let typical = host.evidence.borrow().typical_latency(service);
    let typical = typical.unwrap_or_default();
    Conditions {
        now: host.now(),
        room: room(host, service),
        limits: Limits::new(priorities.len(), priorities.objective(), typical),
        typical,
        hosts: host.live_hosts(),
    }
}

/// A request's place in the queue, which it leaves when this guard is dropped,
/// for example because its caller has left.
struct Place<'a> {
    host: &'a Rc<Host>,
    service: &'a Arc<str>,
    ticket: u64,
    decision: oneshot::Receiver<Result<(), Refused>>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut services = self.host.waiting.borrow_mut();
        if let Some(service) = services.0.get_mut(self.service)
            && service.waiters.remove(&self.ticket).is_some()
        {
            service.line.leave(self.ticket);
            self.host.metrics.waiting.requests.set(services.count());
        }
    }
}

impl Admitted<'_> {
    /// Waits until the request may be sent. Returns at once while its service has
    /// room, if all requests of the service have the same priority, and if waiting is
    /// not enabled.
    pub(super) async fn wait(&self, arrived: Instant, kilobytes: f64) -> Result<(), Refused> {
        let since = self.host.now();
        let result = match self.enter(arrived, kilobytes) {
            Ok(None) => return Ok(()),
            Ok(Some(mut place)) => {
                let decision = (&mut place.decision).await;
                // The sender is dropped only together with the host's state.
                decision.unwrap_or(Err(Refused {
                    reason: Reason::Stopping,
                    refusal: None,
                }))
            }
            Err(refused) => Err(refused),
        };
        match &result {
            Ok(()) => {
                let waited = self.host.now().saturating_duration_since(since);
                self.host.metrics.waiting.record(self.priority(), waited);
            }
            Err(refused) => self.record_refusal(refused),
        }
        result
    }

    /// Returns when the caller of a request that was shed may return, if requests
    /// of its service may wait.
    pub(super) fn return_time(&self, arrived: Instant) -> Option<Duration> {
        let host = self.host;
        let mut services = host.waiting.borrow_mut();
        let state = services.get(host, &self.service);
        if !host.settings.waiting.is_enabled || !state.priorities.is_mixed() {
            return None;
        }
        let conditions = conditions(host, &self.service, &state.priorities);
        let request = self.request(&state.priorities, arrived, 0.0);
        let rng = &mut *host.rng.borrow_mut();
        let settings = &host.settings.waiting;
        let refusal = state.line.refuse(settings, &conditions, &request, rng);
        Some(refusal.retry_after)
    }

    fn request(&self, priorities: &Priorities, arrived: Instant, kilobytes: f64) -> Request {
        let customer = self.customer.as_ref();
        Request {
            rank: priorities.rank(self.priority()),
            arrived,
            objective: arrived + self.route.objective,
            deadline: self.deadline,
            customer: customer.map(|customer| customer.key()),
            bytes: (kilobytes * 1024.0) as u64,
        }
    }

    /// Decides whether the request is sent at once, and queues it if it has to
    /// wait.
    fn enter(&self, arrived: Instant, kilobytes: f64) -> Result<Option<Place<'_>>, Refused> {
        let host = self.host;
        let mut services = host.waiting.borrow_mut();
        let state = services.get(host, &self.service);
        if !host.settings.waiting.is_enabled || !state.priorities.is_mixed() {
            return Ok(None);
        }
        let conditions = conditions(host, &self.service, &state.priorities);
        let request = self.request(&state.priorities, arrived, kilobytes);
        let Service { line, waiters, .. } = state;
        let verdict = line.enter(
            &host.settings.waiting,
            &conditions,
            request,
            &mut *host.rng.borrow_mut(),
            |ticket, refusal| resolve(waiters, ticket, Err(Refused::congested(refusal))),
        );
        state.occupancy = conditions.room.occupancy().unwrap_or_default();
        let ticket = match verdict {
            Verdict::Send => return Ok(None),
            Verdict::Refuse(refusal) => return Err(Refused::congested(refusal)),
            Verdict::Wait(ticket) => ticket,
        };
        let (sender, decision) = oneshot::channel();
        let deadline = self.deadline;
        state.waiters.insert(ticket, Waiter { deadline, sender });
        if !std::mem::replace(&mut state.is_checked, true) {
            let service = Arc::clone(&self.service);
            actix_rt::spawn(check(Rc::clone(host), service));
        }
        let count = services.count();
        host.metrics.waiting.requests.set(count);
        Ok(Some(Place {
            host,
            service: &self.service,
            ticket,
            decision,
        }))
    }

    /// Counts a request that is refused for lack of room and logs it.
    fn record_refusal(&self, refused: &Refused) {
        let host = self.host;
        let Some(refusal) = refused.refusal else {
            return;
        };
        let priority = self.priority();
        host.metrics.waiting.record_refusal(priority);
        let Some(left_out) = host.log_limits.failure.admit(host.now()) else {
            return;
        };
        let services = host.waiting.borrow();
        let state = services.0.get(&self.service);
        let (occupancy, waiting) = state.map_or((0.0, 0), |it| (it.occupancy, it.line.len()));
        let customer = self.customer.as_ref().map(|customer| &*customer.name);
        log::info!(event = "refused", left_out = left_out, request_id = self.id, route = &*self.route.name, service = &*self.service, customer = customer, sends = self.sends, reason = refused.reason.name(), priority = priority,
            occupancy = rounded(occupancy), expected_wait_ms = refusal.expected.as_millis() as u64, waiting = waiting; "request refused");
    }
}

/// Decides about the waiting requests of `service` until none waits.
async fn check(host: Rc<Host>, service: Arc<str>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let mut services = host.waiting.borrow_mut();
        let state = services.get(&host, &service);
        update(&host, &service, state);
        state.is_checked = !state.line.is_empty();
        let is_checked = state.is_checked;
        host.metrics.waiting.requests.set(services.count());
        if !is_checked {
            return;
        }
    }
}

/// Sends or refuses the waiting requests whose turn it is.
fn update(host: &Host, service: &str, state: &mut Service) {
    let conditions = conditions(host, service, &state.priorities);
    state.occupancy = conditions.room.occupancy().unwrap_or_default();
    let Service { line, waiters, .. } = state;
    if let Some(shutdown) = host.shutdown.get() {
        let is_late = |waiter: &Waiter| !shutdown.accepts(conditions.now, waiter.deadline);
        let late = waiters.extract_if(|_, waiter| is_late(waiter));
        for (ticket, waiter) in late {
            line.leave(ticket);
            // An error means that the caller has left.
            let _ = waiter.sender.send(Err(Refused {
                reason: Reason::Stopping,
                refusal: None,
            }));
        }
    }
    let rng = &mut *host.rng.borrow_mut();
    line.update(
        &host.settings.waiting,
        &conditions,
        rng,
        |ticket, decision| {
            resolve(waiters, ticket, decision.map_err(Refused::congested));
        },
    );
}

/// Tells a waiting request what was decided.
fn resolve(waiters: &mut HashMap<u64, Waiter>, ticket: u64, result: Result<(), Refused>) {
    if let Some(waiter) = waiters.remove(&ticket) {
        // An error means that the caller has left.
        let _ = waiter.sender.send(result);
    }
}
