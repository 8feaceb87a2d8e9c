//! Callers, and the load balancer that directs them to ready daemons.

use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::client::{self, Cause, Connection, Pace};

/// Time between two rounds of readiness checks, and time-out of each check.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Number of consecutive failed readiness checks after which a daemon is taken
/// out of rotation.
const MISS_THRESHOLD: u32 = 2;

/// Shortest and longest deadline that a caller sends with a request, in milliseconds.
const DEADLINE_MS: RangeInclusive<u64> = 2000..=4000;

/// Longest pause of a caller in the middle of an upload.
const MAX_PAUSE_MS: u64 = 400;

/// Time-out of a caller for connecting and for each read and write.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(6);

/// Sizes of bodies, in bytes, at which the daemons treat them differently: one
/// part of a read, all that is read ahead, and all that is buffered.
const SIZE_EDGES: [usize; 3] = [8 << 10, 64 << 10, 1 << 20];

/// Sizes of answers that the daemons can't buffer whole, in bytes, and the least time
/// over which they are sent, in milliseconds.
const STREAM_BYTES: RangeInclusive<usize> = (1 << 20) + 1..=3 << 20;
const MIN_STREAM_MS: u64 = 200;

/// Share of the lookups that have such an answer.
const STREAM_SHARE: f64 = 0.1;

/// Least time of long work, in milliseconds.
const MIN_WORK_MS: u64 = 300;

/// What is left of the deadline after long work and after the end of a stream, in
/// milliseconds.
const SPARE_MS: u64 = 500;

/// Share of the values at the upper end of their range, where most limits are.
const END_SHARE: f64 = 0.4;

/// Share of the orders that are long work, and share of the requests of a caller that
/// was idle: what a daemon that is about to end takes on has to end in time.
const LONG_SHARE: f64 = 0.05;
const LONG_SHARE_AFTER_IDLE: f64 = 0.5;

/// Share of the requests on a kept connection before which the caller is idle, and
/// for how long, in milliseconds: at most until a daemon that was asked to stop when
/// it began is about to end.
const IDLE_SHARE: f64 = 0.015;
const IDLE_MS: RangeInclusive<u64> = 500..=4800;

/// Largest body of an upload, in bytes.
const MAX_UPLOAD_BYTES: usize = 4 << 20;

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A repeatable request, which may run more than once.
    Lookup,
    /// A request that may run at most once.
    Order,
    /// A request that may run at most once, with a body of many packets.
    Scan,
    /// A lookup on the route that was added last, if there is one.
    Added,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// An answer.
    Answered {
        /// Its status.
        status: u16,
        /// Whether it has the request's id, is complete, and has the header
        /// `x-server-stamp`.
        is_valid: bool,
    },
    /// The connection could not be opened.
    NotConnected,
    /// The connection ended without a complete answer.
    Cut,
    /// No answer arrived within the time-out.
    Silent,
}

/// One request and its end.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Request id.
    pub id: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Number of the daemon.
    pub host: usize,
    /// Version of the route for [`Kind::Added`].
    pub version: u64,
    /// When it was sent.
    pub sent: Instant,
    /// Deadline that was sent with it.
    pub deadline: Duration,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: End,
    /// Whether its answer is too large for a daemon to hold whole.
    pub is_streamed: bool,
}

/// State shared by the callers, the load balancer and the plan.
#[derive(Debug)]
pub struct Shared {
    /// Addresses that callers connect to, by daemon.
    pub caller_addresses: Vec<String>,
    /// Addresses of the readiness checks, by daemon.
    pub ready_addresses: Vec<String>,
    rotation: Vec<AtomicBool>,
    /// Newest version whose added route all daemons must serve by now; 0 if there
    /// is none.
    pub added_version: AtomicU64,
    /// Whether the soak run has ended.
    pub stopped: AtomicBool,
    exchanges: Mutex<Vec<Exchange>>,
}

impl Shared {
    /// Returns the state before the first request, with all daemons in rotation.
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

    /// Returns all requests so far.
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

