//! A complete deployment on loopback for tests and examples: the platform and
//! backend stand-ins, and the daemons.

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

/// First port and number of ports that are assigned. They lie below the range
/// that the kernel uses for outgoing connections (32768 and up), so that no
/// outgoing connection takes one.
const MIN_PORT: u16 = 10_000;
const PORT_COUNT: u16 = 22_000;

/// Longest wait for a condition of the fleet.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
static NEXT_DIRECTORY: AtomicU32 = AtomicU32::new(0);

/// Returns the first of `count` successive loopback ports that are free now.
pub fn ports(count: u16) -> u16 {
    // Concurrent processes start at different offsets.
    let start = (os::id() as u16 % 64).wrapping_mul(331);
    loop {
        let offset = NEXT_PORT.fetch_add(count, Ordering::Relaxed);
        let first = MIN_PORT + start.wrapping_add(offset) % (PORT_COUNT - count);
        let is_free =
            (first..first + count).all(|port| TcpListener::bind(("127.0.0.1", port)).is_ok());
        if is_free {
            return first;
        }
    }
}

/// Size and settings of a fleet.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of upstreams of the service `desk`.
    pub upstreams: usize,
    /// Number of healthy upstreams that ejection must leave.
    pub floor: usize,
    /// Slots of each upstream.
    pub slots: u32,
    /// Mean service time, in milliseconds.
    pub service_ms: u32,
    /// `fixed` or `exponential`.
    pub distribution: &'static str,
    /// Number of availability zones; hosts and upstreams are assigned to them in
    /// turn.
    pub availability_zones: usize,
    /// `fleet` or `baseline`.
    pub policy: &'static str,
    /// Seed of the backend stand-in.
    pub seed: u64,
    /// Changes the configuration document before it is applied.
    pub document: fn(&mut Value),
    /// Changes the settings of each daemon.
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
    /// Its process, or `None` after it was stopped or killed.
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
    /// Returns the answer of an admin path as JSON, null without an answer.
    pub fn admin(&self, path: &str) -> Value {
        let answer = client::request(&self.admin, "GET", path, &[], b"", Duration::from_secs(2));
        answer.map_or(Value::Null, |answer| answer.json())
    }

    /// Whether the readiness check succeeds, so that a load balancer would send
    /// callers here.
    pub fn is_ready(&self) -> bool {
        client::get(&self.admin, "/ready").is_ok_and(|answer| answer.status == 200)
    }

    /// Starts the process again with the same settings, as a replaced host does.
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
        .unwrap_or_else(|report| panic!("daemon failed to start: {report:?}"))
}

/// Stand-ins and daemons; all are killed when the value is dropped.
pub struct Fleet {
    /// The platform stand-in.
    pub platform: process::Process,
    /// The backend stand-in with all upstreams.
    pub backend: process::Process,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The configuration document; [`Fleet::apply`] commits it.
    pub document: Value,
    directory: PathBuf,
}

impl Fleet {
    /// Starts all processes and waits until all daemons are ready and see each
    /// other as members.
    pub fn start(options: &Options) -> Self {
        let fleet = Self::start_unready(options);
        fleet.wait("all daemons are ready", |fleet| {
            fleet.daemons.iter().all(|daemon| {
                daemon.is_ready() && daemon.admin("/status")["members"] == fleet.daemons.len()
            })
        });
        fleet
    }

    /// Starts all processes without waiting for readiness.
    pub fn start_unready(options: &Options) -> Self {
        let platform = process::Process::start("standin-platform", &["--listen", "127.0.0.1:0"])
            .unwrap_or_else(|report| panic!("platform stand-in failed to start: {report:?}"));
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
        .unwrap_or_else(|report| panic!("backend stand-in failed to start: {report:?}"));
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

    /// Commits the document on top of version `base` with `dotterelhingectl`, as an
    /// operator does. Returns the exit code.
    pub fn apply(&self, base: u64) -> i32 {
        let path = self.directory.join("text.json");
        fs::write(&path, self.document.to_string()).expect("the configuration file is writable");
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

    /// Runs `dotterelhingectl` against the platform. Returns its exit code and
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

    /// Waits until `condition` holds; panics with `what` after 20 s.
    pub fn wait(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let until = Instant::now() + CONDITION_TIMEOUT;
        while !condition(self) {
            if Instant::now() >= until {
                let status: Vec<_> = self.daemons.iter().map(|d| d.admin("/status")).collect();
                panic!("condition not met within {CONDITION_TIMEOUT:?}: {what}; {status:?}");
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

    /// Returns the requests that the backend servers began.
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
