//! One request of a caller: its admission, and the answer if it is refused.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{Request, Response, header, http::request};
use smallvec::SmallVec;

use super::{
    answer::{self, Reason},
    attempts::Admitted,
    authentication,
    body::{Content, Failure, Payload, Received, Shortage},
    headers,
};
use crate::{
    catalog::{Configuration, Route, customer::Customer},
    host::Host,
};

/// Timeout of a request whose caller gives no deadline, unless the timeout of
/// its route is shorter.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Counts a request as being served until this guard is dropped.
struct Serving<'a> {
    host: &'a Host,
    id: &'a str,
    is_done: bool,
}

impl<'a> Serving<'a> {
    fn new(host: &'a Host, id: &'a str) -> Self {
        host.serving.set(host.serving.get() + 1);
        Self {
            host,
            id,
            is_done: false,
        }
    }
}

impl Drop for Serving<'_> {
    fn drop(&mut self) {
        self.host.serving.set(self.host.serving.get() - 1);
        if !self.is_done {
            self.host.metrics.abandoned.increment();
            log::info!(event = "caller_left", request_id = self.id; "caller disconnected before the answer");
        }
    }
}

/// Serves one request of a caller and returns its answer.
pub(super) async fn serve(host: Rc<Host>, request: Request<Received>) -> Response<Content> {
    let arrived = host.now();
    host.metrics.requests.increment();
    measure_lag(&host);
    let (head, body) = request.into_parts();
    let id = headers::text(&head.headers, host.settings.headers.request_id)
        .unwrap_or_default()
        .to_owned();
    let mut serving = Serving::new(&host, &id);
    let mut response = match admit(&host, &head, body, &id, arrived).await {
        Ok((admitted, body)) => admitted.run(Payload::Available(body), arrived).await,
        Err(reason) => {
            record_refusal(&host, &id, &head, reason);
            answer::build(reason, &id)
        }
    };
    serving.is_done = true;
    if host.is_stopping() {
        response.headers_mut().insert(
            header::CONNECTION,
            header::HeaderValue::from_static("close"),
        );
    }
    response
}

/// Measures how long a task waits to be scheduled, if that is due.
fn measure_lag(host: &Rc<Host>) {
    if host.lag.borrow_mut().begin(host.now()) {
        let host = Rc::clone(host);
        actix_rt::spawn(async move { host.lag.borrow_mut().end(host.now(), host.serving.get()) });
    }
}

/// Counts a refused request and logs it, subject to the rate limit.
fn record_refusal(host: &Host, id: &str, head: &request::Parts, reason: Reason) {
    host.metrics.refused.increment();
    if matches!(reason, Reason::RateLimited(_)) {
        // Logged where the limit is checked.
        return;
    }
    if matches!(reason, Reason::Unauthenticated(_)) {
        host.metrics.unauthenticated.increment();
    }
    let Some(left_out) = host.log_limits.failure.admit(host.now()) else {
        return;
    };
    log::info!(event = "refused", left_out = left_out, request_id = id, path = head.uri.path(), reason = reason.name(), detail = reason.detail(); "request refused");
}

