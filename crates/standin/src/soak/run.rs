//! Executes a plan on a running fleet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

use crate::capacity::usage;
use crate::gateway::{self, Fleet, eventually};
use crate::process::Ready;
use crate::soak::caller::{self, Shared};
use crate::soak::check::{Departure, Evidence, Link, Span, Start, Subject};
use crate::soak::plan::{Plan, Step};

/// The run could not be executed. It says nothing about the guarantees.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the soak can't be run")]
pub struct Error;

/// Result of a step.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Time within which all daemons apply a new configuration, and within which a
/// leaving server gets its last request.
pub const BOUND: Duration = Duration::from_secs(2);

/// Time after the end of all faults within which all requests are served again.
pub const RECOVERY: Duration = Duration::from_secs(8);

/// Interval at which due actions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which the memory of the daemons is read.
const MEASURE_INTERVAL: Duration = Duration::from_millis(200);

/// An action that is executed later.
enum Action {
    Start(usize),
    StartAfterExit(usize),
    Resume(usize, Instant),
    ClearStoreFault(Instant, Option<usize>),
    OpenLink(Option<usize>, Instant),
    ClearFault(usize),
    Register(usize),
    RecordDeparture(usize, Instant),
    StartAnew(usize),
    AnnounceRoute(u64, Instant),
}

struct Soak {
    fleet: Fleet,
    shared: Arc<Shared>,
    scheduled: Vec<(Instant, Action)>,
    routes: BTreeMap<String, Value>,
    /// Whether each daemon got SIGTERM and has not exited.
    is_stopping: Vec<bool>,
    /// Whether each backend server has left.
    has_left: Vec<bool>,
    spans: Vec<Span>,
    departures: Vec<Departure>,
    /// Logs of each daemon's processes that have ended.
    past_logs: Vec<String>,
    /// Whether each backend server says that it is leaving.
    says_leaving: Vec<bool>,
    starts: Vec<Start>,
    links: Vec<Link>,
    faults: Vec<Link>,
    /// Most memory that each daemon had, in bytes.
    peaks: Vec<u64>,
    /// When memory was last read.
    measured: Instant,
}

/// Runs `plan` and returns the observations.
pub fn run(plan: &Plan) -> Result<Evidence> {
    let settings = &plan.settings;
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
        scheduled: Vec::new(),
        routes: BTreeMap::new(),
        is_stopping: vec![false; settings.hosts],
        has_left: vec![false; settings.upstreams],
        spans: Vec::new(),
        departures: Vec::new(),
        past_logs: vec![String::new(); settings.hosts],
        says_leaving: vec![false; settings.upstreams],
        starts: Vec::new(),
        links: Vec::new(),
        faults: Vec::new(),
        peaks: vec![0; settings.hosts],
        measured: Instant::now(),
        fleet,
    };
    let (callers, seed) = (settings.callers, settings.seed);
    let result = thread::scope(|scope| {
        scope.spawn(|| caller::check_readiness(&shared));
        for number in 0..callers {
            let shared = &shared;
            scope.spawn(move || caller::send_requests(shared, number, seed));
        }
        let result = soak.execute(&plan.steps);
        shared.stopped.store(true, Ordering::Relaxed);
        result
    });
    let unserved = result?;
    let record = soak.fleet.record().change_context(Error)?;
    let (arrivals, counted_from) = soak.fleet.arrivals().change_context(Error)?;
    let logs = soak.logs();
    Ok(Evidence {
        exchanges: shared.exchanges(),
        record: record.entries,
        spans: soak.spans,
        departures: soak.departures,
        starts: soak.starts,
        links: soak.links,
        faults: soak.faults,
        memory_limit: u64::from(soak.fleet.settings().memory_mb) * 1_000_000,
        peaks: soak.peaks,
        arrivals,
        counted_from,
        unserved,
        logs,
    })
}

impl Soak {
    fn execute(&mut self, steps: &[(Duration, Step)]) -> Result<Vec<String>> {
        let start = Instant::now();
        for (at, step) in steps {
            self.wait_until(start + *at)?;
            log::info!("{:.2} s: {step:?}", start.elapsed().as_secs_f64());
            self.apply(step)?;
        }
        while !self.scheduled.is_empty() {
            self.wait_until(Instant::now() + POLL_INTERVAL)?;
        }
        self.recover()
    }

