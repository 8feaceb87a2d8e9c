//! Callers, and the balancer that sends them to ready daemons.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::client::{self, Cause, Connection};

/// Time between two questions whether a daemon is ready.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Questions in a row without a good answer that take a daemon out.
const MISS_THRESHOLD: u32 = 2;

/// Time that a caller gives a request.
const REQUEST_DEADLINE: Duration = Duration::from_secs(4);

/// Time after which a caller gives up on a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(6);

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// It may run more than once.
    Lookup,
    /// It runs once at most.
    Order,
    /// The same, with a body of many packets.
    Scan,
    /// A lookup on the route that was added last, if there is one.
    Added,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// An answer.
    Answered {
        /// Its status.
        status: u16,
        /// Whether it is this request's own, whole, and signed by a server.
        is_valid: bool,
    },
    /// The connection could not be opened.
    NotConnected,
    /// The connection ended without an answer.
    Cut,
    /// No answer came.
    Silent,
}

/// One request and its end.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Id of the request.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// Number of the daemon.
    pub host: usize,
    /// Version of the route for [`Kind::Added`].
    pub version: u64,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: End,
}

/// State that callers, balancer and plan share.
#[derive(Debug)]
pub struct Shared {
    /// Addresses for callers, by daemon.
    pub caller_addresses: Vec<String>,
    /// Addresses for the balancer's question, by daemon.
    pub ready_addresses: Vec<String>,
    rotation: Vec<AtomicBool>,
    /// Newest version whose route all daemons must serve by now; 0 without one.
    pub added_version: AtomicU64,
    /// Whether the run is over.
    pub stopped: AtomicBool,
    exchanges: Mutex<Vec<Exchange>>,
}

impl Shared {
    /// State before the first request; all daemons are ready.
    pub fn new(caller_addresses: Vec<String>, ready_addresses: Vec<String>) -> Arc<Self> {
        Arc::new(Self {
            rotation: caller_addresses
                .iter()
                .map(|_| AtomicBool::new(true))
                .collect(),
            caller_addresses,
            ready_addresses,
            added_version: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            exchanges: Mutex::default(),
        })
    }

    /// All requests so far.
    pub fn exchanges(&self) -> Vec<Exchange> {
        let exchanges = self.exchanges.lock();
        exchanges.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn record(&self, exchange: Exchange) {
        let exchanges = self.exchanges.lock();
        exchanges
            .unwrap_or_else(PoisonError::into_inner)
            .push(exchange);
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// A random daemon in rotation, or any if none is.
    fn pick(&self, rng: &mut SmallRng) -> usize {
        let ready: Vec<usize> = (0..self.caller_addresses.len())
            .filter(|&host| self.rotation[host].load(Ordering::Relaxed))
            .collect();
        match ready.len() {
            0 => rng.random_range(0..self.caller_addresses.len()),
            count => ready[rng.random_range(0..count)],
        }
    }
}

/// Asks one daemon after the other whether it is ready until the run is over.
pub fn check_readiness(shared: &Shared) {
    let mut misses = vec![0; shared.ready_addresses.len()];
    while !shared.is_stopped() {
        for (host, address) in shared.ready_addresses.iter().enumerate() {
            let answer =
                client::request(address, "GET", "/api/ready", &[], b"", READY_CHECK_INTERVAL);
            let ready = answer.is_ok_and(|answer| answer.status == 200);
            misses[host] = if ready { 0 } else { misses[host] + 1 };
            shared.rotation[host].store(misses[host] < MISS_THRESHOLD, Ordering::Relaxed);
        }
        thread::sleep(READY_CHECK_INTERVAL);
    }
}

/// Sends one request after the other until the run is over. A connection stays
/// with its daemon as long as it is open.
pub fn send_requests(shared: &Shared, caller: usize, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(1000) + caller as u64);
    let mut kept: Option<(usize, Connection)> = None;
    for number in 0.. {
        if shared.is_stopped() {
            return;
        }
        thread::sleep(Duration::from_millis(rng.random_range(5..40)));
        let (kind, version) = kind(shared, &mut rng);
        let id = format!("soak-{caller}-{number}");
        let sent = Instant::now();
        let (host, opened) = match kept.take() {
            Some((host, connection)) => (host, Ok(connection)),
            None => {
                let host = shared.pick(&mut rng);
                (
                    host,
                    Connection::open(&shared.caller_addresses[host], CONNECTION_TIMEOUT),
                )
            }
        };
        let end = match opened {
            Err(_) => End::NotConnected,
            Ok(mut connection) => {
                let (end, keeps) = exchange(&mut connection, kind, version, &id, &mut rng);
                if keeps && rng.random_bool(0.9) {
                    kept = Some((host, connection));
                }
                end
            }
        };
        shared.record(Exchange {
            id,
            kind,
            host,
            version,
            sent,
            ended: Instant::now(),
            end,
        });
    }
}

fn kind(shared: &Shared, rng: &mut SmallRng) -> (Kind, u64) {
    let added = shared.added_version.load(Ordering::Relaxed);
    match rng.random_range(0..10) {
        0..3 => (Kind::Lookup, 0),
        3..7 => (Kind::Order, 0),
        7..9 => (Kind::Scan, 0),
        _ if added > 0 => (Kind::Added, added),
        _ => (Kind::Lookup, 0),
    }
}

/// Path of the route that configuration `version` added.
pub fn added_prefix(version: u64) -> String {
    format!("/added{version}/")
}

fn exchange(
    connection: &mut Connection,
    kind: Kind,
    version: u64,
    id: &str,
    rng: &mut SmallRng,
) -> (End, bool) {
    let (method, path, length) = match kind {
        Kind::Lookup => ("GET", "/lookup/1".to_owned(), 0),
        Kind::Order => ("POST", "/order/1".to_owned(), 60),
        Kind::Scan => (
            "POST",
            "/scan/1".to_owned(),
            rng.random_range(1000..200_000),
        ),
        Kind::Added => ("GET", format!("{}1", added_prefix(version)), 0),
    };
    let deadline = REQUEST_DEADLINE.as_millis().to_string();
    let headers = [("x-request-id", id), ("x-deadline-ms", &deadline)];
    match connection.send(method, &path, &headers, &vec![7; length]) {
        Ok(answer) => {
            let own = answer.headers.get("x-request-id") == Some(id);
            let checksum = format!("{:08x}", crc32fast::hash(&answer.body));
            let whole = answer.headers.get("x-checksum") == Some(&*checksum);
            let signed = answer.headers.get("x-server-stamp").is_some();
            let end = End::Answered {
                status: answer.status,
                is_valid: own && whole && signed,
            };
            (end, answer.keeps_alive)
        }
        Err(error) if *error.current_context() == Cause::Timeout => (End::Silent, false),
        Err(_) => (End::Cut, false),
    }
}
