//! Results of a run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Deserializer, Serializer as _, V2Serializer};
use serde::{Deserialize, Serialize};

use crate::caller::base64;
use crate::caller::judge::{Outcome, Verdict};
use crate::caller::mix::Mix;

/// Longest latency that is told apart, in microseconds (1 h).
const MAX_MICROS: u64 = 3_600_000_000;

/// A request and what became of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// `x-request-id`.
    pub id: String,
    /// Name of its kind.
    pub kind: String,
    /// What the caller knows.
    pub outcome: Outcome,
    /// Kind of the failure or of the wrong answer; empty if whole.
    pub detail: String,
    /// `idempotency-key`.
    pub key: Option<String>,
    /// `x-server` of the answer.
    pub server: Option<String>,
    /// Intended start in milliseconds since the start of the run.
    pub at_ms: f64,
    /// Time from the intended start to the end, in microseconds.
    pub micros: u64,
}

/// Latencies in microseconds from the intended start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    #[serde(rename = "p99.9")]
    pub p999: u64,
    /// Largest value.
    pub max: u64,
    /// The histogram in HdrHistogram V2 format, in base64.
    pub histogram: String,
}

impl Latency {
    fn new(histogram: &Histogram<u64>) -> Self {
        let mut bytes = Vec::new();
        let text = match V2Serializer::new().serialize(histogram, &mut bytes) {
            Ok(_) => base64::encode(&bytes),
            Err(error) => {
                log::error!("histogram not serialised: {error:?}");
                String::new()
            }
        };
        Latency {
            count: histogram.len(),
            p50: histogram.value_at_quantile(0.5),
            p90: histogram.value_at_quantile(0.9),
            p99: histogram.value_at_quantile(0.99),
            p999: histogram.value_at_quantile(0.999),
            max: histogram.max(),
            histogram: text,
        }
    }

    /// The histogram, unless the text is damaged.
    pub fn decode(&self) -> Option<Histogram<u64>> {
        let bytes = base64::decode(&self.histogram)?;
        Deserializer::new().deserialize(&mut bytes.as_slice()).ok()
    }
}

/// Results of one kind of request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Kind {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Requests sent.
    pub sent: u64,
    /// Own and whole answers with a status below 400.
    pub whole: u64,
    /// Requests by failure: kind of the problem answer, status or broken
    /// transfer.
    pub failed: BTreeMap<String, u64>,
    /// Wrong answers by reason.
    pub wrong: BTreeMap<String, u64>,
    /// Requests proved not to have run.
    pub not_run: u64,
    /// Requests of which the caller cannot know whether they ran.
    pub unproven: u64,
    /// Requests sent again because their reused connection had closed.
    pub reconnected: u64,
    /// Latencies of whole answers.
    pub latency: Latency,
    /// Latencies of all requests, to their failure if they failed.
    pub latency_all: Latency,
}

/// Result file of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// Requests per second that were asked for.
    pub rate: f64,
    /// Length of the arrivals in seconds that was asked for.
    pub seconds: f64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Time from the first arrival to the last answer in milliseconds.
    pub elapsed_ms: f64,
    /// Arrivals not sent because too many requests were in flight. A run with
    /// such arrivals understates the latencies.
    pub not_sent: u64,
    /// Results by kind.
    pub kinds: BTreeMap<String, Kind>,
    /// Every request that was sent.
    pub requests: Vec<Request>,
}

/// Collects requests into results.
#[derive(Debug)]
pub struct Collector {
    kinds: Vec<(String, Kind, Histogram<u64>, Histogram<u64>)>,
    requests: Vec<Request>,
}

/// A request that has ended.
#[derive(Debug)]
pub struct Ended {
    /// Number of its kind in the mix.
    pub kind: usize,
    /// Outcome and reason.
    pub verdict: Verdict,
    /// `x-request-id`.
    pub id: String,
    /// `idempotency-key`.
    pub key: Option<String>,
    /// `x-server` of the answer.
    pub server: Option<String>,
    /// Intended start in milliseconds since the start of the run.
    pub at_ms: f64,
    /// Time from the intended start to the end, in microseconds.
    pub micros: u64,
    /// Whether it was sent again on a new connection.
    pub reconnected: bool,
}

impl Collector {
    /// A collector without requests.
    ///
    /// # Panics
    ///
    /// Does not panic: the bounds of the histograms are constant and valid.
    pub fn new(mix: &Mix) -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("constant bounds are valid");
        Collector {
            kinds: mix
                .kinds
                .iter()
                .map(|kind| {
                    let result = Kind {
                        repeatable: kind.repeatable,
                        ..Default::default()
                    };
                    (kind.name.clone(), result, histogram(), histogram())
                })
                .collect(),
            requests: Vec::new(),
        }
    }

    /// Adds a request.
    pub fn add(&mut self, ended: Ended) {
        let Some((name, kind, whole, all)) = self.kinds.get_mut(ended.kind) else {
            return;
        };
        let Verdict { outcome, detail } = ended.verdict;
        kind.sent += 1;
        kind.reconnected += u64::from(ended.reconnected);
        all.saturating_record(ended.micros);
        match outcome {
            Outcome::Whole => {
                kind.whole += 1;
                whole.saturating_record(ended.micros);
            }
            Outcome::Wrong => *kind.wrong.entry(detail.clone()).or_default() += 1,
            Outcome::Answered | Outcome::NotRun | Outcome::Unknown => {
                *kind.failed.entry(detail.clone()).or_default() += 1;
                kind.not_run += u64::from(outcome == Outcome::NotRun);
                kind.unproven += u64::from(outcome == Outcome::Unknown);
            }
        }
        self.requests.push(Request {
            id: ended.id,
            kind: name.clone(),
            outcome,
            detail,
            key: ended.key,
            server: ended.server,
            at_ms: ended.at_ms,
            micros: ended.micros,
        });
    }

    /// The results so far. Fields about the run are left at their defaults.
    pub fn finish(self) -> Results {
        Results {
            kinds: self
                .kinds
                .into_iter()
                .map(|(name, mut kind, whole, all)| {
                    kind.latency = Latency::new(&whole);
                    kind.latency_all = Latency::new(&all);
                    (name, kind)
                })
                .collect(),
            requests: self.requests,
            ..Default::default()
        }
    }
}
