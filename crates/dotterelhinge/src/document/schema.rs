//! Validation against a JSON Schema, with all faults of a document, and
//! conversion to a generated type.

use jsonschema::error::ValidationErrorKind;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{Fault, strict::Strict};

/// A compiled JSON Schema.
#[derive(Debug)]
pub(crate) struct Schema {
    validator: jsonschema::Validator,
}

impl Schema {
    /// Compiles a schema that is embedded in the program.
    ///
    /// # Panics
    ///
    /// Panics if it is not a valid JSON Schema.
    pub(crate) fn new(schema: &str) -> Self {
        let schema = serde_json::from_str(schema).expect("schema is JSON");
        let validator = jsonschema::validator_for(&schema).expect("schema is valid");
        Self { validator }
    }

    /// Returns all schema violations of a document.
    pub(crate) fn check(&self, document: &Value) -> Vec<Fault> {
        // `is_valid` builds no error values, which keeps the usual case cheap.
        if self.validator.is_valid(document) {
            return Vec::new();
        }
        self.validator
            .iter_errors(document)
            .flat_map(|error| faults(&error))
            .collect()
    }
}

/// Parses JSON and rejects duplicate member names.
pub(crate) fn read(document: &[u8]) -> Result<Value, Fault> {
    let value = serde_json::from_slice::<Strict>(document);
    value.map(|Strict(value)| value).map_err(|error| {
        Fault::with_description(
            "",
            format_args!("line {} column {}", error.line(), error.column()),
            format!("JSON: {error}"),
        )
    })
}

/// Converts a document that satisfies its schema. This can still fail: the
/// schema accepts numbers such as `3.0` as integers, the generated types do not.
pub(crate) fn convert<T: DeserializeOwned>(document: Value) -> Result<T, Fault> {
    // Tracking the path slows down the conversion of a large document, so it is
    // done in a second conversion after a failure only.
    if let Ok(converted) = T::deserialize(&document) {
        return Ok(converted);
    }
    serde_path_to_error::deserialize(document).map_err(|error| {
        let mut path = String::new();
        for segment in error.path() {
            match segment {
                serde_path_to_error::Segment::Seq { index } => path.push_str(&format!("/{index}")),
                serde_path_to_error::Segment::Map { key } => path.push_str(&pointer("", key)),
                _ => {}
            }
        }
        Fault::with_description(path, error.inner(), "a value of the declared type")
    })
}

/// Appends a member name to a JSON Pointer.
pub(crate) fn pointer(base: &str, member: &str) -> String {
    format!("{base}/{}", member.replace('~', "~0").replace('/', "~1"))
}

/// Translates an error of the validator into faults.
fn faults(error: &jsonschema::ValidationError<'_>) -> Vec<Fault> {
    let path = error.instance_path().as_str();
    let rule = match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            return unexpected
                .iter()
                .map(|member| {
                    let value = error.instance().get(member).unwrap_or(&Value::Null);
                    Fault::new(pointer(path, member), value, "no such member")
                })
                .collect();
        }
        ValidationErrorKind::Required { property } => {
            let member = property.as_str().unwrap_or_default();
            return vec![Fault::with_description(
                pointer(path, member),
                "absent",
                "required",
            )];
        }
        ValidationErrorKind::Minimum { limit } => format!("at least {limit}"),
        ValidationErrorKind::Maximum { limit } => format!("at most {limit}"),
        ValidationErrorKind::ExclusiveMinimum { limit } => format!("above {limit}"),
        ValidationErrorKind::MinLength { limit } => format!("at least {limit} characters"),
        ValidationErrorKind::MaxLength { limit } => format!("at most {limit} characters"),
        ValidationErrorKind::MinItems { limit } => format!("at least {limit} items"),
        ValidationErrorKind::MaxItems { limit } => format!("at most {limit} items"),
        ValidationErrorKind::Pattern { pattern } => format!("matches {pattern}"),
        ValidationErrorKind::Enum { options } => format!("one of {options}"),
        ValidationErrorKind::Type {
            kind: jsonschema::error::TypeKind::Single(kind),
        } => format!("of type {kind}"),
        _ => error.to_string(),
    };
    vec![Fault::new(path, error.instance(), rule)]
}
