//! Evaluation of outcomes, ejection and readmission.

use std::time::Instant;

use super::{
    Cause, Change, Health, Observation, Outcome,
    state::{Stage, Upstream},
};

/// Returns whether the observed attempt began before `since`.
fn predates(now: Instant, observation: &Observation, since: Option<Instant>) -> bool {
    since.is_some_and(|since| {
        now.checked_sub(observation.elapsed)
            .is_none_or(|began| began < since)
    })
}

/// Counts an outcome of a trial. Returns `Some(true)` if the trial is passed,
/// `Some(false)` if it has failed and `None` if it continues.
fn count_trial_outcome(
    stage: &mut Stage,
    outcome: Outcome,
    good_needed: u32,
    shed_limit: u32,
) -> Option<bool> {
    let Stage::Trial { good, shed, .. } = stage else {
        return None;
    };
    match outcome {
        Outcome::Good => *good += 1,
        // A shed request is not a failure, but an upstream that sheds every request
        // of its trial is not ready to serve.
        Outcome::Shed => *shed += 1,
        Outcome::Failed | Outcome::Overdue | Outcome::ConnectFailed => return Some(false),
        Outcome::Neutral => {}
    }
    if *good >= good_needed {
        Some(true)
    } else if *shed >= shed_limit {
        Some(false)
    } else {
        None
    }
}

impl Health {
    /// Adds an outcome to the evidence or to the trial that it belongs to, and
    /// ejects or readmits the upstream accordingly.
    pub(super) fn record_outcome(
        &mut self,
        now: Instant,
        observation: &Observation,
        group: usize,
        changes: &mut Vec<Change>,
    ) {
        let &Observation {
            upstream,
            class,
            outcome,
            elapsed,
            ..
        } = observation;
        let overall = self.upstreams[upstream].overall.stage;
        if overall.is_ejected() || predates(now, observation, overall.since()) {
            return;
        }
        if matches!(overall, Stage::Trial { .. }) {
            self.count_upstream_trial(now, upstream, outcome, changes);
            return;
        }
        self.connect_channel
            .record(upstream, group, outcome == Outcome::ConnectFailed);
        self.shed_channel
            .record(upstream, group, outcome == Outcome::Shed);
        let stage = self.upstreams[upstream].classes[class].stage;
        if !stage.is_ejected() && !predates(now, observation, stage.since()) {
            if matches!(stage, Stage::Trial { .. }) {
                self.count_class_trial(now, upstream, class, outcome, changes);
            } else if outcome != Outcome::Shed {
                self.channels[class].record(upstream, group, outcome != Outcome::Good);
                if stage.is_healthy() && overall.is_healthy() {
                    self.record_latency(upstream, class, outcome, elapsed);
                }
                self.check_class(now, upstream, class, changes);
            }
        }
        self.check_upstream(now, upstream, changes);
    }

    /// Records the latency of a good or overdue attempt. Suspect upstreams are
    /// left out, unless most are suspect: then the class has become slower on all
    /// upstreams, and the limit must follow.
    fn record_latency(
        &mut self,
        upstream: usize,
        class: usize,
        outcome: Outcome,
        elapsed: std::time::Duration,
    ) {
        let channel = &self.channels[class];
        if matches!(outcome, Outcome::Good | Outcome::Overdue)
            && (!channel.is_suspect(upstream) || channel.has_suspect_majority())
        {
            self.latencies[class].record(elapsed);
        }
    }

    fn count_upstream_trial(
        &mut self,
        now: Instant,
        upstream: usize,
        outcome: Outcome,
        changes: &mut Vec<Change>,
    ) {
        let (good, shed) = (self.settings.trial_successes, self.settings.max_trial_sheds);
        let stage = &mut self.upstreams[upstream].overall.stage;
        match count_trial_outcome(stage, outcome, good, shed) {
            Some(true) => {
                *stage = Stage::Ramp { since: now };
                changes.push(Change::UpstreamReadmitted { upstream });
            }
            Some(false) => {
                let evidence = self.fail_trial(now, upstream, None);
                self.eject_upstream(now, upstream, Cause::Trial, evidence, changes);
            }
            None => {}
        }
    }

