//! Replays of the load patterns that the choice of a backend server answers.

mod model;

use dotterelhinge_policy::{outage, selection};
use model::{Model, Scenario};

fn mean(scenario: &Scenario, choice: &selection::Settings, outage: &outage::Settings) -> [f64; 3] {
    let runs = 5;
    let mut sum = [0.0; 3];
    for seed in 1..=runs {
        let scenario = Scenario {
            seed,
            ..scenario.clone()
        };
        let result = Model::new(scenario, choice.clone(), outage.clone()).run();
        sum[0] += result.unserved();
        sum[1] += result.late();
        sum[2] += f64::from(result.sends) / f64::from(result.requests) - 1.0;
    }
    sum.map(|value| value / runs as f64)
}

/// Share of requests that may stay unserved on a day with trouble.
const UNSERVED: f64 = 0.04;

/// Second sends that the retry budget allows for each request.
const REPEATS: f64 = 0.2;

// Guards against orders that gather on a few servers or go to failing ones
// while three servers in ten fail nearly every request for some seconds.
#[test]
fn failing_spells_cost_few_requests_at_any_load() {
    for rate in [110.0, 180.0, 245.0] {
        let scenario = Scenario {
            rate,
            ..Scenario::default()
        };
        let [unserved, late, repeats] = mean(
            &scenario,
            &selection::Settings::default(),
            &outage::Settings::default(),
        );
        println!("rate {rate}: unserved {unserved:.4}, late {late:.4}, repeats {repeats:.4}");
        assert!(unserved <= UNSERVED, "rate {rate}: unserved {unserved}");
        assert!(repeats <= REPEATS, "rate {rate}: repeats {repeats}");
    }
}

// Guards against hosts that test the same server in doubt at the same moment: in
// a large fleet the retry budget was spent on a few servers, the others stayed in
// doubt, and requests queued at those seen well.
#[test]
fn a_large_service_is_tested_evenly() {
    for rate in [700.0, 1150.0] {
        let scenario = Scenario {
            servers: 299,
            hosts: 134,
            rate,
            work: 0.28,
            objective: 1.0,
            delay: 0.012,
            speeds: (0.8, 1.25),
            crowded: 1.3,
            seconds: 10.0,
            ..Scenario::default()
        };
        let [unserved, late, repeats] = mean(
            &scenario,
            &selection::Settings::default(),
            &outage::Settings::default(),
        );
        println!("rate {rate}: unserved {unserved:.4}, late {late:.4}, repeats {repeats:.4}");
        assert!(unserved <= UNSERVED, "rate {rate}: unserved {unserved}");
        assert!(late <= 0.01, "rate {rate}: late {late}");
        assert!(repeats <= REPEATS, "rate {rate}: repeats {repeats}");
    }
}

// Guards against a choice that only works for one deployment's spells.
#[test]
fn sound_servers_lose_no_requests_to_caution() {
    let scenario = Scenario {
        sound: 1e9,
        failing: 1e-9,
        errors: 0.0,
        ..Scenario::default()
    };
    let [unserved, late, _] = mean(
        &scenario,
        &selection::Settings::default(),
        &outage::Settings::default(),
    );
    println!("unserved {unserved:.4}, late {late:.4}");
    assert!(unserved <= 0.001, "unserved {unserved}");
}
