//! One request of a caller: admission, attempts, and its only answer.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::selection;
use hyper::{Request, Response, body::Incoming, header, http::request};
use rand::RngExt;
use smallvec::SmallVec;

use super::{
    answer::{self, Reason},
    attempt::{self, Ending},
    body::{Content, Failure},
    headers,
};
use crate::{
    catalog::{Configuration, Instance, Route},
    host::{Host, rounded},
};

/// Time that a request may take if its caller names none and its route allows
/// it.
const DEADLINE: Duration = Duration::from_secs(30);

/// Backend servers that a request tries to connect to at most. A failed
/// connection costs time and no attempt.
const CONNECTIONS: usize = 6;

/// Patience with a backend server in doubt, relative to the usual time.
const PATIENCE_DOUBT: f64 = 2.5;

/// Patience with any other backend server, relative to the usual time.
const PATIENCE: f64 = 4.0;

/// Share of a host's grace time after which new requests are refused, so that
/// those before can end.
const STOP_REFUSES: f64 = 0.55;

/// Share of lost attempts from which a service without repeatable requests is
/// explored. It lies above what exploring itself loses.
const EXPLORE_LOST: f64 = 0.07;

/// Share of the requests that explore.
const EXPLORE_SHARE: f64 = 0.1;

/// Counts a request as being served while it lives.
struct Serving<'a> {
    host: &'a Host,
    id: &'a str,
    done: bool,
}

impl<'a> Serving<'a> {
    fn new(host: &'a Host, id: &'a str) -> Self {
        host.serving.set(host.serving.get() + 1);
        Self {
            host,
            id,
            done: false,
        }
    }
}

impl Drop for Serving<'_> {
    fn drop(&mut self) {
        self.host.serving.set(self.host.serving.get() - 1);
        if !self.done {
            self.host.metrics.abandoned.increment();
            log::info!(event = "caller_left", request_id = self.id; "caller left before its answer");
        }
    }
}

/// The backend server of one attempt, and what it was chosen on.
struct Choice {
    instance: Instance,
    candidate: selection::Candidate,
    purpose: selection::Purpose,
    candidates: usize,
}

/// What the decisions about one request need.
struct Exchange<'a> {
    host: &'a Host,
    id: &'a str,
    head: &'a request::Parts,
    route: Arc<Route>,
    service: Arc<str>,
    version: u64,
    deadline: Instant,
    /// Whether repeatable requests test the servers of the service.
    tested: bool,
    sends: u32,
    tried: SmallVec<[u64; 8]>,
}

/// Serves one request of a caller.
pub(super) async fn serve(host: Rc<Host>, request: Request<Incoming>) -> Response<Content> {
    let arrived = host.now();
    host.metrics.requests.increment();
    let (head, body) = request.into_parts();
    let id = headers::text(&head.headers, host.settings.headers.request_id)
        .unwrap_or_default()
        .to_owned();
    let mut serving = Serving::new(&host, &id);
    let mut response = match admit(&host, &head, body, &id, arrived).await {
        Ok((exchange, body)) => exchange.run(body, arrived).await,
        Err(reason) => {
            log_refusal(&host, &id, &head, reason);
            answer::make(reason, &id)
        }
    };
    serving.done = true;
    if host.stopping.get() {
        response.headers_mut().insert(
            header::CONNECTION,
            header::HeaderValue::from_static("close"),
        );
    }
    response
}

fn log_refusal(host: &Host, id: &str, head: &request::Parts, reason: Reason) {
    host.metrics.refused.increment();
    let Some(left_out) = host.log_limits.failure.admit(host.now()) else {
        return;
    };
    log::info!(event = "refused", left_out = left_out, request_id = id, path = head.uri.path(), reason = reason.name(); "request refused");
}

