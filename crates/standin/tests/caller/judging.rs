//! Judgement of answers.

use dotterelhinge_standin::caller::judge::{self, Answer, Outcome, Reading};
use dotterelhinge_standin::caller::mix::Kind;
use dotterelhinge_standin::http::head::Headers;
use googletest::prelude::*;
use serde_json::json;

fn answer(status: u16, headers: &[(&str, &str)], body: &str) -> Answer {
    let pairs = headers
        .iter()
        .map(|(n, v)| ((*n).to_owned(), (*v).to_owned()));
    Answer {
        status,
        headers: Headers(pairs.collect()),
        length: body.len() as u64,
        checksum: crc32fast::hash(body.as_bytes()),
        start: body.as_bytes().to_vec(),
    }
}

fn judged(kind: &Kind, answer: Answer) -> (Outcome, String) {
    let verdict = judge::judge(kind, "r", 0xabcd, &Reading::Complete(answer));
    (verdict.outcome, verdict.detail)
}

fn expect(kind: &Kind, answer: Answer, outcome: Outcome, detail: &str) {
    let shown = format!("{answer:?}");
    expect_that!(
        judged(kind, answer),
        eq(&(outcome, detail.to_owned())),
        "{shown}"
    );
}

/// Guards against wrong answers that pass as whole.
#[gtest]
fn only_own_and_unchanged_answers_are_whole() {
    let kind = Kind {
        bytes: Some(5),
        ..Default::default()
    };
    let sum = format!("{:08x}", crc32fast::hash(b"hello"));
    let own = ("x-request-id", "r");
    let good = [own, ("x-checksum", &sum)];
    expect(&kind, answer(200, &good, "hello"), Outcome::Whole, "");
    expect(
        &kind,
        answer(200, &good, "hellO"),
        Outcome::Wrong,
        "checksum",
    );
    // The framing was clean and bytes are missing.
    expect(&kind, answer(200, &good, "hell"), Outcome::Wrong, "length");
    expect(
        &kind,
        answer(200, &[own], "hello"),
        Outcome::Wrong,
        "no-checksum",
    );
    expect(
        &kind,
        answer(200, &good[1..], "hello"),
        Outcome::Wrong,
        "no-id",
    );
    let other = [("x-request-id", "s"), good[1]];
    expect(
        &kind,
        answer(200, &other, "hello"),
        Outcome::Wrong,
        "other-id",
    );
    expect(
        &kind,
        answer(500, &good, "hello"),
        Outcome::Answered,
        "status-500",
    );
    expect(
        &kind,
        answer(500, &good, "hell"),
        Outcome::Wrong,
        "checksum",
    );
    let shed = [own, ("x-not-run", "1")];
    expect(&kind, answer(503, &shed, ""), Outcome::NotRun, "shed");
    let shed_other = [("x-request-id", "s"), ("x-not-run", "1")];
    expect(
        &kind,
        answer(503, &shed_other, ""),
        Outcome::Wrong,
        "other-id",
    );
}

/// Guards against uploads that arrived changed.
#[gtest]
fn upload_report_must_match_what_was_sent() {
    let kind = Kind {
        body_bytes: 9,
        ..Default::default()
    };
    for (bytes, crc32, outcome, detail) in [
        (9, "0000abcd", Outcome::Whole, ""),
        (8, "0000abcd", Outcome::Wrong, "upload"),
        (9, "0000abce", Outcome::Wrong, "upload"),
    ] {
        let body = json!({"bytes": bytes, "crc32": crc32}).to_string();
        let sum = format!("{:08x}", crc32fast::hash(body.as_bytes()));
        let headers = [("x-request-id", "r"), ("x-checksum", sum.as_str())];
        expect(&kind, answer(200, &headers, &body), outcome, detail);
    }
}

/// Guards against problem answers that are counted under another kind, or
/// whose claim of not having run is taken without its type.
#[gtest]
fn problem_answers_are_told_apart() {
    let kind = Kind::default();
    let body = json!({"type": "urn:dotterelhinge:problem:overloaded"}).to_string();
    let id = ("dotterelhinge-request-id", "r");
    let not_run = ("dotterelhinge-outcome", "not-run");
    expect(
        &kind,
        answer(503, &[id, not_run], &body),
        Outcome::NotRun,
        "overloaded",
    );
    let unknown = ("dotterelhinge-outcome", "unknown");
    expect(
        &kind,
        answer(504, &[id, unknown], &body),
        Outcome::Unknown,
        "overloaded",
    );
    let other = ("dotterelhinge-request-id", "s");
    expect(
        &kind,
        answer(503, &[other, not_run], &body),
        Outcome::Wrong,
        "other-id",
    );
    let odd = ("dotterelhinge-outcome", "maybe");
    expect(
        &kind,
        answer(503, &[id, odd], &body),
        Outcome::Wrong,
        "problem-outcome",
    );
    expect(
        &kind,
        answer(503, &[id, not_run], "{}"),
        Outcome::Wrong,
        "problem-without-type",
    );
}

/// Guards against broken transfers that count as proof.
#[gtest]
fn broken_transfers_prove_nothing() {
    let kind = Kind::default();
    for (reading, outcome) in [
        (Reading::Truncated, Outcome::Unknown),
        (Reading::Closed, Outcome::Unknown),
        (Reading::Malformed, Outcome::Unknown),
        (Reading::Deadline, Outcome::Unknown),
        (Reading::RunEnded, Outcome::Unknown),
        (Reading::ConnectFailed, Outcome::NotRun),
        (Reading::NoTarget, Outcome::NotRun),
    ] {
        expect_that!(
            judge::judge(&kind, "r", 0, &reading).outcome,
            eq(outcome),
            "{reading:?}"
        );
    }
}
