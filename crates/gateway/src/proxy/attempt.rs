//! One attempt of a request on one backend server.
//!
//! Every attempt opens its own connection. This costs one round trip. In return
//! no attempt uses a connection that stalled or was closed while idle, a late
//! or surplus answer is never taken for the answer to the next request, and it
//! is certain whether a byte of the request was sent.

mod outgoing;
mod response;

use std::{
    cell::Cell,
    io::ErrorKind,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{availability, memory};
use hyper::{Response, client::conn::http1, header, http::request};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, sync::oneshot};

use self::response::AnswerError;
use super::{
    answer::Reason,
    body::{ConnectionTask, Content, Payload, Received, StreamLimits},
    counted, limited, socket,
};
use crate::{
    catalog::{Instance, customer::Customer},
    evidence::{OVERDUE_RATIO, Observation, Outcome, STILL_RUNNING_THRESHOLD},
    host::Host,
};

/// Maximum time to open a connection. A connection normally takes about 1 ms. A
/// lost SYN is retransmitted only after 1 s, so trying another backend server
/// is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// How an attempt ended.
pub(super) enum Ending {
    /// The backend server answered, and not with a server error.
    Answered(Response<Content>),
    /// The backend server answered with a server error. The request has run.
    Failed(Response<Content>),
    /// The request has certainly not run on this backend server.
    NotRun {
        /// Why.
        reason: Reason,
        /// Whether the request reached a backend server at all.
        has_arrived: bool,
    },
    /// The request may have run, and there is no usable answer.
    Unknown(Reason),
}

impl Ending {
    /// Returns the name used in the log.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failed(_) => "upstream-failed",
            Self::NotRun { reason, .. } | Self::Unknown(reason) => reason.name(),
        }
    }
}

/// The request of an attempt and its limits.
pub(super) struct Context<'a> {
    /// Head of the request.
    pub head: &'a request::Parts,
    /// Id that the caller assigned to the request.
    pub id: &'a str,
    /// The customer who sent the request, if it is known.
    pub customer: Option<Arc<Customer>>,
    /// Whether the configuration lists customers, so that the request must not carry
    /// a key.
    pub has_customers: bool,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// How far the attempt has come.
    pub progress: &'a Progress,
}

/// How far an attempt has come, for those who decide on another one.
#[derive(Debug, Default)]
pub(super) struct Progress {
    sent_at: Cell<Option<Instant>>,
    is_overdue: Cell<bool>,
}

impl Progress {
    /// Returns when the request was sent; `None` while there is no connection.
    pub(super) fn sent_at(&self) -> Option<Instant> {
        self.sent_at.get()
    }
}

/// Records that an attempt was cancelled because another one was answered. That is
/// no success of the backend server, and a failure only if the attempt was overdue:
/// in the time of the other one a healthy server would have answered.
pub(super) fn record_cancelled(host: &Host, instance: &Instance, progress: &Progress) {
    if progress.is_overdue.get() {
        record_silent(host, instance, progress);
    }
}

/// Records that an attempt was given up because it took too long.
pub(super) fn record_silent(host: &Host, instance: &Instance, progress: &Progress) {
    if let Some(sent_at) = progress.sent_at() {
        let elapsed = host.now().saturating_duration_since(sent_at);
        host.observe(Observation {
            upstream: instance.key,
            outcome: Outcome::Silent,
            elapsed_ms: elapsed.as_millis() as u32,
        });
    }
}

/// A request in flight at a backend server. It is counted as such until this
/// guard is dropped.
struct InFlight<'a> {
    host: &'a Rc<Host>,
    instance: &'a Instance,
    /// Bound on the memory of all answers of the instance.
    source: memory::Source,
    progress: &'a Progress,
    started: Instant,
    has_reported_running: Cell<bool>,
}

