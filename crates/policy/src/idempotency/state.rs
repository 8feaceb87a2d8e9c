//! State of one key range at a daemon.

use std::{sync::Arc, time::Instant};

use super::{Row, Successor, keys::Keys};

/// A write that has not ended, and the clock reading from before it was sent.
pub(super) struct PendingWrite {
    pub(super) started: Instant,
    pub(super) row: Row,
}

/// A lease that this daemon owns, valid or expired.
pub(super) struct Lease {
    /// Last known content of the row.
    pub(super) row: Row,
    /// Highest counter of any write sent. Each write has its own counter, so
    /// that an earlier write that takes effect late is never taken for a later
    /// one.
    pub(super) last_counter: u64,
    pub(super) valid_until: Instant,
    pub(super) next_renew: Instant,
    pub(super) keys: Keys,
    pub(super) handover_count: u64,
    pub(super) phase: Phase,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    Serving,
    /// The records are being sent to this host, in the handover with this
    /// number; no key is begun.
    HandingOver(Arc<str>, u64),
    /// The release is still to be written, or its result is not known.
    Releasing(Successor),
}

/// Records received in a handover whose release has not been observed.
pub(super) struct StagedRecords {
    pub(super) term: u64,
    pub(super) number: u64,
    pub(super) keys: Keys,
}

#[derive(Default)]
pub(super) struct Range {
    pub(super) lease: Option<Lease>,
    /// Last observed content of the row, and the time at which this content was
    /// first observed.
    pub(super) observed: Option<(Option<Row>, Instant)>,
    pub(super) pending_write: Option<PendingWrite>,
    pub(super) is_reading: bool,
    pub(super) next_try: Option<Instant>,
    pub(super) staged: Option<StagedRecords>,
    /// The row that the last claim was to replace.
    pub(super) replaced_row: Option<Option<Row>>,
}
