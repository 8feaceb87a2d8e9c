//! Runs the soak with one or more seeds and reports violated guarantees.

use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use dotterelhinge_standin::program;
use dotterelhinge_standin::soak::case::Case;
use dotterelhinge_standin::soak::plan::{self, Plan};
use dotterelhinge_standin::soak::run;

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64))
        .default_value(default)
        .help(help)
}

fn main() -> ExitCode {
    let matches = Command::new("standin-soak")
        .about("Injects random faults into real daemons and checks the guarantees")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(number("seed", "1", "First seed"))
        .arg(number("runs", "1", "Runs, with one seed after the other"))
        .arg(number(
            "seconds",
            "15",
            "Time in which faults begin, in seconds",
        ))
        .arg(number("hosts", "4", "Daemons"))
        .arg(number("upstreams", "6", "Backend servers"))
        .arg(number("callers", "12", "Callers"))
        .arg(
            Arg::new("planned")
                .long("planned")
                .action(ArgAction::SetTrue)
                .help("Inject no faults, only planned stops, changes and departures"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("DIRECTORY")
                .help("Where to write the daemons' logs of a run with a violation"),
        )
        .arg(
            Arg::new("reduce")
                .long("reduce")
                .value_name("DIRECTORY")
                .help("Where to write a small case of each run with a violation"),
        )
        .arg(
            Arg::new("case")
                .long("case")
                .value_name("FILE")
                .conflicts_with_all(["seed", "reduce"])
                .help("Case to run instead of seeds"),
        )
        .get_matches();
    program::start_log();
    let outcome = match matches.get_one::<String>("case") {
        Some(file) => run_case(&matches, file),
        None => run_seeds(&matches),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a case as often as asked. Returns whether no promise was broken.
fn run_case(matches: &ArgMatches, file: &str) -> io::Result<bool> {
    let case = Case::load(Path::new(file))?;
    let mut has_held = true;
    for _ in 0..get(matches, "runs") {
        has_held &= run_plan(matches, &case.plan)?.is_empty();
    }
    Ok(has_held)
}

/// Runs the seeds. Returns whether no promise was broken.
fn run_seeds(matches: &ArgMatches) -> io::Result<bool> {
    let mut has_held = true;
    let first = get(matches, "seed");
    for seed in first..first + get(matches, "runs") {
        let plan = Plan::draw(plan::Settings {
            seed,
            length: Duration::from_secs(get(matches, "seconds")),
            hosts: get(matches, "hosts") as usize,
            upstreams: get(matches, "upstreams") as usize,
            callers: get(matches, "callers") as usize,
            is_planned: matches.get_flag("planned"),
        });
        let violations = match run_plan(matches, &plan) {
            Ok(violations) => violations,
            Err(error) => {
                println!("{error}");
                has_held = false;
                continue;
            }
        };
        let Some(cause) = violations.into_iter().next() else {
            continue;
        };
        has_held = false;
        if let Some(directory) = matches.get_one::<String>("reduce") {
            let case = Case { cause, plan }.reduce(|plan| {
                run::run(plan).is_ok_and(|evidence| !evidence.violations().is_empty())
            });
            let path = Path::new(directory).join(format!("seed-{seed}.json"));
            case.save(&path)?;
            println!(
                "  {} steps left in {}",
                case.plan.steps.len(),
                path.display()
            );
        }
    }
    Ok(has_held)
}

/// Runs a plan and prints the result. Returns the violations.
fn run_plan(matches: &ArgMatches, plan: &Plan) -> io::Result<Vec<String>> {
    let seed = plan.settings.seed;
    let evidence = run::run(plan)
        .map_err(|error| io::Error::other(format!("seed {seed}: not run: {error:?}")))?;
    let (summary, violations) = (evidence.summary(), evidence.violations());
    println!(
        "seed {seed}: {} requests, {} served, {} refused or failed, {} unanswered, {} promises broken",
        summary.requests,
        summary.served,
        summary.refused,
        summary.unanswered,
        violations.len()
    );
    for line in violations.iter().take(20) {
        println!("  {line}");
    }
    if let Some(directory) = matches.get_one::<String>("logs")
        && !violations.is_empty()
    {
        for (host, log) in evidence.logs.iter().enumerate() {
            std::fs::write(format!("{directory}/seed-{seed}-host-{host}.log"), log)?;
        }
    }
    Ok(violations)
}

fn get(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}
