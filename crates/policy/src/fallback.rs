//! Placement by one daemon alone, while the coordinator can't be reached: two
//! random choices, compared by the daemon's own slots in use.

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
    /// A view of the fleet's ejections holds for this long.
    pub view_ttl: Duration,
    /// An upstream is avoided for this long after this daemon could not
    /// connect to it or got no answer in time.
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

/// The last view of the fleet, by upstream index.
struct Adopted {
    at: Instant,
    view: health::View,
    /// Ejected upstreams by class, cut to the floor.
    ejected: Vec<Vec<bool>>,
}

/// What one daemon knows about the upstreams of a service.
pub struct Fallback {
    settings: Settings,
    service: Arc<contract::Service>,
    classes: Arc<[contract::Class]>,
    in_use: Vec<u32>,
    avoided_until: Vec<Option<Instant>>,
    /// Kept beyond the validity of the view that said so: an upstream that is
    /// leaving must get no new work, even if the coordinator is long gone.
    leaving: Vec<bool>,
    adopted: Option<Adopted>,
}

impl Fallback {
    /// Starts without a view and with no slot in use.
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

    /// Takes a new text into force; what is known stays by upstream name.
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

    /// Takes the fleet's ejections over.
    pub fn adopt(&mut self, now: Instant, view: health::View) {
        let upstreams = &self.service.upstreams;
        let leaving: Vec<bool> = upstreams
            .iter()
            .map(|upstream| upstream.leaving || view.leaving.contains(&upstream.name))
            .collect();
        let ejected = self.classes.iter().map(|class| {
            let mut ejected = vec![false; upstreams.len()];
            let named = view.ejected.iter().filter(|(_, name)| *name == class.name);
            let mut healthy = leaving.iter().filter(|leaving| !**leaving).count();
            for (name, _) in named {
                // What the floor leaves no room for is not ejected.
                if healthy <= self.service.floor {
                    break;
                }
                let index = upstreams.iter().position(|u| u.name == *name);
                if let Some(index) = index.filter(|&i| !leaving[i] && !ejected[i]) {
                    ejected[index] = true;
                    healthy -= 1;
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

    /// Gives an upstream no new work until a view or a text says otherwise.
    pub fn mark_leaving(&mut self, upstream: usize) {
        self.leaving[upstream] = true;
    }

    /// Slots that this daemon uses, by upstream index.
    pub fn in_use(&self) -> &[u32] {
        &self.in_use
    }

    /// Chooses an upstream for a request of `class` and counts a slot of it as
    /// used. Returns `None` if every upstream is leaving or in `excluded`.
    pub fn pick(
        &mut self,
        now: Instant,
        class: usize,
        zone: &str,
        excluded: &[Arc<str>],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let upstreams = &self.service.upstreams;
        let valid = self.settings.view_ttl;
        let view = self
            .adopted
            .as_ref()
            .filter(|adopted| now.saturating_duration_since(adopted.at) < valid);
        let allowed: SmallVec<[usize; 64]> = (0..upstreams.len())
            .filter(|&i| {
                let upstream = &upstreams[i];
                upstream.slots > 0 && !self.leaving[i] && !excluded.contains(&upstream.name)
            })
            .collect();
        let ejected = view.and_then(|view| view.ejected.get(class));
        let healthy = |i: usize| ejected.is_none_or(|ejected| !ejected[i]);
        let reachable = |i: usize| self.avoided_until[i].is_none_or(|until| now >= until);
        let near = |i: usize| *upstreams[i].availability_zone == *zone;
        // Own use alone can show that the zone is full.
        let free = |i: usize| self.in_use[i] < upstreams[i].slots;
        let tests: [&dyn Fn(usize) -> bool; 5] = [
            &|i| near(i) && free(i) && healthy(i) && reachable(i),
            &|i| free(i) && healthy(i) && reachable(i),
            &|i| healthy(i) && reachable(i),
            &healthy,
            &|_| true,
        ];
        let chosen = tests.iter().find_map(|test| {
            let candidates: SmallVec<[usize; 64]> =
                allowed.iter().copied().filter(|&i| test(i)).collect();
            two_choices(&candidates, &self.in_use, rng)
        })?;
        self.in_use[chosen] += 1;
        Some(chosen)
    }

    /// Counts the slot of an ended attempt as free. `unreachable` is set after
    /// a failed connection or a timeout.
    pub fn settle(&mut self, now: Instant, upstream: usize, unreachable: bool) {
        if let Some(in_use) = self.in_use.get_mut(upstream) {
            *in_use = in_use.saturating_sub(1);
        }
        if unreachable {
            self.avoid(now, upstream);
        }
    }

    /// Avoids an upstream for a while. This also serves attempts that the
    /// coordinator placed.
    pub fn avoid(&mut self, now: Instant, upstream: usize) {
        if let Some(until) = self.avoided_until.get_mut(upstream) {
            *until = Some(now + self.settings.avoid_duration);
        }
    }

    /// Names of the upstreams that this daemon avoids. If it avoids all of
    /// them, none is named: the fault is then more likely its own, and a
    /// request that excludes every upstream would be refused.
    pub fn avoided(&self, now: Instant) -> retry::Excluded {
        let upstreams = &self.service.upstreams;
        let avoided = |&i: &usize| self.avoided_until[i].is_some_and(|until| now < until);
        if (0..upstreams.len())
            .filter(|&i| !self.leaving[i])
            .all(|i| avoided(&i))
        {
            return retry::Excluded::new();
        }
        (0..upstreams.len())
            .filter(avoided)
            .map(|i| Arc::clone(&upstreams[i].name))
            .collect()
    }
}

/// The less used of two different random candidates.
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
