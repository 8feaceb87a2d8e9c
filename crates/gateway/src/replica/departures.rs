//! Upstreams that had left when the store came back from an older copy.

use std::{collections::HashSet, sync::Arc};

use crate::{
    catalog::{Instance, State},
    history::History,
    store::Change,
};

/// Identities of upstreams that were draining or removed before the store came
/// back. Its copy may list them as ready, which says nothing about them until
/// their entries are written again.
#[derive(Debug, Default)]
pub(super) struct Departures(HashSet<Arc<str>>);

impl Departures {
    /// Collects the upstreams among `listed` that are draining, and those whose
    /// last change in `history` is their removal.
    pub(super) fn before<'a>(
        listed: impl Iterator<Item = &'a Instance>,
        history: &History,
    ) -> Self {
        let mut departed: HashSet<Arc<str>> = HashSet::new();
        for change in history.changes() {
            match change {
                Change::Remove(id) => departed.insert(Arc::clone(id)),
                Change::Put(upstream) => departed.remove(&upstream.id),
            };
        }
        let draining = listed.filter(|instance| instance.upstream.state == State::Draining);
        departed.extend(draining.map(|instance| Arc::clone(&instance.upstream.id)));
        Self(departed)
    }

    /// Returns whether the upstream had left and has not written its entry since.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.0.contains(id)
    }

    /// Records that the entry of the upstream was written or removed.
    pub(super) fn remove(&mut self, id: &str) {
        self.0.remove(id);
    }

    /// Returns the number of upstreams that are kept out.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }
}
