//! Cost of configuration documents with up to 62,000 routes, 120,000 customers
//! and 40,000 upstreams: time of parsing with compilation, of a lookup and of
//! applying a delta, and heap bytes as counted by the allocator.
//!
//! First prints one JSON line for each number of routes, customers and
//! upstreams varied separately, with times of a single run.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    hint::black_box,
    sync::atomic::{AtomicUsize, Ordering::Relaxed},
    time::{Duration, Instant},
};

use criterion::{Criterion, Throughput};
use dotterelhinge::document::{self, Document};
use serde_json::{Value, json};

/// Counts allocated bytes, as requested by the program.
struct CountingAllocator;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

// SAFETY: all calls are forwarded to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let allocated = ALLOCATED.fetch_add(layout.size(), Relaxed) + layout.size();
        PEAK.fetch_max(allocated, Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const SERVICES: usize = 2_200;
const UPSTREAMS: usize = 40_000;
const CUSTOMERS: usize = 120_000;
const ROUTES: usize = 62_000;
const ZONES: usize = 16;

fn generate(routes: usize, customers: usize, upstreams: usize) -> Value {
    let zones: Vec<_> = (0..ZONES)
        .map(|zone| json!({"name": format!("zone-{zone}"), "region": format!("region-{}", zone % 5)}))
        .collect();
    let customers: Vec<_> = (0..customers)
        .map(|customer| json!({"name": format!("customer-{customer:06}"), "slot_share": 0.25}))
        .collect();
    let services: Vec<_> = (0..SERVICES)
        .map(|service| {
            let rows: Vec<_> = (service..upstreams)
                .step_by(SERVICES)
                .map(|upstream| {
                    json!({
                        "name": format!("backend-{upstream}"),
                        "address": format!("10.{}.{}.1:8080", upstream / 256, upstream % 256),
                        "availability_zone": format!("zone-{}", upstream / SERVICES % ZONES),
                        "slots": 3, "connections": 400,
                    })
                })
                .collect();
            json!({"name": format!("service-{service}"), "floor": rows.len() / 2, "upstreams": rows})
        })
        .collect();
    let rules: Vec<_> = (0..routes)
        .map(|route| {
            let mut rule = json!({
                "path_prefix": path(route),
                "service": format!("service-{}", route % SERVICES),
                "class": if route % 3 == 0 { "order" } else { "lookup" },
            });
            if route % 2 == 0 {
                rule["methods"] = json!(["GET"]);
            }
            if route % 4 == 0 {
                rule["host"] = json!(format!("shop-{}.example", route % 64));
            }
            rule
        })
        .collect();
    json!({
        "customer_header": "x-customer",
        "availability_zones": zones,
        "customers": customers,
        "classes": [{"name": "lookup", "repeatable": true}, {"name": "order", "repeatable": false}],
        "services": services,
        "routes": rules,
    })
}

fn path(route: usize) -> String {
    format!("/v1/area-{}/part-{route}", route % 100)
}

/// Parses a document of this size, and prints the bytes and times that it and
/// one edit take.
fn report_size(routes: usize, customers: usize, upstreams: usize) {
    let mut value = generate(routes, customers, upstreams);
    let bytes = value.to_string().into_bytes();
    let before = ALLOCATED.load(Relaxed);
    PEAK.store(before, Relaxed);
    let start = Instant::now();
    let document = Document::parse(&bytes).expect("document is valid");
    let parse = start.elapsed();
    let (allocated, peak) = (
        ALLOCATED.load(Relaxed) - before,
        PEAK.load(Relaxed) - before,
    );
    value["routes"][0]["class"] = json!("lookup");
    let next = Document::parse(value.to_string().as_bytes()).expect("document is valid");
    let start = Instant::now();
    let delta = document::delta(&document, &next);
    let diff = start.elapsed();
    let start = Instant::now();
    document::apply(&document, &delta, next.hash()).expect("delta applies");
    let apply = start.elapsed();
    println!(
        "{}",
        json!({
            "routes": routes, "customers": customers, "upstreams": upstreams,
            "json": bytes.len(), "gzip": document.gzip().len(), "held": allocated, "peak": peak,
            "delta": delta.len(), "parse_ms": parse.as_secs_f64() * 1e3,
            "diff_ms": diff.as_secs_f64() * 1e3, "apply_ms": apply.as_secs_f64() * 1e3,
        })
    );
}

fn report_sizes() {
    for routes in [1_000, 10_000, 30_000, ROUTES] {
        report_size(routes, 100, SERVICES);
    }
    for customers in [1_000, 20_000, 60_000, CUSTOMERS] {
        report_size(100, customers, SERVICES);
    }
    for upstreams in [100, 5_000, 20_000, UPSTREAMS] {
        report_size(100, 100, upstreams);
    }
    report_size(ROUTES, CUSTOMERS, UPSTREAMS);
}

fn main() {
    report_sizes();
    let mut criterion = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(3))
        .configure_from_args();
    for routes in [1_000, 10_000, 62_000] {
        let mut value = generate(routes, CUSTOMERS, UPSTREAMS);
        let bytes = value.to_string().into_bytes();
        let before = ALLOCATED.load(Relaxed);
        PEAK.store(before, Relaxed);
        let document = Document::parse(&bytes).expect("document is valid");
        println!(
            "{routes} routes: {} bytes of JSON, {} held by the document, of which {} gzip, {} at the peak of parsing",
            bytes.len(),
            ALLOCATED.load(Relaxed) - before,
            document.gzip().len(),
            PEAK.load(Relaxed) - before,
        );

        let mut group = criterion.benchmark_group("text");
        group.bench_function(format!("parse/{routes}"), |bencher| {
            bencher.iter(|| Document::parse(black_box(&bytes)).expect("document is valid"));
        });
        value["services"][7]["upstreams"][0]["leaving"] = json!(true);
        let next = Document::parse(value.to_string().as_bytes()).expect("document is valid");
        let delta = document::delta(&document, &next);
        group.bench_function(format!("apply/{routes}"), |bencher| {
            bencher
                .iter(|| document::apply(&document, &delta, next.hash()).expect("delta applies"));
        });
        drop(value);

        let snapshot = document.snapshot();
        let requests: Vec<_> = (0..1_000)
            .map(|request| {
                let route = request * 61 % routes;
                let host = format!("Shop-{}.example:443", route % 64);
                (host, format!("{}/item/{request}", path(route)))
            })
            .collect();
        group.throughput(Throughput::Elements(requests.len() as u64));
        group.bench_function(format!("lookup/{routes}"), |bencher| {
            bencher.iter(|| {
                for (host, path) in &requests {
                    black_box(snapshot.route(Some(host), "GET", path));
                }
            });
        });
        group.finish();
    }
    criterion.final_summary();
}
