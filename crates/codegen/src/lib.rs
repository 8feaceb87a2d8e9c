/*!
Generates the boundary types of the JSON Schemas in `schema/`.

```no_run
let root = std::path::Path::new(".");
for target in dotterelhinge_codegen::TARGETS {
    let source = dotterelhinge_codegen::generate(root, target)?;
    std::fs::write(root.join(target.output), source)?;
}
# Ok::<(), Box<dyn std::error::Error>>(())
```

# Guarantees

- The output depends on the schema and the versions in `Cargo.lock` only.
- A generated type accepts every document that its schema accepts. String
  rules (length, pattern) are left to the schema check.

# Costs

The generated files are committed, so building the daemon needs neither this
crate nor its dependencies.
*/

use std::{error::Error, fs, path::Path};

use serde_json::Value;

/// A schema and the file generated from it, relative to the workspace root.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// The JSON Schema.
    pub schema: &'static str,
    /// The Rust file.
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
pub fn generate(root: &Path, target: Target) -> Result<String, Box<dyn Error>> {
    let mut schema: Value = serde_json::from_slice(&fs::read(root.join(target.schema))?)?;
    drop_string_rules(&mut schema);
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

/// Removes length and pattern rules of strings. Typify turns each into a type
/// of its own that checks the rule again and needs a second regular expression
/// library.
fn drop_string_rules(schema: &mut Value) {
    match schema {
        Value::Object(members) => {
            if accepts_strings(members.get("type")) {
                for rule in ["minLength", "maxLength", "pattern"] {
                    members.remove(rule);
                }
            }
            members.values_mut().for_each(drop_string_rules);
        }
        Value::Array(items) => items.iter_mut().for_each(drop_string_rules),
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
