//! The attempts of an admitted request, until one is answered or no other may
//! follow.

mod choice;
mod hedge;

use std::{rc::Rc, sync::Arc, time::Instant};

use dotterelhinge_policy::availability::Tally;
use hyper::{Response, http::request};
use smallvec::SmallVec;

use super::{
    answer::{self, Reason},
    attempt::Ending,
    body::{Content, Payload},
    pool::Pool,
};
use crate::{
    catalog::{Route, customer::Customer},
    host::Host,
};

/// Maximum number of backend servers that a request tries to connect to. A
/// failed connection costs time but does not count as an attempt.
const MAX_CONNECTS: usize = 6;

/// Maximum `retry-after` value of a refused request, relative to the time that
/// its caller has left. Callers don't wait for longer.
const MAX_RETRY_AFTER_RATIO: f64 = 1.0 / 3.0;

/// An admitted request and the state of its attempts.
pub(super) struct Admitted<'a> {
    pub host: &'a Rc<Host>,
    pub id: &'a str,
    pub head: &'a request::Parts,
    pub route: Arc<Route>,
    pub service: Arc<str>,
    pub version: u64,
    pub deadline: Instant,
    /// The customer who sent the request; `None` on a public route or if requests
    /// need no key.
    pub customer: Option<Arc<Customer>>,
    /// Whether the configuration lists customers, if only an empty list.
    pub has_customers: bool,
    /// Whether the service has repeatable requests, which test its servers.
    pub is_tested: bool,
    /// Attempts that reached a backend server.
    pub sends: u32,
    /// Keys of the instances that a connection was attempted to.
    pub tried: SmallVec<[u64; 8]>,
}

/// Returns why no backend server can be chosen for a request that has tried none.
fn no_choice(tally: &Tally) -> Reason {
    if tally.resumes_at().is_some() {
        Reason::Deferred
    } else if tally.leaving > 0 {
        Reason::Leaving
    } else {
        Reason::NoUpstream
    }
}

impl Admitted<'_> {
    /// Returns the priority of the request: its customer's or else its route's.
    pub(super) fn priority(&self) -> u8 {
        let customer = self.customer.as_ref();
        customer
            .and_then(|customer| customer.priority)
            .unwrap_or(self.route.priority)
    }

    /// Runs the attempts, records the result and returns the answer.
    pub(super) async fn run(mut self, mut payload: Payload, arrived: Instant) -> Response<Content> {
        let (response, result) = self.attempts(&mut payload, arrived).await;
        let taken = self.host.now().saturating_duration_since(arrived);
        let status = response.status().as_u16();
        if result == "answered" {
            let kind = if self.route.repeatable {
                "repeatable"
            } else {
                "once"
            };
            let class = format!("{}/{kind}", self.service);
            self.host.metrics.record_answer(&Arc::from(class), taken);
        } else if result != Reason::Congested.name()
            && let Some(left_out) = self.host.log_limits.failure.admit(self.host.now())
        {
            // The queue has logged what it refused.
            let customer = self.customer.as_ref().map(|customer| &*customer.name);
            log::info!(event = "request_failed", request_id = self.id, customer = customer, priority = self.priority(), route = &*self.route.name, service = &*self.service,
                configuration = self.version, sends = self.sends, status = status, result = result,
                taken_ms = taken.as_millis() as u64, left_out = left_out; "request failed");
        }
        response
    }

    /// Makes attempts until one is answered without a server error or no other
    /// may follow. Returns the answer and the name of the result.
    async fn attempts(
        &mut self,
        payload: &mut Payload,
        arrived: Instant,
    ) -> (Response<Content>, &'static str) {
        let mut last: Option<(Response<Content>, &'static str)> = None;
        let mut refusal = Reason::NoUpstream;
        let mut resumes_at = None;
        let mut has_retry = false;
        let mut must_wait = true;
        let mut return_time = None;
        for _ in 0..MAX_CONNECTS {
            if self.sends > 0 && !has_retry {
                has_retry = self.take_retry();
                if !has_retry {
                    break;
                }
            }
            if must_wait && let Err(refused) = self.wait(arrived, payload.kilobytes()).await {
                refusal = refused.reason;
                return_time = refused.refusal.map(|it| it.retry_after);
                break;
            }
            let now = self.host.now();
            if now >= self.deadline {
                refusal = Reason::Expired;
                break;
            }
            let choice = match self.choose(now, payload.kilobytes()) {
                Ok(choice) => choice,
                Err(tally) => {
                    resumes_at = tally.resumes_at();
                    if self.tried.is_empty() {
                        refusal = no_choice(&tally);
                    }
                    break;
                }
            };
            let sends = self.sends;
            let ending = self.attempt(choice, payload).await;
            if self.sends > sends {
                has_retry = false;
            }
            must_wait = false;
            match ending {
                Ending::Answered(response) => return (response, "answered"),
                Ending::Failed(response) => {
                    last = Some((response, "upstream-failed"));
                    if !self.route.repeatable {
                        break;
                    }
                }
                Ending::Unknown(reason) => {
                    last = Some((answer::build(reason, self.id), reason.name()));
                    if !self.route.repeatable {
                        break;
                    }
                }
                Ending::NotRun { reason, .. } => {
                    refusal = reason;
                    must_wait = reason == Reason::Shed && last.is_none();
                }
            }
            if self.sends >= self.route.attempts || !payload.is_available() {
                break;
            }
        }
        if has_retry {
            self.refund_retry();
        }
        last.unwrap_or_else(|| {
            if refusal == Reason::Shed {
                return_time = self.return_time(arrived);
            }
            let resumes_at = return_time
                .map(|time| self.host.now() + time)
                .or(resumes_at)
                .or_else(|| self.resumes_at());
            (self.refuse(refusal, resumes_at), refusal.name())
        })
    }

    /// Returns when the service may get a request again, if all of its servers that
    /// remain asked for time, possibly in answers to this request.
    fn resumes_at(&self) -> Option<Instant> {
        let replica = self.host.replica.borrow();
        let evidence = self.host.evidence.borrow();
        let pool = Pool::collect(self.host, &replica, &evidence, &self.service, &[]);
        pool.tally.resumes_at()
    }

    /// Builds the answer to a request that has not run. If no backend server
    /// wants a request before `resumes_at`, the caller returns then.
    fn refuse(&self, reason: Reason, resumes_at: Option<Instant>) -> Response<Content> {
        self.host.metrics.refused.increment();
        let mut response = answer::build(reason, self.id);
        if let Some(resumes_at) = resumes_at {
            let now = self.host.now();
            let left = self.deadline.saturating_duration_since(now);
            let time = resumes_at.saturating_duration_since(now);
            let time = time.min(left.mul_f64(MAX_RETRY_AFTER_RATIO));
            answer::set_retry_after(&mut response, time);
        }
        response
    }

    /// Returns whether the retry budget allows a retry now.
    fn can_take_retry(&self) -> bool {
        self.host
            .with_quota(&self.service, |quota| quota.has_token())
            .unwrap_or(false)
    }

    /// Takes a retry from the retry budget. Returns whether there was one.
    fn take_retry(&self) -> bool {
        self.host
            .with_quota(&self.service, |quota| quota.take())
            .unwrap_or(false)
    }

    /// Returns a retry that reached no backend server to the retry budget.
    fn refund_retry(&self) {
        self.host.with_quota(&self.service, |quota| quota.refund());
    }
}
