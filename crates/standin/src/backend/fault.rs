//! Faults and their effect on a request.

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

/// A fault as set by `POST /fault`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Longer service times.
    Slow {
        /// Multiplies the service time.
        factor: Option<f64>,
        /// Replaces the service time; applied before `factor`.
        fixed_ms: Option<u64>,
        /// Share of the requests that are affected, from 0 to 1.
        #[serde(default = "always")]
        share: f64,
    },
    /// Requests run and are answered with an error status.
    Fail {
        /// Share of the requests that are affected, from 0 to 1.
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
        /// Share of the requests that are affected, from 0 to 1.
        #[serde(default = "always")]
        share: f64,
    },
    /// Connections that are open at the time of the call stay open and never
    /// answer again.
    SilentOpen {},
    /// Requests are accepted and never answered.
    Hang {
        /// Whether the request is recorded as begun. It occupies no slot.
        #[serde(default)]
        begin: bool,
    },
    /// Another fault that is alternately active and inactive, active first.
    Flap {
        /// Length of each active or inactive phase.
        period_ms: u64,
        /// The fault.
        fault: Box<Fault>,
    },
    /// Answers carry `x-draining: 1` and `connection: close`.
    Drain {},
    /// Longer service times for a limited time after the call.
    Cold {
        /// How long after the call.
        for_ms: u64,
        /// Multiplies the service time.
        #[serde(default = "cold_factor")]
        factor: f64,
    },
    /// Requests are answered 503 with `x-not-run: 1` and don't begin.
    Shed {
        /// Share of the requests that are affected, from 0 to 1.
        #[serde(default = "always")]
        share: f64,
        /// Value of `retry-after` in these answers, in seconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        retry_after: Option<f64>,
    },
    /// All answers but those of probes carry `server-leaving: 1`.
    Leave {},
    /// Answers are sent after the deadline in `x-deadline-ms`.
    Late {
        /// How long after the deadline.
        #[serde(default = "late_ms")]
        by_ms: u64,
        /// Share of the requests that are affected, from 0 to 1.
        #[serde(default = "always")]
        share: f64,
    },
    /// Answers carry the id of another request, and a generated body that names
    /// it.
    Crossed {
        /// Share of the requests that are affected, from 0 to 1.
        #[serde(default = "always")]
        share: f64,
    },
    /// The listener is closed; open connections stay open.
    Refuse {},
    /// Removes the faults set so far, except `silent_open`.
    Clear {},
}

/// Body of `POST /fault`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// Server numbers from 0; all servers if absent.
    pub servers: Option<Vec<usize>>,
    /// Path prefix, or a class name if it does not start with `/`.
    pub class: Option<String>,
    /// The fault.
    pub fault: Fault,
}

impl Fault {
    /// Checks shares, factors and periods. A flapping fault may not contain
    /// `flap`, nor `clear` or `silent_open`, which can't be switched off.
    pub fn validate(&self) -> Result<(), &'static str> {
        match self {
            Fault::Slow { share, .. }
            | Fault::Fail { share, .. }
            | Fault::Cut { share }
            | Fault::Shed { share, .. }
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

/// A fault that is set on one server.
#[derive(Clone, Debug)]
pub struct Rule {
    /// Path prefix or class to which it is limited.
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

    /// Returns the fault if it is active at `now`; for a flapping fault, the
    /// fault that it contains.
    fn active(&self, now: Instant) -> Option<&Fault> {
        let since = now.saturating_duration_since(self.since);
        match &self.fault {
            Fault::Flap { period_ms, fault } => {
                let phase = since.as_millis() / u128::from((*period_ms).max(1));
                phase.is_multiple_of(2).then_some(&**fault)
            }
            Fault::Cold { for_ms, .. } if since >= Duration::from_millis(*for_ms) => None,
            fault => Some(fault),
        }
    }
}

/// The faults that are set on one server.
#[derive(Clone, Debug, Default)]
pub struct Rules(Vec<Rule>);

/// The effect of the faults on one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Service time.
    pub service_time: Duration,
    /// Status of the answer.
    pub status: u16,
    /// Whether it is never answered: `None` if it is, `Some(true)` if it hangs
    /// and is recorded as begun.
    pub hang: Option<bool>,
    /// Whether it is answered as not run.
    pub is_shed: bool,
    /// Value of `retry-after` if it is.
    pub retry_after: Option<f64>,
    /// Whether the connection closes half-way through the answer.
    pub is_cut: bool,
    /// Whether it is answered with another request's id.
    pub is_crossed: bool,
    /// Time after its deadline at which it is answered, if it has a deadline.
    pub lateness: Option<Duration>,
    /// Whether the answer announces that the server is draining.
    pub is_draining: bool,
}

impl Rules {
    /// Sets a fault, replacing one of the same kind and class. `clear` removes
    /// the faults of its class, or all faults if it has no class.
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

