//! The response of an upstream: checked, buffered until it is complete if it is
//! small, and streamed otherwise.

use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Instant,
};

use actix_web::{
    HttpRequest, HttpResponse,
    body::{BodySize, MessageBody},
    http::{Method, StatusCode, header},
};
use awc::ClientResponse;
use bytes::{Bytes, BytesMut};
use dotterelhinge_policy::{health, retry};
use futures_util::Stream;
use tokio::time::Sleep;

use super::{
    Exchange, attempt,
    attempt::{Ending, evidence, failed},
    headers, problem, watch,
};
use crate::link;

/// Why a response body is not complete.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("the response of the upstream ended early")]
    Short,
    #[error("the response of the upstream is longer than its content length")]
    Long,
    #[error("the response of the upstream can't be read")]
    Broken,
    #[error("the upstream sent no data in time")]
    Silent,
}

/// How the end of a response body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    /// No body follows the head, which may still contain a content length.
    Empty(Option<u64>),
    /// The body has this number of bytes.
    Length(u64),
    /// The body ends with the last chunk.
    Chunked,
    /// The body ends when the connection closes, so that an early end can't be
    /// distinguished from the real one.
    Unbounded,
}

fn framing(request: &HttpRequest, response: &ClientResponse) -> Framing {
    let length = response
        .headers()
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok());
    let status = response.status();
    if *request.method() == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
    {
        return Framing::Empty(length);
    }
    if response.headers().contains_key(header::TRANSFER_ENCODING) {
        return Framing::Chunked;
    }
    match length {
        Some(0) => Framing::Empty(None),
        Some(length) => Framing::Length(length),
        None => Framing::Unbounded,
    }
}

/// The body of a response. Yields an error if it ends early.
struct Source {
    response: ClientResponse,
    state: Rc<link::State>,
    framing: Framing,
    received: u64,
    last_progress: Instant,
    is_done: bool,
}

impl Source {
    fn poll(&mut self, cx: &mut Context<'_>, now: Instant) -> Poll<Option<Result<Bytes, Error>>> {
        if self.is_done {
            return Poll::Ready(None);
        }
        match Pin::new(&mut self.response).poll_next(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(chunk))) => {
                self.received += chunk.len() as u64;
                self.last_progress = now;
                match self.framing {
                    Framing::Length(length) if self.received > length => {
                        Poll::Ready(Some(Err(Error::Long)))
                    }
                    _ => Poll::Ready(Some(Ok(chunk))),
                }
            }
            Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(Error::Broken))),
            Poll::Ready(None) => {
                self.is_done = true;
                let is_complete = match self.framing {
                    Framing::Empty(_) => true,
                    Framing::Length(length) => self.received == length,
                    // The HTTP client ends a chunked body in the same way after
                    // its last chunk and when the connection is closed.
                    Framing::Chunked => !self.state.has_closed.get(),
                    Framing::Unbounded => false,
                };
                if is_complete {
                    Poll::Ready(None)
                } else {
                    Poll::Ready(Some(Err(Error::Short)))
                }
            }
        }
    }
}

/// Checks the response of an attempt and buffers it if it is small. A larger one
/// is returned as a stream that settles the slot when it ends.
pub(super) async fn receive(
    exchange: &Exchange,
    watch: watch::Watch,
    response: ClientResponse,
    state: Rc<link::State>,
    request: &HttpRequest,
) -> Ending {
    let service = exchange.service();
    let has_header = |name: &Option<std::sync::Arc<str>>| {
        name.as_ref()
            .is_some_and(|name| response.headers().contains_key(&**name))
    };
    let is_draining = has_header(&service.drain_header);
    let status = response.status();
    let may_be_shed = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    if may_be_shed && has_header(&service.not_run_header) {
        watch.settle(health::Outcome::Shed, is_draining);
        return failed(retry::Ended::NotRun(retry::Kind::UpstreamShed));
    }
    let is_crossed = service.echo_header.as_ref().is_some_and(|name| {
        response
            .headers()
            .get(&**name)
            .map(|value| value.as_bytes())
            != Some(exchange.id.as_bytes())
    });
    if is_crossed {
        log::warn!(event = "crossed_answer", request_id = exchange.id, service = &*service.name; "response belongs to another request");
        watch.settle(health::Outcome::Failed, is_draining);
        return failed(retry::Ended::Unknown(retry::Kind::CrossedAnswer));
    }
    let framing = framing(request, &response);
    if framing == Framing::Unbounded {
        watch.settle(health::Outcome::Failed, is_draining);
        return failed(retry::Ended::Unknown(retry::Kind::BrokenAnswer));
    }
    let head = head(exchange, &response);
    let mut source = Source {
        last_progress: watch.now(),
        response,
        state,
        framing,
        received: 0,
        is_done: false,
    };
    let is_buffered = match framing {
        Framing::Length(length) => length <= exchange.class().buffer_bytes as u64,
        _ => true,
    };
    let mut buffered = BytesMut::new();
    if is_buffered {
        loop {
            match next_chunk(&watch, &mut source).await {
                Err(stall) => return attempt::stalled(stall, &source.state, watch),
                Ok(Some(Err(error))) => {
                    log::debug!(event = "broken_answer", request_id = exchange.id, error = error.to_string(); "response is not complete");
                    watch.settle(health::Outcome::Failed, is_draining);
                    return failed(retry::Ended::Unknown(retry::Kind::BrokenAnswer));
                }
                Ok(Some(Ok(chunk))) => buffered.extend_from_slice(&chunk),
                Ok(None) => {
                    watch.settle(evidence(status), is_draining);
                    return complete(exchange, status, framing, head, buffered.freeze());
                }
            }
            if buffered.len() > exchange.class().buffer_bytes {
                break;
            }
        }
    }
    let body = Body {
        buffered: buffered.freeze(),
        source,
        watch: Some(watch),
        waiting_since: None,
        sleep: Box::pin(tokio::time::sleep(std::time::Duration::ZERO)),
        status,
        is_draining,
    };
    Ending::Answered(head.into_response(body))
}

