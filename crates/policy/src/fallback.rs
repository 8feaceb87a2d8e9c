//! Placement by one daemon on its own while the coordinator is unreachable: the
//! upstream of two random ones of which this daemon uses fewer slots.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::{contract, health, retry};

/// Limits of the fallback.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time for which a view of the fleet's ejections is valid.
    pub view_ttl: Duration,
    /// Time for which an upstream is avoided after this daemon could not connect
    /// to it or got no response in time.
    pub avoid_duration: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            view_ttl: Duration::from_secs(10),
            avoid_duration: Duration::from_secs(5),
        }
    }
}

/// The last adopted view of the fleet.
struct Adopted {
    at: Instant,
    view: health::View,
    /// Whether an upstream is ejected, by class and upstream index, without the
    /// ejections that would leave fewer upstreams than the floor.
    ejected: Vec<Vec<bool>>,
}

/// State of the upstreams of a service on one daemon.
pub struct Fallback {
    settings: Settings,
    service: Arc<contract::Service>,
    classes: Arc<[contract::Class]>,
    in_use: Vec<u32>,
    avoided_until: Vec<Option<Instant>>,
    /// Retained after the view expires: a leaving upstream must get no new
    /// requests, however long the coordinator is unreachable.
    leaving: Vec<bool>,
    adopted: Option<Adopted>,
}

impl Fallback {
    /// Creates a fallback without a view and without slots in use.
    pub fn new(
        settings: Settings,
        service: Arc<contract::Service>,
        classes: Arc<[contract::Class]>,
    ) -> Self {
        let count = service.upstreams.len();
        Self {
            in_use: vec![0; count],
            avoided_until: vec![None; count],
            leaving: service.upstreams.iter().map(|u| u.leaving).collect(),
            adopted: None,
            settings,
            service,
            classes,
        }
    }

    /// Applies a new configuration. Upstreams keep their state by name, except
    /// for marks of [`Fallback::mark_leaving`].
    pub fn configure(&mut self, service: Arc<contract::Service>, classes: Arc<[contract::Class]>) {
        let old: HashMap<&str, usize> = self
            .service
            .upstreams
            .iter()
            .enumerate()
            .map(|(index, upstream)| (&*upstream.name, index))
            .collect();
        let before: Vec<Option<usize>> = service
            .upstreams
            .iter()
            .map(|upstream| old.get(&*upstream.name).copied())
            .collect();
        let in_use = before.iter().map(|i| i.map_or(0, |i| self.in_use[i]));
        let avoided = before.iter().map(|i| i.and_then(|i| self.avoided_until[i]));
        (self.in_use, self.avoided_until) = (in_use.collect(), avoided.collect());
        self.leaving = service.upstreams.iter().map(|u| u.leaving).collect();
        self.service = service;
        self.classes = classes;
        if let Some(adopted) = self.adopted.take() {
            self.adopt(adopted.at, adopted.view);
        }
    }

    /// Adopts a view of the fleet's ejections and leaving upstreams.
    pub fn adopt(&mut self, now: Instant, view: health::View) {
        let upstreams = &self.service.upstreams;
        let leaving: Vec<bool> = upstreams
            .iter()
            .map(|upstream| upstream.leaving || view.leaving.contains(&upstream.name))
            .collect();
        let ejected = self.classes.iter().map(|class| {
            let mut ejected = vec![false; upstreams.len()];
            let of_class = view.ejected.iter().filter(|(_, name)| *name == class.name);
            let mut in_service = leaving.iter().filter(|leaving| !**leaving).count();
            for (name, _) in of_class {
                // Further ejections would leave fewer upstreams than the floor.
                if in_service <= self.service.floor {
                    break;
                }
                let index = upstreams.iter().position(|u| u.name == *name);
                if let Some(index) = index.filter(|&i| !leaving[i] && !ejected[i]) {
                    ejected[index] = true;
                    in_service -= 1;
                }
            }
            ejected
        });
        self.adopted = Some(Adopted {
            at: now,
            ejected: ejected.collect(),
            view,
        });
        self.leaving = leaving;
    }

    /// Marks an upstream as leaving, so that it gets no new requests, until the
    /// next view or configuration.
    pub fn mark_leaving(&mut self, upstream: usize) {
        self.leaving[upstream] = true;
    }

