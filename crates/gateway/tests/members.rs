//! Liveness of other daemons.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use dotterelhinge_gateway::peer::{
    members::{Members, SILENCE},
    report::{Hello, Report},
};
use googletest::prelude::*;
use proptest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};

const OWN: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const OTHER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

fn members() -> Members {
    Members::new(OWN, "own".into(), "north".into())
}

fn hello(zone: &str) -> Hello {
    Hello {
        name: "other".into(),
        availability_zone: zone.into(),
        leaving: false,
    }
}

// Guards against evidence that is counted twice when two relays pass it on.
#[gtest]
fn a_report_counts_once_in_any_order() {
    let (mut members, now) = (members(), Instant::now());
    let hello = hello("north");
    let mut hear = |sequence| {
        members
            .hear(now, OTHER, 9, sequence, Some(&hello))
            .map(|(_, newest)| newest)
    };
    expect_that!(hear(5), some(eq(true)));
    expect_that!(hear(7), some(eq(true)));
    expect_that!(hear(6), some(eq(false)));
    expect_that!(hear(6), none());
    expect_that!(hear(7), none());
}

// Guards against a restarted host that nobody listens to, also after its time
// of day went back.
#[gtest]
fn a_restarted_host_is_heard_at_once() {
    let (mut members, now) = (members(), Instant::now());
    let hello = hello("north");
    expect_that!(
        members.hear(now, OTHER, 9, 500, Some(&hello)),
        some(anything())
    );
    expect_that!(
        members.hear(now, OTHER, 3, 1, Some(&hello)),
        some(anything())
    );
}

// Guards against readers and relays that are dead or stopping.
#[gtest]
fn silent_and_leaving_hosts_get_no_duty() {
    let (mut members, now) = (members(), Instant::now());
    let mut rng = SmallRng::seed_from_u64(1);
    let mut hello = hello("south");
    members.hear(now, OTHER, 9, 1, Some(&hello));
    expect_that!(members.readers(now).count(), eq(2));
    expect_that!(members.relays(now, &mut rng).len(), eq(1));
    let silent = now + SILENCE;
    expect_that!(members.readers(silent).count(), eq(1));
    hello.leaving = true;
    members.hear(silent, OTHER, 9, 2, Some(&hello));
    expect_that!(members.readers(silent).count(), eq(1));
    expect_that!(members.relays(silent, &mut rng).len(), eq(0));
}

// Guards against hosts that never find each other again after a partition.
#[gtest]
fn a_silent_host_is_greeted_again() {
    let (mut members, now) = (members(), Instant::now());
    members.hear(now, OTHER, 9, 1, Some(&hello("south")));
    expect_that!(members.greet(now).len(), eq(0));
    let later = now + Duration::from_secs(3);
    expect_that!(members.greet(later).len(), eq(1));
    expect_that!(members.greet(later).len(), eq(0));
    expect_that!(members.greet(later + Duration::from_secs(3)).len(), eq(1));
}

proptest! {
    // Guards against a datagram of another sender that ends the process.
    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = Report::decode(&bytes);
    }
}
