//! A caller's connection whose end does not cut the answer that is on its way.
//!
//! A socket that is closed with unread bytes is reset, as is one that gets bytes after it
//! was closed. When the HTTP library shuts the connection down, this stream therefore
//! ends writing, and then reads and drops what the caller still sends until the caller
//! closes its side too (RFC 9112, section 9.6), or until [`Linger`] gives it up.

use std::{
    future::Future,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Instant,
};

use dotterelhinge_policy::linger::{Linger, Settings};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::Sleep,
};

use super::limited;
use crate::host::Host;

/// Maximum bytes that are dropped at a time.
const DROPPED_BYTES: usize = 8 << 10;

/// The end of a connection: what is sent has ended.
struct End {
    linger: Linger,
    timer: Pin<Box<Sleep>>,
}

/// A connection of a caller.
pub(super) struct Stream<S> {
    inner: S,
    host: Rc<Host>,
    settings: Settings,
    /// Limit of `inner`, which is not for bytes that are dropped.
    limit: limited::Limit,
    /// When bytes were last sent.
    sent: Option<Instant>,
    end: Option<End>,
}

impl<S> Stream<S> {
    /// Lets the end of `inner`, which reads at most `limit`, wait as `settings` say.
    pub(super) fn new(inner: S, host: Rc<Host>, settings: Settings, limit: limited::Limit) -> Self {
        Self {
            inner,
            host,
            settings,
            limit,
            sent: None,
            end: None,
        }
    }

    fn record_write(&mut self) {
        self.sent = Some(self.host.now());
    }

    /// Returns a timer for the deadline of `linger`; `None` if that has passed.
    fn timer(&self, linger: &Linger) -> Option<Pin<Box<Sleep>>> {
        let left = linger
            .deadline()?
            .checked_duration_since(self.host.now())
            .filter(|left| !left.is_zero())?;
        Some(Box::pin(tokio::time::sleep(left)))
    }
}

impl<S: AsyncRead + Unpin> Stream<S> {
    /// Drops what the caller sends until it closes its side or `end` is over.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(mut end) = self.end.take() else {
            return Poll::Ready(());
        };
        let mut dropped = [0; DROPPED_BYTES];
        loop {
            if end.timer.as_mut().poll(cx).is_ready() {
                self.host.metrics.linger_expired.increment();
                return Poll::Ready(());
            }
            self.limit.reset();
            let mut buffer = ReadBuf::new(&mut dropped);
            let Poll::Ready(read) = Pin::new(&mut self.inner).poll_read(cx, &mut buffer) else {
                self.end = Some(end);
                return Poll::Pending;
            };
            let bytes = buffer.filled().len();
            // After an error nothing more can be delivered.
            if read.is_err() || bytes == 0 {
                return Poll::Ready(());
            }
            self.host.metrics.linger_bytes.add(bytes as u64);
            end.linger.record(self.host.now(), bytes);
            let Some(timer) = self.timer(&end.linger) else {
                self.host.metrics.linger_expired.increment();
                return Poll::Ready(());
            };
            end.timer = timer;
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, bytes))?;
        self.record_write();
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.end.is_none() {
            ready!(Pin::new(&mut self.inner).poll_shutdown(cx))?;
            let linger = Linger::new(&self.settings, self.host.now(), self.sent);
            let timer = self.timer(&linger);
            self.end = timer.map(|timer| End { linger, timer });
        }
        self.poll_end(cx).map(Ok)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write_vectored(cx, buffers))?;
        self.record_write();
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
