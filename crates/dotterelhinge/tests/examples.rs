//! The example configurations in `examples/`.

use std::{fs, path::Path};

use dotterelhinge::document::Document;
use googletest::prelude::*;

/// Guards against examples that a daemon rejects, or whose sizes differ from
/// the deployments in the design page.
#[gtest]
fn examples_are_valid_and_have_the_declared_sizes() -> googletest::Result<()> {
    let sizes = [
        ("keepsake-works", "registry-desk", 30, 24, 400, 4),
        ("keepsake-works", "scan-intake", 8, 6, 400, 4),
        ("malla-sombra", "mostrador", 30, 24, 350, 3),
        ("malla-sombra", "sala-planos", 6, 4, 350, 3),
    ];
    for (example, name, upstreams, floor, connections, zones) in sizes {
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../examples")
            .join(format!("{example}.json"));
        let document = Document::parse(&fs::read(path).or_fail()?).or_fail()?;
        let snapshot = document.snapshot();
        let service = &snapshot.services[snapshot.service_position(name).or_fail()?];
        expect_that!(service.upstreams.len(), eq(upstreams), "{name}");
        expect_that!(service.floor, eq(floor), "{name}");
        for upstream in &service.upstreams {
            expect_that!(upstream.slots, eq(3));
            expect_that!(upstream.connections, eq(connections));
        }
        expect_that!(snapshot.availability_zones.len(), eq(zones));
    }
    Ok(())
}
