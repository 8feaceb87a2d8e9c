//! Accepts connections, and closes the listener while a fault refuses them.

use std::io;
use std::net;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::{task, time};

use crate::backend::connection;
use crate::backend::server::Server;

/// Interval at which a flapping listener is checked, and pause after a failed
/// bind or accept.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Accepts connections until the task is dropped. Must run in a local task set.
pub async fn serve(server: Arc<Server>, first: net::TcpListener) -> io::Result<()> {
    first.set_nonblocking(true)?;
    let mut listener = Some(TcpListener::from_std(first)?);
    let mut changes = server.changes.subscribe();
    loop {
        let change = *changes.borrow_and_update();
        if server.refuses() {
            listener = None;
        } else if listener.is_none() {
            match TcpListener::bind(server.address).await {
                Ok(bound) => listener = Some(bound),
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
