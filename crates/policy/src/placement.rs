//! The coordinator of one service: hands out the slots of its upstreams.
//!
//! # Guarantees
//!
//! - The grants of one coordinator never use more slots of an upstream than its
//!   health allows when they are handed out.
//! - Every ticket is answered by exactly one [`Action::Grant`] or
//!   [`Action::Refuse`], unless it is abandoned.
//! - After every event, no waiting request could be given a free slot.
//! - A slot is free again once its grant is settled, or its holder is gone,
//!   silent or no longer lists it.
//!
//! # Costs
//!
//! With `n` waiting requests and upstreams, an acquire or a settle costs
//! O(log n) for each requested class, and as much for each set of excluded
//! upstreams that must be passed over in the queue. A tick, a change of health
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

/// Identifies a waiting request to the owner of the coordinator.
pub type Ticket = u64;

/// Identifies a granted slot within a term.
pub type Id = u64;

/// Limits of the coordinator.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Term of this coordinator. It is part of every grant's number, so that a
    /// grant of another term is never mistaken for one of this.
    pub term: u64,
    /// Seed of the random choices and of the first grant's number. It should
    /// differ between coordinators: two that believe in the same term then
    /// number their grants differently.
    pub seed: u64,
    /// A grant of a holder silent for this long is released.
    pub holder_timeout: Duration,
    /// A grant must start within this time.
    pub start_timeout: Duration,
    /// A grant of this age that its host does not list when it renews is
    /// released. A younger one may still be on its way to the host.
    pub min_unlisted_age: Duration,
    /// An upstream with this suspicion is chosen only if no other has a free
    /// slot. Suspicion is relative to the threshold of ejection; half of it is
    /// about two failures in a row, which a healthy upstream seldom shows.
    pub avoid_threshold: f64,
    /// Share of the grants of repeatable classes that prefer the avoided
    /// upstreams. Without any work an upstream could never clear itself.
    pub explore_ratio: f64,
    /// Requests that may wait; this bounds the memory.
    pub max_queued: usize,
    /// Requests of one customer that may wait.
    pub max_customer_queued: usize,
    /// Half-life of the service times that estimate the wait.
    pub service_time_half_life: Duration,
    /// Time between ticks while attempts run or the health of an upstream is
    /// being restored.
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
    /// Identifies the request in the answer.
    pub ticket: Ticket,
    /// Index of the class in the configuration.
    pub class: usize,
    /// Customer the request is accounted to.
    pub customer: Arc<str>,
    /// Host that will hold the grant.
    pub host: Arc<str>,
    /// Availability zone of that host.
    pub availability_zone: Arc<str>,
    /// Longest time to wait for a slot.
    pub wait: Duration,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Upstreams that must not be chosen.
    pub excluded: SmallVec<[Arc<str>; 4]>,
}

/// Why no slot was handed out.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Refusal {
    /// The wait for a slot would exceed the limit.
    Overloaded,
    /// The wait for a slot exceeded the limit, or the waiting host is gone.
    QueueTimeout,
    /// The customer's own queue is over its limit.
    CustomerLimit,
    /// No upstream could take the request, however long it waited.
    NoUpstream,
    /// The retry budget is spent.
    Budget,
}

/// What the coordinator is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A slot is wanted.
    Acquire(Acquire),
    /// The caller of a waiting request went away.
    Abandon(Ticket),
    /// Evidence from an attempt that goes on.
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
        /// Number under which it will be settled.
        grant: Id,
    },
    /// A host is gone.
    HostGone(Arc<str>),
    /// An upstream is leaving.
    Leaving(Arc<str>),
    /// An upstream that was leaving takes requests again, unless the text says
    /// that it is leaving.
    Returned(Arc<str>),
    /// The view of an earlier coordinator, told by a host. It counts only at
    /// the start of a term.
    Adopt(health::View),
    /// Time passed.
    Tick,
}

/// What the coordinator wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Hand a slot to a waiting request.
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
    /// Turn a waiting request away.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The reason.
        reason: Refusal,
    },
    /// Put a change into the event log.
    Log(health::Change),
}
