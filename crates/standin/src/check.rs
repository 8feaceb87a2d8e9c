//! Checks of the backend's record against the callers' results.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use crate::backend::record::Entry;
use crate::caller::judge::Outcome;
use crate::caller::result::{Request, Results};

/// A broken requirement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "finding", rename_all = "kebab-case")]
pub enum Finding {
    /// A request that may not be repeated began more than once.
    BegunAgain {
        /// Request id.
        id: String,
        /// Number of beginnings.
        begun: usize,
    },
    /// Requests with the same idempotency key began more than once, though
    /// they may not be repeated.
    KeyBegunAgain {
        /// Idempotency key.
        key: String,
        /// Number of beginnings.
        begun: usize,
    },
    /// The caller was told that its request was not run, and it began.
    #[serde(rename = "told-not-run")]
    ReportedNotRun {
        /// Request id.
        id: String,
        /// What the caller was told.
        detail: String,
    },
    /// An answer passed as whole and was wrong.
    WrongAnswer {
        /// Request id.
        id: String,
        /// What was wrong.
        detail: String,
    },
    /// A request was answered as whole and never began.
    NeverBegan {
        /// Request id.
        id: String,
    },
}

/// Finds broken requirements. The record must cover the whole run, without a
/// reset since its start.
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
    // Several requests may share a key, which is then found once.
    let mut keys = BTreeMap::new();
    for request in &results.requests {
        let begun = by_id.get(request.id.as_str()).copied().unwrap_or(0);
        // A kind without settings is taken as the stricter one.
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
