//! Parameters that operators declare for services and request classes, in the
//! form that the policy modules use.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

/// Handling of a non-repeatable request with an idempotency key while no lease
/// on its key range can be proved.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Unfenced {
    /// Refuses the request as not run.
    #[default]
    Refuse,
    /// Runs it once; repeats through another daemon are not detected.
    Run,
}

/// Parameters of a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Unique name.
    pub name: Arc<str>,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Time from arrival until the caller gives up.
    pub deadline: Duration,
    /// Maximum number of attempts, including the first.
    pub max_attempts: u32,
    /// Queue priority; lower values are served first.
    pub priority: u8,
    /// Cost of ejecting a healthy upstream.
    pub false_ejection_cost: f64,
    /// Cost of each second that a failing upstream keeps receiving requests.
    pub detection_second_cost: f64,
    /// Maximum wait for a slot.
    pub max_queue_wait: Duration,
    /// Maximum time without progress on an attempt.
    pub progress_timeout: Duration,
    /// Whether bodies are large and streamed.
    pub upload: bool,
    /// Maximum size of a response that is buffered until it is complete, in
    /// bytes.
    pub buffer_bytes: usize,
    /// Maximum bytes of a request body that are retained for a retry.
    pub replay_bytes: usize,
    /// Handling of requests with an idempotency key without a provable lease.
    pub when_unfenced: Unfenced,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            name: Arc::from("default"),
            repeatable: false,
            deadline: Duration::from_secs(10),
            max_attempts: 3,
            priority: 1,
            false_ejection_cost: 10.0,
            detection_second_cost: 1.0,
            max_queue_wait: Duration::from_secs(1),
            progress_timeout: Duration::from_secs(5),
            upload: false,
            buffer_bytes: 64 << 10,
            replay_bytes: 256 << 10,
            when_unfenced: Unfenced::Refuse,
        }
    }
}

/// Shares of customers by name: the part of a service's slots that one customer
/// may use while others wait. A customer without an entry has the share 1.0.
pub type Customers = HashMap<Arc<str>, f64>;

/// One backend server of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Name, unique within the service.
    pub name: Arc<str>,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Availability zone the server is in.
    pub availability_zone: Arc<str>,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether operators are draining it.
    pub leaving: bool,
}

/// Parameters of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: Arc<str>,
    /// Names of the services that this one depends on.
    pub depends_on: Vec<Arc<str>>,
    /// Minimum number of upstreams that ejections leave in use.
    pub floor: usize,
    /// Time from the start or readmission of an upstream until all of its slots
    /// are used.
    pub cold_start: Duration,
    /// Response header in which upstreams echo the request id.
    pub echo_header: Option<Arc<str>>,
    /// Response header by which upstreams declare that a request was not run.
    pub not_run_header: Option<Arc<str>>,
    /// Response header by which upstreams announce that they are leaving.
    pub drain_header: Option<Arc<str>>,
    /// The backend servers.
    pub upstreams: Vec<Upstream>,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            name: Arc::from("default"),
            depends_on: Vec::new(),
            floor: 1,
            cold_start: Duration::from_secs(5),
            echo_header: None,
            not_run_header: None,
            drain_header: None,
            upstreams: Vec::new(),
        }
    }
}
