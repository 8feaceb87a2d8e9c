//! One attempt of a request on one backend server.
//!
//! Every attempt uses a connection of its own. It costs one round trip; in
//! return no attempt meets a connection that went silent or was closed while
//! idle, a late or extra answer never meets the next request, and it is certain
//! whether a byte of the request was sent.

use std::{
    cell::Cell,
    io::ErrorKind,
    time::{Duration, Instant},
};

use hyper::{
    Request, Response, StatusCode,
    client::conn::http1,
    header::{self, HeaderMap, HeaderName, HeaderValue},
    http::request,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle};

use super::{
    answer::Reason,
    body::{Content, Failure},
    headers,
};
use crate::{
    catalog::Instance,
    evidence::{OVERDUE_RATIO, Observation, Outcome, STILL_RUNNING_THRESHOLD},
    host::Host,
};

/// Longest time to open a connection. The network allows about a millisecond; a
/// lost opening packet is sent again only after a second, and another backend
/// server is reached sooner.
const CONNECT: Duration = Duration::from_millis(200);

/// Largest answer that is passed on.
const ANSWER_BYTES: u64 = u64::MAX;

/// How an attempt ended.
pub(super) enum Ending {
    /// With an answer that is passed on.
    Answered(Response<Content>),
    /// With the backend server's own report of a failure. The request has run.
    Failed(Response<Content>),
    /// The request has certainly not run there.
    NotRun {
        /// Why.
        reason: Reason,
        /// Whether it has reached a backend server at all.
        arrived: bool,
    },
    /// The request may have run, and there is no answer.
    Unknown(Reason),
}

impl Ending {
    /// Name in the log.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failed(_) => "upstream-failed",
            Self::NotRun { reason, .. } | Self::Unknown(reason) => reason.name(),
        }
    }
}

/// What an attempt needs to know of its request.
pub(super) struct Order<'a> {
    /// Head of the request.
    pub head: &'a request::Parts,
    /// Id that the caller gave.
    pub id: &'a str,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Time after which the attempt is given up if another one can follow.
    pub patience: Option<Duration>,
    /// Whether another attempt can follow.
    pub another: &'a dyn Fn() -> bool,
}

/// A request in flight at a backend server; counts as such while it lives.
struct Flight<'a> {
    host: &'a Host,
    instance: &'a Instance,
    started: Instant,
    outlived: Cell<bool>,
    overdue: Cell<bool>,
}

impl<'a> Flight<'a> {
    fn new(host: &'a Host, instance: &'a Instance) -> Self {
        let now = host.now();
        host.evidence.borrow_mut().begin(now, instance.key);
        host.outbox_changed.notify_one();
        Self {
            host,
            instance,
            started: now,
            outlived: Cell::new(false),
            overdue: Cell::new(false),
        }
    }

    fn observe(&self, outcome: Outcome) {
        let elapsed = self.host.now().saturating_duration_since(self.started);
        self.host.observe(Observation {
            upstream: self.instance.key,
            outcome,
            elapsed_ms: elapsed.as_millis() as u32,
        });
    }

    /// Time from the start after which the attempt is overdue.
    fn overdue_after(&self) -> Option<Duration> {
        let usual = self
            .host
            .evidence
            .borrow()
            .typical_latency(&self.instance.upstream.service)?;
        Some(usual.mul_f64(OVERDUE_RATIO))
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        self.host.evidence.borrow_mut().end(self.instance.key);
        self.host.outbox_changed.notify_one();
    }
}

