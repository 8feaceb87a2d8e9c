//! A daemon: its actors, its three servers and its planned stop.

use std::{rc::Rc, sync::Arc, time::Duration};

use actix::Actor;
use actix_web::{App, HttpServer, dev::ServerHandle, web};
use dotterelhinge_policy::clock;
use error_stack::{Report, ResultExt};

use crate::{
    admin, configuration, context, coordinator, entry, idempotency, ledger, membership, metrics,
    peer, settings,
};

/// Longest wait of a planned stop without a limit: actix-web takes whole
/// seconds, and a hundred years is as good as none.
const NO_LIMIT: Duration = Duration::from_secs(100 * 365 * 24 * 3600);

/// Time for peers to fetch what they still need after the last request.
const LAST_REPORTS: Duration = Duration::from_millis(500);

/// Longest wait for the hand-over of key ranges at a planned stop.
const KEY_HANDOVER: Duration = Duration::from_secs(5);

/// Idle time after which a caller's connection is closed. Longer than the
/// idle time of usual balancers, which must be the first to close.
const CALLER_KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Longest time for the head of a request. After it the HTTP library answers
/// 408 without an outcome. A process that was paused for longer answers so to
/// requests that waited in its sockets, hence far above the library's 5 s.
const CALLER_HEAD: Duration = Duration::from_secs(60);

/// Why a daemon ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// An address could not be used.
    #[error("a listening address can't be used")]
    Listen,
    /// Signals or metrics could not be set up.
    #[error("the process can't be set up")]
    Setup,
}

/// Runs a daemon until its planned stop has ended.
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
        .keep_alive(CALLER_KEEP_ALIVE)
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
        let limit = context.settings.stop_limit.unwrap_or(NO_LIMIT);
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
        .keep_alive(CALLER_KEEP_ALIVE)
        .client_request_timeout(CALLER_HEAD)
        // A caller that closes its side has gone away: its request is
        // cancelled and so is the attempt on the upstream.
        .h1_allow_half_closed(false)
        .disable_signals()
        .shutdown_timeout(limit.as_secs())
        .bind(address)
        .change_context(Error::Listen)
        .attach_with(|| format!("listen {address}"))?;
        spawn(http.run())
    };
    log::info!(event = "started", listen = context.settings.listen.to_string(), peer = context.settings.peer.to_string(),
        admin = context.settings.admin.to_string(), incarnation = context.incarnation; "daemon started");

    wait_for_stop(&stop).await?;
    context.begin_shutdown();
    membership.do_send(membership::Leave);
    log::info!(event = "stopping", notice_ms = context.settings.stop_notice.as_millis() as u64; "planned stop begins");
    tokio::time::sleep(context.settings.stop_notice).await;
    // The records go to the successors; without them repeats of the keys would
    // be unknown until their window has passed. Requests that are still in
    // flight tell the successors how they end.
    let handed_over = tokio::time::timeout(KEY_HANDOVER, idempotency.send(idempotency::Stop)).await;
    if handed_over.is_err() {
        log::warn!(event = "keys_not_handed_over"; "key ranges could not be handed over in time");
    }
    entry_server.stop(true).await;
    tokio::time::sleep(LAST_REPORTS).await;
    peer_server.stop(true).await;
    admin_server.stop(true).await;
    log::info!(event = "stopped"; "daemon stopped");
    Ok(())
}

fn spawn(server: actix_web::dev::Server) -> ServerHandle {
    let handle = server.handle();
    actix_web::rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!(event = "server_failed", error = error.to_string(); "server ended with an error");
        }
    });
    handle
}

async fn wait_for_stop(stop: &tokio::sync::Notify) -> Result<(), Report<Error>> {
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
