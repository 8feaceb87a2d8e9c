//! A deployment from an operators' text: platform, backend servers, daemons.

use std::{
    fs,
    path::{Path, PathBuf},
    process as os,
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use serde_json::{Value, json};

use crate::{
    backend::record,
    client,
    experiment::{Error, interrupt, list, string},
    fleet, process,
};

/// Longest wait for a condition of the deployment.
const PATIENCE: Duration = Duration::from_secs(30);

/// Daemons that others join at start. All daemons would do as well; a few are
/// what operators write.
const SEEDS: u16 = 3;

static NEXT_DIRECTORY: AtomicU32 = AtomicU32::new(0);

/// What a deployment consists of.
#[derive(Clone, Debug)]
pub struct Options {
    /// Operators' text; its addresses are replaced by free ones.
    pub text: PathBuf,
    /// Daemons.
    pub daemons: u16,
    /// Daemon setting `policy`.
    pub policy: &'static str,
    /// Mean service time of services without uploads, in milliseconds.
    pub service_ms: u32,
    /// Mean service time of services with uploads, in milliseconds.
    pub upload_ms: u32,
    /// `fixed` or `exponential`.
    pub distribution: &'static str,
    /// Seed of the backend servers.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            text: PathBuf::from("examples/keepsake-works.json"),
            daemons: 3,
            policy: "fleet",
            service_ms: 30,
            upload_ms: 300,
            distribution: "exponential",
            seed: 1,
        }
    }
}

/// All backend servers of a service, in one process.
#[derive(Debug)]
pub struct Service {
    /// Name in the text.
    pub name: String,
    /// Whether a class of it is for uploads.
    pub upload: bool,
    /// The backend stand-in.
    pub process: process::Process,
    /// Addresses of the servers.
    pub servers: Vec<String>,
    /// Availability zones of the servers.
    pub zones: Vec<String>,
    /// Names of the servers in the text.
    pub names: Vec<String>,
    /// Slots of all servers.
    pub slots: u64,
    /// Mean service time.
    pub mean: Duration,
}

impl Service {
    /// Sets a fault of the servers with these numbers; returns the time of the
    /// call on the record's clock.
    pub fn fault(
        &self,
        servers: &[usize],
        class: Option<&str>,
        fault: &Value,
    ) -> Result<f64, Report<Error>> {
        let body = json!({"servers": servers, "class": class, "fault": fault});
        let fail = || Error::Call(format!("fault {body}"));
        let answer =
            client::post(self.process.control(), "/fault", &body).change_context_lazy(fail)?;
        let at = answer.json()["at_ms"].as_f64();
        at.ok_or_else(|| Report::new(fail()))
    }

    /// Requests that the servers began.
    pub fn record(&self) -> Result<record::Page, Report<Error>> {
        let fail = || Error::Call("record".to_owned());
        let control = self.process.control();
        let limit = Duration::from_secs(30);
        let answer = client::request(control, "GET", "/record", &[], b"", limit)
            .change_context_lazy(fail)?;
        serde_json::from_slice(&answer.body).change_context_lazy(fail)
    }

    /// Empties the record.
    pub fn reset(&self) -> Result<(), Report<Error>> {
        client::post(self.process.control(), "/reset", &json!({}))
            .change_context_lazy(|| Error::Call("reset".to_owned()))
            .map(|_| ())
    }
}

/// A daemon of a deployment.
#[derive(Debug)]
pub struct Daemon {
    /// Its process, until it was stopped or killed.
    pub process: Option<process::Process>,
    /// Name of its host.
    pub host: String,
    /// Address for callers.
    pub listen: String,
    /// Address for operators.
    pub admin: String,
}

impl Daemon {
    /// Answer of `/status`, or null.
    pub fn status(&self) -> Value {
        let limit = Duration::from_secs(2);
        client::request(&self.admin, "GET", "/status", &[], b"", limit)
            .map_or(Value::Null, |answer| answer.json())
    }
}

/// Stand-ins and daemons; all end when the value is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The services of the text.
    pub services: Vec<Service>,
    /// The text in force.
    pub text: Value,
    platform: process::Process,
    directory: PathBuf,
}

