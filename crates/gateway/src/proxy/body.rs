//! Bodies of requests and answers.
//!
//! A body of up to [`MAX_BUFFERED_BYTES`] is fully buffered, so that a request
//! can be sent again and an answer is known to be complete before its first
//! byte is passed on. A larger body is streamed.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use dotterelhinge_policy::memory;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::{sync::oneshot, task::JoinHandle};

use super::limited;

/// Maximum size of a body that is fully buffered, in bytes.
pub(super) const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Maximum capacity of a buffer, in bytes: it is full with the part that exceeds
/// `MAX_BUFFERED_BYTES`.
const MAX_BUFFER_CAPACITY: usize = MAX_BUFFERED_BYTES + limited::READ_AHEAD_BYTES;

/// A body that is fully buffered, or its first bytes and a stream of the rest.
pub(crate) struct Content {
    buffered: Bytes,
    rest: Option<Received>,
    /// The connection that `rest` is read from, if it is an answer.
    source: Option<Source>,
}

/// A body that is being received, and the limit on the bytes that its connection
/// may send without a part of it.
#[derive(Debug)]
pub(super) struct Received {
    body: Incoming,
    limit: limited::Limit,
    /// Tells whether the connection ended without an error, if the body ends with it.
    end: Option<oneshot::Receiver<bool>>,
}

impl Received {
    /// Combines the body of a request with the limit of its connection.
    pub(super) fn request(body: Incoming, limit: limited::Limit) -> Self {
        Self {
            body,
            limit,
            end: None,
        }
    }

    /// Reads the body and drops it, at most `max_bytes` of it and none of a body
    /// that is announced to be longer.
    pub(super) async fn discard(mut self, max_bytes: u64) {
        let mut left = max_bytes;
        if self.body.size_hint().lower() > left {
            return;
        }
        while let Some(Ok(frame)) = std::future::poll_fn(|cx| self.poll_frame(cx)).await {
            let length = frame.data_ref().map_or(0, Bytes::len) as u64;
            match left.checked_sub(length) {
                Some(rest) => left = rest,
                None => return,
            }
        }
    }

    /// Combines the body of an answer with the limit of its connection and what
    /// tells whether that ended without an error. The answer is to be refused if it
    /// has a transfer encoding other than chunks.
    pub(super) fn answer(
        body: Incoming,
        limit: limited::Limit,
        is_chunked: bool,
        end: oneshot::Receiver<bool>,
    ) -> Self {
        let ends_with_connection = !is_chunked && body.size_hint().exact().is_none();
        Self {
            body,
            limit,
            end: ends_with_connection.then_some(end),
        }
    }

    /// Polls for the next part. Each part that has data resets the limit. A body
    /// that ends with its connection ends when the result of that is known.
    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && frame.data_ref().is_some_and(|data| !data.is_empty())
        {
            self.limit.reset();
        }
        if frame.is_none()
            && let Some(end) = &mut self.end
        {
            let is_orderly = std::task::ready!(Pin::new(end).poll(cx)).unwrap_or(false);
            self.end = None;
            if !is_orderly {
                return Poll::Ready(Some(Err(StreamError::Reset)));
            }
        }
        Poll::Ready(frame.map(|frame| frame.map_err(StreamError::Transport)))
    }
}

/// The connection of a streamed answer, and when the stream is broken off.
struct Source {
    _task: ConnectionTask,
    expiry: Pin<Box<tokio::time::Sleep>>,
    /// Bytes that may still follow.
    left_bytes: u64,
    /// Reports a failure of the backend server.
    report: Option<Box<dyn FnOnce()>>,
}

impl Source {
    /// Checks the next part. Reports a failure of the backend server, once.
    fn check(
        &mut self,
        frame: Result<Frame<Bytes>, StreamError>,
    ) -> Result<Frame<Bytes>, StreamError> {
        let checked = frame.and_then(|frame| {
            let length = frame.data_ref().map_or(0, Bytes::len) as u64;
            match self.left_bytes.checked_sub(length) {
                Some(left) => self.left_bytes = left,
                None => return Err(StreamError::TooLarge),
            }
            Ok(frame)
        });
        if checked.is_err()
            && let Some(report) = self.report.take()
        {
            report();
        }
        checked
    }
}

