//! A stream from which a limited number of bytes is read at a time.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use dotterelhinge_policy::memory;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum bytes that the HTTP library reads ahead on a connection, and so the
/// maximum size of a head. One read returns no more.
pub(super) const READ_AHEAD_BYTES: usize = 64 << 10;

/// Maximum bytes that one read returns while the memory budget is exhausted, and
/// before the head of an answer.
const MIN_READ_BYTES: usize = 8 << 10;

/// Number of reads whose bytes a connection may hold at a time: what is read waits
/// to be parsed, to be taken and to be written.
const MAX_WAITING_READS: usize = 4;

/// Memory of a connection apart from what was read, in bytes: its buffers and the
/// state of its tasks.
const CONNECTION_BYTES: usize = 16 << 10;

/// Number of reads in a row after which other tasks run first.
const MAX_READS: u32 = 4;

/// Number of bytes in a row after which other tasks run first, since parsing them
/// takes time too.
const MAX_TURN_BYTES: usize = 32 << 10;

/// Maximum bytes of framing from one part of a body to the next: as many as the
/// HTTP library accepts in the extensions of chunks.
const MAX_FRAMING_BYTES: usize = 16 << 10;

/// Maximum bytes that are read before the receiver gets anything from them: the
/// head of a message.
const MAX_HEAD_BYTES: usize = READ_AHEAD_BYTES + MAX_FRAMING_BYTES;

/// Maximum bytes that are read before the receiver gets the next part of a body. The
/// HTTP library takes framing apart byte by byte, so that it costs more than a head.
const MAX_BODY_OVERHEAD_BYTES: usize = READ_AHEAD_BYTES / 4 + MAX_FRAMING_BYTES;

/// Minimum bytes that a read counts as, since a read costs processor time
/// whatever it returns. A head of 80 fields may come in as many reads.
const MIN_READ_COST_BYTES: usize = 1 << 10;

/// Number of bytes that may still be read before the receiver gets anything.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    left: Rc<Cell<usize>>,
    /// The number after the receiver got a head or a part of a body.
    renewed: usize,
}

impl Limit {
    /// Returns the limit of a caller's connection, on which the body of a request may be
    /// followed by the head of another one.
    pub(super) fn of_requests() -> Self {
        Self {
            left: Rc::new(Cell::new(MAX_HEAD_BYTES)),
            renewed: MAX_HEAD_BYTES,
        }
    }

    /// Returns the limit of a connection with one answer.
    pub(super) fn of_answer() -> Self {
        Self {
            renewed: MAX_BODY_OVERHEAD_BYTES,
            ..Self::of_requests()
        }
    }

    /// Returns whether the head of an answer is still being read, with which the
    /// beginning of a body may come that has no end to its framing.
    fn is_before_answer(&self) -> bool {
        self.left.get() > self.renewed
    }

    /// Allows the whole number of bytes again, after the receiver got something.
    pub(super) fn reset(&self) {
        self.left.set(self.renewed);
    }
}

/// A stream that fails to be read once its limit is used up, and that lets other
/// tasks run while bytes arrive without a pause.
///
/// The HTTP library reads on as long as bytes arrive that are neither a head nor
/// a part of a body, such as interim responses, or a chunk size, without end.
/// That would keep the thread busy and all other requests of the host waiting.
///
/// What the last read returned counts towards the memory budget, and the less of
/// that is free, the less one read returns.
pub(super) struct Stream<S> {
    inner: S,
    limit: Limit,
    permit: memory::Permit,
    /// Reads since other tasks ran, and the bytes that they returned.
    reads: u32,
    turn_bytes: usize,
}

impl<S> Stream<S> {
    /// Limits the bytes read from `inner`.
    pub(super) fn new(inner: S, limit: Limit, permit: memory::Permit) -> Self {
        Self {
            inner,
            limit,
            permit,
            reads: 0,
            turn_bytes: 0,
        }
    }

    /// Counts reads anew, as other tasks run now.
    fn end_turn(&mut self) {
        self.reads = 0;
        self.turn_bytes = 0;
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let left = self.limit.left.get();
        if left == 0 {
            let error = "too many bytes without a head or a part of a body";
            return Poll::Ready(Err(io::Error::other(error)));
        }
        if self.reads >= MAX_READS || self.turn_bytes >= MAX_TURN_BYTES {
            self.end_turn();
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        // Half of the allowance, so that a body finds room beside.
        let window = self.permit.allowance() / (2 * MAX_WAITING_READS);
        let max_window = if self.limit.is_before_answer() {
            MIN_READ_BYTES
        } else {
            READ_AHEAD_BYTES
        };
        let window = window.clamp(MIN_READ_BYTES, max_window);
        let length = buffer.remaining().min(window).min(left);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        let polled = Pin::new(&mut self.inner).poll_read(cx, &mut part);
        let read = part.filled().len();
        if polled.is_pending() {
            self.end_turn();
        }
        ready!(polled)?;
        self.reads += 1;
        self.turn_bytes += read;
        buffer.advance(read);
        // The bytes have been received, room or not.
        let bytes = CONNECTION_BYTES + MAX_WAITING_READS * read;
        let _ = self.permit.resize(bytes);
        let cost = read.max(MIN_READ_COST_BYTES);
        self.limit.left.set(left.saturating_sub(cost));
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