/// Ends the task that drives a connection when the attempt ends, so that the
/// backend server sees that nobody waits any more.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Runs one attempt.
pub(super) async fn run(
    host: &Host,
    chosen: &Instance,
    order: &Order<'_>,
    body: &mut Content,
) -> Ending {
    let (key, upstream) = (chosen.key, &chosen.upstream);
    let left = order.deadline.saturating_duration_since(host.now());
    let opened = tokio::time::timeout(left.min(CONNECT), TcpStream::connect(upstream.address));
    let stream = match opened.await {
        Ok(Ok(stream)) => stream,
        failed => {
            host.metrics.unreachable.increment();
            let (refused, error) = match failed {
                Ok(Err(error)) => (
                    error.kind() == ErrorKind::ConnectionRefused,
                    error.to_string(),
                ),
                _ => (false, "timeout".to_owned()),
            };
            note_unreachable(host, key, refused);
            log::info!(event = "not_connected", request_id = order.id, upstream = &*upstream.id, address = upstream.address.to_string(), error = error; "no connection to the backend server");
            return Ending::NotRun {
                reason: Reason::Unreachable,
                arrived: false,
            };
        }
    };
    host.evidence.borrow_mut().connect_succeeded(key);
    // The process may have been stopped or the list changed meanwhile.
    if !host.replica.borrow().is_usable(host.now(), chosen) || host.now() >= order.deadline {
        return Ending::NotRun {
            reason: Reason::Expired,
            arrived: false,
        };
    }
    let flight = Flight::new(host, chosen);
    host.metrics.attempts.increment();
    exchange(&flight, stream, order, body).await
}

/// Takes into account that no connection could be opened.
fn note_unreachable(host: &Host, key: u64, refused: bool) {
    let told = host
        .evidence
        .borrow_mut()
        .connect_failed(host.now(), key, refused);
    if !told {
        return;
    }
    let outcome = if refused {
        Outcome::Refused
    } else {
        Outcome::Unreachable
    };
    host.observe(Observation {
        upstream: key,
        outcome,
        elapsed_ms: 0,
    });
}

async fn exchange(
    flight: &Flight<'_>,
    stream: TcpStream,
    order: &Order<'_>,
    body: &mut Content,
) -> Ending {
    // Without it only small requests could wait for an acknowledgement.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "upstream_gone", upstream = &*flight.instance.upstream.id, error = error.to_string(); "backend server closed at once");
    }
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return Ending::NotRun {
            reason: Reason::Unreachable,
            arrived: false,
        };
    };
    let _driver = Driver(actix_rt::spawn(async move {
        // The attempt sees the same error.
        let _ = connection.await;
    }));
    let request = build(flight, order, body.send());
    let received = async {
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                return Err(match error.take_message() {
                    Some(_) => Fault::NotSent,
                    None => Fault::Broken(error.into_error()),
                });
            }
        };
        screen(flight, order, response).await
    };
    let ending = match patience(flight, order, received).await {
        None => {
            flight.observe(Outcome::Silent);
            return Ending::Unknown(Reason::Silent);
        }
        Some(Err(Fault::NotSent)) => Ending::NotRun {
            reason: Reason::Unreachable,
            arrived: false,
        },
        Some(Err(fault)) => {
            log::info!(event = "answer_broken", request_id = order.id, upstream = &*flight.instance.upstream.id, error = fault.to_string(); "answer of the backend server can't be used");
            flight.observe(Outcome::Failed);
            return Ending::Unknown(Reason::Broken);
        }
        Some(Ok(ending)) => ending,
    };
    match &ending {
        Ending::Answered(_) if flight.outlived.get() => flight.observe(Outcome::Finished),
        Ending::Answered(_) => flight.observe(Outcome::Good),
        Ending::Failed(_) => flight.observe(Outcome::Failed),
        Ending::NotRun {
            reason: Reason::Declined,
            ..
        } => flight.observe(Outcome::Shed),
        Ending::NotRun { .. } | Ending::Unknown(_) => {}
    }
    ending
}

/// Why an answer can't be used.
#[derive(Debug, thiserror::Error)]
enum Fault {
    #[error("the connection ended before the request was sent")]
    NotSent,
    #[error("{0}")]
    Broken(hyper::Error),
    #[error("the answer belongs to another request")]
    Crossed,
    #[error("the answer has no signature of a backend server")]
    Unsigned,
    #[error("the answer has an encoding that was not asked for")]
    Encoded,
    #[error("the status {0} does not say that the request has not run")]
    Promise(StatusCode),
}

