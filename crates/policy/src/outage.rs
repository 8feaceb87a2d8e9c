//! Belief about one backend server that fails in spells.
//!
//! A backend server with a gray failure answers nearly all requests with an
//! error for some seconds, then recovers by itself, while its health check
//! passes all the time. The filter is a hidden Markov model with two states,
//! sound and failing. Each outcome updates the probability of the failing state
//! by Bayes' rule; without outcomes it returns to the long-term share of
//! failing time. One failure is enough to doubt a server that was seen
//! well a moment ago, and two good answers are enough to trust it again.

use std::time::{Duration, Instant};

/// Parameters of the model.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Share of requests that fail at a sound backend server.
    pub healthy_failure_ratio: f64,
    /// Share of requests that fail at a failing backend server.
    pub outage_failure_ratio: f64,
    /// Share of the failures of a failing backend server that come within its
    /// usual time to fail.
    pub fast_failure_ratio: f64,
    /// Mean time that a backend server stays sound.
    pub mean_healthy: Duration,
    /// Mean time that a backend server stays failing.
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
    /// Long-term share of the time that a backend server is failing.
    pub fn stationary_probability(&self) -> f64 {
        let failing = self.mean_outage.as_secs_f64();
        failing / (failing + self.mean_healthy.as_secs_f64())
    }

    /// Time constant with which a belief without outcomes returns to
    /// [`Settings::stationary_probability`].
    fn relaxation(&self) -> f64 {
        let rate = self.mean_healthy.as_secs_f64().recip() + self.mean_outage.as_secs_f64().recip();
        rate.recip()
    }
}

/// Bounds of a belief. A belief of exactly 0 or 1 could never change again.
const CERTAIN: std::ops::RangeInclusive<f64> = 0.001..=0.999;

/// What one request tells about a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Evidence {
    /// The request failed.
    Failed,
    /// The request is still at work after the time in which a failing backend
    /// server usually fails. This is known long before the answer, and the
    /// moment that it tells about is the same.
    StillRunning,
    /// The request was answered well.
    Succeeded,
    /// The backend server declined the request.
    Shed {
        /// Share of the requests of its service that are declined lately.
        ratio: f64,
    },
    /// No connection could be opened. The link of the host that tried may be
    /// the cause.
    Unreachable,
}

/// Probability that a failing backend server declines a request.
const DECLINED_FAILING: f64 = 0.5;

/// Bounds of the share of declined requests that counts as usual. From the
/// upper one on, a declined request says nothing about a single server.
const DECLINED_USUAL: std::ops::RangeInclusive<f64> = 0.015..=DECLINED_FAILING;

/// Probability that a connection to a failing backend server can't be opened.
const UNREACHABLE_FAILING: f64 = 0.5;

/// Probability that a connection to a sound backend server can't be opened, as
/// when a network partition hides it from a part of the hosts.
const UNREACHABLE_SOUND: f64 = 0.05;

/// Probability that a backend server is failing, as of one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    probability: f64,
    at: Instant,
}

impl Belief {
    /// Belief about a backend server without any outcome.
    pub fn new(settings: &Settings, now: Instant) -> Self {
        Self {
            probability: settings.stationary_probability(),
            at: now,
        }
    }

    /// Probability that the backend server is failing at `now`.
    pub fn probability(&self, settings: &Settings, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.at).as_secs_f64();
        let kept = (-idle / settings.relaxation()).exp();
        let share = settings.stationary_probability();
        share + (self.probability - share) * kept
    }

    /// Takes the outcome of one request into account.
    pub fn observe(&mut self, settings: &Settings, now: Instant, evidence: Evidence) {
        let prior = self.probability(settings, now);
        let (failing, sound) = match evidence {
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
                DECLINED_FAILING,
                ratio.clamp(*DECLINED_USUAL.start(), *DECLINED_USUAL.end()),
            ),
            Evidence::Unreachable => (UNREACHABLE_FAILING, UNREACHABLE_SOUND),
        };
        let joint = prior * failing;
        let posterior = joint / (joint + (1.0 - prior) * sound);
        self.probability = posterior.clamp(*CERTAIN.start(), *CERTAIN.end());
        self.at = self.at.max(now);
    }
}
