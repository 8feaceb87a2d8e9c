//! Where requests may go: the operators' configuration and the backend servers
//! that registered themselves.

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

/// Bounds on what a caller may send.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time from the first to the last byte of a head.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay idle between requests.
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

/// A service of a route and its share of the route's requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share relative to the other targets.
    pub weight: f64,
}

/// What happens to requests under one path prefix of one host name.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: Arc<str>,
    /// Path prefix; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Longest time that a request is kept waiting for its answer.
    pub timeout: Duration,
    /// Time within which an answer is of full use to the caller.
    pub objective: Duration,
    /// Rank among the requests of a service; lower goes first.
    pub priority: u8,
    /// Backend servers that one request may be sent to at most.
    pub attempts: u32,
    /// Services that take the requests. Never empty.
    pub targets: SmallVec<[Target; 2]>,
}

/// A group of interchangeable backend servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Unique name.
    pub name: Arc<str>,
    /// Connections that each backend server accepts, from all hosts together.
    pub connections: u32,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Configuration {
    /// Version given by the operators; it only grows.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Bounds on what callers send.
    pub limits: Limits,
    /// Routes by host name and path prefix.
    pub hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
}

impl Configuration {
    /// The route with the longest prefix that begins `path`, among the routes
    /// of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        // Prefixes end with a slash, so only the parts of the path up to one
        // of its slashes can be prefixes.
        path.rmatch_indices('/')
            .find_map(|(slash, _)| routes.get(&path[..=slash]))
    }
}

impl Configuration {
    /// Whether any route to `service` has requests that may run more than once.
    pub fn has_repeatable_route(&self, service: &str) -> bool {
        let mut routes = self.hosts.values().flat_map(HashMap::values);
        routes.any(|route| {
            let mut targets = route.targets.iter();
            route.repeatable && targets.any(|target| *target.service == *service)
        })
    }
}

/// Whether a backend server takes new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// It takes new requests.
    Ready,
    /// It finishes its requests and takes no new ones.
    Draining,
}

/// One run of a backend server, as it registered itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Upstream {
    /// Identity, which a restart may keep.
    pub id: Arc<str>,
    /// Tells two runs with the same identity apart; zero if not known.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Name of its service.
    pub service: Arc<str>,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Availability zone it is in.
    pub availability_zone: Arc<str>,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: State,
    /// How much longer it is slow after its start, when it registered.
    pub cold_left: Duration,
}

impl Upstream {
    /// Number of this run. A restart has another one, so that nothing that was
    /// learned about the earlier run is used for it.
    pub fn key(&self) -> u64 {
        let mut hasher = xxh3::Xxh3Default::new();
        hasher.update(self.id.as_bytes());
        hasher.write_u64(self.incarnation);
        hasher.update(self.address.to_string().as_bytes());
        hasher.finish()
    }
}

/// A backend server with the number of its run, computed once.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// See [`Upstream::key`].
    pub key: u64,
    /// The backend server.
    pub upstream: Arc<Upstream>,
}

impl Instance {
    /// The run that an entry describes.
    pub fn new(upstream: &Arc<Upstream>) -> Self {
        Self {
            key: upstream.key(),
            upstream: Arc::clone(upstream),
        }
    }
}

/// All registered backend servers by identity.
pub type Upstreams = BTreeMap<Arc<str>, Arc<Upstream>>;

/// A value with the version at which the store held it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Versioned<T> {
    /// Version of the store.
    pub version: u64,
    /// The value.
    pub value: T,
}

/// What a host knows about where requests may go.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Catalog {
    /// The newest configuration, once there is one.
    pub configuration: Option<Arc<Configuration>>,
    /// The backend servers, once they were read.
    pub upstreams: Option<Versioned<Arc<Upstreams>>>,
}

impl Catalog {
    /// Whether requests can be served from this.
    pub fn is_complete(&self) -> bool {
        self.configuration.is_some() && self.upstreams.is_some()
    }
}
