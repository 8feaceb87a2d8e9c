//! Results of a scenario as JSON, Markdown and a plot.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
    time::Duration,
};

use error_stack::{Report, ResultExt};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{
    experiment::{
        Error,
        bound::{self, Bound},
        figures::Run,
        scenario,
        table::{self, number},
    },
    plot,
};

/// Line of the measurement page below which this module writes.
pub const MARK: &str = "<!-- Written by bench/run.sh; edits below are lost. -->";

/// All runs of a scenario.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Results {
    /// Name of the scenario.
    pub scenario: String,
    /// Command line of the benchmark.
    pub command: String,
    /// Daemons of each deployment.
    pub daemons: u16,
    /// Seconds of arrivals of each run.
    pub seconds: f64,
    /// Whether the figures are a trial, taken on a machine that did other work.
    pub trial: bool,
    /// Slots and mean service time in seconds by class and deployment.
    pub queues: Vec<(String, String, u64, f64)>,
    /// The runs, in their order.
    pub runs: Vec<Run>,
}

impl Results {
    /// Deployments and policies, each with its runs.
    fn groups(&self) -> Vec<(&str, &str, Vec<&Run>)> {
        let keys: BTreeSet<_> = self
            .runs
            .iter()
            .map(|run| (run.deployment.as_str(), run.policy.as_str()))
            .collect();
        keys.into_iter()
            .map(|(deployment, policy)| {
                let runs = self.runs.iter();
                let same = |run: &&Run| run.deployment == deployment && run.policy == policy;
                (deployment, policy, runs.filter(same).collect())
            })
            .collect()
    }

    /// Bounds of all deployments.
    pub fn bounds(&self) -> Vec<Bound> {
        let Some(scenario) = scenario::all()
            .into_iter()
            .find(|s| s.name == self.scenario)
        else {
            return Vec::new();
        };
        let deployments: BTreeSet<_> = self.runs.iter().map(|run| &run.deployment).collect();
        deployments
            .into_iter()
            .flat_map(|deployment| {
                let queues: Vec<_> = self
                    .queues
                    .iter()
                    .filter(|(name, ..)| name == deployment)
                    .map(|(_, class, slots, mean)| {
                        (class.clone(), *slots, Duration::from_secs_f64(*mean))
                    })
                    .collect();
                bound::of(&scenario, deployment, &self.runs, &queues)
            })
            .collect()
    }

    /// The section of the measurement page.
    pub fn markdown(&self) -> String {
        let trial = if self.trial { " (trial)" } else { "" };
        let mut page = format!("### {}{trial}\n\n", self.scenario);
        page += &format!(
            "{} daemons, {} s a run, `{}`\n\n",
            self.daemons, self.seconds, self.command
        );
        page += &self.class_table();
        page.push('\n');
        page += &self.run_table();
        page.push('\n');
        page += &bound_table(&self.bounds());
        page
    }

    fn class_table(&self) -> String {
        let mut rows = Vec::new();
        for (deployment, policy, runs) in self.groups() {
            let classes: BTreeSet<_> = runs.iter().flat_map(|run| run.classes.keys()).collect();
            for class in classes {
                let of: Vec<_> = runs
                    .iter()
                    .filter_map(|run| run.classes.get(class))
                    .collect();
                let sum = |f: &dyn Fn(&crate::experiment::figures::Class) -> u64| -> u64 {
                    of.iter().map(|class| f(class)).sum()
                };
                let added = |f: &dyn Fn(&crate::experiment::figures::Class) -> Option<f64>| {
                    number(
                        bound::over(runs.iter().copied(), |run| f(run.classes.get(class)?)),
                        1,
                    )
                };
                let found: Vec<_> = of.iter().flat_map(|class| &class.detection).collect();
                let mut seconds: Vec<f64> = found.iter().map(|found| found.seconds).collect();
                let missed = found.iter().filter(|found| !found.detected).count();
                let median = number(crate::experiment::measure::median(&mut seconds), 2);
                let mark = if missed > 0 {
                    format!(" ({missed} not)")
                } else {
                    String::new()
                };
                rows.push(vec![
                    deployment.to_owned(),
                    class.clone(),
                    policy.to_owned(),
                    sum(&|class| class.sent).to_string(),
                    number(
                        Some(100.0 * sum(&|c| c.whole) as f64 / sum(&|c| c.sent).max(1) as f64),
                        2,
                    ),
                    sum(&|class| class.wrong_or_unproven).to_string(),
                    sum(&|class| class.run_twice).to_string(),
                    added(&|class| class.added_p50_ms),
                    added(&|class| class.added_p99_ms),
                    added(&|class| class.added_p999_ms),
                    median,
                    number(seconds.last().copied(), 2) + &mark,
                    number(Some(of.iter().map(|class| class.false_ejections).sum()), 2),
                    number(
                        Some(
                            of.iter().map(|class| class.cost).sum::<f64>() / of.len().max(1) as f64,
                        ),
                        1,
                    ),
                ]);
            }
        }
        let head = [
            "deployment",
            "class",
            "policy",
            "sent",
            "whole %",
            "wrong or unproven",
            "run twice",
            "added p50 ms",
            "p99",
            "p99.9",
            "detection s",
            "worst",
            "false ejections",
            "cost",
        ];
        table::format(&head, &rows)
    }

