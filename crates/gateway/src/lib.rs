/*!
A daemon of a proxy fleet whose backend servers register themselves in a store.

An adapter implements [`store::Store`] for one platform and runs the daemon:

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

- A request that may not be repeated runs on at most one backend server.
- A status that promises that a request has not run is given only if that is
  certain.
- An answer reaches its caller whole, or the transfer breaks.
- The version of the configuration never goes back within a process.

# Costs

One new connection for each attempt, about 1 ms between availability zones; up
to 1 MiB of memory for each body in flight; some ten datagrams a second to each
host of the own availability zone.
*/

pub mod catalog;
pub mod control;
pub mod daemon;
pub mod evidence;
mod exchange;
mod host;
pub mod logging;
pub mod metrics;
pub mod peer;
mod proxy;
mod reload;
pub mod replica;
mod replication;
pub mod settings;
pub mod store;
