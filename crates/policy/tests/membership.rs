//! Failure detection and dissemination on a network with message loss and link
//! failures.

mod fleet;

use std::time::Duration;

use dotterelhinge_policy::membership::{self, Body, Event, Message, State};
use googletest::prelude::*;

use fleet::{Fleet, address, member};

const SEEDS: [u64; 4] = [1, 2, 3, 4];

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns a fleet of 48 whose members all list each other.
fn joined(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(48, seed);
    fleet.converge(48, seconds(15));
    fleet.run(seconds(15));
    fleet
}

/// Returns a message of member 4 that reports `state` for member `n`.
fn report(n: usize, state: State) -> Event {
    let update = membership::Member {
        state,
        ..member(n, 1_000)
    };
    let message = Message {
        from: member(4, 1_000),
        configuration: 0,
        updates: vec![update],
        body: Body::Ack,
    };
    Event::Response {
        id: u64::MAX,
        message,
    }
}

/// Guards against member lists that do not converge, and members falsely
/// declared dead, under message loss.
#[googletest::test]
fn members_agree_under_loss() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(48, seed);
        fleet.loss_ratio = 0.05;
        fleet.converge(48, seconds(20));
        fleet.run(seconds(60));
        expect_that!(fleet.declared_dead, is_empty(), "seed {seed}");
    }
}

/// Guards against a killed member that keeps its roles because it stays listed,
/// and against the removal of live members along with it.
#[googletest::test]
fn a_killed_member_is_removed_everywhere() {
    for seed in SEEDS {
        let mut fleet = joined(seed);
        fleet.nodes[7].is_running = false;
        let removed = fleet.until(seconds(12), |fleet, n| {
            fleet.nodes[n].detector.get("entry-7").unwrap().state == State::Dead
        });
        println!("seed {seed}: removed from all lists after {removed:?}");
        expect_that!(
            fleet.declared_dead,
            unordered_elements_are![eq(&std::sync::Arc::from("entry-7"))]
        );
    }
}

/// Guards against the removal of a member because links fail in one direction
/// only.
#[googletest::test]
fn a_one_way_link_failure_removes_no_member() {
    for seed in SEEDS {
        let mut fleet = joined(seed);
        fleet.cut_links.extend([(3, 9), (3, 10), (11, 3)]);
        fleet.run(seconds(90));
        expect_that!(fleet.declared_dead, is_empty(), "seed {seed}");
    }
}

/// Guards against a resumed daemon that declares others dead because timers
/// expired and requests timed out during its pause.
#[googletest::test]
fn a_resumed_member_declares_no_member_dead() {
    for (seed, pause) in SEEDS.into_iter().zip([2, 4, 12, 100]) {
        let mut fleet = joined(seed);
        // A suspicion that is pending at the pause must not expire during it.
        fleet.inject(5, report(9, State::Suspect));
        expect_that!(fleet.alive_count(5), eq(47));
        fleet.nodes[5].is_paused = true;
        fleet.run(seconds(pause));
        fleet.run(Duration::from_millis(600));
        fleet.declared_dead.clear();
        fleet.resume(5);
        fleet.run(seconds(2));
        expect_that!(fleet.nodes[5].pause_count, eq(1));
        fleet.declared_dead.remove("entry-5");
        expect_that!(fleet.declared_dead, is_empty(), "pause of {pause} s");
        fleet.converge(48, seconds(20));
    }
}

/// Guards against a daemon that loses all its links and, once they are back,
/// removes all other members from the fleet's list.
#[googletest::test]
fn an_isolated_member_does_not_disseminate_its_decisions() {
    for seed in SEEDS {
        let mut fleet = joined(seed);
        for other in (0..48).filter(|n| *n != 5) {
            fleet.cut_links.extend([(5, other), (other, 5)]);
        }
        fleet.run(seconds(60));
        fleet.declared_dead.clear();
        fleet.cut_links.clear();
        fleet.converge(48, seconds(40));
        expect_that!(fleet.declared_dead, is_empty(), "seed {seed}");
    }
}

/// Guards against halves that stay separate after a partition ends.
#[googletest::test]
fn a_partition_heals() {
    let mut fleet = joined(1);
    for one in 0..24 {
        for other in 24..48 {
            fleet.cut_links.extend([(one, other), (other, one)]);
        }
    }
    fleet.converge(24, seconds(60));
    // Longer than dead members are retained, so that only the seeds can bring
    // the halves together.
    fleet.run(seconds(400));
    fleet.cut_links.clear();
    fleet.converge(48, seconds(45));
}

