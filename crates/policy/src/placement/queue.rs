//! Requests that wait for a slot.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use super::{Acquire, Ticket, pool::Excluded};

/// Width of the finer deadline buckets that estimate the queue ahead.
const FINE: Duration = Duration::from_millis(64);
/// Finer buckets in a coarser one.
const COARSE: u64 = 64;

/// Place of a request in the queue; the least is served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Place {
    /// `false` for an upload that waited over half of its limit.
    unpromoted: bool,
    priority: u8,
    limit: Instant,
    ticket: Ticket,
}

/// Requests with the same class and the same excluded upstreams. Either all of
/// them can be placed or none, so that one check serves for all.
pub(super) type Group = Arc<(usize, Excluded)>;

/// A request that waits.
pub(super) struct Waiting {
    pub(super) acquire: Acquire,
    pub(super) group: Group,
    pub(super) priority: u8,
    pub(super) limit: Instant,
    /// Time at which it goes before all that are not promoted.
    pub(super) promote: Option<Instant>,
    pub(super) promoted: bool,
}

impl Waiting {
    fn place(&self) -> Place {
        Place {
            unpromoted: !self.promoted,
            priority: self.priority,
            limit: self.limit,
            ticket: self.acquire.ticket,
        }
    }
}

/// Requests of one group.
#[derive(Default)]
struct Members {
    /// Places by customer.
    customers: HashMap<Arc<str>, BTreeSet<Place>>,
    /// First places of the customers below their limits.
    heads: BTreeSet<(Place, Arc<str>)>,
}

/// The queue.
///
/// For every group and customer with waiting requests, the first place is
/// either in `heads` of the group or, while the customer is at its limit, in
/// `capped`. The first entry of each `heads` is in `first`. With that, finding
/// the next request costs a logarithm of the queue for each group that must be
/// passed over, however many requests it has.
pub(super) struct Queue {
    waiting: HashMap<Ticket, Waiting>,
    groups: HashMap<Group, Members>,
    /// Groups in which each customer waits.
    of_customer: HashMap<Arc<str>, BTreeSet<Group>>,
    first: BTreeSet<(Place, Group)>,
    /// Heads of customers at their limits, the least excess first.
    capped: BTreeSet<(u64, Place, Group, Arc<str>)>,
    /// Excess of the customers that are at their limits.
    excess: HashMap<Arc<str>, u64>,
    /// Promotions and limits.
    timers: BTreeSet<(Instant, Ticket)>,
    start: Instant,
    fine: BTreeMap<(u8, u64), usize>,
    coarse: BTreeMap<(u8, u64), usize>,
}

impl Queue {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            waiting: HashMap::new(),
            groups: HashMap::new(),
            of_customer: HashMap::new(),
            first: BTreeSet::new(),
            capped: BTreeSet::new(),
            excess: HashMap::new(),
            timers: BTreeSet::new(),
            start: now,
            fine: BTreeMap::new(),
            coarse: BTreeMap::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn contains(&self, ticket: Ticket) -> bool {
        self.waiting.contains_key(&ticket)
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        let place = waiting.place();
        let due = waiting.promote.unwrap_or(waiting.limit);
        self.timers.insert((due, place.ticket));
        self.count(place, true);
        self.enter(&waiting.group, &waiting.acquire.customer, place);
        self.waiting.insert(place.ticket, waiting);
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        let due = waiting.promote.unwrap_or(waiting.limit);
        self.timers.remove(&(due, ticket));
        let place = waiting.place();
        self.count(place, false);
        self.leave(&waiting.group, &waiting.acquire.customer, place);
        Some(waiting)
    }

    /// Tickets that wait in the groups for which `holds` is true.
    pub(super) fn tickets(&self, holds: impl Fn(&Group) -> bool) -> Vec<Ticket> {
        let matching = self.groups.iter().filter(|(group, _)| holds(group));
        let mut tickets: Vec<Ticket> = matching
            .flat_map(|(_, members)| members.customers.values())
            .flat_map(|places| places.iter().map(|place| place.ticket))
            .collect();
        tickets.sort_unstable();
        tickets
    }

    /// Tickets of the requests from `host`.
    pub(super) fn of_host(&self, host: &str) -> Vec<Ticket> {
        let matching = self.waiting.values().filter(|w| *w.acquire.host == *host);
        let mut tickets: Vec<Ticket> = matching.map(|w| w.acquire.ticket).collect();
        tickets.sort_unstable();
        tickets
    }

