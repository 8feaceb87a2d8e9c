//! The operators' command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    dotterelhinge::ctl::run(std::env::args_os())
}
