//! A planned stop after which clients go on using their connections.

#[path = "../standin/mod.rs"]
mod standin;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standin::client::{Connection, Request};
use standin::fleet::{Entry, Fleet, Route, SIGTERM, UBKW_GATE_LARGE};
use standin::record::{Record, has_trouble, unusable};
use standin::upstream::{Behaviour, Run, Upstream};

const SERVICE: &str = "scans";

/// Planned stops, of one daemon after the other.
const ROUNDS: usize = 5;

/// Times after the SIGTERM at which requests are sent on connections that were
/// open before. Another one is sent just before the SIGTERM.
const SENT_MS: [u64; 4] = [3200, 3900, 4600, 5300];

/// Time from that request to the SIGTERM.
const LEAD: Duration = Duration::from_millis(200);

/// Time that a request takes at its server, which is within the timeout of its
/// route.
const WORK: Duration = Duration::from_millis(6000);

/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(10);

fn main() {
    let record = Arc::new(Record::create());
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let mut fleet = Fleet::new(2, "10s", UBKW_GATE_LARGE);
    for number in 0..3 {
        let id = format!("i-{number}");
        let behaviour = Behaviour {
            work: WORK,
            ..Behaviour::default()
        };
        let upstream = Upstream::start(&id, behaviour, &record, &runs);
        fleet.register(&Entry {
            id,
            service: SERVICE,
            address: upstream.address,
            state: "ready",
            sequence: 1,
            cold_ms: 0,
            born: 1_700_000_000_000,
        });
    }
    let route = Route {
        prefix: "/scan/",
        kind: "upload",
        service: SERVICE,
        timeout: "15s",
    };
    fleet.configure(3, &[SERVICE], &[route]);
    for host in 0..2 {
        fleet.start(host, true);
    }
    for host in 0..2 {
        fleet.wait_ready(host);
    }

    let (mut answered, mut cut) = (0, 0);
    for round in 0..ROUNDS {
        let host = round % 2;
        let address = fleet.front(host);
        // Connections in use before the stop: a request without a route on each.
        let connections: Vec<Connection> = (0..SENT_MS.len())
            .filter_map(|number| warm(address, &format!("w{round}-{number}")))
            .collect();
        let mut clients = Vec::new();
        if let Some(mut connection) = warm(address, &format!("w{round}")) {
            let (record, id) = (Arc::clone(&record), format!("r{round}-before"));
            clients.push(thread::spawn(move || {
                send(&record, &id, "before", &mut connection)
            }));
        }
        thread::sleep(LEAD);
        if has_trouble() {
            fleet.signal(host, SIGTERM);
            record.line(format!("daemon {host} gets SIGTERM"));
        }
        let stopped = Instant::now();
        for (number, (mut connection, at)) in connections.into_iter().zip(SENT_MS).enumerate() {
            thread::sleep(Duration::from_millis(at).saturating_sub(stopped.elapsed()));
            let (record, id) = (Arc::clone(&record), format!("r{round}-{number}"));
            clients.push(thread::spawn(move || {
                send(&record, &id, &format!("{at} ms after"), &mut connection)
            }));
        }
        if has_trouble() {
            while !fleet.has_ended(host) && stopped.elapsed() < GRACE {
                thread::sleep(Duration::from_millis(5));
            }
            record.show(format!(
                "daemon {host} ended {:.2} s after SIGTERM",
                stopped.elapsed().as_secs_f64()
            ));
        }
        let runs = Arc::clone(&runs);
        for client in clients {
            let Ok((id, is_answered)) = client.join() else {
                continue;
            };
            let has_run = runs.lock().unwrap().iter().any(|run| run.id == id);
            match is_answered {
                true => answered += 1,
                // A request that was not passed on doesn't count.
                false if has_run => cut += 1,
                false => {}
            }
        }
        if has_trouble() {
            fleet.start(host, false);
            fleet.wait_ready(host);
            // No disruption within `contact` before the next requests.
            thread::sleep(Duration::from_millis(4200));
        }
    }
    record.show(format!(
        "{answered} requests were answered, {cut} were run and cut off"
    ));
    drop(fleet);
    if answered + cut == 0 {
        unusable("no request was read");
    }
    std::process::exit(i32::from(cut > 0));
}

fn warm(address: SocketAddr, id: &str) -> Option<Connection> {
    let mut connection = Connection::open(address).ok()?;
    let request = Request {
        method: "GET",
        path: "/none/",
        id,
        deadline_ms: 4000,
        body: &[],
    };
    connection.send(&request).ok()?;
    Some(connection)
}

/// Sends a request. Returns its id and whether it got a complete answer.
fn send(record: &Record, id: &str, when: &str, connection: &mut Connection) -> (String, bool) {
    record.line(format!("client sends {id}"));
    let request = Request {
        method: "POST",
        path: "/scan/1",
        id,
        deadline_ms: 15_000,
        body: &[b'x'; 1000],
    };
    let is_answered = match connection.send(&request) {
        Ok(answer) => {
            record.show(format!(
                "{id}, sent {when} the stop began, gets {} broken {:?}",
                answer.head.status(),
                answer.broken
            ));
            answer.broken.is_none()
        }
        Err(error) => {
            record.show(format!(
                "{id}, sent {when} the stop began, gets no answer: {error}"
            ));
            false
        }
    };
    (id.to_owned(), is_answered)
}
