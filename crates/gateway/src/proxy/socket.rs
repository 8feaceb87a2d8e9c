//! The socket of a connection to a backend server, which tells an orderly end from
//! a reset.
//!
//! A body without a length ends with its connection, so it is complete only if the
//! connection was not reset. The HTTP library does not tell these apart while the
//! body of the request is still being written: it takes the end of what it reads for
//! the end of the answer, and then for a failure of the connection in any case.
//! After the end, this socket lets the library write on, and reports an error of the
//! connection at the latest when the library shuts it down.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Sleep,
};

/// Time within which a server that has closed its connection resets it when it gets
/// more bytes: a round trip, which takes 2 ms between availability zones.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// A socket to a backend server.
#[derive(Debug)]
pub(super) struct Socket {
    inner: TcpStream,
    /// Whether the server sends nothing more.
    has_ended: bool,
    /// When a reset by bytes that were written after the end has arrived.
    settled: Option<Pin<Box<Sleep>>>,
}

impl Socket {
    pub(super) fn new(inner: TcpStream) -> Self {
        Self {
            inner,
            has_ended: false,
            settled: None,
        }
    }

    fn record_write(&mut self) {
        if self.has_ended {
            self.settled = Some(Box::pin(tokio::time::sleep(RESET_DELAY)));
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // The end was read; nothing can follow.
        if self.has_ended {
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buffer))?;
        self.has_ended = buffer.filled().len() == before && buffer.remaining() > 0;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
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
        if let Some(settled) = &mut self.settled {
            ready!(settled.as_mut().poll(cx));
        }
        if let Some(error) = self.inner.take_error()? {
            return Poll::Ready(Err(error));
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
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