impl Deployment {
    /// Starts everything, commits the text and waits until all daemons are
    /// ready and know each other.
    pub fn start(options: &Options) -> Result<Self, Report<Error>> {
        let fail = || Error::Read(options.text.clone());
        let document = fs::read(&options.text).change_context_lazy(fail)?;
        let mut text: Value = serde_json::from_slice(&document).change_context_lazy(fail)?;
        let services = start_services(options, &mut text)?;
        let platform = process::Process::start("standin-platform", &["--listen", "127.0.0.1:0"])
            .change_context_lazy(|| Error::Start("standin-platform".to_owned()))?;
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let directory = std::env::temp_dir().join(format!("experiment-{}-{number}", os::id()));
        fs::create_dir_all(&directory).change_context_lazy(|| Error::Write(directory.clone()))?;
        let mut deployment = Self {
            daemons: Vec::new(),
            services,
            text,
            platform,
            directory,
        };
        deployment.apply(0)?;
        deployment.start_daemons(options)?;
        deployment.wait("all daemons are ready", |deployment| {
            deployment.daemons.iter().all(|daemon| {
                let status = daemon.status();
                status["ready"] == true && status["members"] == options.daemons
            })
        })?;
        Ok(deployment)
    }

    fn start_daemons(&mut self, options: &Options) -> Result<(), Report<Error>> {
        let zones = list(&self.text, "availability_zones").to_vec();
        let count = options.daemons;
        let first = fleet::ports(3 * count);
        let address = |port: u16| format!("127.0.0.1:{port}");
        let seeds: Vec<_> = (0..count.min(SEEDS))
            .map(|n| address(first + count + n))
            .collect();
        for n in 0..count {
            if interrupt::is_set() {
                return Err(Report::new(Error::Interrupted));
            }
            let zone = &zones[usize::from(n) % zones.len()];
            let host = format!("entry-{}", n + 1);
            let [listen, peer, admin] = [n, count + n, 2 * count + n].map(|n| address(first + n));
            let settings = json!({
                "host": host,
                "availability_zone": zone["name"],
                "region": zone["region"],
                "listen": listen,
                "peer": peer,
                "admin": admin,
                "platform": format!("http://{}", self.platform.listening()),
                "seeds": seeds,
                "policy": options.policy,
                "stop_notice_ms": 500,
            });
            let path = self.directory.join(format!("{host}.json"));
            write(&path, &settings)?;
            let ready = process::Ready::Http {
                address: admin.clone(),
                path: "/live".to_owned(),
            };
            let arguments = ["--settings", &path.to_string_lossy()];
            let process = process::Process::start_with("dotterelhinged", &arguments, &[], &ready)
                .change_context_lazy(|| Error::Start(host.clone()))?;
            self.daemons.push(Daemon {
                process: Some(process),
                host,
                listen,
                admin,
            });
        }
        Ok(())
    }

    /// Commits the text over version `base` with the command line, as an
    /// operator does.
    pub fn apply(&self, base: u64) -> Result<(), Report<Error>> {
        let path = self.directory.join("text.json");
        write(&path, &self.text)?;
        let fail = || Error::Call("dotterelhingectl apply".to_owned());
        let program =
            process::program_path("dotterelhingectl").ok_or_else(|| Report::new(fail()))?;
        let output = os::Command::new(program)
            .args([
                "--platform",
                &format!("http://{}", self.platform.listening()),
            ])
            .args(["apply", &path.to_string_lossy()])
            .args(["--base", &base.to_string(), "--author", "experiment"])
            .output()
            .change_context_lazy(fail)?;
        if output.status.success() {
            return Ok(());
        }
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        Err(Report::new(fail()).attach(message))
    }

