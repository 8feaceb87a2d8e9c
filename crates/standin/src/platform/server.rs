//! HTTP interface of the platform stand-in.

use std::any::Any;
use std::future;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, dev, rt, web};
use serde::Deserialize;
use serde_json::json;

use crate::platform::state::{self, Access, Admission, Outcome, State};
use crate::socket;

/// Largest stored object. A configuration of the target size is a few tens of
/// megabytes.
const MAX_OBJECT_BYTES: usize = 256 * 1024 * 1024;

type Shared = web::Data<Mutex<State>>;

/// Second handle of a connection, used to close it without an answer.
struct Connection(TcpStream);

/// A bound platform server.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
}

impl Server {
    /// Binds the listener; fails if the address is not available.
    pub fn bind(address: &str) -> io::Result<Self> {
        let listener = socket::bind(address)?;
        let address = listener.local_addr()?;
        Ok(Server { listener, address })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts serving. Must be called inside an actix system.
    pub fn run(self) -> io::Result<dev::Server> {
        let state: Shared = web::Data::new(Mutex::new(State::new(Instant::now())));
        let server = HttpServer::new(move || {
            App::new()
                .app_data(Shared::clone(&state))
                .app_data(web::PayloadConfig::new(MAX_OBJECT_BYTES))
                .app_data(web::JsonConfig::default().limit(MAX_OBJECT_BYTES))
                .route("/v1/table/transact", web::post().to(transact))
                .route("/v1/table/row", web::get().to(row))
                .route("/v1/table/rows", web::get().to(rows))
                .route("/v1/objects/{name:.+}", web::put().to(put_object))
                .route("/v1/objects/{name:.+}", web::get().to(object))
                .route("/v1/hosts", web::get().to(hosts))
                .route("/control", web::post().to(control))
                .route("/counters", web::get().to(counters))
        })
        .on_connect(|connection: &dyn Any, data| {
            if let Some(stream) = connection.downcast_ref::<rt::net::TcpStream>()
                && let Ok(handle) = stream.as_fd().try_clone_to_owned()
            {
                data.insert(Arc::new(Connection(TcpStream::from(handle))));
            }
        })
        .workers(1)
        .backlog(4096)
        .disable_signals()
        .shutdown_timeout(1)
        .listen(self.listener)?
        .run();
        Ok(server)
    }
}

fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves one call: runs `effect` at once if the call is admitted, then delays
/// or drops the answer as the control settings say.
async fn serve(
    request: &HttpRequest,
    state: &Shared,
    access: Access,
    effect: impl FnOnce(&mut State) -> HttpResponse,
) -> HttpResponse {
    let (admission, answer) = {
        let mut state = lock(state);
        let admission = state.admit(access, Instant::now());
        let answer = match admission {
            Admission::Serve { .. } => effect(&mut state),
            Admission::Refuse => {
                HttpResponse::TooManyRequests().json(json!({"error": "over the limit"}))
            }
            Admission::Down | Admission::Silent => {
                HttpResponse::ServiceUnavailable().json(json!({"error": "down"}))
            }
        };
        (admission, answer)
    };
    match admission {
        Admission::Serve { delay, lose_answer } => {
            if !delay.is_zero() {
                rt::time::sleep(delay).await;
            }
            if lose_answer && let Some(connection) = request.conn_data::<Arc<Connection>>() {
                // The answer is then written to a closed socket and dropped.
                let _ = connection.0.shutdown(Shutdown::Both);
            }
        }
        Admission::Silent => future::pending::<()>().await,
        Admission::Refuse | Admission::Down => {}
    }
    answer
}

async fn transact(
    request: HttpRequest,
    state: Shared,
    transaction: web::Json<state::Transaction>,
) -> HttpResponse {
    serve(&request, &state, Access::Write, |state| {
        match state.transact(&transaction) {
            Outcome::Applied => HttpResponse::Ok().json(json!({"applied": true})),
            Outcome::Conflict(current) => {
                HttpResponse::Conflict().json(json!({"applied": false, "current": current}))
            }
            Outcome::Invalid(error) => HttpResponse::BadRequest().json(json!({"error": error})),
        }
    })
    .await
}

#[derive(Deserialize)]
struct RowQuery {
    key: String,
}

async fn row(request: HttpRequest, state: Shared, query: web::Query<RowQuery>) -> HttpResponse {
    serve(&request, &state, Access::Read, |state| {
        match state.row(&query.key) {
            Some(value) => HttpResponse::Ok().json(json!({"key": query.key, "value": value})),
            None => HttpResponse::NotFound().json(json!({"error": "no such row"})),
        }
    })
    .await
}

#[derive(Deserialize)]
struct RowsQuery {
    #[serde(default)]
    prefix: String,
    after: Option<String>,
    limit: Option<usize>,
}

async fn rows(request: HttpRequest, state: Shared, query: web::Query<RowsQuery>) -> HttpResponse {
    serve(&request, &state, Access::Read, |state| {
        let limit = query.limit.unwrap_or(state::MAX_ROWS);
        let rows = state.rows(&query.prefix, query.after.as_deref(), limit);
        HttpResponse::Ok().json(json!({"rows": rows}))
    })
    .await
}

async fn put_object(
    request: HttpRequest,
    state: Shared,
    name: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    serve(&request, &state, Access::Write, |state| {
        state.put_object(name.into_inner(), body);
        HttpResponse::NoContent().finish()
    })
    .await
}

async fn object(request: HttpRequest, state: Shared, name: web::Path<String>) -> HttpResponse {
    serve(&request, &state, Access::Read, |state| {
        match state.object(&name) {
            Some(body) => HttpResponse::Ok()
                .content_type("application/octet-stream")
                .body(body),
            None => HttpResponse::NotFound().json(json!({"error": "no such object"})),
        }
    })
    .await
}

async fn hosts(request: HttpRequest, state: Shared) -> HttpResponse {
    serve(&request, &state, Access::Read, |state| {
        let hosts = state.hosts(Instant::now());
        HttpResponse::Ok().json(json!({"hosts": &*hosts}))
    })
    .await
}

async fn control(state: Shared, body: web::Json<state::Control>) -> HttpResponse {
    lock(&state).control(body.into_inner(), Instant::now());
    HttpResponse::NoContent().finish()
}

async fn counters(state: Shared) -> HttpResponse {
    HttpResponse::Ok().json(lock(&state).counters())
}
