//! What daemons tell each other: evidence, liveness, and the catalog.
//!
//! Reports go as datagrams to every host of the own availability zone and to
//! one random host of each other zone, which passes them on within its zone.
//! Traffic between zones therefore grows with the number of zones, and a relay
//! that fails costs only the reports that it was picked for. What must not be
//! lost is compared in every report and fetched over HTTP if it differs.

pub mod client;
pub mod members;
pub mod report;
