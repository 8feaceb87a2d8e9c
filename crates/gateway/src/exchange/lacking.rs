//! What this host lacks of the catalog, and for how long.

use std::time::{Duration, Instant};

/// A newer version of a part of the catalog that another host has.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lacking {
    version: u64,
    /// Since when this host has lacked a newer version and got none.
    since: Instant,
}

impl Lacking {
    /// Returns what a host with the version `own` lacks after a report with the
    /// version `reported`.
    pub(super) fn update(
        known: Option<Self>,
        now: Instant,
        own: u64,
        reported: u64,
    ) -> Option<Self> {
        let known = known.filter(|lacking| lacking.version > own);
        if reported <= own {
            return known;
        }
        Some(Self {
            version: known.map_or(reported, |lacking| lacking.version.max(reported)),
            since: known.map_or(now, |lacking| lacking.since),
        })
    }

    /// Returns whether it has been lacking for `delay`.
    pub(super) fn is_due(self, now: Instant, delay: Duration) -> bool {
        now.saturating_duration_since(self.since) >= delay
    }
}
