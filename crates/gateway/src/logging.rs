//! Logs as JSON lines on standard output.
//!
//! Every line has `time` (RFC 3339, microseconds), `level`, `host` and
//! `message`; the key-value pairs of the call follow under their own names. A
//! thread of its own writes the lines from a bounded queue: a reader that stops
//! reading costs lines, which are counted, and never delays a request.

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

/// Bounds the lines about one kind of event. Lines over the bound are counted,
/// and the next line that is written tells how many there were.
#[derive(Debug)]
pub struct Limiter {
    per_second: u32,
    window: Cell<Option<Instant>>,
    written: Cell<u32>,
    left_out: Cell<u32>,
}

impl Limiter {
    /// A bound of `per_second` lines.
    pub fn new(per_second: u32) -> Self {
        Self {
            per_second,
            window: Cell::new(None),
            written: Cell::new(0),
            left_out: Cell::new(0),
        }
    }

    /// Whether a line may be written now, and how many were left out before.
    pub fn admit(&self, now: Instant) -> Option<u32> {
        let fresh = self
            .window
            .get()
            .is_none_or(|start| now.saturating_duration_since(start) >= Duration::from_secs(1));
        if fresh {
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

/// Lines that wait to be written at most.
const QUEUE: usize = 1024;

/// Stack of the writing thread, in bytes.
const STACK: usize = 64 << 10;

struct Fields<'a>(&'a mut Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// The end of the queue that takes lines. Never blocks.
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

/// Starts logging for a process from `level` on.
pub fn init(level: log::LevelFilter, host: &str) {
    // Errors are logged as text in JSON, where escape sequences only disturb.
    error_stack::Report::set_color_mode(error_stack::fmt::ColorMode::None);
    let (lines, queue) = mpsc::sync_channel::<Vec<u8>>(QUEUE);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&dropped);
    let started = thread::Builder::new()
        .name("log".to_owned())
        .stack_size(STACK)
        .spawn(move || write_lines(&queue, &counted));
    if let Err(error) = started {
        eprintln!("logs are lost: the thread that writes them can't be started: {error}");
    }
    let host = host.to_owned();
    env_logger::Builder::new()
        // The libraries tell their own start-up at the level of a normal event.
        .filter_level(level.min(log::LevelFilter::Warn))
        .filter_module("dotterelhinge", level)
        .target(env_logger::Target::Pipe(Box::new(Queue { lines, dropped })))
        .format(move |out, record| {
            let mut line = Map::new();
            line.insert("time".into(), out.timestamp_micros().to_string().into());
            line.insert("level".into(), record.level().as_str().into());
            line.insert("host".into(), host.as_str().into());
            line.insert("message".into(), record.args().to_string().into());
            // A visitor that never fails can't stop the walk.
            let _ = record.key_values().visit(&mut Fields(&mut line));
            writeln!(out, "{}", Value::Object(line))
        })
        .init();
}

fn write_lines(queue: &mpsc::Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(line) = queue.recv() {
        // Nobody is left to tell that standard output is closed.
        let _ = out.write_all(&line);
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let _ = writeln!(
                out,
                "{{\"level\":\"WARN\",\"event\":\"log_lines_dropped\",\"count\":{lost}}}"
            );
        }
        let _ = out.flush();
    }
}
