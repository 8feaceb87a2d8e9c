//! A deployment under steady load with an upstream that leaves, and the check of rule
//! DRAIN.

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use super::{
    client,
    fleet::{self, CONTACT, Fleet, HEARTBEAT, UBKW_GATE},
    record::Record,
    store::Store,
    upstream::{self, Upstream},
};

pub const DAEMONS: usize = 4;
const UPSTREAMS: usize = 7;

/// Clients of each daemon.
const CLIENTS: usize = 4;

/// The upstream that leaves, in the zone of daemon 0.
const LEAVER: usize = 4;

/// Time for which the store is away in a drill.
pub const AWAY: Duration = Duration::from_millis(300);

/// Silence after which the store removes the entry of an upstream.
pub const LAPSE: Duration = HEARTBEAT.saturating_mul(3);

/// Margin of the check on both sides of each of its bounds.
const MARGIN: Duration = Duration::from_millis(100);

/// Pause of each client between two requests.
const PAUSE: Duration = Duration::from_millis(10);

/// A request that a client sent, and the daemon that it sent it to.
struct Sent {
    id: String,
    daemon: usize,
    at: Instant,
    status: Option<u16>,
}

/// The deployment.
pub struct Deployment {
    pub store: Store,
    pub fleet: Fleet,
    upstreams: Vec<Upstream>,
    clients: Vec<JoinHandle<()>>,
    sent: Arc<Mutex<Vec<Sent>>>,
    is_paused: Arc<[AtomicBool; DAEMONS]>,
    is_over: Arc<AtomicBool>,
}

impl Deployment {
    /// Starts the deployment and its clients. One of five requests is `safe`.
    pub fn start() -> Result<Self, String> {
        let text = |error: io::Error| error.to_string();
        let store = Store::start().map_err(text)?;
        let settings = upstream::Settings {
            work: Duration::from_millis(150),
            body_bytes: 1500,
            is_early: false,
        };
        let mut upstreams = Vec::new();
        for number in 0..UPSTREAMS {
            let upstream =
                Upstream::start(&format!("i-{number}"), settings.clone()).map_err(text)?;
            let zone = UBKW_GATE.zones[number % UBKW_GATE.zones.len()];
            store.put(
                "servers",
                &upstream.id,
                &upstream.entry("desk", zone, "ready"),
            );
            upstreams.push(upstream);
        }
        store.put("op", "config", &fleet::configuration(7, "desk"));
        let mut fleet = Fleet::new(DAEMONS, &UBKW_GATE, &store).map_err(text)?;
        fleet.start_all()?;
        let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
        let is_paused: Arc<[AtomicBool; DAEMONS]> = Arc::default();
        let is_over = Arc::new(AtomicBool::new(false));
        let clients = (0..DAEMONS * CLIENTS)
            .map(|client| {
                let daemon = client % DAEMONS;
                let front = fleet.front(daemon);
                let (sent, is_paused) = (Arc::clone(&sent), Arc::clone(&is_paused));
                let is_over = Arc::clone(&is_over);
                thread::spawn(move || {
                    let mut number = 0;
                    while !is_over.load(Ordering::Relaxed) {
                        thread::sleep(PAUSE);
                        if is_paused[daemon].load(Ordering::Relaxed) {
                            continue;
                        }
                        number += 1;
                        let (method, target) = if number % 5 == 0 {
                            ("GET", "/look/1")
                        } else {
                            ("POST", "/order/1")
                        };
                        let id = format!("{daemon}-{client}-{number}");
                        let outcome = client::send(&front, method, target, &id, b"");
                        let answer = outcome.answer.as_ref().ok();
                        sent.lock().unwrap().push(Sent {
                            id,
                            daemon,
                            at: outcome.sent,
                            status: answer.map(|answer| answer.status()),
                        });
                    }
                })
            })
            .collect();
        Ok(Self {
            store,
            fleet,
            upstreams,
            clients,
            sent,
            is_paused,
            is_over,
        })
    }

    /// Stops or resumes the client of a daemon.
    pub fn pause(&self, daemon: usize, is_paused: bool) {
        self.is_paused[daemon].store(is_paused, Ordering::Relaxed);
    }

    /// Returns the id of the upstream that leaves.
    pub fn leaver(&self) -> &str {
        &self.upstreams[LEAVER].id
    }

    /// Removes the entry of the upstream that leaves, which goes on serving.
    pub fn leave(&self) {
        self.store.remove("servers", self.leaver());
    }

    /// Ends the process of the upstream that leaves.
    pub fn exit(&self) {
        self.upstreams[LEAVER].exit();
    }

    /// Ends the clients and records all requests that reached the upstream that leaves
    /// later than `drain` after `left`. Returns how many of them clients sent at a time
    /// at which the daemon was in touch, `since[daemon]` being the last disruption that
    /// concerned it, and before the entry was removed again at `until`.
    pub fn judge(
        mut self,
        record: &Record,
        left: Instant,
        since: [Instant; DAEMONS],
        until: Instant,
    ) -> Result<usize, String> {
        self.is_over.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            client.join().map_err(|_| "a client failed")?;
        }
        let sent = self.sent.lock().unwrap();
        let (mut others, mut counted, mut lost) = (0, 0, 0);
        let drained = left + Duration::from_millis(UBKW_GATE.drain_ms);
        for run in self.upstreams[LEAVER].runs() {
            if run.at <= drained + MARGIN {
                continue;
            }
            let Some(request) = sent.iter().find(|request| request.id == run.id) else {
                continue;
            };
            let from = since[request.daemon] + CONTACT + MARGIN;
            let is_counted = request.at > from && run.at + MARGIN < until;
            let after = |at: Instant| {
                if request.at >= at {
                    (request.at - at).as_secs_f64()
                } else {
                    -(at - request.at).as_secs_f64()
                }
            };
            record.add(format!(
                "{}{} {} sent by daemon {} to {} {:.2} s after its entry was removed and {:.2} s after the last disruption; answered {:?}",
                if is_counted { "DRAIN: " } else { "not in touch: " },
                run.target,
                run.id,
                request.daemon,
                run.upstream,
                (run.at - left).as_secs_f64(),
                after(since[request.daemon]),
                request.status,
            ));
            if !run.is_answered {
                lost += 1;
            }
            if is_counted {
                counted += 1;
            } else {
                others += 1;
            }
        }
        let answered = sent
            .iter()
            .filter(|request| request.status == Some(200))
            .count();
        record.add(format!(
            "{} requests sent, {answered} answered with 200; {counted} reached the upstream that had left from daemons in touch, {others} from others; {lost} of all these were lost as it ended",
            sent.len()
        ));
        if answered < sent.len() / 2 {
            return Err("fewer than half of the requests were served".to_owned());
        }
        Ok(counted)
    }
}
