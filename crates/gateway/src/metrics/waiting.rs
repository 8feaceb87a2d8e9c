//! Metrics of requests that wait for room at the backend servers.

use std::{
    collections::BTreeMap,
    fmt::Write,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hdrhistogram::Histogram;

use super::{Gauge, MAX_RECORDED_US, histogram, render_quantiles};

/// Requests of one priority.
#[derive(Debug)]
struct Priority {
    waited: Histogram<u64>,
    refused: u64,
}

/// Metrics of waiting.
#[derive(Debug, Default)]
pub struct Waiting {
    /// Requests that wait now.
    pub requests: Gauge,
    priorities: Mutex<BTreeMap<u8, Priority>>,
    occupancies: Mutex<Vec<(Arc<str>, f64)>>,
}

impl Waiting {
    /// Records that a request with `priority` was sent after it had waited.
    pub fn record(&self, priority: u8, waited: Duration) {
        let us = (waited.as_micros() as u64).clamp(1, MAX_RECORDED_US);
        self.with(priority, |it| it.waited.saturating_record(us));
    }

    /// Records that a request with `priority` was refused for lack of room.
    pub fn record_refusal(&self, priority: u8) {
        self.with(priority, |it| it.refused += 1);
    }

    /// Replaces the occupancies of the services.
    pub fn publish_occupancies(&self, occupancies: Vec<(Arc<str>, f64)>) {
        *locked(&self.occupancies) = occupancies;
    }

    fn with(&self, priority: u8, update: impl FnOnce(&mut Priority)) {
        let mut priorities = locked(&self.priorities);
        update(priorities.entry(priority).or_insert_with(|| Priority {
            waited: histogram(),
            refused: 0,
        }));
    }

    /// Appends the metrics to `text`.
    pub(super) fn render(&self, text: &mut String) {
        let name = "dotterelhinge_waiting_requests";
        // Writing to a string never fails.
        let _ = writeln!(text, "# TYPE {name} gauge\n{name} {}", self.requests.get());
        let name = "dotterelhinge_service_occupancy";
        let _ = writeln!(text, "# TYPE {name} gauge");
        for (service, occupancy) in &*locked(&self.occupancies) {
            let _ = writeln!(text, "{name}{{service=\"{service}\"}} {occupancy:.3}");
        }
        let priorities = locked(&self.priorities);
        let name = "dotterelhinge_waiting_refused_total";
        let _ = writeln!(text, "# TYPE {name} counter");
        for (priority, it) in &*priorities {
            let _ = writeln!(text, "{name}{{priority=\"{priority}\"}} {}", it.refused);
        }
        let name = "dotterelhinge_waited_seconds";
        let _ = writeln!(text, "# TYPE {name} summary");
        for (priority, it) in &*priorities {
            render_quantiles(text, name, &format!("priority=\"{priority}\""), &it.waited);
        }
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
