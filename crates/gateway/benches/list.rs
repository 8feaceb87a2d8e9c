//! Cost of a change of the list of backend servers to one host.

use std::{sync::Arc, time::Duration, time::Instant};

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use dotterelhinge_gateway::{
    catalog::{Catalog, State, Upstream, Upstreams, Versioned},
    evidence::Evidence,
    peer::{client::Snapshot, fragment},
    replica::{Delta, Freshness, Replica},
    store::Change,
};
use dotterelhinge_policy::{availability, outage};

/// Number of backend servers of the largest deployment.
const UPSTREAMS: u32 = 1080;

fn upstream(number: u32, state: State) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: format!("i-{number:010x}").into(),
        incarnation: 1_790_000_000_123,
        service: "order-service".into(),
        address: format!("10.1.{}.{}:8629", number / 250, number % 250)
            .parse()
            .unwrap(),
        availability_zone: "availability-zone".into(),
        slots: 3,
        state,
        cold_left: Duration::ZERO,
    })
}

fn list() -> Versioned<Arc<Upstreams>> {
    let upstreams = (0..UPSTREAMS).map(|number| {
        let upstream = upstream(number, State::Ready);
        (Arc::clone(&upstream.id), upstream)
    });
    Versioned {
        version: 1,
        value: Arc::new(upstreams.collect()),
    }
}

fn delta(changes: u32) -> Delta {
    let change = |number| Change::Put(upstream(number, State::Draining));
    Delta {
        base: 1,
        version: 2,
        changes: (0..changes).map(change).collect(),
    }
}

/// Applies a change as a daemon does: to its copy and to its evidence.
fn apply(now: Instant, replica: &mut Replica, evidence: &mut Evidence, delta: &Delta) {
    assert!(replica.apply_delta(now, delta));
    evidence.set_upstreams(now, replica.instances());
}

fn bench(criterion: &mut Criterion) {
    let now = Instant::now();
    let start = || {
        let mut replica = Replica::new(Duration::from_secs(2));
        replica.replace_upstreams(now, list());
        let mut evidence = Evidence::new(
            outage::Settings::default(),
            availability::Settings::default(),
        );
        evidence.set_upstreams(now, replica.instances());
        (replica, evidence)
    };
    for changes in [1, 50] {
        let delta = delta(changes);
        criterion.bench_function(&format!("apply {changes} of {UPSTREAMS}"), |bencher| {
            bencher.iter_batched_ref(
                start,
                |(replica, evidence)| apply(now, replica, evidence, &delta),
                BatchSize::LargeInput,
            );
        });
        criterion.bench_function(&format!("split {changes}"), |bencher| {
            bencher.iter(|| fragment::split(&delta));
        });
    }
    let whole = Snapshot {
        catalog: Catalog {
            configuration: None,
            upstreams: Some(list()),
        },
        freshness: Freshness::default(),
        hosts: Vec::new(),
        changes: None,
    };
    let bytes = rmp_serde::to_vec(&whole).unwrap();
    println!("whole list: {} bytes", bytes.len());
    criterion.bench_function("encode the whole list", |bencher| {
        bencher.iter(|| rmp_serde::to_vec(&whole).unwrap());
    });
    criterion.bench_function("decode the whole list", |bencher| {
        bencher.iter(|| rmp_serde::from_slice::<Snapshot>(&bytes).unwrap());
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