/// Limits of an answer that is streamed.
pub(super) struct StreamLimits {
    /// Time until it is broken off.
    pub time: Duration,
    /// Maximum size of the whole answer, in bytes.
    pub max_bytes: u64,
    /// Reports that the backend server broke the answer off or exceeded the size.
    pub report: Box<dyn FnOnce()>,
}

/// The task that drives a connection to a backend server. Dropping this aborts
/// it and so closes the connection, by which the backend server sees that nobody
/// waits for the answer.
#[derive(Debug)]
pub(super) struct ConnectionTask(pub(super) JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Why a body breaks off while it is streamed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StreamError {
    #[error("{0}")]
    Transport(hyper::Error),
    #[error("the connection that ends the body was reset")]
    Reset,
    #[error("the body did not end before the deadline")]
    Expired,
    #[error("the body is larger than allowed")]
    TooLarge,
}

/// What happens to a body of which the memory budget allows no more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Shortage {
    /// The rest is streamed, as if the buffer were full.
    Stream,
    /// Reading it fails.
    Fail,
}

/// Why a body could not be read.
#[derive(Debug)]
pub(super) enum Failure {
    /// It is larger than allowed.
    TooLarge,
    /// The memory budget has no room for it.
    NoMemory,
    /// It broke off or is malformed.
    Broken(StreamError),
}

/// Buffered bytes, and the part of the memory budget that they hold for as long
/// as any copy of them exists.
struct Buffer {
    bytes: Vec<u8>,
    permit: memory::Permit,
}

impl Buffer {
    fn new(permit: memory::Permit) -> Self {
        Self {
            bytes: Vec::new(),
            permit,
        }
    }

    /// Makes room for `bytes` bytes in all. Returns whether the memory budget
    /// allows that.
    fn reserve(&mut self, bytes: usize) -> bool {
        if bytes <= self.permit.held() {
            return true;
        }
        // Doubling keeps the cost of copying low.
        let doubled = (2 * self.permit.held()).min(MAX_BUFFER_CAPACITY);
        if !self.permit.resize(bytes.max(doubled)) && !self.permit.resize(bytes) {
            return false;
        }
        let additional = self.permit.held() - self.bytes.len();
        self.bytes.reserve_exact(additional);
        true
    }

