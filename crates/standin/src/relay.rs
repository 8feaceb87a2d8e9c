//! TCP relay whose two directions can be frozen or closed independently.
//!
//! Relays on the paths between two hosts simulate a network partition, including
//! one that affects a single direction.

use std::io;
use std::net::{self, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use actix_web::{App, HttpResponse, HttpServer, dev, rt, web};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::watch;
use tokio::{task, time};

/// Longest wait for the relay to apply a control call.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a failed bind or accept.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

const BUFFER_BYTES: usize = 64 * 1024;

/// State of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Direction {
    /// Bytes are forwarded.
    #[default]
    Open,
    /// Connections stay open and nothing is forwarded, not even the end of a
    /// stream.
    Frozen,
    /// New connections are refused and open ones are closed.
    Closed,
}

/// State of both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Link {
    /// From the client to the target.
    pub forward: Direction,
    /// From the target to the client.
    pub backward: Direction,
    /// Delay of bytes in each direction, in milliseconds.
    pub delay_ms: u64,
}

impl Link {
    fn is_closed(self) -> bool {
        self.forward == Direction::Closed || self.backward == Direction::Closed
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    link: Link,
    /// Number of the last change.
    changes: u64,
    /// Number of the last change that closed the link. Connections compare
    /// numbers, since they may miss a close that is immediately followed by an
    /// opening.
    last_close: u64,
}

/// Body of `POST /link`. Absent fields leave the setting as it is.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// New state of the forward direction.
    pub forward: Option<Direction>,
    /// New state of the backward direction.
    pub backward: Option<Direction>,
    /// New delay in each direction.
    pub delay_ms: Option<u64>,
}

/// A relay, and the number of bytes that it has forwarded.
#[derive(Debug)]
pub struct Relay {
    listen: SocketAddr,
    to: String,
    state: watch::Sender<State>,
    applied: watch::Sender<u64>,
    open: AtomicU64,
    forward_bytes: AtomicU64,
    backward_bytes: AtomicU64,
}

impl Relay {
    /// Returns a relay with both directions open.
    pub fn new(listen: SocketAddr, to: String) -> Self {
        Relay {
            listen,
            to,
            state: watch::Sender::default(),
            applied: watch::Sender::default(),
            open: AtomicU64::new(0),
            forward_bytes: AtomicU64::new(0),
            backward_bytes: AtomicU64::new(0),
        }
    }

    /// Accepts connections until the task is dropped. Must run in a local task
    /// set.
    pub async fn serve(self: Arc<Self>, first: net::TcpListener) -> io::Result<()> {
        first.set_nonblocking(true)?;
        let mut listener = Some(TcpListener::from_std(first)?);
        let mut changes = self.state.subscribe();
        loop {
            let state = *changes.borrow_and_update();
            if state.link.is_closed() {
                listener = None;
            } else if listener.is_none() {
                match TcpListener::bind(self.listen).await {
                    Ok(bound) => listener = Some(bound),
                    Err(error) => {
                        log::warn!("cannot bind {}: {error}", self.listen);
                        time::sleep(RETRY_INTERVAL).await;
                        continue;
                    }
                }
            }
            self.applied.send_replace(state.changes);
            let accept = async {
                match &listener {
                    Some(listener) => listener.accept().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                _ = changes.changed() => {}
                accepted = accept => match accepted {
                    Ok((stream, _)) => {
                        task::spawn_local(Arc::clone(&self).connect(stream, state.last_close));
                    }
                    Err(error) => {
                        log::warn!("accept failed: {error}");
                        time::sleep(RETRY_INTERVAL).await;
                    }
                },
            }
        }
    }

    async fn connect(self: Arc<Self>, client: TcpStream, last_close: u64) {
        let target = match TcpStream::connect(&self.to).await {
            Ok(target) => target,
            Err(error) => {
                log::warn!("cannot connect to {}: {error}", self.to);
                return;
            }
        };
        let _ = client.set_nodelay(true);
        let _ = target.set_nodelay(true);
        self.open.fetch_add(1, Ordering::Relaxed);
        let (client_read, client_write) = client.into_split();
        let (target_read, target_write) = target.into_split();
        let forward = self.copy(
            client_read,
            target_write,
            |link| link.forward,
            &self.forward_bytes,
        );
        let backward = self.copy(
            target_read,
            client_write,
            |link| link.backward,
            &self.backward_bytes,
        );
        let mut changes = self.state.subscribe();
        tokio::select! {
            _ = async { tokio::join!(forward, backward) } => {}
            _ = changes.wait_for(|state| state.last_close != last_close) => {}
        }
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    async fn copy(
        &self,
        mut from: tcp::OwnedReadHalf,
        mut to: tcp::OwnedWriteHalf,
        direction: impl Fn(&Link) -> Direction,
        count: &AtomicU64,
    ) {
        let mut changes = self.state.subscribe();
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = from.read(&mut buffer).await.unwrap_or(0);
            let delay = changes.borrow().link.delay_ms;
            if delay > 0 {
                time::sleep(Duration::from_millis(delay)).await;
            }
            // While the direction is frozen, bytes already read are held here.
            let opened = changes.wait_for(|state| direction(&state.link) == Direction::Open);
            if opened.await.is_err() {
                return;
            }
            if read == 0 {
                let _ = to.shutdown().await;
                return;
            }
            if to.write_all(&buffer[..read]).await.is_err() {
                return;
            }
            count.fetch_add(read as u64, Ordering::Relaxed);
        }
    }
}

/// Starts the control server. Must be called inside an actix system.
pub fn run_control(listener: net::TcpListener, relay: Arc<Relay>) -> io::Result<dev::Server> {
    let relay = web::Data::from(relay);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::clone(&relay))
            .route("/link", web::post().to(change))
            .route("/link", web::get().to(status))
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(1)
    .listen(listener)?
    .run();
    Ok(server)
}

/// Applies a change and answers once the listener has applied it.
async fn change(relay: web::Data<Relay>, change: web::Json<Change>) -> HttpResponse {
    let mut number = 0;
    relay.state.send_modify(|state| {
        state.changes += 1;
        number = state.changes;
        state.link.forward = change.forward.unwrap_or(state.link.forward);
        state.link.backward = change.backward.unwrap_or(state.link.backward);
        state.link.delay_ms = change.delay_ms.unwrap_or(state.link.delay_ms);
        if state.link.is_closed() {
            state.last_close = number;
        }
    });
    let mut applied = relay.applied.subscribe();
    let wait = applied.wait_for(|applied| *applied >= number);
    if rt::time::timeout(APPLY_TIMEOUT, wait).await.is_err() {
        return HttpResponse::InternalServerError()
            .json(json!({"error": "the listener did not apply the change in time"}));
    }
    status(relay).await
}

async fn status(relay: web::Data<Relay>) -> HttpResponse {
    let link = relay.state.borrow().link;
    HttpResponse::Ok().json(json!({
        "forward": link.forward,
        "backward": link.backward,
        "open": relay.open.load(Ordering::Relaxed),
        "forward_bytes": relay.forward_bytes.load(Ordering::Relaxed),
        "backward_bytes": relay.backward_bytes.load(Ordering::Relaxed),
    }))
}
