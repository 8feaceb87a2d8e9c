//! The time after which an attempt counts as slow.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::contract;

/// An attempt is slow after this many times the 95th percentile.
const FACTOR: f64 = 3.0;

/// Quantile that the limit derives from.
const QUANTILE: f64 = 0.95;

/// Least limit. Scheduling and network jitter of a few milliseconds must not
/// make a fast class look slow.
const LIMIT_MIN: Duration = Duration::from_millis(20);

/// Limit of an upload before there is data: 64 MB at 2 MB/s take 32 s, and twice
/// that is allowed. Silent uploads end earlier by their progress timeout.
const UPLOAD_START: Duration = Duration::from_secs(64);

/// Greatest latency that the histogram tells apart.
const LATENCY_MAX: Duration = Duration::from_secs(3600);

/// Samples below which the quantile is not used; with fewer the 95th percentile
/// is the largest sample or the one before it.
const SAMPLES_MIN: u64 = 30;

/// Count of one sample, so that several halvings leave a part of it.
const SAMPLE_WEIGHT: u64 = 16;

/// Time between halvings of the counts. A lasting change of load shows in the
/// limit after about a minute.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// One significant digit: the buckets are at most 1/16 wide, which is little
/// beside the factor 3, and the counts take less than 2 KB.
const DIGITS: u8 = 1;

/// Latency distribution of one class over all upstreams of a service.
#[derive(Clone, Debug)]
pub struct Latency {
    counts: Option<Histogram<u32>>,
    limit: Duration,
    start: Duration,
    limit_max: Duration,
    halved: Instant,
}

impl Latency {
    /// Distribution without samples. Until there are enough, the limit is half
    /// of the deadline: an attempt that leaves no time for another one is slow
    /// in any class, and a shorter guess would blame healthy upstreams.
    pub fn new(class: &contract::Class, now: Instant) -> Self {
        let (start, limit_max) = if class.upload {
            (UPLOAD_START, LATENCY_MAX)
        } else {
            let limit_max = class.deadline.max(LIMIT_MIN);
            ((class.deadline / 2).max(LIMIT_MIN), limit_max)
        };
        Self {
            counts: None,
            limit: start,
            start,
            limit_max,
            halved: now,
        }
    }

    /// The same samples under changed terms of the class.
    pub fn reconfigured(&self, class: &contract::Class, now: Instant) -> Self {
        let mut latency = Self {
            counts: self.counts.clone(),
            halved: self.halved,
            ..Self::new(class, now)
        };
        latency.update();
        latency
    }

    /// Adds the latency of an attempt. The caller leaves out upstreams that are
    /// under suspicion, because one slow upstream of 8 would decide the 95th
    /// percentile.
    pub fn record(&mut self, elapsed: Duration) {
        let counts = self.counts.get_or_insert_with(|| {
            Histogram::new_with_bounds(1, LATENCY_MAX.as_micros() as u64, DIGITS)
                .expect("the bounds are constant and valid")
        });
        counts.saturating_record_n(elapsed.as_micros().max(1) as u64, SAMPLE_WEIGHT as u32);
    }

    /// Decays the counts and recomputes the limit.
    pub fn refresh(&mut self, now: Instant) {
        if now.saturating_duration_since(self.halved) >= HALF_LIFE {
            self.halved = now;
            self.halve();
        }
        self.update();
    }

    /// Time after which an attempt counts as slow.
    pub fn limit(&self) -> Duration {
        self.limit
    }

    /// Halves the counts, unless a quiet class would lose its evidence.
    fn halve(&mut self) {
        let Some(counts) = &mut self.counts else {
            return;
        };
        if counts.len() < 2 * SAMPLES_MIN * SAMPLE_WEIGHT {
            return;
        }
        let kept: Vec<(u64, u32)> = counts
            .iter_recorded()
            .map(|v| (v.value_iterated_to(), v.count_at_value() / 2))
            .collect();
        counts.reset();
        for (value, count) in kept {
            counts.saturating_record_n(value, count);
        }
    }

    fn update(&mut self) {
        self.limit = match &self.counts {
            Some(counts) if counts.len() >= SAMPLES_MIN * SAMPLE_WEIGHT => {
                let quantile = Duration::from_micros(counts.value_at_quantile(QUANTILE));
                quantile.mul_f64(FACTOR).clamp(LIMIT_MIN, self.limit_max)
            }
            _ => self.start,
        };
    }
}
