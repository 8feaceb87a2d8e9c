//! The open loop.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::{task, time};
use uuid::Uuid;

use crate::caller::arrivals::{Arrival, Arrivals};
use crate::caller::exchange::{self, Exchange};
use crate::caller::judge::{self, Reading, Verdict};
use crate::caller::mix::{Key, Kind, Mix};
use crate::caller::ready;
use crate::caller::result::{Collector, Ended, Results};

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses that requests go to in turn.
    pub targets: Vec<String>,
    /// Admin address of each target; requests go only to those whose `/ready`
    /// answers 200. Without any, all targets count as ready.
    pub admins: Vec<String>,
    /// How often `/ready` is asked.
    pub ready_period: Duration,
    /// Kinds of requests.
    pub mix: Arc<Mix>,
    /// Requests per second.
    pub rate: f64,
    /// Length of the arrivals.
    pub length: Duration,
    /// Longest wait for answers after the last arrival.
    pub drain: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Most requests in flight; arrivals over it are not sent.
    pub max_in_flight: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            targets: Vec::new(),
            admins: Vec::new(),
            ready_period: Duration::from_millis(200),
            mix: Arc::default(),
            rate: 100.0,
            length: Duration::from_secs(10),
            drain: Duration::from_secs(30),
            seed: 1,
            max_in_flight: 10_000,
        }
    }
}

/// State shared by the requests of a run.
struct Run {
    settings: Settings,
    ready: RefCell<Vec<bool>>,
    turn: Cell<usize>,
    idle: RefCell<HashMap<usize, Vec<TcpStream>>>,
    in_flight: Cell<usize>,
    collector: RefCell<Collector>,
}

impl Run {
    /// The next ready target in turn.
    fn pick(&self) -> Option<usize> {
        let ready = self.ready.borrow();
        let first = self.turn.get();
        let index = (0..ready.len())
            .map(|step| (first + step) % ready.len())
            .find(|index| ready[*index])?;
        self.turn.set(index + 1);
        Some(index)
    }

    /// An idle connection that the target has not closed.
    fn idle(&self, target: usize) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let streams = idle.get_mut(&target)?;
        while let Some(stream) = streams.pop() {
            let state = stream.try_read(&mut [0]);
            if state.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock) {
                return Some(stream);
            }
        }
        None
    }
}

/// Sends the arrivals until their end or until `stop`, then waits for answers.
/// Must run in a local task set.
///
/// Returns `None` if the mix or the rate is not valid.
pub async fn run(settings: Settings, stop: impl Future<Output = ()>) -> Option<Results> {
    settings.mix.validate().ok()?;
    let arrivals = Arrivals::new(&settings.mix, settings.rate, settings.length, settings.seed)?;
    let drain = settings.drain;
    let run = Rc::new(Run {
        ready: RefCell::new(vec![settings.admins.is_empty(); settings.targets.len()]),
        turn: Cell::new(0),
        idle: RefCell::default(),
        in_flight: Cell::new(0),
        collector: RefCell::new(Collector::new(&settings.mix)),
        settings,
    });
    let watcher = if run.settings.admins.is_empty() {
        None
    } else {
        let shared = Rc::clone(&run);
        ready::update(&shared.settings, &shared.ready).await;
        Some(task::spawn_local(async move {
            ready::watch(&shared.settings, &shared.ready).await;
        }))
    };

    let start = Instant::now();
    let mut due = dispatch(arrivals, start);
    let mut not_sent = 0;
    let mut requests = task::JoinSet::new();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            biased;
            () = &mut stop => break,
            arrival = due.recv() => {
                let Some(arrival) = arrival else { break };
                if run.in_flight.get() >= run.settings.max_in_flight {
                    not_sent += 1;
                    continue;
                }
                run.in_flight.set(run.in_flight.get() + 1);
                requests.spawn_local(request(Rc::clone(&run), start, arrival));
            }
            // Ended tasks are dropped as they come.
            Some(_) = requests.join_next() => {}
        }
    }
    drop(due);
    let end = Instant::now() + drain;
    let rest = async { while requests.join_next().await.is_some() {} };
    if time::timeout_at(end.into(), rest).await.is_err() {
        log::warn!("{} requests without answer at the end", requests.len());
        // Dropping a request records that the run ended before its answer.
        requests.shutdown().await;
    }
    if let Some(watcher) = watcher {
        watcher.abort();
        let _ = watcher.await;
    }
    let elapsed = start.elapsed();
    let run = Rc::into_inner(run)?;
    Some(Results {
        rate: run.settings.rate,
        seconds: run.settings.length.as_secs_f64(),
        seed: run.settings.seed,
        elapsed_ms: elapsed.as_secs_f64() * 1e3,
        not_sent,
        ..run.collector.into_inner().finish()
    })
}

