//! Carries out a plan on a running fleet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

use crate::gateway::{self, Fleet, eventually};
use crate::process::Ready;
use crate::soak::caller::{self, Shared};
use crate::soak::check::{Departure, Evidence, Span, Subject};
use crate::soak::plan::{self, Step};

/// The run could not be carried out. This says nothing about the promises.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the soak can't be run")]
pub struct Error;

/// Result of a step.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Bound for a change of the configuration, and for a leaving server to get its
/// last request.
pub const BOUND: Duration = Duration::from_secs(2);

/// Time after the end of all faults within which everything is served again.
pub const RECOVERY: Duration = Duration::from_secs(8);

/// Period in which ends of faults are looked for.
const LOOK: Duration = Duration::from_millis(10);

/// What is to be done later.
enum Later {
    Start(usize),
    StartWhenEnded(usize),
    Thaw(usize, Instant),
    StoreWell(Instant, Option<usize>),
    Open(Option<usize>, Instant),
    Well(usize),
    Back(usize),
    CountLast(usize, Instant),
    Announce(u64, Instant),
}

struct Soak {
    fleet: Fleet,
    shared: Arc<Shared>,
    later: Vec<(Instant, Later)>,
    routes: BTreeMap<String, Value>,
    /// Hosts that are being stopped, and backend servers that have left.
    stopping: Vec<bool>,
    left: Vec<bool>,
    spans: Vec<Span>,
    departures: Vec<Departure>,
}

/// Runs the plan of `settings` and returns what was seen.
pub fn run(settings: &plan::Settings) -> Result<Evidence> {
    let fleet = Fleet::start(gateway::Settings {
        hosts: settings.hosts,
        upstreams: settings.upstreams,
        has_relays: true,
        ..gateway::Settings::default()
    })
    .change_context(Error)?;
    let hosts = || 0..settings.hosts;
    let shared = Shared::new(
        hosts().map(|host| fleet.caller_address(host)).collect(),
        hosts().map(|host| fleet.ready_address(host)).collect(),
    );
    let mut soak = Soak {
        shared: Arc::clone(&shared),
        later: Vec::new(),
        routes: BTreeMap::new(),
        stopping: vec![false; settings.hosts],
        left: vec![false; settings.upstreams],
        spans: Vec::new(),
        departures: Vec::new(),
        fleet,
    };
    let (callers, seed) = (settings.callers, settings.seed);
    let result = thread::scope(|scope| {
        scope.spawn(|| caller::check_readiness(&shared));
        for number in 0..callers {
            let shared = &shared;
            scope.spawn(move || caller::send_requests(shared, number, seed));
        }
        let result = soak.carry_out(&plan::steps(settings));
        shared.stopped.store(true, Ordering::Relaxed);
        result
    });
    let unserved = result?;
    let record = soak.fleet.record().change_context(Error)?;
    let logs = soak.logs();
    Ok(Evidence {
        exchanges: shared.exchanges(),
        record: record.entries,
        spans: soak.spans,
        departures: soak.departures,
        unserved,
        logs,
    })
}

impl Soak {
    fn carry_out(&mut self, steps: &[(Duration, Step)]) -> Result<Vec<String>> {
        let start = Instant::now();
        for (at, step) in steps {
            self.wait_until(start + *at)?;
            log::info!("{:.2} s: {step:?}", start.elapsed().as_secs_f64());
            self.apply(step)?;
        }
        while !self.later.is_empty() {
            self.wait_until(Instant::now() + LOOK)?;
        }
        self.recover()
    }

    /// Does what is due until `until`.
    fn wait_until(&mut self, until: Instant) -> Result<()> {
        loop {
            let now = Instant::now();
            let due = std::mem::take(&mut self.later);
            for (at, action) in due {
                if at > now {
                    self.later.push((at, action));
                } else {
                    self.finish(action)?;
                }
            }
            if now >= until {
                return Ok(());
            }
            thread::sleep(LOOK.min(until - now));
        }
    }

