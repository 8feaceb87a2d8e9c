//! Evidence that an aggregator distributes.

use std::collections::HashMap;

use dotterelhinge_gateway::{
    evidence::{Observation, Outcome},
    peer::{
        aggregate::{Aggregate, Audience, Part},
        report::{MAX_DATAGRAM_BYTES, Report, Scope},
    },
};
use googletest::prelude::*;

fn observation(upstream: u64) -> Observation {
    Observation {
        upstream,
        outcome: Outcome::Finished,
        elapsed_ms: 230,
    }
}

fn counts(parts: &[Part]) -> HashMap<u64, u16> {
    parts.iter().flat_map(|part| part.in_use.clone()).collect()
}

// Guards against evidence that is sent twice, or to only one audience.
#[gtest]
fn each_audience_gets_every_outcome_once() {
    let mut aggregate = Aggregate::default();
    aggregate.add_outcome(&observation(1));
    for audience in [Audience::Zone, Audience::OtherZones] {
        expect_true!(aggregate.has_pending(audience));
        let parts = aggregate.take(audience, &[]);
        expect_that!(parts.len(), eq(1));
        expect_that!(parts[0].outcomes, elements_are![eq(&observation(1))]);
        expect_false!(aggregate.has_pending(audience));
    }
}

// Guards against counts of one reporter replacing those of another.
#[gtest]
fn counts_of_reporters_add_up() {
    let mut aggregate = Aggregate::default();
    aggregate.replace_counts(&[], &[(1, 2), (2, 1)]);
    aggregate.replace_counts(&[], &[(1, 1)]);
    let sent = counts(&aggregate.take(Audience::Zone, &[]));
    expect_that!(sent, eq(&HashMap::from([(1, 3), (2, 1)])));
    aggregate.replace_counts(&[(1, 2), (2, 1)], &[(1, 2)]);
    let sent = counts(&aggregate.take(Audience::Zone, &[]));
    expect_that!(sent, eq(&HashMap::from([(2, 0)])));
}

// Guards against a lost datagram leaving a wrong count for ever: each digest
// repeats some unchanged counts in turn.
#[gtest]
fn every_count_is_repeated_within_a_round() {
    let mut aggregate = Aggregate::default();
    aggregate.replace_counts(&[], &[(5, 3)]);
    aggregate.take(Audience::Zone, &[]);
    let upstreams: Vec<u64> = (0..100).collect();
    let is_repeated = (0..20)
        .flat_map(|_| aggregate.take(Audience::Zone, &upstreams))
        .any(|part| part.in_use.contains(&(5, 3)));
    expect_true!(is_repeated);
}

// Guards against datagrams larger than one packet: the network fragments them,
// and the loss of one fragment loses the whole datagram.
#[gtest]
fn a_burst_is_split_into_packets() {
    let mut aggregate = Aggregate::default();
    for upstream in 0..500 {
        aggregate.add_outcome(&observation(u64::MAX - upstream));
        aggregate.replace_counts(&[], &[(u64::MAX - upstream, 300)]);
    }
    let parts = aggregate.take(Audience::OtherZones, &[]);
    let outcomes: usize = parts.iter().map(|part| part.outcomes.len()).sum();
    expect_that!(outcomes, eq(500));
    expect_that!(counts(&parts).len(), eq(500));
    for part in parts {
        let report = Report {
            origin: u32::MAX,
            incarnation: u64::MAX,
            sequence: u32::MAX,
            scope: Scope::Relay,
            outcomes: part.outcomes,
            in_use: Some(part.in_use),
            ..Report::default()
        };
        expect_that!(report.encode().unwrap().len(), le(MAX_DATAGRAM_BYTES));
    }
}
