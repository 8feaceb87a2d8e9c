//! Measures real fleets on loopback and prints one JSON line per figure.

use std::{thread, time::Duration};

use clap::{Arg, Command, value_parser};
use dotterelhinge_standin::{
    capacity::{
        fit,
        measure::{self, Rates},
        text, usage,
    },
    fleet,
};
use serde_json::{Value, json};

/// Edits whose time is taken in each fleet.
const EDITS: usize = 5;

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u64).range(1..))
            .help(help)
    };
    Command::new("standin-capacity")
        .about("Measures the slopes of the capacity page on real daemons")
        .subcommand_required(true)
        .subcommand(
            Command::new("sizes")
                .about("Fleets of 6, 12, 24 and 48 daemons, idle, edited and restarted")
                .arg(number("seconds", "30", "Seconds of each idle interval"))
                .arg(number("settle", "60", "Seconds before it"))
                .arg(
                    Arg::new("daemons")
                        .long("daemons")
                        .value_name("N")
                        .num_args(1..)
                        .default_values(["6", "12", "24", "48"])
                        .value_parser(value_parser!(u16).range(1..))
                        .help("Sizes of the fleets"),
                ),
        )
        .subcommand(
            Command::new("rates")
                .about("12 daemons at 0 to 40 requests a second each")
                .arg(number("seconds", "8", "Seconds at each rate")),
        )
        .subcommand(
            Command::new("texts")
                .about("One daemon with texts and host lists of up to the target size")
                .arg(number("seconds", "10", "Seconds of each idle interval")),
        )
}

fn report(kind: &str, at: f64, figures: &Value) {
    println!(
        "{}",
        json!({"kind": kind, "at": at, "load": usage::load(), "figures": figures})
    );
}

fn fitted(kind: &str, points: &[(f64, f64)], target: f64) {
    if let Some(line) = fit::line(points) {
        println!(
            "{}",
            json!({
                "fit": kind, "intercept": line.intercept, "slope": line.slope,
                "residual": line.residual, "target": target, "extrapolated": line.at(target),
            })
        );
    }
}

/// Fits each column of `rows` over its first column.
fn columns(kind: &str, rows: &[(f64, Rates)], target: f64) {
    let column = |name: &str, value: fn(&Rates) -> f64| {
        let points: Vec<_> = rows.iter().map(|(x, rates)| (*x, value(rates))).collect();
        fitted(&format!("{kind}: {name}"), &points, target);
    };
    column("sent bytes/s", |rates| rates.sent);
    column("received bytes/s", |rates| rates.received);
    column("cpu percent", |rates| rates.cpu * 100.0);
    column("resident bytes", |rates| rates.resident);
}

fn options(daemons: usize) -> fleet::Options {
    fleet::Options {
        daemons,
        upstreams: 30,
        floor: 20,
        availability_zones: 4,
        ..fleet::Options::default()
    }
}

fn sizes(counts: &[usize], settle: u64, seconds: u64) {
    let mut rows = Vec::new();
    let (mut edits, mut starts, mut reads) = (Vec::new(), Vec::new(), Vec::new());
    for &daemons in counts {
        let at = daemons as f64;
        let mut fleet = measure::start(&options(daemons));
        // Reports of the start are repeated for half a minute at 48 daemons.
        thread::sleep(Duration::from_secs(settle));
        let before = measure::platform(&fleet);
        let idle = measure::idle(&fleet, Duration::from_secs(seconds));
        report("idle by daemons", at, &idle.json());
        platform("platform, idle", at, &fleet, before);
        rows.push((at, idle));
        for n in 0..EDITS {
            let share = 0.1 + n as f64 / 100.0;
            let time = measure::edit(&mut fleet, |text| {
                text["customers"][0]["slot_share"] = json!(share);
            });
            report(
                "edit by daemons",
                at,
                &json!({"seconds": time.as_secs_f64()}),
            );
            edits.push((at, time.as_secs_f64()));
        }
        let before = measure::platform(&fleet);
        let (ready, whole) = measure::restart(&mut fleet);
        let served = platform("platform, common start", at, &fleet, before);
        reads.push((at, served / whole.as_secs_f64()));
        let figures = json!({"ready_s": ready.as_secs_f64(), "whole_s": whole.as_secs_f64()});
        report("start by daemons", at, &figures);
        starts.push((at, ready.as_secs_f64()));
    }
    columns("idle by daemons", &rows, 3_800.0);
    fitted(
        "edit by log2 of daemons",
        &logarithmic(&edits),
        3_800_f64.log2(),
    );
    fitted("platform reads/s of a common start", &reads, 237.0);
    fitted("start by daemons of one machine", &starts, 48.0);
}

