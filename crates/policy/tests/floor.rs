//! Invariants of ejection over random sequences of events.

mod common;

use common::{HOSTS, Run, Step};
use dotterelhinge_policy::health::{Change, Outcome};
use proptest::{prelude::*, test_runner::RngSeed};

/// So many that a ramp allows all only in its last 3 ms. Full slots then mean
/// a healthy upstream.
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

/// Upstreams that serve every class with all slots.
fn full(run: &Run) -> usize {
    let serves = |upstream, class| run.health.slots(run.now, upstream, class) == SLOTS;
    let all = |upstream: &usize| (0..3).all(|class| serves(*upstream, class));
    (0..run.upstreams.len()).filter(all).count()
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
        floor in 0..5usize,
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut run = Run::new(&names(), SLOTS, floor);
        for step in steps {
            let mut least = full(&run);
            match &step {
                Step::Send(to, ..) if to[0] >= run.upstreams.len() => continue,
                Step::Leave(n) | Step::Return(n) if *n >= run.upstreams.len() => continue,
                Step::Leave(_) | Step::Configure(..) => least = 0,
                Step::Restart => {
                    let leaving = run.health.view().leaving.len();
                    least = run.floor.min(run.upstreams.len() - leaving);
                }
                _ => {}
            }
            run.changes.clear();
            run.apply(step, "");
            for change in &run.changes {
                if let Change::Ejected { healthy, .. } | Change::UpstreamEjected { healthy, .. } = change {
                    least = run.floor;
                    prop_assert!(*healthy >= run.floor, "{change:?}");
                }
            }
            prop_assert!(full(&run) >= least, "{} of {least}, {:?}", full(&run), run.changes);
            prop_assert!(full(&run) >= run.health.healthy_count());
        }
    }

    /// Guards against an ejection on the word of one host, whatever it reports
    /// on classes and upstreams, while another host sees good outcomes.
    #[test]
    fn one_host_ejects_nothing(steps in prop::collection::vec(step(), 1..120)) {
        let mut run = Run::new(&names(), SLOTS, 0);
        for step in steps {
            if let Step::Send(to, class, outcomes, _, rounds) = step {
                run.observe((to[0], class), HOSTS[1], Outcome::Good, 5);
                (0..rounds).for_each(|_| run.observe((to[0], class), HOSTS[0], outcomes[0], 5));
            } else if let Step::PassMs(ms) = step {
                run.pass(ms / 4);
            }
            prop_assert_eq!(&run.changes, &vec![]);
        }
    }
}