/// Finds the route of a request and takes its body in.
async fn admit<'a>(
    host: &'a Host,
    head: &'a request::Parts,
    body: Incoming,
    id: &'a str,
    arrived: Instant,
) -> Result<(Exchange<'a>, Content), Reason> {
    let configuration = configuration(host)?;
    let limit = configuration.limits.body_bytes;
    let taken = Content::take(body, limit).await;
    if refuses_at_stop(host) {
        return Err(Reason::Stopping);
    }
    let body = match taken {
        Ok(body) => body,
        Err(Failure::TooLarge) => return Err(Reason::TooLarge),
        Err(Failure::Broken(_)) => return Err(Reason::BadRequest),
    };
    // The configuration may have changed while the body came in.
    let configuration = self::configuration(host)?;
    let name = headers::text(&head.headers, header::HOST.as_str()).ok_or(Reason::BadRequest)?;
    let route = configuration
        .route(host_name(name), head.uri.path())
        .ok_or(Reason::NoRoute)?;
    let left = match headers::text(&head.headers, host.settings.headers.deadline) {
        None => DEADLINE,
        Some(value) => Duration::from_millis(value.parse().map_err(|_| Reason::BadRequest)?),
    };
    let mut exchange = Exchange {
        host,
        id,
        head,
        service: host.choose_service(route),
        deadline: arrived + left.min(route.timeout),
        route: Arc::clone(route),
        version: configuration.version,
        tested: false,
        sends: 0,
        tried: SmallVec::new(),
    };
    exchange.tested = route.repeatable || configuration.has_repeatable_route(&exchange.service);
    host.earn(&exchange.service);
    Ok((exchange, body))
}

fn configuration(host: &Host) -> Result<Arc<Configuration>, Reason> {
    let replica = host.replica.borrow();
    if !replica.catalog().is_complete() {
        return Err(Reason::NotReady);
    }
    replica.configuration().cloned().ok_or(Reason::NotReady)
}

/// Host name of a `Host` header, without its port.
fn host_name(value: &str) -> &str {
    value.split_once(':').map_or(value, |(name, _)| name)
}

/// Whether a planned stop is so near that a new request might not end.
fn refuses_at_stop(host: &Host) -> bool {
    host.stopping_since.get().is_some_and(|since| {
        host.now() >= since + host.reloadable().grace_period.mul_f64(STOP_REFUSES)
    })
}

