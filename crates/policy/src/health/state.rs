//! States of an upstream and of its classes.

use std::time::{Duration, Instant};

use super::Settings;

/// Stage of an upstream or of one of its classes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Stage {
    /// Serves with all slots.
    Healthy,
    /// Receives no requests before `until`.
    Ejected { until: Instant },
    /// Serves with one slot.
    Trial {
        since: Instant,
        good: u32,
        shed: u32,
    },
    /// Serves with a number of slots that grows over the cold start time.
    Ramp { since: Instant },
}

impl Stage {
    pub(crate) fn is_healthy(&self) -> bool {
        matches!(self, Self::Healthy)
    }

    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self, Self::Ejected { .. })
    }

    /// Returns whether the stage counts as ejected for other daemons, which
    /// cannot enforce the one slot of a trial.
    pub(crate) fn is_withheld(&self) -> bool {
        matches!(self, Self::Ejected { .. } | Self::Trial { .. })
    }

    /// Returns the start of a trial or ramp. Attempts that began earlier are no
    /// evidence for it.
    pub(crate) fn since(&self) -> Option<Instant> {
        match *self {
            Self::Trial { since, .. } | Self::Ramp { since } => Some(since),
            Self::Healthy | Self::Ejected { .. } => None,
        }
    }

    /// Returns how many of `all` slots may be in use.
    pub(crate) fn slots(&self, all: u32, cold_start: Duration, now: Instant) -> u32 {
        match *self {
            Self::Healthy => all,
            Self::Ejected { .. } => 0,
            Self::Trial { .. } => all.min(1),
            Self::Ramp { since } => {
                let elapsed = now.saturating_duration_since(since);
                if elapsed >= cold_start {
                    return all;
                }
                // The cold start has `all` steps of equal length; step k, from 1,
                // allows k slots.
                let steps = elapsed.as_secs_f64() / cold_start.as_secs_f64() * f64::from(all);
                all.min(1 + steps as u32)
            }
        }
    }
}

/// Exponential backoff of the ejection time.
#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    /// Duration and end of the last ejection.
    last: Option<(Duration, Instant)>,
}

impl Backoff {
    /// Returns the duration of the next ejection: twice that of the last one if
    /// it ended less than `backoff_reset` ago. The time counts from the end of the
    /// ejection, because the longest ejection and its trial may take most of the
    /// 10 minutes themselves.
    fn next(&self, settings: &Settings, now: Instant) -> Duration {
        match self.last {
            Some((duration, ended))
                if now.saturating_duration_since(ended) < settings.backoff_reset =>
            {
                (duration * 2).min(settings.max_ejection_time)
            }
            _ => settings.base_ejection_time,
        }
    }
}

/// Stage with its ejection history.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lifecycle {
    pub(crate) stage: Stage,
    backoff: Backoff,
    last_floor_log: Option<Instant>,
}

const _: () = assert!(
    size_of::<Lifecycle>() == 80,
    "the module documentation gives this size"
);

impl Lifecycle {
    pub(crate) fn new(stage: Stage) -> Self {
        Self {
            stage,
            backoff: Backoff::default(),
            last_floor_log: None,
        }
    }

    /// Ejects for the time that the backoff gives, and at least until
    /// `min_until`.
    pub(crate) fn eject(&mut self, settings: &Settings, now: Instant, min_until: Option<Instant>) {
        let duration = self.backoff.next(settings, now);
        let until = min_until.map_or(now + duration, |min| min.max(now + duration));
        self.backoff.last = Some((until - now, until));
        self.stage = Stage::Ejected { until };
    }

    /// Returns whether an ejection that the floor prevented is to be logged now,
    /// and if so, records the time.
    pub(crate) fn log_floor(&mut self, interval: Duration, now: Instant) -> bool {
        let due = self
            .last_floor_log
            .is_none_or(|last| now.saturating_duration_since(last) >= interval);
        if due {
            self.last_floor_log = Some(now);
        }
        due
    }
}

/// State of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) leaving: bool,
    /// Lifecycle for all classes together. Its slots limit those of each class.
    pub(crate) overall: Lifecycle,
    pub(crate) classes: Vec<Lifecycle>,
}

impl Upstream {
    pub(crate) fn new(leaving: bool, stage: Stage, classes: usize) -> Self {
        Self {
            leaving,
            overall: Lifecycle::new(stage),
            classes: vec![Lifecycle::new(Stage::Healthy); classes],
        }
    }

    /// Returns whether the upstream counts towards the floor: it is neither
    /// leaving nor, in any class, ejected, in trial or ramping.
    pub(crate) fn is_healthy(&self) -> bool {
        !self.leaving
            && self.overall.stage.is_healthy()
            && self.classes.iter().all(|class| class.stage.is_healthy())
    }
}
