//! One request of a caller: admission, attempts and the answer.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{
    availability::{Listing, Tally},
    selection,
};
use hyper::{Request, Response, header, http::request};
use rand::RngExt;
use smallvec::SmallVec;

use super::{
    answer::{self, Reason},
    attempt::{self, Ending},
    body::{Content, Failure, Payload, Received, Shortage},
    headers,
    pool::Pool,
};
use crate::{
    catalog::{Configuration, Instance, Route},
    host::{Host, rounded},
};

/// Timeout of a request whose caller gives no deadline, unless the timeout of
/// its route is shorter.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of backend servers that a request tries to connect to. A
/// failed connection costs time but does not count as an attempt.
const MAX_CONNECTS: usize = 6;

/// Retry timeout for a suspected backend server, relative to the typical
/// latency of the service.
const SUSPECT_TIMEOUT_RATIO: f64 = 2.5;

/// Retry timeout for any other backend server, relative to the typical latency
/// of the service.
const TIMEOUT_RATIO: f64 = 4.0;

/// Minimum share of failed attempts at which a service without repeatable
/// requests is explored. It is higher than the share of attempts that fail
/// because of exploring itself.
const EXPLORE_FAILURE_THRESHOLD: f64 = 0.07;

/// Share of the requests of an explored service that are used to explore.
const EXPLORE_RATIO: f64 = 0.1;

/// Maximum `retry-after` value of a refused request, relative to the time that
/// its caller has left. Callers don't wait for longer.
const MAX_RETRY_AFTER_RATIO: f64 = 1.0 / 3.0;

/// Counts a request as being served until this guard is dropped.
struct Serving<'a> {
    host: &'a Host,
    id: &'a str,
    is_done: bool,
}

impl<'a> Serving<'a> {
    fn new(host: &'a Host, id: &'a str) -> Self {
        host.serving.set(host.serving.get() + 1);
        Self {
            host,
            id,
            is_done: false,
        }
    }
}

impl Drop for Serving<'_> {
    fn drop(&mut self) {
        self.host.serving.set(self.host.serving.get() - 1);
        if !self.is_done {
            self.host.metrics.abandoned.increment();
            log::info!(event = "caller_left", request_id = self.id; "caller disconnected before the answer");
        }
    }
}

/// The backend server chosen for an attempt, with the basis of the choice for
/// the log.
struct Choice {
    instance: Instance,
    candidate: selection::Candidate,
    purpose: selection::Purpose,
    candidates: usize,
    tally: Tally,
}

/// An admitted request and the state of its attempts.
struct Admitted<'a> {
    host: &'a Rc<Host>,
    id: &'a str,
    head: &'a request::Parts,
    route: Arc<Route>,
    service: Arc<str>,
    version: u64,
    deadline: Instant,
    /// Whether the service has repeatable requests, which test its servers.
    is_tested: bool,
    /// Attempts that reached a backend server.
    sends: u32,
    /// Keys of the instances that a connection was attempted to.
    tried: SmallVec<[u64; 8]>,
}

/// Serves one request of a caller and returns its answer.
pub(super) async fn serve(host: Rc<Host>, request: Request<Received>) -> Response<Content> {
    let arrived = host.now();
    host.metrics.requests.increment();
    measure_lag(&host);
    let (head, body) = request.into_parts();
    let id = headers::text(&head.headers, host.settings.headers.request_id)
        .unwrap_or_default()
        .to_owned();
    let mut serving = Serving::new(&host, &id);
    let mut response = match admit(&host, &head, body, &id, arrived).await {
        Ok((admitted, body)) => admitted.run(Payload::Available(body), arrived).await,
        Err(reason) => {
            record_refusal(&host, &id, &head, reason);
            answer::build(reason, &id)
        }
    };
    serving.is_done = true;
    if host.is_stopping() {
        response.headers_mut().insert(
            header::CONNECTION,
            header::HeaderValue::from_static("close"),
        );
    }
    response
}

