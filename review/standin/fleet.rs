//! Starts the daemons of the deploy file with settings like the platform's, and
//! writes the configuration and the backend servers' entries.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::standin::{client, record, store::Store};

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: i32) -> i32;
}

/// Has the kernel end a daemon when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Host name in all requests.
pub const HOST: &str = "orders.example";

/// A small fleet of daemons.
pub struct Fleet {
    pub store: Arc<Store>,
    folder: PathBuf,
    network: u32,
    ports: Vec<u16>,
    grace: &'static str,
    bounds: &'static str,
    pub hosts: Vec<Option<Child>>,
}

/// A route of the configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout: &'static str,
}

impl Fleet {
    /// Prepares a fleet of `hosts` daemons, none of which runs yet. `grace` and
    /// `bounds` are those of a deployment.
    pub fn new(hosts: usize, grace: &'static str, bounds: &'static str) -> Self {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{id}"));
        if let Err(error) = fs::create_dir_all(&folder) {
            record::unusable(&error.to_string());
        }
        Self {
            store: Store::start(),
            folder,
            network: id % 60_000,
            ports: free_ports(5),
            grace,
            bounds,
            hosts: (0..hosts).map(|_| None).collect(),
        }
    }

    fn ip(&self, host: usize) -> String {
        let (high, low) = (1 + self.network / 250, self.network % 250);
        format!("127.{high}.{low}.{}", 10 + host)
    }

    /// Address of a daemon for callers.
    pub fn front(&self, host: usize) -> SocketAddr {
        format!("{}:{}", self.ip(host), self.ports[0])
            .parse()
            .expect("an address")
    }

    fn ready(&self, host: usize) -> SocketAddr {
        format!("{}:{}", self.ip(host), self.ports[1])
            .parse()
            .expect("an address")
    }

