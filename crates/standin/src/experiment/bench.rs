//! One run of a scenario and its figures.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use error_stack::Report;
use serde_json::json;

use crate::{
    client,
    experiment::{
        Error,
        deployment::{Daemon, Deployment, Options},
        figures, interrupt, list, load, scenario, string, usage,
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

/// Deployment, class, slots of its service and mean service time in seconds.
pub type Queue = (String, String, u64, f64);

/// Runs a scenario once. Returns its figures and the queue of each class.
pub fn run(
    scenario: &scenario::Scenario,
    settings: &Settings,
) -> Result<(figures::Run, Vec<Queue>), Report<Error>> {
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
    let before: Vec<_> = deployment.daemons.iter().map(figures::counters).collect();
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
    let after: Vec<_> = deployment.daemons.iter().map(figures::counters).collect();
    let seconds = start.elapsed().as_secs_f64();
    let results = loads
        .into_iter()
        .map(load::Running::join)
        .collect::<Result<Vec<_>, _>>()?;
    if interrupt::is_set() {
        return Err(Report::new(Error::Interrupted));
    }
    let mut run = figures::Run {
        deployment: name(&settings.text),
        policy: settings.policy.to_owned(),
        seed: settings.seed,
        load_average,
        machine_idle,
        in_force_seconds: happened.in_force,
        slots_granted: granted,
        ..figures::Run::default()
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

fn act(
    event: &scenario::Event,
    deployment: &mut Deployment,
) -> Result<figures::Happened, Report<Error>> {
    let main = deployment.service(false)?;
    let mut happened = figures::Happened::default();
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
                process.suspend().map_err(fail)?;
                let slept = interrupt::sleep_until(Instant::now() + FROZEN);
                process.resume().map_err(fail)?;
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