/// Finds the route and the customer of a request, reads its body and chooses its
/// service.
async fn admit<'a>(
    host: &'a Rc<Host>,
    head: &'a request::Parts,
    body: Received,
    id: &'a str,
    arrived: Instant,
) -> Result<(Admitted<'a>, Content), Reason> {
    let configuration = configuration(host)?;
    let max_bytes = configuration.limits.body_bytes;
    let timeout = match route(&configuration, head) {
        Ok(route) => {
            let timeout = deadline_after(host, head, route).unwrap_or(route.timeout);
            if let Err(reason) = check_customer(host, &configuration, route, head) {
                discard(head, body, max_bytes, timeout).await;
                return Err(reason);
            }
            timeout
        }
        // The error is returned once the body has been read.
        Err(_) => DEFAULT_TIMEOUT,
    };
    if !host.can_serve_within(timeout) {
        return Err(Reason::Overloaded);
    }
    let margin = host.deadline_margin();
    let left = (arrived + timeout.saturating_sub(margin)).saturating_duration_since(host.now());
    let permit = host.memory.permit();
    let read = Content::read(body, max_bytes, permit, Shortage::Fail);
    let body = match tokio::time::timeout(left, read).await {
        Ok(Ok(body)) => body,
        Ok(Err(Failure::TooLarge)) => return Err(Reason::TooLarge),
        Ok(Err(Failure::NoMemory)) => {
            host.metrics.memory_refused.increment();
            return Err(Reason::NoMemory);
        }
        Ok(Err(Failure::Broken(_))) => return Err(Reason::BadRequest),
        Err(_) => return Err(Reason::Incomplete),
    };
    // The configuration may have changed while the body was read.
    let configuration = self::configuration(host)?;
    let route = route(&configuration, head)?;
    let customer = customer(&configuration, route, head)?;
    let deadline = arrived + deadline_after(host, head, route)?.saturating_sub(margin);
    if let Some(shutdown) = host.shutdown.get()
        && !shutdown.accepts(host.now(), deadline)
    {
        return Err(Reason::Stopping);
    }
    let service = host.choose_service(route);
    let admitted = Admitted {
        host,
        id,
        head,
        is_tested: route.repeatable || configuration.has_repeatable_route(&service),
        service,
        deadline,
        route: Arc::clone(route),
        version: configuration.version,
        has_customers: configuration.customers.is_some(),
        customer,
        sends: 0,
        tried: SmallVec::new(),
    };
    if let Some(customer) = &admitted.customer {
        host.admit_usage(customer).map_err(Reason::RateLimited)?;
    }
    host.earn(&admitted.service);
    Ok((admitted, body))
}

/// Checks who sends a request and whether that customer's limit leaves room for it,
/// so that the body of a request that is refused takes no memory. The request is
/// charged when it is sent.
fn check_customer(
    host: &Host,
    configuration: &Configuration,
    route: &Route,
    head: &request::Parts,
) -> Result<(), Reason> {
    let Some(customer) = customer(configuration, route, head)? else {
        return Ok(());
    };
    host.metrics.record_customer(&customer.name);
    host.check_usage(&customer).map_err(Reason::RateLimited)
}

/// Reads and drops the body of a request that is refused by its head, for at most
/// `time`. If the caller is still writing when its connection is closed, the answer
/// is lost to it. A caller that asks before it sends the body need not send it.
async fn discard(head: &request::Parts, body: Received, max_bytes: u64, time: Duration) {
    if !head.headers.contains_key(header::EXPECT) {
        // The request is refused whether or not the body ends in time.
        let _ = tokio::time::timeout(time, body.discard(max_bytes)).await;
    }
}

/// Returns the route of a request.
fn route<'a>(
    configuration: &'a Configuration,
    head: &request::Parts,
) -> Result<&'a Arc<Route>, Reason> {
    let name = headers::text(&head.headers, header::HOST.as_str()).ok_or(Reason::BadRequest)?;
    configuration
        .route(host_name(name), head.uri.path())
        .ok_or(Reason::NoRoute)
}

/// Returns the customer of a request; `None` if it needs none.
fn customer(
    configuration: &Configuration,
    route: &Route,
    head: &request::Parts,
) -> Result<Option<Arc<Customer>>, Reason> {
    authentication::authenticate(configuration, route, &head.headers)
        .map_err(Reason::Unauthenticated)
}

/// Returns the time from the arrival of a request until its deadline, which its
/// caller or the timeout of its route sets.
fn deadline_after(host: &Host, head: &request::Parts, route: &Route) -> Result<Duration, Reason> {
    let left = match headers::text(&head.headers, host.settings.headers.deadline) {
        None => DEFAULT_TIMEOUT,
        Some(value) => Duration::from_millis(value.parse().map_err(|_| Reason::BadRequest)?),
    };
    Ok(left.min(route.timeout))
}

/// Returns the configuration in force once the catalog is complete.
fn configuration(host: &Host) -> Result<Arc<Configuration>, Reason> {
    let replica = host.replica.borrow();
    if !replica.catalog().is_complete() {
        return Err(Reason::NotReady);
    }
    replica.configuration().cloned().ok_or(Reason::NotReady)
}

/// Returns the host name in the value of a `Host` header, without the port.
fn host_name(value: &str) -> &str {
    value.split_once(':').map_or(value, |(name, _)| name)
}
