//! Cost of the failure detector by fleet size: the time of one tick whose ping
//! is answered, and the encoded size of the whole member list.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dotterelhinge_policy::membership::{
    Action, Body, Event, Member, Membership, Message, Settings, State,
};
use rand::{SeedableRng, rngs::StdRng};

fn member(n: u32) -> Member {
    Member {
        host: Arc::from(format!("entry-{n}")),
        address: SocketAddr::from((Ipv4Addr::from_bits(0x0a00_0000 + n), 8101)),
        availability_zone: Arc::from(format!("zone-{}", n % 16)),
        region: Arc::from(format!("region-{}", n % 5)),
        incarnation: 1_700_000_000_000,
        state: State::Alive,
    }
}

fn fleet(now: Instant, count: u32) -> (Membership, Vec<Member>) {
    let members: Vec<Member> = (0..count).map(member).collect();
    let rng = StdRng::seed_from_u64(1);
    let mut detector = Membership::new(now, members[0].clone(), Settings::default(), rng);
    let message = Message {
        from: members[1].clone(),
        configuration: 1,
        updates: members.clone(),
        body: Body::Ack,
    };
    detector.handle(now, Event::Response { id: 0, message });
    (detector, members)
}

fn tick_and_ping(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tick_and_ping");
    for count in [48, 480, 3_800] {
        let mut now = Instant::now();
        let (mut detector, members) = fleet(now, count);
        let bytes = rmp_serde::to_vec(&members).map_or(0, |bytes| bytes.len());
        println!("{count} members: the whole list encodes to {bytes} bytes");
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                now += Duration::from_secs(1);
                for action in detector.handle(now, Event::Tick) {
                    if let Action::Send { id, to, .. } = action {
                        let SocketAddr::V4(to) = to else { continue };
                        let from = &members[(to.ip().to_bits() & 0xff_ffff) as usize];
                        let message = Message {
                            from: from.clone(),
                            configuration: 1,
                            updates: Vec::new(),
                            body: Body::Ack,
                        };
                        detector.handle(now, Event::Response { id, message });
                    }
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, tick_and_ping);
criterion_main!(benches);
