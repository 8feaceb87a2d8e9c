//! Baseline policy for comparisons in benchmarks: each daemon on its own takes
//! the less used of two random upstreams and ejects an upstream after
//! consecutive failures.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::Rng;
use smallvec::SmallVec;

use crate::{contract, fallback, health};

/// Limits of the baseline.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Consecutive failures that eject an upstream.
    pub consecutive_failures: u32,
    /// Duration of an ejection.
    pub ejection_duration: Duration,
    /// Maximum percentage of the upstreams that are ejected at the same time.
    pub max_ejected_percent: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            consecutive_failures: 5,
            ejection_duration: Duration::from_secs(30),
            max_ejected_percent: 50,
        }
    }
}

#[derive(Clone, Default)]
struct Upstream {
    in_use: u32,
    failures: u32,
    ejected_until: Option<Instant>,
}

/// State of the upstreams of a service on one daemon.
pub struct Baseline {
    settings: Settings,
    service: Arc<contract::Service>,
    upstreams: Vec<Upstream>,
}

impl Baseline {
    /// Creates a policy without slots in use or ejected upstreams.
    pub fn new(settings: Settings, service: Arc<contract::Service>) -> Self {
        Self {
            upstreams: vec![Upstream::default(); service.upstreams.len()],
            settings,
            service,
        }
    }

    /// Applies a new configuration. Upstreams keep their state by name.
    pub fn configure(&mut self, service: Arc<contract::Service>) {
        let old = &self.service.upstreams;
        self.upstreams = service
            .upstreams
            .iter()
            .map(|upstream| {
                let index = old.iter().position(|o| o.name == upstream.name);
                index
                    .map(|index| self.upstreams[index].clone())
                    .unwrap_or_default()
            })
            .collect();
        self.service = service;
    }

    /// Whether an upstream is ejected.
    pub fn is_ejected(&self, now: Instant, upstream: usize) -> bool {
        let until = self.upstreams[upstream].ejected_until;
        until.is_some_and(|until| now < until)
    }

    /// Returns the slots that this daemon uses, by upstream index.
    pub fn in_use(&self) -> Vec<u32> {
        self.upstreams.iter().map(|u| u.in_use).collect()
    }

    /// Chooses an upstream and counts one of its slots as used. If all candidates
    /// are ejected, chooses among those. Returns `None` if every upstream is
    /// leaving or in `excluded`.
    pub fn pick(
        &mut self,
        now: Instant,
        excluded: &[Arc<str>],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let allowed: SmallVec<[usize; 64]> = self
            .service
            .upstreams
            .iter()
            .enumerate()
            .filter(|(_, u)| !u.leaving && !excluded.contains(&u.name))
            .map(|(index, _)| index)
            .collect();
        let not_ejected: SmallVec<[usize; 64]> = allowed
            .iter()
            .copied()
            .filter(|&index| !self.is_ejected(now, index))
            .collect();
        let in_use = self.in_use();
        let chosen = fallback::two_choices(&not_ejected, &in_use, rng)
            .or_else(|| fallback::two_choices(&allowed, &in_use, rng))?;
        self.upstreams[chosen].in_use += 1;
        Some(chosen)
    }

    /// Records the outcome of an attempt and frees its slot. Returns whether this
    /// ejected the upstream.
    pub fn settle(&mut self, now: Instant, upstream: usize, outcome: health::Outcome) -> bool {
        let entry = &mut self.upstreams[upstream];
        entry.in_use = entry.in_use.saturating_sub(1);
        match outcome {
            health::Outcome::Good => entry.failures = 0,
            health::Outcome::Failed | health::Outcome::ConnectFailed | health::Outcome::Shed => {
                entry.failures += 1
            }
            // The baseline has no `slow_after`; a timeout is reported as `Failed`.
            health::Outcome::Overdue | health::Outcome::Neutral => {}
        }
        let count = self.upstreams.len();
        let ejected = (0..count).filter(|&i| self.is_ejected(now, i)).count();
        if self.upstreams[upstream].failures < self.settings.consecutive_failures
            || self.is_ejected(now, upstream)
            || (ejected + 1) * 100 > count * self.settings.max_ejected_percent
        {
            return false;
        }
        let entry = &mut self.upstreams[upstream];
        entry.failures = 0;
        entry.ejected_until = Some(now + self.settings.ejection_duration);
        true
    }
}
