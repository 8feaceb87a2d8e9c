//! Figures computed from records and results.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{backend::record::Entry, caller::judge::Outcome, caller::result::Results};

/// Time after the last request in which a server must stay quiet to count as
/// avoided.
const QUIET_MS: f64 = 2000.0;

/// Share of the usual rate below which a server counts as quiet. Trial
/// requests and requests of single daemons stay below it.
const QUIET_SHARE: f64 = 0.1;

/// How long a faulty server kept receiving work.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct Detection {
    /// Seconds from the fault to the last request before the quiet time, or to
    /// the end of the run if there was none.
    pub seconds: f64,
    /// Whether the server became quiet before the end of the run.
    pub detected: bool,
}

/// Detection time of a server: from the fault to the last request begun there
/// that is followed by 2 s with less than 1/10 of the usual requests.
///
/// `begins` are the ordered beginnings on this server, `rate` the usual
/// requests per second, `end` the end of the arrivals. All times are in
/// milliseconds on the record's clock. Later trial requests do not count.
pub fn detection(begins: &[f64], fault: f64, rate: f64, end: f64) -> Detection {
    let limit = rate * QUIET_MS / 1e3 * QUIET_SHARE;
    let after: Vec<f64> = begins.iter().copied().filter(|b| *b >= fault).collect();
    let candidates = std::iter::once(fault).chain(after.iter().copied());
    for (passed, time) in candidates.enumerate() {
        if time + QUIET_MS > end {
            break;
        }
        let following = after[passed..].iter();
        let within = following.take_while(|b| **b <= time + QUIET_MS).count();
        if (within as f64) < limit {
            return Detection {
                seconds: (time - fault) / 1e3,
                detected: true,
            };
        }
    }
    Detection {
        seconds: (end - fault).max(0.0) / 1e3,
        detected: false,
    }
}

/// Cost of a fault with the weights that operators declared for a class.
pub fn cost(
    false_ejections: f64,
    false_ejection_cost: f64,
    detection_seconds: f64,
    detection_second_cost: f64,
) -> f64 {
    false_ejections * false_ejection_cost + detection_seconds * detection_second_cost
}

/// Probability that a request waits in an M/M/c queue (Erlang C), with
/// `servers` slots used to the share `load`.
pub fn waiting_share(servers: u64, load: f64) -> f64 {
    if load >= 1.0 {
        return 1.0;
    }
    let offered = servers as f64 * load;
    // Erlang B by its recursion, which neither overflows nor cancels.
    let blocked = (1..=servers).fold(1.0, |b, n| offered * b / (n as f64 + offered * b));
    blocked / (1.0 - load * (1.0 - blocked))
}

/// Quantile of the wait in an M/M/c queue, the ideal single queue.
pub fn ideal_wait(servers: u64, load: f64, service: Duration, quantile: f64) -> Duration {
    if load >= 1.0 {
        return Duration::MAX;
    }
    let waiting = waiting_share(servers, load);
    let over = waiting / (1.0 - quantile);
    if over <= 1.0 {
        return Duration::ZERO;
    }
    service.mul_f64(over.ln() / (servers as f64 * (1.0 - load)))
}

/// Value at a quantile of ordered values, by the nearest rank.
pub fn quantile(ordered: &[f64], quantile: f64) -> Option<f64> {
    let rank = (quantile * ordered.len() as f64).ceil().max(1.0) as usize;
    ordered.get(rank - 1).copied()
}

/// Orders values and returns their median.
pub fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    quantile(values, 0.5)
}

/// Latency in milliseconds that each whole answer had beyond the service time
/// of its last attempt in the record, by kind and ordered.
///
/// Subtracting per request removes the spread of the service times, which is
/// many times as large as the latency added.
pub fn added(record: &[Entry], results: &Results) -> HashMap<String, Vec<f64>> {
    let service: HashMap<&str, f64> = record
        .iter()
        .filter_map(|e| Some((e.id.as_deref()?, e.end_ms? - e.start_ms)))
        .collect();
    let mut added: HashMap<String, Vec<f64>> = HashMap::new();
    for request in results
        .requests
        .iter()
        .filter(|r| r.outcome == Outcome::Whole)
    {
        if let Some(service) = service.get(request.id.as_str()) {
            let value = request.micros as f64 / 1e3 - service;
            added.entry(request.kind.clone()).or_default().push(value);
        }
    }
    for values in added.values_mut() {
        values.sort_by(f64::total_cmp);
    }
    added
}

/// Number of requests of each class that began more than once.
pub fn repeated(record: &[Entry]) -> HashMap<String, u64> {
    let mut begun: HashMap<&str, (u64, &str)> = HashMap::new();
    for entry in record {
        if let Some(id) = &entry.id {
            begun.entry(id).or_insert((0, &entry.class)).0 += 1;
        }
    }
    let mut repeated = HashMap::new();
    for (count, class) in begun.into_values() {
        if count > 1 {
            *repeated.entry(class.to_owned()).or_default() += 1;
        }
    }
    repeated
}
