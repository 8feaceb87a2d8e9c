//! Simulations of the selection of backend servers under load and faults.

mod model;

use dotterelhinge_policy::{outage, quota, selection};
use model::{Model, Scenario};

/// Returns the means over five seeds of the share of unserved requests, the
/// share of late requests and the repeated sends per request.
fn mean_shares(
    scenario: &Scenario,
    selection: &selection::Settings,
    outage: &outage::Settings,
) -> [f64; 3] {
    let runs = 5;
    let mut sum = [0.0; 3];
    for seed in 1..=runs {
        let scenario = Scenario {
            seed,
            ..scenario.clone()
        };
        let result = Model::new(scenario, selection.clone(), outage.clone()).simulate();
        sum[0] += result.unserved();
        sum[1] += result.late();
        sum[2] += f64::from(result.sends) / f64::from(result.requests) - 1.0;
    }
    sum.map(|value| value / runs as f64)
}

/// Maximum share of unserved requests while servers have outages.
const MAX_UNSERVED: f64 = 0.04;

/// Maximum number of repeated sends per request, as the retry budget allows.
const MAX_REPEATS: f64 = 0.2;

/// Checks the bounds of `scenario` with the default settings of the daemon.
fn assert_bounds(scenario: &Scenario, max_late: f64) {
    let [unserved, late, repeats] = mean_shares(
        scenario,
        &selection::Settings::default(),
        &outage::Settings::default(),
    );
    let rate = scenario.rate;
    println!("rate {rate}: unserved {unserved:.4}, late {late:.4}, repeats {repeats:.4}");
    assert!(unserved <= MAX_UNSERVED, "rate {rate}: unserved {unserved}");
    assert!(late <= max_late, "rate {rate}: late {late}");
    assert!(repeats <= MAX_REPEATS, "rate {rate}: repeats {repeats}");
}

/// Maximum share of late requests at a large service.
const MAX_LATE: f64 = 0.01;

// Guards against requests that concentrate on a few servers or go to failing
// ones while three in ten servers fail nearly every request for some seconds.
#[test]
fn outages_cost_few_requests_at_any_load() {
    for rate in [110.0, 180.0, 245.0] {
        let scenario = Scenario {
            rate,
            ..Scenario::default()
        };
        assert_bounds(&scenario, 1.0);
    }
}

// Guards against hosts that test the same suspected server at the same time. In
// a large fleet that spent the retry budget on a few servers, the others stayed
// suspected, and requests queued at those known to be healthy.
#[test]
fn suspected_servers_of_a_large_service_are_tested_evenly() {
    for rate in [700.0, 1150.0] {
        let scenario = Scenario {
            servers: 299,
            hosts: 134,
            rate,
            mean_work: 0.28,
            objective: 1.0,
            report_delay: 0.012,
            latency_ratios: (0.8, 1.25),
            full_slowdown: 1.3,
            seconds: 10.0,
            ..Scenario::default()
        };
        assert_bounds(&scenario, MAX_LATE);
    }
}

// Guards against a selection that is tuned to the outages of one deployment and
// fails requests when there are none.
#[test]
fn healthy_servers_leave_no_request_unserved() {
    let scenario = Scenario {
        mean_healthy: 1e9,
        mean_outage: 1e-9,
        base_failure_ratio: 0.0,
        ..Scenario::default()
    };
    let [unserved, late, _] = mean_shares(
        &scenario,
        &selection::Settings::default(),
        &outage::Settings::default(),
    );
    println!("unserved {unserved:.4}, late {late:.4}");
    assert!(unserved <= 0.001, "unserved {unserved}");
}

/// The largest service of a fleet of 443 hosts under its usual load and faults.
fn large_service() -> Scenario {
    Scenario {
        servers: 980,
        hosts: 443,
        zones: 6,
        max_queued: 6,
        max_wait: 0.3,
        budget: quota::Settings {
            slack: 630.0,
            ..quota::Settings::default()
        },
        rate: 2300.0,
        repeatable: 0.22,
        mean_work: 0.42,
        objective: 1.5,
        report_delay: 0.04,
        latency_ratios: (0.8, 1.25),
        full_slowdown: 1.3,
        seconds: 8.0,
        ..Scenario::default()
    }
}

// Guards against load that is heaped on a few servers of the own zone while
// others are idle: these shed what the others could have run.
#[test]
fn a_large_service_spreads_its_load() {
    for rate in [2300.0, 3200.0] {
        let scenario = Scenario {
            rate,
            ..large_service()
        };
        assert_bounds(&scenario, MAX_LATE);
    }
}