    /// Returns the faults that are set.
    pub fn iter(&self) -> impl Iterator<Item = &Rule> {
        self.0.iter()
    }

    /// Whether connections are refused at `now`.
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

    /// Whether probes fail at `now`.
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

    /// Whether probes are never answered at `now`. A hang limited to a class
    /// does not affect probes.
    pub fn hangs_probes(&self, now: Instant) -> bool {
        self.0.iter().any(|rule| {
            rule.class.is_none() && matches!(rule.active(now), Some(Fault::Hang { .. }))
        })
    }

    /// Whether all answers announce that the server is draining.
    pub fn drains(&self, now: Instant) -> bool {
        self.0
            .iter()
            .any(|rule| rule.class.is_none() && matches!(rule.active(now), Some(Fault::Drain {})))
    }

    /// Whether all answers say that the server is leaving.
    pub fn leaves(&self, now: Instant) -> bool {
        self.0
            .iter()
            .any(|rule| matches!(rule.active(now), Some(Fault::Leave {})))
    }

    /// Returns the effect of the faults on a request with the given service
    /// time. Draws from `random` once per active fault of the request that has a
    /// share.
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
            retry_after: None,
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
            let mut is_hit = |share: f64| random.random_bool(share.clamp(0.0, 1.0));
            match fault {
                Fault::Slow {
                    factor,
                    fixed_ms,
                    share,
                } if is_hit(*share) => {
                    if let Some(fixed) = fixed_ms {
                        plan.service_time = Duration::from_millis(*fixed);
                    }
                    factors *= factor.unwrap_or(1.0);
                }
                Fault::Fail { share, status, .. } if is_hit(*share) => plan.status = *status,
                Fault::Cut { share } if is_hit(*share) => plan.is_cut = true,
                Fault::Hang { begin } => plan.hang = Some(*begin),
                Fault::Drain {} => plan.is_draining = true,
                Fault::Cold { factor, .. } => factors *= factor,
                Fault::Shed { share, retry_after } if is_hit(*share) => {
                    plan.is_shed = true;
                    plan.retry_after = *retry_after;
                }
                Fault::Late { by_ms, share } if is_hit(*share) => {
                    plan.lateness = Some(Duration::from_millis(*by_ms));
                }
                Fault::Crossed { share } if is_hit(*share) => plan.is_crossed = true,
                Fault::Slow { .. }
                | Fault::Fail { .. }
                | Fault::Cut { .. }
                | Fault::Shed { .. }
                | Fault::Late { .. }
                | Fault::Crossed { .. }
                | Fault::Leave {}
                | Fault::SilentOpen {}
                | Fault::Flap { .. }
                | Fault::Refuse {}
                | Fault::Clear {} => {}
            }
        }
        // Factors have no upper bound; a product out of range saturates.
        plan.service_time = Duration::try_from_secs_f64(plan.service_time.as_secs_f64() * factors)
            .unwrap_or(Duration::MAX);
        plan
    }
}
