//! Property tests of ejection over random sequences of events.

mod common;

use common::{Fixture, HOSTS, Step};
use dotterelhinge_policy::health::{Change, Outcome};
use proptest::{prelude::*, test_runner::RngSeed};

/// Slots of each upstream. They are so many that a ramp allows all of them only in
/// its last 3 ms, so that an upstream with full slots is healthy.
const SLOTS: u32 = 1000;

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        3 => Just(Outcome::Good),
        6 => Just(Outcome::Failed),
        2 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::Shed),
    ];
    let hosts = HOSTS.map(str::to_owned).to_vec();
    let send = (0..6usize, 0..3usize, outcome, 1..30usize).prop_map(
        move |(upstream, class, outcome, rounds)| {
            Step::Send(vec![upstream], class, vec![outcome], hosts.clone(), rounds)
        },
    );
    let mut names = names();
    names = names
        .iter()
        .flat_map(|name| [name.clone(), format!("{name}!")])
        .collect();
    let listed = prop::sample::subsequence(names, 1..=8).prop_map(|mut names| {
        names.dedup_by(|later, first| later.trim_end_matches('!') == first.trim_end_matches('!'));
        names
    });
    prop_oneof![
        30 => send,
        8 => (100..8000u64).prop_map(Step::PassMs),
        1 => (0..6usize).prop_map(Step::Leave),
        1 => (0..6usize).prop_map(Step::Return),
        1 => (listed, 0..5usize)
            .prop_map(|(names, floor)| Step::Configure(names, floor)),
        1 => Just(Step::Restart),
    ]
}

fn names() -> Vec<String> {
    (0..6).map(|n| format!("u{n}")).collect()
}

/// Returns the number of upstreams that serve every class with all slots.
fn full_upstreams(fixture: &Fixture) -> usize {
    let serves = |upstream, class| fixture.health.slots(fixture.now, upstream, class) == SLOTS;
    let all = |upstream: &usize| (0..3).all(|class| serves(*upstream, class));
    (0..fixture.upstreams.len()).filter(all).count()
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

    /// Guards against ejections, including adopted ones, that leave fewer healthy
    /// upstreams than the floor, and against losing healthy upstreams other than
    /// by ejection, departure or a configuration change.
    #[test]
    fn ejection_respects_the_floor(
        floor in 0..5usize,
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut fixture = Fixture::new(&names(), SLOTS, floor);
        for step in steps {
            let mut min_full = full_upstreams(&fixture);
            match &step {
                Step::Send(to, ..) if to[0] >= fixture.upstreams.len() => continue,
                Step::Leave(n) | Step::Return(n) if *n >= fixture.upstreams.len() => continue,
                Step::Leave(_) | Step::Configure(..) => min_full = 0,
                Step::Restart => {
                    let leaving = fixture.health.view().leaving.len();
                    min_full = fixture.floor.min(fixture.upstreams.len() - leaving);
                }
                _ => {}
            }
            fixture.changes.clear();
            fixture.apply(step, "");
            for change in &fixture.changes {
                if let Change::Ejected { healthy, .. } | Change::UpstreamEjected { healthy, .. } = change {
                    min_full = fixture.floor;
                    prop_assert!(*healthy >= fixture.floor, "{change:?}");
                }
            }
            prop_assert!(full_upstreams(&fixture) >= min_full, "{} of {min_full}, {:?}", full_upstreams(&fixture), fixture.changes);
            prop_assert!(full_upstreams(&fixture) >= fixture.health.healthy_count());
        }
    }

    /// Guards against an ejection that only one host's reports support, whatever it
    /// reports for classes and upstreams, while another host reports good outcomes.
    #[test]
    fn one_host_alone_ejects_nothing(steps in prop::collection::vec(step(), 1..120)) {
        let mut fixture = Fixture::new(&names(), SLOTS, 0);
        for step in steps {
            if let Step::Send(to, class, outcomes, _, rounds) = step {
                fixture.observe((to[0], class), HOSTS[1], Outcome::Good, 5);
                (0..rounds).for_each(|_| fixture.observe((to[0], class), HOSTS[0], outcomes[0], 5));
            } else if let Step::PassMs(ms) = step {
                fixture.pass(ms / 4);
            }
            prop_assert_eq!(&fixture.changes, &vec![]);
        }
    }
}
