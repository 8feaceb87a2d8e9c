//! How a starting host joins the fleet through the store.

use std::time::Duration;

use dotterelhinge_policy::join::{Settings, Start, Step, first_step};
use googletest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};

/// Writes that one part of a table applies per second.
const WRITES_PER_SECOND: f64 = 150.0;

/// Time for which a write may wait before the store refuses it.
const MAX_WAIT: f64 = 1.0;

/// Returns the writes that the store refuses when `hosts` hosts start at once
/// for the first time.
fn refused(hosts: usize, seed: u64) -> usize {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals: Vec<f64> = (0..hosts)
        .filter_map(
            |_| match first_step(&Settings::default(), Start::First, &mut rng) {
                Step::Register(delay) => Some(delay.as_secs_f64()),
                Step::Read => None,
            },
        )
        .collect();
    arrivals.sort_by(f64::total_cmp);
    let mut idle_at: f64 = 0.0;
    let mut refused = 0;
    for arrival in arrivals {
        let start = idle_at.max(arrival);
        if start - arrival > MAX_WAIT {
            refused += 1;
        } else {
            idle_at = start + 1.0 / WRITES_PER_SECOND;
        }
    }
    refused
}

// Guards against the start of a large fleet, in which three registrations of
// four were refused and repeated.
#[gtest]
fn a_large_fleet_registers_without_refused_writes() {
    for seed in 1..=20 {
        expect_that!(refused(443, seed), eq(0), "seed {seed}");
    }
}

// Guards against a restart of the whole fleet in which every host writes again
// what the store already holds.
#[gtest]
fn a_restarted_host_reads_before_it_writes() {
    let mut rng = SmallRng::seed_from_u64(1);
    let step = first_step(&Settings::default(), Start::Alone, &mut rng);
    expect_that!(step, eq(Step::Read));
    let step = first_step(&Settings::default(), Start::Informed, &mut rng);
    expect_that!(step, eq(Step::Register(Duration::ZERO)));
}
