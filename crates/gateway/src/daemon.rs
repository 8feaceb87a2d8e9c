//! A daemon: its tasks, its servers and its planned stop.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::clock;
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

/// Time for the balancer to notice that the daemon is no longer ready: two
/// questions, one second apart, and their answers.
const NOTICE: Duration = Duration::from_millis(2300);

/// Time before the end of the grace at which the process ends in any case.
const RESERVE: Duration = Duration::from_millis(250);

/// Period in which a stopping daemon looks whether all requests have ended.
const LOOK: Duration = Duration::from_millis(20);

/// Connections of callers that wait to be accepted at most.
const BACKLOG: u32 = 1024;

/// Why a daemon ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// An address could not be used.
    #[error("a listening address can't be used")]
    Listen,
    /// Signals could not be set up.
    #[error("the process can't be set up")]
    Setup,
}

/// Runs a daemon until its planned stop has ended.
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
            log::error!(event = "control_failed", error = error.to_string(); "the control server ended");
        }
    });
    log::info!(event = "started", listen = settings.listen.to_string(), peer = peer.to_string(); "daemon started");

    let (fetch, fetching) = Fetcher::new(Rc::clone(&host));
    actix_rt::spawn(fetching);
    actix_rt::spawn(Exchange::new(Rc::clone(&host), socket, fetch.clone()).run());
    actix_rt::spawn(replication::run(Rc::clone(&host), store, fetch));
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
        socket.listen(BACKLOG)
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

/// Turns new callers away, lets the balancer notice, and waits for the
/// requests that are being served.
async fn stop(host: &Host) {
    let began: Instant = host.now();
    host.stopping.set(true);
    host.stopping_since.set(Some(began));
    host.shared.set_ready(false);
    host.members.borrow_mut().set_leaving();
    host.request_flush();
    log::info!(event = "stopping", serving = host.serving.get(); "planned stop begins");
    let end = began + host.reloadable().grace_period.saturating_sub(RESERVE);
    loop {
        tokio::time::sleep(LOOK).await;
        let now = host.now();
        let noticed = now >= began + NOTICE;
        if (noticed && host.serving.get() == 0) || now >= end {
            break;
        }
    }
    log::info!(event = "stopped", serving = host.serving.get(), taken_ms = began.elapsed().as_millis() as u64; "daemon stopped");
}
