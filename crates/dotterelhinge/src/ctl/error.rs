//! Exit codes, and the error that carries one.

use std::{fmt, process::ExitCode};

use error_stack::Report;

use crate::{document, platform};

/// Exit code of the program. The numbers are part of its interface.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Code {
    /// Success.
    Ok = 0,
    /// Wrong arguments, an unreadable file, or a version or host that does not
    /// exist.
    Usage = 2,
    /// The configuration is invalid.
    Invalid = 3,
    /// Another edit was accepted first.
    Conflict = 4,
    /// The platform is unreachable or returned no usable response.
    Unavailable = 5,
    /// The edit was sent, and it is unknown whether it was accepted.
    Unproven = 6,
    /// Daemons lag behind the newest version or are unreachable.
    Daemons = 7,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}

/// Result of a step of a command.
pub(super) type Result<T> = std::result::Result<T, Report<Error>>;

/// Converts any failure of the platform to [`Code::Unavailable`].
pub(super) fn available<T>(result: platform::Result<T>) -> Result<T> {
    result.map_err(|report| {
        let message = format!("platform: {}", report.current_context());
        report.change_context(Error::new(Code::Unavailable, message))
    })
}

/// Error of a command.
#[derive(Debug)]
pub struct Error {
    code: Code,
    message: String,
    faults: Vec<document::Fault>,
}

impl Error {
    pub(super) fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            faults: Vec::new(),
        }
    }

    pub(super) fn invalid(file: &str, error: &document::Error) -> Self {
        Self {
            code: Code::Invalid,
            message: format!("{file} is not a valid configuration"),
            faults: error.faults().to_vec(),
        }
    }

    /// Returns the exit code.
    pub fn code(&self) -> Code {
        self.code
    }

    /// Returns the faults of an invalid configuration, otherwise none.
    pub fn faults(&self) -> &[document::Fault] {
        &self.faults
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.message)
    }
}

impl std::error::Error for Error {}
