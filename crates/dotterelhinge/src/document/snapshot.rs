//! The compiled configuration.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use dotterelhinge_policy::contract;

use crate::border::text as border;

use super::{
    check,
    routes::{Route, Rule, Table},
};

/// An availability zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Zone {
    /// Unique name.
    pub name: Arc<str>,
    /// Region of the availability zone.
    pub region: Arc<str>,
}

/// A configuration in the form that the request path uses.
///
/// Invariant: positions in routes are valid indices of `services` and `classes`.
#[derive(Debug)]
pub struct Snapshot {
    /// Hash of the document.
    pub hash: Arc<str>,
    /// Request header that names the customer, in lower case.
    pub customer_header: Option<Arc<str>>,
    /// Availability zones.
    pub availability_zones: Arc<[Zone]>,
    /// Request classes.
    pub classes: Arc<[contract::Class]>,
    /// Services.
    pub services: Vec<Arc<contract::Service>>,
    /// Slot shares of the listed customers, above 0 and at most 1.
    pub customers: Arc<HashMap<Arc<str>, f64>>,
    service_positions: HashMap<Arc<str>, usize>,
    class_positions: HashMap<Arc<str>, usize>,
    routes: Table,
}

impl Snapshot {
    /// Compiles a document that passed all checks.
    pub(super) fn compile(document: border::Text, hash: Arc<str>) -> Self {
        let mut names = Names::default();
        let availability_zones = document
            .availability_zones
            .iter()
            .map(|zone| Zone {
                name: names.intern(&zone.name),
                region: names.intern(&zone.region),
            })
            .collect();
        let classes: Arc<[_]> = document.classes.into_iter().map(class).collect();
        let services = document
            .services
            .into_iter()
            .map(|each| Arc::new(service(&mut names, each)))
            .collect::<Vec<_>>();
        let class_positions = positions(classes.iter().map(|class| &class.name));
        let service_positions = positions(services.iter().map(|service| &service.name));
        let routes = Table::new(document.routes.iter().map(|route| Rule {
            host: route.host.as_deref(),
            methods: &route.methods,
            prefix: &route.path_prefix,
            route: Route {
                service: service_positions[&*route.service],
                class: class_positions[&*route.class],
            },
        }));
        drop(document.routes);
        let customers = document
            .customers
            .into_iter()
            .map(|customer| (Arc::from(customer.name), customer.slot_share))
            .collect();
        Self {
            hash,
            customer_header: document.customer_header.map(header),
            availability_zones,
            classes,
            services,
            customers: Arc::new(customers),
            service_positions,
            class_positions,
            routes,
        }
    }

    /// Returns the route of a request. `host` is the value of the `Host` header.
    ///
    /// A route for the host precedes one for any host, then the longest path
    /// prefix wins, then a route for the method precedes one for any method.
    /// The path is not normalized: dot segments and percent encoding stay as
    /// they are.
    pub fn route(&self, host: Option<&str>, method: &str, path: &str) -> Option<&Route> {
        self.routes.find(host, method, path)
    }

    /// Returns the share of a service's slots that a customer may use while
    /// others wait; 1 for a customer that is not listed.
    pub fn slot_share(&self, name: &str) -> f64 {
        self.customers.get(name).copied().unwrap_or(1.0)
    }

    /// Returns the position of a service in `services`.
    pub fn service_position(&self, name: &str) -> Option<usize> {
        self.service_positions.get(name).copied()
    }

    /// Returns the position of a class in `classes`.
    pub fn class_position(&self, name: &str) -> Option<usize> {
        self.class_positions.get(name).copied()
    }
}

/// Interns names, since many upstreams share a few availability zones.
#[derive(Default)]
struct Names(HashSet<Arc<str>>);

impl Names {
    fn intern(&mut self, name: &str) -> Arc<str> {
        if let Some(known) = self.0.get(name) {
            return known.clone();
        }
        let name: Arc<str> = Arc::from(name);
        self.0.insert(name.clone());
        name
    }
}

fn positions<'a>(names: impl Iterator<Item = &'a Arc<str>>) -> HashMap<Arc<str>, usize> {
    names
        .enumerate()
        .map(|(position, name)| (name.clone(), position))
        .collect()
}

fn header(mut name: String) -> Arc<str> {
    name.make_ascii_lowercase();
    Arc::from(name)
}

fn class(class: border::Class) -> contract::Class {
    contract::Class {
        name: Arc::from(class.name),
        repeatable: class.repeatable,
        deadline: Duration::from_millis(class.deadline_ms),
        max_attempts: class.attempts.get(),
        priority: class.priority,
        false_ejection_cost: class.false_ejection_cost,
        detection_second_cost: class.detection_second_cost,
        max_queue_wait: Duration::from_millis(class.queue_ms),
        progress_timeout: Duration::from_millis(class.progress_timeout_ms.get()),
        upload: class.upload,
        buffer_bytes: class.buffer_bytes as usize,
        replay_bytes: class.replay_bytes as usize,
        when_unfenced: match class.when_unfenced {
            border::ClassWhenUnfenced::Refuse => contract::Unfenced::Refuse,
            border::ClassWhenUnfenced::Run => contract::Unfenced::Run,
        },
    }
}

fn service(names: &mut Names, service: border::Service) -> contract::Service {
    contract::Service {
        name: Arc::from(service.name),
        depends_on: service
            .depends_on
            .iter()
            .map(|name| names.intern(name))
            .collect(),
        floor: service.floor as usize,
        cold_start: Duration::from_millis(service.cold_start_ms),
        echo_header: service.echo_header.map(header),
        not_run_header: service.not_run_header.map(header),
        drain_header: service.drain_header.map(header),
        upstreams: service
            .upstreams
            .into_iter()
            .map(|upstream| contract::Upstream {
                name: Arc::from(upstream.name),
                address: check::address(&upstream.address).expect("address was checked"),
                availability_zone: names.intern(&upstream.availability_zone),
                slots: upstream.slots.get(),
                connections: upstream.connections.get(),
                leaving: upstream.leaving,
            })
            .collect(),
    }
}
