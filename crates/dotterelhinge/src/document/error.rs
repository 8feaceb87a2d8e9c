//! Faults of a document and the error that carries them.

use std::fmt;

use error_stack::Report;

/// One rule that a document breaks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Where, as a JSON Pointer (RFC 6901); empty for the whole document.
    pub path: String,
    /// The offending value as JSON, shortened, or in words if it has several
    /// parts; `absent` for a missing member.
    pub value: String,
    /// What the value has to be.
    pub rule: String,
}

/// Longest offending value that a fault repeats, in characters. Longer ones
/// would hide the path and the rule.
const VALUE_CHARACTERS: usize = 120;

impl Fault {
    pub(crate) fn new(
        path: impl Into<String>,
        value: &serde_json::Value,
        rule: impl Into<String>,
    ) -> Self {
        let value = match value {
            serde_json::Value::Array(items) => format!("[{} items]", items.len()),
            serde_json::Value::Object(members) => format!("{{{} members}}", members.len()),
            scalar => shorten(scalar.to_string()),
        };
        Self {
            path: path.into(),
            value,
            rule: rule.into(),
        }
    }

    pub(crate) fn text(
        path: impl Into<String>,
        value: impl fmt::Display,
        rule: impl Into<String>,
    ) -> Self {
        Self {
            path: path.into(),
            value: shorten(value.to_string()),
            rule: rule.into(),
        }
    }
}

fn shorten(mut value: String) -> String {
    if let Some((end, _)) = value.char_indices().nth(VALUE_CHARACTERS) {
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

/// What kind of error a text met.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The document is not JSON.
    Syntax,
    /// The document breaks rules.
    Invalid,
    /// A compressed document or a delta cannot be read, or a delta does not
    /// fit its base.
    Delta,
    /// The result of a delta has another hash than expected.
    Hash,
}

/// Why a text is refused.
#[derive(Debug)]
pub struct Error {
    kind: Kind,
    faults: Vec<Fault>,
    detail: String,
}

impl Error {
    pub(super) fn of(kind: Kind, faults: Vec<Fault>) -> Report<Self> {
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
        Self::of(Kind::Syntax, vec![fault])
    }

    /// Fails if there are any faults.
    pub(super) fn invalid(faults: Vec<Fault>) -> Result<(), Report<Self>> {
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Self::of(Kind::Invalid, faults))
        }
    }

    /// Returns the kind.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns all faults of the document.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            Kind::Syntax => formatter.write_str("text is not JSON")?,
            Kind::Invalid => write!(formatter, "text has {} faults", self.faults.len())?,
            Kind::Delta => write!(formatter, "text cannot be rebuilt: {}", self.detail)?,
            Kind::Hash => write!(formatter, "text has an unexpected hash: {}", self.detail)?,
        }
        for fault in &self.faults {
            write!(formatter, "\n{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}
