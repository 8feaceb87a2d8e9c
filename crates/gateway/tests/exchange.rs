//! The exchange of a running daemon with others, which the test stands in for.

use std::{
    net::{Ipv4Addr, SocketAddr, UdpSocket},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use dotterelhinge_gateway::{
    catalog::{Configuration, State, Upstream, Upstreams},
    daemon,
    peer::report::{Hello, MAX_DATAGRAM_BYTES, Report, Scope},
    replica::{Delta, Freshness},
    settings::{self, Settings},
    store::{self, Change, Response, Store},
};
use dotterelhinge_policy::pacing;
use error_stack::Report as ErrorReport;
use futures_util::future::LocalBoxFuture;
use googletest::prelude::*;

/// Capacity of the daemon's link, in bytes a second: 20 Mbit/s.
const LINK_BYTES_PER_SECOND: u64 = 2_500_000;

/// Other daemons of the zone.
const NEIGHBOURS: u8 = 77;

/// Daemons of other zones, each of which sends digests to be forwarded.
const REMOTE: u8 = 5;

/// Digests a second from each of these daemons.
const DIGESTS_PER_SECOND: u32 = 100;

/// Time for which the other daemons report that they are alive, before the load.
const JOIN_TIME: Duration = Duration::from_secs(3);

/// Interval at which the daemon is checked for its end.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which digests are sent.
const LOAD_TIME: Duration = Duration::from_secs(2);

/// What may be sent at once in addition to the capacity of the link: a tenth of a
/// second of it.
const BURST_BYTES: u64 = LINK_BYTES_PER_SECOND / 10;

/// Version of the list of backend servers in the store.
const LIST_VERSION: u64 = 5;

/// The address of a daemon in the network of this process.
fn address(number: u8) -> Ipv4Addr {
    let network = std::process::id();
    Ipv4Addr::new(
        127,
        100 + (network % 100) as u8,
        (network / 100 % 250) as u8,
        number,
    )
}

fn upstream(state: State) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: "server".into(),
        incarnation: 1,
        service: "desk".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        availability_zone: "zone-0".into(),
        slots: 3,
        state,
        cold_left: Duration::ZERO,
    })
}

/// A store with one backend server, the given hosts, and no configuration.
struct Catalog {
    hosts: Vec<store::Host>,
}

fn response<T>(value: T) -> store::Result<Response<T>> {
    Ok(Response {
        version: LIST_VERSION,
        clock: LIST_VERSION,
        value,
    })
}

type Call<'a, T> = LocalBoxFuture<'a, store::Result<T>>;

impl Store for Catalog {
    fn configuration(&self) -> Call<'_, Response<Option<Arc<Configuration>>>> {
        Box::pin(async { response(None) })
    }

    fn configuration_after(
        &self,
        _: u64,
        wait: Duration,
    ) -> Call<'_, Response<Option<Arc<Configuration>>>> {
        Box::pin(async move {
            tokio::time::sleep(wait).await;
            response(None)
        })
    }

    fn upstreams(&self) -> Call<'_, Response<Upstreams>> {
        let server = upstream(State::Ready);
        Box::pin(async { response(Upstreams::from([(Arc::clone(&server.id), server)])) })
    }

    fn upstreams_after(&self, _: u64, wait: Duration) -> Call<'_, Response<Vec<Change>>> {
        Box::pin(async move {
            tokio::time::sleep(wait).await;
            response(Vec::new())
        })
    }

    fn register<'a>(&'a self, _: &'a store::Host) -> Call<'a, ()> {
        Box::pin(async { Ok(()) })
    }

    fn hosts(&self) -> Call<'_, Vec<store::Host>> {
        Box::pin(async { Ok(self.hosts.clone()) })
    }
}

/// Settings that never change.
struct Fixed;

impl settings::Source for Fixed {
    fn load(&self) -> std::result::Result<Settings, ErrorReport<settings::Error>> {
        Err(ErrorReport::new(settings::Error::Read))
    }

    fn fingerprint(&self) -> Option<u64> {
        None
    }
}

/// A daemon that the test stands in for.
struct Peer {
    socket: UdpSocket,
    hello: Hello,
    sequence: u32,
}

impl Peer {
    fn bind(number: u8, port: u16, zone: &str) -> Self {
        let socket = UdpSocket::bind((address(number), port)).unwrap();
        socket
            .set_read_timeout(Some(Duration::from_millis(1)))
            .unwrap();
        Self {
            socket,
            hello: Hello {
                name: format!("host-{number}").into(),
                availability_zone: zone.into(),
                strength: 1,
                leaving: false,
            },
            sequence: 0,
        }
    }

    fn entry(&self) -> store::Host {
        let SocketAddr::V4(address) = self.socket.local_addr().unwrap() else {
            unreachable!()
        };
        store::Host {
            name: Arc::clone(&self.hello.name),
            address: *address.ip(),
            availability_zone: Arc::clone(&self.hello.availability_zone),
            strength: self.hello.strength,
        }
    }

    /// Sends a report with what `change` sets.
    fn send(&mut self, to: SocketAddr, change: impl FnOnce(&mut Report)) {
        self.sequence += 1;
        let mut report = Report {
            origin: self.entry().address.to_bits(),
            incarnation: 1,
            sequence: self.sequence,
            hello: Some(self.hello.clone()),
            ..Report::default()
        };
        change(&mut report);
        let bytes = report.encode().unwrap();
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        self.socket.send_to(&bytes, to).unwrap();
    }

