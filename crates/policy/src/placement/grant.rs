//! Grants in use and the hosts that hold them.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use super::Id;

/// A granted slot that is in use.
pub(super) struct Grant {
    pub(super) upstream: usize,
    /// `None` if the class is not configured.
    pub(super) class: Option<usize>,
    pub(super) customer: Arc<str>,
    pub(super) host: Arc<str>,
    pub(super) granted_at: Instant,
    /// Whether the attempt was already counted as evidence, as overdue.
    pub(super) is_overdue: bool,
}

struct Holder {
    last_contact: Instant,
    /// Time of the entry in `timers`.
    timer: Instant,
    grants: HashSet<Id>,
}

/// All grants in use.
///
/// Each grant is in `grants` and in the set of its holder. Each holder with a
/// grant has one entry in `timers`, no later than its timeout.
pub(super) struct Grants {
    timeout: Duration,
    grants: HashMap<Id, Grant>,
    holders: HashMap<Arc<str>, Holder>,
    timers: BTreeSet<(Instant, Arc<str>)>,
}

impl Grants {
    pub(super) fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            grants: HashMap::new(),
            holders: HashMap::new(),
            timers: BTreeSet::new(),
        }
    }

    pub(super) fn get(&self, id: Id) -> Option<&Grant> {
        self.grants.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: Id) -> Option<&mut Grant> {
        self.grants.get_mut(&id)
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Grant> {
        self.grants.values_mut()
    }

    pub(super) fn len(&self) -> usize {
        self.grants.len()
    }

    /// Adds a grant. This counts as contact from its holder, since a host without
    /// grants has nothing to renew.
    pub(super) fn insert(&mut self, now: Instant, id: Id, grant: Grant) {
        let timeout = self.timeout;
        let timers = &mut self.timers;
        let holder = self
            .holders
            .entry(Arc::clone(&grant.host))
            .or_insert_with(|| {
                timers.insert((now + timeout, Arc::clone(&grant.host)));
                Holder {
                    last_contact: now,
                    timer: now + timeout,
                    grants: HashSet::new(),
                }
            });
        holder.last_contact = holder.last_contact.max(now);
        holder.grants.insert(id);
        self.grants.insert(id, grant);
    }

    pub(super) fn remove(&mut self, id: Id) -> Option<Grant> {
        let grant = self.grants.remove(&id)?;
        if let Some(holder) = self.holders.get_mut(&grant.host) {
            holder.grants.remove(&id);
            if holder.grants.is_empty() {
                self.timers.remove(&(holder.timer, Arc::clone(&grant.host)));
                self.holders.remove(&grant.host);
            }
        }
        Some(grant)
    }

    pub(super) fn record_contact(&mut self, now: Instant, host: &str) {
        if let Some(holder) = self.holders.get_mut(host) {
            holder.last_contact = holder.last_contact.max(now);
        }
    }

    /// Returns the grants of `host` that are at least `age` old and not in
    /// `listed`.
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
        let old = |id: &&Id| now.saturating_duration_since(self.grants[*id].granted_at) >= age;
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

    /// Returns the grants on the upstreams that match.
    pub(super) fn on_upstreams(&self, matches: impl Fn(usize) -> bool) -> Vec<Id> {
        let on = |(id, grant): (&Id, &Grant)| matches(grant.upstream).then_some(*id);
        let mut grants: Vec<Id> = self.grants.iter().filter_map(on).collect();
        grants.sort_unstable();
        grants
    }

    /// Returns a host without contact for the timeout, if there is one.
    pub(super) fn expired_holder(&mut self, now: Instant) -> Option<Arc<str>> {
        while let Some((due, host)) = self.timers.first().cloned() {
            if due > now {
                return None;
            }
            let holder = self.holders.get_mut(&host)?;
            let end = holder.last_contact + self.timeout;
            if end <= now {
                return Some(host);
            }
            // A renewal only changes `last_contact`. The timer is moved here, so
            // that a renewal does not change the set of timers.
            holder.timer = end;
            self.timers.pop_first();
            self.timers.insert((end, host));
        }
        None
    }

    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.timers.first().map(|(due, _)| *due)
    }
}
