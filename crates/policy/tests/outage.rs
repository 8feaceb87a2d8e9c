//! The belief about one backend server.

use std::time::{Duration, Instant};

use dotterelhinge_policy::outage::{Belief, Evidence, Settings};
use googletest::prelude::*;

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

// Guards against a server that keeps its orders after its first failures.
#[gtest]
fn two_failures_outweigh_a_good_past() {
    let (settings, start) = (Settings::default(), Instant::now());
    let mut belief = Belief::new(&settings, start);
    for round in 0..20 {
        belief.observe(&settings, after(start, round * 100), Evidence::Succeeded);
    }
    belief.observe(&settings, after(start, 2100), Evidence::Failed);
    belief.observe(&settings, after(start, 2200), Evidence::Failed);
    expect_that!(belief.probability(&settings, after(start, 2200)), gt(0.9));
}

// Guards against a server that stays out after it has recovered.
#[gtest]
fn good_answers_bring_a_server_back() {
    let (settings, start) = (Settings::default(), Instant::now());
    let mut belief = Belief::new(&settings, start);
    for round in 0..10 {
        belief.observe(&settings, after(start, round), Evidence::Failed);
    }
    for round in 0..4 {
        belief.observe(&settings, after(start, 100 + round), Evidence::StillRunning);
    }
    expect_that!(belief.probability(&settings, after(start, 110)), lt(0.1));
}

// Guards against old evidence that counts for ever.
#[gtest]
fn without_outcomes_the_belief_returns_to_the_share() {
    let (settings, start) = (Settings::default(), Instant::now());
    for evidence in [Evidence::Failed, Evidence::Succeeded] {
        let mut belief = Belief::new(&settings, start);
        belief.observe(&settings, start, evidence);
        let later = belief.probability(&settings, after(start, 30_000));
        expect_that!(later, near(settings.stationary_probability(), 0.01));
    }
}

// Guards against beliefs that are lost when all servers decline at once, as in
// an overload: nobody knew then which of them failed as well.
#[gtest]
fn a_declined_request_says_little_when_most_are_declined() {
    let settings = Settings::default();
    let now = Instant::now();
    let after = |ratio: f64| {
        let mut belief = Belief::new(&settings, now);
        belief.observe(&settings, now, Evidence::Shed { ratio });
        belief.probability(&settings, now)
    };
    expect_that!(after(0.0), gt(0.9));
    expect_that!(after(0.6), near(settings.stationary_probability(), 0.01));
}
