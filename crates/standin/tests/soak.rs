//! The soak: a short run in CI, seeds that once failed, and its checks.

use std::time::{Duration, Instant};

use dotterelhinge_standin::backend::record::{Arrival, Entry, State};
use dotterelhinge_standin::soak::caller::{End, Exchange, Kind};
use dotterelhinge_standin::soak::case::Case;
use dotterelhinge_standin::soak::check::{Departure, Evidence, Link, Span, Start, Subject};
use dotterelhinge_standin::soak::plan::{self, Plan, Step};
use dotterelhinge_standin::soak::run;
use dotterelhinge_standin::soak::run::BOUND;
use googletest::prelude::*;

/// Seeds of the short runs, one a line, with a comment. A seed that ever failed
/// stays here with its cause.
const SEEDS: &str = include_str!("soak/seeds.txt");

/// Time in which faults begin in a short run.
const SHORT: Duration = Duration::from_secs(6);

/// Runs the plan of `seed`.
fn holds(seed: u64, is_planned: bool) {
    let plan = Plan::draw(plan::Settings {
        seed,
        length: SHORT,
        is_planned,
        ..plan::Settings::default()
    });
    let evidence = run::run(&plan).unwrap_or_else(|error| panic!("{seed}: {error:?}"));
    let summary = evidence.summary();
    println!("seed {seed}: {summary:?}");
    expect_that!(evidence.violations(), is_empty(), "seed {seed}");
    expect_that!(summary.served * 2, gt(summary.requests), "seed {seed}");
}

// Guards against promises that are broken only when faults overlap.
#[gtest]
fn promises_hold_while_faults_overlap() {
    for line in SEEDS.lines().filter(|line| !line.starts_with('#')) {
        let seed: u64 = line.split_whitespace().next().unwrap().parse().unwrap();
        holds(seed, false);
    }
}

// Guards against promises that planned stops break and faults excuse, such as an answer
// that takes longer than the stop.
#[gtest]
fn promises_hold_around_planned_work() {
    holds(1, true);
}

// Guards against a plan that can't be run again, and against kinds of faults
// that no seed has.
#[gtest]
fn a_seed_names_one_plan_and_all_kinds_of_steps_occur() {
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 1..=50 {
        let settings = plan::Settings {
            seed,
            ..plan::Settings::default()
        };
        let plan = Plan::draw(settings.clone());
        expect_that!(Plan::draw(settings), eq(&plan));
        for (_, step) in plan.steps {
            let text = format!("{step:?}");
            kinds.insert(text.split([' ', '{']).next().unwrap_or_default().to_owned());
        }
    }
    expect_that!(kinds.len(), eq(13), "{kinds:?}");
}

// Guards against a reduction that loses what makes a plan fail, or that keeps what
// doesn't, and against a case that is not the same after it was written.
#[gtest]
fn a_failing_plan_is_reduced_to_what_makes_it_fail() {
    let plan = Plan::draw(plan::Settings {
        length: Duration::from_secs(40),
        ..plan::Settings::default()
    });
    let kills: Vec<_> = plan
        .steps
        .iter()
        .filter(|(_, step)| matches!(step, Step::Kill { .. }))
        .cloned()
        .collect();
    expect_that!(kills.len(), gt(2));
    // It fails with the first kill and the last one, and at least five callers.
    let needed = [kills[0].clone(), kills[kills.len() - 1].clone()];
    let mut tries = 0;
    let case = Case {
        cause: "two kills".to_owned(),
        plan,
    }
    .reduce(|plan| {
        tries += 1;
        plan.settings.callers >= 5 && needed.iter().all(|step| plan.steps.contains(step))
    });
    expect_that!(case.plan.steps, eq(&needed));
    expect_that!(case.plan.settings.callers, eq(6));
    expect_that!(tries, lt(60));

    let path = std::env::temp_dir().join(format!("soak-case-{}.json", std::process::id()));
    case.save(&path).unwrap();
    expect_that!(Case::load(&path).unwrap(), eq(&case));
    std::fs::write(&path, "{").unwrap();
    let error = Case::load(&path).unwrap_err().to_string();
    expect_that!(error, contains_substring("soak-case"));
    std::fs::remove_file(&path).unwrap();
}

// Guards against the faults that reduced cases once showed.
#[gtest]
fn cases_of_the_past_hold() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/soak/cases");
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let case = Case::load(&path).unwrap();
        let evidence = run::run(&case.plan).unwrap_or_else(|error| panic!("{error:?}"));
        expect_that!(evidence.violations(), is_empty(), "{}", path.display());
    }
}

struct Fixture {
    evidence: Evidence,
    start: Instant,
}

