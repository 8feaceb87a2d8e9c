//! Faults of a document, and the error that lists them.

use std::fmt;

use error_stack::Report;

/// A violation of a rule by a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Location as a JSON Pointer (RFC 6901); empty for the document itself.
    pub path: String,
    /// The offending value as JSON, truncated; a description if it has several
    /// parts; `absent` for a missing member.
    pub value: String,
    /// The rule that the value has to satisfy.
    pub rule: String,
}

/// Characters of the offending value that a fault quotes. Longer values would
/// hide the path and the rule.
const MAX_VALUE_CHARACTERS: usize = 120;

impl Fault {
    pub(crate) fn new(
        path: impl Into<String>,
        value: &serde_json::Value,
        rule: impl Into<String>,
    ) -> Self {
        let value = match value {
            serde_json::Value::Array(items) => format!("[{} items]", items.len()),
            serde_json::Value::Object(members) => format!("{{{} members}}", members.len()),
            scalar => truncate(scalar.to_string()),
        };
        Self {
            path: path.into(),
            value,
            rule: rule.into(),
        }
    }

    /// Creates a fault from the text of a value or a description.
    pub(crate) fn with_description(
        path: impl Into<String>,
        value: impl fmt::Display,
        rule: impl Into<String>,
    ) -> Self {
        Self {
            path: path.into(),
            value: truncate(value.to_string()),
            rule: rule.into(),
        }
    }
}

fn truncate(mut value: String) -> String {
    if let Some((end, _)) = value.char_indices().nth(MAX_VALUE_CHARACTERS) {
        value.truncate(end);
        value.push('…');
    }
    value
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() {
            "/"
        } else {
            &self.path
        };
        write!(formatter, "{path}: {}: {}", self.value, self.rule)
    }
}

/// Kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The document is not valid JSON.
    Syntax,
    /// The document breaks rules.
    Invalid,
    /// A compressed document or a delta cannot be decoded, or a delta does not
    /// apply to its base.
    Delta,
    /// The result of a delta does not have the expected hash.
    Hash,
}

/// Reason why a document is rejected.
#[derive(Debug)]
pub struct Error {
    kind: Kind,
    faults: Vec<Fault>,
    detail: String,
}

impl Error {
    pub(super) fn with_faults(kind: Kind, faults: Vec<Fault>) -> Report<Self> {
        Report::new(Self {
            kind,
            faults,
            detail: String::new(),
        })
    }

    pub(super) fn with_detail(kind: Kind, detail: impl fmt::Display) -> Report<Self> {
        Report::new(Self {
            kind,
            faults: Vec::new(),
            detail: detail.to_string(),
        })
    }

    pub(super) fn syntax(fault: Fault) -> Report<Self> {
        Self::with_faults(Kind::Syntax, vec![fault])
    }

    /// Fails if there are any faults.
    pub(super) fn invalid(faults: Vec<Fault>) -> Result<(), Report<Self>> {
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Self::with_faults(Kind::Invalid, faults))
        }
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns the faults of the document.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            Kind::Syntax => formatter.write_str("configuration is not valid JSON")?,
            Kind::Invalid => write!(
                formatter,
                "configuration is invalid, {} faults",
                self.faults.len()
            )?,
            Kind::Delta => write!(
                formatter,
                "configuration cannot be decoded or patched: {}",
                self.detail
            )?,
            Kind::Hash => write!(
                formatter,
                "configuration does not have the expected hash: {}",
                self.detail
            )?,
        }
        for fault in &self.faults {
            write!(formatter, "\n{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}
