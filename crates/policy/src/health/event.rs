//! Observations that health receives, and the changes it reports.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

/// Outcome of one attempt, as evidence of the health of its upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// A complete answer in time.
    Good,
    /// A 5xx answer, a reset, or a broken or crossed answer.
    Failed,
    /// Still running after [`Health::slow_after`](super::Health::slow_after).
    /// Each attempt is reported once: after this, the outcome at the end of the
    /// attempt must not be reported.
    Overdue,
    /// A connection could not be established.
    ConnectFailed,
    /// The upstream declared that it did not execute the request.
    Shed,
    /// No evidence: a caller's own error or a cancelled request.
    Neutral,
}

/// Outcome of an attempt with its upstream, class and reporting host.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Index of the upstream in the service.
    pub upstream: usize,
    /// Index of the class in the configuration.
    pub class: usize,
    /// Host that reports the outcome.
    pub host: Arc<str>,
    /// The outcome.
    pub outcome: Outcome,
    /// Time from the first byte sent to the outcome.
    pub elapsed: Duration,
}

/// Ejections and leaving upstreams of a service, as sent to other daemons.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct View {
    /// Pairs of upstream and class names. An upstream that is ejected for all
    /// classes is listed with each class.
    pub ejected: Vec<(Arc<str>, Arc<str>)>,
    /// Names of leaving upstreams.
    pub leaving: Vec<Arc<str>>,
}

/// Reason why an upstream was ejected for all classes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Every active class is ejected.
    Classes,
    /// Connections to the upstream fail.
    Connect,
    /// The upstream sheds nearly every request.
    Shed,
    /// A trial for all classes failed.
    Trial,
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
        /// Test statistic and its threshold; after a failed trial, the number
        /// of good outcomes and the number required.
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
    /// A class is served again, with the number of slots ramping up.
    Readmitted {
        /// Index of the upstream.
        upstream: usize,
        /// Index of the class.
        class: usize,
    },
    /// An upstream was ejected for all classes. With [`Cause::Classes`], the
    /// [`Change::Ejected`] of its last class comes just before.
    UpstreamEjected {
        /// Index of the upstream.
        upstream: usize,
        /// The reason.
        cause: Cause,
        /// As for [`Change::Ejected`].
        evidence: (f64, f64),
        /// Healthy upstreams left.
        healthy: usize,
    },
    /// The floor prevented the ejection of an upstream for all classes.
    UpstreamFloorHeld {
        /// Index of the upstream.
        upstream: usize,
    },
    /// An upstream that was ejected for all classes moved to the trial stage.
    UpstreamTrial {
        /// Index of the upstream.
        upstream: usize,
    },
    /// An upstream is in service again, with the number of slots ramping up.
    UpstreamReadmitted {
        /// Index of the upstream.
        upstream: usize,
    },
    /// An upstream is leaving.
    Leaving {
        /// Index of the upstream.
        upstream: usize,
    },
}

impl Change {
    /// Returns the index of the upstream that changed.
    pub fn upstream(&self) -> usize {
        match self {
            Change::Ejected { upstream, .. }
            | Change::FloorHeld { upstream, .. }
            | Change::Trial { upstream, .. }
            | Change::Readmitted { upstream, .. }
            | Change::UpstreamEjected { upstream, .. }
            | Change::UpstreamFloorHeld { upstream }
            | Change::UpstreamTrial { upstream }
            | Change::UpstreamReadmitted { upstream }
            | Change::Leaving { upstream } => *upstream,
        }
    }

    /// Returns the index of the class that changed, or `None` if the change
    /// concerns all classes.
    pub fn class(&self) -> Option<usize> {
        match self {
            Change::Ejected { class, .. }
            | Change::FloorHeld { class, .. }
            | Change::Trial { class, .. }
            | Change::Readmitted { class, .. } => Some(*class),
            Change::UpstreamEjected { .. }
            | Change::UpstreamFloorHeld { .. }
            | Change::UpstreamTrial { .. }
            | Change::UpstreamReadmitted { .. }
            | Change::Leaving { .. } => None,
        }
    }
}