/// One order that host 0 served and that ran once on server 0.
fn fixture() -> Fixture {
    let start = Instant::now();
    let exchange = Exchange {
        id: "order".to_owned(),
        kind: Kind::Order,
        host: 0,
        version: 0,
        sent: start,
        deadline: Duration::from_secs(2),
        ended: start + Duration::from_millis(50),
        end: End::Answered {
            status: 200,
            is_valid: true,
        },
        is_streamed: false,
    };
    let evidence = Evidence {
        exchanges: vec![exchange],
        record: vec![entry(1, 0)],
        spans: Vec::new(),
        departures: Vec::new(),
        starts: Vec::new(),
        links: Vec::new(),
        faults: Vec::new(),
        memory_limit: 200_000_000,
        peaks: vec![160_000_000],
        arrivals: Vec::new(),
        counted_from: start,
        unserved: Vec::new(),
        logs: Vec::new(),
    };
    Fixture { evidence, start }
}

fn entry(number: u64, server: usize) -> Entry {
    Entry {
        number,
        id: Some("order".to_owned()),
        key: None,
        class: "order".to_owned(),
        server,
        start_ms: 0.0,
        end_ms: None,
        state: State::Finished,
    }
}

fn answered(status: u16, is_valid: bool) -> End {
    End::Answered { status, is_valid }
}

// Guards against a check that passes whatever happens.
#[gtest]
fn each_broken_promise_is_found() {
    expect_that!(fixture().evidence.violations(), is_empty());
    let mut twice = fixture().evidence;
    twice.record.push(entry(2, 1));
    expect_that!(
        twice.violations(),
        elements_are![contains_substring("2 times")]
    );
    for (end, found) in [
        (answered(503, false), "told 503 and ran"),
        (answered(200, false), "not its own"),
        (answered(404, false), "got 404"),
        (End::Cut, "was cut"),
        (End::Silent, "no answer"),
    ] {
        let mut evidence = fixture().evidence;
        evidence.exchanges[0].end = end;
        expect_that!(
            evidence.violations(),
            elements_are![contains_substring(found)]
        );
    }
}

// Guards against an answer that its server broke off, or that ended at its deadline,
// and counts as cut by the daemon; and against the reverse.
#[gtest]
fn an_answer_is_cut_by_a_sound_server_in_time_only() {
    let mut evidence = fixture().evidence;
    evidence.exchanges[0].end = End::Cut;
    let found = || contains_substring("was cut");
    let (sent, ended) = (evidence.exchanges[0].sent, evidence.exchanges[0].ended);
    let fault = |upstream, from, until| Link {
        upstream,
        from,
        until,
    };
    evidence.faults = vec![fault(0, sent, sent)];
    // An answer that the daemon holds whole has no such excuse.
    expect_that!(evidence.violations(), elements_are![found()]);
    evidence.exchanges[0].is_streamed = true;
    expect_that!(evidence.violations(), is_empty());
    evidence.faults = vec![
        fault(1, sent, ended),
        fault(0, ended + BOUND, ended + BOUND),
    ];
    expect_that!(evidence.violations(), elements_are![found()]);
    evidence.exchanges[0].ended = sent + Duration::from_millis(1600);
    expect_that!(evidence.violations(), elements_are![found()]);
    evidence.exchanges[0].ended = sent + Duration::from_millis(1800);
    expect_that!(evidence.violations(), is_empty());
}

// Guards against a kill or a freeze of the host that is counted as a broken
// promise, and against one of another host that hides one.
#[gtest]
fn only_a_disturbance_of_the_same_host_excuses_a_cut() {
    let Fixture {
        mut evidence,
        start,
    } = fixture();
    evidence.exchanges[0].end = End::Cut;
    let disturb = |host: usize| Span {
        subject: Subject::Host(host),
        from: start,
        until: start + Duration::from_millis(10),
    };
    evidence.spans = vec![disturb(1)];
    expect_that!(evidence.violations().len(), eq(1));
    evidence.spans = vec![disturb(0)];
    expect_that!(evidence.violations(), is_empty());
    // A refusal that is not true has no excuse.
    evidence.exchanges[0].end = answered(503, false);
    expect_that!(evidence.violations().len(), eq(1));
}

// Guards against work for a server after it had left.
#[gtest]
fn late_work_for_a_server_that_left_is_found() {
    let Fixture {
        mut evidence,
        start,
    } = fixture();
    evidence.record = vec![entry(7, 3)];
    evidence.departures = vec![Departure {
        upstream: 3,
        from: start,
        last_number: 6,
        return_number: None,
        until: None,
    }];
    let found = contains_substring("after it had left");
    expect_that!(evidence.violations(), elements_are![found]);
    evidence.departures[0].last_number = 7;
    expect_that!(evidence.violations(), is_empty());
    evidence.departures[0].last_number = 6;
    evidence.spans = vec![Span {
        subject: Subject::Host(0),
        from: start + BOUND / 2,
        until: start + BOUND,
    }];
    expect_that!(evidence.violations(), is_empty());
}

