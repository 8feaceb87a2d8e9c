//! Faults and what they make of one request.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

fn always() -> f64 {
    1.0
}

fn yes() -> bool {
    true
}

fn internal_server_error() -> u16 {
    500
}

fn cold_factor() -> f64 {
    10.0
}

fn late_ms() -> u64 {
    50
}

/// A fault as it is set by `POST /fault`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Longer service times.
    Slow {
        /// Multiplies the service time.
        factor: Option<f64>,
        /// Replaces the service time; applied before `factor`.
        fixed_ms: Option<u64>,
        /// Share of requests.
        #[serde(default = "always")]
        share: f64,
    },
    /// Requests run and answer with an error status.
    Fail {
        /// Share of requests.
        #[serde(default = "always")]
        share: f64,
        /// Status of the answer.
        #[serde(default = "internal_server_error")]
        status: u16,
        /// Whether `/health` still answers 200.
        #[serde(default = "yes")]
        pass_probes: bool,
    },
    /// The connection closes half-way through the answer.
    Cut {
        /// Share of requests.
        #[serde(default = "always")]
        share: f64,
    },
    /// Connections that are open at the time of the call go silent for good.
    SilentOpen {},
    /// Requests are accepted and never answered.
    Hang {
        /// Whether the request is recorded as begun. It takes no slot.
        #[serde(default)]
        begin: bool,
    },
    /// Another fault that is on and off in turns, starting with on.
    Flap {
        /// Length of each turn.
        period_ms: u64,
        /// The fault.
        fault: Box<Fault>,
    },
    /// Answers carry `x-draining: 1` and `connection: close`.
    Drain {},
    /// Longer service times for a while after the call.
    Cold {
        /// How long after the call.
        for_ms: u64,
        /// Multiplies the service time.
        #[serde(default = "cold_factor")]
        factor: f64,
    },
    /// Requests are answered 503 with `x-not-run: 1` and are not begun.
    Shed {
        /// Share of requests.
        #[serde(default = "always")]
        share: f64,
    },
    /// Answers come after the deadline in `x-deadline-ms`.
    Late {
        /// How long after the deadline.
        #[serde(default = "late_ms")]
        by_ms: u64,
        /// Share of requests.
        #[serde(default = "always")]
        share: f64,
    },
    /// Answers belong to another request.
    Crossed {
        /// Share of requests.
        #[serde(default = "always")]
        share: f64,
    },
    /// The listener is closed; open connections stay open.
    Refuse {},
    /// Ends the faults set so far, except the silence of connections.
    Clear {},
}

/// Body of `POST /fault`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// Server numbers from 0, or all.
    pub servers: Option<Vec<usize>>,
    /// Path prefix, or a class name if it does not start with `/`.
    pub class: Option<String>,
    /// The fault.
    pub fault: Fault,
}

impl Fault {
    /// Checks shares and rejects nested flapping, `clear` and `silent_open`,
    /// which are events without an end.
    pub fn validate(&self) -> Result<(), &'static str> {
        match self {
            Fault::Slow { share, .. }
            | Fault::Fail { share, .. }
            | Fault::Cut { share }
            | Fault::Shed { share }
            | Fault::Late { share, .. }
            | Fault::Crossed { share }
                if !(0.0..=1.0).contains(share) =>
            {
                Err("share is not between 0 and 1")
            }
            Fault::Slow {
                factor: None,
                fixed_ms: None,
                ..
            } => Err("slow needs factor or fixed_ms"),
            Fault::Slow {
                factor: Some(factor),
                ..
            }
            | Fault::Cold { factor, .. }
                if !factor.is_finite() || *factor < 0.0 =>
            {
                Err("factor is negative or not finite")
            }
            Fault::Flap { period_ms: 0, .. } => Err("period_ms is zero"),
            Fault::Flap { fault, .. } => match **fault {
                Fault::Flap { .. } | Fault::Clear {} | Fault::SilentOpen {} => {
                    Err("this fault cannot flap")
                }
                ref inner => inner.validate(),
            },
            _ => Ok(()),
        }
    }
}

/// A fault in force on one server.
#[derive(Clone, Debug)]
pub struct Rule {
    /// Path prefix or class that it is limited to.
    pub class: Option<String>,
    /// The fault.
    pub fault: Fault,
    /// When it was set.
    pub since: Instant,
}

impl Rule {
    fn covers(&self, path: &str, class: &str) -> bool {
        match &self.class {
            None => true,
            Some(prefix) if prefix.starts_with('/') => path.starts_with(prefix.as_str()),
            Some(name) => name == class,
        }
    }

    /// The fault that is in force now, flapping resolved.
    fn active(&self, now: Instant) -> Option<&Fault> {
        let since = now.saturating_duration_since(self.since);
        match &self.fault {
            Fault::Flap { period_ms, fault } => {
                let turn = since.as_millis() / u128::from((*period_ms).max(1));
                turn.is_multiple_of(2).then_some(&**fault)
            }
            Fault::Cold { for_ms, .. } if since >= Duration::from_millis(*for_ms) => None,
            fault => Some(fault),
        }
    }
}

