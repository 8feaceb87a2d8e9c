//! HTTP interface of the row store.

use std::any::Any;
use std::io;
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};
use std::time::{Duration, Instant};

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, dev, rt, web};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::rows::state::{Access, Admission, Fault, Place, State, Transaction};
use crate::socket;

/// Longest wait of a call of the change feed.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Second handle of a connection, used to close it without an answer.
struct Connection(TcpStream);

/// State of the store, and a channel that signals its changes.
pub struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    started: Instant,
    /// Time by which the store's clock was put forward, in milliseconds.
    advance_ms: AtomicU64,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the store's monotonic time.
    fn now(&self) -> String {
        let elapsed = self.started.elapsed().as_millis() as u64;
        format!("{}ms", elapsed + self.advance_ms.load(Ordering::Relaxed))
    }
}

/// A bound server.
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
        let shared = web::Data::new(Shared {
            state: Mutex::new(State::default()),
            changed: watch::Sender::new(1),
            started: Instant::now(),
            advance_ms: AtomicU64::new(0),
        });
        let server = HttpServer::new(move || {
            App::new()
                .app_data(shared.clone())
                .app_data(web::JsonConfig::default().limit(4 << 20))
                .route("/api/rows-tx", web::post().to(transact))
                .route("/api/rows-get", web::get().to(rows))
                .route("/api/rows-feed", web::get().to(feed))
                .route("/control/transact", web::post().to(control_transact))
                .route("/control/fault", web::post().to(control_fault))
                .route("/control/clock", web::post().to(control_clock))
                .route("/control/compact", web::post().to(control_compact))
                .route("/control/calls", web::get().to(control_calls))
        })
        .on_connect(|connection: &dyn Any, data| {
            if let Some(stream) = connection.downcast_ref::<rt::net::TcpStream>()
                && let Ok(handle) = stream.as_fd().try_clone_to_owned()
            {
                data.insert(Arc::new(Connection(TcpStream::from(handle))));
            }
        })
        .workers(1)
        .disable_signals()
        .shutdown_timeout(1)
        .listen(self.listener)?
        .run();
        Ok(server)
    }
}

/// Admits a call and returns whether its answer is dropped, or returns the
/// error answer of a refused call.
async fn admit(
    request: &HttpRequest,
    shared: &Shared,
    call: &str,
    access: Access,
) -> Result<bool, HttpResponse> {
    let from = request
        .peer_addr()
        .map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |peer| peer.ip());
    let admission = shared.lock().admit(call, access, from, Instant::now());
    match admission {
        Admission::Serve { delay, lose_answer } => {
            if !delay.is_zero() {
                rt::time::sleep(delay).await;
            }
            Ok(lose_answer)
        }
        Admission::Refuse(429) => Err(HttpResponse::TooManyRequests().finish()),
        Admission::Refuse(_) => Err(HttpResponse::ServiceUnavailable().finish()),
        Admission::Silent => {
            std::future::pending::<()>().await;
            Err(HttpResponse::ServiceUnavailable().finish())
        }
    }
}

fn apply(shared: &Shared, transaction: &Transaction) -> HttpResponse {
    let outcome = shared.lock().transact(transaction, Instant::now());
    match outcome {
        Ok(ver) => {
            shared.changed.send_replace(ver);
            HttpResponse::Ok().json(json!({"ver": ver, "now": shared.now()}))
        }
        Err(rows) => HttpResponse::PreconditionFailed().json(json!({
            "rows": rows, "ver": shared.lock().version(), "now": shared.now(),
        })),
    }
}

async fn transact(
    request: HttpRequest,
    shared: web::Data<Shared>,
    transaction: web::Json<Transaction>,
) -> HttpResponse {
    match admit(&request, &shared, "rows-tx", Access::Write).await {
        Ok(lose_answer) => {
            let answer = apply(&shared, &transaction);
            if lose_answer && let Some(connection) = request.conn_data::<Arc<Connection>>() {
                // The answer is then written to a closed socket and dropped.
                let _ = connection.0.shutdown(Shutdown::Both);
            }
            answer
        }
        Err(answer) => answer,
    }
}

