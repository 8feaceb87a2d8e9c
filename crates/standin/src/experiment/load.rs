//! Load of an experiment, each on a thread of its own.

use std::{sync::Arc, thread, time::Duration};

use error_stack::Report;
use serde_json::Value;

use crate::{
    caller::{mix, result, run},
    experiment::{Error, interrupt, list, string},
};

/// Time that a caller waits longer than the deadline of the class, so that it
/// receives the daemon's own answer about a missed deadline.
const GRACE_MS: u64 = 500;

/// A load that runs.
#[derive(Debug)]
pub struct Running(thread::JoinHandle<Option<result::Results>>);

impl Running {
    /// Waits for the results.
    pub fn join(self) -> Result<result::Results, Report<Error>> {
        self.0
            .join()
            .ok()
            .flatten()
            .ok_or_else(|| Report::new(Error::Load))
    }
}

/// Starts a load; it ends early if the experiment is interrupted.
pub fn start(settings: run::Settings) -> Running {
    Running(thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            tokio::task::LocalSet::new()
                .run_until(run::run(settings, interrupt::interrupted()))
                .await
        })
    }))
}

/// Runs a load to its end.
pub fn run(settings: run::Settings) -> Result<result::Results, Report<Error>> {
    start(settings).join()
}

/// The kinds of requests to a service: one for each class, on its first route.
///
/// The weights are 8 for repeatable and 2 for other classes. Requests carry
/// the class in `x-class`, under which the backend records them.
pub fn kinds(text: &Value, service: &str, upload_bytes: u64) -> Vec<mix::Kind> {
    let classes = list(text, "classes").iter();
    classes
        .filter_map(|class| {
            let name = string(class, "name");
            let route = list(text, "routes")
                .iter()
                .find(|r| string(r, "class") == name && string(r, "service") == service)?;
            let upload = class["upload"] == true;
            let repeatable = class["repeatable"] == true;
            let body_bytes = match (upload, repeatable) {
                (true, _) => upload_bytes,
                (false, true) => 0,
                (false, false) => 300,
            };
            let method = route["methods"][0].as_str().unwrap_or("GET");
            Some(mix::Kind {
                name: name.to_owned(),
                weight: if repeatable { 8.0 } else { 2.0 },
                method: method.to_owned(),
                path: format!("{}/1", string(route, "path_prefix")),
                headers: [("x-class".to_owned(), name.to_owned())].into(),
                bytes: (body_bytes == 0).then_some(800),
                body_bytes,
                deadline_ms: class["deadline_ms"].as_u64().map(|ms| ms + GRACE_MS),
                key: if repeatable {
                    mix::Key::None
                } else {
                    mix::Key::Uuid7
                },
                repeatable,
                ..Default::default()
            })
        })
        .collect()
}

/// A load of these kinds.
pub fn settings(
    targets: Vec<String>,
    admins: Vec<String>,
    kinds: Vec<mix::Kind>,
    rate: f64,
    length: Duration,
    seed: u64,
) -> run::Settings {
    run::Settings {
        targets,
        admins,
        mix: Arc::new(mix::Mix { kinds }),
        rate,
        length,
        seed,
        drain: Duration::from_secs(12),
        ..Default::default()
    }
}
