//! Settings of one daemon process.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use dotterelhinge_policy::{
    aggregation, availability, hedging, join, lag, linger, memory, outage, pacing, quota,
    rate_limit, reader, selection, shutdown, waiting,
};
use error_stack::Report;

/// Names of the headers that callers, backend servers and this system use.
#[derive(Clone, Debug, PartialEq)]
pub struct Headers {
    /// Id that the caller assigns to each request.
    pub request_id: &'static str,
    /// Time left for the request, in milliseconds.
    pub deadline: &'static str,
    /// Identity of the only backend server that may run the request.
    pub expected_upstream: &'static str,
    /// Set by a backend server that did not run the request.
    pub not_run: &'static str,
    /// Set by a backend server in its answers, which shows that an answer comes
    /// from one.
    pub signature: &'static str,
    /// Set to `1` by a backend server in its answers once it is leaving.
    pub leaving: &'static str,
    /// Name of the customer who sent the request. Set or removed in requests to
    /// backend servers if the configuration lists customers.
    pub customer: &'static str,
}

impl Default for Headers {
    fn default() -> Self {
        Self {
            request_id: "x-request-id",
            deadline: "x-deadline-ms",
            expected_upstream: "dotterelhinge-upstream",
            not_run: "dotterelhinge-not-run",
            signature: "dotterelhinge-signature",
            leaving: "dotterelhinge-leaving",
            customer: "dotterelhinge-customer",
        }
    }
}

/// Settings of one daemon process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the host, unique in the fleet.
    pub host: Arc<str>,
    /// Availability zone of the host.
    pub availability_zone: Arc<str>,
    /// Address at which other daemons reach this host.
    pub address: Ipv4Addr,
    /// Capacity for work on behalf of other hosts: thousandths of a processor
    /// core, limited by the network link.
    pub strength: u32,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for readiness checks of the load balancer.
    pub ready: SocketAddr,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Address of the control server that starting hosts receive as a seed, if
    /// there is one.
    pub control: Option<SocketAddr>,
    /// Port for datagrams and calls between daemons; the same on every host.
    pub peer_port: u16,
    /// Address for counters and histograms, if there is one.
    pub metrics: Option<SocketAddr>,
    /// Time after a store outage within which backend servers that the store
    /// lost register again.
    pub reregistration: Duration,
    /// Header names.
    pub headers: Headers,
    /// Whether the whole fleet starts for the first time.
    pub is_first_start: bool,
    /// How the host joins the fleet.
    pub join: join::Settings,
    /// Which backend servers may get requests.
    pub availability: availability::Settings,
    /// Which hosts aggregate reports.
    pub aggregation: aggregation::Settings,
    /// How exactly the limits of customers must be kept.
    pub rate_limit: rate_limit::Settings,
    /// How much may be sent to other hosts.
    pub pacing: pacing::Settings,
    /// Which hosts read the store.
    pub reader: reader::Settings,
    /// When the processor is too busy for a request.
    pub lag: lag::Settings,
    /// Memory that bodies in flight may hold.
    pub memory: memory::Settings,
    /// Maximum size of an answer, in bytes. A larger one is broken off and counts as
    /// a failure of its backend server.
    pub max_answer_bytes: u64,
    /// Ends of callers' connections.
    pub linger: linger::Settings,
    /// Graceful shutdown.
    pub shutdown: shutdown::Settings,
    /// Failure model of backend servers.
    pub outage: outage::Settings,
    /// Weights for the selection of a backend server.
    pub selection: selection::Settings,
    /// When a second attempt starts beside the first.
    pub hedging: hedging::Settings,
    /// How requests wait for room at the backend servers.
    pub waiting: waiting::Settings,
    /// Minimum severity that is logged.
    pub log_level: log::LevelFilter,
    /// Settings that can change while the daemon runs.
    pub reloadable: Reloadable,
}

/// Settings that a running daemon reloads when they change.
#[derive(Clone, Debug, PartialEq)]
pub struct Reloadable {
    /// Hosts from which a starting host requests the catalog and the list of
    /// hosts.
    pub seeds: Vec<Ipv4Addr>,
    /// Time from the stop signal until the process is killed.
    pub grace_period: Duration,
    /// Parameters of the retry budget.
    pub quota: quota::Settings,
}

impl Default for Reloadable {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            grace_period: Duration::from_secs(6),
            quota: quota::Settings::default(),
        }
    }
}

/// Why settings can't be loaded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// They can't be read.
    #[error("the settings can't be read")]
    Read,
    /// They are invalid.
    #[error("the settings are not valid")]
    Invalid,
}

/// A source of settings.
pub trait Source {
    /// Loads and validates the settings.
    fn load(&self) -> Result<Settings, Report<Error>>;

    /// Returns a value that differs after a change of the settings; `None` if
    /// they can't be read.
    fn fingerprint(&self) -> Option<u64>;
}

impl Default for Settings {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            host: Arc::from("localhost"),
            availability_zone: Arc::from("local"),
            address: Ipv4Addr::LOCALHOST,
            strength: 1000,
            listen: any_port,
            ready: any_port,
            ready_path: "/ready",
            control: None,
            peer_port: 0,
            metrics: None,
            reregistration: Duration::from_secs(2),
            headers: Headers::default(),
            is_first_start: false,
            join: join::Settings::default(),
            availability: availability::Settings::default(),
            aggregation: aggregation::Settings::default(),
            rate_limit: rate_limit::Settings::default(),
            pacing: pacing::Settings::default(),
            reader: reader::Settings::default(),
            lag: lag::Settings::default(),
            memory: memory::Settings::default(),
            max_answer_bytes: u64::MAX,
            linger: linger::Settings::default(),
            shutdown: shutdown::Settings::default(),
            outage: outage::Settings::default(),
            selection: selection::Settings::default(),
            hedging: hedging::Settings::default(),
            waiting: waiting::Settings::default(),
            log_level: log::LevelFilter::Info,
            reloadable: Reloadable::default(),
        }
    }
}
