//! Daemon that accepts requests of callers and forwards them to upstreams.

use std::{path::PathBuf, process::ExitCode};

use clap::{Arg, Command, value_parser};
use dotterelhinge::{daemon, logging, settings};

/// Exit code if the settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 3;

/// Exit code if the daemon could not run.
const EXIT_FAILURE: u8 = 1;

fn command() -> Command {
    Command::new("dotterelhinged")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Daemon of a proxy fleet for backend servers with gray failures")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("JSON file with the settings of this process"),
        )
        .after_help(
            "Example:\n  dotterelhinged --settings /etc/dotterelhinge/daemon.json\n\n\
             Exit codes: 0 planned shutdown, 1 the daemon could not run, 2 usage, 3 invalid settings",
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    };
    let settings = match settings::Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error:?}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    logging::init(settings.log_level, &settings.host);
    match daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(event = "failed", error = format!("{error:?}"); "daemon could not run");
            eprintln!("{error:?}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
