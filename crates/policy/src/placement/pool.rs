//! Free slots by class and availability zone.

use std::{collections::BTreeSet, collections::HashMap, sync::Arc, time::Instant};

use rand::{RngExt, rngs::SmallRng};
use smallvec::SmallVec;

use crate::{contract, health};

/// Indexes of the upstreams that must not serve a request, in ascending order.
pub(super) type Excluded = SmallVec<[usize; 4]>;

/// Sort key of the upstreams in a zone; the smallest is chosen first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    /// Whether the suspicion reaches the threshold for avoiding the upstream.
    is_avoided: bool,
    in_use: u32,
    /// Suspicion in quarters of the ejection threshold, so that a single failure
    /// does not divert requests from an upstream to others with as many slots in
    /// use.
    suspicion: u8,
    /// Sequence number of the last update, so that equal upstreams take turns. A
    /// random tie-break drawn at each update can neglect one of them for long.
    sequence: u64,
    upstream: usize,
}

/// Index of the upstreams with a free slot, for one class.
struct Index {
    zones: Vec<BTreeSet<Rank>>,
    /// Free slots by zone.
    free: Vec<u32>,
    /// By upstream: slots for the class, slots that it uses, and the entry in
    /// `zones` with its free slots.
    slots: Vec<u32>,
    in_use: Vec<u32>,
    entries: Vec<Option<(Rank, u32)>>,
}

/// Slots of all upstreams.
///
/// For each active class, an upstream has an entry in the set of its zone if and
/// only if it has a free slot for the class. A class uses at most its own slots,
/// and all classes together at most the slots of the class with the most slots, so
/// that the others cannot starve a class in trial.
pub(super) struct Pool {
    zones: HashMap<Arc<str>, usize>,
    zone_by_upstream: Vec<usize>,
    in_use: Vec<u32>,
    capacity: Vec<u32>,
    open_slots: u32,
    classes: Vec<Option<Index>>,
    /// Classes that have been requested.
    active: SmallVec<[usize; 8]>,
    sequence: u64,
    avoid_threshold: f64,
}

impl Pool {
    pub(super) fn new(service: &contract::Service, classes: usize, avoid_threshold: f64) -> Self {
        let mut zones = HashMap::new();
        let zone_by_upstream = service
            .upstreams
            .iter()
            .map(|upstream| {
                let next = zones.len();
                *zones
                    .entry(Arc::clone(&upstream.availability_zone))
                    .or_insert(next)
            })
            .collect();
        let count = service.upstreams.len();
        Self {
            zones,
            zone_by_upstream,
            in_use: vec![0; count],
            capacity: vec![0; count],
            open_slots: 0,
            classes: (0..classes).map(|_| None).collect(),
            active: SmallVec::new(),
            sequence: 0,
            avoid_threshold,
        }
    }

    pub(super) fn in_use(&self) -> &[u32] {
        &self.in_use
    }

    /// Returns the classes that have been requested, in the order of their first
    /// requests.
    pub(super) fn active(&self) -> &[usize] {
        &self.active
    }

    /// Returns the number of slots that at least one active class may use.
    pub(super) fn open_slots(&self) -> u32 {
        self.open_slots
    }

    /// Creates the index of a class. Returns `false` if it existed already.
    pub(super) fn activate(&mut self, class: usize) -> bool {
        if self.classes[class].is_some() {
            return false;
        }
        let count = self.in_use.len();
        self.classes[class] = Some(Index {
            zones: vec![BTreeSet::new(); self.zones.len()],
            free: vec![0; self.zones.len()],
            slots: vec![0; count],
            in_use: vec![0; count],
            entries: vec![None; count],
        });
        self.active.push(class);
        true
    }

    pub(super) fn add(&mut self, upstream: usize, class: Option<usize>) {
        self.in_use[upstream] += 1;
        if let Some(index) = class.and_then(|class| self.classes[class].as_mut()) {
            index.in_use[upstream] += 1;
        }
    }

    pub(super) fn remove(&mut self, upstream: usize, class: Option<usize>) {
        self.in_use[upstream] -= 1;
        if let Some(index) = class.and_then(|class| self.classes[class].as_mut()) {
            index.in_use[upstream] -= 1;
        }
    }

