//! Starts a daemon's actors and its three servers, and runs its planned
//! shutdown.

use std::{rc::Rc, sync::Arc, time::Duration};

use actix::Actor;
use actix_web::{App, HttpServer, dev::ServerHandle, web};
use dotterelhinge_policy::clock;
use error_stack::{Report, ResultExt};

use crate::{
    admin, configuration, context, coordinator, entry, idempotency, ledger, membership, metrics,
    peer, settings,
};

/// Shutdown timeout if none is set: 100 years, since actix-web requires a number
/// of seconds.
const UNLIMITED_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(100 * 365 * 24 * 3600);

/// Time between the last request and the end of the peer server, in which the
/// last reports are sent and peers can fetch what they still need.
const FINAL_REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Maximum time for the handover of key ranges at a planned shutdown.
const KEY_HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle time after which a connection is closed. Longer than the idle time of
/// common load balancers: the balancer must be the first to close.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// Maximum time to receive the head of a request. After it, actix-web responds
/// with 408 and without an outcome header. This also happens to requests that
/// waited in the sockets of a process that was paused for longer, so the value is
/// far above the 5 s that actix-web uses by default.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a daemon could not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A listening address could not be bound.
    #[error("a listening address can't be bound")]
    Listen,
    /// The signal handlers or the metrics sink could not be set up.
    #[error("signal handlers or the metrics sink can't be set up")]
    Setup,
}

/// Runs a daemon until its planned shutdown has ended. Blocks the calling thread.
/// Fails if a listening address can't be bound, or if the signal handlers or the
/// metrics sink can't be set up.
pub fn run(settings: settings::Settings) -> Result<(), Report<Error>> {
    actix::System::new().block_on(start(settings))
}

async fn start(settings: settings::Settings) -> Result<(), Report<Error>> {
    let metrics = metrics::Registry::new(&settings.host, settings.metrics)
        .change_context(Error::Setup)
        .attach("metrics address")?;
    let context = Arc::new(context::Context::new(
        settings,
        Arc::new(clock::System),
        metrics,
    ));
    let coordinator = coordinator::Actor::new(Arc::clone(&context)).start();
    let ledger = ledger::Actor::new(Arc::clone(&context), coordinator.clone()).start();
    let stop = Arc::new(tokio::sync::Notify::new());
    let configuration = configuration::Actor::new(Arc::clone(&context), ledger.clone()).start();
    let idempotency = idempotency::Actor::new(Arc::clone(&context)).start();
    let membership = membership::Actor::new(
        Arc::clone(&context),
        configuration.clone(),
        idempotency.clone(),
    )
    .start();
    configuration.do_send(configuration::Connect(membership.clone()));

    let peer_server = {
        let server = peer::Server {
            context: Arc::clone(&context),
            coordinator: coordinator.clone(),
            membership: membership.clone(),
            idempotency: idempotency.clone(),
            configuration,
        };
        let address = context.settings.peer;
        let http = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(server.clone()))
                .configure(peer::configure)
        })
        .workers(1)
        .keep_alive(KEEP_ALIVE_TIMEOUT)
        .h1_allow_half_closed(false)
        .disable_signals()
        .shutdown_timeout(1)
        .bind(address)
        .change_context(Error::Listen)
        .attach_with(|| format!("peer {address}"))?;
        spawn(http.run())
    };
    let admin_server = {
        let server = admin::Server {
            context: Arc::clone(&context),
            coordinator: coordinator.clone(),
            shutdown: Arc::clone(&stop),
        };
        let address = context.settings.admin;
        let http = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(server.clone()))
                .configure(admin::configure)
        })
        .workers(1)
        .disable_signals()
        .shutdown_timeout(1)
        .bind(address)
        .change_context(Error::Listen)
        .attach_with(|| format!("admin {address}"))?;
        spawn(http.run())
    };
    let entry_server = {
        let address = context.settings.listen;
        let shutdown_timeout = context
            .settings
            .stop_limit
            .unwrap_or(UNLIMITED_SHUTDOWN_TIMEOUT);
        let shared = Arc::clone(&context);
        let keys = idempotency.clone();
        let http = HttpServer::new(move || {
            let worker = Rc::new(entry::Worker::new(
                Arc::clone(&shared),
                coordinator.clone(),
                ledger.clone(),
                keys.clone(),
            ));
            App::new()
                .app_data(web::Data::new(worker))
                .default_service(web::to(entry::serve))
        })
        .workers(context.settings.workers)
        .keep_alive(KEEP_ALIVE_TIMEOUT)
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        // A caller that closes its side no longer waits for the response: its
        // request and the attempt on the upstream are cancelled.
        .h1_allow_half_closed(false)
        .disable_signals()
        .shutdown_timeout(shutdown_timeout.as_secs())
        .bind(address)
        .change_context(Error::Listen)
        .attach_with(|| format!("listen {address}"))?;
        spawn(http.run())
    };
    log::info!(event = "started", listen = context.settings.listen.to_string(), peer = context.settings.peer.to_string(),
        admin = context.settings.admin.to_string(), incarnation = context.incarnation; "daemon started");

    wait_for_shutdown(&stop).await?;
    context.begin_shutdown();
    membership.do_send(membership::Leave);
    log::info!(event = "stopping", notice_ms = context.settings.stop_notice.as_millis() as u64; "planned shutdown begins");
    tokio::time::sleep(context.settings.stop_notice).await;
    // The new owners of the key ranges get their records. Without them, the state
    // of these keys would be unknown until the repeat window has passed. Requests
    // that are still in flight report their outcome to the new owners.
    let handover =
        tokio::time::timeout(KEY_HANDOVER_TIMEOUT, idempotency.send(idempotency::Stop)).await;
    if handover.is_err() {
        log::warn!(event = "keys_not_handed_over"; "key ranges could not be handed over in time");
    }
    entry_server.stop(true).await;
    tokio::time::sleep(FINAL_REPORT_PERIOD).await;
    peer_server.stop(true).await;
    admin_server.stop(true).await;
    log::info!(event = "stopped"; "daemon stopped");
    Ok(())
}

fn spawn(server: actix_web::dev::Server) -> ServerHandle {
    let handle = server.handle();
    actix_web::rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!(event = "server_failed", error = error.to_string(); "HTTP server ended with an error");
        }
    });
    handle
}

async fn wait_for_shutdown(stop: &tokio::sync::Notify) -> Result<(), Report<Error>> {
    use tokio::signal::unix::{SignalKind, signal};

    let mut terminate = signal(SignalKind::terminate()).change_context(Error::Setup)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(Error::Setup)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = stop.notified() => {}
    }
    Ok(())
}
