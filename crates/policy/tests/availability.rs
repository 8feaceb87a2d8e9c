//! Which backend servers may get requests.

use std::time::{Duration, Instant};

use dotterelhinge_policy::availability::{Event, Listing, Reason, Registry, Settings, Tally};
use googletest::prelude::*;
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

// Guards against a leaving server that is used again because the list still says
// that it is ready, is read again, or has lost its entry and got it back.
#[gtest]
fn a_leaving_server_stays_so_whatever_the_list_says() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.set_listed(now, [1, 2].into_iter());
    expect_true!(registry.observe(now, 1, Event::Leaving));
    expect_false!(registry.observe(now, 1, Event::Leaving));
    for listed in [vec![1, 2], vec![2], vec![], vec![1, 2]] {
        registry.set_listed(now, listed.into_iter());
        registry.observe(now, 1, Event::Reached);
        expect_that!(
            registry.check(now + 60 * SECOND, 1, Listing::Ready),
            err(eq(Reason::Leaving))
        );
    }
    // Its next start has another key.
    expect_that!(registry.check(now, 3, Listing::Ready), ok(anything()));
}

// Guards against memory that grows with every start of a server that ever left.
#[gtest]
fn a_server_that_has_long_been_unlisted_is_forgotten() {
    let start = Instant::now();
    let settings = Settings::default();
    let mut registry = Registry::new(settings.clone());
    registry.set_listed(start, [1].into_iter());
    registry.observe(start, 1, Event::Leaving);
    let late = start + 10 * settings.retention;
    registry.set_listed(late, [1].into_iter());
    registry.set_listed(late, [].into_iter());
    expect_that!(registry.withdrawn(late).count(), eq(1));
    registry.set_listed(late + settings.retention, [].into_iter());
    expect_that!(registry.withdrawn(late).count(), eq(0));
}

// Guards against a later answer that shortens the time that a server asked for,
// and against a time beyond the clock's range that ends the process.
#[gtest]
fn the_longest_deferral_holds() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.observe(now, 1, Event::Deferred(5 * SECOND));
    registry.observe(now, 1, Event::Deferred(SECOND));
    let at = |seconds| registry.check(now + seconds * SECOND, 1, Listing::Ready);
    expect_that!(at(4), err(eq(Reason::Deferred(now + 5 * SECOND))));
    expect_that!(at(5), ok(anything()));
    registry.observe(now, 1, Event::Deferred(Duration::MAX));
    let in_a_year = now + Duration::from_secs(31_536_000);
    expect_that!(
        registry.check(in_a_year, 1, Listing::Ready),
        err(matches_pattern!(Reason::Deferred(_)))
    );
}

// Guards against a caller that is told to return before any server wants it.
#[gtest]
fn a_service_resumes_with_its_first_server() {
    let now = Instant::now();
    let mut tally = Tally::default();
    tally.add(Err(Reason::Deferred(now + 3 * SECOND)));
    tally.add(Err(Reason::Leaving));
    tally.add(Err(Reason::Deferred(now + 2 * SECOND)));
    expect_that!(tally.resumes_at(), some(eq(now + 2 * SECOND)));
    tally.add(Err(Reason::Unreachable));
    expect_that!(tally.resumes_at(), none());
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Leaving,
    Deferred(u64),
    Gone,
    ConnectFailed,
    Reached,
    List(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..2000u64).prop_map(Step::Wait),
        Just(Step::Leaving),
        prop_oneof![0..5000u64, Just(u64::MAX)].prop_map(Step::Deferred),
        Just(Step::Gone),
        Just(Step::ConnectFailed),
        Just(Step::Reached),
        any::<bool>().prop_map(Step::List),
    ]
}

proptest! {
    // Guards against any order of answers, lists, reports and connections after
    // which a server gets a request in the time that it asked for, or after it
    // said that it is leaving. Server 2 hears nothing and stays available.
    #[test]
    fn a_server_gets_nothing_that_it_does_not_want(
        steps in prop::collection::vec((0..2u64, step()), 0..60),
    ) {
        let mut now = Instant::now();
        let mut registry = Registry::default();
        let mut is_leaving = [false; 2];
        let mut deferred_until = [now; 2];
        for (server, step) in steps {
            let index = server as usize;
            match step {
                Step::Wait(ms) => now += Duration::from_millis(ms),
                Step::Leaving => {
                    is_leaving[index] = true;
                    registry.observe(now, server, Event::Leaving);
                }
                Step::Deferred(ms) => {
                    let time = Duration::from_millis(ms);
                    registry.observe(now, server, Event::Deferred(time));
                    let until = now.checked_add(time).unwrap_or(now + 1_000_000 * SECOND);
                    deferred_until[index] = deferred_until[index].max(until);
                }
                Step::Gone => {
                    registry.observe(now, server, Event::Gone);
                }
                Step::ConnectFailed => {
                    registry.observe(now, server, Event::ConnectFailed);
                }
                Step::Reached => {
                    registry.observe(now, server, Event::Reached);
                }
                Step::List(has_server) => {
                    let listed = [2].into_iter().chain(has_server.then_some(server));
                    registry.set_listed(now, listed);
                }
            }
            for index in 0..2 {
                let checked = registry.check(now, index as u64, Listing::Ready);
                let is_unwanted = is_leaving[index] || now < deferred_until[index];
                let may_send = checked.is_ok_and(|()| true)
                    || checked.is_err_and(Reason::is_last_resort);
                prop_assert_eq!(may_send, !is_unwanted);
                prop_assert!(registry.check(now, index as u64, Listing::Draining).is_err());
                prop_assert!(registry.check(now, index as u64, Listing::Absent).is_err());
            }
            prop_assert!(registry.check(now, 2, Listing::Ready).is_ok());
        }
    }
}
