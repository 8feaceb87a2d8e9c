//! The request body of a caller. It is streamed to an upstream, and its first
//! bytes are buffered so that another attempt can replay it.

use std::{
    cell::RefCell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Instant,
};

use actix_web::{error::PayloadError, web};
use bytes::{Bytes, BytesMut};
use futures_util::Stream;

struct Inner {
    source: Option<web::Payload>,
    buffered: BytesMut,
    max_buffered_bytes: usize,
    max_bytes: u64,
    received_bytes: u64,
    is_overflowed: bool,
    is_finished: bool,
    is_failed: bool,
    is_waiting: bool,
    last_progress: Instant,
}

/// The body of one request, shared by its attempts.
///
/// Invariant: unless `is_overflowed`, `buffered` contains every byte received from
/// the caller so far.
#[derive(Clone)]
pub(super) struct Body(Rc<RefCell<Inner>>);

/// Why a body ended early.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Failure {
    /// The caller's connection failed or sent malformed data.
    Caller,
    /// The body is larger than the maximum.
    TooLarge,
}

impl Body {
    /// Creates a body of up to `max_bytes`, which can be replayed if it has at most
    /// `max_buffered_bytes`.
    pub(super) fn new(
        source: web::Payload,
        max_buffered_bytes: usize,
        max_bytes: u64,
        now: Instant,
    ) -> Self {
        Self(Rc::new(RefCell::new(Inner {
            source: Some(source),
            buffered: BytesMut::new(),
            max_buffered_bytes,
            max_bytes,
            received_bytes: 0,
            is_overflowed: false,
            is_finished: false,
            is_failed: false,
            is_waiting: false,
            last_progress: now,
        })))
    }

    /// Returns whether another attempt can send the body from its start.
    pub(super) fn is_replayable(&self) -> bool {
        !self.0.borrow().is_overflowed
    }

    /// Returns whether the upstream is ready to receive but the caller sends nothing.
    pub(super) fn is_waiting_for_caller(&self) -> bool {
        self.0.borrow().is_waiting
    }

    /// Returns when a byte was last received from the caller.
    pub(super) fn last_progress(&self) -> Instant {
        self.0.borrow().last_progress
    }

    /// Returns why the body ended early, if it did.
    pub(super) fn failure(&self) -> Option<Failure> {
        let inner = self.0.borrow();
        if inner.received_bytes > inner.max_bytes {
            Some(Failure::TooLarge)
        } else {
            inner.is_failed.then_some(Failure::Caller)
        }
    }

    /// Reads until the body ends or the buffer is full. A small body is complete
    /// before a slot is requested, so that a slow caller does not occupy one.
    pub(super) async fn fill(&self) -> Result<(), Failure> {
        std::future::poll_fn(|cx| {
            loop {
                {
                    let inner = self.0.borrow();
                    if inner.is_finished
                        || inner.is_overflowed
                        || inner.buffered.len() >= inner.max_buffered_bytes
                    {
                        return Poll::Ready(Ok(()));
                    }
                }
                match self.pull(cx) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Some(Err(_))) => {
                        return Poll::Ready(Err(self.failure().unwrap_or(Failure::Caller)));
                    }
                    Poll::Ready(_) => {}
                }
            }
        })
        .await
    }

    /// Returns a stream of the complete body for one attempt.
    pub(super) fn reader(&self) -> Reader {
        Reader {
            body: self.clone(),
            position: 0,
        }
    }

    fn pull(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, PayloadError>>> {
        let mut inner = self.0.borrow_mut();
        let Some(source) = inner.source.as_mut() else {
            return Poll::Ready(None);
        };
        let polled = Pin::new(source).poll_next(cx);
        inner.is_waiting = polled.is_pending();
        match polled {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => {
                inner.is_finished = true;
                inner.source = None;
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => {
                inner.is_failed = true;
                inner.source = None;
                Poll::Ready(Some(Err(error)))
            }
            Poll::Ready(Some(Ok(chunk))) => {
                inner.last_progress = Instant::now();
                inner.received_bytes += chunk.len() as u64;
                if inner.received_bytes > inner.max_bytes {
                    inner.source = None;
                    return Poll::Ready(Some(Err(PayloadError::Overflow)));
                }
                if !inner.is_overflowed {
                    if inner.buffered.len() + chunk.len() <= inner.max_buffered_bytes {
                        inner.buffered.extend_from_slice(&chunk);
                    } else {
                        inner.is_overflowed = true;
                    }
                }
                Poll::Ready(Some(Ok(chunk)))
            }
        }
    }
}

/// Stream of a [`Body`] for one attempt.
pub(super) struct Reader {
    body: Body,
    position: usize,
}

impl Stream for Reader {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let buffered = {
            let inner = self.body.0.borrow();
            (self.position < inner.buffered.len())
                .then(|| Bytes::copy_from_slice(&inner.buffered[self.position..]))
        };
        if let Some(bytes) = buffered {
            self.position += bytes.len();
            return Poll::Ready(Some(Ok(bytes)));
        }
        let polled = self.body.pull(cx);
        if let Poll::Ready(Some(Ok(chunk))) = &polled {
            self.position += chunk.len();
        }
        polled
    }
}
