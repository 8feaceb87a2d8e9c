/*!
The daemon of a proxy fleet whose backend servers register themselves in a
store.

A platform adapter implements [`store::Store`] and [`settings::Source`] and runs
the daemon:

```no_run
use std::rc::Rc;

use dotterelhinge_gateway::{daemon, settings, store};

async fn run(source: Rc<dyn settings::Source>, store: Rc<dyn store::Store>) {
    let settings = settings::Settings {
        host: "entry-1".into(),
        listen: "10.0.0.1:8000".parse().unwrap(),
        ..settings::Settings::default()
    };
    daemon::run(settings, source, store).await.unwrap();
}
```

# Guarantees

- A request that is not repeatable runs on at most one backend server.
- A status that promises that a request has not run is returned only if that is
  certain.
- An answer reaches its caller complete, or the transfer is aborted.
- The version of the configuration never decreases within a process.
- A customer's key reaches no backend server, other host, log line or metric.

# Costs

One new connection per attempt, about 1 ms between availability zones; up to
1 MiB of memory per body in flight; about ten datagrams per second to each host
of the own availability zone.
*/

mod allocator;
pub mod catalog;
pub mod control;
pub mod daemon;
pub mod evidence;
mod exchange;
pub mod history;
mod host;
mod limiter;
pub mod logging;
pub mod metrics;
pub mod peer;
mod proxy;
mod reload;
pub mod replica;
mod replication;
pub mod settings;
pub mod store;
