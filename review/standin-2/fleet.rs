//! A small deployment: the daemons as separate processes, with the store and the
//! upstreams beside them.

use std::{
    fs,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use super::{eventually, http::Reader, store::Store};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/dotterelhinge-gateway";

pub const SIGTERM: i32 = 15;

const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// What the settings of a deployment say, as `fleetbench wire` shows them.
#[derive(Debug)]
pub struct Deployment {
    pub zones: &'static [&'static str],
    cpu_share: f64,
    memory_mb: u32,
    max_fds: u32,
    link_mbps: f64,
    calls_per_s: (u32, u32),
    ack_ms: u32,
    catch_up_s: u32,
    pub drain_ms: u64,
    config_apply_ms: u32,
    budget_slack: u32,
}

/// `sites/ubkw-gate.toml`.
pub const UBKW_GATE: Deployment = Deployment {
    zones: &["bayangol", "sukhbaatar", "khan-uul", "chingeltei"],
    cpu_share: 0.2,
    memory_mb: 260,
    max_fds: 4100,
    link_mbps: 1000.0,
    calls_per_s: (400, 2000),
    ack_ms: 4000,
    catch_up_s: 4,
    drain_ms: 2000,
    config_apply_ms: 2000,
    budget_slack: 64,
};

/// `demands/yildiztepe-gw-grown.toml`.
pub const YILDIZTEPE: Deployment = Deployment {
    zones: &["ege-a", "ege-b", "ege-c"],
    cpu_share: 0.5,
    memory_mb: 512,
    max_fds: 8192,
    link_mbps: 200.0,
    calls_per_s: (1200, 6000),
    ack_ms: 5000,
    catch_up_s: 6,
    drain_ms: 2500,
    config_apply_ms: 2500,
    budget_slack: 206,
};

/// `demands/wahlresultate-ch-grown.toml`.
pub const WAHLRESULTATE: Deployment = Deployment {
    zones: &["helv-n-one", "helv-n-two", "helv-n-three"],
    cpu_share: 0.5,
    memory_mb: 512,
    max_fds: 8192,
    link_mbps: 200.0,
    calls_per_s: (1200, 6000),
    ack_ms: 5000,
    catch_up_s: 6,
    drain_ms: 2500,
    config_apply_ms: 2500,
    budget_slack: 186,
};

/// Time after which a calm machine is in touch, in all deployments.
pub const CONTACT: Duration = Duration::from_secs(3);

/// Interval at which upstreams write their entries, in all deployments.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);

/// The daemons. All of them are ended when this is dropped.
pub struct Fleet {
    folder: PathBuf,
    store: SocketAddr,
    network: u32,
    ports: [u16; 5],
    deployment: &'static Deployment,
    daemons: Vec<Option<Child>>,
}

impl Fleet {
    /// Prepares `count` daemons of a deployment, spread over its zones.
    pub fn new(count: usize, deployment: &'static Deployment, store: &Store) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut free = Vec::new();
        for _ in 0..5 {
            free.push(TcpListener::bind("127.0.0.1:0")?);
        }
        let mut ports = [0; 5];
        for (port, listener) in ports.iter_mut().zip(&free) {
            *port = listener.local_addr()?.port();
        }
        Ok(Self {
            folder,
            store: store.address,
            network: std::process::id(),
            ports,
            deployment,
            daemons: (0..count).map(|_| None).collect(),
        })
    }

    /// Returns the loopback address of a daemon.
    fn ip(&self, number: usize) -> String {
        let (high, low) = (1 + self.network / 250 % 250, self.network % 250);
        format!("127.{high}.{low}.{}", 10 + number)
    }

