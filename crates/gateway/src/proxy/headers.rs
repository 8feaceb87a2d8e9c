//! Forwarding rules for headers between callers and backend servers.

use std::time::Duration;

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Maximum length of the value of a `Retry-After` header, in bytes.
const MAX_RETRY_AFTER_BYTES: usize = 64;

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

/// Returns the time that `Retry-After` asks for: a number of seconds, which may
/// have a fraction. Of several such headers the longest time counts. Zero, a
/// negative number, a date and anything else ask for nothing; a time beyond the
/// range of the type is the longest that it holds.
pub(super) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let values = headers.get_all(header::RETRY_AFTER).iter();
    let times = values.filter_map(|value| seconds(value.to_str().ok()?.trim()));
    times.max().filter(|time| !time.is_zero())
}

fn seconds(text: &str) -> Option<Duration> {
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    if !is_plain || text.len() > MAX_RETRY_AFTER_BYTES {
        return None;
    }
    let seconds: f64 = text.parse().ok()?;
    // Only a number that is too large fails: it is plain, so not negative.
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}
