//! Requests that wait for a slot.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use super::{Acquire, Ticket, pool::Excluded};

/// Width of the fine deadline buckets, which are used to count the requests ahead.
const BUCKET_WIDTH: Duration = Duration::from_millis(64);
/// Number of fine buckets in a coarse one.
const BUCKETS_PER_COARSE: u64 = 64;

/// Sort key of a waiting request; the smallest is served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Key {
    /// `false` for an upload that has waited for half of its maximum wait.
    is_unpromoted: bool,
    priority: u8,
    deadline: Instant,
    ticket: Ticket,
}

/// Class and excluded upstreams of a request. Either all waiting requests of a
/// group can be placed or none, so that one check per group is enough.
pub(super) type Group = Arc<(usize, Excluded)>;

/// A waiting request.
pub(super) struct Waiting {
    pub(super) acquire: Acquire,
    pub(super) group: Group,
    pub(super) priority: u8,
    pub(super) deadline: Instant,
    /// Time at which the request is moved ahead of all that are not promoted.
    pub(super) promote_at: Option<Instant>,
    pub(super) is_promoted: bool,
}

impl Waiting {
    fn key(&self) -> Key {
        Key {
            is_unpromoted: !self.is_promoted,
            priority: self.priority,
            deadline: self.deadline,
            ticket: self.acquire.ticket,
        }
    }
}

/// Waiting requests of one group.
#[derive(Default)]
struct Members {
    /// Keys by customer.
    customers: HashMap<Arc<str>, BTreeSet<Key>>,
    /// First keys of the customers that are below their limits.
    heads: BTreeSet<(Key, Arc<str>)>,
}

/// Queue of the waiting requests.
///
/// For each group and customer with waiting requests, the first key is either in
/// `heads` of the group or, while the customer is at its limit, in
/// `capped_heads`. The first entry of each `heads` is in `first_by_group`.
/// Finding the next request thus costs a time logarithmic in the queue length for
/// each group that must be skipped, however many requests the group has.
pub(super) struct Queue {
    waiting: HashMap<Ticket, Waiting>,
    groups: HashMap<Group, Members>,
    /// Groups in which each customer has waiting requests.
    groups_by_customer: HashMap<Arc<str>, BTreeSet<Group>>,
    first_by_group: BTreeSet<(Key, Group)>,
    /// First keys of the customers at their limits, the smallest excess first.
    capped_heads: BTreeSet<(u64, Key, Group, Arc<str>)>,
    /// Excess of the customers at their limits.
    excess: HashMap<Arc<str>, u64>,
    /// Times of promotions and deadlines.
    timers: BTreeSet<(Instant, Ticket)>,
    epoch: Instant,
    fine_counts: BTreeMap<(u8, u64), usize>,
    coarse_counts: BTreeMap<(u8, u64), usize>,
}

impl Queue {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            waiting: HashMap::new(),
            groups: HashMap::new(),
            groups_by_customer: HashMap::new(),
            first_by_group: BTreeSet::new(),
            capped_heads: BTreeSet::new(),
            excess: HashMap::new(),
            timers: BTreeSet::new(),
            epoch: now,
            fine_counts: BTreeMap::new(),
            coarse_counts: BTreeMap::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn contains(&self, ticket: Ticket) -> bool {
        self.waiting.contains_key(&ticket)
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        let key = waiting.key();
        let due = waiting.promote_at.unwrap_or(waiting.deadline);
        self.timers.insert((due, key.ticket));
        self.update_counts(key, true);
        self.insert_key(&waiting.group, &waiting.acquire.customer, key);
        self.waiting.insert(key.ticket, waiting);
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        let due = waiting.promote_at.unwrap_or(waiting.deadline);
        self.timers.remove(&(due, ticket));
        let key = waiting.key();
        self.update_counts(key, false);
        self.remove_key(&waiting.group, &waiting.acquire.customer, key);
        Some(waiting)
    }

    /// Returns the tickets that wait in the matching groups.
    pub(super) fn tickets(&self, matches: impl Fn(&Group) -> bool) -> Vec<Ticket> {
        let matching = self.groups.iter().filter(|(group, _)| matches(group));
        let mut tickets: Vec<Ticket> = matching
            .flat_map(|(_, members)| members.customers.values())
            .flat_map(|keys| keys.iter().map(|key| key.ticket))
            .collect();
        tickets.sort_unstable();
        tickets
    }

    /// Returns the tickets of the requests from `host`.
    pub(super) fn of_host(&self, host: &str) -> Vec<Ticket> {
        let matching = self.waiting.values().filter(|w| *w.acquire.host == *host);
        let mut tickets: Vec<Ticket> = matching.map(|w| w.acquire.ticket).collect();
        tickets.sort_unstable();
        tickets
    }

    /// Returns the first request that can be placed: the one with the smallest key
    /// of the customers below their limits, or else one of the customer with the
    /// smallest excess.
    pub(super) fn next(&self, placeable: impl Fn(&Group) -> bool) -> Option<Ticket> {
        let below = self
            .first_by_group
            .iter()
            .find(|(_, group)| placeable(group));
        let capped = || {
            let mut entries = self.capped_heads.iter();
            entries.find_map(|(_, key, group, _)| placeable(group).then_some(key))
        };
        let key = below.map(|(key, _)| key).or_else(capped)?;
        Some(key.ticket)
    }

