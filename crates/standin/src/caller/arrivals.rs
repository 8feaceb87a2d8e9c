//! Poisson arrivals.

use std::time::Duration;

use rand::SeedableRng;
use rand::distr::weighted::WeightedIndex;
use rand::rngs::StdRng;
use rand_distr::{Distribution as _, Exp1};

use crate::caller::mix::Mix;

/// An intended request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Intended start, since the start of the run.
    pub at: Duration,
    /// Number of the kind in the mix.
    pub kind: usize,
}

/// The arrivals of one run. The same seed gives the same arrivals.
#[derive(Debug)]
pub struct Arrivals {
    random: StdRng,
    kinds: WeightedIndex<f64>,
    gap: f64,
    at: f64,
    end: f64,
}

impl Arrivals {
    /// Arrivals at a rate per second until the end, or `None` if the mix is
    /// not valid or the rate not positive.
    pub fn new(mix: &Mix, rate: f64, length: Duration, seed: u64) -> Option<Self> {
        let kinds = WeightedIndex::new(mix.kinds.iter().map(|kind| kind.weight)).ok()?;
        (rate.is_finite() && rate > 0.0).then(|| Arrivals {
            random: StdRng::seed_from_u64(seed),
            kinds,
            gap: rate.recip(),
            at: 0.0,
            end: length.as_secs_f64(),
        })
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let gap: f64 = Exp1.sample(&mut self.random);
        self.at += gap * self.gap;
        let kind = self.kinds.sample(&mut self.random);
        (self.at < self.end).then(|| Arrival {
            at: Duration::from_secs_f64(self.at),
            kind,
        })
    }
}
