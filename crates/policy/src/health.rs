//! Health of the upstreams of one service, derived from the outcomes of real
//! requests.
//!
//! # Guarantees
//!
//! - After an ejection at least `floor` upstreams of the service are healthy:
//!   neither leaving nor, in any class, ejected, in trial or ramping.
//! - The outcomes that one host reports never eject a serving upstream while a
//!   second host reports. A trial, however, can fail by a single outcome.
//! - In the first 2 s of a term, the only ejections are those adopted from
//!   another coordinator.
//!
//! # Costs
//!
//! For each upstream and class the state is one [`detection::Evidence`] (48
//! bytes) and one lifecycle (80 bytes), 128 bytes in all. Each upstream adds one
//! lifecycle for all classes together, and one evidence for each of its two
//! channels: connection failures and shed requests. Each class in use adds a
//! histogram of about 2 KB, and each reporting host about 50 bytes.

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

/// Parameters of ejection and readmission.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Parameters of detection.
    pub detection: detection::Settings,
    /// Duration of the first ejection of an upstream.
    pub base_ejection_time: Duration,
    /// Maximum duration of an ejection. A repaired upstream is out of service for
    /// no longer than this.
    pub max_ejection_time: Duration,
    /// The duration doubles if the last ejection ended less than this time ago,
    /// and otherwise starts from `base_ejection_time` again.
    pub backoff_reset: Duration,
    /// Number of good outcomes that complete a trial.
    pub trial_successes: u32,
    /// Number of shed requests at which a trial fails.
    pub max_trial_sheds: u32,
    /// The trial of a class moves on to a ramp once it has lasted this long and
    /// the service has had no outcome of the class for this long. Otherwise a
    /// class that is no longer used would keep upstreams from counting towards
    /// the floor.
    pub trial_idle_timeout: Duration,
    /// Time at the start of a term without ejections from own evidence. In this
    /// time the entry daemons report the outcomes that they have collected.
    pub term_grace: Duration,
    /// Minimum time between two log lines about the floor for the same upstream
    /// and class.
    pub floor_log_interval: Duration,
    /// A class is active for this time after its last outcome.
    pub class_window: Duration,
    /// A host counts as reporting for this time after a report. It exceeds the
    /// pauses of services with few requests, so that a fleet rarely looks like a
    /// single host.
    pub host_window: Duration,
    /// Time between recomputations of base shares, thresholds and latency limits.
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
    /// Time of the last outcome by class index.
    last_outcomes: Vec<Option<Instant>>,
    connect_channel: detection::Channel,
    shed_channel: detection::Channel,
}

impl Health {
    /// Creates the health at the start of a term. Every upstream is healthy
    /// except for the ejections and departures in `adopted`.
    pub fn new(
        service: Arc<contract::Service>,
        classes: Arc<[contract::Class]>,
        adopted: &View,
        now: Instant,
    ) -> Self {
        Self::with_settings(Settings::default(), service, classes, adopted, now)
    }

    /// Creates the health as [`Health::new`] does, with other settings.
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
            last_outcomes: vec![None; classes.len()],
            connect_channel: channel(detection.connect, total_costs(classes.iter())),
            shed_channel: channel(detection.shed, total_costs(classes.iter())),
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

    /// Adds one outcome and returns the changes that follow from it. Each attempt
    /// must be reported only once, see [`Outcome::Overdue`].
    pub fn observe(&mut self, now: Instant, observation: &Observation) -> Vec<Change> {
        self.refresh(now);
        let group = self.hosts.record_report(&observation.host, now);
        self.last_outcomes[observation.class] = Some(now);
        let mut changes = Vec::new();
        if observation.outcome != Outcome::Neutral {
            self.record_outcome(now, observation, group, &mut changes);
        }
        changes
    }

