//! Many backend servers in one process, with injected faults.
//!
//! The servers speak HTTP/1.1 on plain TCP sockets, since they must corrupt
//! answers at the byte level.

mod answer;
pub mod connection;
pub mod control;
pub mod fault;
pub mod listener;
pub mod record;
pub mod server;
