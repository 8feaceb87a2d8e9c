//! What a daemon knows about one key range.

use std::{sync::Arc, time::Instant};

use super::{Row, Successor, keys::Keys};

/// A write on the way, with the clock reading from before it.
pub(super) struct Writing {
    pub(super) started: Instant,
    pub(super) row: Row,
}

/// A lease that this daemon owns, valid or lapsed.
pub(super) struct Lease {
    /// The row as last known.
    pub(super) row: Row,
    /// Highest counter tried. Each write has its own, so that a late effect
    /// of an earlier write is never taken for that of a later one.
    pub(super) tried: u64,
    pub(super) valid_until: Instant,
    pub(super) next_renew: Instant,
    pub(super) keys: Keys,
    pub(super) handovers: u64,
    pub(super) stage: Stage,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    Serving,
    /// Records are on the way to the host, under a number; nothing is begun.
    HandingOver(Arc<str>, u64),
    /// The release is to be written, or written with an unknown result.
    Releasing(Successor),
}

/// Records handed over ahead of a release.
pub(super) struct Staged {
    pub(super) term: u64,
    pub(super) number: u64,
    pub(super) keys: Keys,
}

#[derive(Default)]
pub(super) struct Range {
    pub(super) lease: Option<Lease>,
    /// The row as last read, and the first reading of the clock at which it
    /// was seen with this content.
    pub(super) seen: Option<(Option<Row>, Instant)>,
    pub(super) writing: Option<Writing>,
    pub(super) reading: bool,
    pub(super) next_try: Option<Instant>,
    pub(super) staged: Option<Staged>,
    /// The row that the last claim replaces.
    pub(super) claimed_from: Option<Option<Row>>,
}