/// Hands out arrivals when they are due. A thread sleeps more precisely than
/// the runtime's timer, whose resolution is 1 ms.
fn dispatch(arrivals: Arrivals, start: Instant) -> mpsc::UnboundedReceiver<Arrival> {
    let (sender, receiver) = mpsc::unbounded_channel();
    thread::spawn(move || {
        for arrival in arrivals {
            thread::sleep((start + arrival.at).saturating_duration_since(Instant::now()));
            if sender.send(arrival).is_err() {
                break;
            }
        }
    });
    receiver
}

/// A request in flight; it is recorded when it ends or is dropped.
struct InFlight {
    run: Rc<Run>,
    start: Instant,
    arrival: Arrival,
    id: String,
    key: Option<String>,
    reading: Reading,
    body_checksum: u32,
    reconnected: bool,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let run = &self.run;
        run.in_flight.set(run.in_flight.get() - 1);
        let kind = &run.settings.mix.kinds[self.arrival.kind];
        let intended = self.start + self.arrival.at;
        let micros = intended.elapsed().as_micros();
        let mut verdict = judge::judge(kind, &self.id, self.body_checksum, &self.reading);
        if self.reconnected && matches!(self.reading, Reading::ConnectFailed) {
            // The first connection may have delivered the request.
            verdict = Verdict {
                outcome: judge::Outcome::Unknown,
                ..verdict
            };
        }
        let server = match &self.reading {
            Reading::Complete(answer) => answer.headers.get("x-server").map(str::to_owned),
            _ => None,
        };
        run.collector.borrow_mut().add(Ended {
            kind: self.arrival.kind,
            verdict,
            id: std::mem::take(&mut self.id),
            key: self.key.take(),
            server,
            at_ms: self.arrival.at.as_secs_f64() * 1e3,
            micros: u64::try_from(micros).unwrap_or(u64::MAX),
            reconnected: self.reconnected,
        });
    }
}

async fn request(run: Rc<Run>, start: Instant, arrival: Arrival) {
    let mix = Arc::clone(&run.settings.mix);
    let kind = &mix.kinds[arrival.kind];
    let mut in_flight = InFlight {
        run: Rc::clone(&run),
        start,
        arrival,
        id: Uuid::now_v7().to_string(),
        key: match kind.key {
            Key::None => None,
            Key::Uuid7 => Some(Uuid::now_v7().to_string()),
        },
        reading: Reading::RunEnded,
        body_checksum: 0,
        reconnected: false,
    };
    let deadline = kind
        .deadline_ms
        .and_then(|ms| (start + arrival.at).checked_add(Duration::from_millis(ms)));
    let Some(target) = run.pick() else {
        in_flight.reading = Reading::NoTarget;
        return;
    };
    let send = send(&run, kind, target, &mut in_flight);
    let reading = match deadline {
        Some(deadline) => time::timeout_at(deadline.into(), send)
            .await
            .unwrap_or(Reading::Deadline),
        None => send.await,
    };
    in_flight.reading = reading;
}

async fn send(run: &Run, kind: &Kind, target: usize, in_flight: &mut InFlight) -> Reading {
    let address = &run.settings.targets[target];
    // A reused connection may be closed by the target at any time, which would
    // leave a request that may not be repeated in doubt.
    let mut reused = run.idle(target).filter(|_| kind.repeatable);
    loop {
        let was_reused = reused.is_some();
        let mut stream = match reused.take() {
            Some(stream) => stream,
            None => match TcpStream::connect(address).await {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    stream
                }
                Err(_) => return Reading::ConnectFailed,
            },
        };
        let request = exchange::Request {
            kind,
            id: &in_flight.id,
            key: in_flight.key.as_deref(),
            target: address,
            keep_alive: kind.repeatable,
        };
        let Exchange {
            reading,
            body_checksum,
            reusable,
        } = exchange::exchange(&mut stream, &request).await;
        in_flight.body_checksum = body_checksum;
        if was_reused && matches!(reading, Reading::Closed) {
            in_flight.reconnected = true;
            continue;
        }
        if reusable {
            run.idle
                .borrow_mut()
                .entry(target)
                .or_default()
                .push(stream);
        }
        return reading;
    }
}
