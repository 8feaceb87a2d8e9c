//! Idempotency keys of non-repeatable requests. The owner of a key is queried
//! before the first attempt, and how the request ended is reported to it.

use std::{hash::Hasher, rc::Rc, sync::Arc, time::Duration};

use actix_web::{HttpRequest, http::header};
use dotterelhinge_policy::{contract, idempotency as policy, retry};
use xxhash_rust::xxh3;

use super::{Exchange, Worker, headers};
use crate::idempotency;

/// Maximum length of an accepted key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// A key under which this request was started. If it is dropped before
/// [`Started::end`], the owner is notified that the request may have run.
pub(super) struct Started {
    worker: Rc<Worker>,
    key: Arc<str>,
    attempt: u64,
    outcome: policy::Outcome,
    /// Whether the owner has recorded the outcome.
    is_recorded: bool,
}

/// Maximum delay of a response until the owner of its key has recorded the outcome.
/// The owner is one hop away and usually responds in about 1 ms.
const END_REPORT_TIMEOUT: Duration = Duration::from_millis(100);

impl Started {
    /// Reports to the owner of the key how the request ended. This happens before
    /// the caller gets its response: if the daemon is killed right after a
    /// response, the key must not remain in progress.
    pub(super) async fn end(mut self, outcome: policy::Outcome) {
        self.outcome = outcome;
        let worker = Rc::clone(&self.worker);
        let end = self.message();
        let report = idempotency::report(&worker.context, &worker.peers, &worker.idempotency, &end);
        if tokio::time::timeout(END_REPORT_TIMEOUT, report).await == Ok(true) {
            self.is_recorded = true;
        }
    }

    fn message(&self) -> idempotency::End {
        idempotency::End {
            key: Arc::clone(&self.key),
            attempt: self.attempt,
            outcome: self.outcome,
        }
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        if !self.is_recorded {
            let report = idempotency::Report(self.message());
            self.worker.idempotency.do_send(report);
        }
    }
}

/// Why a request with a key is not sent to an upstream.
pub(super) enum Refusal {
    /// The request fails.
    Failed(retry::Kind),
    /// The request already had a response with this status.
    Done(u16),
}

/// Starts the key of a request with its owner. Returns `None` if the class is
/// repeatable, the request has no key, or no lease on the key range can be proved
/// and the class allows running without one.
pub(super) async fn begin(
    worker: &Rc<Worker>,
    exchange: &Exchange,
    request: &HttpRequest,
) -> Result<Option<Started>, Refusal> {
    if exchange.class().repeatable {
        return Ok(None);
    }
    let Some(value) = request.headers().get(headers::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let key: Arc<str> = value
        .to_str()
        .ok()
        .map(|key| key.trim().trim_matches('"'))
        .filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES)
        .map(Arc::from)
        .ok_or(Refusal::Failed(retry::Kind::BadRequest))?;
    let begin = policy::Begin {
        key: Arc::clone(&key),
        fingerprint: fingerprint(exchange, request),
        attempt: rand::random(),
    };
    let verdict =
        idempotency::begin(&worker.context, &worker.peers, &worker.idempotency, &begin).await;
    let kind = match verdict {
        policy::Verdict::Begin => {
            return Ok(Some(Started {
                worker: Rc::clone(worker),
                key,
                attempt: begin.attempt,
                outcome: policy::Outcome::Unknown,
                is_recorded: false,
            }));
        }
        policy::Verdict::Done { status } => return Err(Refusal::Done(status)),
        policy::Verdict::InProgress => retry::Kind::KeyInProgress,
        policy::Verdict::Unknown => retry::Kind::KeyUnknown,
        policy::Verdict::Mismatch => retry::Kind::KeyMismatch,
        policy::Verdict::TooOld => retry::Kind::KeyTooOld,
        policy::Verdict::TooNew => retry::Kind::KeyTooNew,
        policy::Verdict::Full => retry::Kind::Overloaded,
        policy::Verdict::NotOwner | policy::Verdict::Unfenced => {
            if exchange.class().when_unfenced == contract::Unfenced::Run {
                return Ok(None);
            }
            retry::Kind::Unfenced
        }
    };
    Err(Refusal::Failed(kind))
}

/// Returns a hash that identifies the request of a key: a repeat must have the
/// same customer, method, path and body length.
fn fingerprint(exchange: &Exchange, request: &HttpRequest) -> u64 {
    let length = request
        .headers()
        .get(header::CONTENT_LENGTH)
        .map_or(&b""[..], |value| value.as_bytes());
    let mut hash = xxh3::Xxh3::new();
    for part in [
        exchange.customer.as_bytes(),
        request.method().as_str().as_bytes(),
        request.uri().path().as_bytes(),
        length,
    ] {
        hash.write(part);
        hash.write_u8(0);
    }
    hash.finish()
}
