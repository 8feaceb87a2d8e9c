//! A client sends further `safe` requests before the first one is answered. The daemon
//! stops by plan, answers the first one and closes the connection while the others lie
//! unread in its socket. That resets the connection, so the client loses the part of
//! the answer that it has not received yet.

#[path = "../standin-2/mod.rs"]
mod standin;

use std::{
    io::{self, Write},
    thread,
    time::{Duration, Instant},
};

use standin::{
    client::{self, Slow},
    fleet::{self, CONTACT, Fleet, SIGTERM, YILDIZTEPE},
    has_trouble,
    http::{Message, Reader},
    record::Record,
    sleep_until,
    store::Store,
    upstream::{self, Upstream},
};

const UPSTREAMS: usize = 6;

/// Work of a request.
const WORK: Duration = Duration::from_millis(300);

/// Size of an answer.
const ANSWER_BYTES: usize = 30_000;

/// Clients; every second one begins with an `unsafe` request.
const CLIENTS: usize = 8;

/// Requests that each client sends on its connection without waiting.
const REQUESTS: usize = 3;

/// Time between these requests.
const REQUEST_GAP: Duration = Duration::from_millis(20);

/// Time from the first of these requests until SIGTERM.
const SIGTERM_DELAY: Duration = Duration::from_millis(150);

/// Receive buffer of a client, and how it reads: about 100 KB a second.
const BUFFER_BYTES: i32 = 4096;
const READ_BYTES: usize = 2048;
const READ_PAUSE: Duration = Duration::from_millis(20);

const DEADLINE: Duration = Duration::from_secs(4);

/// The results of one client's requests, in order, with the time that they took.
type Results = Vec<(String, Result<(u16, usize), String>, Duration)>;

/// Sends one request and waits for its answer; then sends `REQUESTS` at `at` and reads
/// the answers slowly.
fn converse(front: &str, number: usize, at: Instant) -> io::Result<Results> {
    let stream = client::connect_with_buffer(front, BUFFER_BYTES)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(DEADLINE))?;
    let mut writer = stream.try_clone()?;
    let mut reader = Reader::new(Slow {
        stream,
        bytes: READ_BYTES,
        pause: READ_PAUSE,
    });
    let id = format!("{number}-before");
    writer.write_all(&client::request("GET", "/look/1", &id, DEADLINE, b""))?;
    reader.message()?;
    sleep_until(at);
    let mut ids = Vec::new();
    for position in 0..REQUESTS {
        let is_order = position == 0 && number % 2 == 1;
        let (method, target) = if is_order {
            ("POST", "/order/1")
        } else {
            ("GET", "/look/1")
        };
        let id = format!("{number}-{position}");
        let request = client::request(method, target, &id, DEADLINE, b"");
        // The daemon may have closed the connection by now.
        if writer.write_all(&request).is_err() {
            break;
        }
        ids.push(id);
        thread::sleep(REQUEST_GAP);
    }
    let mut results = Results::new();
    for id in ids {
        let answer: Result<Message, String> = reader.message().map_err(|error| error.to_string());
        let has_failed = answer.is_err();
        let closes = answer
            .as_ref()
            .is_ok_and(|it| it.header("connection") == "close");
        let result = answer.map(|answer| (answer.status(), answer.body.len()));
        results.push((id, result, at.elapsed()));
        if has_failed || closes {
            break;
        }
    }
    Ok(results)
}

fn play(record: &Record) -> Result<bool, String> {
    let text = |error: io::Error| error.to_string();
    let store = Store::start().map_err(text)?;
    let settings = upstream::Settings {
        work: WORK,
        body_bytes: ANSWER_BYTES,
        is_early: false,
    };
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let upstream = Upstream::start(&format!("i-{number}"), settings.clone()).map_err(text)?;
        let zone = YILDIZTEPE.zones[number % YILDIZTEPE.zones.len()];
        store.put(
            "servers",
            &upstream.id,
            &upstream.entry("desk", zone, "ready"),
        );
        upstreams.push(upstream);
    }
    store.put("op", "config", &fleet::configuration(7, "desk"));
    let mut fleet = Fleet::new(3, &YILDIZTEPE, &store).map_err(text)?;
    fleet.start_all()?;
    thread::sleep(CONTACT + Duration::from_secs(1));

    let at = Instant::now() + Duration::from_secs(2);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = fleet.front(0);
            thread::spawn(move || converse(&front, number, at))
        })
        .collect();
    sleep_until(at + SIGTERM_DELAY);
    if has_trouble() {
        record.add("SIGTERM to daemon 0");
        fleet.signal(0, SIGTERM);
    }
    let (mut judged, mut lost) = (0, 0);
    for (number, client) in clients.into_iter().enumerate() {
        let results = client
            .join()
            .map_err(|_| "a client failed")?
            .map_err(text)?;
        for (position, (id, result, taken)) in results.iter().enumerate() {
            let runs: Vec<_> = upstreams.iter().flat_map(Upstream::runs).collect();
            let run = runs.iter().find(|run| run.id == *id);
            let taken_ms = taken.as_millis();
            record.add(format!(
                "client {number} request {id}: {result:?} after {taken_ms} ms; upstream {:?} answered it: {:?}",
                run.map(|run| &run.upstream),
                run.map(|run| run.is_answered),
            ));
            let Some(run) = run.filter(|run| run.is_answered && *taken < DEADLINE) else {
                continue;
            };
            judged += 1;
            if result.is_err() {
                lost += 1;
                record.add(format!("LOST: {} {id} was answered by its upstream, and its connection ended without the whole answer (request {} on it)", run.target, position + 1));
            }
        }
    }
    record.add(format!(
        "{judged} requests that upstreams answered, {lost} of them lost"
    ));
    if judged < CLIENTS / 2 {
        return Err(format!("only {judged} requests were answered by upstreams"));
    }
    Ok(lost > 0)
}

fn main() {
    standin::run(play)
}
