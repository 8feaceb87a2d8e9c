//! The answer of an upstream: checked, held until whole if it is small, and
//! streamed otherwise.

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

/// Why a body is not whole.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("the answer of the upstream ended early")]
    Short,
    #[error("the answer of the upstream is longer than it said")]
    Long,
    #[error("the answer of the upstream is broken")]
    Broken,
    #[error("the upstream sent nothing for too long")]
    Silent,
}

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    /// No body follows the head; the head may still state a length.
    Empty(Option<u64>),
    /// That many bytes.
    Length(u64),
    /// Until the last chunk.
    Chunked,
    /// Until the connection closes, so that a cut can't be told from the end.
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

/// The bytes of an answer, with an error in place of a silent early end.
struct Source {
    response: ClientResponse,
    state: Rc<link::State>,
    framing: Framing,
    received: u64,
    moved: Instant,
    done: bool,
}

impl Source {
    fn poll(&mut self, cx: &mut Context<'_>, now: Instant) -> Poll<Option<Result<Bytes, Error>>> {
        if self.done {
            return Poll::Ready(None);
        }
        match Pin::new(&mut self.response).poll_next(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(chunk))) => {
                self.received += chunk.len() as u64;
                self.moved = now;
                match self.framing {
                    Framing::Length(length) if self.received > length => {
                        Poll::Ready(Some(Err(Error::Long)))
                    }
                    _ => Poll::Ready(Some(Ok(chunk))),
                }
            }
            Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(Error::Broken))),
            Poll::Ready(None) => {
                self.done = true;
                let whole = match self.framing {
                    Framing::Empty(_) => true,
                    Framing::Length(length) => self.received == length,
                    // The HTTP client ends a chunked body in the same way on
                    // its last chunk and when the connection closes.
                    Framing::Chunked => !self.state.ended.get(),
                    Framing::Unbounded => false,
                };
                if whole {
                    Poll::Ready(None)
                } else {
                    Poll::Ready(Some(Err(Error::Short)))
                }
            }
        }
    }
}

/// Takes the answer of an attempt.
pub(super) async fn receive(
    exchange: &Exchange,
    watch: watch::Watch,
    response: ClientResponse,
    state: Rc<link::State>,
    request: &HttpRequest,
) -> Ending {
    let service = exchange.service();
    let present = |name: &Option<std::sync::Arc<str>>| {
        name.as_ref()
            .is_some_and(|name| response.headers().contains_key(&**name))
    };
    let draining = present(&service.drain_header);
    let status = response.status();
    let declined = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    if declined && present(&service.not_run_header) {
        watch.settle(health::Outcome::Shed, draining);
        return failed(retry::Ended::NotRun(retry::Kind::UpstreamShed));
    }
    let crossed = service.echo_header.as_ref().is_some_and(|name| {
        response
            .headers()
            .get(&**name)
            .map(|value| value.as_bytes())
            != Some(exchange.id.as_bytes())
    });
    if crossed {
        log::warn!(event = "crossed_answer", request_id = exchange.id, service = &*service.name; "answer belongs to another request");
        watch.settle(health::Outcome::Failed, draining);
        return failed(retry::Ended::Unknown(retry::Kind::CrossedAnswer));
    }
    let framing = framing(request, &response);
    if framing == Framing::Unbounded {
        watch.settle(health::Outcome::Failed, draining);
        return failed(retry::Ended::Unknown(retry::Kind::BrokenAnswer));
    }
    let head = head(exchange, &response);
    let mut source = Source {
        moved: watch.now(),
        response,
        state,
        framing,
        received: 0,
        done: false,
    };
    let hold = match framing {
        Framing::Length(length) => length <= exchange.class().buffer_bytes as u64,
        _ => true,
    };
    let mut held = BytesMut::new();
    if hold {
        loop {
            match next(&watch, &mut source).await {
                Err(stall) => return attempt::stalled(stall, &source.state, watch),
                Ok(Some(Err(error))) => {
                    log::debug!(event = "broken_answer", request_id = exchange.id, error = error.to_string(); "answer is not whole");
                    watch.settle(health::Outcome::Failed, draining);
                    return failed(retry::Ended::Unknown(retry::Kind::BrokenAnswer));
                }
                Ok(Some(Ok(chunk))) => held.extend_from_slice(&chunk),
                Ok(None) => {
                    watch.settle(evidence(status), draining);
                    return whole(exchange, status, framing, head, held.freeze());
                }
            }
            if held.len() > exchange.class().buffer_bytes {
                break;
            }
        }
    }
    let body = Body {
        held: held.freeze(),
        source,
        watch: Some(watch),
        owed_since: None,
        sleep: Box::pin(tokio::time::sleep(std::time::Duration::ZERO)),
        status,
        draining,
    };
    Ending::Answered(head.into_response(body))
}

async fn next(
    watch: &watch::Watch,
    source: &mut Source,
) -> Result<Option<Result<Bytes, Error>>, watch::Stall> {
    let moved = source.moved;
    let now = watch.now();
    watch
        .until(std::future::poll_fn(|cx| source.poll(cx, now)), || moved)
        .await
}

fn whole(
    exchange: &Exchange,
    status: StatusCode,
    framing: Framing,
    head: Head,
    body: Bytes,
) -> Ending {
    let answer = match framing {
        Framing::Empty(length) => head.into_response(Empty(length)),
        _ => head.into_response(body),
    };
    if status.is_server_error() && exchange.class().repeatable {
        return Ending::Failed {
            ended: retry::Ended::Unknown(retry::Kind::BrokenAnswer),
            answer: Some(answer),
        };
    }
    Ending::Answered(answer)
}

/// Status and headers for the caller.
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

/// A body that is never sent although its length is known, as for `HEAD`.
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

/// A streamed answer. An early end is an error, so that the caller's
/// connection breaks instead of ending as if the answer were whole.
struct Body {
    held: Bytes,
    source: Source,
    watch: Option<watch::Watch>,
    // Set while the upstream owes bytes; a caller that reads slowly is not the
    // upstream's stall.
    owed_since: Option<Instant>,
    sleep: Pin<Box<Sleep>>,
    status: StatusCode,
    draining: bool,
}

impl Body {
    fn end(&mut self, seen: health::Outcome) {
        if let Some(watch) = self.watch.take() {
            watch.settle(seen, self.draining);
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
        if !this.held.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut this.held))));
        }
        let now = this
            .watch
            .as_ref()
            .map_or_else(Instant::now, watch::Watch::now);
        match this.source.poll(cx, now) {
            Poll::Ready(Some(Ok(chunk))) => {
                this.owed_since = None;
                Poll::Ready(Some(Ok(chunk)))
            }
            Poll::Ready(Some(Err(error))) => {
                this.end(health::Outcome::Failed);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                this.end(evidence(this.status));
                Poll::Ready(None)
            }
            Poll::Pending => {
                let Some(watch) = &this.watch else {
                    return Poll::Ready(Some(Err(Error::Silent.into())));
                };
                let owed_since = *this.owed_since.get_or_insert(now);
                // The timer is polled until it is pending, so that it wakes
                // the task for the next check.
                while this.sleep.as_mut().poll(cx).is_ready() {
                    if watch.stall(owed_since).is_some() {
                        this.end(health::Outcome::Failed);
                        return Poll::Ready(Some(Err(Error::Silent.into())));
                    }
                    let next = tokio::time::Instant::now() + watch.next();
                    this.sleep.as_mut().reset(next);
                }
                Poll::Pending
            }
        }
    }
}
