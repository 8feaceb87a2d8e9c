//! Randomized soak of the daemons on loopback.
//!
//! Real processes serve callers with persistent connections while faults are
//! injected from outside: signals to daemons, relays that delay, reset, cut or
//! silence connections, and faults of the store and the backend servers. The
//! guarantees are checked by comparing the answers that callers got with the
//! requests that the backend servers began. The same seed gives the same plan;
//! the timing depends on the machine.

pub mod caller;
pub mod case;
pub mod check;
pub mod plan;
pub mod run;