    /// Returns the slots that this daemon uses, by upstream index.
    pub fn in_use(&self) -> &[u32] {
        &self.in_use
    }

    /// Chooses an upstream for a request of `class` and counts one of its slots as
    /// used. Drops the preferences for the own zone, free slots, reachable and
    /// not ejected upstreams, in this order, until one is left. Returns `None` if
    /// every upstream is leaving, without slots or in `excluded`.
    pub fn pick(
        &mut self,
        now: Instant,
        class: usize,
        zone: &str,
        excluded: &[Arc<str>],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let upstreams = &self.service.upstreams;
        let view_ttl = self.settings.view_ttl;
        let view = self
            .adopted
            .as_ref()
            .filter(|adopted| now.saturating_duration_since(adopted.at) < view_ttl);
        let allowed: SmallVec<[usize; 64]> = (0..upstreams.len())
            .filter(|&i| {
                let upstream = &upstreams[i];
                upstream.slots > 0 && !self.leaving[i] && !excluded.contains(&upstream.name)
            })
            .collect();
        let ejected = view.and_then(|view| view.ejected.get(class));
        let not_ejected = |i: usize| ejected.is_none_or(|ejected| !ejected[i]);
        let reachable = |i: usize| self.avoided_until[i].is_none_or(|until| now >= until);
        let same_zone = |i: usize| *upstreams[i].availability_zone == *zone;
        // Without the coordinator, only this daemon's own use shows that an
        // upstream is full.
        let free = |i: usize| self.in_use[i] < upstreams[i].slots;
        let preferences: [&dyn Fn(usize) -> bool; 5] = [
            &|i| same_zone(i) && free(i) && not_ejected(i) && reachable(i),
            &|i| free(i) && not_ejected(i) && reachable(i),
            &|i| not_ejected(i) && reachable(i),
            &not_ejected,
            &|_| true,
        ];
        let chosen = preferences.iter().find_map(|accepts| {
            let candidates: SmallVec<[usize; 64]> =
                allowed.iter().copied().filter(|&i| accepts(i)).collect();
            two_choices(&candidates, &self.in_use, rng)
        })?;
        self.in_use[chosen] += 1;
        Some(chosen)
    }

    /// Frees the slot of an ended attempt. `unreachable` is set after a failed
    /// connection or a timeout, and the upstream is then avoided.
    pub fn settle(&mut self, now: Instant, upstream: usize, unreachable: bool) {
        if let Some(in_use) = self.in_use.get_mut(upstream) {
            *in_use = in_use.saturating_sub(1);
        }
        if unreachable {
            self.avoid(now, upstream);
        }
    }

    /// Avoids an upstream for [`Settings::avoid_duration`]. Also called after
    /// attempts that the coordinator placed.
    pub fn avoid(&mut self, now: Instant, upstream: usize) {
        if let Some(until) = self.avoided_until.get_mut(upstream) {
            *until = Some(now + self.settings.avoid_duration);
        }
    }

    /// Returns the names of the upstreams that this daemon avoids. Returns none if
    /// it avoids all that are not leaving: the cause is then more likely this
    /// daemon, and a request that excludes every upstream would be refused.
    pub fn avoided(&self, now: Instant) -> retry::Excluded {
        let upstreams = &self.service.upstreams;
        let is_avoided = |&i: &usize| self.avoided_until[i].is_some_and(|until| now < until);
        if (0..upstreams.len())
            .filter(|&i| !self.leaving[i])
            .all(|i| is_avoided(&i))
        {
            return retry::Excluded::new();
        }
        (0..upstreams.len())
            .filter(is_avoided)
            .map(|i| Arc::clone(&upstreams[i].name))
            .collect()
    }
}

/// Returns the less used of two different random candidates.
pub(crate) fn two_choices(
    candidates: &[usize],
    in_use: &[u32],
    rng: &mut impl Rng,
) -> Option<usize> {
    let first = rng.random_range(0..candidates.len().max(1));
    let &left = candidates.get(first)?;
    if candidates.len() == 1 {
        return Some(left);
    }
    let step = rng.random_range(1..candidates.len());
    let right = candidates[(first + step) % candidates.len()];
    Some(if in_use[right] < in_use[left] {
        right
    } else {
        left
    })
}
