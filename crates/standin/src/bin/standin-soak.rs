//! Runs the soak with one or more seeds and reports violated guarantees.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use dotterelhinge_standin::program;
use dotterelhinge_standin::soak::{plan, run};

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
            Arg::new("logs")
                .long("logs")
                .value_name("DIRECTORY")
                .help("Where to write the daemons' logs of a run with a violation"),
        )
        .get_matches();
    program::start_log();
    let get = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let mut failed = 0;
    for seed in get("seed")..get("seed") + get("runs") {
        let settings = plan::Settings {
            seed,
            length: Duration::from_secs(get("seconds")),
            hosts: get("hosts") as usize,
            upstreams: get("upstreams") as usize,
            callers: get("callers") as usize,
        };
        let evidence = match run::run(&settings) {
            Ok(evidence) => evidence,
            Err(error) => {
                println!("seed {seed}: not run: {error:?}");
                failed += 1;
                continue;
            }
        };
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
        if violations.is_empty() {
            continue;
        }
        failed += 1;
        if let Some(directory) = matches.get_one::<String>("logs") {
            for (host, log) in evidence.logs.iter().enumerate() {
                let path = format!("{directory}/seed-{seed}-host-{host}.log");
                if let Err(error) = std::fs::write(&path, log) {
                    eprintln!("cannot write {path}: {error}");
                }
            }
        }
    }
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