    fn after(&mut self, wait: Duration, action: Later) {
        self.later.push((Instant::now() + wait, action));
    }

    fn span(&mut self, subject: Subject, from: Instant) {
        let until = Instant::now();
        self.spans.push(Span {
            subject,
            from,
            until,
        });
    }

    fn apply(&mut self, step: &Step) -> Result<()> {
        let now = Instant::now();
        match step {
            Step::Kill { host, downtime } => self.kill(*host, *downtime),
            Step::KillAll { downtime } => {
                for host in 0..self.fleet.hosts.len() {
                    self.kill(host, *downtime);
                }
            }
            Step::Stop { host } => {
                if let Some(process) = &self.fleet.hosts[*host]
                    && !self.stopping[*host]
                {
                    process.terminate().change_context(Error)?;
                    self.stopping[*host] = true;
                    self.after(LOOK, Later::StartWhenEnded(*host));
                }
            }
            Step::Suspend { host, duration } => {
                if let Some(process) = &self.fleet.hosts[*host] {
                    process.suspend().change_context(Error)?;
                    self.after(*duration, Later::Thaw(*host, now));
                }
            }
            Step::Hangup { host } => {
                if let Some(process) = &self.fleet.hosts[*host] {
                    let id = Pid::from_raw(process.id() as i32);
                    kill(id, Signal::SIGHUP).change_context(Error)?;
                }
            }
            Step::Store {
                fault,
                only,
                duration,
            } => {
                let mut fault = fault.clone();
                if let Some(host) = only {
                    fault["hosts"] = json!([self.fleet.ip(*host)]);
                }
                self.fleet.set_store_fault(&fault).change_context(Error)?;
                self.after(*duration, Later::StoreWell(now, *only));
            }
            Step::Compact => self.fleet.compact().change_context(Error)?,
            Step::Link {
                upstream,
                change,
                duration,
            } => {
                self.fleet
                    .set_link(*upstream, change)
                    .change_context(Error)?;
                self.after(*duration, Later::Open(*upstream, now));
            }
            Step::Fault {
                upstream,
                fault,
                duration,
            } => {
                self.fleet
                    .set_fault(&[*upstream], fault)
                    .change_context(Error)?;
                self.after(*duration, Later::Well(*upstream));
            }
            Step::Leave {
                upstream,
                is_removed,
                duration,
            } => self.leave(*upstream, *is_removed, *duration)?,
            Step::Configure => self.configure()?,
        }
        Ok(())
    }

    fn kill(&mut self, host: usize, downtime: Duration) {
        let now = Instant::now();
        if let Some(process) = self.fleet.hosts[host].take() {
            process.kill();
            self.stopping[host] = false;
            self.after(downtime, Later::Start(host));
            self.span(Subject::Host(host), now);
        }
    }

    fn leave(&mut self, upstream: usize, is_removed: bool, duration: Duration) -> Result<()> {
        let gone = self.left.iter().filter(|left| **left).count();
        if self.left[upstream] || 2 * (gone + 1) > self.left.len() {
            return Ok(());
        }
        self.left[upstream] = true;
        if is_removed {
            self.fleet.unregister(upstream).change_context(Error)?;
        } else {
            let written = self.fleet.register(upstream, "draining");
            written.change_context(Error)?;
        }
        self.after(BOUND, Later::CountLast(upstream, Instant::now()));
        self.after(duration, Later::Back(upstream));
        Ok(())
    }

    fn configure(&mut self) -> Result<()> {
        // The version is known only after the write; its route is named before.
        let next = self.fleet.version() + gateway::VERSION_STEP;
        self.routes.insert(caller::added_prefix(next), json!({}));
        let routes = serde_json::to_value(&self.routes).change_context(Error)?;
        let version = self.fleet.configure(&routes).change_context(Error)?;
        self.after(BOUND, Later::Announce(version, Instant::now()));
        Ok(())
    }

