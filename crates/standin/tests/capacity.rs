//! The deterministic parts of the capacity measurements.

use dotterelhinge_standin::capacity::{fit, usage};
use googletest::prelude::*;

/// Guards against a wrong slope or residual, which every figure of the
/// capacity page is derived from.
#[googletest::test]
fn least_squares_fit() {
    let exact = fit::line(&[(6.0, 17.0), (12.0, 29.0), (24.0, 53.0)]).unwrap();
    expect_that!(exact.intercept, near(5.0, 1e-9));
    expect_that!(exact.slope, near(2.0, 1e-9));
    expect_that!(exact.residual, near(0.0, 1e-9));
    expect_that!(exact.at(3_800.0), near(7_605.0, 1e-6));
    // By hand: means 1.5 and 2.5, slope 4.0 / 5.0, deviations -0.3, 0.9,
    // -0.9 and 0.3, so that the sum of squares is 1.8 with 2 degrees.
    let spread = fit::line(&[(0.0, 1.0), (1.0, 3.0), (2.0, 2.0), (3.0, 4.0)]).unwrap();
    expect_that!(spread.slope, near(0.8, 1e-9));
    expect_that!(spread.intercept, near(1.3, 1e-9));
    expect_that!(spread.residual, near(0.9_f64.sqrt(), 1e-9));
    let two = fit::line(&[(0.0, 1.0), (2.0, 5.0)]).unwrap();
    expect_that!(two.residual, near(0.0, 1e-9));
}

/// Guards against a division by 0 that would print a figure without meaning.
#[googletest::test]
fn points_without_a_line() {
    expect_that!(fit::line(&[]), none());
    expect_that!(fit::line(&[(1.0, 2.0)]), none());
    expect_that!(fit::line(&[(1.0, 2.0), (1.0, 3.0)]), none());
}

/// Guards against fields that are counted from the wrong place when the
/// program name holds spaces or parentheses.
#[googletest::test]
fn processor_time_of_stat() {
    let rest = "S 1 2 3 0 -1 4194304 100 0 0 0 150 50 7 8 20 0 1 0 12345 9 8";
    expect_that!(
        usage::cpu(&format!("42 (dotterelhinged) {rest}")),
        some(near(2.0, 1e-9))
    );
    expect_that!(
        usage::cpu(&format!("42 (a) b (c) {rest}")),
        some(near(2.0, 1e-9))
    );
    expect_that!(usage::cpu("42 (dotterelhinged) S 1"), none());
    expect_that!(usage::cpu(""), none());
}

/// Guards against another line or unit taken for the resident memory.
#[googletest::test]
fn resident_memory_of_status() {
    let status = "Name:\tdaemon\nVmHWM:\t  9000 kB\nVmRSS:\t    8124 kB\nRssAnon:\t 1 kB\n";
    expect_that!(usage::resident(status), some(eq(8_124 * 1024)));
    expect_that!(usage::resident("VmHWM:\t9000 kB\n"), none());
    expect_that!(usage::resident("VmRSS:\t9000 MB\n"), none());
}

// Guards against a processor time that is too coarse to compare the cost of a few
// requests.
#[googletest::test]
fn processor_time_is_exact() {
    let own = std::process::id();
    let before = usage::processor_time(own).unwrap();
    let end = std::time::Instant::now() + std::time::Duration::from_millis(5);
    while std::time::Instant::now() < end {}
    let used = usage::processor_time(own).unwrap() - before;
    expect_that!(used.as_secs_f64(), all![gt(0.000_1), lt(1.0)]);
}