    fn count_class_trial(
        &mut self,
        now: Instant,
        upstream: usize,
        class: usize,
        outcome: Outcome,
        changes: &mut Vec<Change>,
    ) {
        let (good, shed) = (self.settings.trial_successes, self.settings.max_trial_sheds);
        let stage = &mut self.upstreams[upstream].classes[class].stage;
        match count_trial_outcome(stage, outcome, good, shed) {
            Some(true) => {
                *stage = Stage::Ramp { since: now };
                changes.push(Change::Readmitted { upstream, class });
            }
            Some(false) => {
                let evidence = self.fail_trial(now, upstream, Some(class));
                self.eject_class(now, upstream, class, evidence, changes);
            }
            None => {}
        }
    }

    /// Restarts a failed trial, which continues if the floor prevents the
    /// ejection. Returns the good outcomes counted and the number required.
    fn fail_trial(&mut self, now: Instant, upstream: usize, class: Option<usize>) -> (f64, f64) {
        let state = &mut self.upstreams[upstream];
        let lifecycle = match class {
            Some(class) => &mut state.classes[class],
            None => &mut state.overall,
        };
        let restarted = Stage::Trial {
            since: now,
            good: 0,
            shed: 0,
        };
        let counted = match std::mem::replace(&mut lifecycle.stage, restarted) {
            Stage::Trial { good, .. } => good,
            Stage::Healthy | Stage::Ejected { .. } | Stage::Ramp { .. } => 0,
        };
        (f64::from(counted), f64::from(self.settings.trial_successes))
    }

    /// Ejects a class if the evidence against it reaches the threshold.
    pub(super) fn check_class(
        &mut self,
        now: Instant,
        upstream: usize,
        class: usize,
        changes: &mut Vec<Change>,
    ) {
        let state = &self.upstreams[upstream];
        if state.overall.stage.is_withheld() || state.classes[class].stage.is_withheld() {
            return;
        }
        let channel = &self.channels[class];
        if channel.is_alarmed(&self.settings.detection, upstream, self.hosts.is_single()) {
            let evidence = channel.evidence(upstream);
            self.eject_class(now, upstream, class, evidence, changes);
        }
    }

    /// Ejects an upstream for all classes if connections to it fail or it sheds
    /// nearly every request.
    pub(super) fn check_upstream(
        &mut self,
        now: Instant,
        upstream: usize,
        changes: &mut Vec<Change>,
    ) {
        for cause in [Cause::Connect, Cause::Shed] {
            if self.upstreams[upstream].overall.stage.is_withheld() {
                return;
            }
            let channel = match cause {
                Cause::Shed => &self.shed_channel,
                Cause::Connect | Cause::Classes | Cause::Trial => &self.connect_channel,
            };
            if channel.is_alarmed(&self.settings.detection, upstream, self.hosts.is_single()) {
                let evidence = channel.evidence(upstream);
                self.eject_upstream(now, upstream, cause, evidence, changes);
            }
        }
    }

    /// Returns the number of healthy upstreams after an ejection of `upstream`, or
    /// `None` if the ejection is not allowed. `is_suspect` returns whether another
    /// upstream is under suspicion too.
    ///
    /// If more than half of the upstreams are unhealthy or suspect at once and the
    /// others are fewer than the floor, a common cause is assumed. Ejecting the
    /// first few upstreams that cross the threshold would then only reduce the
    /// capacity.
    fn healthy_after_ejecting(
        &self,
        upstream: usize,
        is_suspect: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let floor = self.service.floor;
        let others = |i: &usize| *i != upstream && self.upstreams[*i].is_healthy();
        let healthy = (0..self.upstreams.len()).filter(others).count();
        if healthy < floor {
            return None;
        }
        let present = self.upstreams.iter().filter(|u| !u.leaving).count();
        let unsuspected = (0..self.upstreams.len())
            .filter(others)
            .filter(|&i| !is_suspect(i))
            .count();
        let has_common_cause = unsuspected < floor && 2 * unsuspected < present;
        (!has_common_cause).then_some(healthy)
    }

