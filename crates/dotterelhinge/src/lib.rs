//! The daemon and command line of the proxy fleet.

pub mod platform;