    /// The first request that can be placed: of the customers below their
    /// limits in order of place, then of the others with the least excess.
    pub(super) fn next(&self, placeable: impl Fn(&Group) -> bool) -> Option<Ticket> {
        let below = self.first.iter().find(|(_, group)| placeable(group));
        let capped = || {
            let mut entries = self.capped.iter();
            entries.find_map(|(_, place, group, _)| placeable(group).then_some(place))
        };
        let place = below.map(|(place, _)| place).or_else(capped)?;
        Some(place.ticket)
    }

    /// Promotes requests that are due and returns a request whose limit is
    /// before `now`, or also at `now` if `inclusive`.
    pub(super) fn expired(&mut self, now: Instant, inclusive: bool) -> Option<Ticket> {
        while let Some(&(due, ticket)) = self.timers.first() {
            if due > now || (due == now && !inclusive) {
                return None;
            }
            let waiting = self.waiting.get_mut(&ticket)?;
            if waiting.promote.take().is_none() {
                return Some(ticket);
            }
            let old = waiting.place();
            let (group, limit) = (Arc::clone(&waiting.group), waiting.limit);
            waiting.promoted = true;
            let new = waiting.place();
            let customer = Arc::clone(&waiting.acquire.customer);
            self.timers.pop_first();
            self.timers.insert((limit, ticket));
            self.leave(&group, &customer, old);
            self.enter(&group, &customer, new);
        }
        None
    }

    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// Waiting requests that a new one goes behind, to the width of a finer
    /// bucket: those of a higher priority, and those of its own.
    pub(super) fn ahead(&self, priority: u8, limit: Instant) -> (usize, usize) {
        let bucket = self.bucket(limit);
        let coarse = bucket / COARSE;
        let sum = |counts: &BTreeMap<(u8, u64), usize>, from, to| {
            counts
                .range((priority, from)..(priority, to))
                .map(|(_, count)| *count)
                .sum::<usize>()
        };
        let own = sum(&self.coarse, 0, coarse) + sum(&self.fine, coarse * COARSE, bucket + 1);
        let higher = self.coarse.range(..(priority, 0)).map(|(_, count)| *count);
        (higher.sum(), own)
    }

    /// Moves the heads of `customer` to where its use of slots puts them.
    /// `excess` is `None` while it is below its limit.
    pub(super) fn set_excess(&mut self, customer: &Arc<str>, excess: Option<u64>) {
        if self.excess.get(customer).copied() == excess {
            return;
        }
        let groups: Vec<Group> = self
            .of_customer
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

    /// Customers with waiting requests.
    pub(super) fn customers(&self) -> Vec<Arc<str>> {
        self.of_customer.keys().cloned().collect()
    }

    fn bucket(&self, limit: Instant) -> u64 {
        let since = limit.saturating_duration_since(self.start);
        (since.as_millis() / FINE.as_millis()) as u64
    }

    fn count(&mut self, place: Place, add: bool) {
        let bucket = self.bucket(place.limit);
        for (counts, bucket) in [
            (&mut self.fine, bucket),
            (&mut self.coarse, bucket / COARSE),
        ] {
            let count = counts.entry((place.priority, bucket)).or_default();
            *count = if add { *count + 1 } else { *count - 1 };
            if *count == 0 {
                counts.remove(&(place.priority, bucket));
            }
        }
    }

    fn enter(&mut self, group: &Group, customer: &Arc<str>, place: Place) {
        self.set_head(group, customer, false);
        let members = self.groups.entry(Arc::clone(group)).or_default();
        let places = members.customers.entry(Arc::clone(customer)).or_default();
        places.insert(place);
        let groups = self.of_customer.entry(Arc::clone(customer)).or_default();
        groups.insert(Arc::clone(group));
        self.set_head(group, customer, true);
    }

    fn leave(&mut self, group: &Group, customer: &Arc<str>, place: Place) {
        self.set_head(group, customer, false);
        let Some(members) = self.groups.get_mut(group) else {
            return;
        };
        if let Some(places) = members.customers.get_mut(customer) {
            places.remove(&place);
            if places.is_empty() {
                members.customers.remove(customer);
                if let Some(groups) = self.of_customer.get_mut(customer) {
                    groups.remove(group);
                    if groups.is_empty() {
                        self.of_customer.remove(customer);
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

    /// Adds or removes the first place of a customer in a group.
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
                self.capped.insert(entry);
            } else {
                self.capped.remove(&entry);
            }
            return;
        }
        let before = members.heads.first().map(|(place, _)| *place);
        let entry = (head, Arc::clone(customer));
        if add {
            members.heads.insert(entry);
        } else {
            members.heads.remove(&entry);
        }
        let after = members.heads.first().map(|(place, _)| *place);
        if before != after {
            if let Some(place) = before {
                self.first.remove(&(place, Arc::clone(group)));
            }
            if let Some(place) = after {
                self.first.insert((place, Arc::clone(group)));
            }
        }
    }
}
