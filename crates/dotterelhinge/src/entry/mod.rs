//! The path of a caller's request through the daemon.

mod answer;
mod attempt;
mod body;
mod headers;
mod key;
mod own;
mod problem;
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

/// Customer of requests without a customer header.
const NO_CUSTOMER: &str = "(none)";

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// What one worker thread needs to serve callers.
pub(crate) struct Worker {
    context: Arc<context::Context>,
    coordinator: Addr<coordinator::Actor>,
    ledger: Addr<ledger::Actor>,
    idempotency: Addr<idempotency::Actor>,
    peers: peer::Client,
    own: RefCell<own::Own>,
}

impl Worker {
    /// State of a worker thread; must be made on that thread.
    pub(crate) fn new(
        context: Arc<context::Context>,
        coordinator: Addr<coordinator::Actor>,
        ledger: Addr<ledger::Actor>,
        idempotency: Addr<idempotency::Actor>,
    ) -> Self {
        Self {
            peers: peer::Client::new(Arc::clone(&context)),
            own: RefCell::default(),
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

/// Terms and progress of one request.
struct Exchange {
    id: String,
    in_force: Arc<context::Configuration>,
    service: usize,
    class: usize,
    customer: Arc<str>,
    deadline: Instant,
    attempts: u32,
    excluded: retry::Excluded,
}

impl Exchange {
    fn service(&self) -> &Arc<contract::Service> {
        &self.in_force.snapshot.services[self.service]
    }

    fn class(&self) -> &contract::Class {
        &self.in_force.snapshot.classes[self.class]
    }

    fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// Serves one request of a caller.
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
        Err(kind) => return problem::answer(kind, retry::Outcome::NotRun, &id),
    };
    let class = Arc::clone(&exchange.class().name);
    let customer = Arc::clone(&exchange.customer);
    let (answer, result) = match run(&worker, exchange, &request, payload).await {
        Ok(answer) => (answer, "answered"),
        Err((kind, outcome)) => (problem::answer(kind, outcome, &id), kind.name()),
    };
    let taken = worker.context.clock.now().duration_since(arrived);
    worker
        .context
        .metrics
        .record_request(&class, &customer, result, taken);
    let share = worker.context.settings.request_log_share;
    if share > 0.0 && rand::random::<f64>() < share {
        log::info!(event = "request", request_id = id, method = request.method().as_str(), path = request.path(),
            class = &*class, customer = &*customer, result = result, status = answer.status().as_u16(),
            taken_us = taken.as_micros() as u64; "request served");
    }
    answer
}

fn admit(
    worker: &Worker,
    request: &HttpRequest,
    id: &str,
    arrived: Instant,
) -> Result<Exchange, retry::Kind> {
    let context = &worker.context;
    let head: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if head > context.settings.max_header_bytes {
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
    let mut left = in_force.snapshot.classes[class].deadline;
    if let Some(value) = request.headers().get(headers::DEADLINE) {
        let own = value
            .to_str()
            .ok()
            .and_then(|value| value.parse().ok())
            .map(Duration::from_millis)
            .ok_or(retry::Kind::BadRequest)?;
        left = left.min(own);
    }
    Ok(Exchange {
        id: id.to_owned(),
        in_force,
        service,
        class,
        customer,
        deadline: arrived + left,
        attempts: 0,
        excluded: retry::Excluded::new(),
    })
}

/// A failure as told to the caller.
type Failure = (retry::Kind, retry::Outcome);

async fn run(
    worker: &Rc<Worker>,
    exchange: Exchange,
    request: &HttpRequest,
    payload: web::Payload,
) -> Result<HttpResponse, Failure> {
    let body = take_body(worker, &exchange, request, payload).await?;
    let begun = match key::begin(worker, &exchange, request).await {
        Ok(begun) => begun,
        Err(key::Refused::Failed(kind)) => return Err((kind, kind.outcome())),
        Err(key::Refused::Done(status)) => return Ok(problem::done(status, &exchange.id)),
    };
    let result = attempts(worker, exchange, request, &body).await;
    if let Some(begun) = begun {
        let outcome = match &result {
            Ok(answer) => policy::Outcome::Done {
                status: answer.status().as_u16(),
            },
            Err((_, retry::Outcome::NotRun)) => policy::Outcome::NotRun,
            Err((_, retry::Outcome::Unknown)) => policy::Outcome::Unknown,
        };
        begun.end(outcome).await;
    }
    result
}

async fn attempts(
    worker: &Rc<Worker>,
    mut exchange: Exchange,
    request: &HttpRequest,
    body: &body::Body,
) -> Result<HttpResponse, Failure> {
    let class = exchange.class().clone();
    let mut pending = retry::Request::new(&class);
    loop {
        let now = worker.context.clock.now();
        if !class.upload && exchange.left(now).is_zero() {
            return Err(failure(pending.expired()));
        }
        exchange.attempts = pending.attempt();
        let slot = match slot::acquire(worker, &exchange).await {
            Ok(slot) => slot,
            Err(refusal) => return Err(failure(pending.refused(refusal.into()))),
        };
        metrics::Registry::add(&worker.context.metrics.counters.attempts, 1);
        let running = pending.start(Arc::clone(slot.upstream()));
        let (ended, answer) = match attempt::run(worker, &exchange, slot, request, body).await {
            attempt::Ending::Answered(answer) => return Ok(answer),
            attempt::Ending::Failed { ended, answer } => (ended, answer),
        };
        let now = worker.context.clock.now();
        let left = if class.upload {
            class.progress_timeout
        } else {
            exchange.left(now)
        };
        let state = retry::State {
            time_left: left,
            response_started: false,
            replayable: body.replayable() && body.failure().is_none(),
        };
        // The budget is kept where the next slot comes from.
        match running.end(ended, state, || true) {
            retry::Decision::Retry { request, excluded } => {
                pending = request;
                exchange.excluded = excluded;
            }
            decision => return answer.ok_or_else(|| failure(decision)),
        }
    }
}

fn failure(decision: retry::Decision) -> Failure {
    match decision {
        retry::Decision::Fail { kind, outcome } => (kind, outcome),
        // Not reached: deliveries and retries are taken by the caller.
        _ => (retry::Kind::BrokenAnswer, retry::Outcome::Unknown),
    }
}

/// The body of a request. A small one is read whole before a slot is asked
/// for, so that a slow caller holds none.
async fn take_body(
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
        match tokio::time::timeout(exchange.left(now), body.fill()).await {
            Err(_) => return Err(not_run(retry::Kind::Deadline)),
            Ok(Err(body::Failure::TooLarge)) => return Err(not_run(retry::Kind::TooLarge)),
            Ok(Err(body::Failure::Caller)) => return Err(not_run(retry::Kind::BadRequest)),
            Ok(Ok(())) => {}
        }
    }
    Ok(body)
}
