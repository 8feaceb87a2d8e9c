//! The plan of a run: which faults are injected and when.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Time before the first step, in which all hosts are healthy.
const WARM_UP: Duration = Duration::from_millis(1500);

/// Longest pause between the beginnings of two steps. Many steps last longer, so
/// they overlap.
const MAX_PAUSE: Duration = Duration::from_millis(1200);

/// Longest pause between two steps in which servers say what they want.
const MAX_WISH_PAUSE: Duration = Duration::from_secs(4);

/// Longest pause between two short suspensions.
const MAX_FREEZE_PAUSE: Duration = Duration::from_secs(3);

/// Distinguishes the random numbers of these steps from those of the others.
const WISHES: u64 = 0x5eed;

/// As [`WISHES`], for short suspensions.
const FREEZES: u64 = 0xf4ee;

/// Size of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Seed of the plan.
    pub seed: u64,
    /// Time in which steps begin.
    pub length: Duration,
    /// Daemons.
    pub hosts: usize,
    /// Backend servers.
    pub upstreams: usize,
    /// Callers.
    pub callers: usize,
    /// Whether only work that operators and servers plan is drawn, beside which the
    /// guarantees have fewer exceptions than beside faults.
    #[serde(default)]
    pub is_planned: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seed: 1,
            length: Duration::from_secs(15),
            hosts: 4,
            upstreams: 6,
            callers: 12,
            is_planned: false,
        }
    }
}

/// One action on the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Step {
    /// A daemon is killed and started again later.
    Kill {
        /// Number of the daemon.
        host: usize,
        /// Time until it is started again.
        downtime: Duration,
    },
    /// All daemons are killed at once and started again.
    KillAll {
        /// Time until they are started again.
        downtime: Duration,
    },
    /// A daemon gets SIGTERM and is started again when it has exited.
    Stop {
        /// Number of the daemon.
        host: usize,
    },
    /// A daemon is suspended with SIGSTOP and resumed later.
    Suspend {
        /// Number of the daemon.
        host: usize,
        /// Time until it is resumed.
        duration: Duration,
    },
    /// A daemon gets SIGHUP.
    Hangup {
        /// Number of the daemon.
        host: usize,
    },
    /// A fault of the store is injected.
    Store {
        /// Fault of the store's stand-in.
        fault: Value,
        /// The only host that it affects; all if absent.
        only: Option<usize>,
        /// Time until the fault is cleared.
        duration: Duration,
    },
    /// The store removes its change history.
    Compact,
    /// The relay in front of a backend server or of the store is frozen, closed
    /// or delayed.
    Link {
        /// Number of the backend server; the store's relay if absent.
        upstream: Option<usize>,
        /// Change of the relay.
        change: Value,
        /// Time until it is open again.
        duration: Duration,
    },
    /// A fault of a backend server is injected.
    Fault {
        /// Number of the backend server.
        upstream: usize,
        /// Its fault.
        fault: Value,
        /// Time until the fault is cleared.
        duration: Duration,
    },
    /// A backend server reports that it is draining or its entry is removed; it
    /// registers again later.
    Leave {
        /// Number of the backend server.
        upstream: usize,
        /// Whether its entry is removed.
        is_removed: bool,
        /// Time until it registers again.
        duration: Duration,
    },
    /// A route is added to the configuration.
    Configure,
    /// A backend server says in all its answers that it is leaving, while its
    /// entry stays ready; later it starts anew.
    SayLeaving {
        /// Number of the backend server.
        upstream: usize,
        /// Time until its new start.
        duration: Duration,
    },
    /// A backend server turns some requests away and asks for time without
    /// requests.
    AskForTime {
        /// Number of the backend server.
        upstream: usize,
        /// Time that each such answer asks for.
        retry_after: Duration,
        /// Time until it serves all requests again.
        duration: Duration,
    },
}

/// The steps of a run with the times at which they begin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Size of the run.
    pub settings: Settings,
    /// Time from the start, and step.
    pub steps: Vec<(Duration, Step)>,
}

impl Plan {
    /// Draws the steps. The same settings give the same steps.
    pub fn draw(settings: Settings) -> Self {
        let steps = steps(&settings);
        Self { settings, steps }
    }
}

