//! Grants in use and the hosts that hold them.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use super::Id;

/// A slot in use.
pub(super) struct Held {
    pub(super) upstream: usize,
    /// `None` once the class is no longer configured.
    pub(super) class: Option<usize>,
    pub(super) customer: Arc<str>,
    pub(super) host: Arc<str>,
    pub(super) since: Instant,
    /// Whether evidence was taken from the attempt already.
    pub(super) overdue: bool,
}

struct Holder {
    heard: Instant,
    /// Time of the entry in `silence`.
    timer: Instant,
    grants: HashSet<Id>,
}

/// All grants in use.
///
/// Every grant is in `held` and in the set of its holder, and every holder with
/// a grant has one entry in `silence`, no later than its silence ends.
pub(super) struct Grants {
    limit: Duration,
    held: HashMap<Id, Held>,
    holders: HashMap<Arc<str>, Holder>,
    silence: BTreeSet<(Instant, Arc<str>)>,
}

impl Grants {
    pub(super) fn new(limit: Duration) -> Self {
        Self {
            limit,
            held: HashMap::new(),
            holders: HashMap::new(),
            silence: BTreeSet::new(),
        }
    }

    pub(super) fn get(&self, id: Id) -> Option<&Held> {
        self.held.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: Id) -> Option<&mut Held> {
        self.held.get_mut(&id)
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Held> {
        self.held.values_mut()
    }

    pub(super) fn len(&self) -> usize {
        self.held.len()
    }

    /// Adds a grant; taking it counts as a sign of life of its holder, since a
    /// host without grants has nothing to renew.
    pub(super) fn insert(&mut self, now: Instant, id: Id, held: Held) {
        let limit = self.limit;
        let silence = &mut self.silence;
        let holder = self
            .holders
            .entry(Arc::clone(&held.host))
            .or_insert_with(|| {
                silence.insert((now + limit, Arc::clone(&held.host)));
                Holder {
                    heard: now,
                    timer: now + limit,
                    grants: HashSet::new(),
                }
            });
        holder.heard = holder.heard.max(now);
        holder.grants.insert(id);
        self.held.insert(id, held);
    }

    pub(super) fn remove(&mut self, id: Id) -> Option<Held> {
        let held = self.held.remove(&id)?;
        if let Some(holder) = self.holders.get_mut(&held.host) {
            holder.grants.remove(&id);
            if holder.grants.is_empty() {
                self.silence.remove(&(holder.timer, Arc::clone(&held.host)));
                self.holders.remove(&held.host);
            }
        }
        Some(held)
    }

    pub(super) fn heard(&mut self, now: Instant, host: &str) {
        if let Some(holder) = self.holders.get_mut(host) {
            holder.heard = holder.heard.max(now);
        }
    }

    /// Grants of `host` that are at least `age` old and not in `listed`.
    pub(super) fn unlisted(
        &self,
        now: Instant,
        host: &str,
        listed: &[Id],
        age: Duration,
    ) -> Vec<Id> {
        let Some(holder) = self.holders.get(host) else {
            return Vec::new();
        };
        let listed: HashSet<Id> = listed.iter().copied().collect();
        let old = |id: &&Id| now.saturating_duration_since(self.held[*id].since) >= age;
        let mut lost: Vec<Id> = holder
            .grants
            .difference(&listed)
            .filter(old)
            .copied()
            .collect();
        lost.sort_unstable();
        lost
    }

    pub(super) fn of_host(&self, host: &str) -> Vec<Id> {
        let mut grants: Vec<Id> = self
            .holders
            .get(host)
            .map(|holder| holder.grants.iter().copied().collect())
            .unwrap_or_default();
        grants.sort_unstable();
        grants
    }

    /// Grants on the upstreams for which `gone` holds.
    pub(super) fn on(&self, gone: impl Fn(usize) -> bool) -> Vec<Id> {
        let on = |(id, held): (&Id, &Held)| gone(held.upstream).then_some(*id);
        let mut grants: Vec<Id> = self.held.iter().filter_map(on).collect();
        grants.sort_unstable();
        grants
    }

    /// A host that has been silent for the limit, if there is one.
    pub(super) fn silent(&mut self, now: Instant) -> Option<Arc<str>> {
        while let Some((due, host)) = self.silence.first().cloned() {
            if due > now {
                return None;
            }
            let holder = self.holders.get_mut(&host)?;
            let end = holder.heard + self.limit;
            if end <= now {
                return Some(host);
            }
            // Renewals only move `heard`; the timer catches up here, so that a
            // renewal costs no change of the timer set.
            holder.timer = end;
            self.silence.pop_first();
            self.silence.insert((end, host));
        }
        None
    }

    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.silence.first().map(|(due, _)| *due)
    }
}