async fn next_chunk(
    watch: &watch::Watch,
    source: &mut Source,
) -> Result<Option<Result<Bytes, Error>>, watch::Stall> {
    let last_progress = source.last_progress;
    let now = watch.now();
    watch
        .run(std::future::poll_fn(|cx| source.poll(cx, now)), || {
            last_progress
        })
        .await
}

fn complete(
    exchange: &Exchange,
    status: StatusCode,
    framing: Framing,
    head: Head,
    body: Bytes,
) -> Ending {
    let response = match framing {
        Framing::Empty(length) => head.into_response(Empty(length)),
        _ => head.into_response(body),
    };
    if status.is_server_error() && exchange.class().repeatable {
        return Ending::Failed {
            ended: retry::Ended::Unknown(retry::Kind::BrokenAnswer),
            response: Some(response),
        };
    }
    Ending::Answered(response)
}

/// Status and headers of the response to the caller.
struct Head(actix_web::HttpResponseBuilder);

impl Head {
    fn into_response<B: MessageBody + 'static>(mut self, body: B) -> HttpResponse {
        self.0.body(body)
    }
}

fn head(exchange: &Exchange, response: &ClientResponse) -> Head {
    let mut builder = HttpResponse::build(response.status());
    for (name, value) in headers::end_to_end(response.headers()) {
        if *name != header::CONTENT_LENGTH && *name != headers::REQUEST_ID {
            builder.append_header((name, value));
        }
    }
    builder.insert_header((headers::REQUEST_ID, exchange.id.as_str()));
    builder.insert_header((problem::REQUEST_ID_HEADER, exchange.id.as_str()));
    Head(builder)
}

/// An empty body whose head may contain a content length, as for `HEAD`.
struct Empty(Option<u64>);

impl MessageBody for Empty {
    type Error = std::convert::Infallible;

    fn size(&self) -> BodySize {
        self.0.map_or(BodySize::None, BodySize::Sized)
    }

    fn poll_next(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Poll::Ready(None)
    }
}

/// A streamed response body. An early end is an error, so that the caller's
/// connection is broken off instead of ending like a complete response.
struct Body {
    buffered: Bytes,
    source: Source,
    watch: Option<watch::Watch>,
    // Since when the body waits for bytes of the upstream. Not set while the
    // caller reads slowly, which must not count as a stall of the upstream.
    waiting_since: Option<Instant>,
    sleep: Pin<Box<Sleep>>,
    status: StatusCode,
    is_draining: bool,
}

impl Body {
    fn settle(&mut self, outcome: health::Outcome) {
        if let Some(watch) = self.watch.take() {
            watch.settle(outcome, self.is_draining);
        }
    }
}

impl MessageBody for Body {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        match self.source.framing {
            Framing::Length(length) => BodySize::Sized(length),
            _ => BodySize::Stream,
        }
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let this = self.get_mut();
        if !this.buffered.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut this.buffered))));
        }
        let now = this
            .watch
            .as_ref()
            .map_or_else(Instant::now, watch::Watch::now);
        match this.source.poll(cx, now) {
            Poll::Ready(Some(Ok(chunk))) => {
                this.waiting_since = None;
                Poll::Ready(Some(Ok(chunk)))
            }
            Poll::Ready(Some(Err(error))) => {
                this.settle(health::Outcome::Failed);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                this.settle(evidence(this.status));
                Poll::Ready(None)
            }
            Poll::Pending => {
                let Some(watch) = &this.watch else {
                    return Poll::Ready(Some(Err(Error::Silent.into())));
                };
                let waiting_since = *this.waiting_since.get_or_insert(now);
                // The timer must be polled until it is pending; otherwise it would
                // not wake the task for the next check.
                while this.sleep.as_mut().poll(cx).is_ready() {
                    if watch.check_stall(waiting_since).is_some() {
                        this.settle(health::Outcome::Failed);
                        return Poll::Ready(Some(Err(Error::Silent.into())));
                    }
                    let deadline = tokio::time::Instant::now() + watch.next_check();
                    this.sleep.as_mut().reset(deadline);
                }
                Poll::Pending
            }
        }
    }
}
