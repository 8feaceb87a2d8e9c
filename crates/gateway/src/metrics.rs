//! Counters and latency histograms, in the Prometheus text format.

mod rate_limits;
mod waiting;

use std::{
    collections::BTreeMap,
    fmt::Write,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;

pub use self::rate_limits::RateLimits;
pub use waiting::Waiting;

/// Maximum classes with a histogram of their own; further ones share one named
/// [`OVERFLOW`].
const MAX_CLASSES: usize = 256;

/// Maximum customers that are counted separately; further ones are counted
/// together as [`OVERFLOW`].
const MAX_CUSTOMERS: usize = 256;

/// Name under which the requests of further classes or customers are recorded.
const OVERFLOW: &str = "(other)";

/// Maximum recorded time: ten minutes. Longer times are recorded as this one.
const MAX_RECORDED_US: u64 = 600_000_000;

/// A monotonic counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Adds `amount`.
    pub fn add(&self, amount: u64) {
        self.0.fetch_add(amount, Ordering::Relaxed);
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A value that may rise and fall.
#[derive(Debug, Default)]
pub struct Gauge(AtomicU64);

impl Gauge {
    /// Sets the value.
    pub fn set(&self, value: u64) {
        self.0.store(value, Ordering::Relaxed);
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Maximum backend servers that are listed with what they said.
const MAX_WITHDRAWN: usize = 256;

/// A backend server that gets no requests because of what it said.
#[derive(Clone, Debug, PartialEq)]
pub struct Withdrawn {
    /// Identity of the server.
    pub upstream: Arc<str>,
    /// When it may get requests again; `None` if it is leaving.
    pub until: Option<Instant>,
}

/// Bytes between this host and other availability zones.
#[derive(Debug, Default)]
pub struct ZoneBytes {
    /// Sent to backend servers.
    pub requests: Counter,
    /// Received from backend servers.
    pub responses: Counter,
    /// Datagrams sent to other daemons.
    pub evidence_sent: Counter,
    /// Datagrams received from other daemons.
    pub evidence_received: Counter,
    /// Copies of the catalog fetched from other daemons.
    pub copies: Counter,
}

/// Metrics of one daemon.
#[derive(Debug, Default)]
pub struct Registry {
    /// Requests received.
    pub requests: Counter,
    /// Requests refused without having run on a backend server.
    pub refused: Counter,
    /// Requests refused because their `Authorization` header names no customer.
    pub unauthenticated: Counter,
    /// Requests that failed and may have run on a backend server. Always 0:
    /// nothing increments it.
    pub failed: Counter,
    /// Attempts sent to a backend server.
    pub attempts: Counter,
    /// Attempts beyond the first one of a request.
    pub repeats: Counter,
    /// Second attempts that started while the first was running.
    pub hedges: Counter,
    /// Second attempts whose answer was the first one.
    pub hedge_wins: Counter,
    /// Attempts cancelled because the other one of the request was answered.
    pub hedges_cancelled: Counter,
    /// Connections to backend servers that could not be established.
    pub unreachable: Counter,
    /// Callers that disconnected before their response.
    pub abandoned: Counter,
    /// Backend servers that told this host first that they are leaving.
    pub leaving: Counter,
    /// Answers in which a backend server asked this host for time without
    /// requests.
    pub deferrals: Counter,
    /// Requests refused because the processor was too busy to serve them in time.
    pub overloaded: Counter,
    /// Uploads refused because their body found no memory.
    pub memory_refused: Counter,
    /// Bytes of callers that were read and dropped at the ends of their connections.
    pub linger_bytes: Counter,
    /// Connections that were closed because their callers did not close their side in
    /// time.
    pub linger_expired: Counter,
    /// Answers streamed early because their beginning found no memory.
    pub memory_streamed: Counter,
    /// Changes of the list of backend servers adopted from other daemons' reports.
    pub list_deltas: Counter,
    /// Changes of the list that did not fit this host's list.
    pub list_deltas_unfit: Counter,
    /// Copies of the catalog fetched from other daemons.
    pub copies_fetched: Counter,
    /// Copies of the catalog that could not be fetched.
    pub copies_failed: Counter,
    /// Copies of the catalog given to other daemons.
    pub copies_served: Counter,
    /// Bytes of the copies given to other daemons.
    pub copy_bytes_served: Counter,
    /// Datagrams from other daemons.
    pub datagrams_received: Counter,
    /// Bytes of these datagrams.
    pub datagram_bytes_received: Counter,
    /// Datagrams to other daemons.
    pub datagrams_sent: Counter,
    /// Bytes of these datagrams.
    pub datagram_bytes_sent: Counter,
    /// Datagrams not sent because the host's link was busy.
    pub datagrams_held_back: Counter,
    /// Bytes between this host and other availability zones.
    pub zone_bytes: ZoneBytes,
    /// Store version of the list of backend servers.
    pub list_version: Gauge,
    /// Age of the newest proof that the list is current, in milliseconds.
    pub list_age_ms: Gauge,
    /// Bytes that bodies in flight hold.
    pub memory_held: Gauge,
    /// Most bytes that bodies in flight have held at a time.
    pub memory_peak: Gauge,
    /// Limits of customers.
    pub rate_limits: RateLimits,
    /// Requests that wait for room at the backend servers.
    pub waiting: Waiting,
    withdrawn: Mutex<Vec<Withdrawn>>,
    classes: Mutex<BTreeMap<Arc<str>, Histogram<u64>>>,
    customers: Mutex<BTreeMap<Arc<str>, u64>>,
}

impl Registry {
    /// Records the time that a request of `class` took until a backend server
    /// answered it.
    pub fn record_answer(&self, class: &Arc<str>, taken: Duration) {
        let us = (taken.as_micros() as u64).clamp(1, MAX_RECORDED_US);
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        let class = if classes.len() < MAX_CLASSES || classes.contains_key(class) {
            Arc::clone(class)
        } else {
            Arc::from(OVERFLOW)
        };
        classes
            .entry(class)
            .or_insert_with(histogram)
            .saturating_record(us);
    }

    /// Counts an authenticated request of the customer `name`.
    pub fn record_customer(&self, name: &Arc<str>) {
        let mut customers = self
            .customers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let name = if customers.len() < MAX_CUSTOMERS || customers.contains_key(name) {
            Arc::clone(name)
        } else {
            Arc::from(OVERFLOW)
        };
        *customers.entry(name).or_default() += 1;
    }

    fn render_customers(&self, text: &mut String) {
        let customers = self
            .customers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let name = "dotterelhinge_customer_requests_total";
        let _ = writeln!(text, "# TYPE {name} counter");
        for (customer, requests) in &*customers {
            // Control characters, such as line feeds, can't occur in the names.
            let customer = customer.replace('\\', "\\\\").replace('"', "\\\"");
            let _ = writeln!(text, "{name}{{customer=\"{customer}\"}} {requests}");
        }
    }

    /// Replaces the list of backend servers that get no requests because of what
    /// they said. At most 256 are kept, those that asked for most time first.
    pub fn publish_withdrawn(&self, mut withdrawn: Vec<Withdrawn>) {
        withdrawn.sort_by_key(|server| std::cmp::Reverse(server.until));
        withdrawn.truncate(MAX_WITHDRAWN);
        *self
            .withdrawn
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = withdrawn;
    }

    fn render_zone_bytes(&self, text: &mut String) {
        let bytes = &self.zone_bytes;
        let name = "dotterelhinge_zone_bytes_total";
        let _ = writeln!(text, "# TYPE {name} counter");
        for (purpose, direction, counter) in [
            ("requests", "sent", &bytes.requests),
            ("responses", "received", &bytes.responses),
            ("evidence", "sent", &bytes.evidence_sent),
            ("evidence", "received", &bytes.evidence_received),
            ("copies", "received", &bytes.copies),
        ] {
            let labels = format!("purpose=\"{purpose}\",direction=\"{direction}\"");
            let _ = writeln!(text, "{name}{{{labels}}} {}", counter.get());
        }
    }

    fn render_withdrawn(&self, text: &mut String) {
        let now = Instant::now();
        let withdrawn = self
            .withdrawn
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let name = "dotterelhinge_upstream_deferred_seconds";
        let _ = writeln!(text, "# TYPE {name} gauge");
        for Withdrawn { upstream, until } in &*withdrawn {
            if let Some(until) = until {
                let left = until.saturating_duration_since(now).as_secs_f64();
                let _ = writeln!(text, "{name}{{upstream=\"{upstream}\"}} {left:.1}");
            }
        }
        let name = "dotterelhinge_upstream_leaving";
        let _ = writeln!(text, "# TYPE {name} gauge");
        for Withdrawn { upstream, until } in &*withdrawn {
            if until.is_none() {
                let _ = writeln!(text, "{name}{{upstream=\"{upstream}\"}} 1");
            }
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let counters = [
            ("requests", &self.requests),
            ("refused", &self.refused),
            ("unauthenticated", &self.unauthenticated),
            ("failed", &self.failed),
            ("attempts", &self.attempts),
            ("repeats", &self.repeats),
            ("hedges", &self.hedges),
            ("hedge_wins", &self.hedge_wins),
            ("hedges_cancelled", &self.hedges_cancelled),
            ("unreachable", &self.unreachable),
            ("abandoned", &self.abandoned),
            ("upstreams_leaving", &self.leaving),
            ("deferrals", &self.deferrals),
            ("overloaded", &self.overloaded),
            ("memory_refused", &self.memory_refused),
            ("linger_bytes", &self.linger_bytes),
            ("linger_expired", &self.linger_expired),
            ("memory_streamed", &self.memory_streamed),
            ("list_deltas", &self.list_deltas),
            ("list_deltas_unfit", &self.list_deltas_unfit),
            ("copies_fetched", &self.copies_fetched),
            ("copies_failed", &self.copies_failed),
            ("copies_served", &self.copies_served),
            ("copy_bytes_served", &self.copy_bytes_served),
            ("datagrams_received", &self.datagrams_received),
            ("datagram_bytes_received", &self.datagram_bytes_received),
            ("datagrams_sent", &self.datagrams_sent),
            ("datagram_bytes_sent", &self.datagram_bytes_sent),
            ("datagrams_held_back", &self.datagrams_held_back),
        ];
        let mut text = String::new();
        for (name, counter) in counters {
            let name = format!("dotterelhinge_{name}_total");
            // Writing to a string never fails.
            let _ = writeln!(text, "# TYPE {name} counter\n{name} {}", counter.get());
        }
        let gauges = [
            ("memory_held_bytes", &self.memory_held),
            ("memory_peak_bytes", &self.memory_peak),
            ("list_version", &self.list_version),
            ("list_age_ms", &self.list_age_ms),
        ];
        for (name, gauge) in gauges {
            let name = format!("dotterelhinge_{name}");
            let _ = writeln!(text, "# TYPE {name} gauge\n{name} {}", gauge.get());
        }
        self.render_zone_bytes(&mut text);
        self.render_withdrawn(&mut text);
        self.render_customers(&mut text);
        self.rate_limits.render(&mut text);
        self.waiting.render(&mut text);
        let name = "dotterelhinge_answer_seconds";
        let _ = writeln!(text, "# TYPE {name} summary");
        let classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        for (class, histogram) in &*classes {
            render_quantiles(&mut text, name, &format!("class=\"{class}\""), histogram);
        }
        text
    }
}

/// Creates a histogram of times in microseconds.
fn histogram() -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, 1000, 2).expect("constant bounds are valid");
    histogram.auto(true);
    histogram
}

/// Appends the quantiles and the number of the times in `histogram` to `text`.
fn render_quantiles(text: &mut String, name: &str, label: &str, histogram: &Histogram<u64>) {
    for quantile in [0.5, 0.9, 0.99, 1.0] {
        let seconds = histogram.value_at_quantile(quantile) as f64 / 1e6;
        let _ = writeln!(text, "{name}{{{label},quantile=\"{quantile}\"}} {seconds}");
    }
    let _ = writeln!(text, "{name}_count{{{label}}} {}", histogram.len());
}