    fn finish(&mut self, action: Later) -> Result<()> {
        match action {
            Later::Start(host) => self.start(host)?,
            Later::StartWhenEnded(host) => {
                let Some(process) = &mut self.fleet.hosts[host] else {
                    return Ok(());
                };
                if process.exit_status().is_some() {
                    self.stopping[host] = false;
                    self.start(host)?;
                } else {
                    self.after(LOOK, Later::StartWhenEnded(host));
                }
            }
            Later::Thaw(host, from) => {
                // It may have been killed and started anew meanwhile.
                if let Some(process) = &self.fleet.hosts[host] {
                    process.resume().change_context(Error)?;
                }
                self.span(Subject::Host(host), from);
            }
            Later::StoreWell(from, only) => {
                self.fleet
                    .set_store_fault(&json!({}))
                    .change_context(Error)?;
                self.span(only.map_or(Subject::Store, Subject::Host), from);
            }
            Later::Open(upstream, from) => {
                let open = json!({"forward": "open", "backward": "open", "delay_ms": 0});
                self.fleet.set_link(upstream, &open).change_context(Error)?;
                if upstream.is_none() {
                    self.span(Subject::Store, from);
                }
            }
            Later::Well(upstream) => self
                .fleet
                .set_fault(&[upstream], &json!({"kind": "clear"}))
                .change_context(Error)?,
            Later::Back(upstream) => {
                if let Some(departure) = self.open_departure(upstream) {
                    departure.until = Some(Instant::now());
                }
                self.left[upstream] = false;
                let written = self.fleet.register(upstream, "ready");
                written.change_context(Error)?;
            }
            Later::CountLast(upstream, from) => {
                let record = self.fleet.record().change_context(Error)?;
                self.departures.push(Departure {
                    upstream,
                    from,
                    last_number: record.last,
                    return_number: None,
                    until: None,
                });
            }
            Later::Announce(version, from) => {
                let announced = Span {
                    subject: Subject::Store,
                    from,
                    until: Instant::now(),
                };
                if !announced.overlaps_any(&self.spans, None) && self.is_store_well() {
                    self.shared.added_version.store(version, Ordering::Relaxed);
                }
            }
        }
        Ok(())
    }

    /// Whether no fault of the store is in force.
    fn is_store_well(&self) -> bool {
        !self
            .later
            .iter()
            .any(|(_, action)| matches!(action, Later::StoreWell(..) | Later::Open(None, _)))
    }

    fn open_departure(&mut self, upstream: usize) -> Option<&mut Departure> {
        // Requests until now count; the record is read before the server is back.
        let last = self.fleet.record().ok()?.last;
        let mut departures = self.departures.iter_mut().rev();
        let departure = departures.find(|departure| departure.upstream == upstream)?;
        departure.return_number = Some(last);
        Some(departure)
    }

    fn start(&mut self, host: usize) -> Result<()> {
        let from = Instant::now();
        self.fleet
            .start_host_until(host, &Ready::Started)
            .change_context(Error)?;
        self.spans.push(Span {
            subject: Subject::Host(host),
            from,
            until: from,
        });
        Ok(())
    }

    /// Waits until everything is served again; returns what is not.
    fn recover(&mut self) -> Result<Vec<String>> {
        let hosts = 0..self.fleet.hosts.len();
        let ready = eventually(RECOVERY, || {
            hosts.clone().all(|host| self.fleet.is_ready(host))
        });
        let mut unserved = Vec::new();
        if !ready {
            unserved.push("a host is not ready after the end of all faults".to_owned());
        }
        for host in hosts {
            let fleet = &mut self.fleet;
            let served = eventually(RECOVERY, || {
                fleet.send(host, "POST", "/order/1", b"order").status == Some(200)
            });
            if !served {
                unserved.push(format!(
                    "host {host} serves no order after the end of all faults"
                ));
            }
        }
        Ok(unserved)
    }

    fn logs(&self) -> Vec<String> {
        let processes = self.fleet.hosts.iter().flatten();
        processes.map(|process| process.output()).collect()
    }
}
