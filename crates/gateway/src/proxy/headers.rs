//! Forwarding rules for headers between callers and backend servers.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Headers that apply to a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Returns the headers of `from` that may be forwarded: all but the hop-by-hop
/// ones and those that `Connection` lists.
pub(super) fn end_to_end(from: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    let named: Vec<String> = from
        .get_all(header::CONNECTION)
        .iter()
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

/// Returns the first value of a header as text; `None` if the header is missing
/// or the value is not visible ASCII.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
