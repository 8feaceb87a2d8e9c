//! Counters and latency histograms, shown as text.

use std::{
    collections::BTreeMap,
    fmt::Write,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hdrhistogram::Histogram;

/// Classes with a histogram of their own; further ones share the last.
const CLASSES: usize = 256;

/// Name of the histogram that further classes share.
const OTHER: &str = "(other)";

/// Longest recorded time, in microseconds: ten minutes.
const LONGEST_US: u64 = 600_000_000;

/// A monotonic counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// The current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Metrics of one daemon.
#[derive(Debug, Default)]
pub struct Registry {
    /// Requests taken in.
    pub requests: Counter,
    /// Requests refused without having run.
    pub refused: Counter,
    /// Requests that ended with a failure of unknown effect.
    pub failed: Counter,
    /// Attempts handed to a backend server.
    pub attempts: Counter,
    /// Attempts beyond the first of a request.
    pub repeats: Counter,
    /// Connections to backend servers that could not be opened.
    pub unreachable: Counter,
    /// Callers that left before their answer.
    pub abandoned: Counter,
    classes: Mutex<BTreeMap<Arc<str>, Histogram<u64>>>,
}

impl Registry {
    /// Records a request of `class` that was answered by a backend server.
    pub fn record_answer(&self, class: &Arc<str>, taken: Duration) {
        let us = (taken.as_micros() as u64).clamp(1, LONGEST_US);
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        let class = if classes.len() < CLASSES || classes.contains_key(class) {
            Arc::clone(class)
        } else {
            Arc::from(OTHER)
        };
        classes
            .entry(class)
            .or_insert_with(|| {
                let mut histogram =
                    Histogram::new_with_bounds(1, 1000, 2).expect("constant bounds are valid");
                histogram.auto(true);
                histogram
            })
            .saturating_record(us);
    }

    /// All metrics in the usual text form.
    pub fn render(&self) -> String {
        let counters = [
            ("requests", &self.requests),
            ("refused", &self.refused),
            ("failed", &self.failed),
            ("attempts", &self.attempts),
            ("repeats", &self.repeats),
            ("unreachable", &self.unreachable),
            ("abandoned", &self.abandoned),
        ];
        let mut text = String::new();
        for (name, counter) in counters {
            let name = format!("dotterelhinge_{name}_total");
            // Writing to a string never fails.
            let _ = writeln!(text, "# TYPE {name} counter\n{name} {}", counter.get());
        }
        let name = "dotterelhinge_answer_seconds";
        let _ = writeln!(text, "# TYPE {name} summary");
        let classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        for (class, histogram) in &*classes {
            for quantile in [0.5, 0.9, 0.99, 1.0] {
                let seconds = histogram.value_at_quantile(quantile) as f64 / 1e6;
                let _ = writeln!(
                    text,
                    "{name}{{class=\"{class}\",quantile=\"{quantile}\"}} {seconds}"
                );
            }
            let _ = writeln!(
                text,
                "{name}_count{{class=\"{class}\"}} {}",
                histogram.len()
            );
        }
        text
    }
}
