//! Services and requests for the tests of placement.

#![allow(dead_code, reason = "each test program uses a part")]

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{contract, health, placement};
use proptest::test_runner;

/// Request for a slot, with defaults for a repeatable first attempt.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Request {
    pub(crate) ticket: u64,
    pub(crate) class: Arc<str>,
    pub(crate) customer: Arc<str>,
    pub(crate) host: Arc<str>,
    pub(crate) zone: Arc<str>,
    pub(crate) wait: u32,
    pub(crate) attempt: u32,
    pub(crate) excluded: Vec<Arc<str>>,
}

impl Default for Request {
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

pub(crate) fn request(ticket: u64) -> Request {
    Request {
        ticket,
        ..Request::default()
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

pub(crate) fn acquire(request: &Request) -> placement::Acquire {
    let classes = classes();
    placement::Acquire {
        ticket: request.ticket,
        class: classes
            .iter()
            .position(|c| c.name == request.class)
            .unwrap(),
        customer: Arc::clone(&request.customer),
        host: Arc::clone(&request.host),
        availability_zone: Arc::clone(&request.zone),
        wait: Duration::from_millis(request.wait.into()),
        attempt: request.attempt,
        excluded: request.excluded.iter().cloned().collect(),
    }
}

pub(crate) fn settle_good(grant: placement::Id) -> placement::Event {
    placement::Event::Settle {
        grant,
        outcome: health::Outcome::Good,
        elapsed: Duration::from_millis(1),
    }
}

/// Returns a service with upstreams given as (name, zone, slots).
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

/// Returns a configuration with a fixed seed, so that the cases are the same in
/// every run, and without files of failed cases next to the tests.
pub(crate) fn config() -> test_runner::Config {
    test_runner::Config {
        cases: 256,
        rng_seed: test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..test_runner::Config::default()
    }
}
