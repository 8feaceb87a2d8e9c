//! The path of a caller's request through the daemon.

mod answer;
mod attempt;
mod body;
mod headers;
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
use dotterelhinge_policy::{contract, placement};
use smallvec::SmallVec;

use crate::{context, coordinator, ledger, metrics, peer};

/// Customer of requests without a customer header.
const NO_CUSTOMER: &str = "(none)";

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// What one worker thread needs to serve callers.
pub struct Worker {
    context: Arc<context::Context>,
    coordinator: Addr<coordinator::Actor>,
    ledger: Addr<ledger::Actor>,
    peers: peer::Client,
    slots: RefCell<slot::Own>,
}

impl Worker {
    /// State of a worker thread; must be made on that thread.
    pub fn new(
        context: Arc<context::Context>,
        coordinator: Addr<coordinator::Actor>,
        ledger: Addr<ledger::Actor>,
    ) -> Self {
        Self {
            peers: peer::Client::new(Arc::clone(&context)),
            slots: RefCell::default(),
            context,
            coordinator,
            ledger,
        }
    }

    fn next_attempt() -> u64 {
        NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed)
    }
}

/// Terms and progress of one request.
struct Exchange {
    id: String,
    in_force: Arc<context::InForce>,
    service: usize,
    class: usize,
    customer: Arc<str>,
    arrived: Instant,
    deadline: Instant,
    attempts: u32,
    excluded: SmallVec<[Arc<str>; 4]>,
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
pub async fn serve(
    worker: web::Data<Rc<Worker>>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let id = headers::request_id(request.headers());
    let arrived = worker.context.clock.now();
    metrics::Registry::add(&worker.context.metrics.counters.requests, 1);
    let exchange = match admit(&worker, &request, &id, arrived) {
        Ok(exchange) => exchange,
        Err(kind) => return problem::answer(kind, problem::Outcome::NotRun, &id),
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
        .record(&class, &customer, result, taken);
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
) -> Result<Exchange, problem::Kind> {
    let context = &worker.context;
    let in_force = context
        .in_force
        .load_full()
        .filter(|_| !context.unchecked())
        .ok_or(problem::Kind::NotReady)?;
    let host = request
        .headers()
        .get(header::HOST)
        .and_then(|value| value.to_str().ok());
    let route = in_force
        .snapshot
        .route(host, request.method().as_str(), request.path())
        .ok_or(problem::Kind::NoRoute)?;
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
            .ok_or(problem::Kind::BadRequest)?;
        left = left.min(own);
    }
    Ok(Exchange {
        id: id.to_owned(),
        in_force,
        service,
        class,
        customer,
        arrived,
        deadline: arrived + left,
        attempts: 0,
        excluded: SmallVec::new(),
    })
}

type Failure = (problem::Kind, problem::Outcome);

async fn run(
    worker: &Rc<Worker>,
    mut exchange: Exchange,
    request: &HttpRequest,
    payload: web::Payload,
) -> Result<HttpResponse, Failure> {
    use problem::{Kind, Outcome};

    let class = exchange.class().clone();
    let now = worker.context.clock.now();
    let limit = worker.context.settings.max_body_bytes;
    if let Some(length) = request.headers().get(header::CONTENT_LENGTH) {
        let length: u64 = length
            .to_str()
            .ok()
            .and_then(|value| value.parse().ok())
            .ok_or((Kind::BadRequest, Outcome::NotRun))?;
        if length > limit {
            return Err((Kind::TooLarge, Outcome::NotRun));
        }
    }
    let body = body::Body::new(payload, class.replay_bytes, limit, now);
    if !class.upload {
        let left = exchange.left(now);
        match tokio::time::timeout(left, body.fill()).await {
            Err(_) => return Err((Kind::Deadline, Outcome::NotRun)),
            Ok(Err(body::Failure::TooLarge)) => return Err((Kind::TooLarge, Outcome::NotRun)),
            Ok(Err(body::Failure::Caller)) => return Err((Kind::BadRequest, Outcome::NotRun)),
            Ok(Ok(())) => {}
        }
    }
    // What the caller is told if no further attempt is made.
    let mut last: Failure = (Kind::Deadline, Outcome::NotRun);
    loop {
        let now = worker.context.clock.now();
        if exchange.left(now).is_zero() && !class.upload {
            return Err(if exchange.attempts == 0 { (Kind::Deadline, Outcome::NotRun) } else { last });
        }
        exchange.attempts += 1;
        let slot = match slot::acquire(worker, &exchange).await {
            Ok(slot) => slot,
            // A retry that gets no slot reports the attempt before it.
            Err(_) if exchange.attempts > 1 => return Err(last),
            Err(refusal) => return Err((refused(refusal), Outcome::NotRun)),
        };
        let upstream = Arc::clone(slot.upstream());
        metrics::Registry::add(&worker.context.metrics.counters.attempts, 1);
        let result = attempt::run(worker, &exchange, slot, request, &body).await;
        match result {
            attempt::Ending::Answered(answer) => return Ok(answer),
            attempt::Ending::Failed { kind, outcome, answer } => {
                let may_repeat = class.repeatable || outcome == Outcome::NotRun;
                if exchange.attempts < class.attempts && may_repeat && body.replayable() && body.failure().is_none() {
                    last = worst(last, (kind, outcome));
                    exchange.excluded.push(upstream);
                    continue;
                }
                if let Some(answer) = answer {
                    return Ok(answer);
                }
                return Err(worst(last, (kind, outcome)));
            }
        }
    }
}

/// The later failure, unless an earlier attempt may have run.
fn worst(before: Failure, after: Failure) -> Failure {
    if before.1 == problem::Outcome::Unknown && after.1 == problem::Outcome::NotRun {
        (after.0, problem::Outcome::Unknown)
    } else {
        after
    }
}

fn refused(refusal: placement::Refusal) -> problem::Kind {
    match refusal {
        placement::Refusal::Overloaded | placement::Refusal::Budget => problem::Kind::Overloaded,
        placement::Refusal::QueueTimeout => problem::Kind::QueueTimeout,
        placement::Refusal::CustomerLimit => problem::Kind::CustomerLimit,
        placement::Refusal::NoUpstream => problem::Kind::NoUpstream,
    }
}
