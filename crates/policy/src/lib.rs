/*!
Decisions of a proxy fleet, without any input or output.

The modules are state machines and functions that take clock readings and
events and return decisions. The caller owns sockets, timers and threads:

```
use std::time::Instant;

use dotterelhinge_policy::rendezvous;

let hosts = ["entry-1", "entry-2", "entry-3"];
let owner = rendezvous::owner("orders", hosts.iter().copied());
assert!(owner.is_some());
let _reading = Instant::now();
```

# Guarantees

- No module opens a socket, sleeps or starts a thread, and none but [`clock`]
  reads a clock.
- The same readings, events and random seed give the same actions.

# Costs

Memory is bounded by the configuration and by the requests in flight.
*/

pub mod aggregation;
pub mod availability;
pub mod baseline;
pub mod budget;
pub mod clock;
pub mod configuration;
pub mod contract;
pub mod detection;
pub mod exploration;
pub mod fallback;
pub mod health;
pub mod hedging;
pub mod idempotency;
pub mod join;
pub mod lag;
pub mod linger;
pub mod locality;
pub mod membership;
pub mod memory;
pub mod outage;
pub mod pacing;
pub mod placement;
pub mod quota;
pub mod rate_limit;
pub mod reader;
pub mod rendezvous;
pub mod retry;
pub mod selection;
pub mod shutdown;
pub mod split;
pub mod waiting;
