//! Regenerates all files of [`dotterelhinge_codegen::TARGETS`] in the workspace.

use std::{error::Error, fs, path::Path};

fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for target in dotterelhinge_codegen::TARGETS {
        let output = root.join(target.output);
        if let Some(directory) = output.parent() {
            fs::create_dir_all(directory)?;
        }
        fs::write(output, dotterelhinge_codegen::generate(&root, target)?)?;
        println!("{}", target.output);
    }
    Ok(())
}
