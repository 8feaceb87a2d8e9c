/*!
Stand-ins for the systems around the fleet, and the load generator.

The programs are `standin-platform`, `standin-rows`, `standin-backend`,
`standin-relay` and `standin-caller`, and `standin-capacity`, which measures real
daemons. The first five each print one JSON line with `listening` on standard
output when they are ready and exit on SIGTERM. Tests start them as processes:

```no_run
use std::time::Duration;

use dotterelhinge_standin::{client, process};

# fn main() -> Result<(), Box<dyn std::error::Error>> {
let platform = process::Process::start("standin-platform", &["--listen", "127.0.0.1:0"])
    .map_err(|report| format!("{report:?}"))?;
let address = platform.listening().to_owned();
let answer = client::get(&address, "/v1/hosts").map_err(|report| format!("{report:?}"))?;
assert_eq!(answer.status, 200);
platform.stop(Duration::from_secs(5)).map_err(|report| format!("{report:?}"))?;
# Ok(())
# }
```

# Guarantees

- A process started by [`process::Process`] is killed when the value is dropped.
- All sockets are bound to the addresses given on the command line.
- State is kept in memory only.

# Costs

The backend stand-in retains one record entry per request that it began, until
`POST /reset`. The caller retains one entry per request that it sent.
*/

pub mod backend;
pub mod caller;
pub mod capacity;
pub mod check;
pub mod client;
pub mod experiment;
pub mod fleet;
pub mod gateway;
pub mod http;
pub mod platform;
pub mod plot;
pub mod process;
pub mod program;
pub mod relay;
pub mod rows;
pub mod scripted;
pub mod soak;
pub mod socket;
