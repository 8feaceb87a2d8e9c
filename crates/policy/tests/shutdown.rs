//! Graceful shutdown under callers that keep using their connections.

use std::time::{Duration, Instant};

use dotterelhinge_policy::shutdown::{Settings, Shutdown};
use googletest::prelude::*;

/// Time from SIGTERM until the process is killed.
const GRACE: Duration = Duration::from_secs(10);

/// Time after SIGTERM within which a request that is cut is the balancer's
/// fault, because it still sent callers.
const EXCUSED: Duration = Duration::from_secs(3);

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

// Guards against a request that is accepted although the process is killed
// before the request's deadline.
#[gtest]
fn a_late_request_is_accepted_only_if_it_ends_in_time() {
    let start = Instant::now();
    let shutdown = Shutdown::new(&Settings::default(), start, GRACE);
    for sent in [3.0, 3.9, 4.6, 5.3, 9.0] {
        for lasts in [0.2, 1.0, 4.0, 6.0, 15.0] {
            let now = start + seconds(sent);
            let deadline = now + seconds(lasts);
            let is_accepted = shutdown.accepts(now, deadline);
            if is_accepted {
                expect_false!(shutdown.is_over(deadline - seconds(0.01), 1));
            }
            expect_that!(is_accepted, eq(sent + lasts <= 9.75), "{sent} {lasts}");
        }
    }
}

// Guards against refusing callers whom the load balancer still sends, and
// against accepting requests that may be cut for longer than it does.
#[gtest]
fn all_requests_are_accepted_until_the_balancer_has_noticed() {
    let start = Instant::now();
    let settings = Settings::default();
    let shutdown = Shutdown::new(&settings, start, GRACE);
    let long = start + seconds(60.0);
    expect_true!(shutdown.accepts(start + settings.notice - seconds(0.01), long));
    expect_false!(shutdown.accepts(start + settings.notice, long));
    expect_that!(settings.notice, le(EXCUSED));
}

// Guards against a process that ends while callers wait, or lingers when none
// does, or outlives its grace period.
#[gtest]
fn the_process_ends_with_its_last_request() {
    let start = Instant::now();
    let shutdown = Shutdown::new(&Settings::default(), start, GRACE);
    expect_false!(shutdown.is_over(start + seconds(1.0), 0));
    expect_false!(shutdown.is_over(start + seconds(5.0), 1));
    expect_true!(shutdown.is_over(start + seconds(5.0), 0));
    expect_true!(shutdown.is_over(start + seconds(9.75), 1));
}

// Guards against an underflow if the grace period is shorter than the margin.
#[gtest]
fn a_grace_period_of_zero_ends_at_once() {
    let start = Instant::now();
    let shutdown = Shutdown::new(&Settings::default(), start, Duration::ZERO);
    expect_true!(shutdown.is_over(start, 3));
}
