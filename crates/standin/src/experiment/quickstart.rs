//! A short tour: three daemons in front of one deployment, with a slow server
//! and a killed daemon on the way.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use serde_json::json;

use crate::{
    caller::{judge::Outcome, mix, result},
    check, client,
    experiment::{
        Error,
        deployment::{Deployment, Options, Service},
        interrupt, load, measure, table,
    },
};

/// Longest run of the whole tour.
pub const LIMIT: Duration = Duration::from_secs(120);

const SECONDS: u64 = 10;
const RATE: f64 = 400.0;
const SLOW_AT: Duration = Duration::from_secs(3);
const KILL_AT: Duration = Duration::from_secs(6);
const SCAN_BYTES: usize = 64 << 20;

/// Runs the tour and prints its table. Returns whether nothing broke a rule.
pub fn run(text: &Path) -> Result<bool, Report<Error>> {
    println!("Starting platform, backend servers and 3 daemons");
    let mut deployment = Deployment::start(&Options {
        text: text.to_owned(),
        distribution: "fixed",
        ..Options::default()
    })?;
    let desk = deployment.service(false)?;
    let kinds = load::kinds(&deployment.text, &desk.name, 0);
    let scan = load::kinds(&deployment.text, &deployment.service(true)?.name, 0)
        .into_iter()
        .next()
        .ok_or(Error::Text("upload class"))?;

    println!("Measuring an idle backend server without daemons");
    let straight = straight(&deployment, &kinds, &scan)?;

    println!(
        "Sending {RATE} requests/s for {SECONDS} s and one scan of {} MiB",
        SCAN_BYTES >> 20
    );
    let (targets, admins) = deployment.addresses();
    let first = targets[0].clone();
    let length = Duration::from_secs(SECONDS);
    let start = Instant::now();
    let running = load::start(load::settings(targets, admins, kinds, RATE, length, 1));
    let scan_kind = scan.clone();
    let scanning = thread::spawn(move || send_scan(&first, &scan_kind, start));
    interrupt::sleep_until(start + SLOW_AT)?;
    let desk = deployment.service(false)?;
    println!("  {} becomes 10 times as slow", desk.names[0]);
    desk.fault(&[0], None, &json!({"kind": "slow", "factor": 10}))?;
    interrupt::sleep_until(start + KILL_AT)?;
    if let Some(daemon) = deployment.daemons.last_mut() {
        println!("  {} is killed", daemon.host);
        if let Some(process) = daemon.process.take() {
            process.kill();
        }
    }
    let mut results = running.join()?;
    let scanned = scanning.join().map_err(|_| Report::new(Error::Load))?;
    if interrupt::is_set() {
        return Err(Report::new(Error::Interrupted));
    }
    add_scan(&mut results, scanned);
    let clean = report(&deployment, &results, &straight)?;

    println!("Stopping the daemons");
    let failed = deployment.stop(Duration::from_secs(20));
    for host in &failed {
        println!("FAILED: {host} did not stop by itself");
    }
    Ok(clean && failed.is_empty())
}

/// Median latency straight to a backend server by kind, in milliseconds.
fn straight(
    deployment: &Deployment,
    kinds: &[mix::Kind],
    scan: &mix::Kind,
) -> Result<Vec<(String, f64)>, Report<Error>> {
    let address = |service: &Service| service.servers[1].clone();
    let desk = deployment.service(false)?;
    let intake = deployment.service(true)?;
    let length = Duration::from_secs(2);
    let equal = kinds.iter().cloned().map(|kind| mix::Kind {
        weight: 1.0,
        ..kind
    });
    let settings = load::settings(
        vec![address(desk)],
        vec![],
        equal.collect(),
        30.0,
        length,
        2,
    );
    let results = load::run(settings)?;
    let mut scans: Vec<_> = (0..3)
        .map(|_| send_scan(&address(intake), scan, Instant::now()).micros as f64 / 1e3)
        .collect();
    let kinds = results.kinds.iter();
    let mut medians: Vec<_> = kinds
        .map(|(name, kind)| (name.clone(), kind.latency.p50 as f64 / 1e3))
        .collect();
    medians.extend(measure::median(&mut scans).map(|ms| (scan.name.clone(), ms)));
    desk.reset()?;
    intake.reset()?;
    Ok(medians)
}

