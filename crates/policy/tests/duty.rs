//! Which hosts read the store.

use std::time::Duration;

use dotterelhinge_policy::duty::{Settings, rank, reads};
use googletest::prelude::*;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|host| format!("host-{host}")).collect()
}

// Guards against all hosts calling the store while two can serve them.
#[gtest]
fn two_of_many_hosts_read_while_their_news_arrives() {
    let (settings, hosts) = (Settings::default(), names(134));
    let fresh = Some(Duration::from_millis(300));
    let readers = hosts
        .iter()
        .filter(|host| reads(&settings, rank(host, hosts.iter().map(|h| &**h)), fresh))
        .count();
    expect_that!(readers, eq(settings.readers));
}

// Guards against hosts that wait for readers which can't reach the store.
#[gtest]
fn every_host_reads_when_news_stops() {
    let (settings, hosts) = (Settings::default(), names(3800));
    let stale = Some(settings.latest);
    for host in hosts.iter().take(50) {
        let rank = rank(host, hosts.iter().map(|h| &**h));
        expect_true!(reads(&settings, rank, stale));
        expect_true!(reads(&settings, rank, None));
    }
}

// Guards against all hosts beginning to read at the same moment.
#[gtest]
fn hosts_take_over_one_after_the_other() {
    let settings = Settings::default();
    let age = Some(settings.stale);
    expect_true!(reads(&settings, settings.readers, age));
    expect_false!(reads(&settings, settings.readers + 1, age));
}
