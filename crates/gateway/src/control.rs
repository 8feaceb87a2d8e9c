//! The HTTP server for readiness checks, other daemons and metrics. It runs on
//! its own thread, so that it answers also while the request path is
//! overloaded.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Instant,
};

use actix_web::{App, HttpResponse, HttpServer, web};
use error_stack::{Report, ResultExt};

use crate::{
    catalog::Catalog,
    history::History,
    metrics,
    peer::{
        client::{COPY_PATH, Snapshot, Versions},
        members::Members,
    },
    replica::{Freshness, Proof, Replica},
    store,
};

/// The control server can't be started.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the control server can't be started")]
pub struct Error;

/// The catalog and hosts that are served to other daemons.
#[derive(Clone, Debug)]
struct Published {
    catalog: Catalog,
    history: Arc<History>,
    freshness: Freshness,
    at: Instant,
    hosts: Vec<store::Host>,
    hosts_digest: u64,
}

/// State that the request path shares with the control server.
#[derive(Debug)]
pub struct Shared {
    ready: AtomicBool,
    published: Mutex<Option<Published>>,
    metrics: Arc<metrics::Registry>,
}

impl Shared {
    /// Creates the state of a daemon that is not ready.
    pub fn new(metrics: Arc<metrics::Registry>) -> Self {
        Self {
            ready: AtomicBool::new(false),
            published: Mutex::new(None),
            metrics,
        }
    }

    /// Sets whether the load balancer should send callers to this daemon.
    /// Returns whether that is a change.
    pub fn set_ready(&self, ready: bool) -> bool {
        let changed = self.ready.swap(ready, Ordering::AcqRel) != ready;
        if changed {
            log::info!(event = "readiness", ready = ready; "readiness changed");
        }
        changed
    }

    /// Returns whether the load balancer should send callers to this daemon.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Makes the copy `replica` available to other daemons as it is at `now`.
    pub fn publish_catalog(&self, replica: &Replica, now: Instant) {
        let mut published = self
            .published
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (hosts, hosts_digest) = published
            .take()
            .map(|published| (published.hosts, published.hosts_digest))
            .unwrap_or_default();
        *published = Some(Published {
            catalog: replica.catalog().clone(),
            history: Arc::clone(replica.history()),
            freshness: replica.freshness(now),
            at: now,
            hosts,
            hosts_digest,
        });
    }

    /// Makes the hosts that `members` knows available to other daemons. Has no
    /// effect before the first catalog.
    pub fn publish_hosts(&self, members: &Members) {
        let mut published = self
            .published
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(published) = &mut *published {
            published.hosts = members.hosts();
            published.hosts_digest = members.digest();
        }
    }

    /// Encodes the published copy without the parts that `versions` has; `None`
    /// if none was published yet.
    fn copy(&self, versions: Versions) -> Option<Result<Vec<u8>, rmp_serde::encode::Error>> {
        let published = self
            .published
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()?;
        let since = published.at.elapsed();
        let aged = |proof: Option<Proof>| proof.map(|proof| proof.aged(since));
        let freshness = Freshness {
            configuration_proof: aged(published.freshness.configuration_proof),
            upstreams_proof: aged(published.freshness.upstreams_proof),
            ..published.freshness
        };
        let mut catalog = published.catalog;
        if versions.configuration == freshness.configuration {
            catalog.configuration = None;
        }
        let mut changes = None;
        if versions.digest == freshness.digest {
            catalog.upstreams = None;
        } else if versions.upstreams > 0 {
            changes = published.history.since(versions.upstreams);
        }
        if changes.is_some() {
            catalog.upstreams = None;
        }
        let mut hosts = published.hosts;
        if versions.hosts == published.hosts_digest {
            hosts.clear();
        }
        Some(rmp_serde::to_vec(&Snapshot {
            catalog,
            freshness,
            hosts,
            changes,
        }))
    }
}

/// Starts the server on `addresses`. Fails if it can't listen on one of them.
pub fn start(
    shared: Arc<Shared>,
    ready_path: &'static str,
    addresses: &[SocketAddr],
) -> Result<actix_web::dev::Server, Report<Error>> {
    let mut server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::from(Arc::clone(&shared)))
            .route(ready_path, web::get().to(ready))
            .route("/metrics", web::get().to(show_metrics))
            .route(COPY_PATH, web::get().to(show_copy))
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(1);
    for address in addresses {
        server = server
            .bind(address)
            .change_context(Error)
            .attach_with(|| address.to_string())?;
    }
    Ok(server.run())
}

async fn ready(shared: web::Data<Shared>) -> HttpResponse {
    if shared.is_ready() {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

async fn show_metrics(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(shared.metrics.render())
}

async fn show_copy(shared: web::Data<Shared>, versions: web::Query<Versions>) -> HttpResponse {
    match shared.copy(versions.into_inner()) {
        None => HttpResponse::ServiceUnavailable().finish(),
        Some(Ok(bytes)) => {
            shared.metrics.copies_served.increment();
            shared.metrics.copy_bytes_served.add(bytes.len() as u64);
            HttpResponse::Ok()
                .content_type("application/msgpack")
                .body(bytes)
        }
        Some(Err(error)) => {
            log::error!(event = "copy_not_encoded", error = error.to_string(); "copy of the catalog can't be encoded");
            HttpResponse::InternalServerError().finish()
        }
    }
}