    /// Returns the address at which a daemon serves clients.
    pub fn front(&self, number: usize) -> String {
        format!("{}:{}", self.ip(number), self.ports[0])
    }

    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    /// Starts a daemon.
    pub fn start(&mut self, number: usize, is_first: bool) -> io::Result<()> {
        let file = self.folder.join(format!("node-{number}.toml"));
        fs::write(&file, self.settings(number, is_first))?;
        let log = fs::File::create(self.folder.join(format!("node-{number}.log")))?;
        let mut command = Command::new(PROGRAM);
        command
            .env("DOTTERELHINGE_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: the call is safe between fork and exec.
        unsafe {
            command.pre_exec(|| {
                // The daemon ends with the case, however that ends.
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        self.daemons[number] = Some(command.spawn()?);
        Ok(())
    }

    /// Starts all daemons and waits until they are ready.
    pub fn start_all(&mut self) -> Result<(), String> {
        for number in 0..self.daemons.len() {
            self.start(number, true)
                .map_err(|error| format!("{PROGRAM}: {error}"))?;
        }
        for number in 0..self.daemons.len() {
            if !eventually(Duration::from_secs(15), || self.is_ready(number)) {
                return Err(format!("daemon {number} did not become ready"));
            }
        }
        Ok(())
    }

    /// Returns whether a daemon answers its readiness check with 200.
    pub fn is_ready(&self, number: usize) -> bool {
        let address = format!("{}:{}", self.ip(number), self.ports[1]);
        let asked = || -> io::Result<u16> {
            let mut stream = TcpStream::connect(address)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(
                b"GET /api/ready HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n",
            )?;
            Ok(Reader::new(stream).message()?.status())
        };
        asked().is_ok_and(|status| status == 200)
    }

    /// Sends a signal to a daemon.
    pub fn signal(&self, number: usize, signal: i32) {
        if let Some(child) = &self.daemons[number] {
            // SAFETY: the process was started here and has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until a daemon has ended, at most for `limit`. Returns whether it has.
    pub fn wait(&mut self, number: usize, limit: Duration) -> bool {
        let Some(child) = &mut self.daemons[number] else {
            return true;
        };
        let has_ended = eventually(limit, || matches!(child.try_wait(), Ok(Some(_))));
        if has_ended {
            self.daemons[number] = None;
        }
        has_ended
    }

    /// Returns the settings file of a daemon.
    fn settings(&self, number: usize, is_first: bool) -> String {
        let ip = self.ip(number);
        let [front, ready, control, first, last] = self.ports;
        let seeds: Vec<String> = (0..self.len().min(3))
            .map(|seed| format!("\"{}:{control}\"", self.ip(seed)))
            .collect();
        let Deployment {
            zones,
            cpu_share,
            memory_mb,
            max_fds,
            link_mbps,
            calls_per_s: (writes, reads),
            ack_ms,
            catch_up_s,
            drain_ms,
            config_apply_ms,
            budget_slack,
        } = self.deployment;
        let zone = zones[number % zones.len()];
        let regions: String = zones
            .iter()
            .map(|zone| format!("{zone} = \"region\"\n"))
            .collect();
        format!(
            r#"[self]
node = "front-{zone}-{number}"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "region"
faultCounted = false
bootstrap = {is_first}
[self.limits]
cpuShare = {cpu_share}
cores = 1
memoryMb = {memory_mb}
maxFds = {max_fds}
linkMbps = {link_mbps:.1}
diskMb = 0
[network]
portRange = [{first},{last}]
seeds = [{}]
[network.listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[network.zones]
{regions}[platform]
discovery = "platform"
entry = "vip"
heartbeat = "1500ms"
[platform.platform]
address = "{}"
form = "table"
writesPerS = {writes}
readsPerS = {reads}
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
contact = "3000ms"
ack = "{ack_ms}ms"
catchUp = "{catch_up_s}s"
drain = "{drain_ms}ms"
grace = "6s"
lossSlack = "200ms"
configApply = "{config_apply_ms}ms"
rollbackSlack = "250ms"
maxStretch = "5000ms"
retryBudgetRatio = 0.2
budgetWindow = "10s"
budgetSlack = {budget_slack}
recovery = "15s"
probesPerS = 3
floorShare = 0.7
"#,
            seeds.join(","),
            self.store,
        )
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.daemons.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a configuration with the services `desk` and `archive`, and with a `safe`
/// route `/look/`, an `unsafe` route `/order/` and an `upload` route `/scan/` of the host
/// `desk.example`. The requests of `/order/` go to the service `orders`, all others to
/// `desk`.
pub fn configuration(version: u64, orders: &str) -> String {
    configuration_with(version, orders, "")
}

/// As [`configuration`], with more fields, each followed by a comma.
pub fn configuration_with(version: u64, orders: &str, more: &str) -> String {
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","healthPath":"/health","maxConns":390,"protocol":"h1","tls":false}}"#
        )
    };
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            r#"{{"name":"r-{name}","prefix":"/{name}/","kind":"{kind}","timeout":"4000ms","targetLatency":"600ms","priority":1,"service":"{service}","maxAttempts":2,"public":false}}"#
        )
    };
    format!(
        r#"{{"version":{version},{more}"services":[{},{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"hosts":[{{"host":"desk.example","paths":[{},{},{}]}}]}}"#,
        service("desk"),
        service("archive"),
        route("look", "safe", "desk"),
        route("order", "unsafe", orders),
        route("scan", "upload", "desk"),
    )
}
