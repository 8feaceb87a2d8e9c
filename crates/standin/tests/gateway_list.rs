//! Changes of the list of backend servers in a large fleet whose hosts have
//! little processor time.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use dotterelhinge_standin::{
    gateway::{APPLY_TIME, Fleet, Settings, call},
    process::Process,
};
use googletest::prelude::*;

/// Number of daemons, half of them in each availability zone.
const HOSTS: usize = 144;

/// Number of backend servers.
const UPSTREAMS: usize = 1000;

/// Number of backend servers that begin to drain at the same time.
const GROUP: usize = 50;

/// Number of such groups.
const GROUPS: usize = 10;

/// Time between two groups.
const GROUP_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the store has acknowledged that a server drains within which all
/// daemons stop sending requests to it.
const DRAIN: Duration = Duration::from_secs(3);

/// Time in which each daemon may run once.
const PERIOD: Duration = Duration::from_millis(100);

/// Number of parts of a period. A daemon runs in one of them, so it has a fiftieth
/// of a processor core.
const TURNS: usize = 50;

/// Number of callers. Each sends one request after the other.
const CALLERS: usize = 144;

/// Lets each daemon run in one part of each period only, until `is_over`.
fn take_turns(hosts: &[&Process], is_over: &AtomicBool) {
    let turn = PERIOD / TURNS as u32;
    for host in hosts {
        host.suspend().unwrap();
    }
    let began = Instant::now();
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let running = || hosts.iter().skip(number % TURNS).step_by(TURNS);
        running().for_each(|host| host.resume().unwrap());
        let end = turn * (number as u32 + 1);
        thread::sleep(end.saturating_sub(began.elapsed()));
        running().for_each(|host| host.suspend().unwrap());
    }
    for host in hosts {
        host.resume().unwrap();
    }
}

/// Returns the sum of a metric over all daemons.
fn sum(fleet: &Fleet, name: &str) -> f64 {
    let value = |host: usize| {
        let metrics = fleet.metrics(host).unwrap();
        let line = metrics
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line.unwrap().parse::<f64>().unwrap()
    };
    (0..HOSTS).map(value).sum()
}

// Guards against changes of many servers at once that a large fleet learns only
// by fetching whole lists, which takes so long that servers which have been
// draining for seconds still get requests.
#[gtest]
fn servers_that_drain_in_large_groups_get_no_requests() {
    let fleet = Fleet::start(Settings {
        hosts: HOSTS,
        upstreams: UPSTREAMS,
        drain: DRAIN,
        ..Settings::default()
    })
    .unwrap_or_else(|error| panic!("{error:?}"));
    thread::sleep(APPLY_TIME);
    let fetched_before = sum(&fleet, "dotterelhinge_copies_fetched_total");

    let hosts: Vec<&Process> = (0..HOSTS).map(|host| fleet.host(host).unwrap()).collect();
    let is_over = AtomicBool::new(false);
    let mut acknowledged = Vec::new();
    thread::scope(|scope| {
        scope.spawn(|| take_turns(&hosts, &is_over));
        for caller in 0..CALLERS {
            let (fleet, is_over) = (&fleet, &is_over);
            scope.spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let host = (caller + number * CALLERS) % HOSTS;
                    let id = format!("{caller}-{number}");
                    call(
                        &fleet.caller_address(host),
                        "POST",
                        "/order/1",
                        &id,
                        b"order",
                    );
                }
            });
        }
        for group in 0..GROUPS {
            thread::sleep(GROUP_INTERVAL);
            let servers = group * GROUP..(group + 1) * GROUP;
            fleet.register_all(servers, "draining").unwrap();
            acknowledged.push(Instant::now());
        }
        thread::sleep(DRAIN + GROUP_INTERVAL);
        is_over.store(true, Ordering::Relaxed);
    });

    let (arrivals, start) = fleet.arrivals().unwrap();
    let (mut late, mut worst) = (Vec::new(), Duration::ZERO);
    for arrival in &arrivals {
        let at = start + Duration::from_secs_f64(arrival.at_ms / 1e3);
        if let Some(acknowledged) = acknowledged.get(arrival.server / GROUP) {
            let since = at.saturating_duration_since(*acknowledged);
            worst = worst.max(since);
            if since > DRAIN {
                late.push(since);
            }
        }
    }
    let fetched = sum(&fleet, "dotterelhinge_copies_fetched_total") - fetched_before;
    println!(
        "{} requests, {fetched} copies fetched, last {worst:?} after, late: {late:?}",
        arrivals.len()
    );
    expect_that!(late, is_empty());
}