// Guards against a host that holds requests beyond their deadline, or memory beyond
// what it may have, and nobody notices.
#[gtest]
fn overdue_requests_and_exceeded_memory_are_found() {
    let Fixture {
        mut evidence,
        start,
    } = fixture();
    let first = evidence.exchanges[0].clone();
    let answered_after = |ms: u64| Exchange {
        id: format!("late-{ms}"),
        ended: start + Duration::from_millis(ms),
        ..first.clone()
    };
    // 24 requests end within the slack, and eight later.
    let late = (0..24).map(|number| answered_after(2100 + number));
    let overdue = (0..8).map(|number| answered_after(2600 + number));
    let added: Vec<Exchange> = late.chain(overdue).collect();
    evidence.exchanges.extend(added);
    expect_that!(evidence.violations(), is_empty());
    let one_more = answered_after(3000);
    evidence.exchanges.push(one_more);
    let found = contains_substring("of 33 requests without an answer at their deadline 9");
    expect_that!(evidence.violations(), elements_are![found]);
    evidence.spans = vec![Span {
        subject: Subject::Host(0),
        from: start,
        until: start + BOUND,
    }];
    expect_that!(evidence.violations(), is_empty());
    evidence.peaks = vec![0, 160_000_001];
    let found = contains_substring("host 1 had 160000001 bytes");
    expect_that!(evidence.violations(), elements_are![found]);
}

/// Evidence of one arrival at server 0 that was answered at once, and of others
/// `later_ms` after it, all through host 0.
fn with_arrivals(is_leaving: bool, retry_after: Option<f64>, later_ms: &[u64]) -> Evidence {
    let Fixture {
        mut evidence,
        start,
    } = fixture();
    evidence.record.clear();
    for (number, ms) in [0].iter().chain(later_ms).enumerate() {
        let id = format!("order-{number}");
        let sent = start + Duration::from_millis(*ms);
        evidence.exchanges.push(Exchange {
            id: id.clone(),
            sent,
            ended: sent,
            ..evidence.exchanges[0].clone()
        });
        evidence.arrivals.push(Arrival {
            id,
            server: 0,
            at_ms: *ms as f64,
            answered_ms: Some(*ms as f64),
            is_leaving: is_leaving && number == 0,
            retry_after: retry_after.filter(|_| number == 0),
        });
    }
    evidence
}

// Guards against requests that a server did not want and nobody notices.
#[gtest]
fn unwanted_requests_are_found() {
    let mut evidence = with_arrivals(true, None, &[400, 900]);
    let found = || contains_substring("after it said to order-0 that it leaves: order-2");
    expect_that!(evidence.violations(), elements_are![found()]);
    evidence.starts.push(Start {
        upstream: 0,
        at: evidence.counted_from + Duration::from_millis(800),
    });
    expect_that!(evidence.violations(), is_empty());
    evidence.starts[0].upstream = 1;
    expect_that!(evidence.violations(), elements_are![found()]);

    // An answer on a disturbed link counts only if it was passed on.
    evidence.links = vec![Link {
        upstream: 0,
        from: evidence.counted_from,
        until: evidence.counted_from,
    }];
    expect_that!(evidence.violations(), elements_are![found()]);
    let elsewhere = Arrival {
        server: 1,
        ..evidence.arrivals[0].clone()
    };
    evidence.arrivals.insert(1, elsewhere);
    expect_that!(evidence.violations(), is_empty());
    evidence.links.clear();
    expect_that!(evidence.violations(), elements_are![found()]);

    // Two answers said it to the host; the first one was ignored more often.
    let mut evidence = with_arrivals(true, None, &[400, 900, 1000]);
    evidence.arrivals[1].is_leaving = true;
    expect_that!(evidence.violations(), elements_are![found()]);

    let evidence = with_arrivals(false, Some(2.0), &[400, 600, 700, 2100]);
    expect_that!(evidence.violations(), is_empty());
    let mut evidence = with_arrivals(false, Some(2.0), &[600, 700, 1900]);
    let found =
        || contains_substring("for which it asked order-0 for none: order-1 order-2 order-3");
    expect_that!(evidence.violations(), elements_are![found()]);

    evidence.spans = vec![Span {
        subject: Subject::Host(0),
        from: evidence.counted_from + Duration::from_millis(100),
        until: evidence.counted_from + Duration::from_millis(200),
    }];
    expect_that!(evidence.violations(), is_empty());
}
