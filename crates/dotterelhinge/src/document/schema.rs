//! Schema check with all faults of a document, and conversion to a generated
//! type.

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
    /// Compiles a schema that is part of the program.
    ///
    /// # Panics
    ///
    /// Panics if it is not a valid JSON Schema.
    pub(crate) fn new(schema: &str) -> Self {
        let schema = serde_json::from_str(schema).expect("schema is JSON");
        let validator = jsonschema::validator_for(&schema).expect("schema is valid");
        Self { validator }
    }

    /// Returns all faults of a document.
    pub(crate) fn check(&self, document: &Value) -> Vec<Fault> {
        // `is_valid` builds no error values, which makes the usual case cheap.
        if self.validator.is_valid(document) {
            return Vec::new();
        }
        self.validator
            .iter_errors(document)
            .flat_map(|error| faults(&error))
            .collect()
    }
}

/// Parses JSON without repeated member names.
pub(crate) fn read(document: &[u8]) -> Result<Value, Fault> {
    let value = serde_json::from_slice::<Strict>(document);
    value.map(|Strict(value)| value).map_err(|error| {
        Fault::text(
            "",
            format_args!("line {} column {}", error.line(), error.column()),
            format!("JSON: {error}"),
        )
    })
}

/// Converts a document that passed its schema. The schema also accepts numbers
/// such as `3.0` as integers, which the generated types refuse.
pub(crate) fn convert<T: DeserializeOwned>(document: Value) -> Result<T, Fault> {
    // Keeping track of the path slows the conversion of a large document down,
    // so it is repeated for the path of a fault only.
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
        Fault::text(path, error.inner(), "a value of the declared type")
    })
}

/// Appends a member name to a JSON Pointer.
pub(crate) fn pointer(base: &str, member: &str) -> String {
    format!("{base}/{}", member.replace('~', "~0").replace('/', "~1"))
}

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
            return vec![Fault::text(pointer(path, member), "absent", "required")];
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
