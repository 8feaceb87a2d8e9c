//! CPU time from `/proc`, of own child processes and of the machine.

use std::fs;

use nix::unistd::{SysconfVar, sysconf};
use serde::Serialize;

/// Seconds of CPU time that a process has used; `None` once it has ended.
pub fn process(id: u32) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let ticks = ticks(&stat)?;
    let per_second = sysconf(SysconfVar::CLK_TCK).ok()??;
    Some(ticks as f64 / per_second as f64)
}

/// Clock ticks in user and system mode from the text of `/proc/<pid>/stat`.
pub fn ticks(stat: &str) -> Option<u64> {
    // The program name may hold spaces and parentheses; fields count from the
    // last closing one, after which the state is the first.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

/// Ticks of the machine since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Machine {
    /// Idle or waiting for input and output.
    pub idle: u64,
    /// All.
    pub total: u64,
}

impl Machine {
    /// Reads the counters.
    pub fn read() -> Self {
        let stat = fs::read_to_string("/proc/stat").unwrap_or_default();
        let first = stat.lines().next().unwrap_or_default();
        let fields: Vec<u64> = first
            .split_whitespace()
            .skip(1)
            // Guest time is contained in user time.
            .take(8)
            .filter_map(|field| field.parse().ok())
            .collect();
        Self {
            idle: fields.iter().skip(3).take(2).sum(),
            total: fields.iter().sum(),
        }
    }

    /// Share of idle time since an earlier reading.
    pub fn idle_since(&self, earlier: &Self) -> f64 {
        let total = self.total.saturating_sub(earlier.total).max(1);
        self.idle.saturating_sub(earlier.idle) as f64 / total as f64
    }
}

/// Load average of the last minute.
pub fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}
