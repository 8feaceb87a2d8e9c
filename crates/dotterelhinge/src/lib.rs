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

- A request that may not be repeated is begun on at most one upstream.
- A caller that is told `not-run` can rely on it.
- An answer reaches its caller whole, or the transfer breaks.

# Costs

One exchange with the coordinator of the service and one new connection for
each attempt, about 1 ms each between availability zones; up to `replay_bytes`
and `buffer_bytes` of memory for each request in flight.
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
