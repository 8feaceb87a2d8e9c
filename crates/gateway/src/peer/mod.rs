//! Exchange between daemons: evidence, liveness, and the catalog.
//!
//! Within an availability zone, hosts report to one of them, the aggregator. It
//! sends digests to all hosts of its zone and, less often, to one host of each
//! other zone, the relay, which forwards them within its zone. A host's traffic
//! therefore grows with the number of zones and of events, not with the number
//! of hosts.
//!
//! Changes of the list of backend servers travel the same way at once, in as
//! many datagrams as they need. Datagrams may be lost; for the catalog, which
//! must not be, every report carries the versions of the sender's copy, and a
//! receiver that still has older ones after a moment fetches what it lacks over
//! HTTP: the changes of the list since its version, or the whole list if the
//! sender no longer has them.

pub mod aggregate;
pub mod client;
pub mod fragment;
pub mod members;
pub mod report;
pub mod usage;
