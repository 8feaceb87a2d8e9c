//! A daemon on its own distributes its requests, respects the last view of the
//! fleet and never leaves fewer upstreams than the floor.

mod support;

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{baseline, contract, fallback, health};
use googletest::prelude::*;
use proptest::{prop_assert, test_runner};
use rand::{SeedableRng, rngs::SmallRng};
use support::{classes, service};

const UPSTREAMS: [(&str, &str, u32); 4] = [
    ("a", "z1", 3),
    ("b", "z1", 3),
    ("c", "z2", 3),
    ("d", "z2", 3),
];

fn with_floor(floor: usize) -> Arc<contract::Service> {
    let mut service = (*service(UPSTREAMS)).clone();
    service.floor = floor;
    Arc::new(service)
}

fn start(floor: usize) -> fallback::Fallback {
    let settings = fallback::Settings::default();
    fallback::Fallback::new(settings, with_floor(floor), classes())
}

/// Returns the names of the upstreams that 64 requests of class 0 get, each
/// settled immediately.
fn picked(
    fallback: &mut fallback::Fallback,
    now: Instant,
    zone: &str,
    excluded: &[Arc<str>],
) -> String {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut seen = HashSet::new();
    for _ in 0..64 {
        let Some(upstream) = fallback.pick(now, 0, zone, excluded, &mut rng) else {
            return "none".to_owned();
        };
        seen.insert(UPSTREAMS[upstream].0);
        fallback.settle(now, upstream, false);
    }
    let mut seen: Vec<_> = seen.into_iter().collect();
    seen.sort_unstable();
    seen.concat()
}

fn view(ejected: &[&str], leaving: &[&str]) -> health::View {
    let entry = |name: &&str| (Arc::from(*name), Arc::from("lookup"));
    health::View {
        ejected: ejected.iter().map(entry).collect(),
        leaving: leaving.iter().map(|name| Arc::from(*name)).collect(),
    }
}

/// Guards against requests that leave their zone unnecessarily, and against a
/// zone that gets more requests than slots while other zones have free slots.
#[googletest::test]
fn own_zone_is_preferred_while_it_has_slots() {
    let now = Instant::now();
    let mut fallback = start(1);
    expect_that!(picked(&mut fallback, now, "z1", &[]), eq("ab"));
    expect_that!(picked(&mut fallback, now, "z9", &[]), eq("abcd"));
    let mut rng = SmallRng::seed_from_u64(5);
    for _ in 0..12 {
        fallback.pick(now, 0, "z1", &[], &mut rng);
    }
    expect_that!(fallback.in_use(), eq(&[3, 3, 3, 3]));
    expect_that!(fallback.pick(now, 0, "z1", &[], &mut rng), some(anything()));
}

/// Guards against an ejected or leaving upstream that gets requests, against
/// ejections that leave fewer upstreams than the floor, and against a view that
/// is used after it has expired.
#[googletest::test]
fn the_view_applies_until_it_expires_and_above_the_floor() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let mut fallback = start(2);
    fallback.adopt(now, view(&["a"], &["d"]));
    expect_that!(picked(&mut fallback, now, "z9", &[]), eq("bc"));
    expect_that!(picked(&mut fallback, now + second * 9, "z9", &[]), eq("bc"));
    let after = now + second * 10;
    expect_that!(picked(&mut fallback, after, "z9", &[]), eq("abc"));
    fallback.adopt(now, view(&["a", "b", "c", "d"], &[]));
    expect_that!(picked(&mut fallback, now, "z9", &[]), eq("cd"));
    fallback.configure(with_floor(4), classes());
    expect_that!(picked(&mut fallback, now, "z9", &[]), eq("abcd"));
    fallback.mark_leaving(0);
    expect_that!(picked(&mut fallback, now, "z9", &[]), eq("bcd"));
}

/// Guards against a retry on an excluded upstream, and against a choice when
/// every upstream is excluded.
#[googletest::test]
fn excluded_upstreams_are_never_chosen() {
    let now = Instant::now();
    let mut fallback = start(1);
    let names: Vec<Arc<str>> = ["a", "b", "c", "d"].map(Arc::from).to_vec();
    expect_that!(picked(&mut fallback, now, "z1", &names[..1]), eq("b"));
    expect_that!(picked(&mut fallback, now, "z1", &names[..2]), eq("cd"));
    expect_that!(picked(&mut fallback, now, "z1", &names), eq("none"));
}

