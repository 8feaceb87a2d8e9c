//! Tests of the settings of a daemon process.

use std::{path::Path, time::Duration};

use dotterelhinge::settings::{Kind, Policy, Settings};
use googletest::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};

#[derive(Deserialize)]
struct Case {
    guards: String,
    edit: serde_json::Map<String, Value>,
    faults: Vec<(String, String, String)>,
}

fn document(edit: &serde_json::Map<String, Value>) -> Vec<u8> {
    let mut settings = json!({
        "host": "entry-1", "availability_zone": "north", "region": "east",
        "listen": "127.0.0.1:8000", "peer": "127.0.0.1:8100", "admin": "127.0.0.1:8200",
    });
    settings
        .as_object_mut()
        .expect("object")
        .extend(edit.clone());
    settings.to_string().into_bytes()
}

fn cases() -> Vec<Case> {
    serde_json::from_str(include_str!("data/settings.json")).expect("test data is valid")
}

/// Guards against the failure that is described in `guards` of each case.
#[gtest]
fn invalid_settings_have_the_expected_faults() {
    for case in cases() {
        let mut faults: Vec<_> = match Settings::parse(&document(&case.edit)) {
            Ok(_) => Vec::new(),
            Err(report) => report.current_context().faults().to_vec(),
        }
        .into_iter()
        .map(|fault| (fault.path, fault.value, fault.rule))
        .collect();
        faults.sort();
        expect_that!(faults, eq(&case.faults), "{}", case.guards);
    }
}

/// Guards against defaults in the schema that differ from those in the code.
#[gtest]
fn defaults_of_the_schema_and_of_settings_agree() {
    let loaded = Settings::parse(&document(&cases()[0].edit)).expect("settings are valid");
    let expected = Settings {
        host: loaded.host.clone(),
        availability_zone: loaded.availability_zone.clone(),
        region: loaded.region.clone(),
        listen: loaded.listen,
        peer: loaded.peer,
        admin: loaded.admin,
        ..Settings::default()
    };
    expect_that!(loaded, eq(&expected));
}

/// Guards against a setting that is accepted and then ignored.
#[gtest]
fn every_setting_takes_effect() {
    let loaded = Settings::parse(&document(&cases()[1].edit)).expect("settings are valid");
    let address = |text: &str| text.parse().expect("address");
    let expected = Settings {
        host: "entry-1".into(),
        availability_zone: "north".into(),
        region: "east".into(),
        listen: address("0.0.0.0:8000"),
        peer: address("127.0.0.1:8100"),
        admin: address("127.0.0.1:8200"),
        platform: Some("http://127.0.0.1:8500/base".into()),
        seeds: vec![address("127.0.0.1:8101"), address("[::1]:8101")],
        workers: 4,
        policy: Policy::Baseline,
        stop_notice: Duration::ZERO,
        stop_limit: Some(Duration::from_secs(60)),
        metrics: Some(address("127.0.0.1:8125")),
        request_log_share: 1.0,
        max_header_bytes: 4096,
        max_body_bytes: 0,
        log_level: log::LevelFilter::Trace,
        keys_per_owner: 1,
    };
    expect_that!(loaded, eq(&expected));
}

/// Guards against reporting a missing file as an invalid one.
#[gtest]
fn a_missing_file_is_a_read_error() {
    let report = Settings::load(Path::new("/nonexistent/settings.json")).expect_err("no such file");
    expect_that!(report.current_context().kind(), eq(Kind::Read));
}
