//! Retries never run a non-repeatable request twice, never exceed the budget
//! and never report a request as not run that may have run.

mod support;

use std::{collections::HashSet, sync::Arc, time::Duration};

use dotterelhinge_policy::{
    budget, contract,
    retry::{self, Decision, Ended, Kind, Outcome},
};
use googletest::prelude::*;
use proptest::{prelude::Strategy, prop_assert, prop_assert_eq, test_runner};

fn yes() -> bool {
    true
}

fn default_left() -> u64 {
    1000
}

#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    name: String,
    repeatable: bool,
    #[serde(default = "yes")]
    budget: bool,
    #[serde(default)]
    answer_begun: bool,
    #[serde(default = "yes")]
    replayable: bool,
    #[serde(default = "default_left")]
    left: u64,
    ends: Vec<Vec<String>>,
    expect: String,
}

fn class(repeatable: bool) -> contract::Class {
    contract::Class {
        repeatable,
        ..contract::Class::default()
    }
}

fn kind(name: &str) -> Kind {
    let kinds = Kind::ALL.iter();
    let found = kinds.copied().find(|kind| format!("{kind:?}") == name);
    found.unwrap_or_else(|| panic!("no kind {name}"))
}

/// Guards against a change of the decisions in `cases/retry.json`.
#[googletest::test]
fn cases() {
    let cases: Vec<Case> = serde_json::from_str(include_str!("cases/retry.json")).unwrap();
    for case in cases {
        let state = retry::State {
            time_left: Duration::from_millis(case.left),
            response_started: case.answer_begun,
            replayable: case.replayable,
        };
        let mut request = Some(retry::Request::new(&class(case.repeatable)));
        let mut result = String::new();
        for (attempt, end) in case.ends.iter().enumerate() {
            let current = request.take();
            let current = current.unwrap_or_else(|| panic!("{} ended early", case.name));
            let reason = || kind(&end[1]);
            let start = |current: retry::Request| current.start(format!("u{attempt}").into());
            let decision = match &*end[0] {
                "answered" => start(current).end(Ended::Answered, state, || case.budget),
                "notrun" => start(current).end(Ended::NotRun(reason()), state, || case.budget),
                "unknown" => start(current).end(Ended::Unknown(reason()), state, || case.budget),
                "refused" => current.refused(reason()),
                "expired" => current.expired(),
                other => panic!("unknown end {other}"),
            };
            result = match decision {
                Decision::Deliver => "deliver".to_owned(),
                Decision::Fail { kind, outcome } => format!("{kind} {} {outcome}", kind.status()),
                Decision::Retry {
                    request: next,
                    excluded,
                } => {
                    let tried: Vec<Arc<str>> =
                        (0..=attempt).map(|n| format!("u{n}").into()).collect();
                    expect_that!(excluded.to_vec(), eq(&tried), "{}", case.name);
                    request = Some(next);
                    "retry".to_owned()
                }
            };
        }
        expect_that!(result, eq(&case.expect), "{}", case.name);
    }
}

/// Guards against failure kinds that differ from the error table of the design
/// page.
#[googletest::test]
fn kinds_match_the_error_table() {
    let page = include_str!("../../../docs/design.md");
    let mut names = HashSet::new();
    for kind in Kind::ALL {
        let row = format!("| {kind} | {} | {}", kind.status(), kind.outcome());
        expect_that!(page, contains_substring(row));
        names.insert(kind.name());
    }
    expect_that!(names.len(), eq(Kind::ALL.len()));
    let table = page.split("| kind | status | outcome |").nth(1).unwrap();
    let rows = table
        .lines()
        .skip(2)
        .take_while(|line| line.starts_with('|'));
    expect_that!(rows.count(), eq(Kind::ALL.len()));
}

fn ends() -> impl Strategy<Value = Vec<(u8, bool, bool, u64, bool)>> {
    let end = (
        0..5_u8,
        proptest::bool::weighted(0.2),
        proptest::bool::weighted(0.8),
        0..20_u64,
        proptest::bool::weighted(0.8),
    );
    proptest::collection::vec(end, 1..8)
}

/// Guards against lost or duplicated requests: a non-repeatable request started
/// on a second upstream, a second attempt on the same upstream, or a request
/// reported as not run that may have run.
#[googletest::test]
fn no_sequence_of_outcomes_runs_a_non_repeatable_request_twice() {
    let mut runner = test_runner::TestRunner::new(support::config());
    let outcome = runner.run(&(ends(), proptest::bool::ANY), |(ends, repeatable)| {
        let class = class(repeatable);
        let mut request = retry::Request::new(&class);
        let (mut begun, mut attempts) = (0, 0);
        for (number, (end, response_started, replayable, left, budget)) in
            ends.into_iter().enumerate()
        {
            prop_assert_eq!(request.attempt(), attempts + 1);
            let state = retry::State {
                time_left: Duration::from_millis(left),
                response_started,
                replayable,
            };
            let upstream: Arc<str> = format!("u{number}").into();
            let ended = match end {
                0 => Ended::Answered,
                1 => Ended::NotRun(Kind::ConnectFailed),
                2 => Ended::NotRun(Kind::UpstreamShed),
                3 => Ended::Unknown(Kind::BrokenAnswer),
                _ => Ended::Unknown(Kind::UpstreamSilent),
            };
            attempts += 1;
            begun += u32::from(!matches!(ended, Ended::NotRun(_)));
            match request
                .start(Arc::clone(&upstream))
                .end(ended, state, || budget)
            {
                Decision::Retry {
                    request: next,
                    excluded,
                } => {
                    prop_assert!(excluded.contains(&upstream));
                    prop_assert!(ended != Ended::Answered && budget && replayable);
                    prop_assert!(!response_started && left > 0 && attempts < class.max_attempts);
                    request = next;
                }
                Decision::Deliver => {
                    prop_assert_eq!(ended, Ended::Answered);
                    break;
                }
                Decision::Fail { kind, outcome } => {
                    prop_assert_eq!(outcome == Outcome::Unknown, begun > 0);
                    prop_assert!(kind == Kind::Deadline || kind.outcome() == outcome);
                    break;
                }
            }
        }
        prop_assert!(repeatable || begun <= 1);
        Ok(())
    });
    expect_that!(outcome, ok(anything()));
}

/// Guards against more than 0.2 retries per request, and against a burst of more
/// than 100 after a time without retries.
#[googletest::test]
fn the_budget_bounds_retries() {
    let mut budget = budget::Budget::default();
    expect_false!(budget.take());
    let (mut requests, mut retries) = (0_u32, 0_u32);
    for _ in 0..10_000 {
        requests += 1;
        budget.earn();
        retries += u32::from(budget.take());
        expect_that!(retries * 5, le(requests));
    }
    expect_that!(retries, eq(2000));
    (0..100_000).for_each(|_| budget.earn());
    expect_that!((0..1000).filter(|_| budget.take()).count(), eq(100));
    budget.refund();
    expect_that!(budget.tokens(), eq(1));
}
