//! Plots of result files.

use std::fs;

use dotterelhinge_standin::caller::judge::{Outcome, Verdict};
use dotterelhinge_standin::caller::mix::{Kind, Mix};
use dotterelhinge_standin::caller::result::{Collector, Ended, Results};
use dotterelhinge_standin::plot;
use googletest::prelude::*;

use crate::support;

fn results(micros: &[u64]) -> Results {
    let kind = Kind {
        name: "lookup".to_owned(),
        ..Default::default()
    };
    let mut collector = Collector::new(&Mix { kinds: vec![kind] });
    for micros in micros {
        collector.add(Ended {
            kind: 0,
            verdict: Verdict {
                outcome: Outcome::Whole,
                detail: String::new(),
            },
            id: String::new(),
            key: None,
            server: None,
            at_ms: 0.0,
            micros: *micros,
            reconnected: false,
        });
    }
    collector.finish()
}

/// Guards against plots without the lines of a file, and against a constant
/// latency, whose range is empty.
#[gtest]
fn plot_shows_a_line_per_file_and_kind() {
    let many: Vec<u64> = (1..=10_000).collect();
    let mut lines = plot::lines("first", &results(&many)).expect("lines");
    lines.extend(plot::lines("second", &results(&[5000; 10])).expect("lines"));
    lines.extend(plot::lines("third", &results(&[0])).expect("lines"));
    let out = support::file("plot.svg");
    plot::percentiles(&lines, &out).expect("plot");
    let svg = fs::read_to_string(&out).expect("file");
    fs::remove_file(out).expect("removes");
    for text in [
        "first lookup",
        "second lookup",
        "third lookup",
        "percentile",
        "</svg>",
    ] {
        expect_that!(svg, contains_substring(text));
    }
    expect_that!(svg.contains("NaN") || svg.contains("inf"), eq(false));
}

/// Guards against files without latencies that give an empty plot.
#[gtest]
fn files_without_latencies_are_refused() {
    let none = plot::lines("none", &results(&[])).expect("no lines");
    expect_that!(none, is_empty());
    let out = support::file("empty.svg");
    expect_that!(plot::percentiles(&none, &out).is_err(), eq(true));
    expect_that!(out.exists(), eq(false));
    let mut damaged = results(&[1]);
    for kind in damaged.kinds.values_mut() {
        kind.latency.histogram.truncate(8);
    }
    expect_that!(plot::lines("damaged", &damaged).is_err(), eq(true));
}
