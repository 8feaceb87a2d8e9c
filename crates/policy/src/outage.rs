//! Estimates the probability that a backend server is in an outage.
//!
//! A backend server with a gray failure answers nearly all requests with an
//! error for some seconds, then recovers by itself, while its health check
//! passes all the time. The filter is a hidden Markov model with two states,
//! healthy and outage. Each outcome updates the probability of the outage state
//! by Bayes' rule; without outcomes it converges to the stationary probability.
//! One failure is enough to suspect a server that was healthy a moment ago, and
//! two successful responses are then enough to clear the suspicion.

use std::time::{Duration, Instant};

/// Parameters of the hidden Markov model.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Ratio of requests that fail at a healthy backend server.
    pub healthy_failure_ratio: f64,
    /// Ratio of requests that fail at a backend server in an outage.
    pub outage_failure_ratio: f64,
    /// Ratio of the failures during an outage that arrive within the usual time
    /// to fail, after which a request counts as [`Evidence::StillRunning`].
    pub fast_failure_ratio: f64,
    /// Mean time between two outages of a backend server.
    pub mean_healthy: Duration,
    /// Mean duration of an outage.
    pub mean_outage: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            healthy_failure_ratio: 0.015,
            outage_failure_ratio: 0.85,
            fast_failure_ratio: 0.95,
            mean_healthy: Duration::from_millis(7000),
            mean_outage: Duration::from_millis(3000),
        }
    }
}

impl Settings {
    /// Returns the long-term ratio of time that a backend server is in an
    /// outage.
    pub fn stationary_probability(&self) -> f64 {
        let outage = self.mean_outage.as_secs_f64();
        outage / (outage + self.mean_healthy.as_secs_f64())
    }

    /// Returns the time constant, in seconds, with which a belief without
    /// outcomes converges to [`Settings::stationary_probability`].
    fn time_constant(&self) -> f64 {
        let rate = self.mean_healthy.as_secs_f64().recip() + self.mean_outage.as_secs_f64().recip();
        rate.recip()
    }
}

/// Bounds of a belief. Bayes' rule can't change a belief of exactly 0 or 1.
const PROBABILITY_RANGE: std::ops::RangeInclusive<f64> = 0.001..=0.999;

/// Outcome of one request as evidence about its backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Evidence {
    /// The request failed.
    Failed,
    /// The request is still running after the time in which a backend server
    /// in an outage usually fails it. This is known long before the response
    /// and describes the same moment, the start of the request.
    StillRunning,
    /// The response was successful.
    Succeeded,
    /// The backend server shed the request: it answered that it is overloaded.
    Shed {
        /// Recent ratio of the requests of the service that are shed.
        ratio: f64,
    },
    /// No connection could be opened. The cause may be the network link of the
    /// connecting host.
    Unreachable,
}

/// Probability that a backend server in an outage sheds a request.
const OUTAGE_SHED_RATIO: f64 = 0.5;

/// Bounds of the probability that a healthy backend server sheds a request. At
/// the upper bound both states are equally likely to shed, so that a shed
/// request is no evidence about a single server.
const HEALTHY_SHED_RATIO: std::ops::RangeInclusive<f64> = 0.015..=OUTAGE_SHED_RATIO;

/// Probability that a connection to a backend server in an outage can't be
/// opened.
const OUTAGE_UNREACHABLE_RATIO: f64 = 0.5;

/// Probability that a connection to a healthy backend server can't be opened,
/// for example when a network partition separates it from some of the hosts.
const HEALTHY_UNREACHABLE_RATIO: f64 = 0.05;

/// Probability that a backend server is in an outage, as of one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    probability: f64,
    at: Instant,
}

impl Belief {
    /// Creates the belief about a backend server without any outcome.
    pub fn new(settings: &Settings, now: Instant) -> Self {
        Self {
            probability: settings.stationary_probability(),
            at: now,
        }
    }

    /// Returns the probability that the backend server is in an outage at `now`.
    pub fn probability(&self, settings: &Settings, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.at).as_secs_f64();
        let decay = (-idle / settings.time_constant()).exp();
        let stationary = settings.stationary_probability();
        stationary + (self.probability - stationary) * decay
    }

    /// Updates the belief with the outcome of one request.
    pub fn observe(&mut self, settings: &Settings, now: Instant, evidence: Evidence) {
        let prior = self.probability(settings, now);
        let (outage, healthy) = match evidence {
            Evidence::Failed => (
                settings.outage_failure_ratio,
                settings.healthy_failure_ratio,
            ),
            Evidence::StillRunning => (
                1.0 - settings.outage_failure_ratio * settings.fast_failure_ratio,
                1.0 - settings.healthy_failure_ratio,
            ),
            Evidence::Succeeded => (
                1.0 - settings.outage_failure_ratio,
                1.0 - settings.healthy_failure_ratio,
            ),
            Evidence::Shed { ratio } => (
                OUTAGE_SHED_RATIO,
                ratio.clamp(*HEALTHY_SHED_RATIO.start(), *HEALTHY_SHED_RATIO.end()),
            ),
            Evidence::Unreachable => (OUTAGE_UNREACHABLE_RATIO, HEALTHY_UNREACHABLE_RATIO),
        };
        let joint = prior * outage;
        let posterior = joint / (joint + (1.0 - prior) * healthy);
        self.probability = posterior.clamp(*PROBABILITY_RANGE.start(), *PROBABILITY_RANGE.end());
        self.at = self.at.max(now);
    }

    /// As [`Self::observe`], for an outcome that describes the moment `age` ago: a
    /// request that was never answered met the backend server when it was sent.
    pub fn observe_aged(
        &mut self,
        settings: &Settings,
        now: Instant,
        evidence: Evidence,
        age: Duration,
    ) {
        self.observe(settings, now, evidence);
        let decay = (-age.as_secs_f64() / settings.time_constant()).exp();
        let stationary = settings.stationary_probability();
        self.probability = stationary + (self.probability - stationary) * decay;
    }
}
