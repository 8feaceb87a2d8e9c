//! Starts the tasks and servers of a daemon and shuts it down gracefully.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{clock, shutdown::Shutdown};
use error_stack::{Report, ResultExt};
use tokio::{
    net::{TcpListener, TcpSocket, UdpSocket},
    signal::unix::{Signal, SignalKind, signal},
};

use crate::{
    control,
    exchange::Exchange,
    host::Host,
    proxy, reload,
    replication::{self, Fetcher},
    settings,
    store::Store,
};

/// Interval at which a stopping daemon checks whether all requests have ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of caller connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Why a daemon could not start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A listening address could not be bound.
    #[error("a listening address can't be bound")]
    Listen,
    /// Signal handlers could not be installed.
    #[error("signal handlers can't be installed")]
    Setup,
}

/// Runs a daemon until its graceful shutdown has ended.
pub async fn run(
    settings: settings::Settings,
    source: Rc<dyn settings::Source>,
    store: Rc<dyn Store>,
) -> Result<(), Report<Error>> {
    let host = Host::new(settings, Arc::new(clock::System));
    let settings = &host.settings;
    let peer = SocketAddr::from((settings.address, settings.peer_port));
    let socket = UdpSocket::bind(peer)
        .await
        .change_context(Error::Listen)
        .attach_with(|| format!("peers {peer}"))?;
    let listener = listen(settings.listen)?;
    let addresses: Vec<SocketAddr> = [
        Some(settings.ready),
        settings.control,
        Some(peer),
        settings.metrics,
    ]
    .into_iter()
    .flatten()
    .collect();
    let server = control::start(Arc::clone(&host.shared), settings.ready_path, &addresses)
        .change_context(Error::Listen)?;
    actix_rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!(event = "control_failed", error = error.to_string(); "control server ended");
        }
    });
    log::info!(event = "started", listen = settings.listen.to_string(), peer = peer.to_string(); "daemon started");

    let (fetcher, fetching) = Fetcher::new(Rc::clone(&host));
    actix_rt::spawn(fetching);
    actix_rt::spawn(Exchange::new(Rc::clone(&host), socket, fetcher.clone()).run());
    actix_rt::spawn(replication::run(Rc::clone(&host), store, fetcher));
    actix_rt::spawn(reload::run(Rc::clone(&host), source, hangups()?));
    actix_rt::spawn(proxy::serve(Rc::clone(&host), listener));
    wait_for_stop().await?;
    stop(&host).await;
    Ok(())
}

fn listen(address: SocketAddr) -> Result<TcpListener, Report<Error>> {
    let listener = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    listener()
        .change_context(Error::Listen)
        .attach_with(|| format!("callers {address}"))
}

fn hangups() -> Result<Signal, Report<Error>> {
    signal(SignalKind::hangup()).change_context(Error::Setup)
}

async fn wait_for_stop() -> Result<(), Report<Error>> {
    let mut terminate = signal(SignalKind::terminate()).change_context(Error::Setup)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(Error::Setup)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Reports that the daemon is not ready, gives the load balancer time to
/// notice, and waits until every answer has been written whole, at most until
/// shortly before the end of the grace period.
async fn stop(host: &Host) {
    let began: Instant = host.now();
    let shutdown = Shutdown::new(
        &host.settings.shutdown,
        began,
        host.reloadable().grace_period,
    );
    host.shutdown.set(Some(shutdown));
    host.shared.set_ready(false);
    host.members.borrow_mut().set_leaving();
    host.request_flush();
    log::info!(event = "stopping", serving = host.serving.get(); "graceful shutdown begins");
    while !shutdown.is_over(host.now(), host.used_connections.get()) {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if shutdown.is_noticed(host.now()) && !*host.closing.borrow() {
            host.closing.send_replace(true);
            // Idle connections close before the next check.
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
    log::info!(event = "stopped", connections = host.used_connections.get(), serving = host.serving.get(), taken_ms = began.elapsed().as_millis() as u64; "daemon stopped");
}
