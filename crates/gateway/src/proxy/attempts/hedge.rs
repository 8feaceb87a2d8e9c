//! One attempt, and a second one beside it if the first is late.
//!
//! `policy::hedging` decides when the second one starts. At most two run at a time.
//! The first that is answered without a server error ends the other, whose
//! connection closes as its future is dropped. If one fails, the other goes on.

use std::{
    pin::pin,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{availability::Listing, hedging};
use futures_util::future::{self, Either};

use super::{Admitted, MAX_CONNECTS, choice::Choice};
use crate::{
    host::rounded,
    logging,
    proxy::{
        answer::Reason,
        attempt::{self, Ending},
        body::Payload,
        pool::Pool,
    },
};

/// Interval at which a second attempt that is due is considered again, while the
/// service is overloaded or the retry budget is used up. Each time up to 256 servers
/// are looked at.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An attempt that has begun.
struct Running {
    choice: Choice,
    /// Number among the attempts of the request, from 1.
    number: usize,
    began: Instant,
    is_hedge: bool,
    progress: attempt::Progress,
}

/// What follows when a second attempt was considered.
enum Step {
    /// It is considered again later.
    Wait,
    /// The first one is given up, since the service has no room for both. The retry
    /// is the same as after a failure.
    Replace,
    /// The second one runs beside the first.
    Hedge(Box<Running>),
}

/// Returns the result of a request of which two attempts have ended, neither with
/// an answer: what a server said itself before a guess, and a request that has
/// certainly not run on one server may have run on the other.
fn merge(one: Ending, other: Ending) -> Ending {
    let rank = |ending: &Ending| match ending {
        Ending::Answered(_) => 0,
        Ending::Failed(_) => 1,
        Ending::Unknown(_) => 2,
        Ending::NotRun { .. } => 3,
    };
    if rank(&other) < rank(&one) {
        other
    } else {
        one
    }
}

async fn pause(time: Option<Duration>) {
    match time {
        Some(time) => tokio::time::sleep(time).await,
        None => future::pending().await,
    }
}

impl<'a> Admitted<'a> {
    /// Makes an attempt on `choice`, and a second one beside it if that is due.
    pub(super) async fn attempt(&mut self, choice: Choice, payload: &mut Payload) -> Ending {
        let host = self.host;
        let first = self.begin(choice, false);
        let context = self.context(&first.progress);
        let instance = &first.choice.instance;
        let mut running = pin!(attempt::run(host, instance, &context, payload.lend()));
        loop {
            let time = self.time_to_hedge(&first, payload);
            tokio::select! {
                biased;
                (ending, lent) = running.as_mut() => {
                    payload.give_back(lent);
                    self.conclude(&first, &ending);
                    return ending;
                }
                () = pause(time) => {}
            }
            let second = match self.next_step(&first, payload) {
                Step::Wait => continue,
                Step::Replace => {
                    let ending = Ending::Unknown(Reason::Silent);
                    attempt::record_silent(host, &first.choice.instance, &first.progress);
                    self.conclude(&first, &ending);
                    return ending;
                }
                Step::Hedge(second) => second,
            };
            let context = self.context(&second.progress);
            let instance = &second.choice.instance;
            let hedge = pin!(attempt::run(host, instance, &context, payload.lend()));
            match future::select(running.as_mut(), hedge).await {
                Either::Left(((ending, _), hedge)) => {
                    self.conclude(&first, &ending);
                    if matches!(ending, Ending::Answered(_)) {
                        self.cancel(&second);
                        return ending;
                    }
                    let (last, _) = hedge.await;
                    self.conclude(&second, &last);
                    return merge(ending, last);
                }
                Either::Right(((ending, _), _)) => {
                    self.conclude(&second, &ending);
                    match ending {
                        Ending::Answered(_) => {
                            self.cancel(&first);
                            return ending;
                        }
                        // Another server may be tried beside the first.
                        Ending::NotRun { .. } => {}
                        Ending::Failed(_) | Ending::Unknown(_) => {
                            let (last, _) = running.await;
                            self.conclude(&first, &last);
                            return merge(ending, last);
                        }
                    }
                }
            }
        }
    }

    fn begin(&mut self, choice: Choice, is_hedge: bool) -> Running {
        self.tried.push(choice.instance.key);
        Running {
            choice,
            number: self.tried.len(),
            began: self.host.now(),
            is_hedge,
            progress: attempt::Progress::default(),
        }
    }

    fn context<'b>(&self, progress: &'b attempt::Progress) -> attempt::Context<'b>
    where
        'a: 'b,
    {
        attempt::Context {
            head: self.head,
            id: self.id,
            customer: self.customer.clone(),
            has_customers: self.has_customers,
            deadline: self.deadline,
            progress,
        }
    }

    /// Returns whether another attempt may follow beside the one that runs.
    fn may_hedge(&self, payload: &Payload) -> bool {
        self.route.repeatable
            && payload.is_available()
            && self.sends + 1 < self.route.attempts
            && self.tried.len() < MAX_CONNECTS
    }

    /// Returns the time until a second attempt beside `first` is considered; `None`
    /// if there will be none.
    fn time_to_hedge(&self, first: &Running, payload: &Payload) -> Option<Duration> {
        if !self.may_hedge(payload) {
            return None;
        }
        let now = self.host.now();
        let sent_at = first.progress.sent_at().unwrap_or(now);
        let attempt = self.late_attempt(first, sent_at)?;
        let settings = &self.host.settings.hedging;
        let elapsed = now.saturating_duration_since(sent_at);
        let left = attempt.hedge_age(settings)?.saturating_sub(elapsed);
        if !left.is_zero() {
            return Some(left);
        }
        (elapsed <= attempt.last_hedge_age(settings)).then_some(RECHECK_INTERVAL)
    }

    /// Returns the first attempt, sent at `sent_at`, as the policy sees it; `None`
    /// while the typical latency of the service is not known.
    fn late_attempt(&self, first: &Running, sent_at: Instant) -> Option<hedging::Attempt> {
        let suspect_threshold = self.host.settings.selection.suspect_threshold;
        Some(hedging::Attempt {
            typical: self.host.evidence.borrow().typical_latency(&self.service)?,
            is_suspect: first.choice.candidate.outage_probability >= suspect_threshold,
            left: self.deadline.saturating_duration_since(sent_at),
        })
    }

    /// Decides whether a second attempt follows now, and begins one beside `first` if
    /// the service has room for it and the retry budget allows it.
    fn next_step(&mut self, first: &Running, payload: &Payload) -> Step {
        let now = self.host.now();
        let settings = &self.host.settings.hedging;
        let Some(sent_at) = first.progress.sent_at() else {
            return Step::Wait;
        };
        let Some(attempt) = self.late_attempt(first, sent_at) else {
            return Step::Wait;
        };
        let elapsed = now.saturating_duration_since(sent_at);
        let is_due = attempt
            .hedge_age(settings)
            .is_some_and(|age| elapsed >= age)
            && elapsed <= attempt.last_hedge_age(settings);
        if !is_due || !self.can_take_retry() {
            return Step::Wait;
        }
        let load = self.load();
        if !load.allows_hedges(settings) {
            let is_late = elapsed >= attempt.replacement_age(settings);
            return if is_late && load.slots > 0.0 {
                Step::Replace
            } else {
                Step::Wait
            };
        }
        if !self.take_retry() {
            return Step::Wait;
        }
        let Ok(choice) = self.choose(now, payload.kilobytes()) else {
            self.refund_retry();
            return Step::Wait;
        };
        self.host.metrics.hedges.increment();
        Step::Hedge(Box::new(self.begin(choice, true)))
    }

    /// Returns the load of the available servers that were not tried.
    fn load(&self) -> hedging::Load {
        let now = self.host.now();
        let replica = self.host.replica.borrow();
        let evidence = self.host.evidence.borrow();
        let pool = Pool::collect(self.host, &replica, &evidence, &self.service, &self.tried);
        let zone = &self.host.settings.availability_zone;
        let mut load = hedging::Load {
            shed_ratio: evidence.shed_ratio(&self.service),
            in_use: 0.0,
            slots: 0.0,
        };
        for instance in pool.instances {
            // Servers of last resort are no room for a second attempt.
            if evidence.check(now, instance.key, Listing::Ready).is_ok() {
                let candidate = evidence.candidate(now, instance.key, &instance.upstream, zone);
                load.in_use += candidate.in_use;
                load.slots += candidate.slots;
            }
        }
        load
    }

    /// Counts and logs an attempt that has ended by itself.
    fn conclude(&mut self, running: &Running, ending: &Ending) {
        let has_arrived = !matches!(
            ending,
            Ending::NotRun {
                has_arrived: false,
                ..
            }
        );
        self.count(running, has_arrived);
        let limiter = match ending {
            Ending::Answered(_) => &self.host.log_limits.success,
            _ => &self.host.log_limits.failure,
        };
        self.log_attempt(running, limiter, ending.name());
        if running.is_hedge && matches!(ending, Ending::Answered(_)) {
            self.host.metrics.hedge_wins.increment();
        }
    }

    /// Counts and logs an attempt that is cancelled as the other was answered.
    fn cancel(&mut self, running: &Running) {
        self.count(running, running.progress.sent_at().is_some());
        attempt::record_cancelled(self.host, &running.choice.instance, &running.progress);
        self.log_attempt(running, &self.host.log_limits.success, "cancelled");
        self.host.metrics.hedges_cancelled.increment();
    }

    /// Counts an attempt. A second one that reached no server costs no token.
    fn count(&mut self, running: &Running, has_arrived: bool) {
        if has_arrived {
            self.sends += 1;
            if self.sends > 1 {
                self.host.metrics.repeats.increment();
            }
        } else if running.is_hedge {
            self.refund_retry();
        }
    }

    /// Logs the basis of the choice for an attempt and how the attempt ended.
    fn log_attempt(&self, running: &Running, limiter: &logging::Limiter, ending: &str) {
        let now = self.host.now();
        let Some(left_out) = limiter.admit(now) else {
            return;
        };
        let choice = &running.choice;
        let candidate = &choice.candidate;
        let list_age = self.host.replica.borrow().upstreams_age(running.began);
        log::info!(event = "attempt", request_id = self.id, number = running.number, hedge = running.is_hedge, upstream = &*choice.instance.upstream.id, address = choice.instance.upstream.address.to_string(),
            failing = rounded(candidate.outage_probability), in_use = candidate.in_use, pace = rounded(candidate.latency_ratio), near = candidate.is_same_zone, zone_load = rounded(choice.load.own), other_load = rounded(choice.load.others),
            purpose = format!("{:?}", choice.purpose), candidates = choice.candidates, leaving = choice.tally.leaving, deferred = choice.tally.deferred, list_age_ms = list_age.map(|age| age.as_millis() as u64),
            configuration = self.version, left_ms = self.deadline.saturating_duration_since(now).as_millis() as u64,
            ending = ending, taken_ms = now.saturating_duration_since(running.began).as_millis() as u64, left_out = left_out; "attempt ended");
    }
}
