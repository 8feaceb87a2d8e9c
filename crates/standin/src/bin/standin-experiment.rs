//! Experiments over the whole path.

use std::{path::PathBuf, process::ExitCode};

use clap::{Arg, ArgMatches, Command, value_parser};
use dotterelhinge_standin::{
    experiment::{interrupt, quickstart},
    program,
};

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
