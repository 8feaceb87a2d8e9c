//! Health of the upstreams of one service, judged from real outcomes.

use std::{sync::Arc, time::Duration, time::Instant};

use serde::{Deserialize, Serialize};

use crate::contract;

/// Result of one attempt as evidence.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// A whole answer in time.
    Good,
    /// A 5xx answer, a reset, or a broken or crossed answer.
    Failed,
    /// Still running after `slow_after`; a later outcome of the same attempt
    /// is not counted again.
    Overdue,
    /// No connection.
    ConnectFailed,
    /// Declared not run by the upstream.
    Shed,
    /// No evidence: a caller's own error or a cancelled request.
    Neutral,
}

/// One outcome with its origin.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Index of the upstream in the service.
    pub upstream: usize,
    /// Index of the class in the configuration.
    pub class: usize,
    /// Host that saw the outcome.
    pub host: Arc<str>,
    /// The outcome.
    pub outcome: Outcome,
    /// Time from the first byte sent to the outcome.
    pub elapsed: Duration,
}

/// Ejections and leaving upstreams as handed to other daemons.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct View {
    /// Ejected classes by upstream name.
    pub ejected: Vec<(Arc<str>, Arc<str>)>,
    /// Names of leaving upstreams.
    pub leaving: Vec<Arc<str>>,
}

/// A change of an upstream's state, for the event log.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A class of an upstream was ejected.
    Ejected {
        /// Index of the upstream.
        upstream: usize,
        /// Index of the class.
        class: usize,
        /// Test statistic and its threshold.
        evidence: (f64, f64),
        /// Healthy upstreams left.
        healthy: usize,
    },
    /// The floor prevented an ejection.
    FloorHeld {
        /// Index of the upstream.
        upstream: usize,
        /// Index of the class.
        class: usize,
    },
    /// An ejected class moved to the trial stage.
    Trial {
        /// Index of the upstream.
        upstream: usize,
        /// Index of the class.
        class: usize,
    },
    /// A class is served again.
    Readmitted {
        /// Index of the upstream.
        upstream: usize,
        /// Index of the class.
        class: usize,
    },
    /// An upstream is leaving.
    Leaving {
        /// Index of the upstream.
        upstream: usize,
    },
}

/// Health of all upstreams of one service.
#[derive(Debug)]
pub struct Health {
    service: Arc<contract::Service>,
    leaving: Vec<bool>,
}

impl Health {
    /// Starts with every upstream healthy, but for what `adopted` says.
    pub fn new(
        service: Arc<contract::Service>,
        _classes: Arc<[contract::Class]>,
        adopted: &View,
        _now: Instant,
    ) -> Self {
        let leaving = service
            .upstreams
            .iter()
            .map(|upstream| upstream.leaving || adopted.leaving.contains(&upstream.name))
            .collect();
        Self { service, leaving }
    }

    /// Takes one outcome into account.
    pub fn observe(&mut self, _now: Instant, _observation: &Observation) -> Vec<Change> {
        Vec::new()
    }

    /// Advances holds and ramps.
    pub fn tick(&mut self, _now: Instant) -> Vec<Change> {
        Vec::new()
    }

    /// Takes an upstream out of new work.
    pub fn mark_leaving(&mut self, upstream: usize) -> Vec<Change> {
        if self.leaving[upstream] {
            return Vec::new();
        }
        self.leaving[upstream] = true;
        vec![Change::Leaving { upstream }]
    }

    /// Slots that may be in use on `upstream` for requests of `class`.
    pub fn slots(&self, _now: Instant, upstream: usize, _class: usize) -> u32 {
        if self.leaving[upstream] {
            0
        } else {
            self.service.upstreams[upstream].slots
        }
    }

    /// Suspicion against `upstream` for `class`; lower is better.
    pub fn suspicion(&self, _upstream: usize, _class: usize) -> f64 {
        0.0
    }

    /// Time after which an attempt of `class` counts as slow.
    pub fn slow_after(&self, _class: usize) -> Duration {
        Duration::from_secs(1)
    }

    /// Current ejections, for other daemons.
    pub fn view(&self) -> View {
        View {
            ejected: Vec::new(),
            leaving: self
                .service
                .upstreams
                .iter()
                .zip(&self.leaving)
                .filter(|(_, leaving)| **leaving)
                .map(|(upstream, _)| Arc::clone(&upstream.name))
                .collect(),
        }
    }
}
