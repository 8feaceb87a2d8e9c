//! Processes and runs of the caller.

use std::path::PathBuf;
use std::time::Duration;
use std::{env, fs, process};

use dotterelhinge_standin::backend::record::{Entry, Page};
use dotterelhinge_standin::caller::result::Results;
use dotterelhinge_standin::client;
use dotterelhinge_standin::process::Process;
use serde_json::Value;

/// Longest wait for a run; far above the length of the runs of these tests.
const LIMIT: Duration = Duration::from_secs(120);

pub(crate) fn backend(arguments: &[&str]) -> Process {
    let mut all = vec!["--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"];
    all.extend(["--count", "1", "--slots", "100", "--service-ms", "0"]);
    all.extend(arguments);
    Process::start("standin-backend", &all).expect("backend starts")
}

pub(crate) fn set(backend: &Process, fault: Value) {
    let call = serde_json::json!({"fault": fault});
    let answer = client::post(backend.control(), "/fault", &call).expect("control");
    assert_eq!(answer.status, 200, "{call}");
}

pub(crate) fn record(backend: &Process) -> Vec<Entry> {
    let answer = client::get(backend.control(), "/record").expect("record");
    let page: Page = serde_json::from_slice(&answer.body).expect("page");
    page.entries
}

pub(crate) fn file(name: &str) -> PathBuf {
    env::temp_dir().join(format!("standin-caller-{}-{name}", process::id()))
}

/// Runs the caller with a mix and returns its results.
pub(crate) fn run(name: &str, targets: &str, mix: &Value, arguments: &[&str]) -> Results {
    let (mix_file, output) = (file(&format!("{name}-mix")), file(&format!("{name}-out")));
    fs::write(&mix_file, mix.to_string()).expect("mix is written");
    let mut all = vec!["--targets", targets];
    all.extend(["--mix", mix_file.to_str().expect("path")]);
    all.extend(["--output", output.to_str().expect("path")]);
    all.extend(arguments);
    let mut caller = Process::start("standin-caller", &all).expect("caller starts");
    let status = caller.wait(LIMIT).expect("caller ends");
    assert!(status.success(), "{}", caller.output());
    let results = serde_json::from_slice(&fs::read(&output).expect("output")).expect("results");
    for path in [mix_file, output] {
        fs::remove_file(path).expect("file is removed");
    }
    results
}