/// Guards against repeated attempts on an upstream that this daemon can't
/// reach, and against avoided upstreams that leave no choice.
#[googletest::test]
fn an_unreachable_upstream_is_avoided_for_5_s() {
    let now = Instant::now();
    let mut fallback = start(1);
    fallback.settle(now, 0, true);
    expect_that!(picked(&mut fallback, now, "z1", &[]), eq("b"));
    expect_that!(fallback.avoided(now).to_vec(), eq(&vec![Arc::from("a")]));
    let after = now + Duration::from_secs(5);
    expect_that!(picked(&mut fallback, after, "z1", &[]), eq("ab"));
    expect_that!(fallback.avoided(after).len(), eq(0));
    (0..4).for_each(|upstream| fallback.avoid(now, upstream));
    expect_that!(fallback.avoided(now).len(), eq(0));
    expect_that!(picked(&mut fallback, now, "z1", &[]), eq("abcd"));
}

/// Guards against a choice that ignores the slots that the daemon uses.
#[googletest::test]
fn the_less_used_of_two_is_chosen() {
    let now = Instant::now();
    let mut fallback = start(1);
    let mut rng = SmallRng::seed_from_u64(5);
    let only_a: Vec<Arc<str>> = ["b", "c", "d"].map(Arc::from).to_vec();
    fallback.pick(now, 0, "z1", &only_a, &mut rng);
    for _ in 0..16 {
        let chosen = fallback.pick(now, 0, "z1", &[], &mut rng);
        expect_that!(chosen, some(eq(1)));
        fallback.settle(now, 1, false);
    }
}

/// Guards against a baseline that ejects more than half, sooner than after 5
/// consecutive failures, or for longer than 30 s.
#[googletest::test]
fn the_baseline_ejects_at_most_half() {
    let attempt = (0..4_usize, 0..5_u8, 0..3000_u64);
    let attempts = proptest::collection::vec(attempt, 1..400);
    let mut runner = test_runner::TestRunner::new(support::config());
    let outcome = runner.run(&attempts, |attempts| {
        let mut now = Instant::now();
        let mut policy = baseline::Baseline::new(baseline::Settings::default(), service(UPSTREAMS));
        let mut failures = [0_u32; 4];
        let mut since = [None; 4];
        let mut rng = SmallRng::seed_from_u64(5);
        for (upstream, outcome, pause) in attempts {
            now += Duration::from_millis(pause / 10);
            // Consecutive failures are likely, so that ejections occur.
            let outcome = match outcome {
                0 if pause < 600 => health::Outcome::Good,
                1 => health::Outcome::Neutral,
                2 => health::Outcome::ConnectFailed,
                3 => health::Outcome::Shed,
                _ => health::Outcome::Failed,
            };
            match outcome {
                health::Outcome::Good => failures[upstream] = 0,
                health::Outcome::Neutral => {}
                _ => failures[upstream] += 1,
            }
            if policy.settle(now, upstream, outcome) {
                prop_assert!(failures[upstream] >= 5, "ejected early");
                failures[upstream] = 0;
                since[upstream] = Some(now);
            }
            let ejected: Vec<usize> = (0..4).filter(|&u| policy.is_ejected(now, u)).collect();
            prop_assert!(ejected.len() <= 2, "more than half: {ejected:?}");
            for &upstream in &ejected {
                let age = since[upstream].map(|at| now - at);
                prop_assert!(age.is_some_and(|age| age < Duration::from_secs(30)));
            }
            let chosen = policy.pick(now, &[], &mut rng);
            prop_assert!(chosen.is_some_and(|chosen| !ejected.contains(&chosen)));
        }
        Ok(())
    });
    expect_that!(outcome, ok(anything()));
    let mut policy = baseline::Baseline::new(baseline::Settings::default(), service(UPSTREAMS));
    let now = Instant::now();
    let results: Vec<bool> = (0..5)
        .map(|_| policy.settle(now, 0, health::Outcome::Failed))
        .collect();
    expect_that!(results, eq(&vec![false, false, false, false, true]));
    expect_true!(policy.is_ejected(now + Duration::from_secs(29), 0));
    expect_false!(policy.is_ejected(now + Duration::from_secs(30), 0));
}
