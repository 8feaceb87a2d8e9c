//! The priorities of the requests of a service.

use std::time::Duration;

use smallvec::SmallVec;

use super::{Configuration, Route, customer::Customers};

/// Priorities that the requests of one service may have under a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Priorities {
    /// The priorities, the most urgent first.
    values: SmallVec<[u8; 4]>,
    /// Latency objective of the most urgent requests.
    objective: Duration,
}

impl Priorities {
    /// Collects the priorities of the requests of `service`: those of its routes
    /// and of all customers that have one.
    pub fn new(configuration: &Configuration, service: &str) -> Self {
        let routes = || {
            let routes = configuration.hosts.values().flat_map(|host| host.values());
            routes.filter(|route| {
                let mut targets = route.targets.iter();
                targets.any(|target| *target.service == *service)
            })
        };
        let customers = configuration.customers.iter().flat_map(Customers::iter);
        let mut values: SmallVec<[u8; 4]> = routes()
            .map(|route| route.priority)
            .chain(customers.filter_map(|customer| customer.priority))
            .collect();
        values.sort_unstable();
        values.dedup();
        let is_urgent = |route: &Route| values.first() == Some(&route.priority);
        let objective = |route: &Route| route.objective;
        let urgent = routes().filter(|route| is_urgent(route));
        // A customer may be more urgent than every route.
        let objective = urgent
            .map(|route| objective(route))
            .min()
            .or_else(|| routes().map(|route| objective(route)).min());
        Self {
            values,
            objective: objective.unwrap_or_default(),
        }
    }

    /// Returns whether there is more than one.
    pub fn is_mixed(&self) -> bool {
        self.values.len() > 1
    }

    /// Returns the number of priorities.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Returns whether there is none, because no route leads to the service.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Returns the rank of `priority`, 0 being the most urgent.
    pub fn rank(&self, priority: u8) -> usize {
        self.values.partition_point(|value| *value < priority)
    }

    /// Returns the latency objective of the most urgent requests.
    pub fn objective(&self) -> Duration {
        self.objective
    }
}
