//! The request body of a caller: streamed to an upstream, with its first bytes
//! kept so that another attempt can start over.

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
    kept: BytesMut,
    keep: usize,
    limit: u64,
    total: u64,
    overflowed: bool,
    finished: bool,
    failed: bool,
    waiting: bool,
    moved: Instant,
}

/// The body of one request, shared by its attempts.
///
/// Invariant: unless `overflowed`, `kept` holds every byte taken from the
/// caller so far.
#[derive(Clone)]
pub(super) struct Body(Rc<RefCell<Inner>>);

/// Why a body ended before its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Failure {
    /// The caller's connection broke or sent garbage.
    Caller,
    /// The body is larger than the limit.
    TooLarge,
}

impl Body {
    /// A body of which the first `keep` bytes can be replayed, `limit` bytes
    /// at most.
    pub(super) fn new(source: web::Payload, keep: usize, limit: u64, now: Instant) -> Self {
        Self(Rc::new(RefCell::new(Inner {
            source: Some(source),
            kept: BytesMut::new(),
            keep,
            limit,
            total: 0,
            overflowed: false,
            finished: false,
            failed: false,
            waiting: false,
            moved: now,
        })))
    }

    /// Whether another attempt can send the body from its start.
    pub(super) fn replayable(&self) -> bool {
        !self.0.borrow().overflowed
    }

    /// Whether the upstream could take more, but the caller sends nothing.
    pub(super) fn waits_for_caller(&self) -> bool {
        self.0.borrow().waiting
    }

    /// When a byte last moved from the caller.
    pub(super) fn moved(&self) -> Instant {
        self.0.borrow().moved
    }

    /// Why the body ended early, if it did.
    pub(super) fn failure(&self) -> Option<Failure> {
        let inner = self.0.borrow();
        if inner.total > inner.limit {
            Some(Failure::TooLarge)
        } else {
            inner.failed.then_some(Failure::Caller)
        }
    }

    /// Reads until the body ends or `keep` bytes are held. A small body is
    /// whole before a slot is asked for, so that a slow caller holds none.
    pub(super) async fn fill(&self) -> Result<(), Failure> {
        std::future::poll_fn(|cx| {
            loop {
                {
                    let inner = self.0.borrow();
                    if inner.finished || inner.overflowed || inner.kept.len() >= inner.keep {
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

    /// A stream of the whole body for one attempt.
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
        inner.waiting = polled.is_pending();
        match polled {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => {
                inner.finished = true;
                inner.source = None;
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => {
                inner.failed = true;
                inner.source = None;
                Poll::Ready(Some(Err(error)))
            }
            Poll::Ready(Some(Ok(chunk))) => {
                inner.moved = Instant::now();
                inner.total += chunk.len() as u64;
                if inner.total > inner.limit {
                    inner.source = None;
                    return Poll::Ready(Some(Err(PayloadError::Overflow)));
                }
                if !inner.overflowed {
                    if inner.kept.len() + chunk.len() <= inner.keep {
                        inner.kept.extend_from_slice(&chunk);
                    } else {
                        inner.overflowed = true;
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
        let kept = {
            let inner = self.body.0.borrow();
            (self.position < inner.kept.len())
                .then(|| Bytes::copy_from_slice(&inner.kept[self.position..]))
        };
        if let Some(kept) = kept {
            self.position += kept.len();
            return Poll::Ready(Some(Ok(kept)));
        }
        let polled = self.body.pull(cx);
        if let Poll::Ready(Some(Ok(chunk))) = &polled {
            self.position += chunk.len();
        }
        polled
    }
}
