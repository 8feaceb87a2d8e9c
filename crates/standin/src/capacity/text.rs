//! A text of a given share of the target size.

use serde_json::{Value, json};

const SERVICES: usize = 2_200;
const UPSTREAMS: usize = 40_000;
const CUSTOMERS: usize = 120_000;
const ROUTES: usize = 62_000;
const ZONES: usize = 16;
const REGIONS: usize = 5;

/// Replaces `text` by one of `PERCENT` of the target's routes, customers and
/// upstreams. The upstream addresses answer nobody.
pub fn scaled<const PERCENT: usize>(text: &mut Value) {
    let part = |count: usize| (count * PERCENT / 100).max(1);
    let services = part(SERVICES);
    let upstreams = part(UPSTREAMS);
    let zones: Vec<_> = (0..ZONES)
        .map(|n| json!({"name": format!("zone-{n}"), "region": format!("region-{}", n % REGIONS)}))
        .collect();
    let customers: Vec<_> = (0..part(CUSTOMERS))
        .map(|n| json!({"name": format!("customer-{n:06}"), "slot_share": 0.25}))
        .collect();
    let services_rows: Vec<_> = (0..services)
        .map(|service| {
            let rows: Vec<_> = (service..upstreams)
                .step_by(services)
                .map(|n| {
                    json!({
                        "name": format!("backend-{n}"),
                        "address": address(n),
                        "availability_zone": format!("zone-{}", n / services % ZONES),
                        "slots": 3, "connections": 400,
                    })
                })
                .collect();
            json!({"name": format!("service-{service}"), "floor": rows.len() / 2, "upstreams": rows})
        })
        .collect();
    let routes: Vec<_> = (0..part(ROUTES))
        .map(|n| {
            json!({
                "path_prefix": format!("/v1/area-{}/part-{n}", n % 100),
                "service": format!("service-{}", n % services),
                "class": if n % 3 == 0 { "order" } else { "lookup" },
            })
        })
        .collect();
    *text = json!({
        "customer_header": "x-customer",
        "availability_zones": zones,
        "customers": customers,
        "classes": [{"name": "lookup", "repeatable": true}, {"name": "order", "repeatable": false}],
        "services": services_rows,
        "routes": routes,
    });
}

fn address(n: usize) -> String {
    format!("10.{}.{}.1:8080", n / 256, n % 256)
}

/// A host list of `count` backend servers as the platform serves it.
pub fn hosts(count: usize) -> Value {
    let rows = (0..count)
        .map(|n| json!({"name": format!("host-{n}"), "address": address(n), "state": "live"}));
    Value::Array(rows.collect())
}
