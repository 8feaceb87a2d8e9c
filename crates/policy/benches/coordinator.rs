//! Cost of an acquire and a settle with 30 upstreams, with free slots and with 100
//! and 1,000 waiting requests.

use std::{
    collections::VecDeque,
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use criterion::{Criterion, criterion_group, criterion_main};
use dotterelhinge_policy::{
    contract, health,
    placement::{Acquire, Action, Coordinator, Event, Settings},
};

const ZONES: usize = 4;

fn setup(now: Instant) -> Coordinator {
    let upstreams = (0..30).map(|number| contract::Upstream {
        name: format!("upstream-{number}").into(),
        address: ([127, 0, 0, 1], 1).into(),
        availability_zone: format!("zone-{}", number % ZONES).into(),
        slots: 3,
        connections: 400,
        leaving: false,
    });
    let service = contract::Service {
        upstreams: upstreams.collect(),
        ..contract::Service::default()
    };
    let class = |name: &str, priority| contract::Class {
        name: name.into(),
        priority,
        repeatable: true,
        ..contract::Class::default()
    };
    let classes = [class("order", 0), class("lookup", 1), class("upload", 2)];
    Coordinator::new(
        Settings::default(),
        Arc::new(service),
        Arc::new(classes),
        Arc::default(),
        &health::View::default(),
        now,
    )
}

/// Source of requests from 48 hosts, 100 customers and 3 classes. Every eighth
/// request excludes an upstream.
struct Load {
    hosts: Vec<Arc<str>>,
    customers: Vec<Arc<str>>,
    zones: Vec<Arc<str>>,
    upstreams: Vec<Arc<str>>,
    next: usize,
}

impl Load {
    fn new() -> Self {
        let names = |name: &str, count: usize| {
            (0..count)
                .map(|number| Arc::from(format!("{name}-{number}")))
                .collect()
        };
        Self {
            hosts: names("entry", 48),
            customers: names("customer", 100),
            zones: names("zone", ZONES),
            upstreams: names("upstream", 30),
            next: 0,
        }
    }

    fn acquire(&mut self) -> Event {
        let n = self.next;
        self.next += 1;
        let excluded = n
            .is_multiple_of(8)
            .then(|| Arc::clone(&self.upstreams[n / 8 % 30]));
        Event::Acquire(Acquire {
            ticket: n as u64,
            class: n % 3,
            customer: Arc::clone(&self.customers[n % 100]),
            host: Arc::clone(&self.hosts[n % 48]),
            availability_zone: Arc::clone(&self.zones[n % ZONES]),
            // Long enough that no request is refused.
            wait: Duration::from_secs(3600 + n as u64 % 60),
            attempt: 1,
            excluded: excluded.into_iter().collect(),
        })
    }
}

/// Measures one acquire and one settle, with `waiting` requests in the queue.
fn bench_acquire_and_settle(criterion: &mut Criterion, name: &str, in_use: usize, waiting: usize) {
    let start = Instant::now();
    let mut coordinator = setup(start);
    let mut load = Load::new();
    let mut grants = VecDeque::new();
    let collect_grants = |grants: &mut VecDeque<_>, actions: Vec<Action>| {
        for action in actions {
            match action {
                Action::Grant { grant, .. } => grants.push_back(grant),
                other => panic!("unexpected {other:?}"),
            }
        }
    };
    for _ in 0..in_use + waiting {
        let actions = coordinator.handle(start, load.acquire());
        collect_grants(&mut grants, actions);
    }
    assert_eq!(coordinator.queued(), waiting);
    criterion.bench_function(name, |bencher| {
        bencher.iter(|| {
            let event = load.acquire();
            let actions = coordinator.handle(black_box(start), event);
            collect_grants(&mut grants, actions);
            if let Some(grant) = grants.pop_front() {
                let event = Event::Settle {
                    grant,
                    outcome: health::Outcome::Good,
                    elapsed: Duration::from_millis(20),
                };
                let actions = coordinator.handle(black_box(start), event);
                collect_grants(&mut grants, actions);
            }
        });
    });
    assert_eq!(coordinator.queued(), waiting);
}

fn acquire_and_settle(criterion: &mut Criterion) {
    bench_acquire_and_settle(criterion, "acquire and settle, half in use", 45, 0);
    bench_acquire_and_settle(criterion, "acquire and settle, 100 waiting", 90, 100);
    bench_acquire_and_settle(criterion, "acquire and settle, 1000 waiting", 90, 1000);
}

criterion_group!(benches, acquire_and_settle);
criterion_main!(benches);