/// Sends one scan and judges its answer.
fn send_scan(address: &str, kind: &mix::Kind, start: Instant) -> result::Request {
    let body = vec![b's'; SCAN_BYTES];
    let id = format!("scan-{address}");
    let headers = [("x-request-id", id.as_str()), ("x-class", &kind.name)];
    let at = Instant::now();
    let limit = Duration::from_secs(30);
    let answer = client::request(address, &kind.method, &kind.path, &headers, &body, limit);
    let micros = at.elapsed().as_micros() as u64;
    let sum = format!("{:08x}", crc32fast::hash(&body));
    let (outcome, detail) = match &answer {
        Err(_) => (Outcome::Unknown, "closed".to_owned()),
        Ok(answer) if answer.status >= 400 => {
            let kind = answer.json()["type"]
                .as_str()
                .unwrap_or_default()
                .to_owned();
            let not_run = answer.headers.get("dotterelhinge-outcome") == Some("not-run");
            let outcome = if not_run {
                Outcome::NotRun
            } else {
                Outcome::Unknown
            };
            (outcome, kind.replace("urn:dotterelhinge:problem:", ""))
        }
        Ok(answer)
            if answer.headers.get("x-request-id") == Some(id.as_str())
                && answer.json() == json!({"bytes": SCAN_BYTES, "crc32": sum}) =>
        {
            (Outcome::Whole, String::new())
        }
        Ok(_) => (Outcome::Wrong, "upload".to_owned()),
    };
    result::Request {
        id,
        kind: kind.name.clone(),
        outcome,
        detail,
        key: None,
        server: None,
        at_ms: at.saturating_duration_since(start).as_secs_f64() * 1e3,
        micros,
    }
}

fn add_scan(results: &mut result::Results, scan: result::Request) {
    let mut kind = result::Kind {
        repeatable: true,
        sent: 1,
        ..Default::default()
    };
    match scan.outcome {
        Outcome::Whole => {
            kind.whole = 1;
            kind.latency.count = 1;
            kind.latency.p50 = scan.micros;
            kind.latency.p99 = scan.micros;
        }
        Outcome::Wrong => drop(kind.wrong.insert(scan.detail.clone(), 1)),
        _ => drop(kind.failed.insert(scan.detail.clone(), 1)),
    }
    results.kinds.insert(scan.kind.clone(), kind);
    results.requests.push(scan);
}

fn report(
    deployment: &Deployment,
    results: &result::Results,
    straight: &[(String, f64)],
) -> Result<bool, Report<Error>> {
    let mut record = Vec::new();
    for service in &deployment.services {
        record.extend(service.record()?.entries);
    }
    let findings = check::check(&record, results);
    let twice = measure::repeated(&record);
    let rows: Vec<_> = results
        .kinds
        .iter()
        .map(|(name, kind)| {
            let idle = straight
                .iter()
                .find(|(kind, _)| kind == name)
                .map(|(_, ms)| *ms);
            let added = |micros: u64| {
                let ms = (kind.latency.count > 0).then_some(micros as f64 / 1e3);
                table::number(ms.zip(idle).map(|(ms, idle)| ms - idle), 1)
            };
            let failed = kind.failed.iter().chain(&kind.wrong);
            let failed: Vec<_> = failed
                .map(|(name, count)| format!("{name} {count}"))
                .collect();
            vec![
                name.clone(),
                kind.sent.to_string(),
                kind.whole.to_string(),
                if failed.is_empty() {
                    "-".to_owned()
                } else {
                    failed.join(", ")
                },
                twice.get(name).copied().unwrap_or(0).to_string(),
                table::number(idle, 1),
                added(kind.latency.p50),
                added(kind.latency.p99),
            ]
        })
        .collect();
    let head = [
        "class",
        "sent",
        "whole",
        "failed by kind",
        "run twice",
        "idle ms",
        "p50 added ms",
        "p99 added ms",
    ];
    println!("\n{}", table::format(&head, &rows));
    println!(
        "\"idle\" is the median latency straight to an idle backend server, measured first; it is\n\
         subtracted from the percentiles through the daemons to give \"added\". The scan is a single\n\
         request. Repeatable classes may run twice. Requests in flight on the killed daemon are cut.\n"
    );
    for finding in &findings {
        let line = serde_json::to_string(finding).change_context(Error::Load)?;
        println!("FAILED: {line}");
    }
    if findings.is_empty() {
        println!("Check passed: no order ran twice, no answer was wrong.");
    }
    Ok(findings.is_empty())
}
