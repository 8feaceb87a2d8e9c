//! An upstream: it runs requests one after the other on a connection, keeps a record
//! of them, and drops a request when its connection closes.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::http::{Message, Reader};

/// Requests that one upstream runs at a time.
pub const SLOTS: usize = 3;

/// A request that reached an upstream and was begun.
#[derive(Clone, Debug)]
pub struct Run {
    pub upstream: String,
    pub id: String,
    pub target: String,
    pub at: Instant,
    /// When the work ended, by its end or as the connection closed.
    pub ended: Option<Instant>,
    pub is_answered: bool,
    /// `Authorization` and `X-Tenant` of the request; empty without.
    pub authorization: String,
    pub tenant: String,
    /// Bytes of the body that were announced, and that arrived.
    pub announced: usize,
    pub received: usize,
}

/// How an upstream works.
#[derive(Clone, Debug)]
pub struct Settings {
    pub work: Duration,
    /// Size of the bodies of its answers.
    pub body_bytes: usize,
    /// Whether it answers a long body before it has read it, and reads on later.
    pub is_early: bool,
}

/// Length from which a body counts as long, in bytes.
const LONG_BYTES: usize = 1 << 20;

/// Part of a long body that is read before an early answer, in bytes.
const EARLY_BYTES: usize = 64 << 10;

/// An upstream. Clones are the same one.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    settings: Settings,
    runs: Arc<Mutex<Vec<Run>>>,
    in_use: Arc<AtomicUsize>,
    has_exited: Arc<AtomicBool>,
}

impl Upstream {
    pub fn start(id: &str, settings: Settings) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let upstream = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            settings,
            runs: Arc::default(),
            in_use: Arc::default(),
            has_exited: Arc::default(),
        };
        let served = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.has_exited.load(Ordering::Relaxed) {
                    return;
                }
                let upstream = served.clone();
                // An error only means that the daemon closed the connection.
                thread::spawn(move || upstream.serve(stream));
            }
        });
        Ok(upstream)
    }

    /// Returns its entry in the store, in the state `state`.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> String {
        format!(
            "{{\"address\":\"{}\",\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{SLOTS}}},\"status\":{{\"state\":\"{state}\",\"seq\":4,\"coldLeft\":\"0ms\"}},\"born\":1765000000000}}",
            self.address
        )
    }

    /// Ends it: open connections break off and new ones are refused.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts, which then closes the listener.
        let _ = TcpStream::connect(self.address);
    }

    /// Returns the requests that it began.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream.try_clone()?);
        loop {
            let request = reader.head()?;
            let is_early = self.settings.is_early && request.length() > LONG_BYTES;
            let needed = if is_early {
                EARLY_BYTES
            } else {
                request.length()
            };
            if reader.fill_up_to(needed) < needed {
                return Ok(());
            }
            if !is_early {
                reader.skip(needed);
            }
            let id = request.header("x-request-id").to_owned();
            let head = |status: &str, rest: &str| {
                format!("HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\n{rest}")
            };
            if request.header("x-expect-instance") != self.id {
                let rest = format!("X-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
                stream.write_all(head("421 Misdirected Request", &rest).as_bytes())?;
                continue;
            }
            if self.in_use.fetch_add(1, Ordering::Relaxed) >= SLOTS {
                self.in_use.fetch_sub(1, Ordering::Relaxed);
                let rest = "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(head("503 Service Unavailable", rest).as_bytes())?;
                continue;
            }
            let position = self.begin(&id, &request, needed);
            let is_wanted = is_early || self.work(&stream);
            self.in_use.fetch_sub(1, Ordering::Relaxed);
            self.runs.lock().unwrap()[position].ended = Some(Instant::now());
            if !is_wanted {
                return Ok(());
            }
            let body = body(&id, self.settings.body_bytes);
            let rest = format!(
                "X-Server-Stamp: {}.{id}\r\nContent-Length: {}\r\n\r\n",
                self.id,
                body.len()
            );
            let mut answer = head("200 OK", &rest).into_bytes();
            answer.extend_from_slice(&body);
            stream.write_all(&answer)?;
            self.runs.lock().unwrap()[position].is_answered = true;
            if is_early {
                let received = reader.fill_up_to(request.length());
                self.runs.lock().unwrap()[position].received = received;
                if received < request.length() {
                    return Ok(());
                }
                reader.skip(received);
            }
        }
    }

    fn begin(&self, id: &str, request: &Message, received: usize) -> usize {
        let mut runs = self.runs.lock().unwrap();
        runs.push(Run {
            upstream: self.id.clone(),
            id: id.to_owned(),
            target: request.second().to_owned(),
            at: Instant::now(),
            ended: None,
            is_answered: false,
            authorization: request.header("authorization").to_owned(),
            tenant: request.header("x-tenant").to_owned(),
            announced: request.length(),
            received,
        });
        runs.len() - 1
    }

    /// Works on a request. Returns whether the caller still waits at the end.
    fn work(&self, stream: &TcpStream) -> bool {
        let until = Instant::now() + self.settings.work;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            if self.has_exited.load(Ordering::Relaxed) {
                return false;
            }
            let step = left.min(Duration::from_millis(20));
            if stream.set_read_timeout(Some(step)).is_err() {
                return false;
            }
            // The daemons send nothing after a request, so any result but a time-out
            // is the end of the connection.
            let read = (&*stream).read(&mut [0; 1]);
            let _ = stream.set_read_timeout(None);
            match read {
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                _ => return false,
            }
        }
    }
}

/// Returns the body of the answer to the request `id`: its id over and over.
pub fn body(id: &str, bytes: usize) -> Vec<u8> {
    format!("{id} ").bytes().cycle().take(bytes).collect()
}
