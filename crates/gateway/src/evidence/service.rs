//! What is known about a service from the attempts of all hosts.

use std::time::{Duration, Instant};

use super::{OVERDUE_RATIO, Outcome};

/// Weight of one attempt in the moving averages of a service.
const SERVICE_WEIGHT: f64 = 0.02;

/// Time constant of the rate of attempts. Bursts of some seconds are followed.
const RATE_TIME: Duration = Duration::from_secs(1);

/// Moving averages over all attempts at a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Service {
    /// Typical response time in seconds; `None` before the first response.
    pub(super) typical_latency: Option<f64>,
    /// Share of the attempts that were shed.
    pub(super) shed_ratio: f64,
    /// Share of the attempts that failed, timed out or were shed.
    pub(super) failure_ratio: f64,
    /// Attempts per second, as of `rate_at`.
    rate: f64,
    rate_at: Option<Instant>,
}

/// Failure ratio assumed of a service before its first attempt has ended.
pub(super) const INITIAL_FAILURE_RATIO: f64 = 0.2;

impl Default for Service {
    fn default() -> Self {
        Self {
            typical_latency: None,
            shed_ratio: 0.0,
            failure_ratio: INITIAL_FAILURE_RATIO,
            rate: 0.0,
            rate_at: None,
        }
    }
}

impl Service {
    pub(super) fn record_outcome(&mut self, now: Instant, outcome: Outcome) {
        let update = |ratio: &mut f64, is_counted: bool| {
            *ratio += (f64::from(u8::from(is_counted)) - *ratio) * SERVICE_WEIGHT;
        };
        match outcome {
            Outcome::Good | Outcome::Finished | Outcome::Failed | Outcome::Silent => {
                self.count_attempt(now);
                let is_good = matches!(outcome, Outcome::Good | Outcome::Finished);
                update(&mut self.shed_ratio, false);
                update(&mut self.failure_ratio, !is_good);
            }
            Outcome::Shed => {
                self.count_attempt(now);
                update(&mut self.shed_ratio, true);
                update(&mut self.failure_ratio, true);
            }
            Outcome::StillRunning
            | Outcome::Overdue
            | Outcome::Refused
            | Outcome::Unreachable
            | Outcome::Gone
            | Outcome::Leaving => {}
        }
    }

    /// Returns the attempts per second of the last second or so.
    pub(super) fn attempt_rate(&self, now: Instant) -> f64 {
        let idle = self
            .rate_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.rate * (-idle.div_duration_f64(RATE_TIME)).exp()
    }

    fn count_attempt(&mut self, now: Instant) {
        self.rate = self.attempt_rate(now) + RATE_TIME.as_secs_f64().recip();
        self.rate_at = Some(now);
    }

    pub(super) fn record_latency(&mut self, elapsed: f64) {
        let typical = self.typical_latency.get_or_insert(elapsed);
        *typical += (elapsed.min(*typical * OVERDUE_RATIO) - *typical) * SERVICE_WEIGHT;
    }
}