    /// Waits until `condition` holds.
    pub fn wait(
        &self,
        what: &'static str,
        condition: impl Fn(&Self) -> bool,
    ) -> Result<(), Report<Error>> {
        let until = Instant::now() + PATIENCE;
        while !condition(self) {
            if interrupt::is_set() {
                return Err(Report::new(Error::Interrupted));
            }
            if Instant::now() >= until {
                let status: Vec<_> = self
                    .daemons
                    .iter()
                    .map(|d| d.status().to_string())
                    .collect();
                return Err(Report::new(Error::Late(what, status.join(" "))));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// The service with or without uploads.
    pub fn service(&self, upload: bool) -> Result<&Service, Report<Error>> {
        let mut services = self.services.iter();
        services
            .find(|service| service.upload == upload)
            .ok_or_else(|| Report::new(Error::Text("service of that kind")))
    }

    /// Number of the daemon that coordinates a service.
    pub fn coordinator(&self, service: &str) -> Option<usize> {
        self.daemons.iter().position(|daemon| {
            let status = daemon.status();
            list(&status, "coordinator_of").iter().any(|n| n == service)
        })
    }

    /// Addresses for callers and for readiness of all daemons.
    pub fn addresses(&self) -> (Vec<String>, Vec<String>) {
        let each = self.daemons.iter();
        each.map(|daemon| (daemon.listen.clone(), daemon.admin.clone()))
            .unzip()
    }

    /// Stops the daemons that still run with SIGTERM; returns the hosts that
    /// failed or did not end within `limit`.
    pub fn stop(&mut self, limit: Duration) -> Vec<String> {
        let running = |daemon: &Daemon| daemon.process.as_ref().map(|p| p.terminate().is_ok());
        let failed = |daemon: &Daemon| running(daemon) == Some(false);
        let mut hosts: Vec<_> = self
            .daemons
            .iter()
            .filter(|d| failed(d))
            .collect::<Vec<_>>()
            .into_iter()
            .map(|d| d.host.clone())
            .collect();
        let until = Instant::now() + limit;
        for daemon in &mut self.daemons {
            let Some(mut process) = daemon.process.take() else {
                continue;
            };
            let left = until.saturating_duration_since(Instant::now());
            if !process.wait(left).is_ok_and(|status| status.success()) {
                hosts.push(daemon.host.clone());
            }
        }
        hosts
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn write(path: &Path, value: &Value) -> Result<(), Report<Error>> {
    fs::write(path, value.to_string()).change_context_lazy(|| Error::Write(path.to_owned()))
}

/// Starts the servers of each service and writes their addresses into the text.
fn start_services(options: &Options, text: &mut Value) -> Result<Vec<Service>, Report<Error>> {
    let uploads: Vec<String> = list(text, "classes")
        .iter()
        .filter(|class| class["upload"] == true)
        .map(|class| string(class, "name").to_owned())
        .collect();
    let routes = list(text, "routes").to_vec();
    let services = text["services"].as_array_mut();
    let services = services.ok_or(Error::Text("services"))?;
    services
        .iter_mut()
        .map(|service| {
            let name = string(service, "name").to_owned();
            let upload = routes.iter().any(|route| {
                string(route, "service") == name
                    && uploads.iter().any(|class| class == string(route, "class"))
            });
            start_service(options, service, name, upload)
        })
        .collect()
}

fn start_service(
    options: &Options,
    service: &mut Value,
    name: String,
    upload: bool,
) -> Result<Service, Report<Error>> {
    let upstreams = service["upstreams"].as_array_mut();
    let upstreams = upstreams.ok_or(Error::Text("upstreams"))?;
    let count = u16::try_from(upstreams.len()).change_context(Error::Text("upstreams"))?;
    let first = fleet::ports(count);
    let one = upstreams.first().ok_or(Error::Text("upstreams"))?;
    let slots = one["slots"].as_u64().unwrap_or(1);
    let connections = one["connections"].to_string();
    let service_ms = if upload {
        options.upload_ms
    } else {
        options.service_ms
    };
    let process = process::Process::start(
        "standin-backend",
        &[
            "--listen",
            &format!("127.0.0.1:{first}"),
            "--control",
            "127.0.0.1:0",
            "--count",
            &count.to_string(),
            "--slots",
            &slots.to_string(),
            "--connections",
            &connections,
            "--service-ms",
            &service_ms.to_string(),
            "--distribution",
            options.distribution,
            "--seed",
            &options.seed.to_string(),
        ],
    )
    .change_context_lazy(|| Error::Start("standin-backend".to_owned()))?;
    let servers: Vec<_> = (first..first + count)
        .map(|port| format!("127.0.0.1:{port}"))
        .collect();
    for (upstream, address) in upstreams.iter_mut().zip(&servers) {
        upstream["address"] = json!(address);
    }
    let field = |field| {
        upstreams
            .iter()
            .map(|u| string(u, field).to_owned())
            .collect()
    };
    Ok(Service {
        name,
        upload,
        process,
        zones: field("availability_zone"),
        names: field("name"),
        slots: slots * u64::from(count),
        mean: Duration::from_millis(u64::from(service_ms)),
        servers,
    })
}
