//! The retry budget that hosts keep together.

use dotterelhinge_policy::allowance::{Allowance, Settings};
use googletest::prelude::*;
use proptest::prelude::*;

/// Sends that `hosts` hosts repeat when every request could be repeated.
fn repeats(settings: &Settings, requests: &[usize]) -> usize {
    let hosts = requests.len();
    requests
        .iter()
        .map(|requests| {
            let mut allowance = Allowance::new(settings, hosts);
            (0..*requests)
                .filter(|_| {
                    allowance.earn(settings, hosts);
                    allowance.take()
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
    let mut allowance = Allowance::new(&settings, 10);
    expect_true!(allowance.take());
    while allowance.take() {}
    allowance.refund();
    expect_true!(allowance.take());
    expect_false!(allowance.affords());
}
