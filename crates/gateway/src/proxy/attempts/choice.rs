//! The choice of the backend server for one attempt.

use std::time::Instant;

use dotterelhinge_policy::{availability::Tally, exploration, locality, selection};
use rand::RngExt;

use super::Admitted;
use crate::{catalog::Instance, evidence::Evidence, proxy::pool::Pool};

/// The backend server chosen for an attempt, with the basis of the choice for
/// the log.
pub(super) struct Choice {
    pub instance: Instance,
    pub candidate: selection::Candidate,
    pub purpose: selection::Purpose,
    pub candidates: usize,
    pub tally: Tally,
    /// Load of the candidates inside and outside of the host's zone.
    pub load: locality::Load,
}

impl Admitted<'_> {
    /// Returns whether this request should go to a server that gets no requests.
    /// Where repeatable requests test the servers, only new ones are explored.
    fn should_explore(
        &self,
        now: Instant,
        evidence: &Evidence,
        candidates: &[selection::Candidate],
    ) -> bool {
        let demand = exploration::Demand {
            rate: evidence.attempt_rate(now, &self.service),
            failure_ratio: evidence.failure_ratio(&self.service),
            servers: self.host.replica.borrow().ready_count(&self.service),
            is_tested: self.is_tested,
        };
        let settings = &self.host.settings.selection;
        let share = exploration::share(settings, now, candidates, &demand);
        self.tried.is_empty() && self.host.rng.borrow_mut().random_bool(share)
    }

    /// Chooses the backend server for the next attempt. If there is none left to
    /// try, returns why the servers of the service get no request.
    pub(super) fn choose(&self, now: Instant, kilobytes: f64) -> Result<Choice, Tally> {
        let replica = self.host.replica.borrow();
        let evidence = self.host.evidence.borrow();
        let pool = Pool::collect(self.host, &replica, &evidence, &self.service, &self.tried);
        let (instances, tally) = (pool.instances, pool.tally);
        let zone = &self.host.settings.availability_zone;
        let candidates: Vec<selection::Candidate> = instances
            .iter()
            .map(|instance| evidence.candidate(now, instance.key, &instance.upstream, zone))
            .collect();
        // Only the first connection of a request may test a suspected server;
        // after a failed one, the time left is needed to serve the request.
        let learn = self.route.repeatable && self.tried.is_empty() && self.route.attempts > 1;
        let typical = evidence.typical_latency(&self.service).unwrap_or_default();
        let purpose = if learn && self.can_take_retry() {
            selection::Purpose::Learn
        } else if self.should_explore(now, &evidence, &candidates) {
            selection::Purpose::Explore
        } else {
            selection::Purpose::Serve
        };
        let request = selection::Request {
            relative_latency: typical.as_secs_f64() / self.route.objective.as_secs_f64().max(0.001),
            kilobytes,
            shed_ratio: evidence.shed_ratio(&self.service),
            any_zone: !self.tried.is_empty(),
            purpose,
        };
        let position = selection::choose(
            &self.host.settings.selection,
            now,
            &candidates,
            &request,
            &mut *self.host.rng.borrow_mut(),
        )
        .ok_or(tally)?;
        Ok(Choice {
            instance: instances[position].clone(),
            candidate: candidates[position].clone(),
            purpose: request.purpose,
            candidates: candidates.len(),
            tally,
            load: locality::Load::of(&self.host.settings.selection, &candidates),
        })
    }
}
