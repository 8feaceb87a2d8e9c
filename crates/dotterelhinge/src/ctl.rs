/*!
The command line `dotterelhingectl`.

```
use dotterelhinge::ctl;

let matches = ctl::command().try_get_matches_from(["dotterelhingectl", "check", "text.json"]);
assert!(matches.is_ok());
```

# Guarantees

- Exit codes are stable; see [`Code`].
- `apply` creates at most one version per run. After a lost response it reads
  the history to learn the outcome; if that fails too, the exit code is
  [`Code::Unproven`].
- `apply` creates no version if the head already has the same configuration.

# Costs

Commands on daemons query 64 of them at a time and wait at most 5 s for each
response.
*/

pub mod admin;
mod command;
mod edit;
mod error;
mod fleet;
mod latency;
mod output;

use std::{ffi::OsString, io::Write, process::ExitCode, rc::Rc, sync::Arc, time::Duration};

use clap::ArgMatches;
use dotterelhinge_policy::clock;
use error_stack::Report;

use crate::platform;

pub use command::command;
pub use error::{Code, Error};
pub use output::Output;

/// Runs the program with the given arguments, the program name first.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            // A write error, such as a closed output, cannot be reported.
            let _ = error.print();
            return if error.use_stderr() {
                Code::Usage.into()
            } else {
                Code::Ok.into()
            };
        }
    };
    let as_json = matches
        .get_one::<String>("output")
        .is_some_and(|format| format == "json");
    let result = block_on(async {
        let session = Session {
            platform: matches
                .get_one::<String>("platform")
                .map(|base| connect(base)),
            ..Session::default()
        };
        execute(&matches, &session).await
    });
    let output = result.unwrap_or_else(|report| output::failure(&report));
    let (code, stdout, stderr) = output.render(as_json);
    let _ = std::io::stdout().write_all(stdout.as_bytes());
    let _ = std::io::stderr().write_all(stderr.as_bytes());
    code.into()
}

fn block_on<T>(task: impl Future<Output = T>) -> T {
    actix::System::new().block_on(task)
}

fn connect(base: &str) -> platform::Client {
    let store = platform::Http::new(base, platform::Limits::default());
    let clock = Arc::new(clock::System);
    platform::Client::new(Rc::new(store), clock, platform::Settings::default())
}

/// Dependencies of commands.
pub struct Session {
    /// The platform, if `--platform` is given.
    pub platform: Option<platform::Client>,
    /// Wait before each of the five reads of the history after an edit whose
    /// outcome is unknown.
    pub resolve_interval: Duration,
}

impl Default for Session {
    fn default() -> Self {
        Self {
            platform: None,
            resolve_interval: Duration::from_secs(1),
        }
    }
}

/// Runs a parsed command. The error carries the exit code.
pub async fn execute(matches: &ArgMatches, session: &Session) -> Result<Output, Report<Error>> {
    let platform = || {
        let missing = || Report::new(Error::new(Code::Usage, "--platform URL is required"));
        session.platform.as_ref().ok_or_else(missing)
    };
    let daemons = admin::Client::new(
        matches
            .get_many("admin")
            .unwrap_or_default()
            .copied()
            .collect(),
    );
    match matches.subcommand() {
        Some(("check", matches)) => edit::check(matches),
        Some(("apply", matches)) => {
            edit::apply(matches, platform()?, session.resolve_interval).await
        }
        Some(("show", matches)) => edit::show(matches, platform()?).await,
        Some(("history", matches)) => edit::history(matches, platform()?).await,
        Some(("diff", matches)) => edit::diff(matches, platform()?).await,
        Some(("status", _)) => fleet::status(&daemons, session.platform.as_ref()).await,
        Some(("upstreams", matches)) => fleet::upstreams(matches, &daemons).await,
        Some(("latency", matches)) => latency::latency(matches, &daemons).await,
        Some(("drain", matches)) => fleet::drain(matches, &daemons).await,
        Some(("completion", matches)) => Ok(command::completion(matches)),
        _ => Err(Report::new(Error::new(
            Code::Usage,
            "a subcommand is required",
        ))),
    }
}