impl<'a> InFlight<'a> {
    fn new(host: &'a Rc<Host>, instance: &'a Instance, progress: &'a Progress) -> Self {
        let now = host.now();
        progress.sent_at.set(Some(now));
        host.evidence.borrow_mut().begin(now, instance.key);
        host.outbox_changed.notify_one();
        let source = host.memory_sources.borrow_mut().get(instance.key);
        Self {
            host,
            instance,
            source,
            progress,
            started: now,
            has_reported_running: Cell::new(false),
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

    /// Returns the age from which the attempt is overdue; `None` if unknown.
    fn overdue_after(&self) -> Option<Duration> {
        let typical = self
            .host
            .evidence
            .borrow()
            .typical_latency(&self.instance.upstream.service)?;
        Some(typical.mul_f64(OVERDUE_RATIO))
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.host.evidence.borrow_mut().end(self.instance.key);
        self.host.outbox_changed.notify_one();
    }
}

/// Runs one attempt on `chosen`. Returns how it ended, and the body if it can be
/// sent again.
pub(super) async fn run(
    host: &Rc<Host>,
    chosen: &Instance,
    context: &Context<'_>,
    mut payload: Payload,
) -> (Ending, Payload) {
    let ending = connect(host, chosen, context, &mut payload).await;
    (ending, payload)
}

/// Opens a connection to `chosen` and sends the request over it.
async fn connect(
    host: &Rc<Host>,
    chosen: &Instance,
    context: &Context<'_>,
    payload: &mut Payload,
) -> Ending {
    let (key, upstream) = (chosen.key, &chosen.upstream);
    let left = context.deadline.saturating_duration_since(host.now());
    let opened = tokio::time::timeout(
        left.min(CONNECT_TIMEOUT),
        TcpStream::connect(upstream.address),
    );
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
            record_unreachable(host, key, refused);
            log::info!(event = "not_connected", request_id = context.id, upstream = &*upstream.id, address = upstream.address.to_string(), error = error; "connection to the backend server failed");
            return Ending::NotRun {
                reason: Reason::Unreachable,
                has_arrived: false,
            };
        }
    };
    host.evidence
        .borrow_mut()
        .connect_succeeded(host.now(), key);
    if let Some(reason) = must_abandon(host, chosen, context) {
        return Ending::NotRun {
            reason,
            has_arrived: false,
        };
    }
    let flight = InFlight::new(host, chosen, context.progress);
    host.metrics.attempts.increment();
    send_request(&flight, stream, context, payload).await
}

/// Returns why a request must not be sent to `chosen` although the connection is
/// open: the process may have been suspended, the list may have changed or the
/// server may have said something to another request meanwhile.
fn must_abandon(host: &Host, chosen: &Instance, context: &Context<'_>) -> Option<Reason> {
    let now = host.now();
    if now >= context.deadline {
        return Some(Reason::Expired);
    }
    match host.check(now, chosen) {
        Ok(()) => None,
        Err(reason) if reason.is_last_resort() => None,
        Err(availability::Reason::Leaving) => Some(Reason::Leaving),
        Err(availability::Reason::Deferred(_)) => Some(Reason::Deferred),
        Err(_) => Some(Reason::Expired),
    }
}

