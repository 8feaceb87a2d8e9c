//! The mix of request kinds.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Idempotency key of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Key {
    /// No key.
    #[default]
    None,
    /// A UUID version 7 per request, in `idempotency-key`.
    Uuid7,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Kind {
    /// Name in the results.
    pub name: String,
    /// Share of the arrivals, relative to the other kinds.
    pub weight: f64,
    /// Method.
    pub method: String,
    /// Path, with a query if need be.
    pub path: String,
    /// Value of the `host` header; the target address if absent.
    pub host: Option<String>,
    /// Further headers.
    pub headers: BTreeMap<String, String>,
    /// Size asked of the answer body, as the query parameter `bytes`.
    pub bytes: Option<u64>,
    /// Size of the request body.
    pub body_bytes: u64,
    /// Bytes per second of the request body; as fast as possible if absent.
    pub body_rate: Option<u64>,
    /// Whether the request body is sent in chunks.
    pub chunked: bool,
    /// Whether the request body waits for `100 Continue`, for at most 1 s.
    pub expect: bool,
    /// Time after which the caller gives up, from the intended start.
    pub deadline_ms: Option<u64>,
    /// Whether the deadline is sent as `x-deadline-ms`.
    pub send_deadline: bool,
    /// Idempotency key.
    pub key: Key,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

impl Default for Kind {
    fn default() -> Self {
        Kind {
            name: String::new(),
            weight: 1.0,
            method: "GET".to_owned(),
            path: "/".to_owned(),
            host: None,
            headers: BTreeMap::new(),
            bytes: None,
            body_bytes: 0,
            body_rate: None,
            chunked: false,
            expect: false,
            deadline_ms: None,
            send_deadline: false,
            key: Key::None,
            repeatable: false,
        }
    }
}

/// The mix file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Kinds of requests.
    pub kinds: Vec<Kind>,
}

/// Why a mix cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("kind {kind:?}: {rule}")]
pub struct Error {
    kind: String,
    rule: &'static str,
}

impl Mix {
    /// Checks names, weights and texts that go into the request head.
    pub fn validate(&self) -> Result<(), Error> {
        let mut names = BTreeSet::new();
        for kind in &self.kinds {
            let fail = |rule| {
                Err(Error {
                    kind: kind.name.clone(),
                    rule,
                })
            };
            if kind.name.is_empty() || !names.insert(&kind.name) {
                return fail("name is empty or not unique");
            }
            if !kind.weight.is_finite() || kind.weight <= 0.0 {
                return fail("weight is not a positive number");
            }
            if kind.body_rate == Some(0) {
                return fail("body_rate is zero");
            }
            let is_token =
                |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic());
            let is_value = |text: &str| !text.bytes().any(|b| b.is_ascii_control());
            if !is_token(&kind.method) || !is_token(&kind.path) {
                return fail("method or path is empty or has spaces");
            }
            let headers = kind.headers.iter();
            if !kind.host.as_deref().is_none_or(is_value)
                || !headers.into_iter().all(|(n, v)| is_token(n) && is_value(v))
            {
                return fail("a header is malformed");
            }
        }
        if self.kinds.is_empty() {
            return Err(Error {
                kind: String::new(),
                rule: "the mix has no kinds",
            });
        }
        Ok(())
    }
}

impl Kind {
    /// Path with the query parameter `bytes`.
    pub fn target(&self) -> String {
        match self.bytes {
            None => self.path.clone(),
            Some(bytes) if self.path.contains('?') => format!("{}&bytes={bytes}", self.path),
            Some(bytes) => format!("{}?bytes={bytes}", self.path),
        }
    }
}
