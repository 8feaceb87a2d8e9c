//! Property tests of configuration documents.

use std::collections::BTreeMap;

use dotterelhinge::document::{self, Document};
use proptest::{prelude::*, sample::Index, test_runner::RngSeed};
use serde_json::{Value, json};

const BASE: &str = include_str!("data/base.json");

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn any_json() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "\\PC{0,12}".prop_map(Value::from),
        Just(json!([])),
        Just(json!({"name": "x"})),
    ]
}

/// Appends the JSON Pointers of all values to `found`.
fn pointers(value: &Value, path: String, found: &mut Vec<String>) {
    match value {
        Value::Object(members) => {
            for (name, value) in members {
                pointers(value, format!("{path}/{name}"), found);
            }
        }
        Value::Array(items) => {
            for (position, value) in items.iter().enumerate() {
                pointers(value, format!("{path}/{position}"), found);
            }
        }
        _ => {}
    }
    found.push(path);
}

/// Generates valid documents that vary in the parts that operators edit most.
fn any_document() -> impl Strategy<Value = Document> {
    let upstreams = prop::collection::btree_map(1u16..40, (any::<bool>(), 1u32..9), 0..8);
    let customers = prop::collection::btree_map("[a-z/~ ü]{1,6}", 0.0001f64..1.0, 0..6);
    let routes = prop::collection::btree_set("(/[a-z~]{1,3}){1,3}", 0..8)
        .prop_map(Vec::from_iter)
        .prop_shuffle();
    (upstreams, customers, routes, any::<bool>()).prop_map(
        |(upstreams, customers, routes, header)| {
            let upstreams: Vec<_> = upstreams
                .into_iter()
                .map(|(port, (leaving, slots))| {
                    json!({"name": format!("u{port}"), "address": format!("127.0.0.1:{port}"),
                        "availability_zone": "z", "slots": slots, "connections": 9, "leaving": leaving})
                })
                .collect();
            let customers: Vec<_> = customers
                .into_iter()
                .map(|(name, share)| json!({"name": name, "slot_share": share}))
                .collect();
            let routes: Vec<_> = routes
                .into_iter()
                .map(|prefix| json!({"path_prefix": prefix, "service": "s", "class": "c"}))
                .collect();
            let mut value = json!({"availability_zones": [{"name": "z", "region": "r"}],
                "customers": customers, "classes": [{"name": "c", "repeatable": true}],
                "services": [{"name": "s", "floor": 0, "upstreams": upstreams}], "routes": routes});
            if header {
                value["customer_header"] = json!("x-customer");
            }
            Document::parse(value.to_string().as_bytes()).expect("generated document is valid")
        },
    )
}

proptest! {
    #![proptest_config(config(400))]

    /// Guards against a panic on a document that is nearly valid.
    #[test]
    fn parse_never_panics_on_edited_json(edits in prop::collection::vec((any::<Index>(), any_json()), 1..4)) {
        let mut value: Value = serde_json::from_str(BASE).expect("base is JSON");
        for (place, new) in edits {
            let mut places = Vec::new();
            pointers(&value, String::new(), &mut places);
            let target = value.pointer_mut(&places[place.index(places.len())]).expect("pointer is listed");
            *target = new;
        }
        let _ = Document::parse(value.to_string().as_bytes());
    }

    /// Guards against a panic on damaged bytes.
    #[test]
    fn parse_never_panics_on_damaged_bytes(edits in prop::collection::vec((any::<Index>(), any::<u8>()), 1..6)) {
        let mut bytes = BASE.as_bytes().to_vec();
        for (place, byte) in edits {
            let place = place.index(bytes.len());
            bytes[place] = byte;
        }
        let _ = Document::parse(&bytes);
        let _ = Document::from_gzip(&bytes);
    }

    /// Guards against a delta that does not produce the edited document, and
    /// against a hash that changes when a document is parsed again.
    #[test]
    fn a_delta_produces_the_new_document(old in any_document(), new in any_document()) {
        let delta = document::delta(&old, &new);
        let applied = document::apply(&old, &delta, new.hash()).expect("own delta applies");
        prop_assert_eq!(applied.canonical(), new.canonical());
        prop_assert_eq!(applied.gzip(), new.gzip());
        let again = Document::parse(&new.canonical()).expect("canonical JSON is valid");
        prop_assert_eq!(again.hash(), new.hash());
    }

    /// Guards against a route table that finds other routes than a linear search.
    #[test]
    fn lookup_agrees_with_a_linear_search(
        routes in prop::collection::btree_map(("(/[ab]{1,2}){1,3}", 0u8..3), 0usize..3, 1..30),
        paths in prop::collection::vec("(/[ab]{0,2}){1,4}", 1..20),
    ) {
        let hosts = [None, Some("a"), Some("b")];
        let services: Vec<_> = (0..3)
            .map(|service| json!({"name": service.to_string(), "floor": 0, "upstreams": []}))
            .collect();
        let rules: Vec<_> = routes.iter().map(|((prefix, host), service)| {
            json!({"host": hosts[usize::from(*host)], "path_prefix": prefix, "service": service.to_string(), "class": "c"})
        }).collect();
        let value = json!({"availability_zones": [{"name": "z", "region": "r"}],
            "classes": [{"name": "c", "repeatable": true}], "services": services, "routes": rules});
        let document = Document::parse(value.to_string().as_bytes()).expect("generated document is valid");
        let by_host: Vec<BTreeMap<&str, usize>> = (0..3).map(|host| {
            routes.iter().filter(|(key, _)| key.1 == host).map(|(key, service)| (&*key.0, *service)).collect()
        }).collect();
        let search = |host: usize, path: &str| {
            by_host[host].iter()
                .filter(|(prefix, _)| path == **prefix || path.strip_prefix(**prefix).is_some_and(|rest| rest.starts_with('/')))
                .max_by_key(|(prefix, _)| prefix.len())
                .map(|(_, service)| *service)
        };
        for path in &paths {
            for (position, host) in hosts.iter().enumerate() {
                let expected = search(position, path).or_else(|| search(0, path));
                let found = document.snapshot().route(*host, "GET", path).map(|route| route.service);
                prop_assert_eq!(found, expected, "{:?} {}", host, path);
            }
        }
    }
}
