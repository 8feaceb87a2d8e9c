//! Stand-in of a store of rows with versions, conditions and a change feed, as
//! the users' platform offers it.

pub mod server;
pub mod state;
