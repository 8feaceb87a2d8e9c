//! Bodies of requests and answers.
//!
//! A body up to a limit is held whole, so that a request can be sent again and
//! an answer is known to be whole before its first byte is passed on. A larger
//! one is streamed.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};

/// Bytes of a body that are held.
pub(super) const HELD: usize = 1 << 20;

/// A body that is held whole, or its first bytes and the rest as it comes.
#[derive(Debug)]
pub(crate) struct Content {
    held: Bytes,
    rest: Option<Incoming>,
}

/// Why a body could not be taken in.
#[derive(Debug)]
pub(super) enum Failure {
    /// It is larger than allowed.
    TooLarge,
    /// It broke off or can't be understood.
    Broken(hyper::Error),
}

impl Content {
    /// A whole body.
    pub(super) fn whole(held: impl Into<Bytes>) -> Self {
        Self {
            held: held.into(),
            rest: None,
        }
    }

    /// Takes a body in, of `limit` bytes at most.
    pub(super) async fn take(mut body: Incoming, limit: u64) -> Result<Self, Failure> {
        if body.size_hint().lower() > limit {
            return Err(Failure::TooLarge);
        }
        let mut held = BytesMut::new();
        loop {
            let Some(frame) = body.frame().await else {
                return Ok(Self::whole(held));
            };
            let frame = frame.map_err(Failure::Broken)?;
            // Trailers concern the connection only and are dropped.
            if let Ok(data) = frame.into_data() {
                held.extend_from_slice(&data);
            }
            if held.len() as u64 > limit {
                return Err(Failure::TooLarge);
            }
            if held.len() > HELD {
                return Ok(Self {
                    held: held.freeze(),
                    rest: Some(body),
                });
            }
        }
    }

    /// Size of the body as far as known, in kilobytes.
    pub(super) fn kilobytes(&self) -> f64 {
        self.size_hint().lower() as f64 / 1024.0
    }

    /// Whether the whole body is held.
    pub(super) fn is_whole(&self) -> bool {
        self.rest.is_none()
    }

    /// A body to send. The streamed rest goes with the first call.
    pub(super) fn send(&mut self) -> Self {
        Self {
            held: self.held.clone(),
            rest: self.rest.take(),
        }
    }
}

impl Body for Content {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        if !this.held.is_empty() {
            let held = std::mem::take(&mut this.held);
            return Poll::Ready(Some(Ok(Frame::data(held))));
        }
        match &mut this.rest {
            Some(rest) => Pin::new(rest).poll_frame(cx),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_empty() && self.rest.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let held = self.held.len() as u64;
        let Some(rest) = &self.rest else {
            return SizeHint::with_exact(held);
        };
        let mut hint = SizeHint::new();
        let rest = rest.size_hint();
        hint.set_lower(held + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(held + upper);
        }
        hint
    }
}
