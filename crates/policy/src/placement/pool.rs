//! Free slots by class and availability zone.

use std::{collections::BTreeSet, collections::HashMap, sync::Arc, time::Instant};

use rand::{RngExt, rngs::SmallRng};
use smallvec::SmallVec;

use crate::{contract, health};

/// Indexes of upstreams that a request must not be given, in ascending order.
pub(super) type Excluded = SmallVec<[usize; 4]>;

/// Order in which the upstreams of a zone are chosen: the first is the best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    /// Suspicion at or above the limit of avoidance.
    avoided: bool,
    in_use: u32,
    /// In quarters of the ejection threshold, so that a single failure does not
    /// take the work from an upstream while others are as free.
    suspicion: u8,
    /// Number of the last change, so that equal upstreams take turns. A random
    /// tie break that is drawn at a change can neglect one of them for long.
    changed: u64,
    upstream: usize,
}

/// Upstreams with a free slot, for one class.
struct Index {
    zones: Vec<BTreeSet<Rank>>,
    /// Free slots by zone.
    free: Vec<u32>,
    /// By upstream: slots for the class, slots in use by it, and the entry in
    /// `zones` with its free slots.
    slots: Vec<u32>,
    in_use: Vec<u32>,
    entry: Vec<Option<(Rank, u32)>>,
}

/// Slots of all upstreams.
///
/// For each class that was requested, an upstream has an entry in its zone's
/// set exactly if a slot for the class is free there. A class uses at most its
/// own slots, and all classes together at most the slots of the class with the
/// most, so that a class in trial isn't starved by the others.
pub(super) struct Pool {
    zones: HashMap<Arc<str>, usize>,
    zone_of: Vec<usize>,
    in_use: Vec<u32>,
    capacity: Vec<u32>,
    open: u32,
    classes: Vec<Option<Index>>,
    /// Requested classes.
    active: SmallVec<[usize; 8]>,
    changes: u64,
    avoid: f64,
}

impl Pool {
    pub(super) fn new(service: &contract::Service, classes: usize, avoid: f64) -> Self {
        let mut zones = HashMap::new();
        let zone_of = service
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
            zone_of,
            in_use: vec![0; count],
            capacity: vec![0; count],
            open: 0,
            classes: (0..classes).map(|_| None).collect(),
            active: SmallVec::new(),
            changes: 0,
            avoid,
        }
    }

    pub(super) fn in_use(&self) -> &[u32] {
        &self.in_use
    }

    /// Requested classes, in the order of their first requests.
    pub(super) fn active(&self) -> &[usize] {
        &self.active
    }

    /// Slots open to at least one requested class.
    pub(super) fn open(&self) -> u32 {
        self.open
    }

    /// Starts to keep the index of a class; returns whether it was missing.
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
            entry: vec![None; count],
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

    /// Enters an upstream as its health and its slots in use now stand.
    /// Returns whether it holds fewer open slots than `full`.
    pub(super) fn update(
        &mut self,
        now: Instant,
        upstream: usize,
        full: u32,
        health: &health::Health,
    ) -> bool {
        self.changes += 1;
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
        self.open = self.open - self.capacity[upstream] + capacity;
        self.capacity[upstream] = capacity;
        let in_use = self.in_use[upstream];
        let zone = self.zone_of[upstream];
        for &class in &self.active {
            let Some(index) = &mut self.classes[class] else {
                continue;
            };
            if let Some((rank, free)) = index.entry[upstream].take() {
                index.zones[zone].remove(&rank);
                index.free[zone] -= free;
            }
            let own = index.slots[upstream].saturating_sub(index.in_use[upstream]);
            let free = own.min(capacity.saturating_sub(in_use));
            if free > 0 {
                let suspicion = health.suspicion(upstream, class).max(0.0);
                let rank = Rank {
                    avoided: suspicion >= self.avoid,
                    in_use,
                    suspicion: (suspicion * 4.0) as u8,
                    changed: self.changes,
                    upstream,
                };
                index.zones[zone].insert(rank);
                index.free[zone] += free;
                index.entry[upstream] = Some((rank, free));
            }
        }
        reduced
    }

    /// Slots for `class` as last entered.
    pub(super) fn slots(&self, upstream: usize, class: usize) -> u32 {
        self.classes[class]
            .as_ref()
            .map_or(0, |index| index.slots[upstream])
    }

    /// Whether a slot for `class` is free outside of `excluded`.
    pub(super) fn has_free(&self, class: usize, excluded: &Excluded) -> bool {
        let Some(index) = &self.classes[class] else {
            return false;
        };
        let free: u32 = index.free.iter().sum();
        let barred: u32 = excluded
            .iter()
            .filter_map(|&upstream| index.entry[upstream].map(|(_, free)| free))
            .sum();
        free > barred
    }

    /// The upstream for a request: the best one in the caller's zone, or else
    /// in another zone picked in proportion to its free slots. An avoided
    /// upstream is chosen only if no other has a free slot; `explore` reverses
    /// that, so that an upstream that is merely suspected still yields
    /// evidence.
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
        for avoided in [explore, !explore] {
            if let Some(best) = own.and_then(|own| index.best(own, avoided, excluded)) {
                return Some(best);
            }
            let mut others: SmallVec<[(u32, usize); 16]> = (0..index.zones.len())
                .filter(|other| Some(*other) != own)
                .filter_map(|other| {
                    let best = index.best(other, avoided, excluded)?;
                    Some((index.free[other], best))
                })
                .collect();
            let total: u32 = others.iter().map(|(free, _)| free).sum();
            if total > 0 {
                let mut pick = rng.random_range(0..total);
                others.retain(|(free, _)| {
                    let here = pick < *free;
                    pick = pick.saturating_sub(*free);
                    here
                });
                return others.first().map(|(_, best)| *best);
            }
        }
        None
    }
}

impl Index {
    fn best(&self, zone: usize, avoided: bool, excluded: &Excluded) -> Option<usize> {
        let start = Rank {
            avoided,
            in_use: 0,
            suspicion: 0,
            changed: 0,
            upstream: 0,
        };
        self.zones[zone]
            .range(start..)
            .take_while(|rank| rank.avoided == avoided)
            .map(|rank| rank.upstream)
            .find(|upstream| !excluded.contains(upstream))
    }
}
