//! Stand-ins and helpers of the cases 6 to 10. They use the standard library only.

pub mod client;
pub mod drill;
pub mod fleet;
pub mod http;
pub mod record;
pub mod store;
pub mod upstream;

use std::time::{Duration, Instant};

/// Plays a case with a record, and ends the process as the result says. All that the
/// case holds is dropped before, which ends the daemons.
pub fn run(
    play: impl FnOnce(&record::Record) -> Result<bool, String> + std::panic::UnwindSafe,
) -> ! {
    let record = record::Record::new();
    let played = record.clone();
    let result = std::panic::catch_unwind(move || play(&played));
    record.finish(result.unwrap_or_else(|_| Err("a stand-in failed".to_owned())))
}

/// Returns whether the case is played with its disruption (`TROUBLE` is not `0`).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Waits until `condition` holds, at most for `limit`. Returns whether it held.
pub fn eventually(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    true
}

/// Sleeps until `at`.
pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
