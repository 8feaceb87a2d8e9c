//! Per-class limit after which an attempt counts as slow.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::contract;

/// Multiple of the 95th percentile after which an attempt counts as slow.
const LIMIT_FACTOR: f64 = 3.0;

/// Latency quantile that the limit is derived from.
const LIMIT_QUANTILE: f64 = 0.95;

/// Minimum limit. Scheduling and network jitter of a few milliseconds must not
/// make a fast class look slow.
const MIN_LIMIT: Duration = Duration::from_millis(20);

/// Limit for uploads before there are enough samples: twice the 32 s that 64 MB
/// take at 2 MB/s. Uploads without progress end earlier, by the progress timeout.
const INITIAL_UPLOAD_LIMIT: Duration = Duration::from_secs(64);

/// Maximum latency in the histogram; longer ones are recorded as this.
const MAX_LATENCY: Duration = Duration::from_secs(3600);

/// Minimum number of samples for using the quantile. With fewer, the 95th
/// percentile is the largest sample or the one before it.
const MIN_SAMPLES: u64 = 30;

/// Count added per sample. It exceeds 1 so that a sample survives several
/// halvings in part.
const SAMPLE_WEIGHT: u64 = 16;

/// Time between halvings of the counts. The limit follows a lasting change of
/// load after about a minute.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// Precision of the histogram. With one significant digit, the relative bucket
/// width is at most 1/16, which is small compared to [`LIMIT_FACTOR`] of 3, and
/// the counts take less than 2 KB.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Latency distribution of one class over all upstreams of a service.
#[derive(Clone, Debug)]
pub struct Latency {
    counts: Option<Histogram<u32>>,
    limit: Duration,
    initial_limit: Duration,
    max_limit: Duration,
    last_halved: Instant,
}

impl Latency {
    /// Creates a distribution without samples.
    ///
    /// Until there are enough samples, the limit is half of the deadline, except
    /// for uploads. An attempt that leaves no time for another one is slow in
    /// any class, and a lower limit would count against healthy upstreams.
    pub fn new(class: &contract::Class, now: Instant) -> Self {
        let (initial_limit, max_limit) = if class.upload {
            (INITIAL_UPLOAD_LIMIT, MAX_LATENCY)
        } else {
            let max_limit = class.deadline.max(MIN_LIMIT);
            ((class.deadline / 2).max(MIN_LIMIT), max_limit)
        };
        Self {
            counts: None,
            limit: initial_limit,
            initial_limit,
            max_limit,
            last_halved: now,
        }
    }

    /// Returns the same samples with changed parameters of the class.
    pub fn reconfigured(&self, class: &contract::Class, now: Instant) -> Self {
        let mut latency = Self {
            counts: self.counts.clone(),
            last_halved: self.last_halved,
            ..Self::new(class, now)
        };
        latency.update();
        latency
    }

    /// Adds the latency of an attempt. The caller leaves out suspect upstreams,
    /// because one slow upstream of 8 would determine the 95th percentile.
    pub fn record(&mut self, elapsed: Duration) {
        let counts = self.counts.get_or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_LATENCY.as_micros() as u64, SIGNIFICANT_DIGITS)
                .expect("the bounds are constant and valid")
        });
        counts.saturating_record_n(elapsed.as_micros().max(1) as u64, SAMPLE_WEIGHT as u32);
    }

    /// Decays the counts and recomputes the limit.
    pub fn refresh(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_halved) >= HALF_LIFE {
            self.last_halved = now;
            self.halve();
        }
        self.update();
    }

    /// Returns the time after which an attempt counts as slow.
    pub fn limit(&self) -> Duration {
        self.limit
    }

    /// Halves the counts, unless that would leave a class with few requests with
    /// fewer than [`MIN_SAMPLES`].
    fn halve(&mut self) {
        let Some(counts) = &mut self.counts else {
            return;
        };
        if counts.len() < 2 * MIN_SAMPLES * SAMPLE_WEIGHT {
            return;
        }
        let retained: Vec<(u64, u32)> = counts
            .iter_recorded()
            .map(|v| (v.value_iterated_to(), v.count_at_value() / 2))
            .collect();
        counts.reset();
        for (value, count) in retained {
            counts.saturating_record_n(value, count);
        }
    }

    fn update(&mut self) {
        self.limit = match &self.counts {
            Some(counts) if counts.len() >= MIN_SAMPLES * SAMPLE_WEIGHT => {
                let quantile = Duration::from_micros(counts.value_at_quantile(LIMIT_QUANTILE));
                quantile
                    .mul_f64(LIMIT_FACTOR)
                    .clamp(MIN_LIMIT, self.max_limit)
            }
            _ => self.initial_limit,
        };
    }
}
