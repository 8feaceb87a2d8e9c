//! A whole path on loopback for tests and examples: the platform and backend
//! stand-ins, and daemons in front of them.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process as os,
    sync::atomic::{AtomicU16, AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{client, process};

mod load;

pub use load::{Load, mix, serialize_tests};

/// Ports given out, below the range that the kernel uses for outgoing
/// connections (32768 and up), so that no outgoing connection takes one.
const FIRST_PORT: u16 = 10_000;
const PORTS: u16 = 22_000;

/// Longest wait for a condition of the fleet.
const PATIENCE: Duration = Duration::from_secs(20);

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
static NEXT_DIRECTORY: AtomicU32 = AtomicU32::new(0);

/// First of `count` successive loopback ports that are free now.
pub fn ports(count: u16) -> u16 {
    // Processes that run side by side start at different places.
    let start = (os::id() as u16 % 64).wrapping_mul(331);
    loop {
        let offset = NEXT_PORT.fetch_add(count, Ordering::Relaxed);
        let first = FIRST_PORT + start.wrapping_add(offset) % (PORTS - count);
        let free =
            (first..first + count).all(|port| TcpListener::bind(("127.0.0.1", port)).is_ok());
        if free {
            return first;
        }
    }
}

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct Options {
    /// Daemons.
    pub daemons: usize,
    /// Upstreams of the service `desk`.
    pub upstreams: usize,
    /// Healthy upstreams that ejection must leave.
    pub floor: usize,
    /// Slots of each upstream.
    pub slots: u32,
    /// Mean service time, in milliseconds.
    pub service_ms: u32,
    /// `fixed` or `exponential`.
    pub distribution: &'static str,
    /// Availability zones, over which hosts and upstreams are spread in turn.
    pub availability_zones: usize,
    /// `fleet` or `baseline`.
    pub policy: &'static str,
    /// Seed of the backend stand-in.
    pub seed: u64,
    /// Changes to the text before it is applied.
    pub document: fn(&mut Value),
    /// Changes to the settings of each daemon.
    pub settings: fn(&mut Value),
}

impl Default for Options {
    fn default() -> Self {
        Self {
            daemons: 3,
            upstreams: 4,
            floor: 2,
            slots: 3,
            service_ms: 5,
            distribution: "fixed",
            availability_zones: 2,
            policy: "fleet",
            seed: 1,
            document: |_| {},
            settings: |_| {},
        }
    }
}

/// A daemon of a fleet.
pub struct Daemon {
    /// Its process, until it was stopped or killed.
    pub process: Option<process::Process>,
    /// Name of its host.
    pub host: String,
    /// Address for callers.
    pub listen: String,
    /// Address for other daemons.
    pub peer: String,
    /// Address for operators.
    pub admin: String,
    settings: PathBuf,
}

impl Daemon {
    /// Answer of an admin path as JSON.
    pub fn admin(&self, path: &str) -> Value {
        let answer = client::request(&self.admin, "GET", path, &[], b"", Duration::from_secs(2));
        answer.map_or(Value::Null, |answer| answer.json())
    }

    /// Whether the balancer would send callers here.
    pub fn is_ready(&self) -> bool {
        client::get(&self.admin, "/ready").is_ok_and(|answer| answer.status == 200)
    }

    /// Starts the process again, as a replaced host does.
    pub fn start(&mut self) {
        self.process = Some(start(&self.settings, &self.admin));
    }
}

fn start(settings: &std::path::Path, admin: &str) -> process::Process {
    let ready = process::Ready::Http {
        address: admin.to_owned(),
        path: "/live".to_owned(),
    };
    let path = settings.to_string_lossy();
    process::Process::start_with("dotterelhinged", &["--settings", &path], &[], &ready)
        .unwrap_or_else(|report| panic!("daemon does not start: {report:?}"))
}

/// Stand-ins and daemons; all end when the value is dropped.
pub struct Fleet {
    /// The platform stand-in.
    pub platform: process::Process,
    /// The backend stand-in with all upstreams.
    pub backend: process::Process,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The text in force.
    pub document: Value,
    directory: PathBuf,
}

impl Fleet {
    /// Starts everything and waits until all daemons are ready and know each
    /// other.
    pub fn start(options: &Options) -> Self {
        let fleet = Self::start_unready(options);
        fleet.wait("all daemons are ready", |fleet| {
            fleet.daemons.iter().all(|daemon| {
                daemon.is_ready() && daemon.admin("/status")["members"] == fleet.daemons.len()
            })
        });
        fleet
    }

    /// Starts everything without waiting for readiness.
    pub fn start_unready(options: &Options) -> Self {
        let platform = process::Process::start("standin-platform", &["--listen", "127.0.0.1:0"])
            .unwrap_or_else(|report| panic!("platform does not start: {report:?}"));
        let count = options.upstreams as u16;
        let first = ports(count);
        let backend = process::Process::start(
            "standin-backend",
            &[
                "--listen",
                &format!("127.0.0.1:{first}"),
                "--control",
                "127.0.0.1:0",
                "--count",
                &count.to_string(),
                "--slots",
                &options.slots.to_string(),
                "--service-ms",
                &options.service_ms.to_string(),
                "--distribution",
                options.distribution,
                "--seed",
                &options.seed.to_string(),
            ],
        )
        .unwrap_or_else(|report| panic!("backend does not start: {report:?}"));
        let mut document = document(options, first);
        (options.document)(&mut document);
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let directory = std::env::temp_dir().join(format!("dotterelhinge-{}-{number}", os::id()));
        fs::create_dir_all(&directory).expect("the temporary directory is writable");
        let mut fleet = Self {
            platform,
            backend,
            daemons: Vec::new(),
            document,
            directory,
        };
        fleet.apply(0);
        fleet.add_daemons(options);
        fleet
    }

    fn add_daemons(&mut self, options: &Options) {
        let count = options.daemons as u16;
        let first = ports(3 * count);
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port)).to_string();
        let seeds: Vec<String> = (0..count).map(|n| address(first + count + n)).collect();
        for n in 0..count {
            let host = format!("entry-{n}");
            let [listen, peer, admin] = [n, count + n, 2 * count + n].map(|n| address(first + n));
            let mut settings = json!({
                "host": host,
                "availability_zone": zone(n as usize, options),
                "region": "region-1",
                "listen": listen,
                "peer": peer,
                "admin": admin,
                "platform": format!("http://{}", self.platform.listening()),
                "seeds": seeds,
                "policy": options.policy,
                "stop_notice_ms": 200,
            });
            (options.settings)(&mut settings);
            let path = self.directory.join(format!("{host}.json"));
            fs::write(&path, settings.to_string()).expect("the settings file is writable");
            let process = Some(start(&path, &admin));
            self.daemons.push(Daemon {
                process,
                host,
                listen,
                peer,
                admin,
                settings: path,
            });
        }
    }

    /// Commits the text over version `base` with the command line, as an
    /// operator does. Returns the exit code.
    pub fn apply(&self, base: u64) -> i32 {
        let path = self.directory.join("text.json");
        fs::write(&path, self.document.to_string()).expect("the text file is writable");
        self.run_ctl(&[
            "apply",
            &path.to_string_lossy(),
            "--base",
            &base.to_string(),
            "--author",
            "test",
        ])
        .0
    }

    /// Runs the command line against the platform; returns exit code and
    /// output.
    pub fn run_ctl(&self, arguments: &[&str]) -> (i32, String) {
        let path = process::program_path("dotterelhingectl").expect("dotterelhingectl is built");
        let output = os::Command::new(path)
            .args([
                "--platform",
                &format!("http://{}", self.platform.listening()),
            ])
            .args(arguments)
            .output()
            .expect("dotterelhingectl runs");
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        (output.status.code().unwrap_or(-1), text)
    }

    /// Waits until `condition` holds.
    pub fn wait(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let until = Instant::now() + PATIENCE;
        while !condition(self) {
            if Instant::now() >= until {
                let status: Vec<_> = self.daemons.iter().map(|d| d.admin("/status")).collect();
                panic!("not within {PATIENCE:?}: {what}; {status:?}");
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sets a fault of the backend servers with these indices.
    pub fn set_fault(&self, servers: &[usize], fault: Value) {
        let body = json!({"servers": servers, "fault": fault});
        let answer = client::post(self.backend.control(), "/fault", &body);
        assert!(
            answer.is_ok_and(|answer| answer.status < 300),
            "fault {body}"
        );
    }

    /// Requests that backend servers began.
    pub fn record(&self) -> Value {
        client::get(self.backend.control(), "/record").map_or(Value::Null, |answer| answer.json())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn zone(n: usize, options: &Options) -> String {
    format!("zone-{}", n % options.availability_zones)
}

fn document(options: &Options, first_port: u16) -> Value {
    let zones: Vec<Value> = (0..options.availability_zones)
        .map(|n| json!({"name": format!("zone-{n}"), "region": "region-1"}))
        .collect();
    let upstreams: Vec<Value> = (0..options.upstreams)
        .map(|n| {
            json!({
                "name": format!("desk-{n}"),
                "address": format!("127.0.0.1:{}", first_port + n as u16),
                "availability_zone": zone(n, options),
                "slots": options.slots,
                "connections": 400,
            })
        })
        .collect();
    json!({
        "customer_header": "x-customer",
        "availability_zones": zones,
        "customers": [{"name": "big", "slot_share": 0.5}],
        "classes": [
            {"name": "lookup", "repeatable": true, "deadline_ms": 2000, "attempts": 3, "priority": 2},
            {"name": "order", "repeatable": false, "deadline_ms": 5000, "attempts": 3, "priority": 1},
            {"name": "upload", "repeatable": true, "deadline_ms": 60000, "attempts": 3, "priority": 3,
             "upload": true, "progress_timeout_ms": 3000},
        ],
        "services": [{
            "name": "desk",
            "floor": options.floor,
            "echo_header": "x-request-id",
            "not_run_header": "x-not-run",
            "drain_header": "x-draining",
            "upstreams": upstreams,
        }],
        "routes": [
            {"path_prefix": "/lookup", "service": "desk", "class": "lookup"},
            {"path_prefix": "/order", "service": "desk", "class": "order"},
            {"path_prefix": "/upload", "service": "desk", "class": "upload"},
        ],
    })
}
