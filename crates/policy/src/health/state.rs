//! States of an upstream and of each of its classes.

use std::time::{Duration, Instant};

use super::Settings;

/// Stage between ejection and full service.
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
    /// Serves with a growing number of slots.
    Ramp { since: Instant },
}

impl Stage {
    pub(crate) fn is_healthy(&self) -> bool {
        matches!(self, Self::Healthy)
    }

    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self, Self::Ejected { .. })
    }

    /// Whether the stage counts as ejected for other daemons, which cannot keep
    /// to the one slot of a trial.
    pub(crate) fn is_withheld(&self) -> bool {
        matches!(self, Self::Ejected { .. } | Self::Trial { .. })
    }

    /// Beginning of the stage, from which on attempts are evidence for it.
    pub(crate) fn since(&self) -> Option<Instant> {
        match *self {
            Self::Trial { since, .. } | Self::Ramp { since } => Some(since),
            Self::Healthy | Self::Ejected { .. } => None,
        }
    }

    /// Slots of `all` that may be in use.
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
                // Step k of `all` steps of equal length allows k slots.
                let steps = elapsed.as_secs_f64() / cold_start.as_secs_f64() * f64::from(all);
                all.min(1 + steps as u32)
            }
        }
    }
}

/// Length of the next hold.
#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    last: Option<(Duration, Instant)>,
}

impl Backoff {
    /// Doubles the last hold if it ended less than `backoff_reset` ago. The time
    /// counts from the end of the hold, because the longest hold and its trial
    /// may take most of the 10 minutes themselves.
    fn next(&self, settings: &Settings, now: Instant) -> Duration {
        match self.last {
            Some((hold, ended))
                if now.saturating_duration_since(ended) < settings.backoff_reset =>
            {
                (hold * 2).min(settings.max_ejection_time)
            }
            _ => settings.base_ejection_time,
        }
    }
}

/// Stage with its history.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standing {
    pub(crate) stage: Stage,
    backoff: Backoff,
    floor_logged: Option<Instant>,
}

const _: () = assert!(
    size_of::<Standing>() == 80,
    "the module documentation gives this size"
);

impl Standing {
    pub(crate) fn new(stage: Stage) -> Self {
        Self {
            stage,
            backoff: Backoff::default(),
            floor_logged: None,
        }
    }

    /// Ejects for the next hold, at least until `least`.
    pub(crate) fn eject(&mut self, settings: &Settings, now: Instant, least: Option<Instant>) {
        let hold = self.backoff.next(settings, now);
        let until = least.map_or(now + hold, |least| least.max(now + hold));
        self.backoff.last = Some((until - now, until));
        self.stage = Stage::Ejected { until };
    }

    /// Whether a held floor is to be logged now.
    pub(crate) fn log_floor(&mut self, interval: Duration, now: Instant) -> bool {
        let due = self
            .floor_logged
            .is_none_or(|last| now.saturating_duration_since(last) >= interval);
        if due {
            self.floor_logged = Some(now);
        }
        due
    }
}

/// State of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) leaving: bool,
    /// State of the upstream as a whole; it bounds that of each class.
    pub(crate) whole: Standing,
    pub(crate) classes: Vec<Standing>,
}

impl Upstream {
    pub(crate) fn new(leaving: bool, stage: Stage, classes: usize) -> Self {
        Self {
            leaving,
            whole: Standing::new(stage),
            classes: vec![Standing::new(Stage::Healthy); classes],
        }
    }

    /// Whether it counts towards the floor: neither leaving nor, in any class,
    /// ejected, in trial or ramping.
    pub(crate) fn is_healthy(&self) -> bool {
        !self.leaving
            && self.whole.stage.is_healthy()
            && self.classes.iter().all(|class| class.stage.is_healthy())
    }
}
