//! The terms that operators declare for services and request classes, in the
//! form that the decisions use.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

/// What to do with a keyed request of a non-repeatable class while no lease on
/// its key range can be proved.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Unfenced {
    /// Refuse the request as not run.
    #[default]
    Refuse,
    /// Run it once; repeats through another daemon are not detected.
    Run,
}

/// Terms of a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Unique name.
    pub name: Arc<str>,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Time from arrival until the caller gives up.
    pub deadline: Duration,
    /// Attempts at most, the first one included.
    pub max_attempts: u32,
    /// Queue priority; lower goes first.
    pub priority: u8,
    /// Cost of ejecting a healthy upstream.
    pub false_ejection_cost: f64,
    /// Cost of each second that a failing upstream keeps receiving requests.
    pub detection_second_cost: f64,
    /// Longest wait for a slot.
    pub max_queue_wait: Duration,
    /// Longest time without progress on an attempt.
    pub progress_timeout: Duration,
    /// Whether bodies are large and are streamed.
    pub upload: bool,
    /// Answers up to this many bytes are held until whole.
    pub buffer_bytes: usize,
    /// Bytes of a request body kept for a retry.
    pub replay_bytes: usize,
    /// Handling of keyed requests without a provable lease.
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
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether operators are taking it out of service.
    pub leaving: bool,
}

/// Terms of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: Arc<str>,
    /// Names of the services that this one depends on.
    pub depends_on: Vec<Arc<str>>,
    /// Healthy upstreams that ejection must leave.
    pub floor: usize,
    /// Time from readmission or start to full slots.
    pub cold_start: Duration,
    /// Answer header in which upstreams echo the request id.
    pub echo_header: Option<Arc<str>>,
    /// Answer header by which upstreams declare that a request was not run.
    pub not_run_header: Option<Arc<str>>,
    /// Answer header by which upstreams say that they are leaving.
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
