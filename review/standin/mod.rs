//! Stand-ins and helpers that the review's scripts share. Standard library only.
#![allow(dead_code)]

pub mod client;
pub mod fleet;
pub mod http;
pub mod record;
pub mod store;
pub mod upstream;
