//! Guards against a schema that was changed without regenerating its types, and
//! against a manual edit of a generated file.

use std::{fs, path::Path};

use googletest::prelude::*;

#[gtest]
fn committed_files_match_generated_output() -> googletest::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for target in dotterelhinge_codegen::TARGETS {
        let fresh = dotterelhinge_codegen::generate(&root, target).or_fail()?;
        let committed = fs::read_to_string(root.join(target.output)).or_fail()?;
        expect_true!(
            fresh == committed,
            "{} differs from the generated output; run `cargo run -p dotterelhinge-codegen`",
            target.output
        );
    }
    Ok(())
}
