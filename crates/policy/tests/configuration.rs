//! Dissemination of configuration versions, start, and readiness after a pause.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::configuration::{
    Action, Configuration, Event, Failure, Peer, Settings, Source, Version,
};
use googletest::prelude::*;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SECOND: Duration = Duration::from_secs(1);

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 10_000 + u16::try_from(n).unwrap()))
}

fn peers(count: usize) -> Vec<Peer> {
    let peer = |n| Peer {
        host: Arc::from(format!("entry-{n}")),
        address: address(n),
        region: Arc::from(format!("region-{}", n % 5)),
    };
    (0..count).map(peer).collect()
}

fn version(number: u64) -> Version {
    Version {
        number,
        hash: Arc::from(format!("hash-{number}")),
    }
}

fn daemon(now: Instant, n: usize, count: usize) -> Configuration {
    let rng = StdRng::seed_from_u64(n as u64);
    let host = Arc::from(format!("entry-{n}"));
    let mut daemon = Configuration::new(now, host, Settings::default(), rng);
    daemon.handle(now, Event::Members(peers(count)));
    daemon
}

fn query_ids(actions: &[Action]) -> Vec<u64> {
    let query_id = |action: &Action| match action {
        Action::Query { id, .. } => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(query_id).collect()
}

fn first_load(actions: &[Action]) -> Option<(u64, Source, u64)> {
    actions.iter().find_map(|action| match action {
        Action::Load {
            id, source, number, ..
        } => Some((*id, *source, *number)),
        _ => None,
    })
}

/// Returns a daemon with version `number` in force.
fn running(now: Instant, number: u64) -> Configuration {
    let mut daemon = daemon(now, 0, 10);
    let (id, ..) = first_load(&daemon.handle(now, Event::Head(Some(version(number))))).unwrap();
    let version = version(number);
    daemon.handle(now, Event::Loaded { id, version });
    daemon
}

/// Guards against a daemon that starts with an old configuration because the
/// peer that answered first had an old version.
#[googletest::test]
fn a_start_loads_the_highest_answered_version() {
    let now = Instant::now();
    let mut daemon = daemon(now, 0, 10);
    let queries = query_ids(&daemon.handle(now, Event::Tick));
    expect_that!(queries.len(), eq(5));
    let answers = [Some(3), Some(9), None, Some(4)];
    for (id, answer) in queries.iter().zip(answers) {
        let version = answer.map(version);
        let actions = daemon.handle(now, Event::QueryAnswered { id: *id, version });
        expect_that!(actions, is_empty());
    }
    let actions = daemon.handle(now, Event::QueryFailed(queries[4]));
    let (id, _, number) = first_load(&actions).unwrap();
    expect_that!(number, eq(9));
    expect_that!(daemon.is_ready(), eq(false));
    let actions = daemon.handle(
        now,
        Event::Loaded {
            id,
            version: version(9),
        },
    );
    expect_that!(actions, contains(eq(&Action::Ready(true))));
}

/// Guards against a daemon that never starts without peers, and against load on
/// the store from starting daemons whose peers can supply the configuration.
#[googletest::test]
fn a_start_reads_the_store_only_without_peers() {
    let now = Instant::now();
    let n = (0..40).find(|n| !daemon(now, *n, 40).is_reader()).unwrap();
    let mut daemon = daemon(now, n, 40);
    let queries = query_ids(&daemon.handle(now, Event::Tick));
    expect_that!(daemon.handle(now + SECOND / 2, Event::Tick), is_empty());
    let mut has_polled = false;
    for id in queries {
        daemon.handle(now + SECOND / 2, Event::QueryAnswered { id, version: None });
    }
    for action in daemon.handle(now + SECOND / 2, Event::Tick) {
        has_polled |= action == Action::Poll;
    }
    expect_that!(has_polled, eq(true));
}

/// Guards against a resumed daemon that admits requests under an old
/// configuration, and against one that never becomes ready again.
#[googletest::test]
fn a_pause_is_followed_by_a_check() {
    let now = Instant::now();
    let mut daemon = running(now, 5);
    let actions = daemon.handle(now, Event::Paused);
    expect_that!(actions, contains(eq(&Action::Ready(false))));
    let queries = query_ids(&actions);
    let (id, newer) = (queries[0], Some(version(6)));
    let (load, ..) =
        first_load(&daemon.handle(now, Event::QueryAnswered { id, version: newer })).unwrap();
    expect_that!(daemon.is_ready(), eq(false));
    daemon.handle(
        now,
        Event::Loaded {
            id: load,
            version: version(6),
        },
    );
    expect_that!(daemon.is_ready(), eq(true));

    let id = query_ids(&daemon.handle(now, Event::Paused))[0];
    daemon.handle(
        now,
        Event::QueryAnswered {
            id,
            version: Some(version(6)),
        },
    );
    expect_that!(daemon.is_ready(), eq(true));

    daemon.handle(now, Event::Paused);
    daemon.handle(now + SECOND - Duration::from_millis(1), Event::Tick);
    expect_that!(daemon.is_ready(), eq(false));
    daemon.handle(now + SECOND, Event::Tick);
    expect_that!(daemon.is_ready(), eq(true));
}

/// Guards against a corrupt difference that leaves the daemon at an old version,
/// and against an invalid configuration that is loaded again and again.
#[googletest::test]
fn failed_loads_try_the_next_source() {
    let now = Instant::now();
    let mut daemon = running(now, 5);
    let offer = || Event::Offered {
        peer: address(3),
        version: version(6),
        base: 5,
    };
    let (id, source, _) = first_load(&daemon.handle(now, offer())).unwrap();
    expect_that!(source, eq(Source::Delta(address(3))));
    let failure = Failure::HashMismatch;
    let (id, source, _) =
        first_load(&daemon.handle(now, Event::NotLoaded { id, failure })).unwrap();
    expect_that!(source, eq(Source::Peer(address(3))));
    let failure = Failure::Invalid;
    daemon.handle(now, Event::NotLoaded { id, failure });
    expect_that!(daemon.handle(now, offer()), is_empty());
    expect_that!(daemon.current().unwrap().number, eq(5));
}

/// Guards against readers that overload a failing store, or that detect its
/// recovery late.
#[googletest::test]
fn a_reader_backs_off_while_the_store_fails() {
    let start = Instant::now();
    let all = (0..40).filter(|n| daemon(start, *n, 40).is_reader());
    let readers: Vec<_> = all.collect();
    expect_that!(readers.len(), eq(15));
    let mut reader = daemon(start, readers[0], 40);
    let mut polls = Vec::new();
    for step in 0..1_200 {
        let now = start + step * SECOND / 20;
        if reader.handle(now, Event::Tick).contains(&Action::Poll) {
            polls.push(now);
            // The store fails for 40 s.
            let is_failing = step < 800;
            reader.handle(
                now,
                if is_failing {
                    Event::StoreFailed
                } else {
                    Event::Head(None)
                },
            );
        }
    }
    let gaps: Vec<_> = polls.windows(2).map(|pair| pair[1] - pair[0]).collect();
    expect_that!(polls.len(), all![gt(25), lt(50)]);
    expect_that!(*gaps.iter().max().unwrap(), le(4 * SECOND + SECOND / 20));
    expect_that!(*gaps.last().unwrap(), eq(SECOND));
}

/// Guards against a version that does not reach every daemon by offers and
/// gossip when offers are lost.
#[googletest::test]
fn a_version_reaches_all_daemons() {
    let (now, count) = (Instant::now(), 480);
    let mut daemons: Vec<_> = (0..count).map(|n| daemon(now, n, count)).collect();
    let mut rng = StdRng::seed_from_u64(1);
    let mut queue = VecDeque::from([(0, Event::Head(Some(version(1))))]);
    let (mut offers, mut rounds) = (0, 0);
    loop {
        while let Some((n, event)) = queue.pop_front() {
            for action in daemons[n].handle(now, event) {
                match action {
                    Action::Load { id, number, .. } => {
                        let version = version(number);
                        queue.push_back((n, Event::Loaded { id, version }));
                    }
                    Action::Offer {
                        peer,
                        version,
                        base,
                    } => {
                        offers += 1;
                        if !rng.random_bool(0.2) {
                            let to = usize::from(peer.port()) - 10_000;
                            let peer = address(n);
                            queue.push_back((
                                to,
                                Event::Offered {
                                    peer,
                                    version,
                                    base,
                                },
                            ));
                        }
                    }
                    _ => {}
                }
            }
        }
        if daemons.iter().all(|daemon| daemon.current().is_some()) {
            break;
        }
        rounds += 1;
        // One gossip round: every daemon receives the version number of a
        // random daemon.
        for n in 0..count {
            let other = rng.random_range(0..count);
            if let Some(version) = daemons[other].current() {
                let number = version.number;
                queue.push_back((
                    n,
                    Event::Announced {
                        peer: address(other),
                        number,
                    },
                ));
            }
        }
    }
    println!("{offers} offers, {rounds} rounds of gossip");
    expect_that!(offers, le(4 * count));
    expect_that!(rounds, le(3));
}

fn event() -> impl Strategy<Value = Event> {
    let number = 1_u64..8;
    prop_oneof![
        Just(Event::Tick),
        Just(Event::Paused),
        Just(Event::StoreFailed),
        (number.clone(), 0_u64..8).prop_map(|(number, base)| Event::Offered {
            peer: address(1),
            version: version(number),
            base,
        }),
        number.clone().prop_map(|number| Event::Announced {
            peer: address(2),
            number
        }),
        number
            .clone()
            .prop_map(|number| Event::Head(Some(version(number)))),
        (0_u64..30, proptest::option::of(number.clone())).prop_map(|(id, n)| {
            Event::QueryAnswered {
                id,
                version: n.map(version),
            }
        }),
        (0_u64..30).prop_map(Event::QueryFailed),
        (0_u64..30, number).prop_map(|(id, n)| Event::Loaded {
            id,
            version: version(n)
        }),
        (0_u64..30, 0..3).prop_map(|(id, failure)| Event::NotLoaded {
            id,
            failure: [
                Failure::Unavailable,
                Failure::HashMismatch,
                Failure::Invalid
            ][failure as usize],
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a change to a lower version, and against a version in
    /// force that was not loaded, under any order of events.
    #[test]
    fn version_numbers_only_increase(events in proptest::collection::vec((event(), 0_u32..400), 1..80)) {
        let mut now = Instant::now();
        let mut daemon = daemon(now, 0, 10);
        let mut number = 0;
        let mut pending = std::collections::BTreeSet::new();
        for (event, wait) in events {
            now += wait * Duration::from_millis(1);
            let loaded = match &event {
                Event::Loaded { id, version } => Some((*id, version.clone())),
                _ => None,
            };
            for action in daemon.handle(now, event) {
                match action {
                    Action::Load { id, number: requested, .. } => {
                        prop_assert!(requested > number);
                        pending.insert(id);
                    }
                    Action::Adopt { id, version } => {
                        prop_assert!(version.number > number);
                        prop_assert!(pending.remove(&id));
                        prop_assert_eq!(Some((id, version.clone())), loaded.clone());
                        number = version.number;
                    }
                    _ => {}
                }
            }
            prop_assert_eq!(daemon.current().map_or(0, |version| version.number), number);
            prop_assert!(!daemon.is_ready() || number > 0);
        }
    }
}
