//! Time keeping of one attempt: its limit, its progress, and when it is slow.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::health;

use super::{Exchange, Worker, body, slot};

/// Period in which an attempt is checked for progress.
const PERIOD: Duration = Duration::from_millis(100);

/// Why waiting for an upstream ended without an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stall {
    /// The attempt used up its time.
    Limit,
    /// The upstream moved no byte for the progress timeout.
    Upstream,
    /// The caller moved no byte for the progress timeout.
    Caller,
}

/// A slot in use and the time spent on it. Dropping it gives the slot back
/// without evidence, as when the caller goes away.
pub(super) struct Watch {
    worker: Rc<Worker>,
    slot: slot::Slot,
    body: body::Body,
    started: Instant,
    limit: Option<Instant>,
    progress: Duration,
    upload: bool,
    overdue: Cell<bool>,
}

impl Watch {
    /// Starts the time of an attempt.
    pub(super) fn new(
        worker: &Rc<Worker>,
        exchange: &Exchange,
        slot: slot::Slot,
        body: &body::Body,
    ) -> Self {
        let started = worker.context.clock.now();
        let class = exchange.class();
        Self {
            limit: limit(exchange, &slot, started),
            worker: Rc::clone(worker),
            slot,
            body: body.clone(),
            started,
            progress: class.progress_timeout,
            upload: class.upload,
            overdue: Cell::new(false),
        }
    }

    /// When the attempt started.
    pub(super) fn started(&self) -> Instant {
        self.started
    }

    /// Current reading of the clock.
    pub(super) fn now(&self) -> Instant {
        self.worker.context.clock.now()
    }

    /// Time that the upstream alone has spent: for an upload, since the last
    /// byte of the request.
    fn elapsed(&self) -> Duration {
        let from = if self.upload {
            self.started.max(self.body.moved())
        } else {
            self.started
        };
        self.now().saturating_duration_since(from)
    }

    /// Whether a time limit that was reached speaks against the upstream. A
    /// caller's short deadline does not.
    pub(super) fn is_slow(&self) -> bool {
        self.upload || self.elapsed() >= self.slot.slow_after
    }

    /// Gives the slot back with evidence.
    pub(super) fn settle(self, outcome: health::Outcome, draining: bool) {
        let elapsed = self.elapsed();
        self.slot.settle(outcome, elapsed, draining);
    }

    /// Whether the attempt is stuck, if the last byte moved at `moved`.
    pub(super) fn stall(&self, moved: Instant) -> Option<Stall> {
        let now = self.now();
        match self.limit {
            Some(limit) if now >= limit => return Some(Stall::Limit),
            None if now.saturating_duration_since(moved) >= self.progress => {
                return Some(if self.body.waits_for_caller() {
                    Stall::Caller
                } else {
                    Stall::Upstream
                });
            }
            _ => {}
        }
        if !self.upload && !self.overdue.get() && self.elapsed() >= self.slot.slow_after {
            self.overdue.set(true);
            self.slot.overdue(self.elapsed());
        }
        None
    }

    /// Time until [`Watch::stall`] should be asked again.
    pub(super) fn next(&self) -> Duration {
        let now = self.now();
        let mut wait = PERIOD;
        if let Some(limit) = self.limit {
            wait = wait.min(limit.saturating_duration_since(now));
        }
        if !self.upload && !self.overdue.get() {
            let slow = self.started + self.slot.slow_after;
            wait = wait.min(slow.saturating_duration_since(now));
        }
        wait.max(Duration::from_millis(1))
    }

    /// Waits for `event` while the attempt is not stuck; `moved` tells when
    /// the last byte moved.
    pub(super) async fn until<T>(
        &self,
        event: impl Future<Output = T>,
        moved: impl Fn() -> Instant,
    ) -> Result<T, Stall> {
        tokio::pin!(event);
        loop {
            match tokio::time::timeout(self.next(), &mut event).await {
                Ok(done) => return Ok(done),
                Err(_) => {
                    if let Some(stall) = self.stall(moved()) {
                        return Err(stall);
                    }
                }
            }
        }
    }
}

/// When the attempt must give up, so that another one still has time. Uploads
/// have a progress timeout instead.
fn limit(exchange: &Exchange, slot: &slot::Slot, now: Instant) -> Option<Instant> {
    let class = exchange.class();
    if class.upload {
        return None;
    }
    let attempts_left = class.max_attempts.saturating_sub(exchange.attempts);
    if !class.repeatable || attempts_left == 0 {
        return Some(exchange.deadline);
    }
    let share = exchange.left(now) / (attempts_left + 1);
    Some((now + share.max(slot.slow_after * 2)).min(exchange.deadline))
}
