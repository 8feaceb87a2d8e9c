//! What one worker thread knows by itself: upstreams that it chooses without
//! a coordinator, upstreams that it can't reach, and coordinators that do not
//! answer.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{baseline, budget, contract, fallback, health, placement, retry};
use rand::{SeedableRng, rngs::SmallRng};

use super::Exchange;
use crate::{context, settings};

/// A coordinator that failed is not asked again for this long.
const PASSED_OVER: Duration = Duration::from_secs(1);

enum Choice {
    Fallback(fallback::Fallback),
    Baseline(baseline::Baseline),
}

struct Service {
    version: u64,
    contract: Arc<contract::Service>,
    choice: Choice,
    budget: budget::Budget,
}

/// State of one worker thread.
pub(super) struct Own {
    services: HashMap<Arc<str>, Service>,
    passed_over: HashMap<Arc<str>, Instant>,
    rng: SmallRng,
}

impl Default for Own {
    fn default() -> Self {
        Self {
            services: HashMap::new(),
            passed_over: HashMap::new(),
            rng: SmallRng::from_rng(&mut rand::rng()),
        }
    }
}

impl Own {
    /// Whether a coordinator failed a short while ago.
    pub(super) fn passes_over(&self, now: Instant, host: &str) -> bool {
        self.passed_over
            .get(host)
            .is_some_and(|since| now.duration_since(*since) < PASSED_OVER)
    }

    /// Notes that a coordinator did not answer.
    pub(super) fn pass_over(&mut self, now: Instant, host: Arc<str>) {
        self.passed_over.insert(host, now);
    }

    /// Upstreams to exclude from the next attempt: those already tried, and
    /// those that this thread can't reach unless they are half of the service,
    /// when the fault is more likely on this side.
    pub(super) fn excluded(
        &mut self,
        context: &context::Context,
        exchange: &Exchange,
        now: Instant,
    ) -> retry::Excluded {
        let mut excluded = exchange.excluded.clone();
        let service = self.service(context, exchange);
        if let Choice::Fallback(fallback) = &service.choice {
            let avoided = fallback.avoided(now);
            if avoided.len() * 2 < service.contract.upstreams.len() {
                excluded.extend(avoided);
            }
        }
        excluded
    }

    /// Chooses an upstream without the coordinator.
    pub(super) fn pick(
        &mut self,
        context: &context::Context,
        exchange: &Exchange,
        now: Instant,
    ) -> Result<contract::Upstream, placement::Refusal> {
        let zone = &context.settings.availability_zone;
        let standing = context.status(&exchange.service().name);
        let mut rng = SmallRng::from_rng(&mut self.rng);
        let service = self.service(context, exchange);
        if exchange.attempts == 1 {
            service.budget.earn();
        } else if !service.budget.take() {
            return Err(placement::Refusal::Budget);
        }
        let excluded = &exchange.excluded;
        let picked = match &mut service.choice {
            Choice::Baseline(baseline) => baseline.pick(now, excluded, &mut rng),
            Choice::Fallback(fallback) => {
                if let Some(standing) = standing {
                    fallback.adopt(standing.received, standing.view);
                }
                fallback.pick(now, exchange.class, zone, excluded, &mut rng)
            }
        };
        picked
            .map(|index| service.contract.upstreams[index].clone())
            .ok_or(placement::Refusal::NoUpstream)
    }

    /// Takes the end of an attempt into account; `chosen` tells whether this
    /// thread had chosen the upstream.
    pub(super) fn settle(
        &mut self,
        now: Instant,
        name: &Arc<str>,
        upstream: &Arc<str>,
        outcome: health::Outcome,
        draining: bool,
        chosen: bool,
    ) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let mut upstreams = service.contract.upstreams.iter();
        let Some(index) = upstreams.position(|u| u.name == *upstream) else {
            return;
        };
        let unreachable = outcome == health::Outcome::ConnectFailed;
        match &mut service.choice {
            Choice::Baseline(baseline) => {
                if baseline.settle(now, index, outcome) {
                    log::warn!(event = "ejected", service = &**name, upstream = &**upstream; "upstream ejected by this daemon alone");
                }
            }
            Choice::Fallback(fallback) => {
                if draining {
                    fallback.mark_leaving(index);
                }
                if chosen {
                    fallback.settle(now, index, unreachable);
                } else if unreachable {
                    fallback.avoid(now, index);
                }
            }
        }
    }

    fn service(&mut self, context: &context::Context, exchange: &Exchange) -> &mut Service {
        let in_force = &exchange.in_force;
        let contract = exchange.service();
        let classes = &in_force.snapshot.classes;
        let service = self
            .services
            .entry(Arc::clone(&contract.name))
            .or_insert_with(|| Service {
                version: in_force.version,
                contract: Arc::clone(contract),
                choice: match context.settings.policy {
                    settings::Policy::Baseline => Choice::Baseline(baseline::Baseline::new(
                        baseline::Settings::default(),
                        Arc::clone(contract),
                    )),
                    settings::Policy::Fleet => Choice::Fallback(fallback::Fallback::new(
                        fallback::Settings::default(),
                        Arc::clone(contract),
                        Arc::clone(classes),
                    )),
                },
                budget: budget::Budget::default(),
            });
        if service.version < in_force.version {
            service.version = in_force.version;
            service.contract = Arc::clone(contract);
            match &mut service.choice {
                Choice::Baseline(baseline) => baseline.configure(Arc::clone(contract)),
                Choice::Fallback(fallback) => {
                    fallback.configure(Arc::clone(contract), Arc::clone(classes));
                }
            }
        }
        service
    }
}
