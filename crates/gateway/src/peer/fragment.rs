//! Changes of the list of backend servers that are too large for one datagram.
//!
//! The sender splits such a delta into parts and sends each in a report of its
//! own. A receiver applies them once it has all of them. One that is lost costs
//! the receiver a call: it fetches the changes since its version.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::report::MAX_DATAGRAM_BYTES;
use crate::{replica::Delta, store::Change};

/// Maximum size of a report's fields other than its delta, in a report that has
/// one.
const MAX_HEAD_BYTES: usize = 240;

/// Maximum number of deltas of which some parts are missing. Usually two readers
/// report each change.
const MAX_INCOMPLETE: usize = 4;

/// Position of a part among the parts of its delta.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Position {
    /// Number of the part, from 0.
    pub index: u16,
    /// Number of parts.
    pub count: u16,
}

/// Some of the changes of a delta, with its versions.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// The versions of the whole delta, and the changes of this part.
    pub delta: Delta,
    /// `None` if this part is the whole delta.
    pub position: Option<Position>,
}

/// Splits a delta into parts that fit into one report each.
pub fn split(delta: &Delta) -> Vec<Part> {
    let mut groups: Vec<Vec<Change>> = vec![Vec::new()];
    let mut bytes = 0;
    for change in &delta.changes {
        let size = rmp_serde::to_vec(change).map_or(0, |encoded| encoded.len());
        if bytes + size > MAX_DATAGRAM_BYTES - MAX_HEAD_BYTES && bytes > 0 {
            groups.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        let last = groups.len() - 1;
        groups[last].push(change.clone());
    }
    let count = groups.len();
    groups
        .into_iter()
        .enumerate()
        .map(|(index, changes)| Part {
            delta: Delta { changes, ..*delta },
            position: (count > 1).then_some(Position {
                index: index as u16,
                count: count as u16,
            }),
        })
        .collect()
}

/// A delta of which some parts are missing.
#[derive(Debug)]
struct Incomplete {
    origin: Ipv4Addr,
    base: u64,
    version: u64,
    /// The changes of each part that has arrived.
    parts: Vec<Option<Vec<Change>>>,
}

/// Puts deltas together from their parts, which may arrive in any order and more
/// than once.
#[derive(Debug, Default)]
pub struct Assembly {
    incomplete: SmallVec<[Incomplete; MAX_INCOMPLETE]>,
}

impl Assembly {
    /// Adds a part sent by `origin`. Returns the whole delta if it was the last
    /// missing part.
    pub fn add(&mut self, origin: Ipv4Addr, part: Part) -> Option<Delta> {
        let Part { delta, position } = part;
        let Some(Position { index, count }) = position else {
            return Some(delta);
        };
        let key = (origin, delta.base, delta.version, usize::from(count));
        let found = self
            .incomplete
            .iter()
            .position(|other| (other.origin, other.base, other.version, other.parts.len()) == key);
        let at = found.unwrap_or_else(|| {
            if self.incomplete.len() == MAX_INCOMPLETE {
                self.incomplete.remove(0);
            }
            self.incomplete.push(Incomplete {
                origin,
                base: delta.base,
                version: delta.version,
                parts: vec![None; usize::from(count)],
            });
            self.incomplete.len() - 1
        });
        // A position beyond the number of parts comes from a faulty sender.
        *self.incomplete[at].parts.get_mut(usize::from(index))? = Some(delta.changes);
        if self.incomplete[at].parts.iter().any(Option::is_none) {
            return None;
        }
        let whole = self.incomplete.remove(at);
        Some(Delta {
            base: whole.base,
            version: whole.version,
            changes: whole.parts.into_iter().flatten().flatten().collect(),
        })
    }
}
