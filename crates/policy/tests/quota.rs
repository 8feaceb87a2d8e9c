//! The retry budget that the hosts share.

use dotterelhinge_policy::quota::{Quota, Settings};
use googletest::prelude::*;
use proptest::prelude::*;

/// Returns the retries of all hosts if every request may be retried. There is
/// one host for each entry of `requests`.
fn retries(settings: &Settings, requests: &[usize]) -> usize {
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
    // Guards against a budget that one host can use up for all hosts, or that
    // grows with the number of hosts.
    #[test]
    fn all_hosts_together_stay_within_the_bound(requests in prop::collection::vec(0usize..200, 1..60)) {
        let settings = Settings::default();
        let total: usize = requests.iter().sum();
        let bound = settings.ratio * total as f64 + settings.slack;
        prop_assert!(retries(&settings, &requests) as f64 <= bound);
    }
}

// Guards against a token that is lost when a retry reaches no backend server.
#[gtest]
fn a_refunded_token_allows_the_next_retry() {
    let settings = Settings::default();
    let mut quota = Quota::new(&settings, 10);
    expect_true!(quota.take());
    while quota.take() {}
    quota.refund();
    expect_true!(quota.take());
    expect_false!(quota.has_token());
}
