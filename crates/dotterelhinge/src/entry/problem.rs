//! Responses that the daemon generates itself: problem documents (RFC 9457) with a
//! header that says whether the request may have run.

use actix_web::{HttpResponse, http::StatusCode};
use dotterelhinge_policy::retry;
use serde_json::json;

/// Header that says whether the request has run: `not-run`, `unknown` or `done`.
pub(super) const OUTCOME_HEADER: &str = "dotterelhinge-outcome";

/// Header with the request id, set on every response.
pub(super) const REQUEST_ID_HEADER: &str = "dotterelhinge-request-id";

/// Returns the response to a request that failed.
pub(super) fn failed(kind: retry::Kind, outcome: retry::Outcome, request_id: &str) -> HttpResponse {
    let status = StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = HttpResponse::build(status);
    builder
        .content_type("application/problem+json")
        .insert_header((OUTCOME_HEADER, outcome.name()))
        .insert_header((REQUEST_ID_HEADER, request_id));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        builder.insert_header(("retry-after", "1"));
    }
    builder.body(
        json!({
            "type": format!("urn:dotterelhinge:problem:{}", kind.name()),
            "title": kind.name(),
            "status": kind.status(),
            "outcome": outcome.name(),
            "request_id": request_id,
        })
        .to_string(),
    )
}

/// Returns the response to a repeat of a request that already had a response
/// with `status`. The body of that response is not stored.
pub(crate) fn done(status: u16, request_id: &str) -> HttpResponse {
    HttpResponse::Conflict()
        .content_type("application/problem+json")
        .insert_header((OUTCOME_HEADER, "done"))
        .insert_header((REQUEST_ID_HEADER, request_id))
        .body(
            json!({
                "type": "urn:dotterelhinge:problem:key-done",
                "title": "key-done",
                "status": StatusCode::CONFLICT.as_u16(),
                "outcome": "done",
                "original_status": status,
                "request_id": request_id,
            })
            .to_string(),
        )
}
