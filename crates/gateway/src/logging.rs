//! Logging as JSON lines on standard output.
//!
//! Every line has `time` (RFC 3339, microseconds), `level`, `host` and
//! `message`, followed by the key-value pairs of the call under their own names.
//! A separate thread writes the lines from a bounded queue. If the reader of
//! standard output falls behind, lines are dropped and counted; a request is
//! never delayed.

use std::{
    cell::Cell,
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use log::kv;
use serde_json::{Map, Value};

/// Limits the rate of lines about one kind of event. Lines over the limit are
/// counted, so that the next line written can state how many were left out.
#[derive(Debug)]
pub struct Limiter {
    per_second: u32,
    window: Cell<Option<Instant>>,
    written: Cell<u32>,
    left_out: Cell<u32>,
}

impl Limiter {
    /// Creates a limit of `per_second` lines per second.
    pub fn new(per_second: u32) -> Self {
        Self {
            per_second,
            window: Cell::new(None),
            written: Cell::new(0),
            left_out: Cell::new(0),
        }
    }

    /// Returns how many lines were left out since the last one admitted, or
    /// `None` if no line may be written at `now`.
    pub fn admit(&self, now: Instant) -> Option<u32> {
        let is_over = self
            .window
            .get()
            .is_none_or(|start| now.saturating_duration_since(start) >= Duration::from_secs(1));
        if is_over {
            self.window.set(Some(now));
            self.written.set(0);
        }
        if self.written.get() >= self.per_second {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.written.set(self.written.get() + 1);
        Some(self.left_out.take())
    }
}

/// Maximum lines that wait to be written.
const MAX_QUEUED_LINES: usize = 1024;

/// Stack size of the writer thread.
const STACK_BYTES: usize = 64 << 10;

/// Copies key-value pairs into the JSON object of a line.
struct Fields<'a>(&'a mut Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// The sending end of the queue of lines. Never blocks: lines that do not fit
/// are dropped.
struct Queue {
    lines: mpsc::SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Installs the logger of the process for the host `host`. Other crates log at
/// most warnings. Lines are lost if the writer thread can't be started; standard
/// error says so.
///
/// # Panics
///
/// Panics if a logger is already installed.
pub fn init(level: log::LevelFilter, host: &str) {
    // Errors are logged as text in JSON, where colour escapes are only noise.
    error_stack::Report::set_color_mode(error_stack::fmt::ColorMode::None);
    let (lines, queue) = mpsc::sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let dropped_by_queue = Arc::clone(&dropped);
    let started = thread::Builder::new()
        .name("log".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || write_lines(&queue, &dropped_by_queue));
    if let Err(error) = started {
        eprintln!("logs are lost: the thread that writes them could not be started: {error}");
    }
    let host = host.to_owned();
    env_logger::Builder::new()
        // Libraries log their own start-up at the level of normal events.
        .filter_level(level.min(log::LevelFilter::Warn))
        .filter_module("dotterelhinge", level)
        .target(env_logger::Target::Pipe(Box::new(Queue { lines, dropped })))
        .format(move |out, record| {
            let mut line = Map::new();
            line.insert("time".into(), out.timestamp_micros().to_string().into());
            line.insert("level".into(), record.level().as_str().into());
            line.insert("host".into(), host.as_str().into());
            line.insert("message".into(), record.args().to_string().into());
            // The visitor never fails, so neither does the visit.
            let _ = record.key_values().visit(&mut Fields(&mut line));
            writeln!(out, "{}", Value::Object(line))
        })
        .init();
}

fn write_lines(queue: &mpsc::Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(line) = queue.recv() {
        // An error means that standard output is closed; there is nowhere left
        // to report it.
        let _ = out.write_all(&line);
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let _ = writeln!(
                out,
                "{{\"level\":\"WARN\",\"event\":\"log_lines_dropped\",\"count\":{count}}}"
            );
        }
        let _ = out.flush();
    }
}
