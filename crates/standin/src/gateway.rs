//! A small fleet on loopback for tests and the soak: row store, backend servers
//! and gateway daemons, each in its own process.

use std::collections::HashMap;
use std::fs;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use serde_json::{Value, json};

use crate::backend::record::{Arrival, Arrivals, Page};
use crate::client;
use crate::http::head;
use crate::process::{Process, Ready, free_addresses};
use crate::scripted;

/// Last octet of the first daemon's loopback address; daemon `i` has this octet
/// plus `i`.
const FIRST_HOST_OCTET: usize = 10;

/// Time in which a change of the list is in force on all daemons.
pub const APPLY_TIME: Duration = Duration::from_millis(1200);

/// Number of values of each of the two octets that identify a fleet's network.
const NETWORK_OCTET_VALUES: u32 = 250;

/// A part of the fleet did not start or did not answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the fleet can't be run")]
pub struct Error;

/// Result of a step.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Difference between two successive versions of the configuration.
pub const VERSION_STEP: u64 = 3;

/// Size of the fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of daemons.
    pub hosts: usize,
    /// Number of backend servers of the only service.
    pub upstreams: usize,
    /// Service time of each request at a backend server.
    pub service_time: Duration,
    /// Time after SIGTERM until the platform would kill a daemon.
    pub grace: Duration,
    /// Time after the store has acknowledged that a backend server drains within
    /// which all daemons have to stop sending requests to it.
    pub drain: Duration,
    /// Memory of a host, in megabytes.
    pub memory_mb: u32,
    /// Maximum size of an answer, in bytes; unlimited if missing.
    pub max_answer_bytes: Option<u64>,
    /// Whether requests wait on the hosts by priority.
    pub queue_by_priority: bool,
    /// Whether the daemons reach the store and each backend server through relays.
    pub has_relays: bool,
    /// Whether each daemon reaches the store through a relay of its own.
    pub has_store_relays: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            hosts: 3,
            upstreams: 4,
            service_time: Duration::from_millis(30),
            grace: Duration::from_secs(6),
            drain: Duration::from_secs(2),
            memory_mb: 260,
            max_answer_bytes: None,
            queue_by_priority: false,
            has_relays: false,
            has_store_relays: false,
        }
    }
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    settings: Settings,
    directory: PathBuf,
    ports: [u16; 5],
    /// Address of the store as the daemons see it.
    pub store_address: String,
    /// The store.
    pub store: Process,
    /// The backend servers.
    pub backends: Process,
    /// Relays in front of the backend servers, followed by the one in front of
    /// the store.
    relays: Vec<Process>,
    /// Relays in front of the store, one for each daemon, if they have their own.
    store_relays: Vec<Process>,
    /// The daemons; `None` while a daemon is not running.
    pub hosts: Vec<Option<Process>>,
    version: u64,
    /// Number of starts of each backend server, as its entry tells.
    starts: Vec<u64>,
    next_request: u64,
}

/// Result of one request, as seen by the caller.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Request id.
    pub id: String,
    /// Status, or `None` if no complete answer arrived.
    pub status: Option<u16>,
    /// Header fields; none without an answer.
    pub headers: head::Headers,
    /// Body; empty without an answer.
    pub body: Vec<u8>,
    /// Time until the answer or the failure.
    pub elapsed: Duration,
}

impl Fleet {
    /// Starts all processes, registers every backend server and writes the first
    /// configuration. Returns when all daemons are ready.
    pub fn start(settings: Settings) -> Result<Self> {
        let store =
            Process::start("standin-rows", &["--listen", "127.0.0.1:0"]).change_context(Error)?;
        let count = settings.upstreams.to_string();
        let service_ms = settings.service_time.as_millis().to_string();
        let backends = Process::start(
            "standin-backend",
            &[
                "--listen",
                "127.0.0.1:0",
                "--control",
                "127.0.0.1:0",
                "--count",
                &count,
                "--service-ms",
                &service_ms,
                "--distribution",
                "fixed",
            ],
        )
        .change_context(Error)?;
        let free = free_addresses(5);
        let mut ports = [0; 5];
        for (port, address) in ports.iter_mut().zip(&free) {
            *port = address.port();
        }
        let directory = std::env::temp_dir().join(format!("dotterelhinge-{}", store.id()));
        fs::create_dir_all(&directory).change_context(Error)?;
        let upstreams = settings.upstreams;
        let mut fleet = Fleet {
            store_address: store.listening().to_owned(),
            hosts: (0..settings.hosts).map(|_| None).collect(),
            settings,
            directory,
            ports,
            store,
            backends,
            relays: Vec::new(),
            store_relays: Vec::new(),
            version: 0,
            starts: vec![1; upstreams],
            next_request: 0,
        };
        if fleet.settings.has_relays {
            for index in 0..fleet.settings.upstreams {
                let relay = start_relay(&fleet.upstream(index))?;
                fleet.relays.push(relay);
            }
            let relay = start_relay(fleet.store.listening())?;
            fleet.store_address = relay.listening().to_owned();
            fleet.relays.push(relay);
        }
        if fleet.settings.has_store_relays {
            for _ in 0..fleet.settings.hosts {
                let relay = start_relay(&fleet.store_address)?;
                fleet.store_relays.push(relay);
            }
        }
        fleet.register_all(0..fleet.settings.upstreams, "ready")?;
        fleet.configure(&json!({}))?;
        for host in 0..fleet.settings.hosts {
            fleet.start_host(host)?;
        }
        Ok(fleet)
    }