/// Measures how long a task waits to be scheduled, if that is due.
fn measure_lag(host: &Rc<Host>) {
    if host.lag.borrow_mut().begin(host.now()) {
        let host = Rc::clone(host);
        actix_rt::spawn(async move { host.lag.borrow_mut().end(host.now(), host.serving.get()) });
    }
}

/// Counts a refused request and logs it, subject to the rate limit.
fn record_refusal(host: &Host, id: &str, head: &request::Parts, reason: Reason) {
    host.metrics.refused.increment();
    let Some(left_out) = host.log_limits.failure.admit(host.now()) else {
        return;
    };
    log::info!(event = "refused", left_out = left_out, request_id = id, path = head.uri.path(), reason = reason.name(); "request refused");
}

/// Reads the body of a request, finds its route and chooses its service.
async fn admit<'a>(
    host: &'a Rc<Host>,
    head: &'a request::Parts,
    body: Received,
    id: &'a str,
    arrived: Instant,
) -> Result<(Admitted<'a>, Content), Reason> {
    let configuration = configuration(host)?;
    let max_bytes = configuration.limits.body_bytes;
    let timeout = match route(&configuration, head) {
        Ok(route) => deadline_after(host, head, route).unwrap_or(route.timeout),
        // The error is returned once the body has been read.
        Err(_) => DEFAULT_TIMEOUT,
    };
    if !host.can_serve_within(timeout) {
        return Err(Reason::Overloaded);
    }
    let margin = host.deadline_margin();
    let left = (arrived + timeout.saturating_sub(margin)).saturating_duration_since(host.now());
    let permit = host.memory.permit();
    let read = Content::read(body, max_bytes, permit, Shortage::Fail);
    let body = match tokio::time::timeout(left, read).await {
        Ok(Ok(body)) => body,
        Ok(Err(Failure::TooLarge)) => return Err(Reason::TooLarge),
        Ok(Err(Failure::NoMemory)) => {
            host.metrics.memory_refused.increment();
            return Err(Reason::NoMemory);
        }
        Ok(Err(Failure::Broken(_))) => return Err(Reason::BadRequest),
        Err(_) => return Err(Reason::Incomplete),
    };
    // The configuration may have changed while the body was read.
    let configuration = self::configuration(host)?;
    let route = route(&configuration, head)?;
    let deadline = arrived + deadline_after(host, head, route)?.saturating_sub(margin);
    if let Some(shutdown) = host.shutdown.get()
        && !shutdown.accepts(host.now(), deadline)
    {
        return Err(Reason::Stopping);
    }
    let mut admitted = Admitted {
        host,
        id,
        head,
        service: host.choose_service(route),
        deadline,
        route: Arc::clone(route),
        version: configuration.version,
        is_tested: false,
        sends: 0,
        tried: SmallVec::new(),
    };
    admitted.is_tested = route.repeatable || configuration.has_repeatable_route(&admitted.service);
    host.earn(&admitted.service);
    Ok((admitted, body))
}

/// Returns the route of a request.
fn route<'a>(
    configuration: &'a Configuration,
    head: &request::Parts,
) -> Result<&'a Arc<Route>, Reason> {
    let name = headers::text(&head.headers, header::HOST.as_str()).ok_or(Reason::BadRequest)?;
    configuration
        .route(host_name(name), head.uri.path())
        .ok_or(Reason::NoRoute)
}

/// Returns the time from the arrival of a request until its deadline, which its
/// caller or the timeout of its route sets.
fn deadline_after(host: &Host, head: &request::Parts, route: &Route) -> Result<Duration, Reason> {
    let left = match headers::text(&head.headers, host.settings.headers.deadline) {
        None => DEFAULT_TIMEOUT,
        Some(value) => Duration::from_millis(value.parse().map_err(|_| Reason::BadRequest)?),
    };
    Ok(left.min(route.timeout))
}

