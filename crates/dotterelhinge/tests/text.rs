//! Configuration documents: faults, canonical form, deltas and routes.

use std::{fs, path::PathBuf};

use dotterelhinge::document::{self, Document};
use googletest::prelude::*;
use serde::Deserialize;
use serde_json::Value;

fn data(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(name)
}

fn load<T: serde::de::DeserializeOwned>(path: PathBuf) -> T {
    let json = fs::read(&path).expect("test data exists");
    serde_json::from_slice(&json).unwrap_or_else(|error| panic!("{path:?}: {error}"))
}

fn parse(value: &Value) -> Document {
    Document::parse(value.to_string().as_bytes()).expect("document is valid")
}

#[derive(Deserialize)]
struct Case {
    guards: String,
    raw: Option<String>,
    #[serde(default)]
    patch: json_patch::Patch,
    faults: Vec<Expected>,
}

#[derive(Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
struct Expected {
    path: String,
    value: String,
    rule: String,
}

/// Guards against the failure that each case names.
#[gtest]
fn each_case_has_the_expected_faults() {
    let base: Value = load(data("base.json"));
    let mut files: Vec<_> = fs::read_dir(data("text"))
        .expect("test data exists")
        .map(|entry| entry.expect("directory is readable").path())
        .collect();
    files.sort();
    for file in files {
        for case in load::<Vec<Case>>(file) {
            let json = case.raw.unwrap_or_else(|| {
                let mut value = base.clone();
                json_patch::patch(&mut value, &case.patch).expect("patch applies to the base");
                value.to_string()
            });
            let mut faults: Vec<_> = match Document::parse(json.as_bytes()) {
                Ok(_) => Vec::new(),
                Err(report) => report.current_context().faults().to_vec(),
            }
            .into_iter()
            .map(|fault| Expected {
                path: fault.path,
                value: fault.value,
                rule: fault.rule,
            })
            .collect();
            faults.sort();
            expect_that!(faults, eq(&case.faults), "{}", case.guards);
        }
    }
}

/// Guards against two hashes for one configuration, which would make daemons
/// reject it.
#[gtest]
fn white_space_and_member_order_do_not_change_the_hash() {
    let reordered = br#"{"routes":[],"services":[],
        "classes":[{"repeatable":true,"name":"a","false_ejection_cost":0.1}],
        "availability_zones":[{"region":"r","name":"z"}]}"#;
    let sorted = r#"{"availability_zones":[{"name":"z","region":"r"}],"classes":[{"false_ejection_cost":0.1,"name":"a","repeatable":true}],"routes":[],"services":[]}"#;
    let document = Document::parse(reordered).expect("document is valid");
    expect_that!(String::from_utf8(document.canonical()), ok(eq(sorted)));
    let again = Document::from_gzip(document.gzip()).expect("own gzip is valid");
    expect_that!(again.hash(), eq(document.hash()));
    let other =
        Document::parse(sorted.replace("0.1", "0.2").as_bytes()).expect("document is valid");
    expect_that!(other.hash(), not(eq(document.hash())));
}

/// Guards against a configuration that differs from the accepted one.
#[gtest]
fn a_delta_is_rejected_unless_the_result_has_the_expected_hash() {
    let base: Value = load(data("base.json"));
    let old = parse(&base);
    let mut edited = base.clone();
    edited["services"][0]["upstreams"][0]["leaving"] = Value::Bool(true);
    let new = parse(&edited);
    let delta = document::delta(&old, &new);

    let applied = document::apply(&old, &delta, new.hash()).expect("delta applies");
    expect_that!(applied.canonical(), eq(&new.canonical()));
    let kind = |result: std::result::Result<Document, error_stack::Report<document::Error>>| {
        result
            .map(|_| ())
            .map_err(|report| report.current_context().kind())
    };
    expect_that!(
        kind(document::apply(&old, &delta, old.hash())),
        err(eq(document::Kind::Hash))
    );
    expect_that!(
        kind(document::apply(
            &old,
            b"[{\"op\":\"remove\",\"path\":\"/none\"}]",
            new.hash()
        )),
        err(eq(document::Kind::Delta))
    );
    expect_that!(
        kind(document::apply(&old, b"{", new.hash())),
        err(eq(document::Kind::Delta))
    );
    expect_that!(
        kind(document::apply(
            &old,
            b"[{\"op\":\"remove\",\"path\":\"/classes\"}]",
            new.hash()
        )),
        err(eq(document::Kind::Invalid))
    );
}

/// Guards against a delta whose size depends on the document instead of the
/// edit.
#[gtest]
fn an_inserted_route_is_one_operation() {
    let base: Value = load(data("base.json"));
    let mut edited = base.clone();
    let route = serde_json::json!({"path_prefix": "/first", "service": "desk", "class": "order"});
    edited["routes"]
        .as_array_mut()
        .expect("array")
        .insert(0, route);
    let delta = document::delta(&parse(&base), &parse(&edited));
    let patch: json_patch::Patch = serde_json::from_slice(&delta).expect("delta is a patch");
    expect_that!(patch.0, len(eq(1)));
}

#[derive(Deserialize)]
struct Routing {
    routes: Value,
    cases: Vec<Lookup>,
}

#[derive(Deserialize)]
struct Lookup {
    guards: String,
    host: Option<String>,
    method: String,
    path: String,
    to: Option<String>,
}

/// Guards against requests sent to the wrong service or in the wrong class.
#[gtest]
fn each_case_has_the_expected_route() {
    let routing: Routing = load(data("routes.json"));
    let names = |member: &str| {
        let mut names: Vec<_> = routing
            .routes
            .as_array()
            .expect("array")
            .iter()
            .map(|route| route[member].as_str().expect("name").to_owned())
            .collect();
        names.sort();
        names.dedup();
        names
    };
    let services: Vec<_> = names("service")
        .into_iter()
        .map(|name| serde_json::json!({"name": name, "floor": 0, "upstreams": []}))
        .collect();
    let classes: Vec<_> = names("class")
        .into_iter()
        .map(|name| serde_json::json!({"name": name, "repeatable": true}))
        .collect();
    let document = parse(&serde_json::json!({
        "availability_zones": [{"name": "z", "region": "r"}],
        "services": services, "classes": classes, "routes": routing.routes,
    }));
    let snapshot = document.snapshot();
    for case in routing.cases {
        let route = snapshot.route(case.host.as_deref(), &case.method, &case.path);
        let to = route.map(|route| {
            format!(
                "{} {}",
                snapshot.services[route.service].name, snapshot.classes[route.class].name
            )
        });
        expect_that!(
            to,
            eq(&case.to),
            "{}: {:?} {} {}",
            case.guards,
            case.host,
            case.method,
            case.path
        );
    }
}

/// Guards against a slot limit for a customer that is not listed.
#[gtest]
fn customers_that_are_not_listed_have_no_slot_limit() {
    let document = parse(&load(data("base.json")));
    expect_that!(document.snapshot().slot_share("acme"), eq(0.5));
    expect_that!(document.snapshot().slot_share("other"), eq(1.0));
}
