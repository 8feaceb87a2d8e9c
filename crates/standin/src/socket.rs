//! Listening sockets.

use std::{
    io,
    net::{TcpListener, ToSocketAddrs},
};

use socket2::SockRef;

/// Connections that wait to be accepted at most. The default of the standard
/// library, 128, is less than the callers of some tests: the kernel drops what
/// exceeds it, and the daemons find a sound server unreachable.
pub const BACKLOG: u16 = 1024;

/// Binds a socket that listens on `address`, with room for [`BACKLOG`] connections.
pub fn bind(address: impl ToSocketAddrs) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    // Listening once more only changes the backlog.
    SockRef::from(&listener).listen(BACKLOG.into())?;
    Ok(listener)
}
