//! Control API of the backend stand-in.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use actix_web::{App, HttpResponse, HttpServer, dev, rt, web};
use serde::Deserialize;
use serde_json::json;

use crate::backend::fault;
use crate::backend::record::Record;
use crate::backend::server::Server;

/// Longest wait for the listeners to apply a fault.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// The servers of one process and their request record.
#[derive(Clone, Debug)]
pub struct Backends {
    /// Servers, indexed by number.
    pub servers: Arc<[Arc<Server>]>,
    /// Record of the requests that began.
    pub record: Arc<Record>,
}

/// Starts the control server. Must be called inside an actix system.
pub fn run(listener: TcpListener, backends: Backends) -> io::Result<dev::Server> {
    let backends = web::Data::new(backends);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::clone(&backends))
            .route("/record", web::get().to(record))
            .route("/arrivals", web::get().to(arrivals))
            .route("/reset", web::post().to(reset))
            .route("/fault", web::post().to(set_fault))
            .route("/servers", web::get().to(servers))
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(1)
    .listen(listener)?
    .run();
    Ok(server)
}

#[derive(Deserialize)]
struct RecordQuery {
    #[serde(default)]
    after: u64,
}

async fn record(backends: web::Data<Backends>, query: web::Query<RecordQuery>) -> HttpResponse {
    HttpResponse::Ok().json(backends.record.after(query.after))
}

async fn arrivals(backends: web::Data<Backends>) -> HttpResponse {
    HttpResponse::Ok().json(backends.record.arrivals())
}

async fn reset(backends: web::Data<Backends>) -> HttpResponse {
    backends.record.reset();
    HttpResponse::NoContent().finish()
}

async fn servers(backends: web::Data<Backends>) -> HttpResponse {
    let servers: Vec<_> = backends.servers.iter().map(|s| s.status()).collect();
    HttpResponse::Ok().json(json!({"servers": servers}))
}

/// Sets a fault and answers once the listeners have applied it.
async fn set_fault(backends: web::Data<Backends>, call: web::Json<fault::Call>) -> HttpResponse {
    let call = call.into_inner();
    if let Err(error) = call.fault.validate() {
        return HttpResponse::BadRequest().json(json!({"error": error}));
    }
    let numbers = call
        .servers
        .unwrap_or_else(|| (0..backends.servers.len()).collect());
    let Some(servers) = numbers
        .iter()
        .map(|number| backends.servers.get(*number))
        .collect::<Option<Vec<_>>>()
    else {
        return HttpResponse::BadRequest().json(json!({"error": "no such server"}));
    };
    let at_ms = backends.record.elapsed_ms();
    let changes: Vec<_> = servers
        .iter()
        .map(|server| server.set_fault(call.class.clone(), call.fault.clone()))
        .collect();
    for (server, change) in servers.iter().zip(changes) {
        let mut applied = server.applied.subscribe();
        let wait = applied.wait_for(|number| *number >= change);
        if rt::time::timeout(APPLY_TIMEOUT, wait).await.is_err() {
            let error = format!("{} did not apply the fault in time", server.name);
            return HttpResponse::InternalServerError().json(json!({"error": error}));
        }
    }
    HttpResponse::Ok().json(json!({"at_ms": at_ms}))
}
