//! Guards against a schema edit without regenerated types, and against an edit
//! of a generated file by hand.

use std::{fs, path::Path};

use googletest::prelude::*;

#[gtest]
fn committed_files_equal_fresh_output() -> googletest::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for target in dotterelhinge_codegen::TARGETS {
        let fresh = dotterelhinge_codegen::generate(&root, target).or_fail()?;
        let committed = fs::read_to_string(root.join(target.output)).or_fail()?;
        expect_true!(
            fresh == committed,
            "{} is stale; run `cargo run -p dotterelhinge-codegen`",
            target.output
        );
    }
    Ok(())
}
