//! Terms and outcomes for the tests of health.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{
    contract,
    health::{Change, Health, Observation, Outcome},
};

/// Terms of a service with `classes`, of which the first is repeatable. A
/// trailing `!` marks a leaving upstream.
pub(crate) fn terms(
    upstreams: &[impl AsRef<str>],
    classes: &[&str],
    slots: u32,
    floor: usize,
) -> (Arc<contract::Service>, Arc<[contract::Class]>) {
    let upstreams = upstreams.iter().map(|name| contract::Upstream {
        name: Arc::from(name.as_ref().trim_end_matches('!')),
        address: ([127, 0, 0, 1], 80).into(),
        availability_zone: Arc::from("alajuela"),
        slots,
        connections: 350,
        leaving: name.as_ref().ends_with('!'),
    });
    let service = contract::Service {
        floor,
        cold_start: Duration::from_secs(3),
        upstreams: upstreams.collect(),
        ..contract::Service::default()
    };
    let classes = classes.iter().enumerate().map(|(n, name)| contract::Class {
        name: Arc::from(*name),
        repeatable: n == 0,
        ..contract::Class::default()
    });
    (Arc::new(service), classes.collect())
}

/// Reports one outcome that took `ms`.
pub(crate) fn observe(
    health: &mut Health,
    now: Instant,
    (upstream, class): (usize, usize),
    host: &str,
    outcome: Outcome,
    ms: u64,
) -> Vec<Change> {
    let observation = Observation {
        upstream,
        class,
        host: Arc::from(host),
        outcome,
        elapsed: Duration::from_millis(ms),
    };
    health.observe(now, &observation)
}
