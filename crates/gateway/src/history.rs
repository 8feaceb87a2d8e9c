//! The latest changes of the list of backend servers, from which a host brings
//! another one up to date without sending the whole list.

use std::{
    collections::{HashSet, VecDeque},
    sync::Arc,
};

use crate::{catalog::Upstreams, replica::Delta, store::Change};

/// Maximum number of changes that are kept. A host that lacks more fetches the
/// whole list.
const MAX_CHANGES: usize = 2048;

/// Changes of the list, without a gap, from one version of the store to another.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Version after which the changes are complete.
    base: u64,
    /// Version up to which they are complete.
    version: u64,
    /// The changes in order, each with the version of the list that has it.
    changes: VecDeque<(u64, Change)>,
}

impl History {
    /// Forgets all changes: the list was read at `version`.
    pub fn reset(&mut self, version: u64) {
        *self = Self {
            base: version,
            version,
            changes: VecDeque::new(),
        };
    }

    /// Adds the changes that lead to the list at `version`.
    pub fn extend(&mut self, version: u64, changes: impl IntoIterator<Item = Change>) {
        self.version = version;
        let changes = changes.into_iter().map(|change| (version, change));
        self.changes.extend(changes);
        while self.changes.len() > MAX_CHANGES {
            // The changes of a version are dropped together, since a host that has
            // this version has all of them.
            self.base = self.changes[0].0;
            let dropped = self
                .changes
                .iter()
                .take_while(|(version, _)| *version == self.base)
                .count();
            self.changes.drain(..dropped);
        }
    }

    /// Returns all changes that are kept, in order.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.changes.iter().map(|(_, change)| change)
    }

    /// Returns the changes since `version`, the last one of each backend server
    /// only; `None` if they are not all kept, or `version` is newer than the list.
    pub fn since(&self, version: u64) -> Option<Delta> {
        if version < self.base || version > self.version {
            return None;
        }
        let mut seen: HashSet<&str> = HashSet::new();
        let mut changes: Vec<Change> = self
            .changes
            .iter()
            .rev()
            .take_while(|(changed, _)| *changed > version)
            .filter(|(_, change)| seen.insert(change.id()))
            .map(|(_, change)| change.clone())
            .collect();
        changes.reverse();
        Some(Delta {
            base: version,
            version: self.version,
            changes,
        })
    }
}

/// Returns the changes that turn the list `before` into `after`.
pub fn difference(before: &Upstreams, after: &Upstreams) -> Vec<Change> {
    let removed = before
        .keys()
        .filter(|id| !after.contains_key(*id))
        .map(|id| Change::Remove(Arc::clone(id)));
    let put = after
        .iter()
        .filter(|(id, upstream)| before.get(*id) != Some(upstream))
        .map(|(_, upstream)| Change::Put(Arc::clone(upstream)));
    removed.chain(put).collect()
}
