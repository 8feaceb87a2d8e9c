//! Health of the upstreams of one service, judged from real outcomes.
//!
//! # Guarantees
//!
//! - After an ejection at least `floor` upstreams of the service are healthy:
//!   neither leaving nor, in any class, ejected, in trial or ramping.
//! - The outcomes that one host reports never eject a serving upstream while a
//!   second host reports. A trial, however, fails by a single outcome.
//! - No ejection happens in the first 2 s of a term.
//!
//! # Costs
//!
//! For each upstream and class the state is one [`detection::Evidence`] (48
//! bytes) and one standing (80 bytes), 128 bytes in all. Each upstream adds the
//! same for the upstream as a whole and its two channels of connection failures
//! and shed requests. Each class in use adds a histogram of about 2 KB, and each
//! reporting host about 50 bytes.

mod configuration;
mod ejection;
mod event;
mod hosts;
mod state;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{contract, detection, detection::latency};

pub use event::{Cause, Change, Observation, Outcome, View};

/// Constants of ejection and readmission.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Constants of detection.
    pub detection: detection::Settings,
    /// First hold of an ejected upstream.
    pub base_ejection_time: Duration,
    /// Longest hold. A repaired upstream is missed for no longer than this.
    pub max_ejection_time: Duration,
    /// The hold doubles if the last one ended less than this time ago.
    pub backoff_reset: Duration,
    /// Consecutive good outcomes that end a trial.
    pub trial_successes: u32,
    /// Shed requests that fail a trial.
    pub max_trial_sheds: u32,
    /// A class trial ends in a ramp when, for this time since its start, the
    /// service has had no request of the class. Otherwise a class out of use would keep upstreams
    /// from counting towards the floor.
    pub trial_idle_timeout: Duration,
    /// Time from the start of a term without ejections, in which the entry
    /// daemons report the outcomes that they hold.
    pub term_grace: Duration,
    /// Shortest time between two log lines about the floor for the same upstream
    /// and class.
    pub floor_log_interval: Duration,
    /// A class is active for this time after a request of it.
    pub class_window: Duration,
    /// A host counts as reporting for this time after a report. It exceeds the
    /// pauses of quiet services, so that a fleet rarely looks like one host.
    pub host_window: Duration,
    /// Time between recomputations of base shares, thresholds and limits.
    pub refresh_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            detection: detection::Settings::default(),
            base_ejection_time: Duration::from_secs(5),
            max_ejection_time: Duration::from_secs(300),
            backoff_reset: Duration::from_secs(600),
            trial_successes: 10,
            max_trial_sheds: 10,
            trial_idle_timeout: Duration::from_secs(300),
            term_grace: Duration::from_secs(2),
            floor_log_interval: Duration::from_secs(10),
            class_window: Duration::from_secs(60),
            host_window: Duration::from_secs(300),
            refresh_interval: Duration::from_secs(1),
        }
    }
}

/// Health of all upstreams of one service.
#[derive(Debug)]
pub struct Health {
    settings: Settings,
    service: Arc<contract::Service>,
    classes: Arc<[contract::Class]>,
    started: Instant,
    refreshed: Instant,
    hosts: hosts::Hosts,
    upstreams: Vec<state::Upstream>,
    channels: Vec<detection::Channel>,
    latencies: Vec<latency::Latency>,
    /// Time of the last outcome of each class.
    seen: Vec<Option<Instant>>,
    connect: detection::Channel,
    shed: detection::Channel,
}

impl Health {
    /// Starts a term with every upstream healthy, but for what `adopted` says.
    pub fn new(
        service: Arc<contract::Service>,
        classes: Arc<[contract::Class]>,
        adopted: &View,
        now: Instant,
    ) -> Self {
        Self::with_settings(Settings::default(), service, classes, adopted, now)
    }

    /// Like [`Health::new`], with other constants.
    pub fn with_settings(
        settings: Settings,
        service: Arc<contract::Service>,
        classes: Arc<[contract::Class]>,
        adopted: &View,
        now: Instant,
    ) -> Self {
        let detection = &settings.detection;
        let count = service.upstreams.len();
        let channel = |shares, costs| detection::Channel::new(detection, shares, costs, count, now);
        let mut health = Self {
            channels: classes
                .iter()
                .map(|class| channel(detection.class, costs(class)))
                .collect(),
            latencies: classes
                .iter()
                .map(|class| latency::Latency::new(class, now))
                .collect(),
            seen: vec![None; classes.len()],
            connect: channel(detection.connect, total_costs(classes.iter())),
            shed: channel(detection.shed, total_costs(classes.iter())),
            upstreams: service
                .upstreams
                .iter()
                .map(|upstream| {
                    let leaving = upstream.leaving || adopted.leaving.contains(&upstream.name);
                    state::Upstream::new(leaving, state::Stage::Healthy, classes.len())
                })
                .collect(),
            hosts: hosts::Hosts::default(),
            started: now,
            refreshed: now,
            settings,
            service,
            classes,
        };
        health.adopt_ejections(adopted, now);
        health
    }

    /// Takes one outcome into account. Each attempt is reported once, see
    /// [`Outcome::Overdue`].
    pub fn observe(&mut self, now: Instant, observation: &Observation) -> Vec<Change> {
        self.refresh(now);
        let group = self.hosts.report(&observation.host, now);
        self.seen[observation.class] = Some(now);
        let mut changes = Vec::new();
        if observation.outcome != Outcome::Neutral {
            self.weigh(now, observation, group, &mut changes);
        }
        changes
    }

