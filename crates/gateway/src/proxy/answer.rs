//! Error answers that the daemon generates itself.
//!
//! Status 503, 408 and 429 promise that the request has not run and are used only if
//! that is certain. If the request may have run, the status is 502 or 504.

use std::time::Duration;

use hyper::{Response, StatusCode, header};
use rand::RngExt;
use serde_json::json;

use super::{authentication, body::Content};

/// Header that says whether the request has run: `not-run` or `unknown`.
const OUTCOME_HEADER: &str = "dotterelhinge-outcome";

/// Minimum of the `retry-after` value of a refused request, in seconds. The
/// value is random so that retries do not arrive in one burst.
const MIN_RETRY_AFTER_SECONDS: f64 = 0.2;

/// Maximum of the `retry-after` value, in seconds.
const MAX_RETRY_AFTER_SECONDS: f64 = 0.8;

/// Why the daemon generates the answer itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reason {
    /// The daemon has no complete catalog yet.
    NotReady,
    /// No route matches the host name and path.
    NoRoute,
    /// A required header is missing or invalid, or the body broke off.
    BadRequest,
    /// The caller did not identify itself as a customer.
    Unauthenticated(authentication::Error),
    /// The body is larger than allowed.
    TooLarge,
    /// The body was not received before the deadline.
    Incomplete,
    /// The host's processor is too busy to serve the request in time.
    Overloaded,
    /// The host has no memory left for the body.
    NoMemory,
    /// No backend server is usable.
    NoUpstream,
    /// No backend server was reached: the connection failed or ended before the
    /// request was sent, or another server responded at the address.
    Unreachable,
    /// Backend servers shed the request, and no retry is left.
    Shed,
    /// The deadline passed, or the chosen backend server became unusable, before
    /// the request was sent.
    Expired,
    /// The customer is over its limit until the given time has passed.
    RateLimited(Duration),
    /// The backend servers have no room for the request in time.
    Congested,
    /// The daemon is shutting down.
    Stopping,
    /// All backend servers that could run the request are leaving.
    Leaving,
    /// All backend servers that could run the request asked for time without
    /// requests.
    Deferred,
    /// A backend server did not answer in time.
    Silent,
    /// The answer of a backend server was incomplete or invalid.
    Broken,
}

impl Reason {
    /// Returns the name used in logs and answers.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not-ready",
            Self::NoRoute => "no-route",
            Self::BadRequest => "bad-request",
            Self::Unauthenticated(error) if error.is_malformed() => "malformed-authorization",
            Self::Unauthenticated(_) => "unauthenticated",
            Self::TooLarge => "too-large",
            Self::Incomplete => "incomplete",
            Self::Overloaded => "overloaded",
            Self::NoMemory => "no-memory",
            Self::NoUpstream => "no-upstream",
            Self::Unreachable => "connect-failed",
            Self::Shed => "upstream-shed",
            Self::Expired => "deadline",
            Self::RateLimited(_) => "rate-limited",
            Self::Congested => "congested",
            Self::Stopping => "stopping",
            Self::Leaving => "upstream-leaving",
            Self::Deferred => "upstream-deferred",
            Self::Silent => "upstream-silent",
            Self::Broken => "broken-answer",
        }
    }

    /// Returns a detail of the reason for the log, which its caller is not told.
    pub(super) fn detail(self) -> Option<&'static str> {
        match self {
            Self::Unauthenticated(error) => Some(error.name()),
            _ => None,
        }
    }

    /// Returns whether the request has certainly not run.
    pub(super) fn has_not_run(self) -> bool {
        !matches!(self, Self::Silent | Self::Broken)
    }

    fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::Unauthenticated(error) if error.is_malformed() => StatusCode::BAD_REQUEST,
            Self::Unauthenticated(_) => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Incomplete => StatusCode::REQUEST_TIMEOUT,
            Self::RateLimited(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::Silent => StatusCode::GATEWAY_TIMEOUT,
            Self::Broken => StatusCode::BAD_GATEWAY,
            Self::NotReady
            | Self::Overloaded
            | Self::NoMemory
            | Self::NoUpstream
            | Self::Unreachable
            | Self::Shed
            | Self::Expired
            | Self::Congested
            | Self::Stopping
            | Self::Leaving
            | Self::Deferred => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Builds the answer to a request that failed for `reason`.
pub(super) fn build(reason: Reason, request_id: &str) -> Response<Content> {
    let status = reason.status();
    let outcome = if reason.has_not_run() {
        "not-run"
    } else {
        "unknown"
    };
    let document = json!({
        "type": format!("urn:dotterelhinge:problem:{}", reason.name()),
        "title": reason.name(),
        "status": status.as_u16(),
        "outcome": outcome,
        "request_id": request_id,
    });
    let mut response = Response::new(Content::full(document.to_string()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/problem+json"),
    );
    headers.insert(OUTCOME_HEADER, header::HeaderValue::from_static(outcome));
    if status == StatusCode::UNAUTHORIZED {
        headers.insert(
            header::WWW_AUTHENTICATE,
            header::HeaderValue::from_static("Bearer"),
        );
    }
    if let Reason::RateLimited(time) = reason {
        set_retry_after(&mut response, time);
    } else if status == StatusCode::SERVICE_UNAVAILABLE {
        let seconds = rand::rng().random_range(MIN_RETRY_AFTER_SECONDS..MAX_RETRY_AFTER_SECONDS);
        set_retry_after(&mut response, Duration::from_secs_f64(seconds));
    }
    response
}

/// Sets the time after which the caller of a refused request may return, rounded
/// up to 10 ms.
pub(super) fn set_retry_after(response: &mut Response<Content>, time: Duration) {
    let seconds = (time.as_secs_f64() * 100.0).ceil() / 100.0;
    if let Ok(value) = header::HeaderValue::from_str(&format!("{seconds:.2}")) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
}
