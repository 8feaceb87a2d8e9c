//! Routing data: the operators' configuration and the registered backend
//! servers.

use std::{
    collections::{BTreeMap, HashMap},
    hash::Hasher,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3;

pub mod customer;
pub mod priority;

/// Limits on what a caller may send.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum time from the first to the last byte of a request head.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay idle between requests.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 32 << 10,
            body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other targets of the route.
    pub weight: f64,
}

/// Routing rule for the requests under one path prefix of a host name.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Maximum time that a caller waits for the answer to a request.
    pub timeout: Duration,
    /// Latency objective: the time within which an answer has its full value
    /// for the caller.
    pub objective: Duration,
    /// Priority among the requests of a service; lower values go first.
    pub priority: u8,
    /// Maximum number of backend servers that one request is sent to.
    pub attempts: u32,
    /// Services that the requests are distributed over. Never empty.
    pub targets: SmallVec<[Target; 2]>,
    /// Whether requests need no key of a customer. Left out of a copy if false,
    /// since hosts of earlier builds don't know it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_public: bool,
}

/// A group of interchangeable backend servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Unique name.
    pub name: Arc<str>,
    /// Maximum number of connections that each backend server accepts from all
    /// hosts together.
    pub connections: u32,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Configuration {
    /// Version assigned by the operators; only increases.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Routes by host name and path prefix.
    pub hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    /// Customers and their keys; `None` if requests need no key. An empty list
    /// admits nobody. `None` is left out of a copy, since hosts of earlier builds
    /// don't know the field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customers: Option<customer::Customers>,
}

impl Configuration {
    /// Returns the route of `host` with the longest prefix that `path` starts
    /// with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        // Route prefixes end with a slash, so only the parts of the path that
        // end at one of its slashes can match.
        path.rmatch_indices('/')
            .find_map(|(slash, _)| routes.get(&path[..=slash]))
    }
}

impl Configuration {
    /// Returns whether any route to `service` is repeatable.
    pub fn has_repeatable_route(&self, service: &str) -> bool {
        let mut routes = self.hosts.values().flat_map(HashMap::values);
        routes.any(|route| {
            let mut targets = route.targets.iter();
            route.repeatable && targets.any(|target| *target.service == *service)
        })
    }
}

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// It accepts new requests.
    Ready,
    /// It finishes its requests and accepts no new ones.
    Draining,
}

/// One instance of a backend server, as it registered itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Upstream {
    /// Identity; a restarted server may keep it.
    pub id: Arc<str>,
    /// Distinguishes instances with the same identity; 0 if unknown.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Name of its service.
    pub service: Arc<str>,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub availability_zone: Arc<str>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// Remaining time of its slow start, at the time of registration.
    pub cold_left: Duration,
}

impl Upstream {
    /// Returns the key of this instance. It changes at a restart, so that
    /// evidence about the earlier instance is not applied to the new one.
    pub fn key(&self) -> u64 {
        let mut hasher = xxh3::Xxh3Default::new();
        hasher.update(self.id.as_bytes());
        hasher.write_u64(self.incarnation);
        hasher.update(self.address.to_string().as_bytes());
        hasher.finish()
    }
}

/// An instance of a backend server with its key, which is computed once.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// See [`Upstream::key`].
    pub key: u64,
    /// The backend server.
    pub upstream: Arc<Upstream>,
}

impl Instance {
    /// Creates the instance for an entry.
    pub fn new(upstream: &Arc<Upstream>) -> Self {
        Self {
            key: upstream.key(),
            upstream: Arc::clone(upstream),
        }
    }
}

/// All registered backend servers by identity.
pub type Upstreams = BTreeMap<Arc<str>, Arc<Upstream>>;

/// A value and the store version at which it was read.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Versioned<T> {
    /// Version of the store.
    pub version: u64,
    /// The value.
    pub value: T,
}

/// A host's copy of the routing data.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Catalog {
    /// The newest known configuration, if there is one.
    pub configuration: Option<Arc<Configuration>>,
    /// The list of backend servers, if it has been read.
    pub upstreams: Option<Versioned<Arc<Upstreams>>>,
}

impl Catalog {
    /// Returns whether both parts are present, so that requests can be served.
    pub fn is_complete(&self) -> bool {
        self.configuration.is_some() && self.upstreams.is_some()
    }
}
