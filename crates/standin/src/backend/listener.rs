//! Accepts connections while the server does not refuse them.

use std::io;
use std::net;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::{task, time};

use crate::backend::connection;
use crate::backend::server::Server;

/// How often a flapping listener is looked at, and a failed bind repeated.
const TICK: Duration = Duration::from_millis(5);

/// Serves a server until the task is dropped. Must run in a local task set.
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
                    time::sleep(TICK).await;
                    continue;
                }
            }
        }
        server.applied.send_replace(change);
        let tick = async {
            if server.flaps() {
                time::sleep(TICK).await;
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
                // Over the limit the stream is dropped, which closes it.
                Ok((stream, _)) => {
                    if let Some(taken) = server.take_connection() {
                        task::spawn_local(connection::serve(Arc::clone(&server), taken, stream));
                    }
                }
                Err(error) => {
                    log::warn!("{}: accept failed: {error}", server.name);
                    time::sleep(TICK).await;
                }
            },
        }
    }
}