/// Records that no connection could be opened, and reports it to other hosts
/// unless this host's own links are the likely cause.
fn record_unreachable(host: &Host, key: u64, refused: bool) {
    let is_reported = host
        .evidence
        .borrow_mut()
        .connect_failed(host.now(), key, refused);
    if !is_reported {
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

/// Sends the request over a new connection and waits for the answer.
async fn send_request(
    flight: &InFlight<'_>,
    stream: TcpStream,
    context: &Context<'_>,
    payload: &mut Payload,
) -> Ending {
    // If this fails, the only cost is that small requests may wait for an
    // acknowledgement.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "upstream_gone", upstream = &*flight.instance.upstream.id, error = error.to_string(); "backend server closed the connection at once");
    }
    let stream = socket::Socket::new(stream);
    let limit = limited::Limit::of_answer();
    let permit = flight.host.memory.permit_of(Some(&flight.source));
    let stream = counted::Stream::new(stream, flight.host.zone_metrics(&flight.instance.upstream));
    let stream = limited::Stream::new(stream, limit.clone(), permit);
    let handshake = http1::Builder::new()
        .max_buf_size(limited::READ_AHEAD_BYTES)
        .handshake(TokioIo::new(stream));
    let Ok((mut sender, connection)) = handshake.await else {
        return Ending::NotRun {
            reason: Reason::Unreachable,
            has_arrived: false,
        };
    };
    let (end_sender, end) = oneshot::channel();
    let task = ConnectionTask(actix_rt::spawn(async move {
        // Only a body that ends with its connection needs the result. Of any other
        // error the sender or the body tells.
        let _ = end_sender.send(connection.await.is_ok());
    }));
    let Some(body) = payload.take() else {
        return Ending::NotRun {
            reason: Reason::Unreachable,
            has_arrived: false,
        };
    };
    let request = outgoing::build(flight, context, body);
    let received = async move {
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                return Err(match error.take_message() {
                    // The HTTP library returns a request of which it has neither
                    // sent nor read anything.
                    Some(request) => {
                        payload.restore(request.into_body());
                        AnswerError::NotSent
                    }
                    None => AnswerError::Transport(error.into_error()),
                });
            }
        };
        limit.reset();
        // The connection ends by itself once the answer and the request are whole.
        drop(sender);
        let is_chunked = response.headers().contains_key(header::TRANSFER_ENCODING);
        let response = response.map(|body| Received::answer(body, limit, is_chunked, end));
        response::read_answer(flight, context, response).await
    };
    let mut ending = match wait_for_answer(flight, context, received).await {
        None => {
            flight.observe(Outcome::Silent);
            return Ending::Unknown(Reason::Silent);
        }
        Some(Err(AnswerError::NotSent)) => Ending::NotRun {
            reason: Reason::Unreachable,
            has_arrived: false,
        },
        Some(Err(error)) => {
            log::info!(event = "answer_broken", request_id = context.id, upstream = &*flight.instance.upstream.id, error = error.to_string(); "backend server gave no usable answer");
            flight.observe(Outcome::Failed);
            return Ending::Unknown(Reason::Broken);
        }
        Some(Ok(ending)) => ending,
    };
    if let Ending::Answered(response) | Ending::Failed(response) = &mut ending {
        let host = flight.host;
        let limits = StreamLimits {
            time: context.deadline.saturating_duration_since(host.now()),
            max_bytes: host.settings.max_answer_bytes,
            report: stream_report(flight),
        };
        response.body_mut().keep_connection(task, limits);
    }
    match &ending {
        Ending::Answered(_) if flight.has_reported_running.get() => {
            flight.observe(Outcome::Finished)
        }
        Ending::Answered(_) => flight.observe(Outcome::Good),
        Ending::Failed(_) => flight.observe(Outcome::Failed),
        Ending::NotRun {
            reason: Reason::Shed,
            ..
        } => flight.observe(Outcome::Shed),
        Ending::NotRun { .. } | Ending::Unknown(_) => {}
    }
    ending
}

/// Returns a function that reports that the backend server failed after its answer
/// had begun to be streamed, which counted as a success.
fn stream_report(flight: &InFlight<'_>) -> Box<dyn FnOnce()> {
    let (host, started) = (Rc::clone(flight.host), flight.started);
    let (key, id) = (
        flight.instance.key,
        Arc::clone(&flight.instance.upstream.id),
    );
    Box::new(move || {
        log::info!(event = "stream_broken", upstream = &*id; "backend server broke off an answer or exceeded its size");
        let elapsed = host.now().saturating_duration_since(started);
        host.observe(Observation {
            upstream: key,
            outcome: Outcome::Failed,
            elapsed_ms: elapsed.as_millis() as u32,
        });
    })
}

/// Waits for the answer and meanwhile reports if the attempt takes long.
/// Returns `None` at the deadline.
async fn wait_for_answer<T>(
    flight: &InFlight<'_>,
    context: &Context<'_>,
    received: impl Future<Output = T>,
) -> Option<T> {
    let mut received = std::pin::pin!(received);
    loop {
        let now = flight.host.now();
        let elapsed = now.saturating_duration_since(flight.started);
        let mut next = context.deadline;
        if !flight.has_reported_running.get() {
            if elapsed >= STILL_RUNNING_THRESHOLD {
                flight.has_reported_running.set(true);
                flight.observe(Outcome::StillRunning);
            } else {
                next = next.min(flight.started + STILL_RUNNING_THRESHOLD);
            }
        }
        if let Some(after) = flight.overdue_after()
            && !flight.progress.is_overdue.get()
        {
            if elapsed >= after {
                flight.progress.is_overdue.set(true);
                flight.observe(Outcome::Overdue);
                continue;
            }
            next = next.min(flight.started + after);
        }
        if now >= context.deadline {
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
