//! Load and experiment tool.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use dotterelhinge_standin::backend::record;
use dotterelhinge_standin::caller::{mix, result, run};
use dotterelhinge_standin::{check, plot, program};
use error_stack::{Report, ResultExt};
use serde::de::DeserializeOwned;
use serde_json::json;

/// Why the tool ends without a result.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("cannot read {0}")]
    Read(PathBuf),
    #[error("cannot write {0}")]
    Write(PathBuf),
    #[error("settings are not valid")]
    Settings,
    #[error("system call failed")]
    System,
}

fn command() -> Command {
    let file = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .required(true)
            .help(help)
    };
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("NUMBER")
            .default_value(default)
            .help(help)
    };
    let addresses = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("ADDRESSES")
            .value_delimiter(',')
            .help(help)
    };
    Command::new("standin-caller")
        .about("Sends an open-loop load and judges every answer")
        .version(env!("CARGO_PKG_VERSION"))
        .args_conflicts_with_subcommands(true)
        .subcommand_negates_reqs(true)
        .arg(addresses("targets", "Addresses that requests go to in turn").required(true))
        .arg(addresses(
            "admins",
            "Admin address of each target; only targets whose /ready answers 200 get requests",
        ))
        .arg(file("mix", "Mix file in JSON").long("mix"))
        .arg(
            file("output", "Result file in JSON; standard output if absent")
                .long("output")
                .required(false),
        )
        .arg(number("rate", "100", "Requests per second").value_parser(value_parser!(f64)))
        .arg(number("seconds", "10", "Length of the arrivals").value_parser(value_parser!(f64)))
        .arg(
            number("drain-seconds", "30", "Longest wait for answers")
                .value_parser(value_parser!(f64)),
        )
        .arg(number("seed", "1", "Seed of the arrivals").value_parser(value_parser!(u64)))
        .arg(
            number("max-in-flight", "10000", "Most requests in flight")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            number("ready-ms", "200", "Period of the /ready calls")
                .value_parser(value_parser!(u64).range(1..)),
        )
        .subcommand(
            Command::new("check")
                .about(
                    "Checks a result file against a record of the backend; ends with 1 on findings",
                )
                .arg(file("results", "Result file"))
                .arg(file("record", "Answer of the backend's GET /record")),
        )
        .subcommand(
            Command::new("plot")
                .about("Plots the latency percentiles of result files as SVG")
                .arg(file("results", "Result files").num_args(1..))
                .arg(file("out", "SVG file").long("out")),
        )
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Report<Error>> {
    let fail = || Error::Read(path.to_owned());
    let text = fs::read(path).change_context_lazy(fail)?;
    serde_json::from_slice(&text).change_context_lazy(fail)
}

fn path<'a>(matches: &'a ArgMatches, name: &str) -> &'a Path {
    matches
        .get_one::<PathBuf>(name)
        .map_or(Path::new(""), PathBuf::as_path)
}

fn seconds(matches: &ArgMatches, name: &str) -> Result<Duration, Report<Error>> {
    let seconds = matches.get_one(name).copied().unwrap_or_default();
    Duration::try_from_secs_f64(seconds).change_context(Error::Settings)
}

fn addresses(matches: &ArgMatches, name: &str) -> Vec<String> {
    matches
        .get_many::<String>(name)
        .map(|values| values.cloned().collect())
        .unwrap_or_default()
}

fn settings(matches: &ArgMatches) -> Result<run::Settings, Report<Error>> {
    let mix: mix::Mix = read(path(matches, "mix"))?;
    mix.validate().change_context(Error::Settings)?;
    let settings = run::Settings {
        targets: addresses(matches, "targets"),
        admins: addresses(matches, "admins"),
        ready_period: Duration::from_millis(
            matches.get_one("ready-ms").copied().unwrap_or_default(),
        ),
        mix: Arc::new(mix),
        rate: matches.get_one("rate").copied().unwrap_or_default(),
        length: seconds(matches, "seconds")?,
        drain: seconds(matches, "drain-seconds")?,
        seed: matches.get_one("seed").copied().unwrap_or_default(),
        max_in_flight: matches
            .get_one::<u64>("max-in-flight")
            .and_then(|limit| usize::try_from(*limit).ok())
            .unwrap_or(usize::MAX),
    };
    if !settings.admins.is_empty() && settings.admins.len() != settings.targets.len() {
        return Err(Report::new(Error::Settings).attach("admins and targets differ in number"));
    }
    Ok(settings)
}

fn send(matches: &ArgMatches) -> Result<(), Report<Error>> {
    let settings = settings(matches)?;
    // The caller listens nowhere; the line has the form of the other programs.
    let ready = json!({"listening": null, "targets": settings.targets});
    let results = actix_rt::System::new().block_on(async {
        program::print_ready(&ready).change_context(Error::System)?;
        let stop = async {
            if let Err(error) = program::wait_for_termination().await {
                log::error!("no signals: {error}");
                std::future::pending::<()>().await;
            }
        };
        run::run(settings, stop)
            .await
            .ok_or_else(|| Report::new(Error::Settings).attach("rate is not positive"))
    })?;
    let text = serde_json::to_vec(&results).change_context(Error::System)?;
    match matches.get_one::<PathBuf>("output") {
        Some(path) => fs::write(path, text).change_context_lazy(|| Error::Write(path.clone())),
        None => io::stdout()
            .write_all(&[&text[..], b"\n"].concat())
            .change_context(Error::System),
    }
}

fn check(matches: &ArgMatches) -> Result<bool, Report<Error>> {
    let results: result::Results = read(path(matches, "results"))?;
    let page: record::Page = read(path(matches, "record"))?;
    let findings = check::check(&page.entries, &results);
    for finding in &findings {
        println!(
            "{}",
            serde_json::to_string(finding).change_context(Error::System)?
        );
    }
    Ok(findings.is_empty())
}

fn plot(matches: &ArgMatches) -> Result<(), Report<Error>> {
    let mut lines = Vec::new();
    for path in matches.get_many::<PathBuf>("results").into_iter().flatten() {
        let results: result::Results = read(path)?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        lines.extend(
            plot::lines(&name, &results).change_context_lazy(|| Error::Read(path.clone()))?,
        );
    }
    let out = path(matches, "out");
    plot::percentiles(&lines, out).change_context_lazy(|| Error::Write(out.to_owned()))
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    program::start_log();
    let result = match matches.subcommand() {
        Some(("check", matches)) => check(matches),
        Some(("plot", matches)) => plot(matches).map(|()| true),
        _ => send(&matches).map(|()| true),
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