    /// Moves upstreams from ejection to trial and from ramp to full service when
    /// that is due, and retries ejections that the floor or the start of the term
    /// prevented. Returns the changes.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        self.refresh(now);
        let mut changes = Vec::new();
        for upstream in 0..self.upstreams.len() {
            self.advance_stages(now, upstream, &mut changes);
            self.check_upstream(now, upstream, &mut changes);
            for class in 0..self.classes.len() {
                self.check_class(now, upstream, class, &mut changes);
            }
        }
        changes
    }

    /// Marks an upstream as leaving, so that it gets no new requests.
    pub fn mark_leaving(&mut self, upstream: usize) -> Vec<Change> {
        if self.upstreams[upstream].leaving {
            return Vec::new();
        }
        self.upstreams[upstream].leaving = true;
        vec![Change::Leaving { upstream }]
    }

    /// Returns an upstream that was leaving to service, unless the configuration
    /// marks it as leaving. Its slots ramp up as after a cold start.
    pub fn mark_returned(&mut self, now: Instant, upstream: usize) {
        let state = &mut self.upstreams[upstream];
        if state.leaving && !self.service.upstreams[upstream].leaving {
            state.leaving = false;
            if state.overall.stage.is_healthy() {
                state.overall.stage = state::Stage::Ramp { since: now };
            }
        }
    }

    /// Returns how many slots of `upstream` requests of `class` may use. The slots
    /// in use for all classes together are limited by [`Health::capacity`].
    pub fn slots(&self, now: Instant, upstream: usize, class: usize) -> u32 {
        let capacity = self.capacity(now, upstream);
        let state = &self.upstreams[upstream];
        let in_trial = matches!(state.overall.stage, state::Stage::Trial { .. });
        if in_trial && !self.is_used_for_trials(now, class) {
            return 0;
        }
        let stage = &state.classes[class].stage;
        capacity.min(self.stage_slots(now, upstream, stage))
    }

    /// Returns how many slots of `upstream` all classes together may use.
    pub fn capacity(&self, now: Instant, upstream: usize) -> u32 {
        let state = &self.upstreams[upstream];
        if state.leaving {
            return 0;
        }
        self.stage_slots(now, upstream, &state.overall.stage)
    }

    /// Returns the suspicion against `upstream` for `class`: the highest ratio of
    /// a statistic to its threshold. Lower is better; 1 or more means that the
    /// upstream should be ejected.
    pub fn suspicion(&self, upstream: usize, class: usize) -> f64 {
        [
            &self.channels[class],
            &self.connect_channel,
            &self.shed_channel,
        ]
        .into_iter()
        .map(|channel| {
            let (statistic, threshold) = channel.evidence(upstream);
            statistic / threshold
        })
        .fold(0.0, f64::max)
    }

    /// Returns the test statistic of `class` on `upstream` and its threshold.
    pub fn evidence(&self, upstream: usize, class: usize) -> (f64, f64) {
        self.channels[class].evidence(upstream)
    }

    /// Returns the time after which an attempt of `class` counts as slow.
    pub fn slow_after(&self, class: usize) -> Duration {
        self.latencies[class].limit()
    }

    /// Returns the number of upstreams that count towards the floor.
    pub fn healthy_count(&self) -> usize {
        self.upstreams.iter().filter(|u| u.is_healthy()).count()
    }

    /// Returns the current ejections and leaving upstreams, for other daemons.
    /// Trials count as ejections, because other daemons cannot enforce the one
    /// slot of a trial.
    pub fn view(&self) -> View {
        let mut view = View::default();
        for (upstream, state) in self.service.upstreams.iter().zip(&self.upstreams) {
            if state.leaving {
                view.leaving.push(Arc::clone(&upstream.name));
            }
            let is_withheld = state.overall.stage.is_withheld();
            for (class, lifecycle) in self.classes.iter().zip(&state.classes) {
                if is_withheld || lifecycle.stage.is_withheld() {
                    view.ejected
                        .push((Arc::clone(&upstream.name), Arc::clone(&class.name)));
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
        self.last_outcomes[class]
            .is_some_and(|last| now.saturating_duration_since(last) < self.settings.class_window)
    }

    /// Returns whether requests of `class` may be sent to an upstream in trial for
    /// all classes. Non-repeatable ones are used only if no active class is
    /// repeatable.
    fn is_used_for_trials(&self, now: Instant, class: usize) -> bool {
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
        let costs = total_costs(active.map(|class| &self.classes[class]));
        if costs != detection::Costs::default() {
            self.connect_channel.set_costs(costs);
            self.shed_channel.set_costs(costs);
        }
        let regrouped = self.hosts.prune(self.settings.host_window, now);
        let upstream_channels = [&mut self.connect_channel, &mut self.shed_channel];
        for channel in self.channels.iter_mut().chain(upstream_channels) {
            if regrouped {
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

/// Returns the costs of an ejection for all of `classes`.
fn total_costs<'a>(classes: impl Iterator<Item = &'a contract::Class>) -> detection::Costs {
    classes.fold(detection::Costs::default(), |sum, class| detection::Costs {
        false_ejection: sum.false_ejection + class.false_ejection_cost,
        detection_second: sum.detection_second + class.detection_second_cost,
    })
}