/// The faults in force on one server.
#[derive(Clone, Debug, Default)]
pub struct Rules(Vec<Rule>);

/// What the faults make of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Service time.
    pub service_time: Duration,
    /// Status of the answer.
    pub status: u16,
    /// Never answered; `Some(true)` if it is recorded as begun.
    pub hang: Option<bool>,
    /// Answered as not run.
    pub is_shed: bool,
    /// Cut half-way through the answer.
    pub is_cut: bool,
    /// Answered with another request's id.
    pub is_crossed: bool,
    /// Answered so long after its deadline.
    pub lateness: Option<Duration>,
    /// The answer says that the server drains.
    pub is_draining: bool,
}

impl Rules {
    /// Sets a fault; one of the same kind and class is replaced. `clear`
    /// removes those of its class, or all if it names none.
    pub fn set(&mut self, class: Option<String>, fault: Fault, now: Instant) {
        if matches!(fault, Fault::Clear {}) {
            self.0.retain(|rule| class.is_some() && rule.class != class);
            return;
        }
        let kind = std::mem::discriminant(&fault);
        self.0
            .retain(|rule| rule.class != class || std::mem::discriminant(&rule.fault) != kind);
        self.0.push(Rule {
            class,
            fault,
            since: now,
        });
    }

    /// The faults that are set.
    pub fn iter(&self) -> impl Iterator<Item = &Rule> {
        self.0.iter()
    }

    /// Whether connections are refused now.
    pub fn refuses(&self, now: Instant) -> bool {
        self.0
            .iter()
            .any(|rule| matches!(rule.active(now), Some(Fault::Refuse {})))
    }

    /// Whether the listener may have to change without another control call.
    pub fn flaps(&self) -> bool {
        self.0
            .iter()
            .any(|rule| matches!(rule.fault, Fault::Flap { .. }))
    }

    /// Whether probes fail now.
    pub fn fails_probes(&self, now: Instant) -> bool {
        self.0.iter().any(|rule| {
            matches!(
                rule.active(now),
                Some(Fault::Fail {
                    pass_probes: false,
                    ..
                })
            )
        })
    }

    /// Whether probes are never answered now. A hang limited to a class
    /// leaves them alone.
    pub fn hangs_probes(&self, now: Instant) -> bool {
        self.0.iter().any(|rule| {
            rule.class.is_none() && matches!(rule.active(now), Some(Fault::Hang { .. }))
        })
    }

    /// Whether all answers say that the server drains.
    pub fn drains(&self, now: Instant) -> bool {
        self.0
            .iter()
            .any(|rule| rule.class.is_none() && matches!(rule.active(now), Some(Fault::Drain {})))
    }

    /// Decides what becomes of a request with the given service time.
    pub fn plan<R: Rng>(
        &self,
        path: &str,
        class: &str,
        service: Duration,
        now: Instant,
        random: &mut R,
    ) -> Plan {
        let mut plan = Plan {
            service_time: service,
            status: 200,
            hang: None,
            is_shed: false,
            is_cut: false,
            is_crossed: false,
            lateness: None,
            is_draining: false,
        };
        let mut factors = 1.0;
        let active = self
            .0
            .iter()
            .filter(|rule| rule.covers(path, class))
            .filter_map(|rule| rule.active(now));
        for fault in active {
            let mut hit = |share: f64| random.random_bool(share.clamp(0.0, 1.0));
            match fault {
                Fault::Slow {
                    factor,
                    fixed_ms,
                    share,
                } if hit(*share) => {
                    if let Some(fixed) = fixed_ms {
                        plan.service_time = Duration::from_millis(*fixed);
                    }
                    factors *= factor.unwrap_or(1.0);
                }
                Fault::Fail { share, status, .. } if hit(*share) => plan.status = *status,
                Fault::Cut { share } if hit(*share) => plan.is_cut = true,
                Fault::Hang { begin } => plan.hang = Some(*begin),
                Fault::Drain {} => plan.is_draining = true,
                Fault::Cold { factor, .. } => factors *= factor,
                Fault::Shed { share } if hit(*share) => plan.is_shed = true,
                Fault::Late { by_ms, share } if hit(*share) => {
                    plan.lateness = Some(Duration::from_millis(*by_ms));
                }
                Fault::Crossed { share } if hit(*share) => plan.is_crossed = true,
                Fault::Slow { .. }
                | Fault::Fail { .. }
                | Fault::Cut { .. }
                | Fault::Shed { .. }
                | Fault::Late { .. }
                | Fault::Crossed { .. }
                | Fault::SilentOpen {}
                | Fault::Flap { .. }
                | Fault::Refuse {}
                | Fault::Clear {} => {}
            }
        }
        // A factor has no upper bound, so a product out of range becomes the longest time.
        plan.service_time = Duration::try_from_secs_f64(plan.service_time.as_secs_f64() * factors)
            .unwrap_or(Duration::MAX);
        plan
    }
}
