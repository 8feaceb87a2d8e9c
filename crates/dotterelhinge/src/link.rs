//! The connection of one attempt to its upstream.
//!
//! Each attempt opens a connection of its own; connections are not pooled. This
//! costs one round trip (about 1 ms). In return, no attempt uses a connection
//! that broke unnoticed while idle, the daemon knows whether a byte may have been
//! sent, and 40,000 upstreams need no idle connections.

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

/// Maximum time to open a connection, which usually takes about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// State of the connection of an attempt.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Whether the connection was opened and passed to the HTTP client. From
    /// then on, a byte of the request may have been sent.
    pub has_connected: Cell<bool>,
    /// Whether the upstream closed its side or reading from it failed.
    pub has_closed: Cell<bool>,
    /// Whether the time to start the attempt expired before the first byte.
    pub is_expired: Cell<bool>,
}

/// A TCP stream that records when the upstream closes it. The HTTP client
/// reports a body that is cut off at the end of a read as finished;
/// [`State::has_closed`] distinguishes it from a complete body.
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
        let filled_before = buf.filled().len();
        let result = Pin::new(&mut this.inner).poll_read(cx, buf);
        match &result {
            Poll::Ready(Ok(())) if buf.filled().len() == filled_before => {
                this.state.has_closed.set(true)
            }
            Poll::Ready(Err(_)) => this.state.has_closed.set(true),
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

/// Returns an HTTP client for a single attempt on `address` that must start
/// before `start_by`. The client checks this once the connection is open, right
/// before the first byte, so that a process that was paused while connecting
/// does not send a request for which its slot has expired.
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
            // Nagle's algorithm would delay small requests until an
            // acknowledgement arrives.
            inner.set_nodelay(true).map_err(ConnectError::Io)?;
            if clock.now() >= start_by {
                state.is_expired.set(true);
                return Err(ConnectError::Io(io::ErrorKind::TimedOut.into()));
            }
            state.has_connected.set(true);
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
