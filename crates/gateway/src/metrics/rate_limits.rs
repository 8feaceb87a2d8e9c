//! Metrics of the limits of customers.

use std::{
    collections::BTreeMap,
    fmt::Write,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Maximum customers with a counter of their own; the refusals of further ones
/// are counted under [`OVERFLOW_CUSTOMER`].
const MAX_CUSTOMERS: usize = 256;

/// Label under which the refusals of further customers are counted.
const OVERFLOW_CUSTOMER: &str = "(other)";

#[derive(Debug, Default)]
struct State {
    refused: BTreeMap<Arc<str>, u64>,
    coverage: Option<f64>,
}

/// Refused requests by customer, and the coverage of this host.
#[derive(Debug, Default)]
pub struct RateLimits(Mutex<State>);

impl RateLimits {
    /// Counts a refused request of `customer`.
    pub fn record_refusal(&self, customer: &Arc<str>) {
        let refused = &mut self.lock().refused;
        if let Some(count) = refused.get_mut(customer) {
            *count += 1;
            return;
        }
        let label = if refused.len() < MAX_CUSTOMERS {
            Arc::clone(customer)
        } else {
            Arc::from(OVERFLOW_CUSTOMER)
        };
        *refused.entry(label).or_default() += 1;
    }

    /// Sets the fraction of each limit that this host uses; `None` without limits.
    pub fn set_coverage(&self, coverage: Option<f64>) {
        self.lock().coverage = coverage;
    }

    /// Appends the metrics in the Prometheus text format.
    pub(super) fn render(&self, text: &mut String) {
        let state = self.lock();
        let name = "dotterelhinge_rate_limited_total";
        // Writing to a string never fails.
        let _ = writeln!(text, "# TYPE {name} counter");
        for (customer, count) in &state.refused {
            let customer = escape(customer);
            let _ = writeln!(text, "{name}{{customer=\"{customer}\"}} {count}");
        }
        if let Some(coverage) = state.coverage {
            let name = "dotterelhinge_rate_limit_coverage";
            let _ = writeln!(text, "# TYPE {name} gauge\n{name} {coverage:.4}");
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Escapes the value of a label.
fn escape(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
