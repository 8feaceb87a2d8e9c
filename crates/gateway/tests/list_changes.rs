//! Changes of the list of backend servers on their way between daemons.

use std::{net::Ipv4Addr, sync::Arc, time::Duration};

use dotterelhinge_gateway::{
    catalog::{State, Upstream, Upstreams},
    history::{self, History},
    peer::{
        fragment::{self, Assembly, Part, Position},
        report::{Hello, MAX_DATAGRAM_BYTES, Report, Scope},
    },
    replica::{Delta, Freshness, Proof},
    store::Change,
};
use googletest::prelude::*;
use proptest::{prelude::Strategy, sample::Index};
use serde::Serialize;

const ORIGIN: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

fn upstream(number: u32, state: State) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: format!("i-{number:010x}").into(),
        incarnation: u64::MAX,
        service: "order-service".into(),
        address: "10.200.200.200:65535".parse().unwrap(),
        availability_zone: "availability-zone".into(),
        slots: 300,
        state,
        cold_left: Duration::from_millis(2_999),
    })
}

fn delta(changes: u32) -> Delta {
    let change = |number| Change::Put(upstream(number, State::Draining));
    Delta {
        base: u64::MAX - 1,
        version: u64::MAX,
        changes: (0..changes).map(change).collect(),
    }
}

/// Returns the largest report with `part`.
fn report(part: Part) -> Report {
    let proof = Some(Proof {
        clock: u64::MAX,
        age_ms: u32::MAX,
    });
    Report {
        origin: u32::MAX,
        incarnation: u64::MAX,
        sequence: u32::MAX,
        scope: Scope::Digest,
        freshness: Freshness {
            configuration: u64::MAX,
            upstreams: u64::MAX,
            digest: u64::MAX,
            cursor: u64::MAX,
            configuration_cursor: u64::MAX,
            configuration_proof: proof,
            upstreams_proof: proof,
        },
        delta: Some(part.delta),
        part: part.position,
        ..Report::default()
    }
}

// Guards against a change of many servers that is left out of the reports, so that
// each host has to fetch the whole list.
#[gtest]
fn a_change_of_many_servers_is_sent_in_parts_that_fit_into_a_datagram() {
    let whole = delta(200);
    let mut assembly = Assembly::default();
    let parts = fragment::split(&whole);
    let count = parts.len();
    for (number, part) in parts.into_iter().enumerate() {
        let bytes = report(part).encode().unwrap();
        expect_that!(bytes.len(), le(MAX_DATAGRAM_BYTES));
        let received = Report::decode(&bytes).unwrap();
        let part = Part {
            delta: received.delta.unwrap(),
            position: received.part,
        };
        let assembled = assembly.add(ORIGIN, part);
        if number + 1 < count {
            expect_that!(assembled, none());
        } else {
            expect_that!(assembled, some(eq(&whole)));
        }
    }
}

/// The fields of a report of the build before large changes were split.
#[derive(Serialize)]
struct EarlierReport {
    origin: u32,
    incarnation: u64,
    sequence: u32,
    scope: Scope,
    hello: Option<Hello>,
    introduced: Vec<()>,
    listed: Option<Vec<u32>>,
    outcomes: Vec<()>,
    in_use: Option<Vec<()>>,
    freshness: Freshness,
    delta: Option<Delta>,
}

// Guards against daemons of two builds that can't read each other's reports while
// the one is replaced by the other.
#[gtest]
fn a_small_change_is_read_by_and_from_earlier_builds() {
    let [part] = <[Part; 1]>::try_from(fragment::split(&delta(3))).unwrap();
    let report = report(part);
    let earlier = EarlierReport {
        origin: report.origin,
        incarnation: report.incarnation,
        sequence: report.sequence,
        scope: report.scope,
        hello: None,
        introduced: Vec::new(),
        listed: None,
        outcomes: Vec::new(),
        in_use: None,
        freshness: report.freshness,
        delta: report.delta.clone(),
    };
    let bytes = rmp_serde::to_vec(&earlier).unwrap();
    expect_that!(report.encode().unwrap(), eq(&bytes));
    expect_that!(Report::decode(&bytes).unwrap(), eq(&report));
}

