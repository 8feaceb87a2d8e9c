//! What the answer of a backend server says, and whether it is one.

use hyper::{
    Response, StatusCode,
    header::{self, HeaderMap},
    http::response,
};

use super::{Context, Ending, InFlight};
use crate::{
    evidence::Outcome,
    proxy::{
        answer::Reason,
        body::{Content, Failure, Received, Shortage, StreamError},
        headers,
    },
};

/// Statuses of a final answer.
const FINAL_STATUSES: std::ops::Range<u16> = 200..600;

/// Why there is no usable answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum AnswerError {
    #[error("the connection ended before the request was sent")]
    NotSent,
    #[error("{0}")]
    Transport(hyper::Error),
    #[error("{0}")]
    Body(StreamError),
    #[error("status {0} is not one of a final answer")]
    Status(StatusCode),
    #[error("the answer has a transfer encoding other than chunks")]
    Framing,
    #[error("the answer has the id of another request")]
    WrongId,
    #[error("status {0} says that the request has not run, but not which request")]
    NoId(StatusCode),
    #[error("the answer has no signature of a backend server, or not even the id of the request")]
    Unsigned,
    #[error("the answer is larger than allowed")]
    TooLarge,
    #[error("the answer has a content encoding that was not requested")]
    Encoded,
    #[error("status {0} without the header that says that the request has not run")]
    Unmarked(StatusCode),
}

/// Takes over what the head of a backend server's own answer says about further
/// requests: that it is leaving, or that it wants none for a while.
fn heed_wishes(flight: &InFlight<'_>, head: &response::Parts) {
    let host = flight.host;
    let names = &host.settings.headers;
    if headers::text(&head.headers, names.leaving) == Some("1") {
        let elapsed = host.now().saturating_duration_since(flight.started);
        host.record_leaving(flight.instance, elapsed);
    }
    if head.status == StatusCode::SERVICE_UNAVAILABLE
        && let Some(time) = headers::retry_after(&head.headers)
    {
        host.defer(flight.instance, time);
    }
}

/// Checks that a head is that of a final answer whose end can be told. The HTTP
/// library takes any three digits from 100 on for a status, and an encoding that it
/// does not know for a body that ends with its connection.
fn check_form(head: &response::Parts) -> Result<(), AnswerError> {
    if !FINAL_STATUSES.contains(&head.status.as_u16()) {
        return Err(AnswerError::Status(head.status));
    }
    let mut encodings = head.headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(encoding) = encodings.next() else {
        return Ok(());
    };
    let is_chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
    if !is_chunked || encodings.next().is_some() {
        return Err(AnswerError::Framing);
    }
    Ok(())
}

/// Decides how the attempt ends from the head of the answer, and reads the
/// body.
pub(super) async fn read_answer(
    flight: &InFlight<'_>,
    context: &Context<'_>,
    response: Response<Received>,
) -> Result<Ending, AnswerError> {
    let names = &flight.host.settings.headers;
    let (mut head, received) = response.into_parts();
    let status = head.status;
    check_form(&head)?;
    let id = headers::text(&head.headers, names.request_id);
    if id.is_some_and(|id| id != context.id) {
        return Err(AnswerError::WrongId);
    }
    let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    let is_refused = head.headers.contains_key(names.not_run);
    // Only an answer to this very request can promise that it has not run.
    if (is_misdirected || is_refused) && id.unwrap_or_default() != context.id {
        return Err(AnswerError::NoId(status));
    }
    if !is_misdirected && id.unwrap_or_default() == context.id {
        heed_wishes(flight, &head);
    }
    if is_misdirected {
        flight.observe(Outcome::Gone);
        return Ok(Ending::NotRun {
            reason: Reason::Unreachable,
            has_arrived: true,
        });
    }
    if is_refused {
        return Ok(Ending::NotRun {
            reason: Reason::Shed,
            has_arrived: true,
        });
    }
    if matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
    ) {
        return Err(AnswerError::Unmarked(status));
    }
    // After a server has gone, another process may answer at its address.
    let is_signed = head.headers.contains_key(names.signature);
    let is_echoed = !status.is_success() && id == Some(context.id);
    if !is_signed && !is_echoed {
        return Err(AnswerError::Unsigned);
    }
    if head.headers.contains_key(header::CONTENT_ENCODING) {
        return Err(AnswerError::Encoded);
    }
    let permit = flight.host.memory.permit_of(Some(&flight.source));
    let max_bytes = flight.host.settings.max_answer_bytes;
    let read = Content::read(received, max_bytes, permit, Shortage::Stream);
    let body = match read.await {
        Ok(body) => body,
        Err(Failure::Broken(error)) => return Err(AnswerError::Body(error)),
        // Without memory the rest is streamed.
        Err(Failure::TooLarge | Failure::NoMemory) => return Err(AnswerError::TooLarge),
    };
    if body.is_streamed_early() {
        flight.host.metrics.memory_streamed.increment();
    }
    let forwarded: HeaderMap = headers::end_to_end(&head.headers)
        .filter(|(name, _)| **name != header::CONTENT_LENGTH && *name != names.leaving)
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect();
    head.headers = forwarded;
    let answer = Response::from_parts(head, body);
    Ok(if status.is_server_error() {
        Ending::Failed(answer)
    } else {
        Ending::Answered(answer)
    })
}
