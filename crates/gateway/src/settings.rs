//! Settings of one daemon process.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use dotterelhinge_policy::{aggregation, outage, quota, reader, selection};
use error_stack::Report;

/// Names of the headers that callers, backend servers and this system use.
#[derive(Clone, Debug, PartialEq)]
pub struct Headers {
    /// Id that the caller gives to each request.
    pub request_id: &'static str,
    /// Time that is left for the request, in milliseconds.
    pub deadline: &'static str,
    /// Identity of the only backend server that may run the request.
    pub expected_upstream: &'static str,
    /// Set by a backend server that did not run the request.
    pub not_run: &'static str,
    /// Proof that an answer was made by a backend server.
    pub signature: &'static str,
}

impl Default for Headers {
    fn default() -> Self {
        Self {
            request_id: "x-request-id",
            deadline: "x-deadline-ms",
            expected_upstream: "dotterelhinge-upstream",
            not_run: "dotterelhinge-not-run",
            signature: "dotterelhinge-signature",
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
    /// How much work this host can take on for others: thousandths of a
    /// processor core, limited by its network link.
    pub strength: u32,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address at which the balancer asks whether the daemon is ready.
    pub ready: SocketAddr,
    /// Path of that question.
    pub ready_path: &'static str,
    /// Address that is announced to hosts that start, if there is one.
    pub control: Option<SocketAddr>,
    /// Port, the same on every host, for datagrams and calls between daemons.
    pub peer_port: u16,
    /// Address for counters and histograms.
    pub metrics: Option<SocketAddr>,
    /// Time within which backend servers that the store lost during an outage
    /// register themselves again.
    pub reregistration: Duration,
    /// Names of headers.
    pub headers: Headers,
    /// Who aggregates reports.
    pub aggregation: aggregation::Settings,
    /// Who reads the store.
    pub reader: reader::Settings,
    /// Model of failing backend servers.
    pub outage: outage::Settings,
    /// Weights of the choice of a backend server.
    pub selection: selection::Settings,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
    /// Settings that a running daemon takes over.
    pub reloadable: Reloadable,
}

/// Settings that a running daemon takes over when they change.
#[derive(Clone, Debug, PartialEq)]
pub struct Reloadable {
    /// Hosts to ask for the list of hosts while the store is away.
    pub seeds: Vec<Ipv4Addr>,
    /// Time from the order to stop until the process is killed.
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
    /// They are not valid.
    #[error("the settings are not valid")]
    Invalid,
}

/// Where the settings come from.
pub trait Source {
    /// Loads and checks the settings.
    fn load(&self) -> Result<Settings, Report<Error>>;

    /// Differs after a change of the settings; `None` if that can't be told.
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
            aggregation: aggregation::Settings::default(),
            reader: reader::Settings::default(),
            outage: outage::Settings::default(),
            selection: selection::Settings::default(),
            log_level: log::LevelFilter::Info,
            reloadable: Reloadable::default(),
        }
    }
}
