//! Output of a command.

use std::{fmt::Write, time::Duration};

use error_stack::Report;
use serde_json::{Value, json};

use super::{Code, Error};

/// Result of a command in both output formats.
#[derive(Debug)]
pub struct Output {
    /// Exit code.
    pub code: Code,
    /// Standard output for `--output text`.
    pub text: String,
    /// Standard output for `--output json`.
    pub json: Value,
    /// Messages for standard error in both formats.
    pub problems: Vec<String>,
}

impl Output {
    pub(super) fn new(text: impl Into<String>, json: Value) -> Self {
        Self {
            code: Code::Ok,
            text: text.into(),
            json,
            problems: Vec::new(),
        }
    }

    pub(super) fn with_code(self, code: Code) -> Self {
        Self { code, ..self }
    }

    /// Returns the exit code, standard output and standard error.
    pub(super) fn render(&self, as_json: bool) -> (Code, String, String) {
        let mut stdout = if as_json {
            self.json.to_string()
        } else {
            self.text.clone()
        };
        if !stdout.is_empty() && !stdout.ends_with('\n') {
            stdout.push('\n');
        }
        let stderr = self
            .problems
            .iter()
            .map(|problem| format!("dotterelhingectl: {problem}\n"))
            .collect();
        (self.code, stdout, stderr)
    }
}

/// Converts an error to an output. The faults of a configuration are the
/// result of a command and go to standard output.
pub(super) fn failure(report: &Report<Error>) -> Output {
    let error = report.current_context();
    let faults = error.faults();
    let text = faults.iter().map(|fault| format!("{fault}\n")).collect();
    let listed: Vec<_> = faults
        .iter()
        .map(|fault| json!({"path": fault.path, "value": fault.value, "rule": fault.rule}))
        .collect();
    Output {
        code: error.code(),
        text,
        json: json!({"error": error.to_string(), "code": error.code() as u8, "faults": listed}),
        problems: vec![error.to_string()],
    }
}

/// Formats rows as a table. Columns whose title starts with a space are
/// right-aligned.
pub(super) fn table(titles: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<_> = titles
        .iter()
        .map(|title| title.trim().chars().count())
        .collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let mut line = String::new();
        for ((cell, width), title) in cells.zip(&widths).zip(titles) {
            let gap = " ".repeat(width - cell.chars().count());
            let (left, right) = if title.starts_with(' ') {
                (&*gap, "")
            } else {
                ("", &*gap)
            };
            let _ = write!(line, "{left}{cell}{right}  ");
        }
        format!("{}\n", line.trim_end())
    };
    let mut text = line(&mut titles.iter().map(|title| title.trim()));
    for row in rows {
        text.push_str(&line(&mut row.iter().map(String::as_str)));
    }
    text
}

/// Formats milliseconds since the Unix epoch as RFC 3339 in UTC.
pub(super) fn time(milliseconds: u64) -> String {
    let seconds = milliseconds / 1000;
    let (days, second) = (seconds / 86_400, seconds % 86_400);
    // Days count from 0000-03-01, so that a leap day is the last day of a year.
    let days = days + 719_468;
    let (era, day) = (days / 146_097, days % 146_097);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let day = day - (153 * month + 2) / 5 + 1;
    let (month, carry) = if month < 10 {
        (month + 3, 0)
    } else {
        (month - 9, 1)
    };
    format!(
        "{:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}Z",
        era * 400 + year + carry,
        second / 3600,
        second / 60 % 60,
        second % 60
    )
}

/// Formats a duration with up to three digits; more from 1,000 minutes on, or
/// if the value rounds up to the next power of ten.
pub(super) fn duration(duration: Duration) -> String {
    let seconds = duration.as_secs_f64();
    if seconds < 1e-3 {
        format!("{:.0}us", seconds * 1e6)
    } else if seconds < 1.0 {
        let milliseconds = seconds * 1e3;
        format!("{milliseconds:.*}ms", usize::from(milliseconds < 100.0))
    } else if seconds < 100.0 {
        format!("{seconds:.1}s")
    } else {
        format!("{}m", (seconds / 60.0).round())
    }
}