#[derive(Deserialize)]
struct RowsQuery {
    table: String,
    #[serde(default)]
    part: String,
    #[serde(default)]
    from: String,
    to: Option<String>,
    limit: Option<usize>,
}

async fn rows(
    request: HttpRequest,
    shared: web::Data<Shared>,
    query: web::Query<RowsQuery>,
) -> HttpResponse {
    if let Err(answer) = admit(&request, &shared, "rows-get", Access::Read).await {
        return answer;
    }
    let state = shared.lock();
    let (rows, more) = state.rows(
        &query.table,
        &query.part,
        &query.from,
        query.to.as_deref(),
        query.limit.unwrap_or(usize::MAX),
    );
    HttpResponse::Ok().json(json!({
        "rows": rows, "hasMore": more, "ver": state.version(), "now": shared.now(),
    }))
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FeedQuery {
    table: String,
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

async fn feed(
    request: HttpRequest,
    shared: web::Data<Shared>,
    query: web::Query<FeedQuery>,
) -> HttpResponse {
    if let Err(answer) = admit(&request, &shared, "rows-feed", Access::Read).await {
        return answer;
    }
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
    let until = tokio::time::Instant::now() + wait;
    let mut changed = shared.changed.subscribe();
    loop {
        changed.mark_unchanged();
        let (rows, ver) = {
            let mut state = shared.lock();
            match state.changes(&query.table, query.after, Instant::now()) {
                None => return HttpResponse::Gone().finish(),
                Some(rows) => (rows, state.version()),
            }
        };
        let is_timed_out = tokio::time::Instant::now() >= until;
        if !rows.is_empty() || is_timed_out {
            return HttpResponse::Ok().json(json!({
                "rows": rows, "ver": ver, "now": shared.now(),
            }));
        }
        // The rows are checked again after a change as well as after the time-out.
        let _ = tokio::time::timeout_at(until, changed.changed()).await;
    }
}

/// Transaction of a test, which bypasses faults and rate limits.
#[derive(Deserialize)]
struct Direct {
    #[serde(default)]
    puts: Vec<DirectPut>,
    #[serde(default)]
    remove: Vec<Place>,
}

#[derive(Deserialize)]
struct DirectPut {
    #[serde(flatten)]
    place: Place,
    #[serde(flatten)]
    content: DirectContent,
}

/// Content of a row, as JSON or as any text.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum DirectContent {
    Json(Value),
    Text(String),
}

async fn control_transact(shared: web::Data<Shared>, direct: web::Json<Direct>) -> HttpResponse {
    use base64::{Engine, engine::general_purpose::STANDARD};

    let direct = direct.into_inner();
    let transaction = Transaction {
        puts: direct
            .puts
            .into_iter()
            .map(|put| crate::rows::state::Put {
                place: put.place,
                value: match put.content {
                    DirectContent::Json(value) => STANDARD.encode(value.to_string()),
                    DirectContent::Text(text) => STANDARD.encode(text),
                },
            })
            .collect(),
        remove: direct.remove,
        ..Transaction::default()
    };
    apply(&shared, &transaction)
}

async fn control_fault(shared: web::Data<Shared>, fault: web::Json<Fault>) -> HttpResponse {
    shared.lock().set_fault(fault.into_inner());
    HttpResponse::NoContent().finish()
}

/// Time by which the store's clock goes forward.
#[derive(Deserialize)]
struct Advance {
    ms: u64,
}

async fn control_clock(shared: web::Data<Shared>, advance: web::Json<Advance>) -> HttpResponse {
    shared.advance_ms.fetch_add(advance.ms, Ordering::Relaxed);
    HttpResponse::NoContent().finish()
}

async fn control_compact(shared: web::Data<Shared>) -> HttpResponse {
    shared.lock().compact();
    HttpResponse::NoContent().finish()
}

async fn control_calls(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.lock().calls())
}
