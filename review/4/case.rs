//! A daemon that reads the list of backend servers freezes while a server joins
//! and leaves.

#[path = "../standin/mod.rs"]
mod standin;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use standin::client::{Connection, Request};
use standin::fleet::{Entry, Fleet, Route, SIGCONT, SIGSTOP, UBKW_GATE_GROWN};
use standin::record::{Record, has_trouble, unusable};
use standin::upstream::{Behaviour, Run, Upstream};

const SERVICE: &str = "desk";
const HOSTS: usize = 5;
const SERVERS: usize = 4;

/// Number of servers that join and leave.
const ROUNDS: usize = 8;

/// Requests a second.
const RATE: f64 = 64.0;

/// Bound on the time after which a leaving server gets no more requests.
const DRAIN_S: f64 = 2.5;

/// How long a server serves on after the store has its `draining`: `drain`, and
/// some seconds more.
const LEAVING: Duration = Duration::from_millis(6500);

/// Times in a round at which things happen, from the server's first entry on.
/// It updates `coldLeft` with its first heartbeat, and drains soon after.
const FREEZE: Duration = Duration::from_millis(1400);
const HEARTBEAT: Duration = Duration::from_millis(1500);
const DRAIN: Duration = Duration::from_millis(2050);
const WAKE: Duration = Duration::from_millis(2250);

/// State of the traffic that the main thread changes.
struct Traffic {
    record: Arc<Record>,
    fronts: Vec<SocketAddr>,
    /// The daemon that gets no requests because it is frozen, or was of late.
    left_out: Mutex<Option<usize>>,
    has_ended: Mutex<bool>,
    answers: Mutex<HashMap<String, u16>>,
}

fn main() {
    let record = Arc::new(Record::create());
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let mut fleet = Fleet::new(HOSTS, "6s", UBKW_GATE_GROWN);
    let behaviour = Behaviour {
        work: Duration::from_millis(150),
        ..Behaviour::default()
    };
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let upstream = Upstream::start(&format!("i-{number}"), behaviour.clone(), &record, &runs);
        fleet.register(&entry(&upstream, "ready", 1, 0));
        servers.push(upstream);
    }
    let orders = Route {
        prefix: "/order/",
        kind: "unsafe",
        service: SERVICE,
        timeout: "3000ms",
    };
    let lookups = Route {
        prefix: "/lookup/",
        kind: "safe",
        service: SERVICE,
        timeout: "2000ms",
    };
    fleet.configure(3, &[SERVICE], &[orders, lookups]);
    for host in 0..HOSTS {
        let store = fleet.store.listen(host);
        fleet.start_at(host, true, store);
    }
    for host in 0..HOSTS {
        fleet.wait_ready(host);
    }
    let traffic = Arc::new(Traffic {
        record: Arc::clone(&record),
        fronts: (0..HOSTS).map(|host| fleet.front(host)).collect(),
        left_out: Mutex::default(),
        has_ended: Mutex::default(),
        answers: Mutex::default(),
    });
    let sending = {
        let traffic = Arc::clone(&traffic);
        thread::spawn(move || send_all(&traffic))
    };
    thread::sleep(Duration::from_secs(4));

    let mut drained: HashMap<String, f64> = HashMap::new();
    for round in 0..ROUNDS {
        let readers = fleet.store.readers(Duration::from_millis(800));
        let Some(reader) = readers.get(round % readers.len().max(1)).copied() else {
            unusable("no daemon reads the list");
        };
        let id = format!("i-new-{round}");
        let upstream = Upstream::start(&id, behaviour.clone(), &record, &runs);
        let started = Instant::now();
        fleet.register(&entry(&upstream, "ready", 1, 1500));
        record.line(format!(
            "server {id} joins; the daemons {readers:?} read the list"
        ));
        sleep_until(started + FREEZE);
        if has_trouble() {
            *traffic.left_out.lock().unwrap() = Some(reader);
            fleet.signal(reader, SIGSTOP);
            record.line(format!("daemon {reader} freezes"));
        }
        sleep_until(started + HEARTBEAT);
        fleet.register(&entry(&upstream, "ready", 2, 0));
        record.line(format!("server {id} sends its heartbeat"));
        sleep_until(started + DRAIN);
        fleet.register(&entry(&upstream, "draining", 3, 0));
        drained.insert(id.clone(), record.seconds());
        record.line(format!("the store has that server {id} drains"));
        let left = Instant::now() + LEAVING;
        sleep_until(started + WAKE);
        if has_trouble() {
            fleet.signal(reader, SIGCONT);
            record.line(format!("daemon {reader} wakes"));
        }
        sleep_until(left);
        fleet.store.remove("servers", &id);
        upstream.end();
        record.line(format!("server {id} has left"));
        *traffic.left_out.lock().unwrap() = None;
        thread::sleep(Duration::from_millis(1500));
    }
    *traffic.has_ended.lock().unwrap() = true;
    let sent = sending.join().unwrap_or(0);
    let answers = traffic.answers.lock().unwrap();
    let successes = answers.values().filter(|status| **status == 200).count();
    record.show(format!("{sent} sent, {successes} answered with success"));
    let mut late = 0;
    let runs = runs.lock().unwrap();
    for (id, at) in &drained {
        let is_late = |run: &&Run| run.server == *id && run.at > at + DRAIN_S;
        let on_server: Vec<&Run> = runs.iter().filter(is_late).collect();
        let Some(last) = on_server.last().map(|run| run.at - at) else {
            continue;
        };
        let lost = on_server
            .iter()
            .filter(|run| answers.get(&run.id) != Some(&200))
            .count();
        record.show(format!(
            "{id} ran {} requests later than {DRAIN_S} s after the store had that it drains, the last after {last:.1} s; {lost} of them got no success",
            on_server.len()
        ));
        late += on_server.len();
    }
    drop(fleet);
    if successes == 0 {
        unusable("no request was served");
    }
    std::process::exit(i32::from(late > 0));
}

