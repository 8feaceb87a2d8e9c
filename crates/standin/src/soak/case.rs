//! Cases: plans that once broke a promise, reduced to few steps and kept as files.

use std::fs;
use std::io;
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::soak::plan::Plan;

/// A plan and why it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Case {
    /// What was broken; once it is known, the cause, in one line.
    pub cause: String,
    /// The plan.
    pub plan: Plan,
}

impl Case {
    /// Reads a case from a file.
    pub fn load(path: &Path) -> io::Result<Self> {
        let text = fs::read_to_string(path).map_err(|error| {
            io::Error::new(error.kind(), format!("{}: {error}", path.display()))
        })?;
        serde_json::from_str(&text)
            .map_err(|error| io::Error::other(format!("{}: {error}", path.display())))
    }

    /// Writes the case to a file.
    pub fn save(&self, path: &Path) -> io::Result<()> {
        let text = serde_json::to_string_pretty(self).map_err(io::Error::other)?;
        fs::write(path, text + "\n")
            .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", path.display())))
    }

    /// Takes steps and then callers away while `fails` holds for the plan.
    pub fn reduce(mut self, mut fails: impl FnMut(&Plan) -> bool) -> Self {
        let steps = std::mem::take(&mut self.plan.steps);
        let mut plan = self.plan.clone();
        self.plan.steps = reduce(steps, |steps| {
            plan.steps = steps.to_vec();
            fails(&plan)
        });
        while self.plan.settings.callers > 1 {
            let mut plan = self.plan.clone();
            plan.settings.callers /= 2;
            if !fails(&plan) {
                break;
            }
            self.plan = plan;
        }
        self
    }
}

/// Returns items, in order, for which `fails` holds and from which it tried to take
/// away each: first large parts, then single ones.
fn reduce<T: Clone>(mut items: Vec<T>, mut fails: impl FnMut(&[T]) -> bool) -> Vec<T> {
    let mut size = items.len().div_ceil(2);
    while size > 0 {
        let mut start = 0;
        while start < items.len() {
            let end = (start + size).min(items.len());
            let rest: Vec<T> = [&items[..start], &items[end..]].concat();
            if fails(&rest) {
                items = rest;
            } else {
                start = end;
            }
        }
        size /= 2;
    }
    items
}
