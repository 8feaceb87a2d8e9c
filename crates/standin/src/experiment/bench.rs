//! One run of a scenario and its figures.

use std::{
    collections::{BTreeMap, HashMap},
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use error_stack::Report;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{
    backend::record,
    caller::result,
    check, client,
    experiment::{
        Error,
        deployment::{Daemon, Deployment, Options, Service},
        interrupt, list, load, measure, scenario, string, usage,
    },
};

/// Body of an upload.
const UPLOAD_BYTES: u64 = 1_000_000;

/// Time of the event after the first arrival; the rate until then is the usual
/// one.
const EVENT_AT: Duration = Duration::from_secs(4);

/// How long a frozen daemon stands still.
const FROZEN: Duration = Duration::from_secs(5);

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Operators' text.
    pub text: PathBuf,
    /// Daemons.
    pub daemons: u16,
    /// Daemon setting `policy`.
    pub policy: &'static str,
    /// Length of the arrivals.
    pub length: Duration,
    /// Seed of arrivals and servers.
    pub seed: u64,
}

/// Figures of a class in one run.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Class {
    /// Requests sent.
    pub sent: u64,
    /// Own and whole answers.
    pub whole: u64,
    /// Failures by kind.
    pub failed: BTreeMap<String, u64>,
    /// Wrong answers and requests of which the caller can't know whether they
    /// ran.
    pub wrong_or_unproven: u64,
    /// Requests that began more than once.
    pub run_twice: u64,
    /// Whether they may.
    pub repeatable: bool,
    /// Milliseconds beyond the service time of the last attempt.
    pub added_p50_ms: Option<f64>,
    /// The same at p99.
    pub added_p99_ms: Option<f64>,
    /// The same at p99.9.
    pub added_p999_ms: Option<f64>,
    /// Detection time of each faulty server.
    pub detection: Vec<measure::Detection>,
    /// Ejections of servers without a fault. One daemon of n that ejects for
    /// itself counts 1/n.
    pub false_ejections: f64,
    /// False ejections and detection time with the declared weights.
    pub cost: f64,
}

/// Figures of one run.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Run {
    /// Name of the text.
    pub deployment: String,
    /// Daemon setting `policy`.
    pub policy: String,
    /// Seed of arrivals and servers.
    pub seed: u64,
    /// Load average before the run.
    pub load_average: f64,
    /// Idle share of the machine during the load.
    pub machine_idle: f64,
    /// Arrivals not sent; with any, latencies are understated.
    pub not_sent: u64,
    /// Figures by class.
    pub classes: BTreeMap<String, Class>,
    /// False ejections per hour and server without a fault.
    pub false_ejections_per_server_hour: f64,
    /// Log lines of ejections of servers without a fault.
    pub false_ejection_lines: u64,
    /// Share of the slots of each service that were in use.
    pub slots_used: BTreeMap<String, f64>,
    /// Share of the slots of each service that its coordinator counts as
    /// granted: beyond those in use, slots wait for the first byte of an
    /// attempt or for the report of its end.
    pub slots_granted: BTreeMap<String, f64>,
    /// Attempts divided by requests, of the daemons that lived to the end.
    pub attempts_per_request: f64,
    /// Placements without the coordinator.
    pub fallbacks: u64,
    /// Control bytes per second sent and received: mean and largest of the
    /// daemons.
    pub control_bytes_per_second: (f64, f64),
    /// Share of a core: mean and largest of the daemons.
    pub cpu: (f64, f64),
    /// Seconds until the text was in force on all daemons after an edit.
    pub in_force_seconds: Option<f64>,
    /// Seconds from the accepted edit to the last request on the server that
    /// leaves.
    pub leaving_seconds: Option<f64>,
    /// Number of log lines of the daemons by `event`.
    pub events: BTreeMap<String, u64>,
    /// Broken requirements.
    pub findings: Vec<String>,
    /// Latencies by class, for the plot.
    #[serde(skip)]
    pub latencies: BTreeMap<String, result::Latency>,
}

/// Counters of a daemon at one time.
struct Counters {
    status: Value,
    cpu: f64,
}

fn counters(daemon: &Daemon) -> Option<Counters> {
    Some(Counters {
        cpu: usage::process(daemon.process.as_ref()?.id())?,
        status: daemon.status(),
    })
}

/// What happened during the load, on the clock of the main service's record.
#[derive(Default)]
struct Happened {
    servers: Vec<usize>,
    avoid: bool,
    class: Option<String>,
    at_ms: f64,
    in_force: Option<f64>,
    left: Option<Instant>,
}

/// Deployment, class, slots of its service and mean service time in seconds.
pub type Queue = (String, String, u64, f64);

