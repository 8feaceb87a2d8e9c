//! The path of a request from a caller to a backend server and back.

mod answer;
mod attempt;
mod attempts;
mod authentication;
mod body;
mod connection;
mod counted;
mod headers;
mod limited;
mod lingering;
mod pool;
mod request;
mod socket;
pub(crate) mod waiting;

use std::{rc::Rc, time::Duration};

use tokio::net::TcpListener;

use crate::host::Host;

/// Delay after a connection could not be accepted, usually because the process
/// has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts caller connections until the process ends.
pub(crate) async fn serve(host: Rc<Host>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(connection::serve(Rc::clone(&host), stream));
            }
            Err(error) => {
                log::warn!(event = "not_accepted", error = error.to_string(); "connection could not be accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
