//! Coordinator of one service, which grants slots of its upstreams to requests.
//!
//! # Guarantees
//!
//! - A coordinator grants a slot of an upstream only if the slots in use stay
//!   within what the health of the upstream allows at that time.
//! - Every ticket is answered by exactly one [`Action::Grant`] or
//!   [`Action::Refuse`], unless it is abandoned.
//! - After every event, no waiting request could be granted a free slot.
//! - A slot is free again once its grant is settled, or once the host that holds
//!   it is gone, silent or no longer lists it.
//!
//! # Costs
//!
//! With `n` waiting requests and upstreams, an acquire or a settle costs
//! O(log n) for each requested class, and as much for each set of excluded
//! upstreams that must be skipped in the queue. A tick, a change of health
//! and a new configuration cost a pass over the upstreams and, if the number of
//! open slots changes, over the waiting customers. The loss of a host costs a
//! pass over the waiting requests.

mod coordinator;
mod customer;
mod grant;
mod pool;
mod queue;

use std::{sync::Arc, time::Duration};

use smallvec::SmallVec;

use crate::health;

pub use coordinator::Coordinator;

/// Number of a request, chosen by the caller of the coordinator.
pub type Ticket = u64;

/// Number of a grant. It contains the term.
pub type Id = u64;

/// Settings of the coordinator.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Term of this coordinator. It is part of each grant number, so that grants of
    /// different terms are not confused.
    pub term: u64,
    /// Seed of the random choices and of the first grant number. It should differ
    /// between coordinators, so that two that act in the same term number their
    /// grants differently.
    pub seed: u64,
    /// Time without contact from a host after which its grants are released.
    pub holder_timeout: Duration,
    /// Time within which the host must start the attempt of a grant.
    pub start_timeout: Duration,
    /// Minimum age of a grant that is released because its host does not list it
    /// when it renews. A younger grant may still be on its way to the host.
    pub min_unlisted_age: Duration,
    /// Suspicion, relative to the ejection threshold, at or above which an
    /// upstream is avoided: it is chosen only if no other has a free slot. A value
    /// of 0.5 corresponds to about two failures in a row, which are rare on a
    /// healthy upstream.
    pub avoid_threshold: f64,
    /// Probability that a request of a repeatable class prefers avoided upstreams.
    /// Without any requests, suspicion against a healthy upstream would never
    /// subside.
    pub explore_ratio: f64,
    /// Maximum number of waiting requests. It bounds the memory.
    pub max_queued: usize,
    /// Maximum number of waiting requests of one customer.
    pub max_customer_queued: usize,
    /// Half-life of the samples in the mean service time, which is used to
    /// estimate the wait.
    pub service_time_half_life: Duration,
    /// Interval of ticks while grants are in use or the slots of an upstream are
    /// reduced by its health.
    pub health_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            term: 1,
            seed: 0,
            holder_timeout: Duration::from_secs(5),
            start_timeout: Duration::from_secs(1),
            min_unlisted_age: Duration::from_secs(1),
            avoid_threshold: 0.5,
            explore_ratio: 1.0 / 16.0,
            max_queued: 10_000,
            max_customer_queued: 1_000,
            service_time_half_life: Duration::from_secs(30),
            health_interval: Duration::from_millis(100),
        }
    }
}

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct Acquire {
    /// Number of the request, repeated in the answer.
    pub ticket: Ticket,
    /// Index of the class in the configuration.
    pub class: usize,
    /// Customer that the request is accounted to.
    pub customer: Arc<str>,
    /// Host that will hold the grant.
    pub host: Arc<str>,
    /// Availability zone of that host.
    pub availability_zone: Arc<str>,
    /// Maximum time to wait for a slot.
    pub wait: Duration,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Upstreams that must not be chosen.
    pub excluded: SmallVec<[Arc<str>; 4]>,
}

/// Reason why no slot was granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Refusal {
    /// The estimated wait for a slot exceeds the time that the request may wait,
    /// or the queue is full.
    Overloaded,
    /// The request waited as long as it may, or its host is gone.
    QueueTimeout,
    /// The queue of the customer is full, or the estimated wait within the share
    /// of the customer exceeds the time that the request may wait.
    CustomerLimit,
    /// No upstream could serve the request, however long it waited.
    NoUpstream,
    /// The retry budget is spent.
    Budget,
}

/// Input of the coordinator.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request for a slot.
    Acquire(Acquire),
    /// The caller of a waiting request no longer waits for an answer.
    Abandon(Ticket),
    /// An attempt has become slow and still runs.
    Overdue {
        /// The grant of the attempt.
        grant: Id,
        /// Time since the first byte was sent.
        elapsed: Duration,
    },
    /// An attempt ended and its slot is free.
    Settle {
        /// The grant of the attempt.
        grant: Id,
        /// How it ended.
        outcome: health::Outcome,
        /// Time from the first byte to the end.
        elapsed: Duration,
    },
    /// A host is alive and holds these grants.
    Renew {
        /// The host.
        host: Arc<str>,
        /// All grants of this term that it holds.
        grants: Vec<Id>,
    },
    /// A slot granted in an earlier term is still in use.
    Inherit {
        /// The host that holds it.
        host: Arc<str>,
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Index of the class.
        class: usize,
        /// Customer of the request.
        customer: Arc<str>,
        /// Number with which the grant will be settled.
        grant: Id,
    },
    /// A host is gone.
    HostGone(Arc<str>),
    /// An upstream is leaving.
    Leaving(Arc<str>),
    /// An upstream that was leaving accepts requests again. Ignored if the
    /// configuration marks it as leaving.
    Returned(Arc<str>),
    /// A host reported the view of an earlier coordinator. It counts only at the
    /// start of a term.
    Adopt(health::View),
    /// Time has passed, see [`Coordinator::next_tick`].
    Tick,
}

/// Output of the coordinator.
#[derive(Clone, Debug)]
pub enum Action {
    /// Grant a slot to a request.
    Grant {
        /// The request.
        ticket: Ticket,
        /// Number of the grant.
        grant: Id,
        /// Index of the chosen upstream.
        upstream: usize,
        /// Time after which the attempt counts as slow.
        slow_after: Duration,
    },
    /// Refuse a request.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The reason.
        reason: Refusal,
    },
    /// Write a change of health to the event log.
    Log(health::Change),
}