/// Runs a scenario once. Returns its figures and the queue of each class.
pub fn run(
    scenario: &scenario::Scenario,
    settings: &Settings,
) -> Result<(Run, Vec<Queue>), Report<Error>> {
    let load_average = usage::load_average();
    let mut deployment = Deployment::start(&Options {
        text: settings.text.clone(),
        daemons: settings.daemons,
        policy: settings.policy,
        seed: settings.seed,
        ..Options::default()
    })?;
    let (targets, admins) = deployment.addresses();
    let mut loads = Vec::new();
    let before: Vec<_> = deployment.daemons.iter().map(counters).collect();
    let machine = usage::Machine::read();
    let start = Instant::now();
    for service in &deployment.services {
        let kinds = load::kinds(&deployment.text, &service.name, UPLOAD_BYTES);
        let rate = scenario.load * service.slots as f64 / service.mean.as_secs_f64();
        let seed = settings.seed;
        let admins = admins.clone();
        let targets = targets.clone();
        let load = load::settings(targets, admins, kinds, rate, settings.length, seed);
        loads.push(load::start(load));
    }
    interrupt::sleep_until(start + EVENT_AT)?;
    let happened = act(&scenario.event, &mut deployment)?;
    let granted = sample_granted(&deployment, start + settings.length)?;
    let machine_idle = usage::Machine::read().idle_since(&machine);
    let after: Vec<_> = deployment.daemons.iter().map(counters).collect();
    let seconds = start.elapsed().as_secs_f64();
    let results = loads
        .into_iter()
        .map(load::Running::join)
        .collect::<Result<Vec<_>, _>>()?;
    if interrupt::is_set() {
        return Err(Report::new(Error::Interrupted));
    }
    let mut run = Run {
        deployment: name(&settings.text),
        policy: settings.policy.to_owned(),
        seed: settings.seed,
        load_average,
        machine_idle,
        in_force_seconds: happened.in_force,
        slots_granted: granted,
        ..Run::default()
    };
    for (service, results) in deployment.services.iter().zip(&results) {
        let record = service.record()?.entries;
        run.add_service(
            &deployment.text,
            service,
            &record,
            results,
            seconds,
            &happened,
        );
    }
    run.add_ejections(&deployment, &happened, seconds);
    run.add_counters(&before, &after, seconds);
    run.add_cost(&deployment.text);
    let mut queues = Vec::new();
    for service in &deployment.services {
        for kind in load::kinds(&deployment.text, &service.name, UPLOAD_BYTES) {
            let mean = service.mean.as_secs_f64();
            queues.push((run.deployment.clone(), kind.name, service.slots, mean));
        }
    }
    deployment.stop(Duration::from_secs(15));
    Ok((run, queues))
}

/// Name of a deployment: of its text without the ending.
pub fn name(text: &Path) -> String {
    text.file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned()
}

/// Mean share of granted slots by service, looked at once a second.
fn sample_granted(
    deployment: &Deployment,
    until: Instant,
) -> Result<BTreeMap<String, f64>, Report<Error>> {
    let mut samples: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    loop {
        let next = Instant::now() + Duration::from_secs(1);
        if next >= until {
            interrupt::sleep_until(until)?;
            break;
        }
        for service in &deployment.services {
            let coordinator = deployment.coordinator(&service.name);
            let Some(daemon) = coordinator.map(|number| &deployment.daemons[number]) else {
                continue;
            };
            let rows = client::get(&daemon.admin, "/upstreams").map(|answer| answer.json());
            let rows = rows.unwrap_or_default();
            // One row for each upstream and class, all with the same slots.
            let in_use: BTreeMap<&str, u64> = rows
                .as_array()
                .into_iter()
                .flatten()
                .filter(|row| string(row, "service") == service.name)
                .map(|row| (string(row, "upstream"), row["in_use"].as_u64().unwrap_or(0)))
                .collect();
            if !in_use.is_empty() {
                let share = in_use.values().sum::<u64>() as f64 / service.slots as f64;
                samples.entry(service.name.clone()).or_default().push(share);
            }
        }
        interrupt::sleep_until(next)?;
    }
    let mean = |shares: Vec<f64>| shares.iter().sum::<f64>() / shares.len() as f64;
    Ok(samples
        .into_iter()
        .map(|(name, shares)| (name, mean(shares)))
        .collect())
}

