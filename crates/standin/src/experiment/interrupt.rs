//! Ends an experiment early, so that its processes are always ended by their
//! owners.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use error_stack::Report;

use crate::{experiment::Error, program};

/// How soon a wait sees an interrupt.
const PERIOD: Duration = Duration::from_millis(50);

static INTERRUPTED: AtomicBool = AtomicBool::new(false);

/// Interrupts the experiment on SIGINT, on SIGTERM or after `limit`.
pub fn watch(limit: Duration) {
    thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            // An error of either kind ends the experiment as well: without
            // signals its processes could be left behind.
            let _ = tokio::time::timeout(limit, program::wait_for_termination()).await;
        });
        INTERRUPTED.store(true, Ordering::Relaxed);
    });
}

/// Whether the experiment is to end.
pub fn is_set() -> bool {
    INTERRUPTED.load(Ordering::Relaxed)
}

/// Sleeps until `until`; fails as soon as the experiment is interrupted.
pub fn sleep_until(until: Instant) -> Result<(), Report<Error>> {
    loop {
        if is_set() {
            return Err(Report::new(Error::Interrupted));
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(());
        }
        thread::sleep(left.min(PERIOD));
    }
}

/// Ends when the experiment is interrupted.
pub(crate) async fn interrupted() {
    while !is_set() {
        tokio::time::sleep(PERIOD).await;
    }
}
