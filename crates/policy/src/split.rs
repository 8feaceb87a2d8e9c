//! Smooth weighted round robin between the services of one route.
//!
//! Over any sequence of requests each service gets its share to within two
//! requests. Hosts start at a random offset, because they would all begin with
//! the same service otherwise.

use rand::{Rng, RngExt};
use smallvec::SmallVec;

/// Weights and current balances of one route's services.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    weights: SmallVec<[f64; 4]>,
    balance: SmallVec<[f64; 4]>,
}

impl Split {
    /// Creates a split with a random offset. Weights must not all be zero.
    pub fn new(weights: impl IntoIterator<Item = f64>, rng: &mut impl Rng) -> Self {
        let weights: SmallVec<[f64; 4]> = weights.into_iter().collect();
        let balance = weights
            .iter()
            .map(|weight| weight * rng.random_range(0.0..1.0))
            .collect();
        Self { weights, balance }
    }

    /// Whether the split has these weights.
    pub fn has_weights(&self, weights: impl IntoIterator<Item = f64>) -> bool {
        self.weights.iter().copied().eq(weights)
    }

    /// Returns the position of the service for the next request.
    pub fn choose(&mut self) -> usize {
        let total: f64 = self.weights.iter().sum();
        let mut best = 0;
        for position in 0..self.weights.len() {
            self.balance[position] += self.weights[position];
            if self.balance[position] > self.balance[best] {
                best = position;
            }
        }
        if let Some(balance) = self.balance.get_mut(best) {
            *balance -= total;
        }
        best
    }
}