    /// Writes the configuration.
    pub fn configure(&self, version: u64, services: &[&str], routes: &[Route]) {
        let services: Vec<String> = services
            .iter()
            .map(|name| {
                format!(r#"{{"name":"{name}","healthPath":"/health","maxConns":390,"protocol":"h1","tls":false}}"#)
            })
            .collect();
        let routes: Vec<String> = routes
            .iter()
            .map(|route| {
                let Route { prefix, kind, service, timeout } = route;
                format!(r#"{{"name":"r-{kind}","prefix":"{prefix}","kind":"{kind}","timeout":"{timeout}","targetLatency":"600ms","priority":1,"service":"{service}","maxAttempts":2}}"#)
            })
            .collect();
        let (services, routes) = (services.join(","), routes.join(","));
        let text = format!(
            r#"{{"version":{version},"services":[{services}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"hosts":[{{"host":"{HOST}","paths":[{routes}]}}]}}"#
        );
        self.store.put("op", "config", &text);
    }

    /// Writes the entry of a backend server, as the server itself does. Returns
    /// the store's version.
    pub fn register(&self, entry: &Entry) -> u64 {
        let Entry {
            id,
            service,
            address,
            state,
            sequence,
            cold_ms,
            born,
        } = entry;
        let text = format!(
            r#"{{"address":"{address}","info":{{"service":"{service}","version":"v1","zone":"a","slots":3}},"status":{{"state":"{state}","seq":{sequence},"coldLeft":"{cold_ms}ms"}},"born":{born}}}"#
        );
        self.store.put("servers", id, &text)
    }

    /// Starts a daemon by the command of the deploy file.
    pub fn start(&mut self, host: usize, first: bool) {
        self.start_at(host, first, self.store.address);
    }

    /// As `start`, with the store at another address.
    pub fn start_at(&mut self, host: usize, first: bool, store: SocketAddr) {
        let file = self.folder.join(format!("host-{host}.toml"));
        let log = self.folder.join(format!("host-{host}.log"));
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.unwrap_or_else(|error| record::unusable(&error.to_string()));
        if let Err(error) = fs::write(&file, self.settings(host, first, store)) {
            record::unusable(&error.to_string());
        }
        let mut command = Command::new("target/release/dotterelhinge-gateway");
        command
            .env_clear()
            .env("DOTTERELHINGE_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit());
        // SAFETY: `prctl` may be called between `fork` and `exec`.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        match command.spawn() {
            Ok(child) => self.hosts[host] = Some(child),
            Err(error) => record::unusable(&format!("the daemon doesn't start: {error}")),
        }
    }

    fn settings(&self, host: usize, first: bool, store: SocketAddr) -> String {
        let ip = self.ip(host);
        let [front, ready, control, peers, metrics] = self.ports[..] else {
            record::unusable("no free ports");
        };
        let seeds: Vec<String> = (0..self.hosts.len().min(3))
            .map(|seed| format!("\"{}:{control}\"", self.ip(seed)))
            .collect();
        let (seeds, grace, bounds) = (seeds.join(","), self.grace, self.bounds);
        format!(
            r#"[self]
node = "front-a-{host}"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "a"
region = "r"
faultCounted = false
bootstrap = {first}
[self.limits]
cpuShare = 0.2
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[network]
portRange = [{peers},{metrics}]
seeds = [{seeds}]
[network.listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[network.zones]
a = "r"
[platform]
discovery = "platform"
entry = "vip"
heartbeat = "1500ms"
[platform.platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
tx = "8ms"
partitionWritesS = 150
rowBytes = 65536
across = false
history = "20s"
blobBytes = 8388608
blob = "25ms"
blobMbS = 80.0
[terms]
contracts = ["base","drain","config","cost","retry","recover","health","platform"]
[terms.faultTolerance]
machines = 2
zones = 0
regions = 0
[terms.bounds]
seedLag = "3s"
addrReuse = "2s"
grace = "{grace}"
lossSlack = "200ms"
rollbackSlack = "250ms"
retryBudgetRatio = 0.2
budgetWindow = "10s"
recovery = "15s"
probesPerS = 3
floorShare = 0.7
{bounds}
"#
        )
    }

    /// Waits until a daemon reports that it is ready.
    pub fn wait_ready(&self, host: usize) {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready(host) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        record::unusable(&format!("daemon {host} isn't ready"));
    }

    /// Asks a daemon once whether it is ready, as the balancer does.
    pub fn is_ready(&self, host: usize) -> bool {
        client::fetch(self.ready(host), "/api/ready").is_some_and(|status| status == 200)
    }

    /// Sends a signal to a daemon.
    pub fn signal(&self, host: usize, signal: i32) {
        if let Some(child) = &self.hosts[host] {
            // SAFETY: the process was started here and not waited for yet.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Holds a daemon to its share of a processor core, as a quota: it runs at
    /// full speed until the quota is used up, and then not at all for the rest of
    /// that tenth of a second.
    pub fn apply_quota(&self, host: usize) {
        let Some(process) = self.hosts[host].as_ref().map(Child::id) else {
            return;
        };
        thread::spawn(move || {
            let mut end = Instant::now() + PERIOD;
            let mut used = processor_time(process);
            let mut is_stopped = false;
            while let Some(before) = used {
                thread::sleep(Duration::from_millis(1));
                let now = processor_time(process);
                if Instant::now() >= end {
                    // SAFETY: the process was started here and has not ended yet.
                    unsafe { kill(process as i32, SIGCONT) };
                    (end, used, is_stopped) = (end + PERIOD, now, false);
                } else if !is_stopped && now.is_some_and(|now| now.saturating_sub(before) >= QUOTA)
                {
                    // SAFETY: as above.
                    unsafe { kill(process as i32, SIGSTOP) };
                    is_stopped = true;
                }
            }
        });
    }

    /// Whether a daemon's process has ended.
    pub fn has_ended(&mut self, host: usize) -> bool {
        let child = self.hosts[host].as_mut();
        child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// The log of a daemon.
    pub fn log(&self, host: usize) -> String {
        fs::read_to_string(self.folder.join(format!("host-{host}.log"))).unwrap_or_default()
    }
}

/// Period of the processor quota.
const PERIOD: Duration = Duration::from_millis(100);

/// Processor time in each period: a share of 0.2.
const QUOTA: Duration = Duration::from_millis(20);

/// Processor time that all threads of a process have used; `None` once it has
/// ended.
fn processor_time(process: u32) -> Option<Duration> {
    let threads = fs::read_dir(format!("/proc/{process}/task")).ok()?;
    let mut total = 0;
    for thread in threads.flatten() {
        let Ok(text) = fs::read_to_string(thread.path().join("schedstat")) else {
            continue;
        };
        total += text.split(' ').next()?.parse::<u64>().ok()?;
    }
    Some(Duration::from_nanos(total))
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.hosts.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Bounds of the deployment `ubkw-gate` that are not in every settings file.
pub const UBKW_GATE: &str = r#"contact = "3000ms"
ack = "4000ms"
catchUp = "4s"
drain = "2000ms"
configApply = "2000ms"
maxStretch = "5000ms"
budgetSlack = 64"#;

/// Bounds of the deployment `ubkw-gate-grown`.
pub const UBKW_GATE_GROWN: &str = r#"contact = "3000ms"
ack = "5000ms"
catchUp = "6s"
drain = "2500ms"
configApply = "2500ms"
maxStretch = "5000ms"
budgetSlack = 216"#;

/// Bounds of the deployment `ubkw-gate-large`.
pub const UBKW_GATE_LARGE: &str = r#"contact = "4000ms"
ack = "5000ms"
catchUp = "6s"
drain = "3000ms"
configApply = "3000ms"
maxStretch = "6000ms"
budgetSlack = 630"#;

/// What a backend server writes about itself.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub state: &'static str,
    pub sequence: u64,
    pub cold_ms: u64,
    /// Unix millisecond of the server's start.
    pub born: u64,
}

fn free_ports(count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> = (0..count)
        .filter_map(|_| TcpListener::bind("127.0.0.1:0").ok())
        .collect();
    let ports = listeners
        .iter()
        .filter_map(|listener| listener.local_addr().ok());
    ports.map(|address| address.port()).collect()
}
