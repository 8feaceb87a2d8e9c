//! A stream from which a limited number of bytes is read at a time.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum bytes that one read returns.
const MAX_READ_BYTES: usize = 64 << 10;

/// Number of reads in a row after which other tasks run first.
const MAX_READS: u32 = 4;

/// Number of bytes that may be read before the receiver gets anything from them:
/// the head of an answer, or the next part of its body.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    left: Rc<Cell<usize>>,
    bytes: usize,
}

impl Limit {
    /// Allows `bytes` bytes.
    pub(super) fn new(bytes: usize) -> Self {
        Self {
            left: Rc::new(Cell::new(bytes)),
            bytes,
        }
    }

    /// Allows the whole number of bytes again, after the receiver got something.
    pub(super) fn reset(&self) {
        self.left.set(self.bytes);
    }
}

/// A stream that fails to be read once its limit is used up, and that lets other
/// tasks run while bytes arrive without a pause.
///
/// The HTTP library reads on as long as bytes arrive that are neither a head nor
/// a part of a body, such as interim responses, or a chunk size, without end.
/// That would keep the thread busy and all other requests of the host waiting.
pub(super) struct Stream<S> {
    inner: S,
    limit: Option<Limit>,
    reads: u32,
}

impl<S> Stream<S> {
    /// Limits the bytes read from `inner`, if there is a limit.
    pub(super) fn new(inner: S, limit: Option<Limit>) -> Self {
        Self {
            inner,
            limit,
            reads: 0,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let left = self.limit.as_ref().map(|limit| limit.left.get());
        if left == Some(0) {
            let error = "the answer has too many bytes without a head or a part of its body";
            return Poll::Ready(Err(io::Error::other(error)));
        }
        if self.reads >= MAX_READS {
            self.reads = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let length = buffer.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        let polled = Pin::new(&mut self.inner).poll_read(cx, &mut part);
        let read = part.filled().len();
        self.reads = if polled.is_ready() { self.reads + 1 } else { 0 };
        ready!(polled)?;
        buffer.advance(read);
        if let Some(limit) = &self.limit {
            limit.left.set(limit.left.get().saturating_sub(read));
        }
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
