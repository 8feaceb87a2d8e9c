//! Header rules between callers and upstreams.

use actix_web::http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Request id, given if absent and echoed.
pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Time left for the request, in milliseconds.
pub(super) const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");

/// Key under which a caller repeats a request.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Addresses that the request came through.
pub(super) const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");

/// Longest accepted request id, in bytes.
const REQUEST_ID_BYTES: usize = 128;

// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers of `from` that may be passed on.
pub(super) fn end_to_end(from: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    let named: Vec<String> = from
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    from.iter().filter(move |(name, _)| {
        !HOP_BY_HOP.contains(name)
            && !matches!(name.as_str(), "keep-alive" | "proxy-connection")
            && !named.iter().any(|listed| listed == name.as_str())
    })
}

/// The id of a request: the caller's if it is printable and short, otherwise a
/// new one.
pub(super) fn request_id(headers: &HeaderMap) -> String {
    headers
        .get(REQUEST_ID)
        .and_then(|value| value.to_str().ok())
        .filter(|id| !id.is_empty() && id.len() <= REQUEST_ID_BYTES)
        .map_or_else(|| uuid::Uuid::now_v7().to_string(), str::to_owned)
}

/// Whether a path has no dot segments. A backend server may resolve them after
/// the route was chosen, so that a request would run under another class.
pub(super) fn is_resolved(path: &str) -> bool {
    path.split(['/', '\\']).all(|segment| {
        let plain = segment.to_ascii_lowercase().replace("%2e", ".");
        plain != "." && plain != ".." && !plain.contains("%2f") && !plain.contains("%5c")
    })
}
