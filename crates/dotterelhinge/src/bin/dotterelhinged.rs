//! The daemon: takes callers' requests and passes them to upstreams.

use std::{path::PathBuf, process::ExitCode};

use clap::{Arg, Command, value_parser};
use dotterelhinge::{daemon, logging, settings};

/// Exit code for settings that can't be used.
const EXIT_SETTINGS: u8 = 3;

/// Exit code for a daemon that could not run.
const EXIT_RUN: u8 = 1;

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
             Exit codes: 0 planned stop, 1 the daemon could not run, 2 usage, 3 invalid settings",
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return ExitCode::from(EXIT_SETTINGS);
    };
    let settings = match settings::Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error:?}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    logging::init(settings.log_level, &settings.host);
    match daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(event = "failed", error = format!("{error:?}"); "daemon could not run");
            eprintln!("{error:?}");
            ExitCode::from(EXIT_RUN)
        }
    }
}