fn steps(settings: &Settings) -> Vec<(Duration, Step)> {
    let mut rng = SmallRng::seed_from_u64(settings.seed);
    let mut at = WARM_UP;
    let mut steps = Vec::new();
    while at < settings.length {
        let step = if settings.is_planned {
            planned_step(settings, &mut rng)
        } else {
            step(settings, &mut rng)
        };
        steps.push((at, step));
        at += MAX_PAUSE.mul_f64(rng.random_range(0.05..1.0));
    }
    steps.extend(wishes(settings));
    if !settings.is_planned {
        steps.extend(freezes(settings));
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

/// Returns steps in which servers say what they want. They have a generator of
/// their own, so that the other steps of a seed don't depend on them.
fn wishes(settings: &Settings) -> Vec<(Duration, Step)> {
    let mut rng = SmallRng::seed_from_u64(settings.seed ^ WISHES);
    let mut at = WARM_UP;
    let mut steps = Vec::new();
    loop {
        at += MAX_WISH_PAUSE.mul_f64(rng.random_range(0.1..1.0));
        if at >= settings.length {
            return steps;
        }
        let upstream = rng.random_range(0..settings.upstreams);
        let step = if rng.random_bool(0.5) {
            Step::SayLeaving {
                upstream,
                duration: Duration::from_millis(rng.random_range(2500..5000)),
            }
        } else {
            Step::AskForTime {
                upstream,
                retry_after: Duration::from_millis(rng.random_range(600..4000)),
                duration: Duration::from_millis(rng.random_range(200..2500)),
            }
        };
        steps.push((at, step));
    }
}

/// Returns short suspensions of daemons, from which they wake with calls under way
/// that are not timed out. They have a generator of their own, as [`wishes`].
fn freezes(settings: &Settings) -> Vec<(Duration, Step)> {
    let mut rng = SmallRng::seed_from_u64(settings.seed ^ FREEZES);
    let mut at = WARM_UP;
    let mut steps = Vec::new();
    loop {
        at += MAX_FREEZE_PAUSE.mul_f64(rng.random_range(0.1..1.0));
        if at >= settings.length {
            return steps;
        }
        let step = Step::Suspend {
            host: rng.random_range(0..settings.hosts),
            duration: Duration::from_millis(rng.random_range(50..1500)),
        };
        steps.push((at, step));
    }
}

fn step(settings: &Settings, rng: &mut SmallRng) -> Step {
    let host = rng.random_range(0..settings.hosts);
    let upstream = rng.random_range(0..settings.upstreams);
    let duration = Duration::from_millis(rng.random_range(200..3500));
    match rng.random_range(0..100) {
        0..12 => Step::Kill {
            host,
            downtime: duration / 4,
        },
        12..14 => Step::KillAll {
            downtime: duration / 4,
        },
        14..26 => Step::Stop { host },
        26..34 => Step::Suspend { host, duration },
        34..37 => Step::Hangup { host },
        37..47 => Step::Store {
            fault: store_fault(rng),
            only: rng.random_bool(0.5).then_some(host),
            duration,
        },
        47..50 => Step::Compact,
        50..62 => Step::Link {
            upstream: rng.random_bool(0.7).then_some(upstream),
            change: link_change(rng),
            duration,
        },
        62..82 => Step::Fault {
            upstream,
            fault: fault(rng),
            duration,
        },
        82..92 => Step::Leave {
            upstream,
            is_removed: rng.random_bool(0.5),
            duration: Duration::from_secs(5),
        },
        _ => Step::Configure,
    }
}

fn planned_step(settings: &Settings, rng: &mut SmallRng) -> Step {
    match rng.random_range(0..10) {
        0..5 => Step::Stop {
            host: rng.random_range(0..settings.hosts),
        },
        5 => Step::Hangup {
            host: rng.random_range(0..settings.hosts),
        },
        6..8 => Step::Leave {
            upstream: rng.random_range(0..settings.upstreams),
            is_removed: rng.random_bool(0.5),
            duration: Duration::from_secs(5),
        },
        _ => Step::Configure,
    }
}

fn pick(rng: &mut SmallRng, choices: &[Value]) -> Value {
    choices[rng.random_range(0..choices.len())].clone()
}

fn store_fault(rng: &mut SmallRng) -> Value {
    let choices = [
        json!({"mode": "busy"}),
        json!({"mode": "many"}),
        json!({"mode": "silent"}),
        json!({"delay_ms": 250}),
        json!({"lost_writes": 2}),
    ];
    pick(rng, &choices)
}

fn link_change(rng: &mut SmallRng) -> Value {
    let choices = [
        json!({"forward": "frozen"}),
        json!({"backward": "frozen"}),
        json!({"forward": "frozen", "backward": "frozen"}),
        json!({"forward": "closed", "backward": "closed"}),
        json!({"delay_ms": 120}),
    ];
    pick(rng, &choices)
}

fn fault(rng: &mut SmallRng) -> Value {
    let choices = [
        json!({"kind": "fail", "share": 0.9}),
        json!({"kind": "slow", "factor": 8.0}),
        json!({"kind": "cut", "share": 0.5}),
        json!({"kind": "hang", "begin": true}),
        json!({"kind": "silent_open"}),
        json!({"kind": "shed", "share": 0.6}),
        json!({"kind": "crossed", "share": 0.5}),
        json!({"kind": "refuse"}),
        json!({"kind": "flap", "period_ms": 400, "fault": {"kind": "fail"}}),
    ];
    pick(rng, &choices)
}
