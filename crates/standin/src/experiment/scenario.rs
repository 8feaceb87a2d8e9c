//! Scenarios of the benchmark.

use serde_json::{Value, json};

/// Which backend servers of the main service a fault is on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Servers {
    /// The first one.
    First,
    /// A third of those in the zone of the first.
    ThirdOfZone,
    /// All.
    All,
}

/// What happens during the load.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Nothing.
    None,
    /// A fault of backend servers.
    Servers {
        /// Where.
        servers: Servers,
        /// Whether only the class that may not be repeated fails.
        one_class: bool,
        /// The stand-in's fault.
        fault: Value,
        /// Whether the servers should be avoided. Servers with a fault that
        /// passes by itself need not be, and connections are no servers.
        avoid: bool,
    },
    /// A daemon that coordinates no service is killed.
    KillDaemon,
    /// The daemon that coordinates the main service is killed.
    KillCoordinator,
    /// A daemon is stopped for 5 s and continued.
    FreezeDaemon,
    /// An edit marks the first backend server as leaving.
    Leave,
}

/// A named scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Name on the command line and of the result files.
    pub name: &'static str,
    /// Share of the capacity without fault.
    pub load: f64,
    /// What happens.
    pub event: Event,
}

/// All scenarios, the most telling first.
pub fn all() -> Vec<Scenario> {
    let load = |name, load| Scenario {
        name,
        load,
        event: Event::None,
    };
    let event = |name, event| Scenario {
        name,
        load: 0.6,
        event,
    };
    let fault = |name, servers, one_class, avoid, fault| {
        let fault = Event::Servers {
            servers,
            one_class,
            fault,
            avoid,
        };
        event(name, fault)
    };
    let fail = || json!({"kind": "fail"});
    vec![
        load("load-80", 0.8),
        fault("fail-all", Servers::First, false, true, fail()),
        fault(
            "fail-30",
            Servers::First,
            false,
            true,
            json!({"kind": "fail", "share": 0.3}),
        ),
        event("kill-coordinator", Event::KillCoordinator),
        event("leaving", Event::Leave),
        load("load-95", 0.95),
        fault(
            "slow",
            Servers::First,
            false,
            true,
            json!({"kind": "slow", "factor": 10}),
        ),
        fault(
            "hang",
            Servers::First,
            false,
            true,
            json!({"kind": "hang", "begin": true}),
        ),
        fault("fail-class", Servers::First, true, true, fail()),
        fault(
            "flap",
            Servers::First,
            false,
            true,
            json!({"kind": "flap", "period_ms": 1000, "fault": fail()}),
        ),
        fault("fail-zone-third", Servers::ThirdOfZone, false, true, fail()),
        fault(
            "silent-connections",
            Servers::All,
            false,
            false,
            json!({"kind": "silent_open"}),
        ),
        fault(
            "cold",
            Servers::First,
            false,
            false,
            json!({"kind": "cold", "for_ms": 3000}),
        ),
        event("kill-daemon", Event::KillDaemon),
        event("freeze-daemon", Event::FreezeDaemon),
        load("load-50", 0.5),
        load("load-120", 1.2),
    ]
}

impl Servers {
    /// Numbers of the servers among those with these zones.
    pub fn numbers(self, zones: &[String]) -> Vec<usize> {
        match self {
            Self::First => vec![0],
            Self::All => (0..zones.len()).collect(),
            Self::ThirdOfZone => {
                let same: Vec<_> = (0..zones.len()).filter(|n| zones[*n] == zones[0]).collect();
                same[..same.len().div_ceil(3)].to_vec()
            }
        }
    }
}