fn act(event: &scenario::Event, deployment: &mut Deployment) -> Result<Happened, Report<Error>> {
    let main = deployment.service(false)?;
    let mut happened = Happened::default();
    match event {
        scenario::Event::None => {}
        scenario::Event::Servers {
            servers,
            one_class,
            fault,
            avoid,
        } => {
            happened.servers = servers.numbers(&main.zones);
            happened.avoid = *avoid;
            if *one_class {
                let classes = list(&deployment.text, "classes").iter();
                let mut classes = classes.filter(|class| class["repeatable"] == false);
                happened.class = classes.next().map(|c| string(c, "name").to_owned());
            }
            happened.at_ms = main.fault(&happened.servers, happened.class.as_deref(), fault)?;
        }
        scenario::Event::KillCoordinator => {
            let coordinator = deployment.coordinator(&main.name).unwrap_or(0);
            kill(deployment, coordinator);
        }
        scenario::Event::KillDaemon => {
            let idle = |d: &Daemon| list(&d.status(), "coordinator_of").is_empty();
            let daemon = deployment.daemons.iter().position(idle).unwrap_or(0);
            kill(deployment, daemon);
        }
        scenario::Event::FreezeDaemon => {
            let daemon = deployment.daemons.first();
            if let Some(process) = daemon.and_then(|daemon| daemon.process.as_ref()) {
                let fail = |_| Report::new(Error::Call("signal".to_owned()));
                process.freeze().map_err(fail)?;
                let slept = interrupt::sleep_until(Instant::now() + FROZEN);
                process.thaw().map_err(fail)?;
                slept?;
            }
        }
        scenario::Event::Leave => {
            // No fault, and a call that changes nothing gives the record's time.
            let clear = json!({"kind": "clear"});
            let services = deployment.text["services"].as_array_mut();
            for service in services.into_iter().flatten() {
                if string(service, "name") == deployment.services[0].name {
                    service["upstreams"][0]["leaving"] = json!(true);
                }
            }
            deployment.apply(1)?;
            let accepted = Instant::now();
            happened.at_ms = deployment.services[0].fault(&[0], None, &clear)?;
            happened.left = Some(accepted);
            deployment.wait("the edit is in force", |deployment| {
                let daemons = &deployment.daemons;
                daemons.iter().all(|daemon| daemon.status()["version"] == 2)
            })?;
            happened.in_force = Some(accepted.elapsed().as_secs_f64());
        }
    }
    Ok(happened)
}

fn kill(deployment: &mut Deployment, daemon: usize) {
    if let Some(process) = deployment.daemons[daemon].process.take() {
        process.kill();
        // Connections to the process end before the next event is looked at.
        thread::yield_now();
    }
}

impl Run {
    fn add_service(
        &mut self,
        text: &Value,
        service: &Service,
        record: &[record::Entry],
        results: &result::Results,
        seconds: f64,
        happened: &Happened,
    ) {
        let first = record.first().map_or(0.0, |entry| entry.start_ms);
        let end = first + seconds * 1e3;
        let busy: f64 = record
            .iter()
            .map(|entry| (entry.end_ms.unwrap_or(end).min(end) - entry.start_ms).max(0.0))
            .sum();
        let used = busy / 1e3 / seconds / service.slots as f64;
        self.slots_used.insert(service.name.clone(), used);
        self.not_sent += results.not_sent;
        let added = measure::added(record, results);
        let twice = measure::repeated(record);
        for (name, kind) in &results.kinds {
            let quantile = |q| measure::quantile(added.get(name)?, q);
            let failing = happened.class.as_ref().is_none_or(|class| class == name);
            let detection = if !service.upload && happened.avoid && failing {
                detections(record, name, happened, first, end)
            } else {
                Vec::new()
            };
            let class = Class {
                sent: kind.sent,
                whole: kind.whole,
                failed: kind.failed.clone(),
                wrong_or_unproven: kind.unproven + kind.wrong.values().sum::<u64>(),
                run_twice: twice.get(name).copied().unwrap_or(0),
                repeatable: kind.repeatable,
                added_p50_ms: quantile(0.5),
                added_p99_ms: quantile(0.99),
                added_p999_ms: quantile(0.999),
                detection,
                ..Class::default()
            };
            self.classes.insert(name.clone(), class);
            self.latencies.insert(name.clone(), kind.latency.clone());
        }
        if happened.left.is_some() && string(&text["services"][0], "name") == service.name {
            let on = record.iter().filter(|entry| entry.server == 0);
            let last = on.map(|entry| entry.start_ms).fold(0.0, f64::max);
            self.leaving_seconds = Some((last - happened.at_ms).max(0.0) / 1e3);
        }
        let findings = check::check(record, results);
        let findings = findings
            .iter()
            .filter_map(|f| serde_json::to_string(f).ok());
        self.findings.extend(findings);
    }

