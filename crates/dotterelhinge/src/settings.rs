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

Loaded settings satisfy `schema/settings.schema.json` and the rules on
addresses; otherwise all faults are returned and nothing is loaded.

# Costs

The settings are read once, at start.
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

/// Who decides where requests go.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// A coordinator per service.
    #[default]
    Fleet,
    /// Each daemon alone, as a comparison.
    Baseline,
}

/// Settings of one daemon process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the machine, unique in the fleet.
    pub host: Arc<str>,
    /// Availability zone of the host.
    pub availability_zone: Arc<str>,
    /// Region of the host.
    pub region: Arc<str>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for other daemons, which is also announced to them.
    pub peer: SocketAddr,
    /// Address for operators and the load balancer.
    pub admin: SocketAddr,
    /// Base URL of the platform, without a final slash.
    pub platform: Option<Arc<str>>,
    /// Peer addresses of daemons to join at start.
    pub seeds: Vec<SocketAddr>,
    /// Worker threads of the request path.
    pub workers: usize,
    /// Who decides where requests go.
    pub policy: Policy,
    /// Time between turning not ready and closing the listener.
    pub stop_notice: Duration,
    /// Longest wait for requests in flight at a planned stop.
    pub stop_limit: Option<Duration>,
    /// UDP address that receives metrics.
    pub metrics: Option<SocketAddr>,
    /// Share of requests written to the log.
    pub request_log_share: f64,
    /// Largest head of a request.
    pub max_header_bytes: usize,
    /// Largest body of a request.
    pub max_body_bytes: u64,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
    /// Idempotency records held at most.
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

/// What kind of error the settings met.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The file cannot be read.
    Read,
    /// The settings break rules.
    Invalid,
}

/// Why settings are refused.
#[derive(Debug)]
pub struct Error {
    kind: Kind,
    faults: Vec<Fault>,
}

impl Error {
    /// Returns the kind.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns all faults.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            Kind::Read => formatter.write_str("settings cannot be read")?,
            Kind::Invalid => write!(formatter, "settings have {} faults", self.faults.len())?,
        }
        for fault in &self.faults {
            write!(formatter, "\n{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}

impl Settings {
    /// Loads a settings file.
    pub fn load(path: &Path) -> Result<Self, Report<Error>> {
        let document = fs::read(path)
            .change_context(Error {
                kind: Kind::Read,
                faults: Vec::new(),
            })
            .attach(path.display().to_string())?;
        Self::parse(&document).attach(path.display().to_string())
    }

    /// Parses and checks a settings document.
    pub fn parse(document: &[u8]) -> Result<Self, Report<Error>> {
        Self::check(document).map_err(|faults| {
            Report::new(Error {
                kind: Kind::Invalid,
                faults,
            })
        })
    }

    fn check(document: &[u8]) -> Result<Self, Vec<Fault>> {
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
        let listen = addresses.bound("/listen", &settings.listen);
        let peer = addresses.reached("/peer", &settings.peer);
        let admin = addresses.bound("/admin", &settings.admin);
        let own = [("/listen", listen), ("/peer", peer), ("/admin", admin)];
        for (position, (path, address)) in own.iter().enumerate() {
            if let Some((other, _)) = own[..position].iter().find(|(_, seen)| seen == address) {
                let value = serde_json::Value::from(address.to_string());
                addresses.fault(path, &value, &format!("unique address; also at {other}"));
            }
        }
        let seeds = settings
            .seeds
            .iter()
            .enumerate()
            .map(|(position, seed)| addresses.reached(&format!("/seeds/{position}"), seed))
            .collect();
        let metrics = settings
            .metrics
            .as_deref()
            .map(|address| addresses.reached("/metrics", address));
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

/// Parses addresses and collects their faults. The result for a faulty address
/// is arbitrary and never leaves this module.
#[derive(Default)]
struct Addresses {
    faults: Vec<Fault>,
}

impl Addresses {
    /// An address to listen on; the unspecified address stands for all.
    fn bound(&mut self, path: &str, text: &str) -> SocketAddr {
        self.parse(path, text, "IP address and port", |address| {
            address.port() != 0
        })
    }

    /// An address that is connected to.
    fn reached(&mut self, path: &str, text: &str) -> SocketAddr {
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
                self.fault(path, &serde_json::Value::from(text), rule);
                // Distinct per fault, so that no address appears twice.
                SocketAddr::from(([0, 0, 0, 0], self.faults.len() as u16))
            }
        }
    }

    fn fault(&mut self, path: &str, value: &serde_json::Value, rule: &str) {
        self.faults.push(Fault::new(path, value, rule));
    }
}
