//! The backend servers among which one is chosen for a request.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::availability::{Listing, Tally};

use crate::{catalog::Instance, evidence::Evidence, host::Host, replica::Replica};

/// Maximum random servers of a service that are looked at for a request, so that
/// its cost doesn't grow with the service. They have to contain enough servers of
/// the host's own zone, and some that are due for a test.
const SAMPLE_SIZE: usize = 256;

/// Time for which a service of which no server was available is not searched
/// whole again.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);

/// Servers of a service that may get a request.
pub(super) struct Pool<'a> {
    /// Available servers, or if there is none, those that are used as a last
    /// resort.
    pub instances: Vec<&'a Instance>,
    /// Count of all servers that were looked at.
    pub tally: Tally,
    is_available: bool,
}

impl<'a> Pool<'a> {
    /// Collects servers of `service` that are not in `tried`.
    pub(super) fn collect(
        host: &Host,
        replica: &'a Replica,
        evidence: &Evidence,
        service: &'a Arc<str>,
        tried: &[u64],
    ) -> Self {
        let now = host.now();
        let sample = replica.sample(now, service, SAMPLE_SIZE, &mut *host.rng.borrow_mut());
        let is_whole = replica.ready_count(service) <= SAMPLE_SIZE;
        let pool = Self::of(evidence, now, sample.into_iter(), tried);
        if is_whole || pool.is_available {
            return pool;
        }
        let mut exhausted = host.exhausted.borrow_mut();
        if let Some((at, tally)) = exhausted.get(service)
            && now.saturating_duration_since(*at) < SEARCH_INTERVAL
        {
            let tally = *tally;
            return Self { tally, ..pool };
        }
        let pool = Self::of(evidence, now, replica.usable(now, service), tried);
        if !pool.is_available {
            exhausted.insert(Arc::clone(service), (now, pool.tally));
        }
        pool
    }

    fn of(
        evidence: &Evidence,
        now: Instant,
        instances: impl Iterator<Item = &'a Instance>,
        tried: &[u64],
    ) -> Self {
        let mut tally = Tally::default();
        let mut available = Vec::new();
        let mut last_resort = Vec::new();
        for instance in instances {
            let checked = evidence.check(now, instance.key, Listing::Ready);
            tally.add(checked);
            if tried.contains(&instance.key) {
                continue;
            }
            match checked {
                Ok(()) => available.push(instance),
                Err(reason) if reason.is_last_resort() => last_resort.push(instance),
                Err(_) => {}
            }
        }
        let is_available = !available.is_empty();
        Self {
            instances: if is_available { available } else { last_resort },
            tally,
            is_available,
        }
    }
}
