//! One attempt of a request on one upstream.

use std::{rc::Rc, time::Instant};

use actix_web::{
    HttpRequest, HttpResponse,
    body::SizedStream,
    http::{Method, StatusCode, header},
};
use awc::{ClientRequest, ClientResponse, error::SendRequestError};
use dotterelhinge_policy::{health, retry};

use super::{Exchange, Worker, body, headers, response, slot, watch};
use crate::link;

/// How an attempt ended.
pub(super) enum Ending {
    /// With a response for the caller, complete or streamed.
    Answered(HttpResponse),
    /// With a failure.
    Failed {
        /// Kind of the failure, and whether the upstream may have run the request.
        ended: retry::Ended,
        /// A complete response with a server error, which the caller gets if there
        /// is no retry.
        response: Option<HttpResponse>,
    },
}

/// Returns an ending without a response.
pub(super) fn failed(ended: retry::Ended) -> Ending {
    Ending::Failed {
        ended,
        response: None,
    }
}

/// Runs one attempt. The slot is released when the attempt ends; for a streamed
/// response, when its last byte was forwarded.
pub(super) async fn run(
    worker: &Rc<Worker>,
    exchange: &Exchange,
    slot: slot::Slot,
    request: &HttpRequest,
    body: &body::Body,
) -> Ending {
    let class = exchange.class();
    let state = Rc::new(link::State::default());
    let start_by = if class.upload {
        slot.start_by
    } else {
        slot.start_by.min(exchange.deadline)
    };
    let address = slot.address();
    let clock = worker.context.clock.clone();
    let client = link::client(address, start_by, clock, Rc::clone(&state));
    let watch = watch::Watch::new(worker, exchange, slot, body);
    let outgoing = build(&client, exchange, address, request, watch.now());
    let started = watch.started();
    let sent = watch
        .run(send(outgoing, request, body), || {
            body.last_progress().max(started)
        })
        .await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            let (ended, outcome) = classify(&state, body, &error);
            log::debug!(event = "attempt_failed", request_id = exchange.id, upstream = address.to_string(),
                ended = format!("{ended:?}"), error = error.to_string(); "attempt failed");
            watch.settle(outcome, false);
            return failed(ended);
        }
        Err(stall) => return stalled(stall, &state, watch),
    };
    response::receive(exchange, watch, response, state, request).await
}

fn build(
    client: &awc::Client,
    exchange: &Exchange,
    address: std::net::SocketAddr,
    request: &HttpRequest,
    now: Instant,
) -> ClientRequest {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path_and_query| path_and_query.as_str());
    let mut outgoing = client
        .request(request.method().clone(), format!("http://{address}{path}"))
        .force_close();
    for (name, value) in headers::end_to_end(request.headers()) {
        if *name != header::CONTENT_LENGTH && *name != header::EXPECT {
            outgoing = outgoing.append_header((name, value));
        }
    }
    if let Some(peer) = request.peer_addr() {
        outgoing = outgoing.append_header((headers::FORWARDED_FOR, peer.ip().to_string()));
    }
    outgoing = outgoing.insert_header((headers::REQUEST_ID, exchange.id.as_str()));
    if !exchange.class().upload {
        let left_ms = exchange.time_left(now).as_millis();
        outgoing = outgoing.insert_header((headers::DEADLINE, left_ms.to_string()));
    } else {
        outgoing.headers_mut().remove(headers::DEADLINE);
    }
    if exchange.class().upload && has_body(request) {
        // Lets the upstream shed the request before the body is sent.
        outgoing = outgoing.insert_header((header::EXPECT, "100-continue"));
    }
    outgoing
}

fn content_length(request: &HttpRequest) -> Option<u64> {
    let value = request.headers().get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

fn has_body(request: &HttpRequest) -> bool {
    content_length(request).is_some_and(|length| length > 0)
        || request.headers().contains_key(header::TRANSFER_ENCODING)
}

async fn send(
    outgoing: ClientRequest,
    request: &HttpRequest,
    body: &body::Body,
) -> Result<ClientResponse, SendRequestError> {
    match content_length(request) {
        Some(length) if length > 0 => {
            outgoing
                .send_body(SizedStream::new(length, body.reader()))
                .await
        }
        None if has_body(request) => outgoing.send_stream(body.reader()).await,
        _ if matches!(
            *request.method(),
            Method::POST | Method::PUT | Method::PATCH
        ) =>
        {
            outgoing.send_body(bytes::Bytes::new()).await
        }
        _ => outgoing.send().await,
    }
}

/// Returns how a failed attempt ended and its evidence on the upstream. The
/// attempt is `NotRun` only if no connection was passed to the HTTP client.
fn classify(
    state: &link::State,
    body: &body::Body,
    error: &SendRequestError,
) -> (retry::Ended, health::Outcome) {
    use retry::{Ended, Kind};

    if state.is_expired.get() {
        return (Ended::NotRun(Kind::Deadline), health::Outcome::Neutral);
    }
    if !state.has_connected.get() {
        let outcome = match error {
            SendRequestError::Connect(_) => health::Outcome::ConnectFailed,
            _ => health::Outcome::Neutral,
        };
        return (Ended::NotRun(Kind::ConnectFailed), outcome);
    }
    match body.failure() {
        Some(body::Failure::TooLarge) => (Ended::Unknown(Kind::TooLarge), health::Outcome::Neutral),
        Some(body::Failure::Caller) => (Ended::Unknown(Kind::BadRequest), health::Outcome::Neutral),
        None => (Ended::Unknown(Kind::BrokenAnswer), health::Outcome::Failed),
    }
}

/// Settles an attempt that is stalled and returns its ending.
pub(super) fn stalled(stall: watch::Stall, state: &link::State, watch: watch::Watch) -> Ending {
    use retry::{Ended, Kind};

    let (kind, outcome) = match stall {
        watch::Stall::Caller => (Kind::BadRequest, health::Outcome::Neutral),
        watch::Stall::Upstream => (Kind::UpstreamSilent, health::Outcome::Failed),
        watch::Stall::Deadline if watch.is_slow() => {
            (Kind::UpstreamSilent, health::Outcome::Failed)
        }
        watch::Stall::Deadline => (Kind::Deadline, health::Outcome::Neutral),
    };
    watch.settle(outcome, false);
    failed(if state.has_connected.get() {
        Ended::Unknown(kind)
    } else {
        Ended::NotRun(kind)
    })
}

/// Returns the evidence of a response with `status` on its upstream.
pub(super) fn evidence(status: StatusCode) -> health::Outcome {
    match status.as_u16() {
        500.. => health::Outcome::Failed,
        400..=499 => health::Outcome::Neutral,
        _ => health::Outcome::Good,
    }
}
