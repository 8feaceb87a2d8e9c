//! HTTP/1.1 framing without I/O.
//!
//! The stand-ins must produce and detect malformed messages, which HTTP
//! libraries hide. This module only splits bytes into heads and bodies.

pub mod body;
pub mod head;

/// Why bytes are not an HTTP/1.1 message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The head does not parse.
    #[error("malformed head: {0}")]
    Head(String),
    /// The body framing is invalid.
    #[error("malformed body framing: {0}")]
    Framing(&'static str),
}
