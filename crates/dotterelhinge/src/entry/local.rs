//! State of one worker thread that is independent of the coordinators: placement
//! without a coordinator, upstreams that this thread can't reach, and coordinators
//! that do not respond.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{baseline, budget, contract, fallback, health, placement, retry};
use rand::{SeedableRng, rngs::SmallRng};

use super::Exchange;
use crate::{context, settings};

/// Time after which a coordinator that failed is queried again.
const COORDINATOR_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Policy that chooses upstreams.
enum Policy {
    Fallback(fallback::Fallback),
    Baseline(baseline::Baseline),
}

struct Service {
    version: u64,
    contract: Arc<contract::Service>,
    policy: Policy,
    budget: budget::Budget,
}

/// State of one worker thread.
pub(super) struct State {
    services: HashMap<Arc<str>, Service>,
    unreachable_since: HashMap<Arc<str>, Instant>,
    rng: SmallRng,
}

impl Default for State {
    fn default() -> Self {
        Self {
            services: HashMap::new(),
            unreachable_since: HashMap::new(),
            rng: SmallRng::from_rng(&mut rand::rng()),
        }
    }
}

impl State {
    /// Returns whether the coordinator on `host` failed so recently that it must not
    /// be queried.
    pub(super) fn is_unreachable(&self, now: Instant, host: &str) -> bool {
        self.unreachable_since
            .get(host)
            .is_some_and(|since| now.duration_since(*since) < COORDINATOR_RETRY_INTERVAL)
    }

    /// Records that the coordinator on `host` did not respond.
    pub(super) fn mark_unreachable(&mut self, now: Instant, host: Arc<str>) {
        self.unreachable_since.insert(host, now);
    }

    /// Returns the upstreams to exclude from the next attempt: those that already
    /// had one, and those that this thread can't reach. The latter are not excluded
    /// if they are at least half of the service, since then the fault is more
    /// likely on this host.
    pub(super) fn excluded(
        &mut self,
        context: &context::Context,
        exchange: &Exchange,
        now: Instant,
    ) -> retry::Excluded {
        let mut excluded = exchange.excluded.clone();
        let service = self.service(context, exchange);
        if let Policy::Fallback(fallback) = &service.policy {
            let avoided = fallback.avoided(now);
            if avoided.len() * 2 < service.contract.upstreams.len() {
                excluded.extend(avoided);
            }
        }
        excluded
    }

    /// Chooses an upstream without the coordinator, and takes a token of the retry
    /// budget unless it is the first attempt.
    pub(super) fn pick(
        &mut self,
        context: &context::Context,
        exchange: &Exchange,
        now: Instant,
    ) -> Result<contract::Upstream, placement::Refusal> {
        let zone = &context.settings.availability_zone;
        let status = context.status(&exchange.service().name);
        let mut rng = SmallRng::from_rng(&mut self.rng);
        let service = self.service(context, exchange);
        if exchange.attempt == 1 {
            service.budget.earn();
        } else if !service.budget.take() {
            return Err(placement::Refusal::Budget);
        }
        let excluded = &exchange.excluded;
        let picked = match &mut service.policy {
            Policy::Baseline(baseline) => baseline.pick(now, excluded, &mut rng),
            Policy::Fallback(fallback) => {
                if let Some(status) = status {
                    fallback.adopt(status.received, status.view);
                }
                fallback.pick(now, exchange.class, zone, excluded, &mut rng)
            }
        };
        picked
            .map(|index| service.contract.upstreams[index].clone())
            .ok_or(placement::Refusal::NoUpstream)
    }

    /// Records the end of an attempt. `is_local` is set if this thread chose the
    /// upstream without the coordinator.
    pub(super) fn settle(
        &mut self,
        now: Instant,
        name: &Arc<str>,
        upstream: &Arc<str>,
        outcome: health::Outcome,
        is_draining: bool,
        is_local: bool,
    ) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let mut upstreams = service.contract.upstreams.iter();
        let Some(index) = upstreams.position(|u| u.name == *upstream) else {
            return;
        };
        let is_unreachable = outcome == health::Outcome::ConnectFailed;
        match &mut service.policy {
            Policy::Baseline(baseline) => {
                if baseline.settle(now, index, outcome) {
                    log::warn!(event = "ejected", service = &**name, upstream = &**upstream; "upstream ejected by this daemon only");
                }
            }
            Policy::Fallback(fallback) => {
                if is_draining {
                    fallback.mark_leaving(index);
                }
                if is_local {
                    fallback.settle(now, index, is_unreachable);
                } else if is_unreachable {
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
                policy: match context.settings.policy {
                    settings::Policy::Baseline => Policy::Baseline(baseline::Baseline::new(
                        baseline::Settings::default(),
                        Arc::clone(contract),
                    )),
                    settings::Policy::Fleet => Policy::Fallback(fallback::Fallback::new(
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
            match &mut service.policy {
                Policy::Baseline(baseline) => baseline.configure(Arc::clone(contract)),
                Policy::Fallback(fallback) => {
                    fallback.configure(Arc::clone(contract), Arc::clone(classes));
                }
            }
        }
        service
    }
}