/// Guards against a restarted host that is taken for its previous process, and
/// against two listed hosts with one address.
#[googletest::test]
fn restarts_and_reused_addresses_replace_the_old_entry() {
    let mut fleet = joined(2);
    fleet.start(7, member(7, 2_000));
    fleet.run(seconds(10));
    fleet.converge(48, seconds(1));
    for n in 0..48 {
        let incarnation = fleet.nodes[n].detector.get("entry-7").unwrap().incarnation;
        expect_that!(incarnation, ge(2_000));
    }
    // The new host's clock is behind, so its incarnation is lower than that of
    // the old host.
    let mut replacement = member(7, 500);
    replacement.host = "entry-new".into();
    fleet.start(7, replacement);
    fleet.run(seconds(30));
    fleet.converge(48, seconds(1));
    for n in 0..48 {
        let old = fleet.nodes[n].detector.get("entry-7");
        expect_that!(old.map(|old| old.state), none().or(some(eq(State::Dead))));
    }
}

/// Guards against a live member that stays suspected or is removed after a
/// false report, and against a leaving member that becomes eligible for roles
/// again.
#[googletest::test]
fn false_suspicions_are_refuted_and_leaving_members_stay_leaving() {
    for seed in 1..=6 {
        let mut fleet = joined(seed);
        fleet.inject(1, report(9, State::Suspect));
        expect_that!(fleet.alive_count(1), eq(47));
        fleet.run(seconds(15));
        fleet.converge(48, seconds(1));
        expect_that!(fleet.nodes[9].detector.local().incarnation, gt(1_000));
        expect_that!(fleet.declared_dead, is_empty(), "seed {seed}");
    }
    let mut fleet = joined(3);
    fleet.inject(1, report(9, State::Dead));
    fleet.converge(48, seconds(10));
    expect_that!(fleet.nodes[9].detector.local().incarnation, gt(1_000));
    let mut fleet = joined(4);
    fleet.inject(9, Event::Leave);
    fleet.converge(47, seconds(5));
    fleet.nodes[9].is_paused = true;
    fleet.run(seconds(2));
    fleet.resume(9);
    fleet.run(seconds(30));
    for n in 0..48 {
        expect_that!(
            fleet.nodes[n]
                .detector
                .get("entry-9")
                .unwrap()
                .is_eligible(),
            eq(false)
        );
    }
}

/// Guards against dead hosts that are never forgotten because daemons resend
/// them to each other.
#[googletest::test]
fn dead_members_are_forgotten() {
    let mut fleet = joined(1);
    fleet.nodes[7].is_running = false;
    fleet.run(seconds(400));
    for n in (0..48).filter(|n| *n != 7) {
        expect_that!(fleet.nodes[n].detector.get("entry-7"), none());
    }
    expect_that!(
        fleet.nodes[0].detector.get("entry-8").unwrap().address,
        eq(address(8))
    );
}

/// Runs for `time` seconds and returns the messages and bytes that each member
/// sends per second.
fn traffic(fleet: &mut Fleet, time: u64) -> (f64, f64) {
    (fleet.messages, fleet.bytes) = (0, 0);
    fleet.run(seconds(time));
    let member_seconds = (fleet.nodes.len() as u64 * time) as f64;
    let each = |count: usize| count as f64 / member_seconds;
    (each(fleet.messages), each(fleet.bytes))
}

/// Guards against reports that are resent forever.
#[googletest::test]
fn traffic_without_changes_is_bounded() {
    let mut fleet = joined(1);
    fleet.run(seconds(60));
    let (messages, bytes) = traffic(&mut fleet, 60);
    println!("48 members: {messages:.2} messages/s and {bytes:.0} bytes/s per member");
    expect_that!(messages, lt(2.2));
    expect_that!(bytes, lt(250.0));
}

/// Guards against control traffic above the limit of 4 KB/s per daemon,
/// received bytes included, even while all members start or one restarts every
/// second. The target fleet replaces 8,200 hosts a day, one every 10 s.
#[googletest::test]
fn traffic_of_500_members_is_bounded() {
    let mut fleet = Fleet::new(500, 1);
    fleet.loss_ratio = 0.01;
    let (messages, bytes) = traffic(&mut fleet, 30);
    println!("500 members starting: {messages:.2} messages/s and {bytes:.0} bytes/s per member");
    let joined = fleet.converge(500, seconds(90));
    println!("all lists whole {joined:?} later");
    let (messages, bytes) = traffic(&mut fleet, 10);
    println!("afterwards: {messages:.2} messages/s and {bytes:.0} bytes/s per member");
    let mut busy = 0.0;
    for n in 0..10 {
        fleet.start(100 + n, member(100 + n, 2_000));
        let (messages, bytes) = traffic(&mut fleet, 1);
        expect_that!(messages, lt(2.7));
        busy += bytes / 10.0;
    }
    println!("one restart per second: {busy:.0} bytes/s per member");
    expect_that!(busy, lt(2_000.0));
    expect_that!(fleet.declared_dead, is_empty());
}
