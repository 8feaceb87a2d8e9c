//! Checks of the backend's request record against the callers' results.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use crate::backend::record::Entry;
use crate::caller::judge::Outcome;
use crate::caller::result::{Request, Results};

/// A violated requirement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "finding", rename_all = "kebab-case")]
pub enum Finding {
    /// A request that is not repeatable began more than once.
    BegunAgain {
        /// Request id.
        id: String,
        /// Number of times that it began.
        begun: usize,
    },
    /// Requests with the same idempotency key, which are not repeatable, began
    /// more than once.
    KeyBegunAgain {
        /// Idempotency key.
        key: String,
        /// Number of times that it began.
        begun: usize,
    },
    /// A request began although the caller was told that it did not run.
    #[serde(rename = "told-not-run")]
    ReportedNotRun {
        /// Request id.
        id: String,
        /// Detail of the outcome at the caller.
        detail: String,
    },
    /// A caller got an answer that looked complete and was wrong.
    WrongAnswer {
        /// Request id.
        id: String,
        /// What was wrong.
        detail: String,
    },
    /// A request got a complete answer and never began.
    NeverBegan {
        /// Request id.
        id: String,
    },
}

/// Returns the violated requirements. The record must cover the complete run,
/// without a reset since its start.
pub fn check(record: &[Entry], results: &Results) -> Vec<Finding> {
    let mut by_id: HashMap<&str, usize> = HashMap::new();
    let mut by_key: HashMap<&str, usize> = HashMap::new();
    for entry in record {
        if let Some(id) = &entry.id {
            *by_id.entry(id).or_default() += 1;
        }
        if let Some(key) = &entry.key {
            *by_key.entry(key).or_default() += 1;
        }
    }
    let mut findings = Vec::new();
    // Several requests may share a key, which is then reported once.
    let mut keys = BTreeMap::new();
    for request in &results.requests {
        let begun = by_id.get(request.id.as_str()).copied().unwrap_or(0);
        // A kind without settings counts as not repeatable, which is stricter.
        let repeatable = results
            .kinds
            .get(&request.kind)
            .is_some_and(|kind| kind.repeatable);
        if !repeatable {
            if begun > 1 {
                findings.push(Finding::BegunAgain {
                    id: request.id.clone(),
                    begun,
                });
            }
            if let Some(key) = &request.key {
                keys.insert(key, by_key.get(key.as_str()).copied().unwrap_or(0));
            }
        }
        findings.extend(check_outcome(request, begun));
    }
    findings.extend(
        keys.into_iter()
            .filter(|(_, begun)| *begun > 1)
            .map(|(key, begun)| Finding::KeyBegunAgain {
                key: key.clone(),
                begun,
            }),
    );
    findings
}

fn check_outcome(request: &Request, begun: usize) -> Option<Finding> {
    let id = request.id.clone();
    match request.outcome {
        Outcome::NotRun if begun > 0 => Some(Finding::ReportedNotRun {
            id,
            detail: request.detail.clone(),
        }),
        Outcome::Wrong => Some(Finding::WrongAnswer {
            id,
            detail: request.detail.clone(),
        }),
        Outcome::Whole if begun == 0 => Some(Finding::NeverBegan { id }),
        Outcome::Whole | Outcome::Answered | Outcome::NotRun | Outcome::Unknown => None,
    }
}
