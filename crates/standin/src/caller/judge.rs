//! What a caller can conclude from an answer.

use serde::{Deserialize, Serialize};

use crate::caller::mix::Kind;
use crate::http::head;

/// Prefix of the problem types of the fleet.
const PROBLEM: &str = "urn:dotterelhinge:problem:";

/// What came back for a request.
#[derive(Clone, Debug)]
pub enum Reading {
    /// The framing says that the answer is complete.
    Complete(Answer),
    /// The connection ended inside the answer.
    Truncated,
    /// The connection ended before an answer.
    Closed,
    /// The answer is not HTTP/1.1.
    Malformed,
    /// The caller gave up at its deadline.
    Deadline,
    /// The connection could not be established.
    ConnectFailed,
    /// No target was ready.
    NoTarget,
    /// The run ended before the answer.
    RunEnded,
}

/// An answer that looks complete.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: head::Headers,
    /// Length of the body.
    pub length: u64,
    /// CRC-32 of the body.
    pub checksum: u32,
    /// The first bytes of the body.
    pub start: Vec<u8>,
}

/// What a caller knows about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Its own answer, whole, with a status below 400.
    Whole,
    /// Its own answer, whole, with an error status of the backend server.
    Answered,
    /// Proof that it was not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// An answer that looks whole and is not its own or not as sent.
    Wrong,
}

/// Outcome and its reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// What the caller knows.
    pub outcome: Outcome,
    /// Kind of the failure or of the wrong answer; empty if whole.
    pub detail: String,
}

fn verdict(outcome: Outcome, detail: impl Into<String>) -> Verdict {
    Verdict {
        outcome,
        detail: detail.into(),
    }
}

/// Judges what came back. `body_checksum` is the CRC-32 of the request body as
/// far as it was sent.
pub fn judge(kind: &Kind, id: &str, body_checksum: u32, reading: &Reading) -> Verdict {
    match reading {
        Reading::Complete(answer) => judge_answer(kind, id, body_checksum, answer),
        Reading::Truncated => verdict(Outcome::Unknown, "truncated"),
        Reading::Closed => verdict(Outcome::Unknown, "closed"),
        Reading::Malformed => verdict(Outcome::Unknown, "malformed"),
        Reading::Deadline => verdict(Outcome::Unknown, "caller-deadline"),
        Reading::RunEnded => verdict(Outcome::Unknown, "run-ended"),
        Reading::ConnectFailed => verdict(Outcome::NotRun, "caller-connect"),
        Reading::NoTarget => verdict(Outcome::NotRun, "no-target"),
    }
}

fn judge_answer(kind: &Kind, id: &str, body_checksum: u32, answer: &Answer) -> Verdict {
    let header = |name| answer.headers.get(name);
    if let Some(outcome) = header("dotterelhinge-outcome") {
        return judge_problem(id, outcome, answer);
    }
    match header("x-request-id") {
        Some(own) if own == id => {}
        Some(_) => return verdict(Outcome::Wrong, "other-id"),
        None => return verdict(Outcome::Wrong, "no-id"),
    }
    if header("x-not-run") == Some("1") {
        return verdict(Outcome::NotRun, "shed");
    }
    // A body is proved by its length where that is known, and by its checksum.
    let is_error = answer.status >= 400;
    let has_size = !is_error && kind.body_bytes == 0 && kind.method != "HEAD";
    if has_size && kind.bytes.is_some_and(|bytes| bytes != answer.length) {
        return verdict(Outcome::Wrong, "length");
    }
    match header("x-checksum") {
        _ if kind.method == "HEAD" => {}
        Some(sum) if sum.eq_ignore_ascii_case(&format!("{:08x}", answer.checksum)) => {}
        Some(_) => return verdict(Outcome::Wrong, "checksum"),
        None => return verdict(Outcome::Wrong, "no-checksum"),
    }
    if is_error {
        return verdict(Outcome::Answered, format!("status-{}", answer.status));
    }
    if kind.body_bytes > 0 {
        let report: serde_json::Value = serde_json::from_slice(&answer.start).unwrap_or_default();
        if report["bytes"] != kind.body_bytes || report["crc32"] != format!("{body_checksum:08x}") {
            return verdict(Outcome::Wrong, "upload");
        }
    }
    verdict(Outcome::Whole, "")
}

/// Judges an answer that the fleet gave itself.
fn judge_problem(id: &str, outcome: &str, answer: &Answer) -> Verdict {
    let own = ["dotterelhinge-request-id", "x-request-id"];
    if own
        .iter()
        .filter_map(|name| answer.headers.get(name))
        .any(|other| other != id)
    {
        return verdict(Outcome::Wrong, "other-id");
    }
    let body: serde_json::Value = serde_json::from_slice(&answer.start).unwrap_or_default();
    let Some(kind) = body["type"].as_str().and_then(|t| t.strip_prefix(PROBLEM)) else {
        return verdict(Outcome::Wrong, "problem-without-type");
    };
    match outcome {
        "not-run" => verdict(Outcome::NotRun, kind),
        "unknown" => verdict(Outcome::Unknown, kind),
        _ => verdict(Outcome::Wrong, "problem-outcome"),
    }
}
