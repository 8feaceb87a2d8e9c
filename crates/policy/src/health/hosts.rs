//! Hosts that report outcomes, and their groups for detection.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::detection;

#[derive(Clone, Copy, Debug)]
struct Report {
    group: usize,
    last: Instant,
}

/// Hosts with a recent report. While there are two or more, they are never all
/// in one group.
#[derive(Clone, Debug, Default)]
pub(crate) struct Hosts {
    reports: HashMap<Arc<str>, Report>,
    sizes: [usize; detection::HOST_GROUPS],
}

impl Hosts {
    /// Records a report of `host` and returns the group of the host.
    pub(crate) fn record_report(&mut self, host: &Arc<str>, now: Instant) -> usize {
        if let Some(report) = self.reports.get_mut(host) {
            report.last = now;
            return report.group;
        }
        let group = self.smallest_group();
        self.sizes[group] += 1;
        self.reports
            .insert(Arc::clone(host), Report { group, last: now });
        group
    }

    /// Returns whether at most one host has reported recently.
    pub(crate) fn is_single(&self) -> bool {
        self.reports.len() <= 1
    }

    /// Removes hosts without a report for `window`. Returns whether the remaining
    /// ones had to be reassigned to groups.
    pub(crate) fn prune(&mut self, window: Duration, now: Instant) -> bool {
        self.reports
            .retain(|_, report| now.saturating_duration_since(report.last) < window);
        self.sizes = [0; detection::HOST_GROUPS];
        for report in self.reports.values() {
            self.sizes[report.group] += 1;
        }
        let all_in_one_group = self.reports.len() > 1 && self.sizes.contains(&self.reports.len());
        if all_in_one_group {
            // Sorted by name, so that the assignment is deterministic.
            let mut names: Vec<_> = self.reports.keys().cloned().collect();
            names.sort_unstable();
            self.sizes = [0; detection::HOST_GROUPS];
            for name in names {
                let group = self.smallest_group();
                self.sizes[group] += 1;
                if let Some(report) = self.reports.get_mut(&name) {
                    report.group = group;
                }
            }
        }
        all_in_one_group
    }

    fn smallest_group(&self) -> usize {
        (0..detection::HOST_GROUPS)
            .min_by_key(|&group| self.sizes[group])
            .unwrap_or(0)
    }
}
