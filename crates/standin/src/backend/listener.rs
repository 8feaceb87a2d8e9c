//! Accepts connections, and closes the listener while a fault refuses them.
//!
//! The port stays bound meanwhile: another process that got it would answer the
//! requests that are sent to this server.

use std::io;
use std::net::{self, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::{task, time};

use crate::backend::connection;
use crate::backend::server::Server;
use crate::socket::BACKLOG;

/// Interval at which a flapping listener is checked, and pause after a failed
/// bind or accept.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Binds a port that refuses connections until the socket listens.
fn hold(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Accepts connections until the task is dropped. Must run in a local task set.
pub async fn serve(server: Arc<Server>, first: net::TcpListener) -> io::Result<()> {
    first.set_nonblocking(true)?;
    let mut listener = Some(TcpListener::from_std(first)?);
    let mut held = None;
    let mut changes = server.changes.subscribe();
    loop {
        let change = *changes.borrow_and_update();
        if server.refuses() {
            if listener.take().is_some() {
                held = Some(hold(server.address));
            }
        } else if listener.is_none() {
            let socket = held.take().unwrap_or_else(|| hold(server.address));
            match socket.and_then(|socket| socket.listen(BACKLOG.into())) {
                Ok(listening) => listener = Some(listening),
                Err(error) => {
                    log::warn!("{}: cannot bind {}: {error}", server.name, server.address);
                    time::sleep(RETRY_INTERVAL).await;
                    continue;
                }
            }
        }
        server.applied.send_replace(change);
        let tick = async {
            if server.flaps() {
                time::sleep(RETRY_INTERVAL).await;
            } else {
                std::future::pending::<()>().await;
            }
        };
        let accept = async {
            match &listener {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            _ = changes.changed() => {}
            () = tick => {}
            accepted = accept => match accepted {
                // Over the connection limit the stream is dropped, which closes it.
                Ok((stream, _)) => {
                    if let Some(connection) = server.take_connection() {
                        task::spawn_local(connection::serve(Arc::clone(&server), connection, stream));
                    }
                }
                Err(error) => {
                    log::warn!("{}: accept failed: {error}", server.name);
                    time::sleep(RETRY_INTERVAL).await;
                }
            },
        }
    }
}
