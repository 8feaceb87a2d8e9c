//! Statistical tests of failure detection, over many runs with fixed seeds.

use std::time::{Duration, Instant};

use dotterelhinge_policy::{
    contract,
    detection::{self, Channel, Costs, LikelihoodRatio, Settings, latency::Latency},
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const COSTS: Costs = Costs {
    false_ejection: 10.0,
    detection_second: 1.0,
};

/// Returns settings with a threshold of ln `odds` at any rate of outcomes.
fn fixed_threshold(odds: f64) -> Settings {
    Settings {
        min_threshold: odds.ln(),
        max_threshold: odds.ln(),
        ..Settings::default()
    }
}

fn channel(settings: &Settings, now: Instant) -> Channel {
    Channel::new(settings, settings.class, COSTS, 1, now)
}

/// Returns the number of outcomes until the alarm, for a `share` of bad outcomes
/// from hosts of all groups.
fn outcomes_to_alarm(settings: &Settings, share: f64, rng: &mut StdRng) -> u32 {
    let mut channel = channel(settings, Instant::now());
    let mut count = 0;
    while !channel.is_alarmed(settings, 0, false) {
        let group = rng.random_range(0..detection::HOST_GROUPS);
        channel.record(0, group, rng.random_bool(share));
        count += 1;
    }
    count
}

/// Guards against slow detection. The mean must lie between Wald's h / K1 (8.9 and
/// 17.8 outcomes) and the same with an overshoot of one bad step (13.3 and 22.1),
/// which the confirmation by other hosts must not exceed. With 4,000 runs, the
/// standard error of the mean is below 2 %.
#[googletest::test]
fn failing_upstream_is_detected_within_the_expected_outcomes() {
    let mut rng = StdRng::seed_from_u64(1);
    for odds in [1e3, 1e6] {
        let likelihood = LikelihoodRatio::new(0.01, 0.3);
        let wald = f64::ln(odds) / likelihood.divergence();
        let upper = (f64::ln(odds) + likelihood.step(true)) / likelihood.divergence();
        let counts = (0..4000).map(|_| outcomes_to_alarm(&fixed_threshold(odds), 0.3, &mut rng));
        let mean = f64::from(counts.sum::<u32>()) / 4000.0;
        println!("odds {odds:e}: mean {mean:.1}, Wald {wald:.1}, bound {upper:.1}");
        expect_that!(mean, all![ge(0.98 * wald), le(upper)]);
    }
}

/// Guards against false alarms: a healthy upstream raises at most one in e^h
/// outcomes. This bounds the mean, so that no tolerance is needed.
#[googletest::test]
fn false_alarms_stay_within_the_bound_of_the_threshold() {
    let mut rng = StdRng::seed_from_u64(2);
    for (odds, outcomes) in [(1e2, 1_000_000), (1e3, 1_000_000), (1e6, 4_000_000)] {
        let settings = fixed_threshold(odds);
        let mut channel = channel(&settings, Instant::now());
        let mut alarms = 0;
        for _ in 0..outcomes {
            let group = rng.random_range(0..detection::HOST_GROUPS);
            channel.record(0, group, rng.random_bool(0.01));
            if channel.is_alarmed(&settings, 0, true) {
                alarms += 1;
                channel.reset(0);
            }
        }
        println!("odds {odds:e}: {alarms} alarms in {outcomes} outcomes");
        expect_that!(f64::from(alarms), le(f64::from(outcomes) / odds));
    }
}

/// Returns a channel after 120 s with `rate` outcomes per second of each upstream,
/// and the time at the end.
fn loaded_channel(costs: Costs, rate: usize, shares: &[f64]) -> (Channel, Instant) {
    let (settings, mut now) = (Settings::default(), Instant::now());
    let mut rng = StdRng::seed_from_u64(3);
    let mut channel = Channel::new(&settings, settings.class, costs, shares.len(), now);
    for _ in 0..120 {
        for n in 0..rate * shares.len() {
            let (upstream, group) = (
                n % shares.len(),
                rng.random_range(0..detection::HOST_GROUPS),
            );
            channel.record(upstream, group, rng.random_bool(shares[upstream]));
        }
        now += Duration::from_secs(1);
        channel.refresh(&settings, now);
    }
    (channel, now)
}

/// Guards against a threshold that ignores the configured costs or the rate of
/// outcomes, and against one that is undefined without outcomes or costs.
#[googletest::test]
fn threshold_depends_on_costs_and_rate() {
    let threshold = |false_ejection, detection_second, rate| {
        let costs = Costs {
            false_ejection,
            detection_second,
        };
        loaded_channel(costs, rate, &[0.0; 30]).0.threshold()
    };
    let high = threshold(100.0, 1.0, 5);
    let low = threshold(1.0, 10.0, 5);
    expect_that!(high - low, near(1000f64.ln(), 0.01));
    // ln(100 * 5^2 * K0 * K1 * 86400), with K0 = 0.309 and K1 = 0.777.
    expect_that!(high, near(17.77, 0.05));
    expect_that!(threshold(10.0, 1.0, 0), eq(100f64.ln()));
    expect_that!(threshold(0.0, 0.0, 5), eq(1e9f64.ln()));
    expect_that!(threshold(0.0, 1.0, 5), eq(100f64.ln()));
}

/// Guards against a base share that a few failing upstreams raise, so that they are
/// not detected, and against one that ignores the actual share of the service.
#[googletest::test]
fn base_share_ignores_failing_upstreams() {
    let base = |shares: &[f64]| loaded_channel(COSTS, 10, shares).0.base();
    let mut failing = [0.01; 30];
    failing[..9].fill(1.0);
    expect_that!(base(&failing), le(0.02));
    expect_that!(base(&[1.0, 0.0]), eq(0.01));
    expect_that!(base(&[1.0, 0.0, 0.0, 1.0, 0.0, 0.0, 0.0, 0.0]), eq(0.01));
    expect_that!(base(&[0.05; 30]), near(0.05, 0.01));
    expect_that!(base(&[0.8; 30]), eq(0.15));
    // A single bad outcome of an upstream does not give a share of 1.
    let (settings, now) = (Settings::default(), Instant::now());
    let mut single = channel(&settings, now);
    single.record(0, 0, true);
    single.refresh(&settings, now);
    expect_that!(single.base(), near(0.1, 0.01));
}

/// Guards against an alarm that is raised only because the threshold falls when
/// requests stop.
#[googletest::test]
fn falling_rate_raises_no_alarm() {
    let settings = Settings::default();
    let (mut channel, now) = loaded_channel(COSTS, 20, &[0.0; 30]);
    channel.record(0, 0, true);
    channel.record(0, 1, true);
    channel.refresh(&settings, now + Duration::from_secs(3600));
    expect_that!(channel.evidence(0).0, ge(channel.threshold()));
    expect_that!(channel.is_alarmed(&settings, 0, true), eq(false));
    channel.record(0, 0, false);
    expect_that!(channel.evidence(0).0, ge(channel.threshold()));
    expect_that!(channel.is_alarmed(&settings, 0, true), eq(false));
    channel.record(0, 2, true);
    expect_that!(channel.is_alarmed(&settings, 0, true), eq(true));
}

/// Guards against a latency limit that is unusable before there are enough samples,
/// is below the network jitter or above the deadline, or is lost in an hour without
/// requests.
#[googletest::test]
fn latency_limit_follows_the_latencies() {
    let class = contract::Class::default();
    let limit = |millis: u64, count: usize| {
        let mut now = Instant::now();
        let mut latency = Latency::new(&class, now);
        (0..count).for_each(|_| latency.record(Duration::from_millis(millis)));
        now += Duration::from_secs(3600);
        latency.refresh(now);
        latency.limit().as_secs_f64()
    };
    expect_that!(limit(40, 29), eq(5.0));
    expect_that!(limit(40, 100), near(0.12, 0.0075));
    expect_that!(limit(1, 100), eq(0.02));
    expect_that!(limit(9000, 100), eq(10.0));
    let mut now = Instant::now();
    let mut latency = Latency::new(&class, now);
    for (millis, count) in [(400, 1000), (40, 1000)] {
        (0..count).for_each(|_| latency.record(Duration::from_millis(millis)));
        for _ in 0..10 {
            now += Duration::from_secs(60);
            latency.refresh(now);
        }
    }
    expect_that!(latency.limit().as_secs_f64(), near(0.12, 0.0075));
}