    fn eject_class(
        &mut self,
        now: Instant,
        upstream: usize,
        class: usize,
        evidence: (f64, f64),
        changes: &mut Vec<Change>,
    ) {
        if now < self.started + self.settings.term_grace || self.upstreams[upstream].leaving {
            return;
        }
        let left = self.healthy_after_ejecting(upstream, |i| self.channels[class].is_suspect(i));
        let lifecycle = &mut self.upstreams[upstream].classes[class];
        let Some(healthy) = left else {
            if lifecycle.log_floor(self.settings.floor_log_interval, now) {
                changes.push(Change::FloorHeld { upstream, class });
            }
            return;
        };
        lifecycle.eject(&self.settings, now, None);
        self.channels[class].reset(upstream);
        changes.push(Change::Ejected {
            upstream,
            class,
            evidence,
            healthy,
        });
        let all = (0..self.classes.len())
            .filter(|&c| self.is_active(now, c))
            .all(|c| self.upstreams[upstream].classes[c].stage.is_ejected());
        if all {
            self.eject_overall(now, upstream);
            changes.push(Change::UpstreamEjected {
                upstream,
                cause: Cause::Classes,
                evidence,
                healthy,
            });
        }
    }

    fn eject_upstream(
        &mut self,
        now: Instant,
        upstream: usize,
        cause: Cause,
        evidence: (f64, f64),
        changes: &mut Vec<Change>,
    ) {
        if now < self.started + self.settings.term_grace || self.upstreams[upstream].leaving {
            return;
        }
        let left = match cause {
            Cause::Connect => {
                self.healthy_after_ejecting(upstream, |i| self.connect_channel.is_suspect(i))
            }
            Cause::Shed => {
                self.healthy_after_ejecting(upstream, |i| self.shed_channel.is_suspect(i))
            }
            Cause::Classes | Cause::Trial => self.healthy_after_ejecting(upstream, |_| false),
        };
        let Some(healthy) = left else {
            let overall = &mut self.upstreams[upstream].overall;
            if overall.log_floor(self.settings.floor_log_interval, now) {
                changes.push(Change::UpstreamFloorHeld { upstream });
            }
            return;
        };
        self.eject_overall(now, upstream);
        changes.push(Change::UpstreamEjected {
            upstream,
            cause,
            evidence,
            healthy,
        });
    }

    /// Ejects an upstream for all classes, at least as long as any of its classes
    /// is ejected. The states of its classes are reset: one trial decides for all
    /// of them, and a class that still fails is detected again by its own evidence.
    fn eject_overall(&mut self, now: Instant, upstream: usize) {
        let Upstream {
            overall, classes, ..
        } = &mut self.upstreams[upstream];
        let mut min_until = None;
        for lifecycle in classes {
            if let Stage::Ejected { until } = lifecycle.stage {
                min_until = min_until.max(Some(until));
            }
            lifecycle.stage = Stage::Healthy;
        }
        overall.eject(&self.settings, now, min_until);
        for channel in &mut self.channels {
            channel.reset(upstream);
        }
        self.connect_channel.reset(upstream);
        self.shed_channel.reset(upstream);
    }

    /// Moves an upstream and its classes to the next stages when they are due.
    pub(super) fn advance_stages(
        &mut self,
        now: Instant,
        upstream: usize,
        changes: &mut Vec<Change>,
    ) {
        let cold_start = self.service.cold_start;
        let trial = Stage::Trial {
            since: now,
            good: 0,
            shed: 0,
        };
        let ramped = |since| now.saturating_duration_since(since) >= cold_start;
        let state = &mut self.upstreams[upstream];
        match state.overall.stage {
            Stage::Ejected { until } if now >= until => {
                state.overall.stage = trial;
                changes.push(Change::UpstreamTrial { upstream });
            }
            Stage::Ramp { since } if ramped(since) => state.overall.stage = Stage::Healthy,
            _ => {}
        }
        for (class, lifecycle) in state.classes.iter_mut().enumerate() {
            match lifecycle.stage {
                Stage::Ejected { until } if now >= until => {
                    lifecycle.stage = trial;
                    changes.push(Change::Trial { upstream, class });
                }
                Stage::Trial { since, .. } => {
                    let last = self.last_outcomes[class].map_or(since, |seen| seen.max(since));
                    if now.saturating_duration_since(last) >= self.settings.trial_idle_timeout {
                        lifecycle.stage = Stage::Ramp { since: now };
                        changes.push(Change::Readmitted { upstream, class });
                    }
                }
                Stage::Ramp { since } if ramped(since) => lifecycle.stage = Stage::Healthy,
                _ => {}
            }
        }
    }
}
