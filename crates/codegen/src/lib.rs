/*!
Generates Rust types for the JSON Schemas in `schema/`.

```no_run
let root = std::path::Path::new(".");
for target in dotterelhinge_codegen::TARGETS {
    let source = dotterelhinge_codegen::generate(root, target)?;
    std::fs::write(root.join(target.output), source)?;
}
# Ok::<(), Box<dyn std::error::Error>>(())
```

# Guarantees

- The output depends only on the schema and on the versions in `Cargo.lock`.
- A generated type accepts every document that its schema accepts. String
  constraints (length, pattern) are not part of the types; schema validation
  checks them.

# Costs

The generated files are committed, so that building the daemon requires neither
this crate nor its dependencies.
*/

use std::{error::Error, fs, path::Path};

use serde_json::Value;

/// A schema and the file generated from it, relative to the workspace root.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Path of the JSON Schema.
    pub schema: &'static str,
    /// Path of the generated Rust file.
    pub output: &'static str,
}

/// All generated files.
pub const TARGETS: [Target; 2] = [
    Target {
        schema: "schema/text.schema.json",
        output: "crates/dotterelhinge/src/border/text.rs",
    },
    Target {
        schema: "schema/settings.schema.json",
        output: "crates/dotterelhinge/src/border/settings.rs",
    },
];

/// Returns the Rust source for a target.
///
/// Fails if the schema under `root` can't be read, parsed or converted.
pub fn generate(root: &Path, target: Target) -> Result<String, Box<dyn Error>> {
    let mut schema: Value = serde_json::from_slice(&fs::read(root.join(target.schema))?)?;
    remove_string_constraints(&mut schema);
    let schema: schemars::schema::RootSchema = serde_json::from_value(schema)?;

    let mut types = typify::TypeSpace::new(&typify::TypeSpaceSettings::default());
    types.add_root_schema(schema)?;
    let file = syn::parse2::<syn::File>(types.to_stream())?;
    Ok(format!(
        "//! Generated from `{}` by `cargo run -p dotterelhinge-codegen`; do not edit.\n\n{}",
        target.schema,
        prettyplease::unparse(&file)
    ))
}

/// Removes the length and pattern constraints of strings. Typify would generate
/// a separate type for each constrained string, which checks the constraints
/// again and needs a second regular expression library.
fn remove_string_constraints(schema: &mut Value) {
    match schema {
        Value::Object(members) => {
            if accepts_strings(members.get("type")) {
                for constraint in ["minLength", "maxLength", "pattern"] {
                    members.remove(constraint);
                }
            }
            members.values_mut().for_each(remove_string_constraints);
        }
        Value::Array(items) => items.iter_mut().for_each(remove_string_constraints),
        _ => {}
    }
}

fn accepts_strings(kind: Option<&Value>) -> bool {
    match kind {
        Some(Value::String(name)) => name == "string",
        Some(Value::Array(names)) => names.iter().any(|name| name == "string"),
        _ => false,
    }
}
