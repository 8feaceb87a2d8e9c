//! The platform's store: rows with versions and a feed of changes. It can be away
//! for a moment and come back from an older copy of itself.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use super::http::{Message, Reader};

/// A row of a table; without a value it was removed.
#[derive(Clone)]
struct Row {
    table: String,
    part: String,
    key: String,
    value: Option<String>,
    ver: u64,
}

/// Content of the store at one moment.
#[derive(Clone, Default)]
pub struct Copy {
    /// By table, part and key.
    rows: BTreeMap<(String, String, String), Row>,
    ver: u64,
}

#[derive(Default)]
struct State {
    content: Copy,
    era: u64,
    is_away: bool,
    open: Vec<TcpStream>,
}

/// The store. Clones are the same store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    started: Instant,
    /// What its steady clock showed when it was started here.
    clock: Duration,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        Self::start_at(Duration::ZERO)
    }

    /// Starts a store whose steady clock shows `clock`.
    pub fn start_at(clock: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            started: Instant::now(),
            clock,
            shared: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                // An error only means that a daemon closed the connection.
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator or an upstream does. `value` is JSON.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.put_in(table, "", key, value);
    }

    /// Writes a row of the part `part` of a table.
    pub fn put_in(&self, table: &str, part: &str, key: &str, value: &str) {
        self.write(table, part, key, Some(base64(value.as_bytes())));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, "", key, None);
    }

    fn write(&self, table: &str, part: &str, key: &str, value: Option<String>) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let content = &mut state.content;
        content.ver += 1;
        let row = Row {
            table: table.to_owned(),
            part: part.to_owned(),
            key: key.to_owned(),
            value,
            ver: content.ver,
        };
        let place = (row.table.clone(), row.part.clone(), row.key.clone());
        content.rows.insert(place, row);
        changed.notify_all();
    }

    /// Returns a copy of what the store holds now.
    pub fn copy(&self) -> Copy {
        self.shared.0.lock().unwrap().content.clone()
    }

    /// Is away for `time` and comes back from `copy`, in the next era.
    pub fn restore(&self, copy: Copy, time: Duration) {
        let (state, changed) = &*self.shared;
        {
            let mut state = state.lock().unwrap();
            state.is_away = true;
            for stream in state.open.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            changed.notify_all();
        }
        thread::sleep(time);
        let mut state = state.lock().unwrap();
        state.content = copy;
        state.era += 1;
        state.is_away = false;
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        {
            let mut state = self.shared.0.lock().unwrap();
            if state.is_away {
                return Ok(());
            }
            state.open.push(stream.try_clone()?);
        }
        let mut reader = Reader::new(stream.try_clone()?);
        let mut stream = stream;
        loop {
            let call = reader.message()?;
            let (status, body, era) = self.answer(&call);
            if status == 0 {
                return stream.shutdown(Shutdown::Both);
            }
            let answer = format!(
                "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\nstore-era: {era}\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(answer.as_bytes())?;
        }
    }

    /// Returns status, body and era; status 0 while the store is away.
    fn answer(&self, call: &Message) -> (u16, String, u64) {
        let path = call.second().split('?').next().unwrap_or_default();
        let parameter = |name: &str| call.parameter(name).unwrap_or_default();
        match path {
            "/api/rows-get" => {
                let state = self.shared.0.lock().unwrap();
                if state.is_away {
                    return (0, String::new(), 0);
                }
                let (table, part, from) =
                    (parameter("table"), parameter("part"), parameter("from"));
                let limit = parameter("limit").parse().unwrap_or(500).min(500);
                let rows = state.content.rows.values();
                let mut rows: Vec<&Row> = rows
                    .filter(|row| {
                        row.value.is_some()
                            && row.table == table
                            && row.part == part
                            && row.key >= from
                    })
                    .collect();
                let has_more = rows.len() > limit;
                rows.truncate(limit);
                (200, self.rows(&state, &rows, Some(has_more)), state.era)
            }
            "/api/rows-feed" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait: u64 = parameter("waitMs").parse().unwrap_or(0);
                self.feed(&parameter("table"), after, Duration::from_millis(wait))
            }
            "/api/rows-tx" => {
                let text = String::from_utf8_lossy(&call.body).into_owned();
                if self.shared.0.lock().unwrap().is_away {
                    return (0, String::new(), 0);
                }
                // The daemons write one row, their entry in the list of hosts.
                let field = |name: &str| field(&text, name);
                self.write(
                    &field("table"),
                    &field("part"),
                    &field("key"),
                    Some(field("value")),
                );
                let state = self.shared.0.lock().unwrap();
                let body = format!(
                    "{{\"ver\":{},\"now\":\"{}ms\"}}",
                    state.content.ver,
                    self.now()
                );
                (200, body, state.era)
            }
            _ => (404, String::new(), 0),
        }
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, String, u64) {
        let (state, changed) = &*self.shared;
        let until = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        let era = state.era;
        loop {
            if state.is_away || state.era != era {
                return (0, String::new(), 0);
            }
            if after > state.content.ver {
                return (410, String::new(), state.era);
            }
            let rows = state.content.rows.values();
            let mut rows: Vec<&Row> = rows
                .filter(|row| row.table == table && row.ver > after)
                .collect();
            rows.sort_by_key(|row| row.ver);
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, self.rows(&state, &rows, None), state.era);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn rows(&self, state: &State, rows: &[&Row], has_more: Option<bool>) -> String {
        let rows: Vec<String> = rows
            .iter()
            .map(|row| {
                let rest = match &row.value {
                    Some(value) => format!("\"value\":\"{value}\""),
                    None => "\"deleted\":true".to_owned(),
                };
                let Row { table, part, key, ver, .. } = row;
                format!(
                    "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"ver\":{ver},{rest}}}"
                )
            })
            .collect();
        let more = has_more.map_or(String::new(), |more| format!("\"hasMore\":{more},"));
        format!(
            "{{\"rows\":[{}],{more}\"ver\":{},\"now\":\"{}ms\"}}",
            rows.join(","),
            state.content.ver,
            self.now()
        )
    }

    fn now(&self) -> u128 {
        (self.clock + self.started.elapsed()).as_millis()
    }
}

/// Returns the first text field of this name in a JSON document without escapes.
fn field(json: &str, name: &str) -> String {
    let start = format!("\"{name}\":\"");
    let rest = json.split_once(&start).map_or("", |(_, rest)| rest);
    rest.split('"').next().unwrap_or_default().to_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0;
        for position in 0..3 {
            number = number << 8 | u32::from(group.get(position).copied().unwrap_or(0));
        }
        for position in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * position) & 63) as usize];
            let is_filler = position > group.len();
            text.push(if is_filler { '=' } else { char::from(digit) });
        }
    }
    text
}