    /// Returns a random daemon in rotation, or any daemon if none is.
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

/// Checks the readiness of all daemons in turn until the run has ended.
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

/// Sends requests one after the other until the run has ended. A connection that
/// is reused stays with its daemon.
pub fn send_requests(shared: &Shared, caller: usize, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(1000) + caller as u64);
    let mut retained: Option<(usize, Connection)> = None;
    for number in 0.. {
        if shared.is_stopped() {
            return;
        }
        let is_idle = retained.is_some() && rng.random_bool(IDLE_SHARE);
        let pause = if is_idle {
            rng.random_range(IDLE_MS)
        } else {
            rng.random_range(5..40)
        };
        thread::sleep(Duration::from_millis(pause));
        let (kind, version) = kind(shared, &mut rng);
        let is_long = match kind {
            _ if is_idle => rng.random_bool(LONG_SHARE_AFTER_IDLE),
            Kind::Order => rng.random_bool(LONG_SHARE),
            _ => false,
        };
        let kind = if is_long { Kind::Order } else { kind };
        let id = format!("soak-{caller}-{number}");
        let sent = Instant::now();
        let (host, opened) = match retained.take() {
            Some((host, connection)) => (host, Ok(connection)),
            None => {
                let host = shared.pick(&mut rng);
                (
                    host,
                    Connection::open(&shared.caller_addresses[host], CONNECTION_TIMEOUT),
                )
            }
        };
        let deadline = Duration::from_millis(draw(&mut rng, DEADLINE_MS));
        let is_streamed = kind == Kind::Lookup && rng.random_bool(STREAM_SHARE);
        let end = match opened {
            Err(_) => End::NotConnected,
            Ok(mut connection) => {
                let request = Request {
                    kind,
                    is_long,
                    is_streamed,
                    version,
                    id: &id,
                    deadline,
                };
                let (end, keeps_alive) = request.exchange(&mut connection, &mut rng);
                if keeps_alive && rng.random_bool(0.9) {
                    retained = Some((host, connection));
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
            deadline,
            ended: Instant::now(),
            end,
            is_streamed,
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

/// Returns the path prefix of the route that configuration `version` adds.
pub fn added_prefix(version: u64) -> String {
    format!("/added{version}/")
}

/// Returns a value from `range`, often its upper end.
fn draw(rng: &mut SmallRng, range: RangeInclusive<u64>) -> u64 {
    if rng.random_bool(END_SHARE) {
        *range.end()
    } else {
        rng.random_range(range)
    }
}

/// Returns the size of a body: often one beside an edge, rarely a large one.
fn body_bytes(rng: &mut SmallRng, max_bytes: usize) -> usize {
    let bytes = match rng.random_range(0..20) {
        0..14 => rng.random_range(1000..200_000),
        14..19 => SIZE_EDGES[rng.random_range(0..SIZE_EDGES.len())] + rng.random_range(0..3) - 1,
        _ => rng.random_range(SIZE_EDGES[2]..MAX_UPLOAD_BYTES),
    };
    bytes.min(max_bytes)
}

/// Returns how a body is sent: mostly at once and with its length.
fn pace(rng: &mut SmallRng) -> Pace {
    let pause = if rng.random_bool(0.1) {
        rng.random_range(0..MAX_PAUSE_MS)
    } else {
        0
    };
    Pace {
        is_chunked: rng.random_bool(0.3),
        pause: Duration::from_millis(pause),
    }
}

/// A request that is about to be sent.
struct Request<'a> {
    kind: Kind,
    /// Whether its work takes a large part of its deadline.
    is_long: bool,
    /// Whether its answer is too large for a daemon to hold whole.
    is_streamed: bool,
    version: u64,
    id: &'a str,
    deadline: Duration,
}

impl Request<'_> {
    /// Sends it. Returns how it ended and whether the connection may be used again.
    fn exchange(&self, connection: &mut Connection, rng: &mut SmallRng) -> (End, bool) {
        let longest = self.deadline.as_millis() as u64 - SPARE_MS;
        let (method, path, length) = match self.kind {
            Kind::Lookup if self.is_streamed => {
                let bytes = rng.random_range(STREAM_BYTES);
                let send_ms = draw(rng, MIN_STREAM_MS..=longest);
                let path = format!("/lookup/1?bytes={bytes}&send_ms={send_ms}");
                ("GET", path, 0)
            }
            Kind::Lookup if rng.random_bool(0.3) => {
                let bytes = body_bytes(rng, SIZE_EDGES[2]);
                let chunked = u8::from(rng.random_bool(0.5));
                let path = format!("/lookup/1?bytes={bytes}&chunked={chunked}");
                ("GET", path, 0)
            }
            Kind::Lookup => ("GET", "/lookup/1".to_owned(), 0),
            Kind::Order if self.is_long => {
                let work_ms = draw(rng, MIN_WORK_MS..=longest);
                ("POST", format!("/order/1?work_ms={work_ms}"), 60)
            }
            Kind::Order => ("POST", "/order/1".to_owned(), 60),
            Kind::Scan => (
                "POST",
                "/scan/1".to_owned(),
                body_bytes(rng, MAX_UPLOAD_BYTES),
            ),
            Kind::Added => ("GET", format!("{}1", added_prefix(self.version)), 0),
        };
        let deadline = self.deadline.as_millis().to_string();
        let headers = [("x-request-id", self.id), ("x-deadline-ms", &deadline)];
        let body = vec![7; length];
        let pace = match self.kind {
            Kind::Scan => pace(rng),
            _ => Pace::default(),
        };
        match connection.send_at(pace, method, &path, &headers, &body) {
            Ok(answer) => {
                let end = End::Answered {
                    status: answer.status,
                    is_valid: is_valid(&answer, self.id, &body),
                };
                (end, answer.keeps_alive)
            }
            Err(error) if *error.current_context() == Cause::Timeout => (End::Silent, false),
            Err(_) => (End::Cut, false),
        }
    }
}

/// Returns whether an answer is complete, comes from a server that got the whole
/// `body`, and belongs to the request `id`.
fn is_valid(answer: &client::Answer, id: &str, body: &[u8]) -> bool {
    let has_id = answer.headers.get("x-request-id") == Some(id);
    let checksum = |bytes: &[u8]| format!("{:08x}", crc32fast::hash(bytes));
    let is_complete = answer.headers.get("x-checksum") == Some(&*checksum(&answer.body));
    let is_stamped = answer.headers.get("x-server-stamp").is_some();
    // The server tells the checksum of what it received.
    let received = &answer.json()["crc32"];
    let got_all = received.as_str().is_none_or(|crc| crc == checksum(body));
    has_id && is_complete && is_stamped && got_all
}