    /// Returns the loopback address of a daemon. Each fleet has its own network,
    /// derived from the process id of its store, since two fleets that run at the
    /// same time may use equal ports.
    pub fn ip(&self, host: usize) -> String {
        let network = self.store.id() % (NETWORK_OCTET_VALUES * NETWORK_OCTET_VALUES);
        let (high, low) = (
            1 + network / NETWORK_OCTET_VALUES,
            network % NETWORK_OCTET_VALUES,
        );
        format!("127.{high}.{low}.{}", FIRST_HOST_OCTET + host)
    }

    /// Returns the address of a daemon for callers.
    pub fn caller_address(&self, host: usize) -> String {
        format!("{}:{}", self.ip(host), self.ports[0])
    }

    /// Returns the address of a daemon's readiness check.
    pub fn ready_address(&self, host: usize) -> String {
        format!("{}:{}", self.ip(host), self.ports[1])
    }

    /// Starts all processes as [`start`](Self::start) does, with `servers` in place of
    /// the first backend server. Returns when the daemons should know them.
    pub fn start_with(settings: Settings, servers: &[&scripted::Server]) -> Result<Self> {
        let fleet = Self::start(settings)?;
        for (number, server) in servers.iter().enumerate() {
            let id = format!("scripted-{number}");
            fleet.put_row("servers", &id, &server.entry("ready"))?;
        }
        fleet.unregister(0)?;
        std::thread::sleep(APPLY_TIME);
        Ok(fleet)
    }

    /// Returns the settings that the fleet was started with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the metrics of a daemon.
    pub fn metrics(&self, host: usize) -> Result<String> {
        let address = format!("{}:{}", self.ip(host), self.ports[4]);
        let answer = client::get(&address, "/metrics").change_context(Error)?;
        String::from_utf8(answer.body).change_context(Error)
    }

    /// Returns the address at which a daemon answers other daemons.
    pub fn peer_address(&self, host: usize) -> String {
        format!("{}:{}", self.ip(host), self.ports[3])
    }

    /// Returns the path of a daemon's settings file.
    pub fn settings_file(&self, host: usize) -> PathBuf {
        self.directory.join(format!("host-{host}.toml"))
    }

    /// Starts a daemon and waits until it is ready.
    pub fn start_host(&mut self, host: usize) -> Result<()> {
        let (address, path) = (self.ready_address(host), "/api/ready".to_owned());
        self.start_host_until(host, &Ready::Http { address, path })
    }

    /// Starts a daemon and waits until the condition `ready` holds.
    pub fn start_host_until(&mut self, host: usize, ready: &Ready) -> Result<()> {
        let file = self.settings_file(host);
        fs::write(&file, self.settings_text(host)).change_context(Error)?;
        let path = file.to_string_lossy().into_owned();
        let process = Process::start_with(
            "dotterelhinge-gateway",
            &[],
            &[("DOTTERELHINGE_CONFIG", &path)],
            ready,
        )
        .change_context(Error)?;
        self.hosts[host] = Some(process);
        Ok(())
    }

    /// Returns a daemon, or an error if it is not running.
    pub fn host(&self, host: usize) -> Result<&Process> {
        self.hosts[host].as_ref().ok_or(Report::new(Error))
    }

    fn settings_text(&self, host: usize) -> String {
        let ip = self.ip(host);
        let [front, ready, control, first, last] = self.ports;
        let seeds: Vec<String> = (0..self.settings.hosts.min(3))
            .map(|seed| format!("\"{}:{control}\"", self.ip(seed)))
            .collect();
        let max_answer_bytes = self
            .settings
            .max_answer_bytes
            .map_or(String::new(), |bytes| format!("maxAnswerBytes = {bytes}\n"));
        format!(
            "[self]\nnode = \"host-{host}\"\nip = \"{ip}\"\nzone = \"zone-{}\"\n\
             [self.limits]\nmemoryMb = {}\nqueueByPriority = {}\n{max_answer_bytes}\
             [network]\nportRange = [{first}, {last}]\nseeds = [{}]\n\
             [network.listen]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\ncontrol = \"{ip}:{control}\"\n\
             [platform.platform]\naddress = \"{}\"\n\
             [terms.bounds]\ngrace = \"{}ms\"\ndrain = \"{}ms\"\nretryBudgetRatio = 0.2\nbudgetSlack = 60\n",
            host % 2,
            self.settings.memory_mb,
            self.settings.queue_by_priority,
            seeds.join(","),
            self.store_relays
                .get(host)
                .map_or(&*self.store_address, Process::listening),
            self.settings.grace.as_millis(),
            self.settings.drain.as_millis(),
        )
    }

