//! A stream that counts the bytes that it carries.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::metrics::Registry;

/// A connection to a backend server. If it crosses availability zones, its bytes
/// are counted as those of requests and responses.
pub(super) struct Stream<S> {
    inner: S,
    /// Where to count; `None` if it stays within the zone.
    metrics: Option<Arc<Registry>>,
}

impl<S> Stream<S> {
    /// Counts the bytes of `inner` in `metrics`, if given.
    pub(super) fn new(inner: S, metrics: Option<Arc<Registry>>) -> Self {
        Self { inner, metrics }
    }

    fn count_written(&self, bytes: usize) {
        if let Some(metrics) = &self.metrics {
            metrics.zone_bytes.requests.add(bytes as u64);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buffer))?;
        if let Some(metrics) = &self.metrics {
            let bytes = buffer.filled().len() - before;
            metrics.zone_bytes.responses.add(bytes as u64);
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
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, bytes))?;
        self.count_written(written);
        Poll::Ready(Ok(written))
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
        let written = ready!(Pin::new(&mut self.inner).poll_write_vectored(cx, buffers))?;
        self.count_written(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
