//! Command-line arguments and help texts.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use serde_json::json;

use super::Output;

const NAME: &str = "dotterelhingectl";

/// Version that an edit is based on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Base {
    Latest,
    Version(u64),
}

fn base(argument: &str) -> Result<Base, String> {
    if argument == "latest" {
        return Ok(Base::Latest);
    }
    argument
        .parse()
        .map(Base::Version)
        .map_err(|_| "neither a version number nor `latest`".to_owned())
}

/// Returns the description of the command line.
pub fn command() -> Command {
    Command::new(NAME)
        .version(env!("CARGO_PKG_VERSION"))
        .about("Edit the operators' configuration and query daemons for their state")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(
            "Exit codes:\n  \
             0  success\n  \
             2  wrong usage, an unreadable file, or an unknown version or host\n  \
             3  invalid configuration\n  \
             4  conflict: another edit was accepted first\n  \
             5  platform unavailable\n  \
             6  unproven: the edit may or may not have been accepted\n  \
             7  daemons lag or are unreachable",
        )
        .arg(
            Arg::new("platform")
                .long("platform")
                .value_name("URL")
                .help("Base URL of the platform")
                .global(true),
        )
        .arg(
            Arg::new("admin")
                .long("admin")
                .value_name("ADDR")
                .help("Admin address of a daemon; may be repeated")
                .value_parser(value_parser!(SocketAddr))
                .action(ArgAction::Append)
                .global(true),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .value_name("FORMAT")
                .help("Output format")
                .value_parser(["text", "json"])
                .default_value("text")
                .global(true),
        )
        .subcommands(edits())
        .subcommands(daemons())
        .subcommand(
            Command::new("completion")
                .about("Print the completion script of a shell")
                .arg(
                    Arg::new("shell")
                        .value_name("SHELL")
                        .required(true)
                        .value_parser(value_parser!(Shell)),
                )
                .after_help(example("completion bash > dotterelhingectl.bash")),
        )
}

fn example(arguments: &str) -> String {
    format!("Example:\n  {NAME} {arguments}")
}

fn file() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .help("Configuration in JSON")
        .required(true)
        .value_parser(value_parser!(std::path::PathBuf))
}

fn version(name: &'static str) -> Arg {
    Arg::new(name)
        .value_parser(value_parser!(u64).range(1..))
        .help("Version number")
}

fn edits() -> [Command; 5] {
    [
        Command::new("check")
            .about("Check a configuration without applying it")
            .arg(file())
            .after_help(example("check text.json")),
        Command::new("apply")
            .about("Make a configuration the next version")
            .arg(file())
            .arg(
                Arg::new("base")
                    .long("base")
                    .value_name("N|latest")
                    .help(
                        "Version that the edit is based on, 0 before the first one; \
                         `latest` replaces the newest version, whatever it is",
                    )
                    .required(true)
                    .value_parser(base),
            )
            .arg(
                Arg::new("author")
                    .long("author")
                    .value_name("NAME")
                    .help("Author of the edit")
                    .required(true),
            )
            .arg(
                Arg::new("summary")
                    .long("summary")
                    .value_name("TEXT")
                    .help("Summary of the changes")
                    .default_value(""),
            )
            .after_help(example(
                "apply text.json --base 41 --author ana --summary \"drain desk-7\" \
                 --platform http://127.0.0.1:8500",
            )),
        Command::new("show")
            .about("Print the configuration of a version, the newest by default")
            .arg(version("version").value_name("VERSION"))
            .after_help(example("show 41 --platform http://127.0.0.1:8500")),
        Command::new("history")
            .about("List edits, the newest last")
            .arg(
                Arg::new("count")
                    .long("count")
                    .value_name("N")
                    .help("Number of edits")
                    .value_parser(value_parser!(u64).range(1..=1000))
                    .default_value("20"),
            )
            .after_help(example(
                "history --count 5 --platform http://127.0.0.1:8500",
            )),
        Command::new("diff")
            .about("Show what changed between two versions")
            .arg(version("from").value_name("A").required(true))
            .arg(version("to").value_name("B").required(true))
            .after_help(example("diff 40 41 --platform http://127.0.0.1:8500")),
    ]
}

fn daemons() -> [Command; 4] {
    [
        Command::new("status")
            .about("List the version of each daemon and which ones lag")
            .after_help(example(
                "status --admin 127.0.0.1:8201 --admin 127.0.0.1:8202",
            )),
        Command::new("upstreams")
            .about("List the state of upstreams as their coordinators see it")
            .arg(
                Arg::new("service")
                    .value_name("SERVICE")
                    .help("Only this service"),
            )
            .after_help(example("upstreams registry-desk --admin 127.0.0.1:8201")),
        Command::new("latency")
            .about("Show latency distributions, summed over the daemons")
            .arg(
                Arg::new("by")
                    .long("by")
                    .value_name("KEY")
                    .help("What to group requests by")
                    .value_parser(["class", "customer"])
                    .default_value("class"),
            )
            .after_help(example("latency --by customer --admin 127.0.0.1:8201")),
        Command::new("drain")
            .about("Start the planned shutdown of the daemon on a host")
            .arg(
                Arg::new("host")
                    .value_name("HOST")
                    .help("Host name as listed by `status`")
                    .required(true),
            )
            .after_help(example("drain entry-1 --admin 127.0.0.1:8201")),
    ]
}

/// Returns the completion script of a shell.
pub(super) fn completion(matches: &ArgMatches) -> Output {
    let shell = *matches.get_one::<Shell>("shell").expect("required");
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command(), NAME, &mut script);
    let script = String::from_utf8_lossy(&script).into_owned();
    let json = json!({"shell": shell.to_string(), "script": script});
    Output::new(script, json)
}
