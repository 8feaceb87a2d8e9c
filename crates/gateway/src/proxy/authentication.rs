//! Which customer sent a request, by the key in its `Authorization` header.

use std::sync::Arc;

use hyper::header::{self, HeaderMap};

use crate::catalog::{
    Configuration, Route,
    customer::{Customer, KeyDigest, MAX_KEY_BYTES},
};

/// Authentication scheme of the keys; compared without regard to case.
const SCHEME: &[u8] = b"Bearer";

/// Why a request names no customer. No variant holds a part of the header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Error {
    /// There is no `Authorization` header.
    Missing,
    /// The header has another scheme than `Bearer`.
    OtherScheme,
    /// The header has no key.
    Empty,
    /// The key is longer than any valid one.
    TooLong,
    /// No customer holds the key.
    Unknown,
    /// There is more than one `Authorization` header.
    Duplicate,
    /// The header does not consist of a scheme and one key of visible ASCII.
    Malformed,
}

impl Error {
    /// Returns the name used in the log.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::OtherScheme => "other-scheme",
            Self::Empty => "empty",
            Self::TooLong => "too-long",
            Self::Unknown => "unknown",
            Self::Duplicate => "duplicate",
            Self::Malformed => "malformed",
        }
    }

    /// Returns whether the header itself is invalid, whatever customers there are.
    pub(super) fn is_malformed(self) -> bool {
        matches!(self, Self::Duplicate | Self::Malformed)
    }
}

/// Returns the customer who sent a request with `headers` on `route`; `None` if
/// requests need no key or the route is public.
pub(super) fn authenticate(
    configuration: &Configuration,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Customer>>, Error> {
    let Some(customers) = &configuration.customers else {
        return Ok(None);
    };
    if route.is_public {
        return Ok(None);
    }
    let digest = KeyDigest::of(key(headers)?);
    let customer = customers.find(&digest).ok_or(Error::Unknown)?;
    Ok(Some(Arc::clone(customer)))
}

/// Returns the key in the `Authorization` header.
fn key(headers: &HeaderMap) -> Result<&[u8], Error> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next().ok_or(Error::Missing)?;
    if values.next().is_some() {
        return Err(Error::Duplicate);
    }
    let value = value.as_bytes().trim_ascii();
    if value.is_empty() {
        return Err(Error::Empty);
    }
    let mut parts = value.splitn(2, |byte| *byte == b' ');
    let scheme = parts.next().unwrap_or_default();
    let key = parts.next().unwrap_or_default().trim_ascii_start();
    if !scheme.iter().copied().all(is_token) || !key.iter().all(u8::is_ascii_graphic) {
        return Err(Error::Malformed);
    }
    if !scheme.eq_ignore_ascii_case(SCHEME) {
        return Err(Error::OtherScheme);
    }
    match key.len() {
        0 => Err(Error::Empty),
        1..=MAX_KEY_BYTES => Ok(key),
        _ => Err(Error::TooLong),
    }
}

/// Returns whether a scheme may contain `byte` (RFC 9110, section 5.6.2).
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
