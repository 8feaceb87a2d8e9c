//! Invariants of ejection over random sequences of events.

mod common;

use std::time::{Duration, Instant};

use dotterelhinge_policy::health::{Change, Health, Outcome, View};
use proptest::{prelude::*, test_runner::RngSeed};

/// So many that a ramp allows all only in its last 3 ms. Full slots then mean
/// a healthy upstream.
const SLOTS: u32 = 1000;

const CLASSES: [&str; 3] = ["lookup", "order", "confirm"];

#[derive(Clone, Debug)]
enum Event {
    Report(usize, usize, Outcome, usize),
    Pass(u64),
    Leave(usize),
    Return(usize),
    Configure(Vec<String>, usize),
    Restart,
}

fn event() -> impl Strategy<Value = Event> {
    let outcome = prop_oneof![
        3 => Just(Outcome::Good),
        6 => Just(Outcome::Failed),
        2 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::Shed),
    ];
    let report = (0..6usize, 0..3usize, outcome, 1..30usize);
    let names: Vec<String> = (0..12)
        .map(|n| format!("u{}{}", n / 2, ["", "!"][n % 2]))
        .collect();
    let listed = prop::sample::subsequence(names, 1..=8).prop_map(|mut names| {
        names.dedup_by(|later, first| later.trim_end_matches('!') == first.trim_end_matches('!'));
        names
    });
    prop_oneof![
        30 => report.prop_map(|(upstream, class, outcome, rounds)| Event::Report(upstream, class, outcome, rounds)),
        8 => (100..8000u64).prop_map(Event::Pass),
        1 => (0..6usize).prop_map(Event::Leave),
        1 => (0..6usize).prop_map(Event::Return),
        1 => (listed, 0..5usize).prop_map(|(names, floor)| Event::Configure(names, floor)),
        1 => Just(Event::Restart),
    ]
}

/// Upstreams that serve every class with all slots.
fn full(health: &Health, now: Instant, count: usize) -> usize {
    let serves = |upstream, class| health.slots(now, upstream, class) == SLOTS;
    (0..count)
        .filter(|&upstream| (0..3).all(|class| serves(upstream, class)))
        .count()
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against ejections, also adopted ones, that leave fewer healthy
    /// upstreams than the floor, and against a loss of healthy upstreams by
    /// anything but ejection, departure and edits.
    #[test]
    fn ejection_leaves_the_floor(
        mut floor in 0..5usize,
        events in prop::collection::vec(event(), 1..120),
    ) {
        let mut names: Vec<String> = (0..6).map(|n| format!("u{n}")).collect();
        let mut now = Instant::now();
        let (service, classes) = common::terms(&names, &CLASSES, SLOTS, floor);
        let mut health = Health::new(service, classes, &View::default(), now);
        for event in events {
            let mut before = full(&health, now, names.len());
            let mut changes = Vec::new();
            match event {
                Event::Report(upstream, class, outcome, rounds) if upstream < names.len() => {
                    for round in 0..rounds {
                        let host = ["a", "b", "c"][round % 3];
                        let place = (upstream, class);
                        changes.extend(common::observe(&mut health, now, place, host, outcome, 5));
                        now += Duration::from_millis(20);
                    }
                }
                Event::Pass(ms) => {
                    now += Duration::from_millis(ms);
                    changes = health.tick(now);
                }
                Event::Leave(upstream) if upstream < names.len() => {
                    health.mark_leaving(upstream);
                    before = 0;
                }
                Event::Return(upstream) if upstream < names.len() => {
                    health.mark_returned(now, upstream);
                }
                Event::Report(..) | Event::Leave(_) | Event::Return(_) => {}
                Event::Configure(listed, wanted) => {
                    (names, floor) = (listed, wanted);
                    floor = floor.min(names.len());
                    let (service, classes) = common::terms(&names, &CLASSES, SLOTS, floor);
                    health.configure(now, service, classes);
                    before = 0;
                }
                Event::Restart => {
                    let (service, classes) = common::terms(&names, &CLASSES, SLOTS, floor);
                    let view = health.view();
                    health = Health::new(service, classes, &view, now);
                    before = floor.min(names.len() - health.view().leaving.len());
                }
            }
            let after = full(&health, now, names.len());
            prop_assert!(after >= health.healthy());
            let mut ejected = false;
            for change in &changes {
                if let Change::Ejected { healthy, .. } | Change::UpstreamEjected { healthy, .. } = change {
                    ejected = true;
                    prop_assert!(*healthy >= floor, "{change:?}");
                }
            }
            let least = if ejected { floor } else { before };
            prop_assert!(after >= least, "{after} of {before} with floor {floor}, {changes:?}");
        }
    }

    /// Guards against an ejection on the word of one host, whatever it reports
    /// on classes and upstreams, while another host sees good outcomes.
    #[test]
    fn one_host_ejects_nothing(events in prop::collection::vec(event(), 1..120)) {
        let names: Vec<String> = (0..6).map(|n| format!("u{n}")).collect();
        let (service, classes) = common::terms(&names, &CLASSES, SLOTS, 0);
        let mut now = Instant::now();
        let mut health = Health::new(service, classes, &View::default(), now);
        common::observe(&mut health, now, (0, 0), "b", Outcome::Good, 5);
        for event in events {
            if let Event::Report(upstream, class, outcome, rounds) = event {
                for round in 0..rounds {
                    let (host, outcome) = [("a", outcome), ("b", Outcome::Good)][round / 8 % 2];
                    let changes = common::observe(&mut health, now, (upstream, class), host, outcome, 5);
                    prop_assert_eq!(changes, vec![]);
                    now += Duration::from_millis(20);
                }
            } else if let Event::Pass(ms) = event {
                now += Duration::from_millis(ms / 4);
                prop_assert_eq!(health.tick(now), vec![]);
            }
        }
    }
}
