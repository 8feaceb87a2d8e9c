/*!
Daemon and command line of a proxy fleet for backend servers with gray
failures.

A daemon is started from a settings file and runs until SIGTERM:

```no_run
use dotterelhinge::{daemon, settings};

let settings = settings::Settings::load("daemon.json".as_ref()).unwrap();
daemon::run(settings).unwrap();
```

# Guarantees

- A request that is not repeatable is started on at most one upstream.
- A request whose outcome is reported as `not-run` was not run by any upstream.
- A response reaches its caller complete, or the connection is broken off.

# Costs

Each attempt needs one exchange with the coordinator of the service and one new
connection, which take about 1 ms each between availability zones. Each request
in flight needs up to `replay_bytes` and `buffer_bytes` of memory.
*/

mod admin;
pub mod border;
mod configuration;
mod context;
mod coordinator;
pub mod ctl;
pub mod daemon;
mod entry;
mod events;
mod idempotency;
mod ledger;
mod link;
pub use dotterelhinge_gateway::logging;
pub mod document;
mod members;
mod membership;
mod metrics;
mod peer;
pub mod platform;
pub mod settings;
mod wire;
