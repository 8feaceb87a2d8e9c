//! The choice of the hosts that read the store.

use std::time::Duration;

use dotterelhinge_policy::reader::{Host, Settings, is_reader, rank, retry_interval};
use googletest::prelude::*;

const STRENGTH: u32 = 200;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|host| format!("host-{host}")).collect()
}

fn hosts(names: &[String]) -> impl Iterator<Item = Host<'_>> {
    names.iter().map(|name| (&**name, STRENGTH))
}

// Guards against all hosts calling the store while two readers suffice.
#[gtest]
fn two_of_many_hosts_read_while_updates_arrive() {
    let (settings, names) = (Settings::default(), names(134));
    let fresh = Duration::from_millis(300);
    let readers = hosts(&names)
        .filter(|host| is_reader(&settings, Some(rank(*host, hosts(&names))), fresh))
        .count();
    expect_that!(readers, eq(settings.readers));
}

// Guards against hosts that wait forever for readers that can't reach the
// store.
#[gtest]
fn every_host_reads_when_updates_stop() {
    let (settings, names) = (Settings::default(), names(3800));
    for host in hosts(&names).take(50) {
        let rank = rank(host, hosts(&names));
        expect_true!(is_reader(&settings, Some(rank), settings.max_age));
    }
}

// Guards against all hosts starting to read at the same moment, including when
// a whole fleet starts without a copy.
#[gtest]
fn hosts_take_over_one_after_the_other() {
    let settings = Settings::default();
    expect_true!(is_reader(
        &settings,
        Some(settings.readers),
        settings.stale_threshold
    ));
    expect_false!(is_reader(
        &settings,
        Some(settings.readers + 1),
        settings.stale_threshold
    ));
    expect_false!(is_reader(&settings, Some(settings.readers), Duration::ZERO));
    expect_true!(is_reader(
        &settings,
        Some(settings.readers - 1),
        Duration::ZERO
    ));
}

// Guards against a reader on one of the weakest hosts.
#[gtest]
fn strong_hosts_read_for_weak_ones() {
    let names = names(40);
    let strength = |index: usize| if index < 2 { 500 } else { 100 };
    let all = || {
        let hosts = names.iter().enumerate();
        hosts.map(|(index, name)| (&**name, strength(index)))
    };
    for (index, host) in all().enumerate() {
        expect_that!(rank(host, all()) < 2, eq(index < 2), "{index}");
    }
}

// Guards against a load on an unavailable store that grows with the fleet: 134
// hosts made 260 calls a second while the store refused them.
#[gtest]
fn the_call_rate_is_bounded_while_the_store_is_unavailable() {
    let settings = Settings::default();
    for hosts in [40, 134, 3800] {
        let pause = retry_interval(&settings, settings.readers, hosts);
        let rate = hosts as f64 / pause.as_secs_f64();
        expect_that!(rate, le(25.1), "{hosts} hosts");
    }
    expect_that!(retry_interval(&settings, 0, 3800), eq(Duration::ZERO));
}

// Guards against a fleet that starts at once and of which every host reads the
// whole store, because it knows no other host yet. With 443 hosts that was
// more than half of 6,000 calls.
#[gtest]
fn a_host_without_the_list_of_hosts_reads_only_in_the_end() {
    let settings = Settings::default();
    expect_false!(is_reader(&settings, None, Duration::ZERO));
    expect_false!(is_reader(&settings, None, settings.stale_threshold));
    expect_true!(is_reader(&settings, None, settings.unranked_delay));
}

// Guards against a host that reads the store only when the time within which it has
// to know of a change is over, because it ranks last of a large fleet.
#[gtest]
fn every_host_reads_well_within_the_time_for_a_change() {
    for bound in [Duration::from_secs(2), Duration::from_secs(3)] {
        let settings = Settings::within(bound);
        // A quarter of the time is left to read and to apply the change.
        let age = bound * 3 / 4;
        for rank in [0, 42, 442, 3799] {
            expect_true!(is_reader(&settings, Some(rank), age));
        }
        expect_false!(is_reader(&settings, None, age));
    }
    let never = Settings::within(Duration::MAX);
    expect_that!(never.max_age, eq(Settings::default().max_age));
}