fn platform(kind: &str, at: f64, fleet: &fleet::Fleet, before: (f64, f64)) -> f64 {
    let after = measure::platform(fleet);
    let figures = json!({"reads": after.0 - before.0, "writes": after.1 - before.1});
    report(kind, at, &figures);
    after.0 - before.0
}

fn logarithmic(points: &[(f64, f64)]) -> Vec<(f64, f64)> {
    points.iter().map(|(x, y)| (x.log2(), *y)).collect()
}

fn rates(seconds: u64) {
    let fleet = measure::start(&options(12));
    let lookup = json!({"name": "lookup", "path": "/lookup", "repeatable": true});
    let order = json!({"name": "order", "method": "POST", "path": "/order", "body_bytes": 300});
    let mut keyed = order.clone();
    keyed["key"] = json!("uuid7");
    for (name, kind) in [
        ("lookup", &lookup),
        ("order", &order),
        ("keyed order", &keyed),
    ] {
        by_rate(&fleet, name, kind, seconds);
    }
    drop(fleet);
    // Without coordinators; the difference is the processor time of control.
    let baseline = fleet::Options {
        policy: "baseline",
        ..options(12)
    };
    by_rate(
        &measure::start(&baseline),
        "baseline lookup",
        &lookup,
        seconds,
    );
}

fn by_rate(fleet: &fleet::Fleet, name: &str, kind: &Value, seconds: u64) {
    let mut rows = Vec::new();
    for rate in [0.0, 5.0, 10.0, 20.0, 40.0] {
        let used = if rate == 0.0 {
            measure::idle(fleet, Duration::from_secs(seconds))
        } else {
            measure::loaded(fleet, kind, rate, seconds)
        };
        report(&format!("{name} by rate"), rate, &used.json());
        rows.push((used.requests, used));
    }
    columns(&format!("{name} by requests/s"), &rows, 258.0);
}

fn whole<const PERCENT: usize>(seconds: u64, rows: &mut Vec<(f64, Rates)>) {
    let mut fleet = measure::start(&fleet::Options {
        daemons: 1,
        document: text::scaled::<PERCENT>,
        ..fleet::Options::default()
    });
    let time = Duration::from_secs(seconds);
    let at = PERCENT as f64;
    let bytes = fleet.document.to_string().len();
    let idle = measure::idle(&fleet, time);
    report(
        "text",
        at,
        &json!({"text_bytes": bytes, "idle": idle.json()}),
    );
    rows.push((at, idle));
    let edit = measure::edit(&mut fleet, |text| {
        text["customers"][0]["slot_share"] = json!(0.5);
    });
    let after = measure::idle(&fleet, time);
    let figures = json!({"edit_s": edit.as_secs_f64(), "after": after.json()});
    report("text after an edit", at, &figures);
    if PERCENT == 100 {
        let mut rows = Vec::new();
        for count in [1, 11_000, 22_000, 44_000] {
            let used = measure::reader(&fleet, count, time);
            let bytes = text::hosts(count).to_string().len();
            let figures = json!({"list_bytes": bytes, "idle": used.json()});
            report("host list of the reader", count as f64, &figures);
            rows.push((count as f64, used));
        }
        columns("host list of the reader", &rows, 44_000.0);
    }
}

fn texts(seconds: u64) {
    let mut rows = Vec::new();
    whole::<1>(seconds, &mut rows);
    whole::<25>(seconds, &mut rows);
    whole::<50>(seconds, &mut rows);
    whole::<100>(seconds, &mut rows);
    columns("text in percent of the target", &rows, 100.0);
}

fn main() {
    let matches = command().get_matches();
    let Some((name, matches)) = matches.subcommand() else {
        return;
    };
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(10);
    match name {
        "sizes" => {
            let settle = matches.get_one::<u64>("settle").copied().unwrap_or(60);
            let counts: Vec<_> = matches
                .get_many::<u16>("daemons")
                .map_or_else(Vec::new, |counts| {
                    counts.copied().map(usize::from).collect()
                });
            sizes(&counts, settle, seconds);
        }
        "rates" => rates(seconds),
        _ => texts(seconds),
    }
}
