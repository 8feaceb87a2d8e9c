//! The decisions of one host about the requests of one service.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use super::{Conditions, Flow, Queue, Request, Settings};

/// Half of the width of the range in which the time until a refused caller returns
/// is spread, relative to its mean.
const RETRY_SPREAD: f64 = 0.25;

/// Longest time after which a refused caller may return, relative to the time that
/// it has left. Callers don't wait for longer.
const MAX_RETRY_RATIO: f64 = 1.0 / 3.0;

/// Shortest time after which a refused caller may return, relative to the typical
/// latency: sooner, hardly any request has ended.
const MIN_RETRY_RATIO: f64 = 0.5;

/// Time after which waiting requests are compared with the capacity again. More
/// urgent requests that came later, or a loss of servers, may leave no room for them.
const COMPARE_INTERVAL: Duration = Duration::from_millis(100);

/// Bound of an expected wait, which keeps times within the clock's range.
const MAX_WAIT: Duration = Duration::from_secs(600);

/// Why and for how long a request is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Time that the request would have to wait.
    pub expected: Duration,
    /// Time after which its caller may return.
    pub retry_after: Duration,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is sent now.
    Send,
    /// It waits. The ticket names it.
    Wait(u64),
    /// It is refused now.
    Refuse(Refusal),
}

/// Queue and flow of a host for one service.
#[derive(Clone, Debug, Default)]
pub struct Line {
    queue: Queue,
    flow: Flow,
    /// Time until which the capacity is promised to refused callers that return.
    promised: Option<Instant>,
    /// When the waiting requests were last compared with the capacity.
    compared: Option<Instant>,
}

impl Line {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Decides about a request that is ready to be sent. If it takes the place of
    /// a less urgent one, `displaced` is called with the ticket of that and its
    /// refusal.
    pub fn enter(
        &mut self,
        settings: &Settings,
        conditions: &Conditions,
        request: Request,
        rng: &mut impl Rng,
        mut displaced: impl FnMut(u64, Refusal),
    ) -> Verdict {
        let conditions = &self.current(conditions);
        let Some(occupancy) = conditions.room.occupancy() else {
            // Without a server that is likely to work there is no room to wait for.
            return Verdict::Send;
        };
        let rank = request.rank;
        let first_rank = self.queue.first_rank();
        self.flow
            .earn(settings, conditions, first_rank.unwrap_or(rank));
        let limit = conditions.limits.get(rank);
        // The most urgent requests go up to their limit; others also need credit
        // when they come near theirs.
        let is_free = occupancy
            < if rank == 0 {
                limit
            } else {
                limit - settings.onset
            };
        let is_late = conditions.now > request.latest_start(conditions.typical);
        if is_late && !is_free {
            return Verdict::Refuse(self.refuse(settings, conditions, &request, rng));
        }
        let is_first = first_rank.is_none_or(|first| rank < first);
        if is_first && (is_free || (occupancy < limit && self.flow.has_credit())) {
            self.flow.spend(conditions, rank);
            return Verdict::Send;
        }
        let ahead = self.queue.ahead(&request) as f64;
        let expected = self.flow.wait(settings, conditions, rank, ahead);
        if conditions.now + expected.min(MAX_WAIT) > request.latest_start(conditions.typical) {
            return Verdict::Refuse(self.refuse(settings, conditions, &request, rng));
        }
        while self.queue.is_full(settings, request.bytes) {
            let Some((ticket, other)) = self.queue.take_less_urgent(rank) else {
                return Verdict::Refuse(self.refuse(settings, conditions, &request, rng));
            };
            displaced(ticket, self.refuse(settings, conditions, &other, rng));
        }
        if self.queue.is_empty() {
            self.flow.restart_aging();
        }
        Verdict::Wait(self.queue.push(request))
    }

    /// Removes a request whose caller has left, or that is served otherwise.
    pub fn leave(&mut self, ticket: u64) -> Option<Request> {
        self.queue.remove(ticket)
    }

    /// Decides about the waiting requests. Calls `decided` with the ticket of each one
    /// that is sent now, or with why it is refused.
    pub fn update(
        &mut self,
        settings: &Settings,
        conditions: &Conditions,
        rng: &mut impl Rng,
        mut decided: impl FnMut(u64, Result<(), Refusal>),
    ) {
        let conditions = &self.current(conditions);
        while let Some((ticket, request)) = self.queue.take_expired(conditions) {
            let refusal = self.refuse(settings, conditions, &request, rng);
            decided(ticket, Err(refusal));
        }
        let is_due = |at| conditions.now.saturating_duration_since(at) >= COMPARE_INTERVAL;
        if self.compared.is_none_or(is_due) {
            self.compared = Some(conditions.now);
            let wait = |rank, ahead| self.flow.wait(settings, conditions, rank, ahead);
            for (ticket, request) in self.queue.take_hopeless(conditions, wait) {
                let refusal = self.refuse(settings, conditions, &request, rng);
                decided(ticket, Err(refusal));
            }
        }
        let Some(rank) = self.queue.first_rank() else {
            return;
        };
        let Some(occupancy) = conditions.room.occupancy() else {
            while let Some((ticket, _)) = self.queue.take_next(conditions) {
                decided(ticket, Ok(()));
            }
            return;
        };
        self.flow.earn(settings, conditions, rank);
        // Nobody is sent while the servers' queues make the most urgent ones late.
        if occupancy >= conditions.limits.get(0) {
            return;
        }
        while !self.queue.is_empty() && self.flow.take_aging() {
            if let Some((ticket, request)) = self.queue.take_oldest() {
                self.flow.spend(conditions, request.rank);
                decided(ticket, Ok(()));
            }
        }
        while self.flow.has_credit()
            && let Some((ticket, request)) = self.queue.take_next(conditions)
        {
            self.flow.spend(conditions, request.rank);
            decided(ticket, Ok(()));
        }
    }

    /// Adds what this host has just sent to the requests in flight. Else a burst
    /// would be sent whole before its first request counts.
    fn current(&self, conditions: &Conditions) -> Conditions {
        let mut conditions = *conditions;
        conditions.room.in_use += self.flow.recent(conditions.now);
        conditions
    }

    /// Returns how long a refused request would have to wait and when its caller may
    /// return. Returns are spread over the time after the work that waits, at the rate
    /// of the capacity, as far as the callers' time allows.
    pub fn refuse(
        &mut self,
        settings: &Settings,
        conditions: &Conditions,
        request: &Request,
        rng: &mut impl Rng,
    ) -> Refusal {
        let now = conditions.now;
        let rank = request.rank;
        let ahead = self.queue.ahead(request) as f64;
        let expected = self.flow.wait(settings, conditions, rank, ahead);
        let expected = expected.min(MAX_WAIT);
        let one = self.flow.wait(settings, conditions, rank, 1.0);
        let longest = request
            .deadline
            .saturating_duration_since(now)
            .mul_f64(MAX_RETRY_RATIO);
        let behind = self
            .promised
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let mean = behind.max(expected) + one.min(MAX_WAIT);
        self.promised = Some(now + mean.min(longest));
        let mean = mean.max(conditions.typical.mul_f64(MIN_RETRY_RATIO));
        let mean = mean.min(longest.div_f64(1.0 + RETRY_SPREAD));
        let jitter = rng.random_range(1.0 - RETRY_SPREAD..1.0 + RETRY_SPREAD);
        Refusal {
            expected,
            retry_after: mean.mul_f64(jitter),
        }
    }
}
