//! The path of a request from a caller to a backend server and back.

mod answer;
mod attempt;
mod body;
mod headers;
mod limited;
mod request;

use std::{convert::Infallible, rc::Rc, time::Duration};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::host::Host;

/// Time beyond the configured idle timeout after which an idle caller
/// connection is closed, so that the caller's own timeout expires first.
const IDLE_SLACK: Duration = Duration::from_secs(3);

/// Delay after a connection could not be accepted, usually because the process
/// has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts caller connections until the process ends.
pub(crate) async fn serve(host: Rc<Host>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_connection(Rc::clone(&host), stream));
            }
            Err(error) => {
                log::warn!(event = "not_accepted", error = error.to_string(); "connection could not be accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the requests of one caller connection.
async fn serve_connection(host: Rc<Host>, stream: TcpStream) {
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
    let service = service_fn(move |request| {
        let host = Rc::clone(&host);
        async move { Ok::<_, Infallible>(request::serve(host, request).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout) + IDLE_SLACK)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!(event = "connection_ended", error = error.to_string(); "caller connection ended with an error");
    }
}