    /// Updates the entries of an upstream from its current health and its slots in
    /// use. Returns whether any active class may use fewer than `full` slots.
    pub(super) fn update(
        &mut self,
        now: Instant,
        upstream: usize,
        full: u32,
        health: &health::Health,
    ) -> bool {
        self.sequence += 1;
        let mut capacity = 0;
        let mut reduced = false;
        for &class in &self.active {
            let slots = health.slots(now, upstream, class).min(full);
            capacity = capacity.max(slots);
            reduced |= slots < full;
            if let Some(index) = &mut self.classes[class] {
                index.slots[upstream] = slots;
            }
        }
        self.open_slots = self.open_slots - self.capacity[upstream] + capacity;
        self.capacity[upstream] = capacity;
        let in_use = self.in_use[upstream];
        let zone = self.zone_by_upstream[upstream];
        for &class in &self.active {
            let Some(index) = &mut self.classes[class] else {
                continue;
            };
            if let Some((rank, free)) = index.entries[upstream].take() {
                index.zones[zone].remove(&rank);
                index.free[zone] -= free;
            }
            let own = index.slots[upstream].saturating_sub(index.in_use[upstream]);
            let free = own.min(capacity.saturating_sub(in_use));
            if free > 0 {
                let suspicion = health.suspicion(upstream, class).max(0.0);
                let rank = Rank {
                    is_avoided: suspicion >= self.avoid_threshold,
                    in_use,
                    suspicion: (suspicion * 4.0) as u8,
                    sequence: self.sequence,
                    upstream,
                };
                index.zones[zone].insert(rank);
                index.free[zone] += free;
                index.entries[upstream] = Some((rank, free));
            }
        }
        reduced
    }

    /// Returns the slots for `class` as of the last update.
    pub(super) fn slots(&self, upstream: usize, class: usize) -> u32 {
        self.classes[class]
            .as_ref()
            .map_or(0, |index| index.slots[upstream])
    }

    /// Returns whether a slot for `class` is free on an upstream that is not
    /// excluded.
    pub(super) fn has_free(&self, class: usize, excluded: &Excluded) -> bool {
        let Some(index) = &self.classes[class] else {
            return false;
        };
        let free: u32 = index.free.iter().sum();
        let excluded_free: u32 = excluded
            .iter()
            .filter_map(|&upstream| index.entries[upstream].map(|(_, free)| free))
            .sum();
        free > excluded_free
    }

    /// Returns the upstream for a request: the best one in the zone of the host, or
    /// else in another zone picked at random in proportion to its free slots. An
    /// avoided upstream is chosen only if no other has a free slot. `explore`
    /// reverses that, so that suspect upstreams still produce evidence.
    pub(super) fn choose(
        &self,
        class: usize,
        zone: &str,
        excluded: &Excluded,
        explore: bool,
        rng: &mut SmallRng,
    ) -> Option<usize> {
        let index = self.classes[class].as_ref()?;
        let own = self.zones.get(zone).copied();
        for is_avoided in [explore, !explore] {
            if let Some(best) = own.and_then(|own| index.best(own, is_avoided, excluded)) {
                return Some(best);
            }
            let mut others: SmallVec<[(u32, usize); 16]> = (0..index.zones.len())
                .filter(|other| Some(*other) != own)
                .filter_map(|other| {
                    let best = index.best(other, is_avoided, excluded)?;
                    Some((index.free[other], best))
                })
                .collect();
            let total: u32 = others.iter().map(|(free, _)| free).sum();
            if total > 0 {
                let mut pick = rng.random_range(0..total);
                others.retain(|(free, _)| {
                    let is_picked = pick < *free;
                    pick = pick.saturating_sub(*free);
                    is_picked
                });
                return others.first().map(|(_, best)| *best);
            }
        }
        None
    }
}

impl Index {
    fn best(&self, zone: usize, is_avoided: bool, excluded: &Excluded) -> Option<usize> {
        let start = Rank {
            is_avoided,
            in_use: 0,
            suspicion: 0,
            sequence: 0,
            upstream: 0,
        };
        self.zones[zone]
            .range(start..)
            .take_while(|rank| rank.is_avoided == is_avoided)
            .map(|rank| rank.upstream)
            .find(|upstream| !excluded.contains(upstream))
    }
}
