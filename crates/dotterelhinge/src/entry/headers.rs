//! Headers that the daemon reads, sets or forwards, and checks of ids and paths.

use actix_web::http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Request id. Generated if the caller sends none, and set on the response.
pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Time left until the deadline of the request, in milliseconds.
pub(super) const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");

/// Key that identifies a request and its repeats.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Addresses of the clients and proxies that the request passed through.
pub(super) const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");

/// Maximum length of an accepted request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

// Headers that apply to one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Returns the headers of `from` that may be forwarded: all but hop-by-hop
/// headers and those named by the `Connection` header.
pub(super) fn end_to_end(from: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    let connection_options: Vec<String> = from
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    from.iter().filter(move |(name, _)| {
        !HOP_BY_HOP.contains(name)
            && !matches!(name.as_str(), "keep-alive" | "proxy-connection")
            && !connection_options
                .iter()
                .any(|option| option == name.as_str())
    })
}

/// Returns the id of a request: the caller's if it is printable and not too long,
/// otherwise a new UUID.
pub(super) fn request_id(headers: &HeaderMap) -> String {
    headers
        .get(REQUEST_ID)
        .and_then(|value| value.to_str().ok())
        .filter(|id| !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES)
        .map_or_else(|| uuid::Uuid::now_v7().to_string(), str::to_owned)
}

/// Returns whether a path is free of dot segments and encoded slashes. A backend
/// server might resolve them and so run the request on a path that belongs to
/// another class than the matched route.
pub(super) fn is_resolved(path: &str) -> bool {
    path.split(['/', '\\']).all(|segment| {
        let plain = segment.to_ascii_lowercase().replace("%2e", ".");
        plain != "." && plain != ".." && !plain.contains("%2f") && !plain.contains("%5c")
    })
}
