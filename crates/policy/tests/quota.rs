//! The retry budget that hosts keep together.

use dotterelhinge_policy::quota::{Quota, Settings};
use googletest::prelude::*;
use proptest::prelude::*;

/// Sends that `hosts` hosts repeat when every request could be repeated.
fn repeats(settings: &Settings, requests: &[usize]) -> usize {
    let hosts = requests.len();
    requests
        .iter()
        .map(|requests| {
            let mut quota = Quota::new(settings, hosts);
            (0..*requests)
                .filter(|_| {
                    quota.earn(settings, hosts);
                    quota.take()
                })
                .count()
        })
        .sum()
}

proptest! {
    // Guards against a budget that one host could use up for all, or that
    // grows with the number of hosts.
    #[test]
    fn all_hosts_together_keep_the_bound(requests in prop::collection::vec(0usize..200, 1..60)) {
        let settings = Settings::default();
        let total: usize = requests.iter().sum();
        let bound = settings.ratio * total as f64 + settings.slack;
        prop_assert!(repeats(&settings, &requests) as f64 <= bound);
    }
}

// Guards against tokens that are lost when a repeated send reached nothing.
#[gtest]
fn a_refund_pays_for_the_next_send() {
    let settings = Settings::default();
    let mut quota = Quota::new(&settings, 10);
    expect_true!(quota.take());
    while quota.take() {}
    quota.refund();
    expect_true!(quota.take());
    expect_false!(quota.has_token());
}