/// Waits for the answer. Returns `None` at the deadline, or when patience ends
/// and another attempt can follow.
async fn patience<T>(
    flight: &Flight<'_>,
    order: &Order<'_>,
    received: impl Future<Output = T>,
) -> Option<T> {
    let mut received = std::pin::pin!(received);
    loop {
        let now = flight.host.now();
        let elapsed = now.saturating_duration_since(flight.started);
        let mut next = order.deadline;
        if !flight.outlived.get() {
            if elapsed >= STILL_RUNNING_THRESHOLD {
                flight.outlived.set(true);
                flight.observe(Outcome::StillRunning);
            } else {
                next = next.min(flight.started + STILL_RUNNING_THRESHOLD);
            }
        }
        if let Some(after) = flight.overdue_after()
            && !flight.overdue.get()
        {
            if elapsed >= after {
                flight.overdue.set(true);
                flight.observe(Outcome::Overdue);
                continue;
            }
            next = next.min(flight.started + after);
        }
        if let Some(patience) = order.patience {
            if elapsed < patience {
                next = next.min(flight.started + patience);
            } else if (order.another)() {
                return None;
            }
        }
        if now >= order.deadline {
            return None;
        }
        let wait = next
            .saturating_duration_since(now)
            .max(Duration::from_millis(1));
        if let Ok(result) = tokio::time::timeout(wait, received.as_mut()).await {
            return Some(result);
        }
    }
}

fn build(flight: &Flight<'_>, order: &Order<'_>, body: Content) -> Request<Content> {
    let names = &flight.host.settings.headers;
    let mut request = Request::new(body);
    *request.method_mut() = order.head.method.clone();
    *request.uri_mut() = order.head.uri.clone();
    let whole = request.body().is_whole();
    let outgoing = request.headers_mut();
    for (name, value) in headers::end_to_end(&order.head.headers) {
        // A body that is held whole gets its length from the HTTP library.
        let length = *name == header::CONTENT_LENGTH && whole;
        if !length && *name != header::EXPECT {
            outgoing.append(name, value.clone());
        }
    }
    let left = order.deadline.saturating_duration_since(flight.host.now());
    set(outgoing, names.deadline, &left.as_millis().to_string());
    set(
        outgoing,
        names.expected_upstream,
        &flight.instance.upstream.id,
    );
    request
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(HeaderName::from_static(name), value);
        }
        Err(_) => {
            log::error!(event = "header_not_set", name = name, value = value; "value can't be sent in a header");
        }
    }
}

/// Decides what an answer means, and takes its body in.
async fn screen(
    flight: &Flight<'_>,
    order: &Order<'_>,
    response: Response<hyper::body::Incoming>,
) -> Result<Ending, Fault> {
    let names = &flight.host.settings.headers;
    let (mut head, body) = response.into_parts();
    let status = head.status;
    if headers::text(&head.headers, names.request_id).is_some_and(|id| id != order.id) {
        return Err(Fault::Crossed);
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        flight.observe(Outcome::Gone);
        return Ok(Ending::NotRun {
            reason: Reason::Unreachable,
            arrived: true,
        });
    }
    if head.headers.contains_key(names.not_run) {
        return Ok(Ending::NotRun {
            reason: Reason::Declined,
            arrived: true,
        });
    }
    if matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
    ) {
        return Err(Fault::Promise(status));
    }
    if status.is_success() && !head.headers.contains_key(names.signature) {
        return Err(Fault::Unsigned);
    }
    if head.headers.contains_key(header::CONTENT_ENCODING) {
        return Err(Fault::Encoded);
    }
    let body = match Content::take(body, ANSWER_BYTES).await {
        Ok(body) => body,
        Err(Failure::Broken(error)) => return Err(Fault::Broken(error)),
        Err(Failure::TooLarge) => return Err(Fault::Unsigned),
    };
    let kept: HeaderMap = headers::end_to_end(&head.headers)
        .filter(|(name, _)| **name != header::CONTENT_LENGTH)
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect();
    head.headers = kept;
    let answer = Response::from_parts(head, body);
    Ok(if status.is_server_error() {
        Ending::Failed(answer)
    } else {
        Ending::Answered(answer)
    })
}
