//! Messages between daemons: HTTP POST with MessagePack bodies on the peer
//! port.
//!
//! | path | request | answer |
//! |---|---|---|
//! | `/peer/v1/acquire` | [`Acquire`] | [`Answer`] |
//! | `/peer/v1/await` | [`Await`] | [`Answer`] |
//! | `/peer/v1/report` | [`Report`] | [`Receipt`] |
//! | `/peer/v1/membership` | `membership::Message` | `membership::Message` |
//! | `/peer/v1/version` | nothing | `configuration::Version` or nothing |
//! | `/peer/v1/text` | nothing | [`Document`] or nothing |
//! | `/peer/v1/offer` | [`Offer`] | nothing |
//! | `/peer/v1/key-begin` | `idempotency::Begin` | `idempotency::Verdict` |
//! | `/peer/v1/key-end` | `crate::idempotency::End` | `idempotency::Ended` |
//! | `/peer/v1/key-handover` | `idempotency::Handover` | incarnation of the receiver |
//!
//! Structs are encoded as arrays of their fields in order. Durations are integers
//! in milliseconds unless a name ends in another unit.

use std::{net::SocketAddr, sync::Arc};

use dotterelhinge_policy::{configuration, health, placement};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Content type of every message.
pub(crate) const CONTENT_TYPE: &str = "application/msgpack";

/// Requests a slot from the coordinator of a service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Acquire {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the request class.
    pub class: Arc<str>,
    /// Customer the request is accounted to.
    pub customer: Arc<str>,
    /// Host that requests the slot.
    pub host: Arc<str>,
    /// Availability zone of that host.
    pub availability_zone: Arc<str>,
    /// Maximum time to wait for a slot.
    pub wait_ms: u32,
    /// Number of this request, unique on the host, for [`Entry::Cancel`].
    pub(crate) request: u64,
    /// Number of the attempt, from 1.
    pub(crate) attempt: u32,
    /// Names of upstreams that must not be chosen.
    pub excluded: SmallVec<[Arc<str>; 4]>,
}

/// Continues to wait for a slot after [`Answer::Queued`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Await {
    /// Name of the service.
    pub service: Arc<str>,
    /// Ticket of the waiting request.
    pub ticket: u64,
}

/// A granted slot.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Grant {
    /// Term of the coordinator.
    pub term: u64,
    /// Number of the grant within the term.
    pub grant: u64,
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Time within which the attempt must start.
    pub start_within_ms: u32,
    /// Time after which the attempt counts as slow.
    pub slow_after_ms: u32,
}

/// Answer to [`Acquire`] and [`Await`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum Answer {
    /// A slot is granted.
    Granted(Grant),
    /// No slot is granted yet; continue with [`Await`] and the ticket.
    Queued {
        /// Ticket of the waiting request.
        ticket: u64,
    },
    /// The request gets no slot.
    Refused(placement::Refusal),
    /// This daemon can't coordinate the service now, or the ticket is unknown.
    NotCoordinator,
}

/// An entry of a report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum Entry {
    /// An attempt ended.
    Settle {
        /// Name of the service.
        service: Arc<str>,
        /// Term of the grant.
        term: u64,
        /// Number of the grant.
        grant: u64,
        /// How the attempt ended.
        outcome: health::Outcome,
        /// Time from the first byte to the end, in microseconds.
        elapsed_us: u64,
        /// The upstream, if it announced that it is leaving.
        draining: Option<Arc<str>>,
    },
    /// An attempt has run longer than its `slow_after_ms`.
    Overdue {
        /// Name of the service.
        service: Arc<str>,
        /// Term of the grant.
        term: u64,
        /// Number of the grant.
        grant: u64,
        /// Time since the first byte, in microseconds.
        elapsed_us: u64,
    },
    /// A slot granted by an earlier coordinator is still in use.
    Inherit {
        /// Name of the service.
        service: Arc<str>,
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Name of the class.
        class: Arc<str>,
        /// Customer of the request.
        customer: Arc<str>,
        /// Number with which the grant will be settled in the new term.
        grant: u64,
    },
    /// The last known ejections of an earlier coordinator.
    Adopt {
        /// Name of the service.
        service: Arc<str>,
        /// Term of that coordinator.
        term: u64,
        /// The view.
        view: health::View,
    },
    /// The host no longer waits for a slot, or did not receive the answer.
    Cancel {
        /// Name of the service.
        service: Arc<str>,
        /// Number of the request for a slot.
        request: u64,
    },
    /// The platform's host list marks an upstream as leaving.
    Leaving {
        /// Name of the service.
        service: Arc<str>,
        /// Name of the upstream.
        upstream: Arc<str>,
    },
    /// All grants that the host holds for a service.
    Renew {
        /// Name of the service.
        service: Arc<str>,
        /// Term of the grants.
        term: u64,
        /// The grants.
        grants: Vec<u64>,
    },
}

impl Entry {
    /// Returns the service that the entry refers to.
    pub(crate) fn service(&self) -> &Arc<str> {
        match self {
            Entry::Settle { service, .. }
            | Entry::Overdue { service, .. }
            | Entry::Inherit { service, .. }
            | Entry::Adopt { service, .. }
            | Entry::Cancel { service, .. }
            | Entry::Leaving { service, .. }
            | Entry::Renew { service, .. } => service,
        }
    }
}

/// Report of a holder of grants to a coordinator.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Report {
    /// The holder.
    pub host: Arc<str>,
    /// The entries, in order.
    pub entries: Vec<Entry>,
}

/// Status of one service as reported by its coordinator.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Status {
    /// Name of the service.
    pub service: Arc<str>,
    /// Current term.
    pub term: u64,
    /// Ejected and leaving upstreams.
    pub view: health::View,
}

/// Answer to [`Report`]: the status of each service in it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Receipt {
    /// One entry for each service.
    #[serde(rename = "standings")]
    pub statuses: Vec<Status>,
}

/// Offers a version of the configuration.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Offer {
    /// Peer address of the sender.
    pub(crate) from: SocketAddr,
    /// The version.
    pub(crate) version: configuration::Version,
    /// Version that `delta` applies to, or 0 without a delta.
    pub(crate) base: u64,
    /// JSON Patch from the base to the version.
    pub(crate) delta: Vec<u8>,
}

/// A complete configuration.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Document {
    /// Its version.
    pub(crate) version: configuration::Version,
    /// Canonical JSON, compressed with gzip.
    pub(crate) gzip: Vec<u8>,
}
