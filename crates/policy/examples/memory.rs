//! Measures the heap size of the coordinator, the key records and the member
//! list, as requested from the allocator, and the time of the calls on key
//! records.
//!
//! Prints one line per figure: label, count, bytes.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::{Duration, Instant, SystemTime},
};

use dotterelhinge_policy::{
    contract, health, idempotency, membership,
    placement::{Acquire, Coordinator, Event, Settings},
};
use rand::{SeedableRng, rngs::StdRng};

/// Allocator that counts the requested bytes that are allocated.
struct CountingAllocator;

/// Bytes currently allocated.
static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

// SAFETY: all calls are forwarded to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Prints by how many bytes the heap grows while `make` runs, and returns its
/// result.
fn measure<T>(label: &str, count: usize, make: impl FnOnce() -> T) -> T {
    let before = ALLOCATED.load(Relaxed);
    let result = make();
    println!("{label}\t{count}\t{}", ALLOCATED.load(Relaxed) - before);
    result
}

/// Creates a coordinator of a new service. No name is shared with another
/// coordinator.
fn coordinator(now: Instant, upstreams: usize, classes: usize) -> Coordinator {
    let upstreams = (0..upstreams).map(|n| contract::Upstream {
        name: format!("upstream-{n}").into(),
        address: SocketAddr::from((Ipv4Addr::from_bits(0x0a00_0000 + n as u32), 8080)),
        availability_zone: format!("zone-{}", n % 4).into(),
        slots: 3,
        connections: 400,
        leaving: false,
    });
    let service = contract::Service {
        upstreams: upstreams.collect(),
        ..contract::Service::default()
    };
    let classes: Vec<_> = (0..classes)
        .map(|n| contract::Class {
            name: format!("class-{n}").into(),
            repeatable: true,
            ..contract::Class::default()
        })
        .collect();
    Coordinator::new(
        Settings::default(),
        Arc::new(service),
        classes.into(),
        Arc::default(),
        &health::View::default(),
        now,
    )
}

/// Requests `count` slots with the tickets from `first` on.
fn acquire(now: Instant, coordinator: &mut Coordinator, first: usize, count: usize) {
    for n in first..first + count {
        // Each message is decoded with its own names, so none is shared.
        coordinator.handle(
            now,
            Event::Acquire(Acquire {
                ticket: n as u64,
                class: 0,
                customer: Arc::from(format!("customer-{}", n % 100)),
                host: Arc::from(format!("entry-{}", n % 48)),
                availability_zone: Arc::from(format!("zone-{}", n % 4)),
                wait: Duration::from_secs(3_600),
                attempt: 1,
                excluded: Default::default(),
            }),
        );
    }
}

fn placement() {
    let now = Instant::now();
    for upstreams in [8, 30, 120, 480] {
        measure("coordinator, 3 classes, upstreams", upstreams, || {
            coordinator(now, upstreams, 3)
        });
    }
    for classes in [1, 2, 4, 8] {
        measure("coordinator, 30 upstreams, classes", classes, || {
            coordinator(now, 30, classes)
        });
    }
    for grants in [100, 400, 1_600] {
        let mut coordinator = coordinator(now, 1_000, 3);
        acquire(now, &mut coordinator, 0, 10);
        measure("grants", grants, || {
            acquire(now, &mut coordinator, 10, grants);
        });
    }
    for waiting in [100, 1_000, 10_000] {
        let mut coordinator = coordinator(now, 30, 3);
        acquire(now, &mut coordinator, 0, 90);
        measure("waiting requests", waiting, || {
            acquire(now, &mut coordinator, 90, waiting);
        });
    }
}

/// Creates an owner of all key ranges with valid leases, which stores at most
/// `records` records.
fn owner(now: Instant, wall: SystemTime, records: usize) -> idempotency::Idempotency {
    use idempotency::{Action, Event, Idempotency, Settings, Written};

    let host: Arc<str> = Arc::from("entry-0");
    let settings = Settings {
        max_records: records,
        ..Settings::default()
    };
    let mut owner = Idempotency::new(Arc::clone(&host), 1, settings);
    let mut events = vec![Event::Members(vec![host]), Event::Tick];
    while let Some(event) = events.pop() {
        for action in owner.handle(now, wall, event) {
            match action {
                Action::Read { range } => events.push(Event::Read { range, row: None }),
                Action::Write { range, row, .. } => events.push(Event::Written {
                    range,
                    row,
                    result: Written::Applied,
                }),
                Action::Handover { .. } => {}
            }
        }
        if events.is_empty() && owner.held_ranges() == 0 {
            events.push(Event::Tick);
        }
    }
    owner
}

fn keys() {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let made = wall
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    // A new owner can't prove that keys from before or shortly after its claim
    // were not begun, so the keys are made 10 s later.
    let made = made + 10_000;
    let (wall, now) = (
        wall + Duration::from_secs(10),
        now + Duration::from_secs(10),
    );
    for records in [1_000, 15_000, 60_000, 200_000] {
        let mut owner = owner(
            now - Duration::from_secs(10),
            wall - Duration::from_secs(10),
            records,
        );
        let start = Instant::now();
        let begun = measure("key records", records, || {
            let mut begun = 0;
            for n in 0..records as u128 {
                let (high, low) = (made >> 16, made & 0xffff);
                let begin = idempotency::Begin {
                    key: Arc::from(format!("{high:08x}-{low:04x}-7000-8000-{n:012x}")),
                    fingerprint: n as u64,
                    attempt: n as u64,
                };
                if owner.begin(now, wall, &begin) == idempotency::Verdict::Begin {
                    begun += 1;
                }
                owner.end(
                    &begin.key,
                    begin.attempt,
                    idempotency::Outcome::Done { status: 200 },
                );
            }
            begun
        });
        let time = start.elapsed() / records as u32;
        println!(
            "key records begun\t{begun}\tof {records}, {} held, {time:?} for a begin and an end",
            owner.record_count()
        );
    }
}

fn member(n: u32) -> membership::Member {
    membership::Member {
        host: Arc::from(format!("entry-{n}")),
        address: SocketAddr::from((Ipv4Addr::from_bits(0x0a00_0000 + n), 8101)),
        availability_zone: Arc::from(format!("zone-{}", n % 16)),
        region: Arc::from(format!("region-{}", n % 5)),
        incarnation: 1_700_000_000_000,
        state: membership::State::Alive,
    }
}

fn members() {
    let now = Instant::now();
    for count in [48, 480, 3_800] {
        measure("members", count, || {
            let updates: Vec<_> = (0..count as u32).map(member).collect();
            let rng = StdRng::seed_from_u64(1);
            let settings = membership::Settings::default();
            let mut machine = membership::Membership::new(now, member(0), settings, rng);
            let message = membership::Message {
                from: member(1),
                configuration: 1,
                updates,
                body: membership::Body::Ack,
            };
            machine.handle(now, membership::Event::Response { id: 0, message });
            machine
        });
    }
}

fn main() {
    placement();
    keys();
    members();
}
