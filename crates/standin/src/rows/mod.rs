//! Stand-in of the row store of the users' platform: rows with versions,
//! conditional transactions and a change feed.

pub mod server;
pub mod state;
