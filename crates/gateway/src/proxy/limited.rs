//! A stream whose reader gets a limited number of bytes.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes that may still be read; `None` without a limit.
pub(super) type Limit = Rc<Cell<Option<usize>>>;

/// A stream that fails to be read once its limit is used up. Without a limit on
/// the head of an answer, interim responses without end would keep the thread
/// busy and all other requests of the host waiting.
pub(super) struct Stream<S> {
    inner: S,
    limit: Limit,
}

impl<S> Stream<S> {
    /// Limits the bytes read from `inner`.
    pub(super) fn new(inner: S, limit: Limit) -> Self {
        Self { inner, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(left) = self.limit.get() else {
            return Pin::new(&mut self.inner).poll_read(cx, buffer);
        };
        if left == 0 {
            return Poll::Ready(Err(io::Error::other("the head of the answer is too large")));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buffer))?;
        let read = buffer.filled().len() - before;
        self.limit.set(Some(left.saturating_sub(read)));
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
