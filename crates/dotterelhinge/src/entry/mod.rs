//! Handling of callers' requests: admission, slots, attempts and the response.

mod attempt;
mod body;
mod headers;
mod key;
mod local;
mod problem;
mod response;
mod slot;
mod watch;

use std::{
    cell::RefCell,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use actix::Addr;
use actix_web::{HttpRequest, HttpResponse, http::header, web};
use dotterelhinge_policy::{contract, idempotency as policy, retry};

use crate::{context, coordinator, idempotency, ledger, metrics, peer};

/// Customer name of requests without a customer header.
const NO_CUSTOMER: &str = "(none)";

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// State that one worker thread needs to serve callers.
pub(crate) struct Worker {
    context: Arc<context::Context>,
    coordinator: Addr<coordinator::Actor>,
    ledger: Addr<ledger::Actor>,
    idempotency: Addr<idempotency::Actor>,
    peers: peer::Client,
    local: RefCell<local::State>,
}

impl Worker {
    /// Creates the state of a worker thread. Must be called on that thread.
    pub(crate) fn new(
        context: Arc<context::Context>,
        coordinator: Addr<coordinator::Actor>,
        ledger: Addr<ledger::Actor>,
        idempotency: Addr<idempotency::Actor>,
    ) -> Self {
        Self {
            peers: peer::Client::new(Arc::clone(&context)),
            local: RefCell::default(),
            context,
            coordinator,
            ledger,
            idempotency,
        }
    }

    fn next_attempt() -> u64 {
        NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed)
    }
}

/// Parameters and progress of one request.
struct Exchange {
    id: String,
    in_force: Arc<context::Configuration>,
    service: usize,
    class: usize,
    customer: Arc<str>,
    deadline: Instant,
    /// Number of the current attempt, from 1; 0 before the first one.
    attempt: u32,
    excluded: retry::Excluded,
}

impl Exchange {
    fn service(&self) -> &Arc<contract::Service> {
        &self.in_force.snapshot.services[self.service]
    }

    fn class(&self) -> &contract::Class {
        &self.in_force.snapshot.classes[self.class]
    }

    fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// Handles one request of a caller.
pub(crate) async fn serve(
    worker: web::Data<Rc<Worker>>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let id = headers::request_id(request.headers());
    let arrived = worker.context.clock.now();
    metrics::Registry::add(&worker.context.metrics.counters.requests, 1);
    let exchange = match admit(&worker, &request, &id, arrived) {
        Ok(exchange) => exchange,
        Err(kind) => return problem::failed(kind, retry::Outcome::NotRun, &id),
    };
    let class = Arc::clone(&exchange.class().name);
    let customer = Arc::clone(&exchange.customer);
    let (response, result) = match run(&worker, exchange, &request, payload).await {
        Ok(response) => (response, "answered"),
        Err((kind, outcome)) => (problem::failed(kind, outcome, &id), kind.name()),
    };
    let latency = worker.context.clock.now().duration_since(arrived);
    worker
        .context
        .metrics
        .record_request(&class, &customer, result, latency);
    let share = worker.context.settings.request_log_share;
    if share > 0.0 && rand::random::<f64>() < share {
        log::info!(event = "request", request_id = id, method = request.method().as_str(), path = request.path(),
            class = &*class, customer = &*customer, result = result, status = response.status().as_u16(),
            taken_us = latency.as_micros() as u64; "request finished");
    }
    response
}

fn admit(
    worker: &Worker,
    request: &HttpRequest,
    id: &str,
    arrived: Instant,
) -> Result<Exchange, retry::Kind> {
    let context = &worker.context;
    let header_bytes: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if header_bytes > context.settings.max_header_bytes {
        return Err(retry::Kind::TooLarge);
    }
    if !headers::is_resolved(request.uri().path()) {
        return Err(retry::Kind::BadRequest);
    }
    let in_force = context
        .in_force
        .load_full()
        .filter(|_| !context.is_version_check_due())
        .ok_or(retry::Kind::NotReady)?;
    let host = request
        .headers()
        .get(header::HOST)
        .and_then(|value| value.to_str().ok());
    let route = in_force
        .snapshot
        .route(host, request.method().as_str(), request.path())
        .ok_or(retry::Kind::NoRoute)?;
    let (service, class) = (route.service, route.class);
    let customer = in_force
        .snapshot
        .customer_header
        .as_ref()
        .and_then(|name| request.headers().get(&**name))
        .and_then(|value| value.to_str().ok())
        .map_or_else(|| Arc::from(NO_CUSTOMER), Arc::from);
    let mut time_left = in_force.snapshot.classes[class].deadline;
    if let Some(value) = request.headers().get(headers::DEADLINE) {
        let requested = value
            .to_str()
            .ok()
            .and_then(|value| value.parse().ok())
            .map(Duration::from_millis)
            .ok_or(retry::Kind::BadRequest)?;
        time_left = time_left.min(requested);
    }
    Ok(Exchange {
        id: id.to_owned(),
        in_force,
        service,
        class,
        customer,
        deadline: arrived + time_left,
        attempt: 0,
        excluded: retry::Excluded::new(),
    })
}

/// A failure as reported to the caller.
type Failure = (retry::Kind, retry::Outcome);

async fn run(
    worker: &Rc<Worker>,
    exchange: Exchange,
    request: &HttpRequest,
    payload: web::Payload,
) -> Result<HttpResponse, Failure> {
    let body = read_body(worker, &exchange, request, payload).await?;
    let started_key = match key::begin(worker, &exchange, request).await {
        Ok(started_key) => started_key,
        Err(key::Refusal::Failed(kind)) => return Err((kind, kind.outcome())),
        Err(key::Refusal::Done(status)) => return Ok(problem::done(status, &exchange.id)),
    };
    let result = run_attempts(worker, exchange, request, &body).await;
    if let Some(started_key) = started_key {
        let outcome = match &result {
            Ok(response) => policy::Outcome::Done {
                status: response.status().as_u16(),
            },
            Err((_, retry::Outcome::NotRun)) => policy::Outcome::NotRun,
            Err((_, retry::Outcome::Unknown)) => policy::Outcome::Unknown,
        };
        started_key.end(outcome).await;
    }
    result
}

async fn run_attempts(
    worker: &Rc<Worker>,
    mut exchange: Exchange,
    request: &HttpRequest,
    body: &body::Body,
) -> Result<HttpResponse, Failure> {
    let class = exchange.class().clone();
    let mut pending = retry::Request::new(&class);
    loop {
        let now = worker.context.clock.now();
        if !class.upload && exchange.time_left(now).is_zero() {
            return Err(failure(pending.expired()));
        }
        exchange.attempt = pending.attempt();
        let slot = match slot::acquire(worker, &exchange).await {
            Ok(slot) => slot,
            Err(refusal) => return Err(failure(pending.refused(refusal.into()))),
        };
        metrics::Registry::add(&worker.context.metrics.counters.attempts, 1);
        let running = pending.start(Arc::clone(slot.upstream()));
        let (ended, response) = match attempt::run(worker, &exchange, slot, request, body).await {
            attempt::Ending::Answered(response) => return Ok(response),
            attempt::Ending::Failed { ended, response } => (ended, response),
        };
        let now = worker.context.clock.now();
        let time_left = if class.upload {
            class.progress_timeout
        } else {
            exchange.time_left(now)
        };
        let state = retry::State {
            time_left,
            response_started: false,
            replayable: body.is_replayable() && body.failure().is_none(),
        };
        // The retry budget is enforced where the next slot is granted: by the
        // coordinator, or by `local::State::pick`.
        match running.end(ended, state, || true) {
            retry::Decision::Retry { request, excluded } => {
                pending = request;
                exchange.excluded = excluded;
            }
            decision => return response.ok_or_else(|| failure(decision)),
        }
    }
}

fn failure(decision: retry::Decision) -> Failure {
    match decision {
        retry::Decision::Fail { kind, outcome } => (kind, outcome),
        // Unreachable: responses and retries are handled by `run_attempts`.
        _ => (retry::Kind::BrokenAnswer, retry::Outcome::Unknown),
    }
}

/// Returns the body of a request. Unless it is an upload, a body that fits into the
/// replay buffer is read completely before a slot is requested, so that a slow
/// caller does not occupy one.
async fn read_body(
    worker: &Worker,
    exchange: &Exchange,
    request: &HttpRequest,
    payload: web::Payload,
) -> Result<body::Body, Failure> {
    let not_run = |kind| (kind, retry::Outcome::NotRun);
    let class = exchange.class();
    let now = worker.context.clock.now();
    let limit = worker.context.settings.max_body_bytes;
    if let Some(length) = request.headers().get(header::CONTENT_LENGTH) {
        let length: u64 = length
            .to_str()
            .ok()
            .and_then(|value| value.parse().ok())
            .ok_or(not_run(retry::Kind::BadRequest))?;
        if length > limit {
            return Err(not_run(retry::Kind::TooLarge));
        }
    }
    let body = body::Body::new(payload, class.replay_bytes, limit, now);
    if !class.upload {
        match tokio::time::timeout(exchange.time_left(now), body.fill()).await {
            Err(_) => return Err(not_run(retry::Kind::Deadline)),
            Ok(Err(body::Failure::TooLarge)) => return Err(not_run(retry::Kind::TooLarge)),
            Ok(Err(body::Failure::Caller)) => return Err(not_run(retry::Kind::BadRequest)),
            Ok(Ok(())) => {}
        }
    }
    Ok(body)
}
