//! Small services and requests for the tests of placement.

#![allow(dead_code, reason = "each test program uses a part")]

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{contract, health, placement};
use proptest::test_runner;

/// A request for a slot; the defaults are those of `wanted`.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Wanted {
    pub(crate) ticket: u64,
    pub(crate) class: Arc<str>,
    pub(crate) customer: Arc<str>,
    pub(crate) host: Arc<str>,
    pub(crate) zone: Arc<str>,
    pub(crate) wait: u32,
    pub(crate) attempt: u32,
    pub(crate) excluded: Vec<Arc<str>>,
}

impl Default for Wanted {
    fn default() -> Self {
        Self {
            ticket: 0,
            class: "lookup".into(),
            customer: "anyone".into(),
            host: "h1".into(),
            zone: "z1".into(),
            wait: 1000,
            attempt: 1,
            excluded: Vec::new(),
        }
    }
}

pub(crate) fn wanted(ticket: u64) -> Wanted {
    Wanted {
        ticket,
        ..Wanted::default()
    }
}

pub(crate) fn classes() -> Arc<[contract::Class]> {
    let class = |name: &str, priority, repeatable, upload| contract::Class {
        name: name.into(),
        priority,
        repeatable,
        upload,
        ..contract::Class::default()
    };
    Arc::new([
        class("lookup", 1, true, false),
        class("order", 0, false, false),
        class("upload", 2, false, true),
    ])
}

pub(crate) fn acquire(wanted: &Wanted) -> placement::Acquire {
    let classes = classes();
    placement::Acquire {
        ticket: wanted.ticket,
        class: classes.iter().position(|c| c.name == wanted.class).unwrap(),
        customer: Arc::clone(&wanted.customer),
        host: Arc::clone(&wanted.host),
        availability_zone: Arc::clone(&wanted.zone),
        wait: Duration::from_millis(wanted.wait.into()),
        attempt: wanted.attempt,
        excluded: wanted.excluded.iter().cloned().collect(),
    }
}

pub(crate) fn good(grant: placement::Id) -> placement::Event {
    placement::Event::Settle {
        grant,
        outcome: health::Outcome::Good,
        elapsed: Duration::from_millis(1),
    }
}

/// A service of upstreams given as (name, zone, slots).
pub(crate) fn service<'a>(
    upstreams: impl IntoIterator<Item = (&'a str, &'a str, u32)>,
) -> Arc<contract::Service> {
    let upstreams = upstreams
        .into_iter()
        .map(|(name, zone, slots)| contract::Upstream {
            name: name.into(),
            address: ([127, 0, 0, 1], 1).into(),
            availability_zone: zone.into(),
            slots,
            connections: 400,
            leaving: false,
        });
    Arc::new(contract::Service {
        upstreams: upstreams.collect(),
        ..contract::Service::default()
    })
}

pub(crate) fn shares(shares: &[(&str, f64)]) -> contract::Customers {
    shares
        .iter()
        .map(|(name, share)| (Arc::from(*name), *share))
        .collect()
}

pub(crate) fn coordinator<'a>(
    upstreams: impl IntoIterator<Item = (&'a str, &'a str, u32)>,
    customers: &[(&str, f64)],
    now: Instant,
) -> placement::Coordinator {
    placement::Coordinator::new(
        placement::Settings::default(),
        service(upstreams),
        classes(),
        Arc::new(shares(customers)),
        &health::View::default(),
        now,
    )
}

/// Cases are the same in every run, and nothing is written next to the tests.
pub(crate) fn config() -> test_runner::Config {
    test_runner::Config {
        cases: 256,
        rng_seed: test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..test_runner::Config::default()
    }
}