    /// Promotes the requests that are due and returns a request whose deadline is
    /// before `now`, or at `now` if `inclusive`.
    pub(super) fn next_expired(&mut self, now: Instant, inclusive: bool) -> Option<Ticket> {
        while let Some(&(due, ticket)) = self.timers.first() {
            if due > now || (due == now && !inclusive) {
                return None;
            }
            let waiting = self.waiting.get_mut(&ticket)?;
            if waiting.promote_at.take().is_none() {
                return Some(ticket);
            }
            let old = waiting.key();
            let (group, deadline) = (Arc::clone(&waiting.group), waiting.deadline);
            waiting.is_promoted = true;
            let new = waiting.key();
            let customer = Arc::clone(&waiting.acquire.customer);
            self.timers.pop_first();
            self.timers.insert((deadline, ticket));
            self.remove_key(&group, &customer, old);
            self.insert_key(&group, &customer, new);
        }
        None
    }

    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// Returns the number of waiting requests that a new request would be behind,
    /// to the precision of a fine bucket: those of higher priorities, and those of
    /// the same priority.
    pub(super) fn count_ahead(&self, priority: u8, deadline: Instant) -> (usize, usize) {
        let bucket = self.bucket(deadline);
        let coarse = bucket / BUCKETS_PER_COARSE;
        let sum = |counts: &BTreeMap<(u8, u64), usize>, from, to| {
            counts
                .range((priority, from)..(priority, to))
                .map(|(_, count)| *count)
                .sum::<usize>()
        };
        let own = sum(&self.coarse_counts, 0, coarse)
            + sum(&self.fine_counts, coarse * BUCKETS_PER_COARSE, bucket + 1);
        let higher = self
            .coarse_counts
            .range(..(priority, 0))
            .map(|(_, count)| *count);
        (higher.sum(), own)
    }

    /// Sets the excess of `customer` and moves its first keys accordingly. `excess`
    /// is `None` while the customer is below its limit.
    pub(super) fn set_excess(&mut self, customer: &Arc<str>, excess: Option<u64>) {
        if self.excess.get(customer).copied() == excess {
            return;
        }
        let groups: Vec<Group> = self
            .groups_by_customer
            .get(customer)
            .map(|groups| groups.iter().cloned().collect())
            .unwrap_or_default();
        for group in &groups {
            self.set_head(group, customer, false);
        }
        match excess {
            Some(excess) => self.excess.insert(Arc::clone(customer), excess),
            None => self.excess.remove(customer),
        };
        for group in &groups {
            self.set_head(group, customer, true);
        }
    }

    /// Returns the customers with waiting requests.
    pub(super) fn customers(&self) -> Vec<Arc<str>> {
        self.groups_by_customer.keys().cloned().collect()
    }

    fn bucket(&self, deadline: Instant) -> u64 {
        let since = deadline.saturating_duration_since(self.epoch);
        (since.as_millis() / BUCKET_WIDTH.as_millis()) as u64
    }

    fn update_counts(&mut self, key: Key, add: bool) {
        let bucket = self.bucket(key.deadline);
        for (counts, bucket) in [
            (&mut self.fine_counts, bucket),
            (&mut self.coarse_counts, bucket / BUCKETS_PER_COARSE),
        ] {
            let count = counts.entry((key.priority, bucket)).or_default();
            *count = if add { *count + 1 } else { *count - 1 };
            if *count == 0 {
                counts.remove(&(key.priority, bucket));
            }
        }
    }

    fn insert_key(&mut self, group: &Group, customer: &Arc<str>, key: Key) {
        self.set_head(group, customer, false);
        let members = self.groups.entry(Arc::clone(group)).or_default();
        let keys = members.customers.entry(Arc::clone(customer)).or_default();
        keys.insert(key);
        let groups = self
            .groups_by_customer
            .entry(Arc::clone(customer))
            .or_default();
        groups.insert(Arc::clone(group));
        self.set_head(group, customer, true);
    }

    fn remove_key(&mut self, group: &Group, customer: &Arc<str>, key: Key) {
        self.set_head(group, customer, false);
        let Some(members) = self.groups.get_mut(group) else {
            return;
        };
        if let Some(keys) = members.customers.get_mut(customer) {
            keys.remove(&key);
            if keys.is_empty() {
                members.customers.remove(customer);
                if let Some(groups) = self.groups_by_customer.get_mut(customer) {
                    groups.remove(group);
                    if groups.is_empty() {
                        self.groups_by_customer.remove(customer);
                    }
                }
            }
        }
        if members.customers.is_empty() {
            self.groups.remove(group);
        } else {
            self.set_head(group, customer, true);
        }
    }

    /// Adds or removes the first key of a customer in a group.
    fn set_head(&mut self, group: &Group, customer: &Arc<str>, add: bool) {
        let Some(members) = self.groups.get_mut(group) else {
            return;
        };
        let head = members.customers.get(customer).and_then(BTreeSet::first);
        let Some(&head) = head else {
            return;
        };
        if let Some(&excess) = self.excess.get(customer) {
            let entry = (excess, head, Arc::clone(group), Arc::clone(customer));
            if add {
                self.capped_heads.insert(entry);
            } else {
                self.capped_heads.remove(&entry);
            }
            return;
        }
        let before = members.heads.first().map(|(key, _)| *key);
        let entry = (head, Arc::clone(customer));
        if add {
            members.heads.insert(entry);
        } else {
            members.heads.remove(&entry);
        }
        let after = members.heads.first().map(|(key, _)| *key);
        if before != after {
            if let Some(key) = before {
                self.first_by_group.remove(&(key, Arc::clone(group)));
            }
            if let Some(key) = after {
                self.first_by_group.insert((key, Arc::clone(group)));
            }
        }
    }
}
