//! Answers that the daemon makes itself.
//!
//! A status that promises that the request has not run (503) is used only if
//! that is certain. Everything else ends with 502 or 504, which promise
//! nothing.

use hyper::{Response, StatusCode, header};
use rand::RngExt;
use serde_json::json;

use super::body::Content;

/// Header with `not-run` or `unknown`.
const OUTCOME: &str = "dotterelhinge-outcome";

/// Shortest time after which a refused caller is asked to come back, in
/// seconds. Spreading the returns keeps them from arriving as one burst.
const RETURN_FROM: f64 = 0.2;

/// Longest such time, in seconds.
const RETURN_TO: f64 = 0.8;

/// Why the daemon answers by itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reason {
    /// The daemon holds no catalog yet.
    NotReady,
    /// No route for the host and path.
    NoRoute,
    /// The request lacks something that it must have.
    BadRequest,
    /// The body is larger than allowed.
    TooLarge,
    /// No backend server can be used.
    NoUpstream,
    /// No backend server could be connected to.
    Unreachable,
    /// Backend servers declined the request, and no retry is left.
    Declined,
    /// The time was up before the request was sent.
    Expired,
    /// The daemon is about to stop.
    Stopping,
    /// A backend server gave no answer in time.
    Silent,
    /// A backend server's answer was broken off or is not its own.
    Broken,
}

impl Reason {
    /// Name in logs and answers.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not-ready",
            Self::NoRoute => "no-route",
            Self::BadRequest => "bad-request",
            Self::TooLarge => "too-large",
            Self::NoUpstream => "no-upstream",
            Self::Unreachable => "connect-failed",
            Self::Declined => "upstream-shed",
            Self::Expired => "deadline",
            Self::Stopping => "stopping",
            Self::Silent => "upstream-silent",
            Self::Broken => "broken-answer",
        }
    }

    /// Whether the request has certainly not run.
    pub(super) fn not_run(self) -> bool {
        !matches!(self, Self::Silent | Self::Broken)
    }

    fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Silent => StatusCode::GATEWAY_TIMEOUT,
            Self::Broken => StatusCode::BAD_GATEWAY,
            Self::NotReady
            | Self::NoUpstream
            | Self::Unreachable
            | Self::Declined
            | Self::Expired
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// The answer for a request that failed for `reason`.
pub(super) fn make(reason: Reason, request_id: &str) -> Response<Content> {
    let status = reason.status();
    let outcome = if reason.not_run() {
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
    let mut response = Response::new(Content::whole(document.to_string()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/problem+json"),
    );
    headers.insert(OUTCOME, header::HeaderValue::from_static(outcome));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let seconds = rand::rng().random_range(RETURN_FROM..RETURN_TO);
        if let Ok(value) = header::HeaderValue::from_str(&format!("{seconds:.2}")) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}