/// Returns the configuration in force once the catalog is complete.
fn configuration(host: &Host) -> Result<Arc<Configuration>, Reason> {
    let replica = host.replica.borrow();
    if !replica.catalog().is_complete() {
        return Err(Reason::NotReady);
    }
    replica.configuration().cloned().ok_or(Reason::NotReady)
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

/// Returns the host name in the value of a `Host` header, without the port.
fn host_name(value: &str) -> &str {
    value.split_once(':').map_or(value, |(name, _)| name)
}

impl Admitted<'_> {
    /// Runs the attempts, records the result and returns the answer.
    async fn run(mut self, mut payload: Payload, arrived: Instant) -> Response<Content> {
        let (response, result) = self.attempts(&mut payload).await;
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
        } else if let Some(left_out) = self.host.log_limits.failure.admit(self.host.now()) {
            log::info!(event = "request_failed", request_id = self.id, route = &*self.route.name, service = &*self.service,
                configuration = self.version, sends = self.sends, status = status, result = result,
                taken_ms = taken.as_millis() as u64, left_out = left_out; "request failed");
        }
        response
    }

    /// Makes attempts until one is answered without a server error or no other
    /// may follow. Returns the answer and the name of the result.
    async fn attempts(&mut self, payload: &mut Payload) -> (Response<Content>, &'static str) {
        let mut last: Option<(Response<Content>, &'static str)> = None;
        let mut refusal = Reason::NoUpstream;
        let mut resumes_at = None;
        let mut has_retry = false;
        for _ in 0..MAX_CONNECTS {
            let now = self.host.now();
            if now >= self.deadline {
                refusal = Reason::Expired;
                break;
            }
            if self.sends > 0 && !has_retry {
                has_retry = self.take_retry();
                if !has_retry {
                    break;
                }
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
            self.tried.push(choice.instance.key);
            let ending = self.attempt(&choice, payload).await;
            self.log_attempt(now, &choice, &ending);
            let has_arrived = !matches!(
                ending,
                Ending::NotRun {
                    has_arrived: false,
                    ..
                }
            );
            if has_arrived {
                self.sends += 1;
                has_retry = false;
                if self.sends > 1 {
                    self.host.metrics.repeats.increment();
                }
            }
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
                Ending::NotRun { reason, .. } => refusal = reason,
            }
            if self.sends >= self.route.attempts || !payload.is_available() {
                break;
            }
        }
        if has_retry {
            self.host.with_quota(&self.service, |quota| quota.refund());
        }
        last.unwrap_or_else(|| {
            let resumes_at = resumes_at.or_else(|| self.resumes_at());
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

    /// Logs the basis of the choice for an attempt and how the attempt ended.
    fn log_attempt(&self, chosen_at: Instant, choice: &Choice, ending: &Ending) {
        let now = self.host.now();
        let log_limits = &self.host.log_limits;
        let limiter = match ending {
            Ending::Answered(_) => &log_limits.success,
            _ => &log_limits.failure,
        };
        let Some(left_out) = limiter.admit(now) else {
            return;
        };
        let candidate = &choice.candidate;
        let list_age = self.host.replica.borrow().upstreams_age(chosen_at);
        log::info!(event = "attempt", request_id = self.id, number = self.tried.len(), upstream = &*choice.instance.upstream.id, address = choice.instance.upstream.address.to_string(),
            failing = rounded(candidate.outage_probability), in_use = candidate.in_use, pace = rounded(candidate.latency_ratio), near = candidate.is_same_zone,
            purpose = format!("{:?}", choice.purpose), candidates = choice.candidates, leaving = choice.tally.leaving, deferred = choice.tally.deferred, list_age_ms = list_age.map(|age| age.as_millis() as u64),
            configuration = self.version, left_ms = self.deadline.saturating_duration_since(now).as_millis() as u64,
            ending = ending.name(), taken_ms = now.saturating_duration_since(chosen_at).as_millis() as u64, left_out = left_out; "attempt ended");
    }

    async fn attempt(&self, choice: &Choice, payload: &mut Payload) -> Ending {
        let can_retry =
            || self.can_take_retry() && self.sends + 1 < self.route.attempts && self.has_untried();
        let context = attempt::Context {
            head: self.head,
            id: self.id,
            deadline: self.deadline,
            retry_timeout: self.retry_timeout(choice.candidate.outage_probability),
            can_retry: &can_retry,
        };
        attempt::run(self.host, &choice.instance, &context, payload).await
    }

    /// Returns whether a backend server that was not tried yet may get the request.
    fn has_untried(&self) -> bool {
        let now = self.host.now();
        let replica = self.host.replica.borrow();
        let evidence = self.host.evidence.borrow();
        replica.usable(now, &self.service).any(|instance| {
            !self.tried.contains(&instance.key)
                && evidence.check(now, instance.key, Listing::Ready).is_ok()
        })
    }

    /// Returns how long to wait for an answer before another backend server is
    /// tried; `None` if the request is not repeatable or the typical latency of
    /// the service is not known.
    fn retry_timeout(&self, outage_probability: f64) -> Option<Duration> {
        if !self.route.repeatable {
            return None;
        }
        let typical = self.host.evidence.borrow().typical_latency(&self.service)?;
        let is_suspect = outage_probability >= self.host.settings.selection.suspect_threshold;
        Some(typical.mul_f64(if is_suspect {
            SUSPECT_TIMEOUT_RATIO
        } else {
            TIMEOUT_RATIO
        }))
    }

    /// Returns whether this request should be used to find healthy servers that
    /// get no requests. Only a service without repeatable requests needs that,
    /// because nothing else tests its servers.
    fn should_explore(&self, failure_ratio: f64) -> bool {
        !self.route.repeatable
            && self.tried.is_empty()
            && failure_ratio >= EXPLORE_FAILURE_THRESHOLD
            && !self.is_tested
            && self.host.rng.borrow_mut().random_bool(EXPLORE_RATIO)
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

    /// Chooses the backend server for the next attempt. If there is none left to
    /// try, returns why the servers of the service get no request.
    fn choose(&self, now: Instant, kilobytes: f64) -> Result<Choice, Tally> {
        let replica = self.host.replica.borrow();
        let evidence = self.host.evidence.borrow();
        let pool = Pool::collect(self.host, &replica, &evidence, &self.service, &self.tried);
        let (instances, tally) = (pool.instances, pool.tally);
        let zone = &self.host.settings.availability_zone;
        let candidates: Vec<selection::Candidate> = instances
            .iter()
            .map(|instance| evidence.candidate(now, instance.key, &instance.upstream, zone))
            .collect();
        // Only the first connection of a request may test a suspected server;
        // after a failed one, the time left is needed to serve the request.
        let learn = self.route.repeatable && self.tried.is_empty() && self.route.attempts > 1;
        let typical = evidence.typical_latency(&self.service).unwrap_or_default();
        let purpose = if learn && self.can_take_retry() {
            selection::Purpose::Learn
        } else if self.should_explore(evidence.failure_ratio(&self.service)) {
            selection::Purpose::Explore
        } else {
            selection::Purpose::Serve
        };
        let request = selection::Request {
            relative_latency: typical.as_secs_f64() / self.route.objective.as_secs_f64().max(0.001),
            kilobytes,
            shed_ratio: evidence.shed_ratio(&self.service),
            purpose,
        };
        let position = selection::choose(
            &self.host.settings.selection,
            now,
            &candidates,
            &request,
            &mut *self.host.rng.borrow_mut(),
        )
        .ok_or(tally)?;
        Ok(Choice {
            instance: instances[position].clone(),
            candidate: candidates[position].clone(),
            purpose: request.purpose,
            candidates: candidates.len(),
            tally,
        })
    }
}
