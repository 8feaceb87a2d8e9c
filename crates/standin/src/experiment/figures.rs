//! Figures of one run.

use std::{
    collections::{BTreeMap, HashMap},
    time::Instant,
};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    backend::record,
    caller::result,
    check,
    experiment::{
        deployment::{Daemon, Deployment, Service},
        list, measure, string, usage,
    },
};

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
pub(super) struct Counters {
    pub(super) status: Value,
    pub(super) cpu: f64,
}

pub(super) fn counters(daemon: &Daemon) -> Option<Counters> {
    Some(Counters {
        cpu: usage::process(daemon.process.as_ref()?.id())?,
        status: daemon.status(),
    })
}

/// What happened during the load, on the clock of the main service's record.
#[derive(Default)]
pub(super) struct Happened {
    pub(super) servers: Vec<usize>,
    pub(super) avoid: bool,
    pub(super) class: Option<String>,
    pub(super) at_ms: f64,
    pub(super) in_force: Option<f64>,
    pub(super) left: Option<Instant>,
}

impl Run {
    pub(super) fn add_service(
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
    pub(super) fn add_ejections(
        &mut self,
        deployment: &Deployment,
        happened: &Happened,
        seconds: f64,
    ) {
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

    pub(super) fn add_counters(
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

    pub(super) fn add_cost(&mut self, text: &Value) {
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
