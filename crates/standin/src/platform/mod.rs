//! The platform of `docs/platform.md`, in memory and with faults on demand.

pub mod limit;
pub mod server;
pub mod state;