    /// Ejections from the daemons' logs.
    fn add_ejections(&mut self, deployment: &Deployment, happened: &Happened, seconds: f64) {
        let faulty: Vec<&str> = deployment
            .services
            .iter()
            .filter(|service| !service.upload)
            .flat_map(|service| happened.servers.iter().map(|n| service.names[*n].as_str()))
            .collect();
        let alone = self.policy == "baseline";
        let weight = if alone {
            1.0 / deployment.daemons.len() as f64
        } else {
            1.0
        };
        let outputs = deployment.daemons.iter().filter_map(|d| d.process.as_ref());
        let mut total = 0.0;
        for output in outputs.map(|process| process.output()) {
            for line in output.lines() {
                let line: Value = serde_json::from_str(line).unwrap_or_default();
                if let Some(event) = line["event"].as_str() {
                    *self.events.entry(event.to_owned()).or_default() += 1;
                }
                // An upstream whose classes are all ejected was counted with
                // each of them.
                if line["event"] != "ejected"
                    || string(&line, "cause").contains("Classes")
                    || faulty.contains(&string(&line, "upstream"))
                {
                    continue;
                }
                total += weight;
                self.false_ejection_lines += 1;
                let costly = ejected_class(&deployment.text, &line);
                if let Some(class) = costly.and_then(|name| self.classes.get_mut(&name)) {
                    class.false_ejections += weight;
                }
            }
        }
        let servers: usize = deployment.services.iter().map(|s| s.servers.len()).sum();
        let hours = (servers - faulty.len()) as f64 * seconds / 3600.0;
        self.false_ejections_per_server_hour = if hours > 0.0 { total / hours } else { 0.0 };
    }

    fn add_counters(
        &mut self,
        before: &[Option<Counters>],
        after: &[Option<Counters>],
        seconds: f64,
    ) {
        let counter = |counters: &Counters, name: &str| {
            counters.status["counters"][name].as_f64().unwrap_or(0.0)
        };
        let pairs: Vec<_> = before
            .iter()
            .zip(after)
            .filter_map(|(b, a)| b.as_ref().zip(a.as_ref()))
            .collect();
        let sum = |name: &str| -> f64 {
            pairs
                .iter()
                .map(|(b, a)| counter(a, name) - counter(b, name))
                .sum()
        };
        self.attempts_per_request = sum("attempts") / sum("requests").max(1.0);
        self.fallbacks = sum("fallbacks").max(0.0) as u64;
        let summary = |each: &dyn Fn(&Counters, &Counters) -> f64| {
            let values: Vec<f64> = pairs.iter().map(|(b, a)| each(b, a) / seconds).collect();
            let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
            (mean, values.into_iter().fold(0.0, f64::max))
        };
        let bytes = |counters: &Counters| {
            counter(counters, "control_bytes_sent") + counter(counters, "control_bytes_received")
        };
        self.control_bytes_per_second = summary(&|b, a| bytes(a) - bytes(b));
        self.cpu = summary(&|b, a| a.cpu - b.cpu);
    }

    fn add_cost(&mut self, text: &Value) {
        for declared in list(text, "classes") {
            let Some(class) = self.classes.get_mut(string(declared, "name")) else {
                continue;
            };
            let weight = |field: &str| declared[field].as_f64().unwrap_or(0.0);
            class.cost = measure::cost(
                class.false_ejections,
                weight("false_ejection_cost"),
                class.detection.iter().map(|found| found.seconds).sum(),
                weight("detection_second_cost"),
            );
        }
    }
}

/// The class of an ejection, or the class of the service with the highest cost
/// if the whole upstream was ejected.
fn ejected_class(text: &Value, line: &Value) -> Option<String> {
    if let Some(class) = line["class"].as_str() {
        return Some(class.to_owned());
    }
    let service = string(line, "service");
    let routes = list(text, "routes").iter();
    let of_service: Vec<_> = routes
        .filter(|route| string(route, "service") == service)
        .map(|route| string(route, "class"))
        .collect();
    let cost = |class: &&Value| class["false_ejection_cost"].as_u64();
    list(text, "classes")
        .iter()
        .filter(|class| of_service.contains(&string(class, "name")))
        .max_by_key(cost)
        .map(|class| string(class, "name").to_owned())
}

fn detections(
    record: &[record::Entry],
    class: &str,
    happened: &Happened,
    first: f64,
    end: f64,
) -> Vec<measure::Detection> {
    let mut begins: HashMap<usize, Vec<f64>> = HashMap::new();
    for entry in record.iter().filter(|entry| entry.class == class) {
        begins.entry(entry.server).or_default().push(entry.start_ms);
    }
    // The usual rate of a class is that of all servers until the fault: a
    // single server has too few requests of rare classes to tell.
    let usual = begins
        .values()
        .flatten()
        .filter(|begin| **begin < happened.at_ms)
        .count();
    let passed = ((happened.at_ms - first) / 1e3).max(1e-3);
    let rate = usual as f64 / passed / begins.len().max(1) as f64;
    happened
        .servers
        .iter()
        .map(|server| {
            let begins = begins.get(server).map_or(&[][..], Vec::as_slice);
            measure::detection(begins, happened.at_ms, rate, end)
        })
        .collect()
}