fn entry(upstream: &Upstream, state: &'static str, sequence: u64, cold_ms: u64) -> Entry {
    let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Entry {
        id: upstream.id.clone(),
        service: SERVICE,
        address: upstream.address,
        state,
        sequence,
        cold_ms,
        // One start, so one value in all entries of a server.
        born: *upstream
            .born
            .get_or_init(|| born.map_or(0, |born| born.as_millis() as u64)),
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Sends requests at a steady rate to all daemons in turn and returns their
/// number.
fn send_all(traffic: &Arc<Traffic>) -> usize {
    let begun = traffic.record.seconds();
    let mut clients = Vec::new();
    let mut sent = 0;
    while !*traffic.has_ended.lock().unwrap() {
        let due = begun + sent as f64 / RATE;
        thread::sleep(Duration::from_secs_f64(
            (due - traffic.record.seconds()).max(0.0),
        ));
        let id = format!("o{sent:06}");
        let host = sent / 5 % HOSTS;
        sent += 1;
        if *traffic.left_out.lock().unwrap() == Some(host) {
            continue;
        }
        let traffic = Arc::clone(traffic);
        // Two in five are lookups.
        let is_lookup = sent % 5 < 2;
        clients.push(thread::spawn(move || send(&traffic, id, host, is_lookup)));
    }
    for client in clients {
        let _ = client.join();
    }
    sent
}

fn send(traffic: &Traffic, id: String, host: usize, is_lookup: bool) {
    let request = if is_lookup {
        Request {
            method: "GET",
            path: "/lookup/1",
            id: &id,
            deadline_ms: 4000,
            body: &[],
        }
    } else {
        Request {
            method: "POST",
            path: "/order/1",
            id: &id,
            deadline_ms: 6000,
            body: b"order",
        }
    };
    let answer =
        Connection::open(traffic.fronts[host]).and_then(|mut connection| connection.send(&request));
    match answer {
        Ok(answer) => {
            traffic.record.line(format!(
                "client gets for {id} {} from daemon {host}",
                answer.head.status()
            ));
            traffic
                .answers
                .lock()
                .unwrap()
                .insert(id, answer.head.status());
        }
        Err(error) => traffic.record.line(format!(
            "client gets for {id} no answer from daemon {host}: {error}"
        )),
    }
}