    fn run_table(&self) -> String {
        let rows: Vec<_> = self
            .groups()
            .into_iter()
            .map(|(deployment, policy, runs)| {
                let over =
                    |f: &dyn Fn(&Run) -> f64| bound::over(runs.iter().copied(), |r| Some(f(r)));
                let shares = |f: &dyn Fn(&Run) -> Vec<f64>| {
                    let each = runs.first().map(|run| f(run)).unwrap_or_default();
                    let each = each.iter().map(|share| format!("{:.0}", share * 100.0));
                    each.collect::<Vec<_>>().join(" / ")
                };
                let used = shares(&|run| run.slots_used.values().copied().collect());
                let granted = shares(&|run| run.slots_granted.values().copied().collect());
                vec![
                    deployment.to_owned(),
                    policy.to_owned(),
                    runs.len().to_string(),
                    number(over(&|run| run.false_ejections_per_server_hour), 2),
                    used,
                    granted,
                    number(over(&|run| run.attempts_per_request), 3),
                    number(over(&|run| run.fallbacks as f64), 0),
                    number(over(&|run| run.control_bytes_per_second.0), 0),
                    number(over(&|run| run.control_bytes_per_second.1), 0),
                    number(over(&|run| run.cpu.0 * 100.0), 1),
                    number(over(&|run| run.cpu.1 * 100.0), 1),
                    number(over(&|run| run.machine_idle * 100.0), 0),
                    number(over(&|run| run.load_average), 1),
                    runs.iter()
                        .map(|run| run.findings.len())
                        .sum::<usize>()
                        .to_string(),
                ]
            })
            .collect();
        let head = [
            "deployment",
            "policy",
            "runs",
            "false ejections/server-hour",
            "slots used % by service",
            "granted %",
            "attempts/requests",
            "fallbacks",
            "control B/s mean",
            "largest",
            "CPU % mean",
            "largest",
            "machine idle %",
            "load average before",
            "findings",
        ];
        table::format(&head, &rows)
    }

    /// Writes the result file and the plot of latencies.
    pub fn write(&self, directory: &Path) -> Result<(), Report<Error>> {
        fs::create_dir_all(directory).change_context_lazy(|| Error::Write(directory.to_owned()))?;
        let path = directory.join(format!("{}.json", self.scenario));
        let fail = || Error::Write(path.clone());
        let text = serde_json::to_string_pretty(self).change_context_lazy(fail)?;
        fs::write(&path, text + "\n").change_context_lazy(fail)?;
        let plot = directory.join(format!("{}.svg", self.scenario));
        plot::percentiles(&self.lines(), &plot).change_context_lazy(|| Error::Write(plot.clone()))
    }

    fn lines(&self) -> Vec<plot::Line> {
        let mut lines: Vec<plot::Line> = Vec::new();
        for (deployment, policy, runs) in self.groups() {
            for (class, latency) in runs.iter().flat_map(|run| &run.latencies) {
                let name = format!("{deployment} {class} {policy}");
                let Some(histogram): Option<Histogram<u64>> = latency.decode() else {
                    continue;
                };
                match lines.iter_mut().find(|line| line.name == name) {
                    // Both have the bounds of the collector.
                    Some(line) => drop(line.histogram.add(&histogram)),
                    None if latency.count > 0 => lines.push(plot::Line { name, histogram }),
                    None => {}
                }
            }
        }
        lines
    }
}

/// Table of bounds, each with pass or miss.
pub fn bound_table(bounds: &[Bound]) -> String {
    let rows: Vec<_> = bounds
        .iter()
        .map(|bound| {
            let verdict = if bound.is_kept() { "pass" } else { "MISS" };
            vec![
                bound.name.clone(),
                bound.deployment.clone(),
                number(bound.value, 2),
                number(Some(bound.limit), 2),
                verdict.to_owned(),
                bound.note.clone(),
            ]
        })
        .collect();
    table::format(
        &[
            "bound",
            "deployment",
            "measured",
            "limit",
            "verdict",
            "note",
        ],
        &rows,
    )
}

/// Writes the sections of all result files below the mark of the measurement
/// page; what stands above stays.
pub fn write_page(directory: &Path, page: &Path) -> Result<(), Report<Error>> {
    let mut text = fs::read_to_string(page).unwrap_or_else(|_| "# Measurements\n".to_owned());
    if let Some(at) = text.find(MARK) {
        text.truncate(at);
    }
    let mut text = text.trim_end().to_owned();
    text += &format!(
        "\n\n{MARK}\n\n## Benchmark\n\n{}\n",
        include_str!("definitions.md")
    );
    for scenario in scenario::all() {
        let path = directory.join(format!("{}.json", scenario.name));
        if !path.is_file() {
            continue;
        }
        text += &read(&path)?.markdown();
        text.push('\n');
    }
    let text = text.trim_end().to_owned() + "\n";
    fs::write(page, text).change_context_lazy(|| Error::Write(page.to_owned()))
}

fn read(path: &PathBuf) -> Result<Results, Report<Error>> {
    let fail = || Error::Read(path.clone());
    let text = fs::read(path).change_context_lazy(fail)?;
    serde_json::from_slice(&text).change_context_lazy(fail)
}
