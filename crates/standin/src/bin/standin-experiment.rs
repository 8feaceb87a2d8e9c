//! Experiments over the whole path.

use std::{
    env,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use clap::{Arg, ArgMatches, Command, value_parser};
use dotterelhinge_standin::{
    experiment::{Error, bench, interrupt, quickstart, report, scenario},
    program,
};
use error_stack::Report;

/// Longest run of a benchmark with all scenarios and some repeats.
const BENCH_LIMIT: Duration = Duration::from_secs(3 * 3600);

fn command() -> Command {
    Command::new("standin-experiment")
        .about("Runs the whole path on loopback, with load, faults and checks")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(
            Command::new("quickstart")
                .about("A tour of 20 s; ends with 1 if an order ran twice or an answer was wrong")
                .arg(
                    Arg::new("text")
                        .long("text")
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .default_value("examples/keepsake-works.json")
                        .help("Operators' text of the deployment"),
                ),
        )
        .subcommand(bench_command())
}

fn bench_command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("NUMBER")
            .default_value(default)
            .value_parser(value_parser!(u64).range(1..=3600))
            .help(help)
    };
    Command::new("bench")
        .about("Compares the policies fleet and baseline; ends with 1 if a bound is missed")
        .arg(
            Arg::new("scenario")
                .num_args(0..)
                .help("Names of scenarios; all if absent"),
        )
        .arg(
            Arg::new("scale")
                .long("scale")
                .value_parser(["full", "small"])
                .default_value("full")
                .help("48 daemons or 6"),
        )
        .arg(
            Arg::new("texts")
                .long("texts")
                .value_name("FILES")
                .value_delimiter(',')
                .value_parser(value_parser!(PathBuf))
                .default_values(["examples/keepsake-works.json", "examples/malla-sombra.json"])
                .help("Operators' texts of the deployments"),
        )
        .arg(
            Arg::new("trial")
                .long("trial")
                .num_args(0)
                .help("Label the figures as a trial, on a machine that does other work"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .value_name("DIRECTORY")
                .value_parser(value_parser!(PathBuf))
                .default_value("bench/results")
                .help("Directory of the result files"),
        )
        .arg(
            Arg::new("page")
                .long("page")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .default_value("docs/measurements.md")
                .help("Page that takes the tables"),
        )
        .arg(number("seed", "1", "Seed of the first run"))
        .arg(number("repeats", "1", "Runs of each policy"))
        .arg(number("seconds", "14", "Length of a run"))
}

fn count(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or(1)
}

fn bench(matches: &ArgMatches) -> Result<bool, Report<Error>> {
    let names: Vec<&String> = matches.get_many("scenario").into_iter().flatten().collect();
    let all = scenario::all();
    if let Some(name) = names
        .iter()
        .find(|n| all.iter().all(|s| s.name != n.as_str()))
    {
        return Err(Report::new(Error::Scenario((*name).clone())));
    }
    let mut kept = true;
    for scenario in all {
        if names.is_empty() || names.iter().any(|name| *name == scenario.name) {
            kept &= bench_scenario(matches, &scenario)?;
        }
    }
    Ok(kept)
}

fn bench_scenario(
    matches: &ArgMatches,
    scenario: &scenario::Scenario,
) -> Result<bool, Report<Error>> {
    let small = matches
        .get_one("scale")
        .is_some_and(|scale: &String| scale == "small");
    let seconds = count(matches, "seconds");
    let mut results = report::Results {
        scenario: scenario.name.to_owned(),
        command: env::args().skip(1).collect::<Vec<_>>().join(" "),
        daemons: if small { 6 } else { 48 },
        seconds: seconds as f64,
        trial: matches.get_flag("trial"),
        ..Default::default()
    };
    for text in matches.get_many::<PathBuf>("texts").into_iter().flatten() {
        for repeat in 0..count(matches, "repeats") {
            // The order changes, so that neither policy is always the first.
            let policies = match repeat % 2 {
                0 => ["fleet", "baseline"],
                _ => ["baseline", "fleet"],
            };
            for policy in policies {
                let settings = bench::Settings {
                    text: text.clone(),
                    daemons: results.daemons,
                    policy,
                    length: Duration::from_secs(seconds),
                    seed: count(matches, "seed") + repeat,
                };
                println!("{} {} {policy} {repeat}", scenario.name, text.display());
                let (run, queues) = bench::run(scenario, &settings)?;
                results.queues.retain(|(name, ..)| *name != run.deployment);
                results.queues.extend(queues);
                results.runs.push(run);
            }
        }
    }
    let output = path(matches, "output");
    results.write(&output)?;
    report::write_page(&output, Path::new(&path(matches, "page")))?;
    println!("{}", results.markdown());
    Ok(results.bounds().iter().all(|bound| bound.is_kept()))
}

fn path(matches: &ArgMatches, name: &str) -> PathBuf {
    matches.get_one(name).cloned().unwrap_or_default()
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    program::start_log();
    let result = match matches.subcommand() {
        Some(("quickstart", matches)) => {
            interrupt::watch(quickstart::LIMIT);
            quickstart::run(&path(matches, "text"))
        }
        Some(("bench", matches)) => {
            interrupt::watch(BENCH_LIMIT);
            bench(matches)
        }
        _ => return ExitCode::from(2),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(2)
        }
    }
}
