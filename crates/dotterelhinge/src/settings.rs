/*!
Settings of one daemon process.

```
use dotterelhinge::settings::{Policy, Settings};

let settings = Settings::parse(br#"{
    "host": "entry-1", "availability_zone": "north", "region": "east",
    "listen": "127.0.0.1:8000", "peer": "127.0.0.1:8100", "admin": "127.0.0.1:8200"
}"#).unwrap();
assert_eq!(settings.policy, Policy::Fleet);

let test = Settings { policy: Policy::Baseline, ..Settings::default() };
assert_eq!(test.workers, 1);
```

# Guarantees

Loaded settings satisfy `schema/settings.schema.json` and the rules for
addresses. Otherwise nothing is loaded, and the error lists the faults of the
first check that fails: JSON syntax, schema, conversion or addresses. The checks
of the schema and of addresses report all their faults.

# Costs

The settings file is read once, when the process starts.
*/

use std::{
    fmt, fs,
    net::SocketAddr,
    path::Path,
    sync::{Arc, LazyLock},
    time::Duration,
};

use error_stack::{Report, ResultExt};

use crate::{
    border::settings as border,
    document::{Fault, Schema, schema},
};

/// How upstreams are chosen for requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// The coordinator of each service chooses.
    #[default]
    Fleet,
    /// Each daemon chooses on its own; a baseline for comparisons.
    Baseline,
}

/// Settings of one daemon process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the host, unique in the fleet.
    pub host: Arc<str>,
    /// Availability zone of the host.
    pub availability_zone: Arc<str>,
    /// Region of the host.
    pub region: Arc<str>,
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Address that other daemons connect to, as announced to them.
    pub peer: SocketAddr,
    /// Address that operators and the load balancer connect to.
    pub admin: SocketAddr,
    /// Base URL of the platform, without a trailing slash; `None` to run
    /// without a platform.
    pub platform: Option<Arc<str>>,
    /// Peer addresses of daemons to join at start.
    pub seeds: Vec<SocketAddr>,
    /// Number of worker threads that serve callers' requests.
    pub workers: usize,
    /// How upstreams are chosen for requests.
    pub policy: Policy,
    /// Time between reporting not ready and closing the listener at a planned
    /// shutdown.
    pub stop_notice: Duration,
    /// Maximum time that a planned shutdown waits for requests in flight;
    /// `None` for no limit.
    pub stop_limit: Option<Duration>,
    /// UDP address that receives StatsD metrics; `None` to send none.
    pub metrics: Option<SocketAddr>,
    /// Fraction of requests written to the log, 0 to 1.
    pub request_log_share: f64,
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
    /// Maximum number of idempotency records that this process retains.
    pub keys_per_owner: usize,
}

impl Default for Settings {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            host: Arc::from("localhost"),
            availability_zone: Arc::from("local"),
            region: Arc::from("local"),
            listen: any_port,
            peer: any_port,
            admin: any_port,
            platform: None,
            seeds: Vec::new(),
            workers: 1,
            policy: Policy::Fleet,
            stop_notice: Duration::from_secs(2),
            stop_limit: None,
            metrics: None,
            request_log_share: 0.0,
            max_header_bytes: 32 << 10,
            max_body_bytes: 256 << 20,
            log_level: log::LevelFilter::Info,
            keys_per_owner: 60_000,
        }
    }
}

/// Kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The settings file cannot be read.
    Read,
    /// The document is not JSON, or settings are invalid.
    Invalid,
}

/// Error returned when settings cannot be loaded.
#[derive(Debug)]
pub struct Error {
    kind: Kind,
    faults: Vec<Fault>,
}

