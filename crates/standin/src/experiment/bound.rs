//! Bounds from the stated targets. They don't follow what was measured.

use std::time::Duration;

use crate::experiment::{figures::Run, measure, scenario};

/// Added latency at p99 and 80 % load, in milliseconds.
const ADDED_MS: f64 = 7.9;
/// Seconds until a leaving server receives no new work.
const LEAVING_SECONDS: f64 = 3.0;
/// Seconds until an accepted text is in force everywhere.
const IN_FORCE_SECONDS: f64 = 6.0;
/// Attempts divided by requests.
const ATTEMPTS: f64 = 1.2;
/// Share of the baseline's weighted cost in a fault.
const COST_SHARE: f64 = 0.5;

/// A bound and what was measured, of the policy `fleet`.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    /// What is bounded.
    pub name: String,
    /// Name of the text.
    pub deployment: String,
    /// Measured figure, if there was one.
    pub value: Option<f64>,
    /// Largest allowed figure.
    pub limit: f64,
    /// Further figures.
    pub note: String,
}

impl Bound {
    /// Whether the bound is kept. A figure that is missing keeps no bound.
    pub fn is_kept(&self) -> bool {
        // Sums of shares may differ in the last bits.
        self.value.is_some_and(|value| value <= self.limit + 1e-9)
    }
}

/// Median over runs of a figure.
pub fn over<'a>(
    runs: impl IntoIterator<Item = &'a Run>,
    figure: impl Fn(&Run) -> Option<f64>,
) -> Option<f64> {
    let mut values: Vec<f64> = runs.into_iter().filter_map(figure).collect();
    measure::median(&mut values)
}

fn worst(runs: &[&Run], figure: impl Fn(&Run) -> Option<f64>) -> Option<f64> {
    runs.iter().filter_map(|run| figure(run)).reduce(f64::max)
}

/// Mean weighted cost of a run, over all classes.
pub fn cost(runs: &[&Run]) -> Option<f64> {
    let total: f64 = runs
        .iter()
        .flat_map(|run| run.classes.values())
        .map(|c| c.cost)
        .sum();
    (!runs.is_empty()).then(|| total / runs.len() as f64)
}

/// Bounds that a scenario is to keep in one deployment.
///
/// `queues` has, for each class, the slots of its service and its mean service
/// time.
pub fn of(
    scenario: &scenario::Scenario,
    deployment: &str,
    runs: &[Run],
    queues: &[(String, u64, Duration)],
) -> Vec<Bound> {
    let of_policy = |policy: &str| -> Vec<&Run> {
        let runs = runs.iter();
        runs.filter(|run| run.policy == policy && run.deployment == deployment)
            .collect()
    };
    let [fleet, baseline] = ["fleet", "baseline"].map(of_policy);
    let bound = |name: &str, value, limit, note: String| Bound {
        name: name.to_owned(),
        deployment: deployment.to_owned(),
        value,
        limit,
        note,
    };
    let mut bounds = vec![bound(
        "attempts/requests",
        worst(&fleet, |run| Some(run.attempts_per_request)),
        ATTEMPTS,
        String::new(),
    )];
    if scenario.event == scenario::Event::None && scenario.load == 0.8 {
        for (class, slots, mean) in queues {
            let ideal = measure::ideal_wait(*slots, scenario.load, *mean, 0.99);
            let ideal = ideal.as_secs_f64() * 1e3;
            let added = over(fleet.iter().copied(), |run| {
                run.classes.get(class)?.added_p99_ms
            });
            // A service with few slots waits for longer than the target even
            // in an ideal queue; there the target is on top of that wait.
            let (value, of) = if ideal > ADDED_MS {
                (added.map(|added| added - ideal), "over the ideal queue")
            } else {
                (added, "")
            };
            let name = format!("added p99 ms {class} {of}");
            let note = format!(
                "added {:.1}, ideal queue {ideal:.1}",
                added.unwrap_or(f64::NAN)
            );
            bounds.push(bound(name.trim_end(), value, ADDED_MS, note));
        }
    }
    if scenario.event == scenario::Event::Leave {
        let leaving = worst(&fleet, |run| run.leaving_seconds);
        bounds.push(bound("leaving s", leaving, LEAVING_SECONDS, String::new()));
        let in_force = worst(&fleet, |run| run.in_force_seconds);
        bounds.push(bound(
            "text in force s",
            in_force,
            IN_FORCE_SECONDS,
            String::new(),
        ));
    }
    let theirs = cost(&baseline);
    let share = match scenario.event {
        scenario::Event::None => 1.0,
        _ => COST_SHARE,
    };
    let note = format!("baseline {:.2}", theirs.unwrap_or(f64::NAN));
    let limit = theirs.unwrap_or(0.0) * share;
    bounds.push(bound("weighted cost", cost(&fleet), limit, note));
    bounds
}