    /// Reads what has arrived. Returns the bytes, and whether the change of the list
    /// of backend servers was among it.
    fn receive(&self) -> (u64, bool) {
        let (mut received, mut has_change) = (0, false);
        let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
        while let Ok(length) = self.socket.recv(&mut buffer) {
            received += length as u64;
            let report = Report::decode(&buffer[..length]).unwrap();
            has_change |= report.delta.is_some();
        }
        (received, has_change)
    }
}

/// Runs a daemon until `is_over`.
fn run_daemon(settings: Settings, hosts: Vec<store::Host>, is_over: &AtomicBool) {
    actix_rt::System::new().block_on(async {
        let running = daemon::run(settings, Rc::new(Fixed), Rc::new(Catalog { hosts }));
        let ended = async {
            while !is_over.load(Ordering::Relaxed) {
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        };
        tokio::select! {
            ended = running => ended.unwrap(),
            () = ended => {}
        }
    });
}

/// What the hosts of a daemon's zone got from it.
struct Received {
    /// Bytes, of all hosts together.
    bytes: u64,
    /// Hosts that got the change of the list.
    changed: usize,
}

/// Lets the daemons of other zones send digests to `daemon`, and after half of the
/// time a change of the list. Returns what the hosts of its zone got.
fn forward(daemon: SocketAddr, neighbours: &mut [Peer], remote: &mut [Peer]) -> Received {
    let began = Instant::now();
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        let received = scope.spawn(|| {
            let mut total = Received {
                bytes: 0,
                changed: 0,
            };
            while !is_over.load(Ordering::Relaxed) {
                for peer in neighbours.iter_mut() {
                    let (bytes, has_change) = peer.receive();
                    total.bytes += bytes;
                    total.changed += usize::from(has_change);
                    peer.send(daemon, |_| {});
                }
            }
            total
        });
        let interval = Duration::from_secs(1) / DIGESTS_PER_SECOND;
        let mut has_changed = false;
        for number in 1.. {
            let at = interval * number;
            if at >= LOAD_TIME {
                break;
            }
            thread::sleep(at.saturating_sub(began.elapsed()));
            for peer in remote.iter_mut() {
                peer.send(daemon, |report| {
                    report.scope = Scope::Relay;
                    report.in_use = Some((0..90).map(|key| (u64::MAX - key, 3)).collect());
                });
            }
            if at >= LOAD_TIME / 2 && !has_changed {
                has_changed = true;
                remote[0].send(daemon, |report| {
                    report.scope = Scope::Relay;
                    report.freshness = Freshness {
                        upstreams: LIST_VERSION + 1,
                        ..Freshness::default()
                    };
                    report.delta = Some(Delta {
                        base: LIST_VERSION,
                        version: LIST_VERSION + 1,
                        changes: vec![Change::Put(upstream(State::Draining))],
                    });
                });
            }
        }
        is_over.store(true, Ordering::Relaxed);
        received.join().unwrap()
    })
}

// Guards against a host that forwards more than its link carries. What it sends then
// waits for many seconds, and the host hears of no change and answers nobody.
#[gtest]
fn a_host_forwards_no_more_than_its_link_carries() {
    let port = UdpSocket::bind((address(1), 0))
        .unwrap()
        .local_addr()
        .unwrap()
        .port();
    let bind = |number: u8, zone: &str| Peer::bind(number, port, zone);
    let mut neighbours: Vec<Peer> = (0..NEIGHBOURS)
        .map(|number| bind(10 + number, "zone-0"))
        .collect();
    let mut remote: Vec<Peer> = (1..=REMOTE)
        .map(|number| bind(200 + number, &format!("zone-{number}")))
        .collect();
    let hosts = neighbours.iter().chain(&remote).map(Peer::entry).collect();
    let own = address(1);
    let settings = Settings {
        host: "forwarder".into(),
        availability_zone: "zone-0".into(),
        address: own,
        strength: 200,
        pacing: pacing::Settings {
            link_bytes_per_second: LINK_BYTES_PER_SECOND,
            ..pacing::Settings::default()
        },
        listen: SocketAddr::from((own, 0)),
        ready: SocketAddr::from((own, 0)),
        peer_port: port,
        ..Settings::default()
    };
    let daemon = SocketAddr::from((own, port));
    let is_over = AtomicBool::new(false);
    let (received, taken) = thread::scope(|scope| {
        scope.spawn(|| run_daemon(settings, hosts, &is_over));
        // It reads the list of hosts and hears all of them.
        let until = Instant::now() + JOIN_TIME;
        while Instant::now() < until {
            for peer in neighbours.iter_mut().chain(&mut remote) {
                peer.send(daemon, |_| {});
                peer.receive();
            }
        }
        let began = Instant::now();
        let received = forward(daemon, &mut neighbours, &mut remote);
        is_over.store(true, Ordering::Relaxed);
        (received, began.elapsed())
    });
    let limit = (LINK_BYTES_PER_SECOND as f64 * taken.as_secs_f64()) as u64 + BURST_BYTES;
    println!(
        "{} bytes in {taken:?}, at most {limit}; {} hosts got the change",
        received.bytes, received.changed
    );
    expect_that!(received.bytes, le(limit));
    // It is of use to its zone all the same.
    expect_that!(received.bytes, ge(limit / 4));
    expect_that!(received.changed, eq(usize::from(NEIGHBOURS)));
}
