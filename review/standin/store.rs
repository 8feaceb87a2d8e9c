//! A stand-in for the platform's store: rows with versions, reads, transactions
//! and the feed of changes.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::standin::http::{self, Head};

#[derive(Clone)]
struct Row {
    /// Base64 of the content; `None` once the row is removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct State {
    version: u64,
    /// Rows by table and key, all in the default part.
    rows: BTreeMap<(String, String), Row>,
}

/// The store.
pub struct Store {
    pub address: SocketAddr,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
    /// When each caller last asked for changes of backend servers.
    polls: Mutex<HashMap<usize, Instant>>,
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            started: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            polls: Mutex::default(),
        });
        store.accept(listener, usize::MAX);
        store
    }

    /// Returns another address of the store, whose calls count as those of
    /// `caller`.
    pub fn listen(self: &Arc<Self>, caller: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        self.accept(listener, caller);
        address
    }

    fn accept(self: &Arc<Self>, listener: TcpListener, caller: usize) {
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || store.serve(stream, caller));
            }
        });
    }

    /// Returns the callers that asked for changes of backend servers within the
    /// last `time`, so those that read the list for the others.
    pub fn readers(&self, time: Duration) -> Vec<usize> {
        let polls = self.polls.lock().unwrap();
        let mut readers: Vec<usize> = polls
            .iter()
            .filter(|(_, at)| at.elapsed() < time)
            .map(|(caller, _)| *caller)
            .collect();
        readers.sort_unstable();
        readers
    }

    /// Writes a row and returns the version of the write.
    pub fn put(&self, table: &str, key: &str, content: &str) -> u64 {
        self.write(table, key, Some(encode(content.as_bytes())))
    }

    /// Removes a row and returns the version of the removal.
    pub fn remove(&self, table: &str, key: &str) -> u64 {
        self.write(table, key, None)
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state
            .rows
            .insert((table.to_owned(), key.to_owned()), Row { value, version });
        self.changed.notify_all();
        version
    }

    fn serve(&self, stream: TcpStream, caller: usize) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let mut body = Vec::new();
            if http::read_body(&mut reader, &head, true, &mut body).is_err() {
                return;
            }
            if head.target().starts_with("/api/rows-feed?table=servers") {
                self.polls.lock().unwrap().insert(caller, Instant::now());
            }
            let (status, answer) = self.answer(&head, &body);
            let answer = format!(
                "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (&'static str, String) {
        let path = head.target().split('?').next().unwrap_or_default();
        let number = |name: &str| head.query(name).and_then(|text| text.parse::<u64>().ok());
        let table = head.query("table").unwrap_or_default();
        match path {
            "/api/rows-get" => {
                let from = head.query("from").unwrap_or_default();
                let limit = number("limit").unwrap_or(500).min(500) as usize;
                ("200 OK", self.list(&table, &from, limit))
            }
            "/api/rows-feed" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                (
                    "200 OK",
                    self.feed(&table, number("after").unwrap_or(0), wait),
                )
            }
            "/api/rows-tx" => ("200 OK", self.transact(&String::from_utf8_lossy(body))),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn list(&self, table: &str, from: &str, limit: usize) -> String {
        let state = self.state.lock().unwrap();
        let mut rows = state.rows.iter().filter(|((in_table, key), row)| {
            in_table == table && key.as_str() >= from && row.value.is_some()
        });
        let page: Vec<String> = rows
            .by_ref()
            .take(limit)
            .map(|(key, row)| show(key, row))
            .collect();
        let more = rows.next().is_some();
        self.rows(&page, more, state.version)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let mut found: Vec<_> = state
                .rows
                .iter()
                .filter(|((in_table, _), row)| in_table == table && row.version > after)
                .collect();
            found.sort_by_key(|(_, row)| row.version);
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let page: Vec<String> = found.iter().map(|(key, row)| show(key, row)).collect();
                return self.rows(&page, false, state.version);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn rows(&self, page: &[String], more: bool, version: u64) -> String {
        let now = self.started.elapsed().as_millis();
        let rows = page.join(",");
        format!(r#"{{"rows":[{rows}],"hasMore":{more},"ver":{version},"now":"{now}ms"}}"#)
    }

    /// Applies the puts of a transaction. The system under test sends no
    /// conditions.
    fn transact(&self, body: &str) -> String {
        let puts = body.split("\"puts\"").nth(1).unwrap_or_default();
        let puts = puts.split("\"remove\"").next().unwrap_or_default();
        let mut version = 0;
        for put in puts.split('{').skip(1) {
            let field = |name: &str| {
                let rest = put.split(&format!("\"{name}\":\"")).nth(1)?;
                rest.split('"').next().map(str::to_owned)
            };
            if let (Some(table), Some(key), Some(value)) =
                (field("table"), field("key"), field("value"))
            {
                version = self.write(&table, &key, Some(value));
            }
        }
        let now = self.started.elapsed().as_millis();
        format!(r#"{{"ver":{version},"now":"{now}ms"}}"#)
    }
}

fn show(key: &(String, String), row: &Row) -> String {
    let (table, name) = key;
    let version = row.version;
    match &row.value {
        Some(value) => format!(
            r#"{{"table":"{table}","part":"","key":"{name}","value":"{value}","ver":{version}}}"#
        ),
        None => format!(
            r#"{{"table":"{table}","part":"","key":"{name}","ver":{version},"deleted":true}}"#
        ),
    }
}

/// Encodes bytes in base64.
fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