    /// Returns the address of a backend server, as the daemons see it.
    pub fn upstream(&self, index: usize) -> String {
        if let Some(relay) = self.relays.get(index) {
            return relay.listening().to_owned();
        }
        self.backends.ready()["servers"][index]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Writes the entry of a new start of a backend server.
    pub fn register_new_start(&mut self, index: usize) -> Result<()> {
        self.starts[index] += 1;
        self.register(index, "ready")
    }

    /// Writes a backend server's entry in the store.
    pub fn register(&self, index: usize, state: &str) -> Result<()> {
        self.register_all([index], state)
    }

    /// Writes the entries of several backend servers in the store at once.
    pub fn register_all(
        &self,
        indexes: impl IntoIterator<Item = usize>,
        state: &str,
    ) -> Result<()> {
        let entry = |index: usize| {
            json!({
                "address": self.upstream(index),
                "info": {"service": "desk", "version": "v1", "zone": format!("zone-{}", index % 2), "slots": 3},
                "status": {"state": state, "seq": 1, "coldLeft": "0ms"},
                "born": self.starts[index],
            })
        };
        let puts: Vec<Value> = indexes
            .into_iter()
            .map(|index| {
                let key = format!("backend-{index}");
                json!({"table": "servers", "key": key, "json": entry(index)})
            })
            .collect();
        self.control("/control/transact", &json!({"puts": puts}))
    }

    /// Removes a backend server's entry from the store.
    pub fn unregister(&self, index: usize) -> Result<()> {
        self.drop_row("servers", &format!("backend-{index}"))
    }

    /// Returns the version of the configuration that was written last.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of backend servers.
    pub fn upstreams(&self) -> usize {
        self.settings.upstreams
    }

    /// Changes the relay in front of a backend server, or of the store for `None`.
    pub fn set_link(&self, upstream: Option<usize>, change: &Value) -> Result<()> {
        let relay = upstream.map_or(self.relays.last(), |index| self.relays.get(index));
        change_link(relay.ok_or(Report::new(Error))?, change)
    }

    /// Changes the relay between a daemon and the store.
    pub fn set_store_link(&self, host: usize, change: &Value) -> Result<()> {
        let relay = self.store_relays.get(host);
        change_link(relay.ok_or(Report::new(Error))?, change)
    }

    /// Writes a row to the store, bypassing its faults.
    pub fn put_row(&self, table: &str, key: &str, value: &Value) -> Result<()> {
        let put = json!({"table": table, "key": key, "json": value});
        self.control("/control/transact", &json!({"puts": [put]}))
    }

    /// Writes a row with any text to the store, bypassing its faults.
    pub fn put_text(&self, table: &str, key: &str, text: &str) -> Result<()> {
        let put = json!({"table": table, "key": key, "text": text});
        self.control("/control/transact", &json!({"puts": [put]}))
    }

    /// Removes a row from the store, bypassing its faults.
    pub fn drop_row(&self, table: &str, key: &str) -> Result<()> {
        let place = json!({"table": table, "key": key});
        self.control("/control/transact", &json!({"remove": [place]}))
    }

    /// Sets a fault of the store.
    pub fn set_store_fault(&self, fault: &Value) -> Result<()> {
        self.control("/control/fault", fault)
    }

    /// Returns the number of calls to the store by name.
    pub fn store_calls(&self) -> Result<HashMap<String, u64>> {
        let answer = client::get(self.store.listening(), "/control/calls").change_context(Error)?;
        serde_json::from_value(answer.json()).change_context(Error)
    }

    /// Puts the store's clock forward.
    pub fn advance_store_clock(&self, by: Duration) -> Result<()> {
        self.control("/control/clock", &json!({"ms": by.as_millis() as u64}))
    }

    /// Removes the change history of the store.
    pub fn compact(&self) -> Result<()> {
        self.control("/control/compact", &json!({}))
    }

    fn control(&self, path: &str, body: &Value) -> Result<()> {
        let answer = client::post(self.store.listening(), path, body).change_context(Error)?;
        match answer.status / 100 {
            2 => Ok(()),
            _ => Err(Report::new(Error).attach(format!("{path}: {}", answer.status))),
        }
    }

    /// Sets a fault of backend servers.
    pub fn set_fault(&self, servers: &[usize], fault: &Value) -> Result<()> {
        let body = json!({"servers": servers, "fault": fault});
        let answer =
            client::post(self.backends.control(), "/fault", &body).change_context(Error)?;
        match answer.status {
            200 => Ok(()),
            status => Err(Report::new(Error).attach(format!("fault: {status}"))),
        }
    }

    /// Writes the next version of the configuration and returns it. `more` adds
    /// routes to the default ones: an object from path prefix to the fields that
    /// differ from the defaults.
    pub fn configure(&mut self, more: &Value) -> Result<u64> {
        self.version += VERSION_STEP;
        let mut paths = vec![
            route("/lookup/", "safe", &json!({})),
            route("/order/", "unsafe", &json!({})),
            route("/scan/", "upload", &json!({})),
        ];
        for (prefix, fields) in more.as_object().into_iter().flatten() {
            paths.push(route(prefix, "safe", fields));
        }
        let hosts: Vec<Value> = (0..self.settings.hosts)
            .map(|host| json!({"host": self.ip(host), "paths": paths}))
            .collect();
        let configuration = json!({
            "version": self.version,
            "services": [{"name": "desk", "healthPath": "/health", "maxConns": 400, "protocol": "h1", "tls": false}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67_108_864,
                "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
            "hosts": hosts,
        });
        self.put_row("op", "config", &configuration)?;
        Ok(self.version)
    }

    /// Sends one request to a daemon and waits for the result.
    pub fn send(&mut self, host: usize, method: &str, path: &str, body: &[u8]) -> Answer {
        self.next_request += 1;
        let id = format!("request-{}", self.next_request);
        call(&self.caller_address(host), method, path, &id, body)
    }

    /// Whether a daemon's readiness check succeeds.
    pub fn is_ready(&self, host: usize) -> bool {
        client::get(&self.ready_address(host), "/api/ready")
            .is_ok_and(|answer| answer.status == 200)
    }

    /// Returns the requests that reached the backend servers, and the time at
    /// which the servers started to count.
    pub fn arrivals(&self) -> Result<(Vec<Arrival>, Instant)> {
        let answer = client::get(self.backends.control(), "/arrivals").change_context(Error)?;
        let arrivals: Arrivals = serde_json::from_slice(&answer.body).change_context(Error)?;
        let elapsed = Duration::from_secs_f64(arrivals.now_ms / 1e3);
        let now = Instant::now();
        Ok((arrivals.arrivals, now.checked_sub(elapsed).unwrap_or(now)))
    }

    /// Returns the requests that the backend servers began.
    pub fn record(&self) -> Result<Page> {
        let answer = client::get(self.backends.control(), "/record").change_context(Error)?;
        serde_json::from_slice(&answer.body).change_context(Error)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // The directory lies in the system's temporary directory, so it may be left
        // behind if it can't be removed.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn start_relay(to: &str) -> Result<Process> {
    let arguments = [
        "--listen",
        "127.0.0.1:0",
        "--control",
        "127.0.0.1:0",
        "--to",
        to,
    ];
    Process::start("standin-relay", &arguments).change_context(Error)
}

fn change_link(relay: &Process, change: &Value) -> Result<()> {
    let answer = client::post(relay.control(), "/link", change).change_context(Error)?;
    match answer.status {
        200 => Ok(()),
        status => Err(Report::new(Error).attach(format!("link: {status}"))),
    }
}

fn route(prefix: &str, kind: &str, fields: &Value) -> Value {
    let mut route = json!({
        "name": format!("r{}", prefix.replace('/', "-")), "prefix": prefix, "kind": kind, "service": "desk",
        "timeout": "4000ms", "targetLatency": "600ms", "priority": 1, "maxAttempts": 2,
    });
    if let (Some(route), Some(fields)) = (route.as_object_mut(), fields.as_object()) {
        route.extend(fields.clone());
    }
    route
}

/// Sends one request on a new connection and waits for the result.
pub fn call(front: &str, method: &str, path: &str, id: &str, body: &[u8]) -> Answer {
    let started = Instant::now();
    let headers = [("x-request-id", id), ("x-deadline-ms", "4000")];
    let answer = client::request(front, method, path, &headers, body, Duration::from_secs(6));
    let elapsed = started.elapsed();
    let (status, headers, body) = answer.map_or_else(
        |_| (None, head::Headers::default(), Vec::new()),
        |answer| (Some(answer.status), answer.headers, answer.body),
    );
    Answer {
        id: id.to_owned(),
        status,
        headers,
        body,
        elapsed,
    }
}

/// Waits until `condition` holds, at most for `limit`. Returns whether it held.
pub fn eventually(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}
