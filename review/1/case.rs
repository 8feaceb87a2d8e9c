//! Uploads to backend servers of which some hand out wrong bytes.

#[path = "../standin/mod.rs"]
mod standin;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use standin::client::{Connection, Request};
use standin::fleet::{Entry, Fleet, Route, UBKW_GATE};
use standin::http::checksum;
use standin::record::{Random, Record, has_trouble, unusable};
use standin::upstream::{Behaviour, Fault, Run, Upstream};

const SERVICE: &str = "scans";

/// Length of the traffic in seconds.
const LENGTH_S: f64 = 80.0;

/// Uploads a second.
const RATE: f64 = 40.0;

/// Size of an upload in bytes.
const UPLOAD_BYTES: usize = 2_000_000;

/// Backend servers of the service, as in the deployment.
const SERVERS: usize = 8;

/// Servers that are faulty at a time: a share of 0.25.
const FAULTY: usize = 2;

/// They spoil two answers in a hundred.
const FAULT: Fault = Fault::Early { one_in: 50 };

/// How long they are faulty.
const FAULTY_TIME: Duration = Duration::from_millis(5500);

/// Time between two such faults.
const PAUSE: Duration = Duration::from_millis(1000);

/// Status of each answer, and whether it was complete, by request.
type Answers = Arc<Mutex<HashMap<String, (u16, bool)>>>;

fn main() {
    let record = Arc::new(Record::create());
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let mut fleet = Fleet::new(1, "6s", UBKW_GATE);
    let behaviour = Behaviour {
        work: Duration::from_millis(150),
        ..Behaviour::default()
    };
    let upstreams: Vec<Arc<Upstream>> = (0..SERVERS)
        .map(|number| Upstream::start(&format!("i-{number}"), behaviour.clone(), &record, &runs))
        .collect();
    for upstream in &upstreams {
        fleet.register(&Entry {
            id: upstream.id.clone(),
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
        timeout: "4000ms",
    };
    fleet.configure(3, &[SERVICE], &[route]);
    fleet.start(0, true);
    fleet.wait_ready(0);

    let body = Arc::new(Random(7).bytes(UPLOAD_BYTES));
    let sum = checksum(&body);
    record.show(format!(
        "{RATE} uploads a second of {UPLOAD_BYTES} bytes, checksum {sum:x}"
    ));
    let (address, begun) = (fleet.front(0), record.seconds());
    let answers = Answers::default();
    let traffic = {
        let (record, answers) = (Arc::clone(&record), Arc::clone(&answers));
        thread::spawn(move || send_all(&record, &body, address, &answers))
    };
    let mut faults = 0;
    while record.seconds() - begun < LENGTH_S {
        let faulty = (0..FAULTY).map(|number| &upstreams[(FAULTY * faults + number) % SERVERS]);
        if has_trouble() {
            faulty
                .clone()
                .for_each(|upstream| upstream.set_fault(Some(FAULT)));
            thread::sleep(FAULTY_TIME);
            faulty.for_each(|upstream| upstream.set_fault(None));
            faults += 1;
        }
        thread::sleep(PAUSE);
    }
    let sent = traffic.join().unwrap_or(0);
    let answers = answers.lock().unwrap();
    let successes = answers
        .values()
        .filter(|answer| **answer == (200, true))
        .count();
    let spoiled: usize = upstreams.iter().map(|upstream| upstream.spoiled()).sum();
    record.show(format!(
        "{sent} sent, {successes} answered with success, {spoiled} answers spoiled"
    ));
    let runs = runs.lock().unwrap();
    let changed: Vec<&Run> = runs.iter().filter(|run| run.body_sum != sum).collect();
    for Run {
        id,
        server,
        body_bytes,
        ..
    } in &changed
    {
        let answer = answers.get(id);
        record.show(format!(
            "{id} ran on {server} with {body_bytes} bytes; the client got {answer:?}"
        ));
    }
    record.show(format!(
        "{} runs, {} of them with a changed body",
        runs.len(),
        changed.len()
    ));
    drop(fleet);
    if successes == 0 {
        unusable("no upload was served");
    }
    std::process::exit(i32::from(!changed.is_empty()));
}

/// Sends uploads at a steady rate and returns their number.
fn send_all(
    record: &Arc<Record>,
    body: &Arc<Vec<u8>>,
    address: SocketAddr,
    answers: &Answers,
) -> u32 {
    let begun = record.seconds();
    let mut clients = Vec::new();
    let mut sent = 0;
    while record.seconds() - begun < LENGTH_S {
        let due = begun + f64::from(sent) / RATE;
        thread::sleep(Duration::from_secs_f64((due - record.seconds()).max(0.0)));
        let (record, body, answers) = (Arc::clone(record), Arc::clone(body), Arc::clone(answers));
        let id = format!("u{sent:06}");
        sent += 1;
        clients.push(thread::spawn(move || {
            send(&record, &id, &body, address, &answers)
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    sent
}

fn send(record: &Record, id: &str, body: &[u8], address: SocketAddr, answers: &Answers) {
    record.line(format!("client sends {id}"));
    let request = Request {
        method: "POST",
        path: "/scan/1",
        id,
        deadline_ms: 4000,
        body,
    };
    let answer = Connection::open(address).and_then(|mut connection| connection.send(&request));
    match answer {
        Ok(answer) => {
            let got = (answer.head.status(), answer.broken.is_none());
            record.line(format!("client gets for {id} {got:?}"));
            answers.lock().unwrap().insert(id.to_owned(), got);
        }
        Err(error) => record.line(format!("client gets for {id} no answer: {error}")),
    }
}
