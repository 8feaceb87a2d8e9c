//! Cost of observing an outcome, with 30 upstreams, 4 classes and 48 reporting
//! hosts. Time advances by 1 ms per outcome, so that the refresh once a second is
//! included proportionally.

#![allow(missing_docs, reason = "criterion's macros generate the items")]

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use criterion::{Criterion, criterion_group, criterion_main};
use dotterelhinge_policy::{
    contract,
    health::{Health, Observation, Outcome, View},
};

const UPSTREAMS: usize = 30;
const CLASSES: usize = 4;
const HOSTS: usize = 48;

fn health(now: Instant) -> Health {
    let upstreams = (0..UPSTREAMS).map(|n| contract::Upstream {
        name: format!("u{n}").into(),
        address: ([127, 0, 0, 1], 80).into(),
        availability_zone: Arc::from("heredia"),
        slots: 3,
        connections: 350,
        leaving: false,
    });
    let service = contract::Service {
        floor: 20,
        upstreams: upstreams.collect(),
        ..contract::Service::default()
    };
    let classes = (0..CLASSES).map(|n| contract::Class {
        name: format!("c{n}").into(),
        ..contract::Class::default()
    });
    Health::new(Arc::new(service), classes.collect(), &View::default(), now)
}

fn observe(criterion: &mut Criterion) {
    let hosts: Vec<Arc<str>> = (0..HOSTS).map(|n| format!("entry-{n}").into()).collect();
    // One of `period` outcomes is bad.
    for (name, period) in [("observe, 1 in 100 bad", 100), ("observe, 1 in 3 bad", 3)] {
        let mut now = Instant::now();
        let mut health = health(now);
        let mut count = 0;
        criterion.bench_function(name, |bencher| {
            bencher.iter(|| {
                count += 1;
                now += Duration::from_millis(1);
                let bad = count % period == 0;
                health.observe(
                    now,
                    &Observation {
                        upstream: count % UPSTREAMS,
                        class: count / UPSTREAMS % CLASSES,
                        host: Arc::clone(&hosts[count % HOSTS]),
                        outcome: if bad { Outcome::Failed } else { Outcome::Good },
                        elapsed: Duration::from_millis(40),
                    },
                )
            });
        });
    }
    let mut now = Instant::now();
    let mut health = health(now);
    criterion.bench_function("tick", |bencher| {
        bencher.iter(|| {
            now += Duration::from_millis(100);
            health.tick(now)
        });
    });
}

criterion_group!(benches, observe);
criterion_main!(benches);
