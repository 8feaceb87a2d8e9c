//! Refuses requests that a host's processor is too busy to answer in time.
//!
//! Load pattern: requests arrive faster than the processor of a host serves them,
//! because it is slow, shared or busy with what a faulty server sends. All of them
//! progress equally slowly, so that each one is answered after its deadline, and
//! the work on requests whose callers have left displaces the others. That lasts
//! for as long as the load does. Refusing at once what can't be answered in time
//! keeps the rest in time.
//!
//! The measure is the scheduling lag: how long a task that is ready to run waits
//! until it does.

use std::time::{Duration, Instant};

/// Parameters of the decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Times that a request waits to be scheduled, from the arrival of its bytes
    /// until its answer is written.
    pub waits: u32,
    /// Maximum share of the time left that these waits may take.
    pub share: f64,
    /// Minimum time between two measurements.
    pub interval: Duration,
    /// Lag that other work on the machine causes too, and that therefore tells nothing
    /// about requests.
    pub noise: Duration,
    /// Minimum number of requests among which a lag is divided. Other tasks of the
    /// host cause a part of it, which is all of it if there are few requests.
    pub min_requests: usize,
    /// Factor, for each measurement, by which the lag that one request causes is
    /// forgotten.
    pub decay: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            waits: 6,
            share: 0.5,
            interval: Duration::from_millis(50),
            noise: Duration::from_millis(20),
            min_requests: 8,
            decay: 0.97,
        }
    }
}

/// The scheduling lag of a host.
#[derive(Clone, Debug)]
pub struct Lag {
    settings: Settings,
    /// The last two complete measurements, the later one first.
    latest: Duration,
    previous: Duration,
    /// When the measurement that is under way began.
    begun: Option<Instant>,
    ended: Option<Instant>,
    /// Requests refused since the measurement began, which took a part of it.
    refused: usize,
    /// Lag for each request under way, the highest of the last measurements.
    ratio: Duration,
}

impl Lag {
    /// Creates a lag of which nothing was measured.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            latest: Duration::ZERO,
            previous: Duration::ZERO,
            begun: None,
            ended: None,
            refused: 0,
            ratio: Duration::ZERO,
        }
    }

    /// Begins a measurement if one is due. If so, returns `true`, and the caller
    /// schedules a task that calls [`Lag::end`].
    pub fn begin(&mut self, now: Instant) -> bool {
        let is_recent = self
            .ended
            .is_some_and(|ended| now.saturating_duration_since(ended) < self.settings.interval);
        if self.begun.is_some() || is_recent {
            return false;
        }
        self.begun = Some(now);
        self.refused = 0;
        true
    }

    /// Ends the measurement that is under way, as its task runs while `requests`
    /// are under way.
    pub fn end(&mut self, now: Instant, requests: usize) {
        let Some(begun) = self.begun.take() else {
            return;
        };
        self.previous = self.latest;
        self.latest = now.saturating_duration_since(begun);
        self.ended = Some(now);
        let requests = (requests + self.refused).max(self.settings.min_requests);
        let lag = self.latest.min(self.previous);
        let ratio = if lag > self.settings.noise {
            lag.div_f64(requests as f64)
        } else {
            Duration::ZERO
        };
        self.ratio = ratio.max(self.ratio.mul_f64(self.settings.decay));
    }

    /// Returns the lag: the shorter one of two successive measurements, so that a
    /// single pause of the process doesn't count.
    pub fn get(&self, now: Instant) -> Duration {
        let current = self
            .begun
            .map_or(Duration::ZERO, |begun| now.saturating_duration_since(begun));
        let complete = self.latest.min(self.previous);
        complete.max(current.min(self.latest))
    }

    /// Returns by how much sooner than its deadline a request that arrives at `now`
    /// has to end: it has waited to be read, and its answer waits to be written.
    pub fn margin(&self, now: Instant) -> Duration {
        2 * self.get(now)
    }

    /// Returns whether a request that arrives at `now`, while `requests` are under
    /// way, can be answered within `left`.
    ///
    /// The lag follows the number of requests with a delay of several turns of all
    /// tasks. What was admitted since the last measurement counts at once, so that
    /// a burst after a lull is not admitted whole.
    pub fn admits(&mut self, now: Instant, left: Duration, requests: usize) -> bool {
        let expected = self.ratio.mul_f64(requests as f64).max(self.get(now));
        let admits = expected * self.settings.waits <= left.mul_f64(self.settings.share);
        if !admits {
            self.refused += 1;
        }
        admits
    }
}
