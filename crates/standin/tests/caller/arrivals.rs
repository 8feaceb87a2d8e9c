//! Arrivals and the mix.

use std::time::Duration;

use dotterelhinge_standin::caller::arrivals::{Arrival, Arrivals};
use dotterelhinge_standin::caller::mix::{Kind, Mix};
use googletest::prelude::*;

fn kind(name: &str, weight: f64) -> Kind {
    Kind {
        name: name.to_owned(),
        weight,
        ..Default::default()
    }
}

fn arrivals(seed: u64) -> Vec<Arrival> {
    let mix = Mix {
        kinds: vec![kind("a", 3.0), kind("b", 1.0)],
    };
    let length = Duration::from_secs(100);
    Arrivals::new(&mix, 100.0, length, seed)
        .expect("valid")
        .collect()
}

/// Guards against arrivals that are regular, off the rate or off the weights.
#[gtest]
fn arrivals_are_poisson_at_the_rate_and_weights() {
    let all = arrivals(7);
    let count = all.len() as f64;
    // Five standard deviations of a Poisson count of 10,000.
    expect_that!(count, near(10_000.0, 500.0));
    let share = all.iter().filter(|arrival| arrival.kind == 0).count() as f64 / count;
    expect_that!(share, near(0.75, 0.03));
    // The variance of exponential gaps is the square of their mean.
    let gaps: Vec<f64> = all
        .windows(2)
        .map(|pair| (pair[1].at - pair[0].at).as_secs_f64() * 100.0)
        .collect();
    let mean = gaps.iter().sum::<f64>() / count;
    let variance = gaps.iter().map(|gap| (gap - mean).powi(2)).sum::<f64>() / count;
    expect_that!(variance, near(1.0, 0.15));
}

/// Guards against runs that cannot be repeated.
#[gtest]
fn same_seed_gives_the_same_arrivals() {
    expect_that!(arrivals(7) == arrivals(7), eq(true));
    expect_that!(arrivals(7) == arrivals(8), eq(false));
}

/// Guards against mixes that break request heads or the arrivals.
#[gtest]
fn invalid_mixes_are_rejected() {
    let base = || kind("a", 1.0);
    expect_that!(
        Mix {
            kinds: vec![base()]
        }
        .validate(),
        ok(eq(&()))
    );
    for kinds in [
        vec![],
        vec![base(), base()],
        vec![kind("", 1.0)],
        vec![kind("a", 0.0)],
        vec![kind("a", f64::NAN)],
        vec![Kind {
            path: "/a b".to_owned(),
            ..base()
        }],
        vec![Kind {
            method: String::new(),
            ..base()
        }],
        vec![Kind {
            body_rate: Some(0),
            ..base()
        }],
        vec![Kind {
            host: Some("a\r\nx: y".to_owned()),
            ..base()
        }],
        vec![Kind {
            headers: [("x y".to_owned(), String::new())].into(),
            ..base()
        }],
    ] {
        let mix = Mix { kinds };
        expect_that!(mix.validate().is_err(), eq(true), "{mix:?}");
    }
    let mix = Mix {
        kinds: vec![base()],
    };
    for rate in [0.0, -1.0, f64::NAN] {
        expect_that!(
            Arrivals::new(&mix, rate, Duration::MAX, 1).is_none(),
            eq(true)
        );
    }
}
