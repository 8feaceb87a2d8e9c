//! One connection to an upstream for one attempt.
//!
//! A connection is opened for each attempt and never pooled. The cost is one
//! round trip (about 1 ms); in return no attempt meets a connection that went
//! silent while idle, the daemon knows for certain whether a byte was sent,
//! and 40,000 upstreams need no idle connections.

use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{self, Poll},
    time::{Duration, Instant},
};

use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use actix_web::{http::Uri, rt::net::TcpStream};
use dotterelhinge_policy::clock;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Longest time to open a connection; the network allows about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What is known about the connection of an attempt.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Whether the connection was open and handed to the HTTP client. From
    /// then on a byte of the request may have been sent.
    pub begun: Cell<bool>,
    /// Whether the upstream closed its side.
    pub ended: Cell<bool>,
    /// Whether the right to send had lapsed before the first byte.
    pub lapsed: Cell<bool>,
}

/// A stream that notes when the upstream closes it. The HTTP client reports a
/// body that is cut at the end of a read as finished; this tells the two apart.
#[derive(Debug)]
pub(crate) struct Stream {
    inner: TcpStream,
    state: Rc<State>,
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let result = Pin::new(&mut this.inner).poll_read(cx, buf);
        match &result {
            Poll::Ready(Ok(())) if buf.filled().len() == before => this.state.ended.set(true),
            Poll::Ready(Err(_)) => this.state.ended.set(true),
            _ => {}
        }
        result
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut task::Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut task::Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

impl actix_web::rt::net::ActixStream for Stream {
    fn poll_read_ready(
        &self,
        cx: &mut task::Context<'_>,
    ) -> Poll<io::Result<actix_web::rt::net::Ready>> {
        actix_web::rt::net::ActixStream::poll_read_ready(&self.inner, cx)
    }

    fn poll_write_ready(
        &self,
        cx: &mut task::Context<'_>,
    ) -> Poll<io::Result<actix_web::rt::net::Ready>> {
        actix_web::rt::net::ActixStream::poll_write_ready(&self.inner, cx)
    }
}

/// An HTTP client for a single attempt against `address`. The attempt may
/// start until `start_by`; the client checks this after the connection is open
/// and immediately before the first byte, so that a process that was stopped
/// in between doesn't send on a right that lapsed.
pub(crate) fn client(
    address: SocketAddr,
    start_by: Instant,
    clock: Arc<dyn clock::Clock>,
    state: Rc<State>,
) -> awc::Client {
    let connect = actix_service::fn_service(move |info: ConnectInfo<Uri>| {
        let state = Rc::clone(&state);
        let clock = Arc::clone(&clock);
        async move {
            let inner = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
                .await
                .map_err(|_| ConnectError::Io(io::ErrorKind::TimedOut.into()))?
                .map_err(ConnectError::Io)?;
            // Small requests must not wait for an acknowledgement.
            inner.set_nodelay(true).map_err(ConnectError::Io)?;
            if clock.now() >= start_by {
                state.lapsed.set(true);
                return Err(ConnectError::Io(io::ErrorKind::TimedOut.into()));
            }
            state.begun.set(true);
            Ok(Connection::new(
                info.request().clone(),
                Stream { inner, state },
            ))
        }
    });
    awc::Client::builder()
        .connector(
            awc::Connector::new()
                .connector(connect)
                .conn_keep_alive(Duration::ZERO),
        )
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}