    fn freeze(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Content {
    /// Creates a body that is fully buffered.
    pub(super) fn full(buffered: impl Into<Bytes>) -> Self {
        Self {
            buffered: buffered.into(),
            rest: None,
            source: None,
        }
    }

    /// Reads a body until it ends or the buffer is full. Fails if the bytes
    /// read or the announced length exceed `max_bytes`. The buffer holds memory
    /// by `permit`; `shortage` tells what happens without.
    pub(super) async fn read(
        mut received: Received,
        max_bytes: u64,
        permit: memory::Permit,
        shortage: Shortage,
    ) -> Result<Self, Failure> {
        let announced = received.body.size_hint();
        if announced.lower() > max_bytes {
            return Err(Failure::TooLarge);
        }
        let mut buffer = Buffer::new(permit);
        let expected = announced.lower().min(MAX_BUFFERED_BYTES as u64) as usize;
        if shortage == Shortage::Fail && !buffer.reserve(expected) {
            return Err(Failure::NoMemory);
        }
        loop {
            let next = std::future::poll_fn(|cx| received.poll_frame(cx));
            let Some(frame) = next.await else {
                return Ok(Self::full(buffer.freeze()));
            };
            let frame = frame.map_err(Failure::Broken)?;
            // Trailers are treated as specific to the connection and dropped.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = buffer.bytes.len() + data.len();
            if length as u64 > max_bytes {
                return Err(Failure::TooLarge);
            }
            let has_room = buffer.reserve(length);
            if !has_room && shortage == Shortage::Fail {
                return Err(Failure::NoMemory);
            }
            // A part that was received is kept, room or not.
            buffer.bytes.extend_from_slice(&data);
            if !has_room || length > MAX_BUFFERED_BYTES {
                return Ok(Self {
                    buffered: buffer.freeze(),
                    rest: Some(received),
                    source: None,
                });
            }
        }
    }

    /// Keeps the connection open until the body has been streamed, at most within
    /// `limits`: a backend server may send bytes without end.
    pub(super) fn keep_connection(&mut self, task: ConnectionTask, limits: StreamLimits) {
        if self.rest.is_some() {
            self.source = Some(Source {
                _task: task,
                expiry: Box::pin(tokio::time::sleep(limits.time)),
                left_bytes: limits.max_bytes.saturating_sub(self.buffered.len() as u64),
                report: Some(limits.report),
            });
        }
    }

    /// Returns the size of the body, in kilobytes of 1024 bytes; a lower bound
    /// if the full size is not known.
    fn kilobytes(&self) -> f64 {
        self.size_hint().lower() as f64 / 1024.0
    }

    /// Returns whether the body is streamed although the buffer was not full.
    pub(super) fn is_streamed_early(&self) -> bool {
        self.rest.is_some() && self.buffered.len() <= MAX_BUFFERED_BYTES
    }

    /// Returns whether the body is fully buffered.
    pub(super) fn is_fully_buffered(&self) -> bool {
        self.rest.is_none()
    }
}

/// The body of a caller's request, of which each attempt sends all or nothing.
///
/// A streamed body can be read only once. After an attempt has taken it, the
/// payload is unavailable, so that its buffered beginning is never sent as if
/// it were the whole body.
pub(super) enum Payload {
    /// It can be sent.
    Available(Content),
    /// An attempt took the stream and may have read from it.
    Taken,
}

impl Payload {
    /// Returns whether an attempt can send the whole body.
    pub(super) fn is_available(&self) -> bool {
        matches!(self, Self::Available(_))
    }

    /// Returns the size of the body, in kilobytes; see [`Content::kilobytes`].
    pub(super) fn kilobytes(&self) -> f64 {
        match self {
            Self::Available(content) => content.kilobytes(),
            Self::Taken => 0.0,
        }
    }

    /// Returns the whole body for one attempt; `None` if an earlier attempt took
    /// its stream.
    pub(super) fn take(&mut self) -> Option<Content> {
        match self {
            Self::Available(content) if content.is_fully_buffered() => {
                Some(Content::full(content.buffered.clone()))
            }
            Self::Available(_) => match std::mem::replace(self, Self::Taken) {
                Self::Available(content) => Some(content),
                Self::Taken => None,
            },
            Self::Taken => None,
        }
    }

    /// Returns the body for an attempt that may run beside another one: a copy if
    /// it can be sent more than once, else the body itself.
    pub(super) fn lend(&mut self) -> Self {
        self.take().map_or(Self::Taken, Self::Available)
    }

    /// Takes back what [`lend`](Self::lend) returned, once the attempt has ended.
    pub(super) fn give_back(&mut self, lent: Self) {
        if !self.is_available() {
            *self = lent;
        }
    }

    /// Puts back a body of which nothing was read.
    pub(super) fn restore(&mut self, untouched: Content) {
        *self = Self::Available(untouched);
    }
}

impl Body for Content {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        let this = self.get_mut();
        if !this.buffered.is_empty() {
            let buffered = std::mem::take(&mut this.buffered);
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        if let Some(source) = &mut this.source
            && source.expiry.as_mut().poll(cx).is_ready()
        {
            return Poll::Ready(Some(Err(StreamError::Expired)));
        }
        let Some(rest) = &mut this.rest else {
            return Poll::Ready(None);
        };
        let frame = std::task::ready!(rest.poll_frame(cx));
        Poll::Ready(frame.map(|frame| match &mut this.source {
            Some(source) => source.check(frame),
            None => frame,
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_empty()
            && self
                .rest
                .as_ref()
                .is_none_or(|rest| rest.body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.len() as u64;
        let Some(rest) = &self.rest else {
            return SizeHint::with_exact(buffered);
        };
        let mut hint = SizeHint::new();
        let rest = rest.body.size_hint();
        hint.set_lower(buffered + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(buffered + upper);
        }
        hint
    }
}
