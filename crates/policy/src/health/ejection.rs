//! Weighing of outcomes, ejection and readmission.

use std::time::Instant;

use super::{
    Cause, Change, Health, Observation, Outcome,
    state::{Stage, Upstream},
};

/// Whether an attempt that has run for `elapsed` began before `since`.
fn predates(now: Instant, observation: &Observation, since: Option<Instant>) -> bool {
    since.is_some_and(|since| {
        now.checked_sub(observation.elapsed)
            .is_none_or(|began| began < since)
    })
}

/// Counts the outcome of a trial. Returns whether it ends the trial, and how.
fn count(stage: &mut Stage, outcome: Outcome, good_needed: u32, shed_limit: u32) -> Option<bool> {
    let Stage::Trial { good, shed, .. } = stage else {
        return None;
    };
    match outcome {
        Outcome::Good => *good += 1,
        // Shedding is no failure of a request, but an upstream that sheds every
        // request of its trial is not ready to serve.
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
    /// Adds an outcome to the evidence, or to the trial that it belongs to.
    pub(super) fn weigh(
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
        let whole = self.upstreams[upstream].whole.stage;
        if whole.is_ejected() || predates(now, observation, whole.since()) {
            return;
        }
        if matches!(whole, Stage::Trial { .. }) {
            self.count_whole_trial(now, upstream, outcome, changes);
            return;
        }
        self.connect
            .record(upstream, group, outcome == Outcome::ConnectFailed);
        self.shed.record(upstream, group, outcome == Outcome::Shed);
        let stage = self.upstreams[upstream].classes[class].stage;
        if !stage.is_ejected() && !predates(now, observation, stage.since()) {
            if matches!(stage, Stage::Trial { .. }) {
                self.count_class_trial(now, upstream, class, outcome, changes);
            } else if outcome != Outcome::Shed {
                self.channels[class].record(upstream, group, outcome != Outcome::Good);
                if stage.is_healthy() && whole.is_healthy() {
                    self.time(upstream, class, outcome, elapsed);
                }
                self.judge_class(now, upstream, class, changes);
            }
        }
        self.judge_upstream(now, upstream, changes);
    }

    /// Records a latency. Suspect upstreams are left out, unless most are
    /// suspect: then the whole class has become slower and the limit follows.
    fn time(
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

    fn count_whole_trial(
        &mut self,
        now: Instant,
        upstream: usize,
        outcome: Outcome,
        changes: &mut Vec<Change>,
    ) {
        let (good, shed) = (self.settings.trial_successes, self.settings.max_trial_sheds);
        let stage = &mut self.upstreams[upstream].whole.stage;
        match count(stage, outcome, good, shed) {
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
        match count(stage, outcome, good, shed) {
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

    /// Starts a trial over, which stands if the floor prevents the ejection, and
    /// returns the good outcomes counted and needed.
    fn fail_trial(&mut self, now: Instant, upstream: usize, class: Option<usize>) -> (f64, f64) {
        let state = &mut self.upstreams[upstream];
        let standing = match class {
            Some(class) => &mut state.classes[class],
            None => &mut state.whole,
        };
        let restarted = Stage::Trial {
            since: now,
            good: 0,
            shed: 0,
        };
        let counted = match std::mem::replace(&mut standing.stage, restarted) {
            Stage::Trial { good, .. } => good,
            Stage::Healthy | Stage::Ejected { .. } | Stage::Ramp { .. } => 0,
        };
        (f64::from(counted), f64::from(self.settings.trial_successes))
    }

    /// Ejects a class whose evidence reaches the threshold.
    pub(super) fn judge_class(
        &mut self,
        now: Instant,
        upstream: usize,
        class: usize,
        changes: &mut Vec<Change>,
    ) {
        let state = &self.upstreams[upstream];
        if state.whole.stage.is_withheld() || state.classes[class].stage.is_withheld() {
            return;
        }
        let channel = &self.channels[class];
        if channel.is_alarmed(&self.settings.detection, upstream, self.hosts.lone()) {
            let evidence = channel.evidence(upstream);
            self.eject_class(now, upstream, class, evidence, changes);
        }
    }

    /// Ejects a whole upstream that cannot be connected to or sheds everything.
    pub(super) fn judge_upstream(
        &mut self,
        now: Instant,
        upstream: usize,
        changes: &mut Vec<Change>,
    ) {
        for cause in [Cause::Connect, Cause::Shed] {
            if self.upstreams[upstream].whole.stage.is_withheld() {
                return;
            }
            let channel = match cause {
                Cause::Shed => &self.shed,
                Cause::Connect | Cause::Classes | Cause::Trial => &self.connect,
            };
            if channel.is_alarmed(&self.settings.detection, upstream, self.hosts.lone()) {
                let evidence = channel.evidence(upstream);
                self.eject_upstream(now, upstream, cause, evidence, changes);
            }
        }
    }

    /// Healthy upstreams left if `upstream` is ejected, or `None` if the floor
    /// forbids it. `suspect` tells which of the others look unhealthy too.
    ///
    /// If most upstreams look unhealthy at once and the sound ones alone do not
    /// make up the floor, the cause is taken for a common one. Ejecting the first
    /// few to cross the threshold would then only take capacity away.
    fn left_after(&self, upstream: usize, suspect: impl Fn(usize) -> bool) -> Option<usize> {
        let floor = self.service.floor;
        let others = |i: &usize| *i != upstream && self.upstreams[*i].is_healthy();
        let healthy = (0..self.upstreams.len()).filter(others).count();
        if healthy < floor {
            return None;
        }
        let present = self.upstreams.iter().filter(|u| !u.leaving).count();
        let sound = (0..self.upstreams.len())
            .filter(others)
            .filter(|&i| !suspect(i))
            .count();
        let common = sound < floor && 2 * sound < present;
        (!common).then_some(healthy)
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
        let left = self.left_after(upstream, |i| self.channels[class].is_suspect(i));
        let standing = &mut self.upstreams[upstream].classes[class];
        let Some(healthy) = left else {
            if standing.log_floor(self.settings.floor_log_interval, now) {
                changes.push(Change::FloorHeld { upstream, class });
            }
            return;
        };
        standing.eject(&self.settings, now, None);
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
            self.eject_whole(now, upstream);
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
            Cause::Connect => self.left_after(upstream, |i| self.connect.is_suspect(i)),
            Cause::Shed => self.left_after(upstream, |i| self.shed.is_suspect(i)),
            Cause::Classes | Cause::Trial => self.left_after(upstream, |_| false),
        };
        let Some(healthy) = left else {
            let whole = &mut self.upstreams[upstream].whole;
            if whole.log_floor(self.settings.floor_log_interval, now) {
                changes.push(Change::UpstreamFloorHeld { upstream });
            }
            return;
        };
        self.eject_whole(now, upstream);
        changes.push(Change::UpstreamEjected {
            upstream,
            cause,
            evidence,
            healthy,
        });
    }

    /// Moves an upstream into the hold as a whole. The states of its classes end
    /// with it: one trial decides for all, and a class that still fails is found
    /// again by its own evidence.
    fn eject_whole(&mut self, now: Instant, upstream: usize) {
        let Upstream { whole, classes, .. } = &mut self.upstreams[upstream];
        let mut least = None;
        for standing in classes {
            if let Stage::Ejected { until } = standing.stage {
                least = least.max(Some(until));
            }
            standing.stage = Stage::Healthy;
        }
        whole.eject(&self.settings, now, least);
        for channel in &mut self.channels {
            channel.reset(upstream);
        }
        self.connect.reset(upstream);
        self.shed.reset(upstream);
    }

    /// Moves an upstream and its classes to the stages that are due.
    pub(super) fn advance(&mut self, now: Instant, upstream: usize, changes: &mut Vec<Change>) {
        let cold_start = self.service.cold_start;
        let trial = Stage::Trial {
            since: now,
            good: 0,
            shed: 0,
        };
        let ramped = |since| now.saturating_duration_since(since) >= cold_start;
        let state = &mut self.upstreams[upstream];
        match state.whole.stage {
            Stage::Ejected { until } if now >= until => {
                state.whole.stage = trial;
                changes.push(Change::UpstreamTrial { upstream });
            }
            Stage::Ramp { since } if ramped(since) => state.whole.stage = Stage::Healthy,
            _ => {}
        }
        for (class, standing) in state.classes.iter_mut().enumerate() {
            match standing.stage {
                Stage::Ejected { until } if now >= until => {
                    standing.stage = trial;
                    changes.push(Change::Trial { upstream, class });
                }
                Stage::Trial { since, .. } => {
                    let last = self.seen[class].map_or(since, |seen| seen.max(since));
                    if now.saturating_duration_since(last) >= self.settings.trial_idle_timeout {
                        standing.stage = Stage::Ramp { since: now };
                        changes.push(Change::Readmitted { upstream, class });
                    }
                }
                Stage::Ramp { since } if ramped(since) => standing.stage = Stage::Healthy,
                _ => {}
            }
        }
    }
}
