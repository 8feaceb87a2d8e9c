//! The selection of the aggregator of a zone.

use std::time::{Duration, Instant};

use dotterelhinge_policy::aggregation::{Selector, Settings};
use googletest::prelude::*;

/// Hosts of a zone, best first; this host is `OWN`.
const RANKED: [u8; 4] = [1, 2, OWN, 4];
const OWN: u8 = 3;

/// One digest interval.
const STEP: Duration = Duration::from_millis(100);

fn choose(selector: &mut Selector<u8>, now: Instant) -> u8 {
    selector.choose(now, OWN, RANKED.into_iter())
}

// Guards against hosts that report to a dead host, and against a host that
// aggregates although a better one is alive.
#[gtest]
fn the_next_host_is_selected_when_digests_stop() {
    let (settings, start) = (Settings::default(), Instant::now());
    let mut selector = Selector::new(settings.clone());
    selector.record_digest(start, 1, None);
    expect_that!(choose(&mut selector, start), eq(1));
    let silent = start + settings.silence_timeout;
    // Host 1 is expected to send a digest from now on; host 2 follows when that
    // times out.
    expect_that!(choose(&mut selector, silent), eq(1));
    let later = silent + settings.silence_timeout;
    expect_that!(choose(&mut selector, later), eq(2));
    selector.record_digest(later + STEP, 2, None);
    expect_that!(choose(&mut selector, later + 2 * STEP), eq(2));
    let last = later + 2 * settings.silence_timeout;
    expect_that!(choose(&mut selector, last), eq(2));
    expect_that!(
        choose(&mut selector, last + settings.silence_timeout),
        eq(OWN)
    );
}

// Guards against reports that do not return to the best host.
#[gtest]
fn a_better_host_whose_digests_resume_gets_the_reports() {
    let (settings, start) = (Settings::default(), Instant::now());
    let mut selector = Selector::new(settings.clone());
    choose(&mut selector, start);
    let silent = start + settings.silence_timeout;
    selector.record_digest(silent, 2, None);
    expect_that!(choose(&mut selector, silent), eq(2));
    selector.record_digest(silent + STEP, 1, None);
    expect_that!(choose(&mut selector, silent + STEP), eq(1));
}

// Guards against a one-way partition: the digests of the best host arrive, but
// it does not receive this host's reports, so that they would reach nobody.
#[gtest]
fn a_host_that_does_not_list_this_one_is_skipped() {
    let (settings, start) = (Settings::default(), Instant::now());
    let mut selector = Selector::new(settings.clone());
    let mut now = start;
    let mut chosen = Vec::new();
    while now < start + settings.listing_timeout + 2 * STEP {
        selector.record_digest(now, 1, Some(false));
        selector.record_digest(now, 2, Some(true));
        chosen.push(choose(&mut selector, now));
        now += STEP;
    }
    expect_that!(chosen.first(), some(eq(&1)));
    expect_that!(chosen.last(), some(eq(&2)));
    now += settings.skip_duration;
    selector.record_digest(now, 1, Some(true));
    expect_that!(choose(&mut selector, now), eq(1));
}
