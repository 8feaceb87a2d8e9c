//! Tests of the bound on what a host sends to other hosts.

use std::time::{Duration, Instant};

use dotterelhinge_policy::pacing::{Pacer, Priority, Settings};
use googletest::prelude::*;
use proptest::prelude::*;

/// A weak host: 20 Mbit/s.
const LINK: Settings = Settings {
    link_bytes_per_second: 2_500_000,
    share: 0.7,
    burst: Duration::from_millis(100),
};

/// Size of a datagram for 77 hosts.
const MESSAGE: usize = 77 * 1400;

/// Replays the start of a fleet on `link`: 700 messages a second for 1.5 s, of which one
/// in ten is a change. Returns the bytes and the changes that are sent.
fn replay_start(link: &Settings) -> (usize, usize) {
    let mut pacer = Pacer::new(link);
    let start = Instant::now();
    let (mut sent, mut changes) = (0, 0);
    for number in 0..1050 {
        let now = start + Duration::from_secs(1) * number / 700;
        let is_change = number % 10 == 0;
        let priority = if is_change {
            Priority::Change
        } else {
            Priority::Forwarded
        };
        if pacer.admit(now, priority, MESSAGE) {
            sent += MESSAGE;
            changes += usize::from(is_change);
        }
    }
    (sent, changes)
}

// Guards against a host that sends for a second what its link carries in twenty.
#[gtest]
fn a_fleet_that_starts_fills_no_queue() {
    let (sent, changes) = replay_start(&LINK);
    // 1.5 s of the share, and two bursts.
    expect_that!(sent, le(1_750_000 * 17 / 10 + MESSAGE));
    // All that is sent are changes, which cost most if they are lost.
    expect_that!(changes * MESSAGE, gt(sent * 9 / 10));
    let strong = Settings {
        link_bytes_per_second: 100 * LINK.link_bytes_per_second,
        ..LINK
    };
    expect_that!(replay_start(&strong), eq((1050 * MESSAGE, 105)));
}

// Guards against digests that take the room of changes, and against signs of life that
// wait for either.
#[gtest]
fn what_matters_more_is_sent_longer() {
    let now = Instant::now();
    let mut pacer = Pacer::new(&LINK);
    let mut admitted = |priority| {
        (0..10)
            .filter(|_| pacer.admit(now, priority, 25_000))
            .count()
    };
    expect_that!(admitted(Priority::Forwarded), eq(4));
    expect_that!(admitted(Priority::Digest), eq(3));
    expect_that!(admitted(Priority::Change), eq(7));
    expect_that!(admitted(Priority::Vital), eq(10));
}

fn priority() -> impl Strategy<Value = Priority> {
    prop_oneof![
        Just(Priority::Change),
        Just(Priority::Digest),
        Just(Priority::Forwarded),
    ]
}

proptest! {
    // Guards against a window of any length in which more is sent than the link carries
    // in it and two bursts.
    #[test]
    fn no_window_has_more_than_the_link_carries(
        messages in prop::collection::vec((0u64..50, 1usize..200_000, priority()), 1..200),
    ) {
        let mut pacer = Pacer::new(&LINK);
        let start = Instant::now();
        let mut now = start;
        let mut sent: Vec<(Instant, usize)> = Vec::new();
        for (wait_ms, bytes, priority) in messages {
            now += Duration::from_millis(wait_ms);
            if pacer.admit(now, priority, bytes) {
                sent.push((now, bytes));
            }
        }
        let largest = 200_000.0;
        for from in 0..sent.len() {
            let mut bytes = 0;
            for (at, size) in &sent[from..] {
                bytes += size;
                let window = at.duration_since(sent[from].0).as_secs_f64();
                prop_assert!(bytes as f64 <= 1_750_000.0 * (window + 0.2) + largest);
            }
        }
    }

    // Guards against a host that never sends again after it owed a lot.
    #[test]
    fn what_is_owed_is_paid_off(bytes in 0usize..10_000_000) {
        let mut pacer = Pacer::new(&LINK);
        let now = Instant::now();
        pacer.admit(now, Priority::Change, bytes);
        let later = now + Duration::from_secs_f64(bytes as f64 / 1_750_000.0) + LINK.burst;
        prop_assert!(pacer.allows(later, Priority::Forwarded));
    }
}
