//! Failures as callers see them: problem documents with a header that says
//! whether the request may have run.

use actix_web::{HttpResponse, http::StatusCode};
use serde_json::json;

/// Header with `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "dotterelhinge-outcome";

/// Header with the request id on every answer.
pub const REQUEST_ID_HEADER: &str = "dotterelhinge-request-id";

/// What is known about a request that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// No upstream ran it and none will.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Value of the header.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// A failure towards the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[allow(missing_docs)]
pub enum Kind {
    BadRequest,
    NoRoute,
    TooLarge,
    CustomerLimit,
    Overloaded,
    QueueTimeout,
    NoUpstream,
    NotReady,
    ConnectFailed,
    UpstreamShed,
    Unfenced,
    KeyTooOld,
    KeyMismatch,
    Deadline,
    BrokenAnswer,
    CrossedAnswer,
    UpstreamSilent,
    KeyUnknown,
    KeyInProgress,
}

impl Kind {
    /// Name in the `type` of the problem document.
    pub fn name(self) -> &'static str {
        match self {
            Kind::BadRequest => "bad-request",
            Kind::NoRoute => "no-route",
            Kind::TooLarge => "too-large",
            Kind::CustomerLimit => "customer-limit",
            Kind::Overloaded => "overloaded",
            Kind::QueueTimeout => "queue-timeout",
            Kind::NoUpstream => "no-upstream",
            Kind::NotReady => "not-ready",
            Kind::ConnectFailed => "connect-failed",
            Kind::UpstreamShed => "upstream-shed",
            Kind::Unfenced => "unfenced",
            Kind::KeyTooOld => "key-too-old",
            Kind::KeyMismatch => "key-mismatch",
            Kind::Deadline => "deadline",
            Kind::BrokenAnswer => "broken-answer",
            Kind::CrossedAnswer => "crossed-answer",
            Kind::UpstreamSilent => "upstream-silent",
            Kind::KeyUnknown => "key-unknown",
            Kind::KeyInProgress => "key-in-progress",
        }
    }

    /// HTTP status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            Kind::BadRequest => StatusCode::BAD_REQUEST,
            Kind::NoRoute => StatusCode::NOT_FOUND,
            Kind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Kind::CustomerLimit => StatusCode::TOO_MANY_REQUESTS,
            Kind::Overloaded
            | Kind::QueueTimeout
            | Kind::NoUpstream
            | Kind::NotReady
            | Kind::UpstreamShed
            | Kind::Unfenced => StatusCode::SERVICE_UNAVAILABLE,
            Kind::KeyTooOld | Kind::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Kind::Deadline | Kind::UpstreamSilent => StatusCode::GATEWAY_TIMEOUT,
            Kind::ConnectFailed | Kind::BrokenAnswer | Kind::CrossedAnswer => {
                StatusCode::BAD_GATEWAY
            }
            Kind::KeyUnknown | Kind::KeyInProgress => StatusCode::CONFLICT,
        }
    }
}

/// The answer for a failed request.
pub fn answer(kind: Kind, outcome: Outcome, request_id: &str) -> HttpResponse {
    let mut builder = HttpResponse::build(kind.status());
    builder
        .content_type("application/problem+json")
        .insert_header((OUTCOME_HEADER, outcome.name()))
        .insert_header((REQUEST_ID_HEADER, request_id));
    if kind.status() == StatusCode::SERVICE_UNAVAILABLE {
        builder.insert_header(("retry-after", "1"));
    }
    builder.body(
        json!({
            "type": format!("urn:dotterelhinge:problem:{}", kind.name()),
            "title": kind.name(),
            "status": kind.status().as_u16(),
            "outcome": outcome.name(),
            "request_id": request_id,
        })
        .to_string(),
    )
}