    /// Executes due actions until `until`.
    fn wait_until(&mut self, until: Instant) -> Result<()> {
        loop {
            let now = Instant::now();
            let due = std::mem::take(&mut self.scheduled);
            for (at, action) in due {
                if at > now {
                    self.scheduled.push((at, action));
                } else {
                    self.finish(action)?;
                }
            }
            if now >= self.measured + MEASURE_INTERVAL {
                self.measure_memory();
                self.measured = now;
            }
            if now >= until {
                return Ok(());
            }
            thread::sleep(POLL_INTERVAL.min(until - now));
        }
    }

    fn measure_memory(&mut self) {
        for (host, peak) in self.fleet.hosts.iter().zip(&mut self.peaks) {
            let used = host.as_ref().and_then(|process| usage::read(process.id()));
            *peak = used.map_or(*peak, |usage| usage.peak.max(*peak));
        }
    }

    fn schedule(&mut self, delay: Duration, action: Action) {
        self.scheduled.push((Instant::now() + delay, action));
    }

    fn end_span(&mut self, subject: Subject, from: Instant) {
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
                    && !self.is_stopping[*host]
                {
                    process.terminate().change_context(Error)?;
                    self.is_stopping[*host] = true;
                    self.schedule(POLL_INTERVAL, Action::StartAfterExit(*host));
                }
            }
            Step::Suspend { host, duration } => {
                if let Some(process) = &self.fleet.hosts[*host] {
                    process.suspend().change_context(Error)?;
                    self.schedule(*duration, Action::Resume(*host, now));
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
                self.schedule(*duration, Action::ClearStoreFault(now, *only));
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
                self.schedule(*duration, Action::OpenLink(*upstream, now));
            }
            Step::Fault {
                upstream,
                fault,
                duration,
            } => {
                self.fleet
                    .set_fault(&[*upstream], fault)
                    .change_context(Error)?;
                self.faults.push(Link {
                    upstream: *upstream,
                    from: now,
                    until: now + *duration,
                });
                self.schedule(*duration, Action::ClearFault(*upstream));
            }
            Step::Leave {
                upstream,
                is_removed,
                duration,
            } => self.leave(*upstream, *is_removed, *duration)?,
            Step::Configure => self.configure()?,
            Step::SayLeaving { upstream, duration } => self.say_leaving(*upstream, *duration)?,
            Step::AskForTime {
                upstream,
                retry_after,
                duration,
            } => {
                let fault = json!({
                    "kind": "shed", "share": 0.5, "retry_after": retry_after.as_secs_f64(),
                });
                self.fleet
                    .set_fault(&[*upstream], &fault)
                    .change_context(Error)?;
                self.schedule(*duration, Action::ClearFault(*upstream));
            }
        }
        Ok(())
    }

    fn kill(&mut self, host: usize, downtime: Duration) {
        let now = Instant::now();
        if let Some(process) = self.fleet.hosts[host].take() {
            self.past_logs[host].push_str(&process.output());
            process.kill();
            self.is_stopping[host] = false;
            self.schedule(downtime, Action::Start(host));
            self.end_span(Subject::Host(host), now);
        }
    }

    fn leave(&mut self, upstream: usize, is_removed: bool, duration: Duration) -> Result<()> {
        let departed = self.has_left.iter().filter(|left| **left).count();
        if self.has_left[upstream] || 2 * (departed + 1) > self.has_left.len() {
            return Ok(());
        }
        self.has_left[upstream] = true;
        if is_removed {
            self.fleet.unregister(upstream).change_context(Error)?;
        } else {
            let written = self.fleet.register(upstream, "draining");
            written.change_context(Error)?;
        }
        self.schedule(BOUND, Action::RecordDeparture(upstream, Instant::now()));
        self.schedule(duration, Action::Register(upstream));
        Ok(())
    }

    /// Has a server say that it is leaving, unless a third of them do already.
    fn say_leaving(&mut self, upstream: usize, duration: Duration) -> Result<()> {
        let leaving = self.says_leaving.iter().filter(|says| **says).count();
        if self.says_leaving[upstream] || 3 * (leaving + 1) > self.says_leaving.len() {
            return Ok(());
        }
        self.says_leaving[upstream] = true;
        self.fleet
            .set_fault(&[upstream], &json!({"kind": "leave"}))
            .change_context(Error)?;
        self.schedule(duration, Action::StartAnew(upstream));
        Ok(())
    }

    fn configure(&mut self) -> Result<()> {
        // The route's path contains the version that this write will get.
        let next = self.fleet.version() + gateway::VERSION_STEP;
        self.routes.insert(caller::added_prefix(next), json!({}));
        let routes = serde_json::to_value(&self.routes).change_context(Error)?;
        let version = self.fleet.configure(&routes).change_context(Error)?;
        self.schedule(BOUND, Action::AnnounceRoute(version, Instant::now()));
        Ok(())
    }

    fn finish(&mut self, action: Action) -> Result<()> {
        match action {
            Action::Start(host) => self.start(host)?,
            Action::StartAfterExit(host) => {
                let Some(process) = &mut self.fleet.hosts[host] else {
                    return Ok(());
                };
                if process.exit_status().is_some() {
                    self.past_logs[host].push_str(&process.output());
                    self.is_stopping[host] = false;
                    self.start(host)?;
                } else {
                    self.schedule(POLL_INTERVAL, Action::StartAfterExit(host));
                }
            }
            Action::Resume(host, from) => {
                // The daemon may have been killed and restarted in the meantime.
                if let Some(process) = &self.fleet.hosts[host] {
                    process.resume().change_context(Error)?;
                }
                self.end_span(Subject::Host(host), from);
            }
            Action::ClearStoreFault(from, only) => {
                self.fleet
                    .set_store_fault(&json!({}))
                    .change_context(Error)?;
                self.end_span(only.map_or(Subject::Store, Subject::Host), from);
            }
            Action::OpenLink(upstream, from) => {
                let open = json!({"forward": "open", "backward": "open", "delay_ms": 0});
                self.fleet.set_link(upstream, &open).change_context(Error)?;
                match upstream {
                    None => self.end_span(Subject::Store, from),
                    Some(upstream) => self.links.push(Link {
                        upstream,
                        from,
                        until: Instant::now(),
                    }),
                }
            }
            Action::ClearFault(upstream) => self
                .fleet
                .set_fault(&[upstream], &json!({"kind": "clear"}))
                .change_context(Error)?,
            Action::Register(upstream) => {
                if let Some(departure) = self.end_departure(upstream) {
                    departure.until = Some(Instant::now());
                }
                self.has_left[upstream] = false;
                self.starts.push(Start {
                    upstream,
                    at: Instant::now(),
                });
                let written = self.fleet.register_new_start(upstream);
                written.change_context(Error)?;
            }
            Action::RecordDeparture(upstream, from) => {
                let record = self.fleet.record().change_context(Error)?;
                self.departures.push(Departure {
                    upstream,
                    from,
                    last_number: record.last,
                    return_number: None,
                    until: None,
                });
            }
            Action::StartAnew(upstream) => {
                self.fleet
                    .set_fault(&[upstream], &json!({"kind": "clear"}))
                    .change_context(Error)?;
                self.says_leaving[upstream] = false;
                self.starts.push(Start {
                    upstream,
                    at: Instant::now(),
                });
                // A server that has left by its entry registers when it returns.
                if !self.has_left[upstream] {
                    self.fleet
                        .register_new_start(upstream)
                        .change_context(Error)?;
                }
            }
            Action::AnnounceRoute(version, from) => {
                let announced = Span {
                    subject: Subject::Store,
                    from,
                    until: Instant::now(),
                };
                if !announced.overlaps_any(&self.spans, None) && self.is_store_healthy() {
                    self.shared.added_version.store(version, Ordering::Relaxed);
                }
            }
        }
        Ok(())
    }

    /// Whether no fault of the store or of its relay is active.
    fn is_store_healthy(&self) -> bool {
        !self.scheduled.iter().any(|(_, action)| {
            matches!(
                action,
                Action::ClearStoreFault(..) | Action::OpenLink(None, _)
            )
        })
    }

    fn end_departure(&mut self, upstream: usize) -> Option<&mut Departure> {
        // The record is read before the server registers again, so requests up to
        // here count as begun while it had left.
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

    /// Waits until all daemons are ready and serve orders; returns one line per
    /// failure.
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
        let output = |host: usize| {
            let process = self.fleet.hosts[host].as_ref();
            process.map(|process| process.output()).unwrap_or_default()
        };
        let past = self.past_logs.iter().enumerate();
        past.map(|(host, past)| format!("{past}{}", output(host)))
            .collect()
    }
}