// Guards against a faulty sender whose positions end the daemon or count as whole.
#[gtest]
fn positions_beyond_the_number_of_parts_are_ignored() {
    let mut assembly = Assembly::default();
    for (index, count) in [(3, 3), (0, 0), (u16::MAX, 2)] {
        let part = Part {
            delta: delta(1),
            position: Some(Position { index, count }),
        };
        expect_that!(assembly.add(ORIGIN, part), none());
    }
}

// Guards against a host that is told more than the newest state of a server, and
// against a gap where changes were dropped.
#[gtest]
fn a_history_has_the_last_change_of_each_server() {
    let mut history = History::default();
    history.reset(5);
    history.extend(7, [Change::Put(upstream(1, State::Ready))]);
    history.extend(9, [Change::Put(upstream(2, State::Ready))]);
    history.extend(12, [Change::Put(upstream(1, State::Draining))]);
    let since = |version| history.since(version).map(|delta| delta.changes);
    let last = Change::Put(upstream(1, State::Draining));
    let second = Change::Put(upstream(2, State::Ready));
    expect_that!(since(4), none());
    expect_that!(since(5), some(eq(&vec![second, last.clone()])));
    expect_that!(since(9), some(eq(&vec![last])));
    expect_that!(since(12), some(is_empty()));
    expect_that!(since(13), none());
}

// Guards against a history that grows without bound, and against one that claims
// to be complete after it dropped changes.
#[gtest]
fn a_long_history_forgets_whole_versions() {
    let mut history = History::default();
    history.reset(1);
    for version in 2..=100 {
        let changes = (0..50).map(|number| Change::Put(upstream(number, State::Ready)));
        history.extend(version, changes);
    }
    expect_that!(history.since(50), none());
    let delta = history.since(90).unwrap();
    expect_that!((delta.base, delta.version), eq((90, 100)));
    expect_that!(delta.changes.len(), eq(50));
}

fn apply(list: &Upstreams, changes: &[Change]) -> Upstreams {
    let mut list = list.clone();
    for change in changes {
        match change {
            Change::Put(upstream) => {
                list.insert(Arc::clone(&upstream.id), Arc::clone(upstream));
            }
            Change::Remove(id) => {
                list.remove(id);
            }
        }
    }
    list
}

fn list() -> impl Strategy<Value = Upstreams> {
    proptest::collection::btree_map(0..12u32, 0..3u8, 0..12).prop_map(|servers| {
        let listed = servers.into_iter().filter(|(_, kind)| *kind > 0);
        listed
            .map(|(number, kind)| {
                let state = match kind {
                    1 => State::Ready,
                    _ => State::Draining,
                };
                let upstream = upstream(number, state);
                (Arc::clone(&upstream.id), upstream)
            })
            .collect()
    })
}

proptest::proptest! {
    // Guards against a host that passes on less than what a whole list changed.
    #[test]
    fn the_difference_turns_one_list_into_the_other(before in list(), after in list()) {
        let changes = history::difference(&before, &after);
        proptest::prop_assert_eq!(apply(&before, &changes), after);
    }

    // Guards against parts that arrive in another order, twice, or mixed with those
    // of another host's report, and are put together wrongly.
    #[test]
    fn parts_in_any_order_make_the_whole_once(
        count in 1..120u32,
        order in proptest::collection::vec(proptest::prelude::any::<Index>(), 0..60),
    ) {
        let whole = delta(count);
        let parts = fragment::split(&whole);
        let other = Ipv4Addr::new(10, 0, 0, 3);
        let mut assembly = Assembly::default();
        let mut missing: Vec<usize> = (0..parts.len()).collect();
        for index in order {
            let number = index.index(parts.len());
            assembly.add(other, parts[0].clone());
            let assembled = assembly.add(ORIGIN, parts[number].clone());
            missing.retain(|missing| *missing != number);
            proptest::prop_assert_eq!(assembled.is_some(), missing.is_empty());
            if let Some(assembled) = assembled {
                proptest::prop_assert_eq!(assembled, whole.clone());
                missing = (0..parts.len()).collect();
            }
        }
    }
}
