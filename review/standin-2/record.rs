//! The record of a case, and how it ends.

use std::{
    fs,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Lines for `record.txt`, with the time since the start of the case. Clones share
/// them.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn add(&self, line: impl Into<String>) {
        let mut lines = self.lines.lock().unwrap();
        lines.push((Instant::now(), line.into()));
    }

    /// Writes the lines to the file that `RECORD` names and ends the process: with
    /// 2 if the case could not be played, with 1 if the rule was broken, else with 0.
    pub fn finish(&self, result: Result<bool, String>) -> ! {
        let (code, line) = match result {
            Ok(false) => (0, "the rule held".to_owned()),
            Ok(true) => (1, "the rule was broken".to_owned()),
            Err(error) => (2, format!("the case could not be played: {error}")),
        };
        self.add(line.clone());
        let mut lines = self.lines.lock().unwrap();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| {
                let time = at.saturating_duration_since(self.started);
                format!("{:9.3} {line}\n", time.as_secs_f64())
            })
            .collect();
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        if let Err(error) = fs::write(&path, text) {
            eprintln!("{path}: {error}");
        }
        println!("{line}");
        std::process::exit(code);
    }
}
