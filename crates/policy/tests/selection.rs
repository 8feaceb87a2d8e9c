//! The choice of a backend server.

use std::time::{Duration, Instant};

use dotterelhinge_policy::selection::{Candidate, Purpose, Request, Settings, choose};
use googletest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};

fn sound() -> Candidate {
    Candidate {
        outage_probability: 0.01,
        in_use: 0.0,
        slots: 3.0,
        latency_ratio: 1.0,
        is_same_zone: true,
        last_sent: None,
    }
}

fn request(purpose: Purpose) -> Request {
    Request {
        relative_latency: 0.4,
        kilobytes: 0.3,
        purpose,
    }
}

fn chosen(candidates: &[Candidate], request: &Request) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(7);
    let now = Instant::now();
    (0..200)
        .filter_map(|_| choose(&Settings::default(), now, candidates, request, &mut rng))
        .collect()
}

// Guards against orders that go to a server that fails fast and so looks idle.
#[gtest]
fn an_order_avoids_a_failing_idle_server() {
    let failing = Candidate {
        outage_probability: 0.8,
        ..sound()
    };
    let busy = Candidate {
        in_use: 3.0,
        ..sound()
    };
    let picks = chosen(&[failing, busy], &request(Purpose::Serve));
    expect_that!(picks, each(eq(&1)));
}

// Guards against servers in doubt that nobody tests, and against tests in a
// burst.
#[gtest]
fn a_lookup_tests_a_server_in_doubt_but_not_twice_in_a_row() {
    let now = Instant::now();
    let doubtful = Candidate {
        outage_probability: 0.8,
        last_sent: now.checked_sub(Duration::from_millis(400)),
        ..sound()
    };
    let just_tested = Candidate {
        last_sent: Some(now),
        ..doubtful.clone()
    };
    let mut rng = SmallRng::seed_from_u64(7);
    let mut test = |candidate: Candidate| {
        let candidates = [sound(), candidate];
        let request = request(Purpose::Learn);
        choose(&Settings::default(), now, &candidates, &request, &mut rng)
    };
    expect_that!(test(doubtful), some(eq(1)));
    expect_that!(test(just_tested), some(eq(0)));
}

// Guards against hosts that all test the same server at the same moment, since
// they share their evidence: the retry budget went to one server while others
// stayed in doubt after they had recovered.
#[gtest]
fn tests_at_the_same_moment_go_to_different_servers() {
    let now = Instant::now();
    let doubtful = |age: u64| Candidate {
        outage_probability: 0.8,
        last_sent: now.checked_sub(Duration::from_millis(400 + age)),
        ..sound()
    };
    let candidates: Vec<_> = (0..20).map(doubtful).collect();
    let picks = chosen(&candidates, &request(Purpose::Learn));
    for position in 0..candidates.len() {
        let count = picks.iter().filter(|pick| **pick == position).count();
        expect_that!(count, le(40), "server {position} of 20 in 200 tests");
    }
}

// Guards against a queue at one server while others have free slots.
#[gtest]
fn a_full_server_gets_less_than_a_free_one() {
    let full = Candidate {
        in_use: 9.0,
        ..sound()
    };
    let picks = chosen(&[full, sound()], &request(Purpose::Serve));
    expect_that!(picks, each(eq(&1)));
}

// Guards against large bodies that cross zones without need.
#[gtest]
fn a_large_request_stays_in_its_zone() {
    let remote = Candidate {
        is_same_zone: false,
        ..sound()
    };
    let large = Request {
        kilobytes: 60.0,
        ..request(Purpose::Serve)
    };
    let picks = chosen(&[remote, sound()], &large);
    expect_that!(picks, each(eq(&1)));
}

// Guards against a request without an answer when every server is bad.
#[gtest]
fn a_bad_server_is_better_than_none() {
    let bad = Candidate {
        outage_probability: 0.99,
        in_use: 30.0,
        ..sound()
    };
    expect_that!(chosen(&[bad], &request(Purpose::Serve)).len(), eq(200));
    expect_true!(chosen(&[], &request(Purpose::Serve)).is_empty());
}

// Guards against traffic between zones that serves nobody better, and against a
// zone that is kept to itself when too few of its servers are good.
#[gtest]
fn a_zone_with_enough_good_servers_keeps_its_requests() {
    let remote = Candidate {
        is_same_zone: false,
        ..sound()
    };
    let enough = Settings::default().same_zone_threshold;
    let mut candidates = vec![sound(); enough];
    candidates.extend(vec![remote.clone(); 20]);
    let picks = chosen(&candidates, &request(Purpose::Serve));
    expect_that!(picks, each(lt(&enough)));
    candidates[0].outage_probability = 0.5;
    let picks = chosen(&candidates, &request(Purpose::Serve));
    expect_true!(picks.iter().any(|pick| *pick >= enough));
}

// Guards against sound servers that nobody uses: a service without repeatable
// requests lost one request in seven while a half of its sound servers was idle.
#[gtest]
fn an_unused_server_is_explored_unless_it_is_known_to_fail() {
    let now = Instant::now();
    let unused = Candidate {
        outage_probability: 0.3,
        last_sent: now.checked_sub(Duration::from_secs(3)),
        ..sound()
    };
    let failing = Candidate {
        outage_probability: 0.8,
        ..unused.clone()
    };
    let used = Candidate {
        last_sent: Some(now),
        ..sound()
    };
    let picks = chosen(&[used.clone(), failing, unused], &request(Purpose::Explore));
    expect_that!(picks, each(eq(&2)));
    let picks = chosen(&[used], &request(Purpose::Explore));
    expect_that!(picks, each(eq(&0)));
}
