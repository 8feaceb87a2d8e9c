//! Counters, gauges and latency histograms of one daemon.
//!
//! There is a histogram for each class and for each of the first
//! [`MAX_CUSTOMERS`] customers, readable on the admin port. If a StatsD address
//! is set, request latencies and event counts are sent there as well.

use std::{
    collections::HashMap,
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use cadence::prelude::*;
use hdrhistogram::Histogram;

/// Maximum number of customers with a histogram of their own. The others share
/// the histogram `(other)`, so that memory stays bounded with 120,000 customers.
const MAX_CUSTOMERS: usize = 256;

/// Maximum recorded latency, in microseconds (10 minutes).
const MAX_LATENCY_US: u64 = 600_000_000;

/// Counters of control traffic and requests.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    /// Requests received from callers.
    pub requests: AtomicU64,
    /// Attempts started on an upstream.
    pub attempts: AtomicU64,
    /// Attempts placed without a grant of the coordinator.
    pub fallbacks: AtomicU64,
    /// Bytes of control messages sent to other daemons, heads included.
    pub control_bytes_sent: AtomicU64,
    /// Bytes of control messages received from other daemons, heads included.
    pub control_bytes_received: AtomicU64,
}

/// Metrics of one daemon.
pub(crate) struct Registry {
    /// Counters shown on the admin port.
    pub counters: Counters,
    classes: std::sync::Mutex<HashMap<Arc<str>, Histogram<u64>>>,
    customers: std::sync::Mutex<HashMap<Arc<str>, Histogram<u64>>>,
    statsd: Option<cadence::StatsdClient>,
}

impl Registry {
    /// Creates a registry that also sends to the StatsD address `sink`, if there
    /// is one. Fails if no UDP socket can be set up.
    pub(crate) fn new(host: &str, sink: Option<SocketAddr>) -> std::io::Result<Self> {
        let statsd = match sink {
            None => None,
            Some(address) => {
                let socket =
                    UdpSocket::bind(("127.0.0.1", 0)).or_else(|_| UdpSocket::bind("0.0.0.0:0"))?;
                socket.set_nonblocking(true)?;
                let udp = cadence::BufferedUdpMetricSink::from(address, socket)
                    .map_err(std::io::Error::other)?;
                let queued = cadence::QueuingMetricSink::with_capacity(udp, 4096);
                Some(
                    cadence::StatsdClient::builder("dotterelhinge", queued)
                        .with_tag("host", host)
                        .with_error_handler(|_| {})
                        .build(),
                )
            }
        };
        Ok(Self {
            counters: Counters::default(),
            classes: Default::default(),
            customers: Default::default(),
            statsd,
        })
    }

    /// Adds `n` to a counter.
    pub(crate) fn add(counter: &AtomicU64, n: u64) {
        counter.fetch_add(n, Ordering::Relaxed);
    }

    /// Records the result and latency of a finished request.
    pub(crate) fn record_request(
        &self,
        class: &Arc<str>,
        customer: &Arc<str>,
        result: &str,
        latency: Duration,
    ) {
        let micros = (latency.as_micros() as u64).clamp(1, MAX_LATENCY_US);
        record_latency(&self.classes, class, usize::MAX, micros);
        record_latency(&self.customers, customer, MAX_CUSTOMERS, micros);
        if let Some(statsd) = &self.statsd {
            let _ = statsd
                .time_with_tags("request", latency)
                .with_tag("class", class)
                .with_tag("result", result)
                .try_send();
        }
    }

    /// Increments the StatsD counter `name`.
    pub(crate) fn count_event(&self, name: &str) {
        if let Some(statsd) = &self.statsd {
            let _ = statsd.count(name, 1);
        }
    }

    /// Returns copies of the histograms by class and by customer, in
    /// microseconds, sorted by name. Blocks recording during the copy.
    pub(crate) fn histograms(&self) -> [Vec<(Arc<str>, Histogram<u64>)>; 2] {
        [&self.classes, &self.customers].map(|map| {
            let map = map.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            let mut list: Vec<_> = map
                .iter()
                .map(|(name, histogram)| (Arc::clone(name), histogram.clone()))
                .collect();
            list.sort_by(|left, right| left.0.cmp(&right.0));
            list
        })
    }
}

fn record_latency(
    map: &std::sync::Mutex<HashMap<Arc<str>, Histogram<u64>>>,
    name: &Arc<str>,
    max_entries: usize,
    micros: u64,
) {
    let mut map = map.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let name = if map.len() >= max_entries && !map.contains_key(name) {
        Arc::from("(other)")
    } else {
        Arc::clone(name)
    };
    map.entry(name)
        .or_insert_with(|| {
            let mut histogram =
                Histogram::new_with_bounds(1, 1000, 2).expect("constant bounds are valid");
            histogram.auto(true);
            histogram
        })
        .saturating_record(micros);
}