impl Exchange<'_> {
    async fn run(mut self, mut body: Content, arrived: Instant) -> Response<Content> {
        let (response, result) = self.attempts(&mut body).await;
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

    async fn attempts(&mut self, body: &mut Content) -> (Response<Content>, &'static str) {
        let mut last: Option<(Response<Content>, &'static str)> = None;
        let mut refusal = Reason::NoUpstream;
        let mut paid = false;
        for _ in 0..CONNECTIONS {
            let now = self.host.now();
            if now >= self.deadline {
                refusal = Reason::Expired;
                break;
            }
            if self.sends > 0 && !paid {
                paid = self.pay();
                if !paid {
                    break;
                }
            }
            let Some(choice) = self.choose(now, body.kilobytes()) else {
                break;
            };
            self.tried.push(choice.instance.key);
            let whole = body.is_whole();
            let ending = self.attempt(&choice, body).await;
            self.log_attempt(now, &choice, &ending);
            let arrived = !matches!(ending, Ending::NotRun { arrived: false, .. });
            if arrived {
                self.sends += 1;
                paid = false;
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
                    last = Some((answer::make(reason, self.id), reason.name()));
                    if !self.route.repeatable {
                        break;
                    }
                }
                Ending::NotRun { reason, .. } => refusal = reason,
            }
            if self.sends >= self.route.attempts || (arrived && !whole) {
                break;
            }
        }
        if paid {
            self.host.with_quota(&self.service, |quota| quota.refund());
        }
        last.unwrap_or_else(|| {
            self.host.metrics.refused.increment();
            (answer::make(refusal, self.id), refusal.name())
        })
    }

    /// Logs what an attempt was decided on and how it ended.
    fn log_attempt(&self, chosen_at: Instant, choice: &Choice, ending: &Ending) {
        let now = self.host.now();
        let log_limits = &self.host.log_limits;
        let cap = match ending {
            Ending::Answered(_) => &log_limits.success,
            _ => &log_limits.failure,
        };
        let Some(left_out) = cap.admit(now) else {
            return;
        };
        let candidate = &choice.candidate;
        let list_age = self.host.replica.borrow().upstreams_age(chosen_at);
        log::info!(event = "attempt", request_id = self.id, number = self.tried.len(), upstream = &*choice.instance.upstream.id, address = choice.instance.upstream.address.to_string(),
            failing = rounded(candidate.outage_probability), in_use = candidate.in_use, pace = rounded(candidate.latency_ratio), near = candidate.is_same_zone,
            purpose = format!("{:?}", choice.purpose), candidates = choice.candidates, list_age_ms = list_age.map(|age| age.as_millis() as u64),
            configuration = self.version, left_ms = self.deadline.saturating_duration_since(now).as_millis() as u64,
            ending = ending.name(), taken_ms = now.saturating_duration_since(chosen_at).as_millis() as u64, left_out = left_out; "attempt ended");
    }

    async fn attempt(&self, choice: &Choice, body: &mut Content) -> Ending {
        let another = || self.affords() && self.sends + 1 < self.route.attempts;
        let order = attempt::Order {
            head: self.head,
            id: self.id,
            deadline: self.deadline,
            patience: self.patience(choice.candidate.outage_probability),
            another: &another,
        };
        attempt::run(self.host, &choice.instance, &order, body).await
    }

    /// How long to wait for a backend server before another one is tried. Only
    /// repeatable requests have that choice.
    fn patience(&self, failing: f64) -> Option<Duration> {
        if !self.route.repeatable {
            return None;
        }
        let usual = self.host.evidence.borrow().typical_latency(&self.service)?;
        let doubted = failing >= self.host.settings.selection.suspect_threshold;
        Some(usual.mul_f64(if doubted { PATIENCE_DOUBT } else { PATIENCE }))
    }

    /// Whether this request looks for sound servers that nobody uses. Only a
    /// service without repeatable requests needs that: nothing else tests its
    /// servers.
    fn explores(&self, lost: f64) -> bool {
        !self.route.repeatable
            && self.tried.is_empty()
            && lost >= EXPLORE_LOST
            && !self.tested
            && self.host.rng.borrow_mut().random_bool(EXPLORE_SHARE)
    }

    fn affords(&self) -> bool {
        self.host
            .with_quota(&self.service, |quota| quota.has_token())
            .unwrap_or(false)
    }

    fn pay(&self) -> bool {
        self.host
            .with_quota(&self.service, |quota| quota.take())
            .unwrap_or(false)
    }

    /// The backend server for the next attempt.
    fn choose(&self, now: Instant, kilobytes: f64) -> Option<Choice> {
        let replica = self.host.replica.borrow();
        let evidence = self.host.evidence.borrow();
        let untried = replica
            .usable(now, &self.service)
            .filter(|instance| !self.tried.contains(&instance.key));
        let (reachable, others): (Vec<_>, Vec<_>) =
            untried.partition(|instance| !evidence.is_avoided(now, instance.key));
        let instances = if reachable.is_empty() {
            others
        } else {
            reachable
        };
        let zone = &self.host.settings.availability_zone;
        let candidates: Vec<selection::Candidate> = instances
            .iter()
            .map(|instance| evidence.candidate(now, instance.key, &instance.upstream, zone))
            .collect();
        // After a failed connection the time left belongs to the request.
        let learn = self.route.repeatable && self.tried.is_empty() && self.route.attempts > 1;
        let usual = evidence.typical_latency(&self.service).unwrap_or_default();
        let purpose = if learn && self.affords() {
            selection::Purpose::Learn
        } else if self.explores(evidence.failure_ratio(&self.service)) {
            selection::Purpose::Explore
        } else {
            selection::Purpose::Serve
        };
        let request = selection::Request {
            relative_latency: usual.as_secs_f64() / self.route.objective.as_secs_f64().max(0.001),
            kilobytes,
            purpose,
        };
        let position = selection::choose(
            &self.host.settings.selection,
            now,
            &candidates,
            &request,
            &mut *self.host.rng.borrow_mut(),
        )?;
        Some(Choice {
            instance: instances[position].clone(),
            candidate: candidates[position].clone(),
            purpose: request.purpose,
            candidates: candidates.len(),
        })
    }
}