impl Error {
    /// Returns the kind of the error.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns the faults; empty if the file cannot be read.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            Kind::Read => formatter.write_str("settings file cannot be read")?,
            Kind::Invalid => write!(
                formatter,
                "invalid settings, number of faults: {}",
                self.faults.len()
            )?,
        }
        for fault in &self.faults {
            write!(formatter, "\n{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}

impl Settings {
    /// Reads and parses the settings file at `path`.
    ///
    /// Fails with [`Kind::Read`] if the file cannot be read, and otherwise as
    /// [`Settings::parse`] does.
    pub fn load(path: &Path) -> Result<Self, Report<Error>> {
        let document = fs::read(path)
            .change_context(Error {
                kind: Kind::Read,
                faults: Vec::new(),
            })
            .attach(path.display().to_string())?;
        Self::parse(&document).attach(path.display().to_string())
    }

    /// Parses and validates a settings document in JSON.
    ///
    /// Fails with [`Kind::Invalid`] and the faults.
    pub fn parse(document: &[u8]) -> Result<Self, Report<Error>> {
        Self::validate(document).map_err(|faults| {
            Report::new(Error {
                kind: Kind::Invalid,
                faults,
            })
        })
    }

    fn validate(document: &[u8]) -> Result<Self, Vec<Fault>> {
        static SCHEMA: LazyLock<Schema> =
            LazyLock::new(|| Schema::new(include_str!("../../../schema/settings.schema.json")));
        let value = schema::read(document).map_err(|fault| vec![fault])?;
        let faults = SCHEMA.check(&value);
        if !faults.is_empty() {
            return Err(faults);
        }
        let settings = schema::convert(value).map_err(|fault| vec![fault])?;
        Self::convert(settings)
    }

    fn convert(settings: border::Settings) -> Result<Self, Vec<Fault>> {
        let mut addresses = Addresses::default();
        let listen = addresses.listen_address("/listen", &settings.listen);
        let peer = addresses.remote_address("/peer", &settings.peer);
        let admin = addresses.listen_address("/admin", &settings.admin);
        let listeners = [("/listen", listen), ("/peer", peer), ("/admin", admin)];
        for (position, (path, address)) in listeners.iter().enumerate() {
            if let Some((other, _)) = listeners[..position]
                .iter()
                .find(|(_, earlier)| earlier == address)
            {
                let value = serde_json::Value::from(address.to_string());
                addresses.push(path, &value, &format!("unique address; also at {other}"));
            }
        }
        let seeds = settings
            .seeds
            .iter()
            .enumerate()
            .map(|(position, seed)| addresses.remote_address(&format!("/seeds/{position}"), seed))
            .collect();
        let metrics = settings
            .metrics
            .as_deref()
            .map(|address| addresses.remote_address("/metrics", address));
        if !addresses.faults.is_empty() {
            return Err(addresses.faults);
        }
        Ok(Self {
            host: Arc::from(settings.host),
            availability_zone: Arc::from(settings.availability_zone),
            region: Arc::from(settings.region),
            listen,
            peer,
            admin,
            platform: settings
                .platform
                .map(|base| Arc::from(base.trim_end_matches('/'))),
            seeds,
            workers: settings.workers.get() as usize,
            policy: match settings.policy {
                border::SettingsPolicy::Fleet => Policy::Fleet,
                border::SettingsPolicy::Baseline => Policy::Baseline,
            },
            stop_notice: Duration::from_millis(settings.stop_notice_ms),
            stop_limit: settings.stop_limit_ms.map(Duration::from_millis),
            metrics,
            request_log_share: settings.request_log_share,
            max_header_bytes: settings.max_header_bytes as usize,
            max_body_bytes: settings.max_body_bytes,
            log_level: match settings.log_level {
                border::SettingsLogLevel::Off => log::LevelFilter::Off,
                border::SettingsLogLevel::Error => log::LevelFilter::Error,
                border::SettingsLogLevel::Warn => log::LevelFilter::Warn,
                border::SettingsLogLevel::Info => log::LevelFilter::Info,
                border::SettingsLogLevel::Debug => log::LevelFilter::Debug,
                border::SettingsLogLevel::Trace => log::LevelFilter::Trace,
            },
            keys_per_owner: settings.keys_per_owner.get() as usize,
        })
    }
}

/// Parses addresses and collects their faults. The result for an invalid
/// address is a placeholder that never leaves this module.
#[derive(Default)]
struct Addresses {
    faults: Vec<Fault>,
}

impl Addresses {
    /// Parses an address to listen on. The unspecified address stands for all
    /// interfaces.
    fn listen_address(&mut self, path: &str, text: &str) -> SocketAddr {
        self.parse(path, text, "IP address and port", |address| {
            address.port() != 0
        })
    }

    /// Parses an address to connect to.
    fn remote_address(&mut self, path: &str, text: &str) -> SocketAddr {
        let rule = "IP address and port to connect to";
        self.parse(path, text, rule, |address| {
            address.port() != 0 && !address.ip().is_unspecified()
        })
    }

    fn parse(
        &mut self,
        path: &str,
        text: &str,
        rule: &str,
        valid: impl Fn(&SocketAddr) -> bool,
    ) -> SocketAddr {
        match text.parse().ok().filter(valid) {
            Some(address) => address,
            None => {
                self.push(path, &serde_json::Value::from(text), rule);
                // Placeholders differ, so that two invalid addresses are not
                // reported as duplicates as well.
                SocketAddr::from(([0, 0, 0, 0], self.faults.len() as u16))
            }
        }
    }

    fn push(&mut self, path: &str, value: &serde_json::Value, rule: &str) {
        self.faults.push(Fault::new(path, value, rule));
    }
}