    /// Advances holds, trials and ramps, and repeats ejections that the floor or
    /// the start of the term prevented.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        self.refresh(now);
        let mut changes = Vec::new();
        for upstream in 0..self.upstreams.len() {
            self.advance(now, upstream, &mut changes);
            self.judge_upstream(now, upstream, &mut changes);
            for class in 0..self.classes.len() {
                self.judge_class(now, upstream, class, &mut changes);
            }
        }
        changes
    }

    /// Takes an upstream out of new work.
    pub fn mark_leaving(&mut self, upstream: usize) -> Vec<Change> {
        if self.upstreams[upstream].leaving {
            return Vec::new();
        }
        self.upstreams[upstream].leaving = true;
        vec![Change::Leaving { upstream }]
    }

    /// Takes an upstream that was leaving back into service, unless the text says
    /// that it is leaving. It starts cold.
    pub fn mark_returned(&mut self, now: Instant, upstream: usize) {
        let state = &mut self.upstreams[upstream];
        if state.leaving && !self.service.upstreams[upstream].leaving {
            state.leaving = false;
            if state.whole.stage.is_healthy() {
                state.whole.stage = state::Stage::Ramp { since: now };
            }
        }
    }

    /// Slots of requests of `class` that may be in use on `upstream`. The slots
    /// in use for all classes are bounded by [`Health::capacity`] as well.
    pub fn slots(&self, now: Instant, upstream: usize, class: usize) -> u32 {
        let whole = self.capacity(now, upstream);
        let state = &self.upstreams[upstream];
        let in_trial = matches!(state.whole.stage, state::Stage::Trial { .. });
        if in_trial && !self.serves_trials(now, class) {
            return 0;
        }
        let stage = &state.classes[class].stage;
        whole.min(self.stage_slots(now, upstream, stage))
    }

    /// Slots that may be in use on `upstream` for all classes together.
    pub fn capacity(&self, now: Instant, upstream: usize) -> u32 {
        let state = &self.upstreams[upstream];
        if state.leaving {
            return 0;
        }
        self.stage_slots(now, upstream, &state.whole.stage)
    }

    /// Suspicion against `upstream` for `class`: the greatest statistic relative
    /// to its threshold; lower is better, and 1 or more calls for ejection.
    pub fn suspicion(&self, upstream: usize, class: usize) -> f64 {
        [&self.channels[class], &self.connect, &self.shed]
            .into_iter()
            .map(|channel| {
                let (statistic, threshold) = channel.evidence(upstream);
                statistic / threshold
            })
            .fold(0.0, f64::max)
    }

    /// Statistic and threshold of `class` on `upstream`.
    pub fn evidence(&self, upstream: usize, class: usize) -> (f64, f64) {
        self.channels[class].evidence(upstream)
    }

    /// Time after which an attempt of `class` counts as slow.
    pub fn slow_after(&self, class: usize) -> Duration {
        self.latencies[class].limit()
    }

    /// Number of upstreams that count towards the floor.
    pub fn healthy_count(&self) -> usize {
        self.upstreams.iter().filter(|u| u.is_healthy()).count()
    }

    /// Current ejections, for other daemons. Trials count as ejections, since
    /// other daemons cannot keep to the one slot of a trial.
    pub fn view(&self) -> View {
        let mut view = View::default();
        for (terms, state) in self.service.upstreams.iter().zip(&self.upstreams) {
            if state.leaving {
                view.leaving.push(Arc::clone(&terms.name));
            }
            let whole = state.whole.stage.is_withheld();
            for (class, standing) in self.classes.iter().zip(&state.classes) {
                if whole || standing.stage.is_withheld() {
                    view.ejected
                        .push((Arc::clone(&terms.name), Arc::clone(&class.name)));
                }
            }
        }
        view
    }

    fn stage_slots(&self, now: Instant, upstream: usize, stage: &state::Stage) -> u32 {
        let all = self.service.upstreams[upstream].slots;
        stage.slots(all, self.service.cold_start, now)
    }

    fn is_active(&self, now: Instant, class: usize) -> bool {
        self.seen[class]
            .is_some_and(|seen| now.saturating_duration_since(seen) < self.settings.class_window)
    }

    /// Whether requests of `class` try out a whole upstream. Non-repeatable ones
    /// do so only if no active class is repeatable.
    fn serves_trials(&self, now: Instant, class: usize) -> bool {
        self.classes[class].repeatable
            || !(0..self.classes.len())
                .any(|other| self.classes[other].repeatable && self.is_active(now, other))
    }

    fn refresh(&mut self, now: Instant) {
        if now.saturating_duration_since(self.refreshed) < self.settings.refresh_interval {
            return;
        }
        self.refreshed = now;
        let settings = &self.settings.detection;
        let active = (0..self.classes.len()).filter(|&class| self.is_active(now, class));
        let whole = total_costs(active.map(|class| &self.classes[class]));
        if whole != detection::Costs::default() {
            self.connect.set_costs(whole);
            self.shed.set_costs(whole);
        }
        let regroup = self.hosts.prune(self.settings.host_window, now);
        let upstream_channels = [&mut self.connect, &mut self.shed];
        for channel in self.channels.iter_mut().chain(upstream_channels) {
            if regroup {
                channel.reset_confirmations();
            }
            channel.refresh(settings, now);
        }
        for latency in &mut self.latencies {
            latency.refresh(now);
        }
    }
}

fn costs(class: &contract::Class) -> detection::Costs {
    detection::Costs {
        false_ejection: class.false_ejection_cost,
        detection_second: class.detection_second_cost,
    }
}

/// Costs of an ejection that concerns all of `classes`.
fn total_costs<'a>(classes: impl Iterator<Item = &'a contract::Class>) -> detection::Costs {
    classes.fold(detection::Costs::default(), |sum, class| detection::Costs {
        false_ejection: sum.false_ejection + class.false_ejection_cost,
        detection_second: sum.detection_second + class.detection_second_cost,
    })
}
