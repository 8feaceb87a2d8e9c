//! Supervision of one attempt: its deadline, its progress, and whether it is slow.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::health;

use super::{Exchange, Worker, body, slot};

/// Interval at which an attempt is checked for progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why an attempt is stalled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stall {
    /// The deadline of the attempt passed.
    Deadline,
    /// No byte was transferred within the progress timeout, and the caller is not
    /// the cause.
    Upstream,
    /// No byte was transferred within the progress timeout, since the caller sent
    /// none.
    Caller,
}

/// A slot in use and the time spent on it. Dropping it, for example because the
/// caller disconnected, releases the slot with neutral evidence.
pub(super) struct Watch {
    worker: Rc<Worker>,
    slot: slot::Slot,
    body: body::Body,
    started: Instant,
    deadline: Option<Instant>,
    progress_timeout: Duration,
    is_upload: bool,
    is_overdue_reported: Cell<bool>,
}

impl Watch {
    /// Starts the supervision of an attempt.
    pub(super) fn new(
        worker: &Rc<Worker>,
        exchange: &Exchange,
        slot: slot::Slot,
        body: &body::Body,
    ) -> Self {
        let started = worker.context.clock.now();
        let class = exchange.class();
        Self {
            deadline: deadline(exchange, &slot, started),
            worker: Rc::clone(worker),
            slot,
            body: body.clone(),
            started,
            progress_timeout: class.progress_timeout,
            is_upload: class.upload,
            is_overdue_reported: Cell::new(false),
        }
    }

    /// Returns when the attempt started.
    pub(super) fn started(&self) -> Instant {
        self.started
    }

    /// Returns the current time.
    pub(super) fn now(&self) -> Instant {
        self.worker.context.clock.now()
    }

    /// Returns the time spent by the upstream: since the start of the attempt or, for
    /// an upload, since the last byte of the request.
    fn elapsed(&self) -> Duration {
        let start = if self.is_upload {
            self.started.max(self.body.last_progress())
        } else {
            self.started
        };
        self.now().saturating_duration_since(start)
    }

    /// Returns whether a passed deadline is evidence against the upstream. A short
    /// deadline of the caller is not.
    pub(super) fn is_slow(&self) -> bool {
        self.is_upload || self.elapsed() >= self.slot.slow_threshold
    }

    /// Releases the slot and reports how the attempt ended.
    pub(super) fn settle(self, outcome: health::Outcome, is_draining: bool) {
        let elapsed = self.elapsed();
        self.slot.settle(outcome, elapsed, is_draining);
    }

    /// Returns why the attempt is stalled, if it is. `last_progress` is the time of
    /// the last transferred byte. Reports the attempt once if it becomes slow.
    pub(super) fn check_stall(&self, last_progress: Instant) -> Option<Stall> {
        let now = self.now();
        match self.deadline {
            Some(deadline) if now >= deadline => return Some(Stall::Deadline),
            None if now.saturating_duration_since(last_progress) >= self.progress_timeout => {
                return Some(if self.body.is_waiting_for_caller() {
                    Stall::Caller
                } else {
                    Stall::Upstream
                });
            }
            _ => {}
        }
        if !self.is_upload
            && !self.is_overdue_reported.get()
            && self.elapsed() >= self.slot.slow_threshold
        {
            self.is_overdue_reported.set(true);
            self.slot.report_overdue(self.elapsed());
        }
        None
    }

    /// Returns the time until the next call of [`Watch::check_stall`], at least 1 ms.
    pub(super) fn next_check(&self) -> Duration {
        let now = self.now();
        let mut wait = CHECK_INTERVAL;
        if let Some(deadline) = self.deadline {
            wait = wait.min(deadline.saturating_duration_since(now));
        }
        if !self.is_upload && !self.is_overdue_reported.get() {
            let slow_at = self.started + self.slot.slow_threshold;
            wait = wait.min(slow_at.saturating_duration_since(now));
        }
        wait.max(Duration::from_millis(1))
    }

    /// Runs `operation` until it ends or the attempt is stalled. `last_progress`
    /// returns the time of the last transferred byte.
    pub(super) async fn run<T>(
        &self,
        operation: impl Future<Output = T>,
        last_progress: impl Fn() -> Instant,
    ) -> Result<T, Stall> {
        tokio::pin!(operation);
        loop {
            match tokio::time::timeout(self.next_check(), &mut operation).await {
                Ok(output) => return Ok(output),
                Err(_) => {
                    if let Some(stall) = self.check_stall(last_progress()) {
                        return Err(stall);
                    }
                }
            }
        }
    }
}

/// Returns the deadline of the attempt, which leaves time for the remaining ones.
/// Uploads have a progress timeout instead.
fn deadline(exchange: &Exchange, slot: &slot::Slot, now: Instant) -> Option<Instant> {
    let class = exchange.class();
    if class.upload {
        return None;
    }
    let attempts_left = class.max_attempts.saturating_sub(exchange.attempt);
    if !class.repeatable || attempts_left == 0 {
        return Some(exchange.deadline);
    }
    let share = exchange.time_left(now) / (attempts_left + 1);
    Some((now + share.max(slot.slow_threshold * 2)).min(exchange.deadline))
}
