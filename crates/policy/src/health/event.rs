//! What health is told, and what it tells.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

/// Result of one attempt as evidence.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// A whole answer in time.
    Good,
    /// A 5xx answer, a reset, or a broken or crossed answer.
    Failed,
    /// Still running after `slow_after`. The caller reports each attempt once:
    /// it does not pass on the outcome at the end of an attempt that it has
    /// reported as overdue.
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
    /// Ejected classes by upstream name; an upstream that is ejected as a whole
    /// is listed with every class.
    pub ejected: Vec<(Arc<str>, Arc<str>)>,
    /// Names of leaving upstreams.
    pub leaving: Vec<Arc<str>>,
}

/// Why a whole upstream was ejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Every active class is ejected.
    Classes,
    /// Connections to it fail.
    Connect,
    /// It sheds nearly every request.
    Shed,
    /// A trial of the whole upstream failed.
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
        /// of good outcomes and how many were needed.
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
    /// A class is served again, at first with fewer slots.
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
    /// An upstream is served again, at first with fewer slots.
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
    /// Index of the upstream that changed.
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

    /// Index of the class that changed, or `None` for all classes.
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
