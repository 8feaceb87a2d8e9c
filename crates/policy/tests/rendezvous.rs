//! Rendezvous hashing: few keys move with the members, and roles are spread.

use dotterelhinge_policy::rendezvous;
use googletest::prelude::*;

/// Guards against a hash that moves keys of other members on a membership change.
#[googletest::test]
fn loss_of_a_member_moves_only_its_keys() {
    let hosts: Vec<String> = (0..48).map(|n| format!("entry-{n}")).collect();
    let all = || hosts.iter().map(String::as_str);
    for n in 0..500 {
        let key = format!("service-{n}");
        let before = rendezvous::owner(&key, all()).unwrap();
        let after = rendezvous::owner(&key, all().filter(|host| *host != "entry-7")).unwrap();
        if before != "entry-7" {
            expect_that!(after, eq(before));
        }
        expect_that!(rendezvous::ranked(&key, all(), 3)[0], eq(before));
    }
}

/// Guards against one daemon that owns far more keys than the others.
#[googletest::test]
fn keys_spread_over_the_members() {
    let hosts: Vec<String> = (0..48).map(|n| format!("entry-{n}")).collect();
    let mut owned = std::collections::HashMap::new();
    for n in 0..4800 {
        let key = format!("service-{n}");
        let owner = rendezvous::owner(&key, hosts.iter().map(String::as_str)).unwrap();
        *owned.entry(owner.to_owned()).or_insert(0) += 1;
    }
    expect_that!(owned.len(), eq(48));
    expect_that!(*owned.values().max().unwrap(), lt(200));
}

/// Guards against a role that goes to a weak host while a strong one is alive,
/// and against one host that takes all roles among hosts of equal strength.
#[googletest::test]
fn roles_go_to_strong_members_and_are_spread_among_them() {
    let hosts: Vec<String> = (0..8).map(|n| format!("entry-{n}")).collect();
    let mut winners = std::collections::HashSet::new();
    for n in 0..100 {
        let key = format!("duty-{n}");
        let strength = |n: usize| if n < 4 { 500 } else { 100 };
        let scored = hosts.iter().enumerate();
        let best = scored
            .max_by_key(|(n, host)| rendezvous::score(&key, host, strength(*n)))
            .map(|(n, _)| n);
        winners.extend(best);
    }
    let mut winners: Vec<usize> = winners.into_iter().collect();
    winners.sort_unstable();
    expect_that!(winners, elements_are![eq(&0), eq(&1), eq(&2), eq(&3)]);
}
