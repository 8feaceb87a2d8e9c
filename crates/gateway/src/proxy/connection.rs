//! Connections of callers.

use std::{cell::Cell, convert::Infallible, pin::pin, rc::Rc, time::Duration};

use dotterelhinge_policy::linger;
use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

use super::{body::Received, limited, lingering, request};
use crate::host::Host;

/// Time beyond the configured idle timeout after which an idle caller
/// connection is closed, so that the caller's own timeout expires first.
const IDLE_SLACK: Duration = Duration::from_secs(3);

/// Minimum size, in bytes, of the buffers of a caller connection: of the head of
/// a request, and of the part of an answer that waits to be written.
const MIN_BUFFER_BYTES: usize = 32 << 10;

/// Counts a connection as used from its first request until it has ended, also while
/// [`lingering`] waits for the caller.
///
/// Only the end of a connection shows that the last answer was written whole:
/// the HTTP library buffers a part of it and tells nobody when that is gone.
struct Use<'a> {
    host: &'a Host,
    has_begun: Cell<bool>,
}

impl<'a> Use<'a> {
    fn new(host: &'a Host) -> Self {
        Self {
            host,
            has_begun: Cell::new(false),
        }
    }

    fn begin(&self) {
        if !self.has_begun.replace(true) {
            let used = &self.host.used_connections;
            used.set(used.get() + 1);
        }
    }
}

impl Drop for Use<'_> {
    fn drop(&mut self) {
        if self.has_begun.get() {
            let used = &self.host.used_connections;
            used.set(used.get() - 1);
        }
    }
}

/// Serves the requests of one caller connection until it ends. During a graceful
/// shutdown, an idle connection is closed once the load balancer has noticed,
/// and any other one after its answer.
pub(super) async fn serve(host: Rc<Host>, stream: TcpStream) {
    // Without Nagle's algorithm small answers don't wait for an
    // acknowledgement.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "caller_gone", error = error.to_string(); "caller closed the connection at once");
        return;
    }
    let limits = host
        .replica
        .borrow()
        .configuration()
        .map(|configuration| configuration.limits.clone())
        .unwrap_or_default();
    let connection_use = Use::new(&host);
    let limit = limited::Limit::of_requests();
    let service = service_fn(|request: Request<Incoming>| {
        connection_use.begin();
        limit.reset();
        let host = Rc::clone(&host);
        let request = request.map(|body| Received::request(body, limit.clone()));
        async move { Ok::<_, Infallible>(request::serve(host, request).await) }
    });
    let stream = limited::Stream::new(stream, limit.clone(), host.memory.permit());
    let linger = linger::Settings {
        max_bytes: limits.body_bytes,
        ..host.settings.linger.clone()
    };
    let stream = lingering::Stream::new(stream, Rc::clone(&host), linger, limit.clone());
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .max_buf_size(
            limits
                .header_bytes
                .clamp(MIN_BUFFER_BYTES, limited::READ_AHEAD_BYTES),
        )
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout) + IDLE_SLACK)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut closing = host.closing.subscribe();
    let served = tokio::select! {
        served = connection.as_mut() => served,
        // A connection accepted after this change ends by the `Connection: close`
        // of its first answer.
        Ok(()) = closing.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        log::debug!(event = "connection_ended", error = error.to_string(); "caller connection ended with an error");
    }
}
