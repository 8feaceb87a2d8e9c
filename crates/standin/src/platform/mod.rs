//! The platform of `docs/platform.md`, in memory and with injected faults.

pub mod limit;
pub mod server;
pub mod state;
