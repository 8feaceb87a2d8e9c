//! Commands on the configuration and its versions.

use std::{fs, path::PathBuf, time::Duration};

use clap::ArgMatches;
use error_stack::Report;
use json_patch::PatchOperation;
use serde_json::{Value, json};

use crate::{
    document::{self, Document},
    platform::{Client, Edit, Head, Outcome},
};

use super::{
    Code, Error, Output,
    command::Base,
    error::{Result, available},
    output,
};

/// Maximum number of reads of the history for an edit whose outcome is unknown.
const MAX_RESOLVE_ATTEMPTS: u32 = 5;

/// Maximum number of changes that a conflict message lists for each edit.
const MAX_CONFLICT_CHANGES: usize = 10;

fn load(matches: &ArgMatches) -> Result<(String, Document)> {
    let path: &PathBuf = matches.get_one("file").expect("required");
    let name = path.display().to_string();
    let bytes = fs::read(path).map_err(|error| {
        let message = format!("cannot read {name}: {error}");
        Report::new(error).change_context(Error::new(Code::Usage, message))
    })?;
    match Document::parse(&bytes) {
        Ok(document) => Ok((name, document)),
        Err(report) => {
            let error = Error::invalid(&name, report.current_context());
            Err(report.change_context(error))
        }
    }
}

pub(super) fn check(matches: &ArgMatches) -> Result<Output> {
    let (name, document) = load(matches)?;
    let snapshot = document.snapshot();
    let upstreams: usize = snapshot
        .services
        .iter()
        .map(|service| service.upstreams.len())
        .sum();
    Ok(Output::new(
        format!(
            "{name} is valid: {} services, {upstreams} upstreams, {} classes, {} customers, hash {}",
            snapshot.services.len(),
            snapshot.classes.len(),
            snapshot.customers.len(),
            document.hash()
        ),
        json!({
            "valid": true,
            "hash": document.hash(),
            "services": snapshot.services.len(),
            "upstreams": upstreams,
            "classes": snapshot.classes.len(),
            "customers": snapshot.customers.len(),
        }),
    ))
}

pub(super) async fn apply(
    matches: &ArgMatches,
    platform: &Client,
    resolve_interval: Duration,
) -> Result<Output> {
    let argument = |name| matches.get_one::<String>(name).expect("has a value");
    let (name, document) = load(matches)?;
    let head = available(platform.head().await)?;
    // An earlier run may have had this edit accepted but lost the response.
    // Sending it again would create a second version.
    if let Some(head) = head.as_ref().filter(|head| head.hash == *document.hash()) {
        return Ok(Output::new(
            format!(
                "{name} is already version {} by {}",
                head.version, head.author
            ),
            json!({"result": "unchanged", "version": head.version, "hash": head.hash}),
        ));
    }
    let base = match matches.get_one("base").expect("required") {
        Base::Latest => head.map_or(0, |head| head.version),
        Base::Version(version) => *version,
    };
    let canonical = String::from_utf8(document.canonical()).expect("JSON is UTF-8");
    let result = platform
        .submit(base, &canonical, argument("author"), argument("summary"))
        .await;
    let mut accept = available(result)?;
    for _ in 0..MAX_RESOLVE_ATTEMPTS {
        let Outcome::Unknown(edit) = &accept else {
            break;
        };
        tokio::time::sleep(resolve_interval).await;
        if let Ok(resolved) = platform.resolve(edit).await {
            accept = resolved;
        }
    }
    match accept {
        Outcome::Accepted { version, .. } => Ok(Output::new(
            format!("{name} is version {version}, hash {}", document.hash()),
            json!({"result": "accepted", "version": version, "hash": document.hash()}),
        )),
        Outcome::Conflict { version, edits } => Ok(conflict(platform, base, version, edits).await),
        Outcome::Unknown(edit) => {
            let text = format!(
                "{name} was sent as version {}, edit {}, and its outcome is unknown; \
                 `dotterelhingectl history` lists the edit if it was accepted",
                edit.version, edit.id
            );
            let json = json!({"result": "unproven", "edit": edit});
            Ok(problem(Code::Unproven, text, json))
        }
    }
}

/// Returns an output that has only a problem and JSON.
fn problem(code: Code, text: String, json: Value) -> Output {
    let mut output = Output::new("", json).with_code(code);
    output.problems.push(text);
    output
}

/// Reports the edits since the base: author, time, summary and changes. The
/// changes are left out if a version cannot be read.
async fn conflict(platform: &Client, base: u64, version: u64, edits: Vec<Edit>) -> Output {
    let mut text = format!("the head is version {version}, not {base}");
    let mut listed = Vec::new();
    let mut previous = match edit_by_version(platform, base).await {
        Ok(edit) => platform.document(&edit.hash).await.ok(),
        Err(_) => None,
    };
    for edit in &edits {
        let next = platform.document(&edit.hash).await.ok();
        let changes = match (&previous, &next) {
            (Some(old), Some(new)) => changes(old, new).unwrap_or_default(),
            _ => Vec::new(),
        };
        previous = next;
        text.push_str(&format!("\n  {}", describe(edit)));
        for change in changes.iter().take(MAX_CONFLICT_CHANGES) {
            text.push_str(&format!("\n    {}", change.text));
        }
        if changes.len() > MAX_CONFLICT_CHANGES {
            let more = changes.len() - MAX_CONFLICT_CHANGES;
            text.push_str(&format!("\n    and {more} more changes"));
        }
        let changes: Vec<_> = changes.into_iter().map(|change| change.text).collect();
        listed.push(json!({"edit": edit, "changes": changes}));
    }
    let json = json!({"result": "conflict", "base": base, "version": version, "edits": listed});
    problem(Code::Conflict, text, json)
}

fn describe(edit: &Edit) -> String {
    let time = output::time(edit.time);
    let Edit {
        version,
        author,
        summary,
        ..
    } = edit;
    format!("version {version} by {author} at {time}: {summary}")
}

async fn newest(platform: &Client) -> Result<Head> {
    available(platform.head().await)?
        .ok_or_else(|| Report::new(Error::new(Code::Usage, "the platform has no version yet")))
}

async fn edit_by_version(platform: &Client, version: u64) -> Result<Edit> {
    let head = newest(platform).await?;
    let missing = || {
        let message = format!(
            "version {version} does not exist; the head is {}",
            head.version
        );
        Report::new(Error::new(Code::Usage, message))
    };
    let age = head.version.checked_sub(version).ok_or_else(missing)?;
    let count = usize::try_from(age + 1).unwrap_or(usize::MAX);
    let edits = available(platform.history(count).await)?;
    edits
        .into_iter()
        .find(|edit| edit.version == version)
        .ok_or_else(missing)
}

pub(super) async fn show(matches: &ArgMatches, platform: &Client) -> Result<Output> {
    let (version, hash) = match matches.get_one("version") {
        Some(&version) => (version, edit_by_version(platform, version).await?.hash),
        None => {
            let head = newest(platform).await?;
            (head.version, head.hash)
        }
    };
    let value = parse(&available(platform.document(&hash).await)?)?;
    let text = serde_json::to_string_pretty(&value).expect("a value is JSON");
    Ok(Output::new(
        text,
        json!({"version": version, "hash": hash, "text": value}),
    ))
}

pub(super) async fn history(matches: &ArgMatches, platform: &Client) -> Result<Output> {
    let count = *matches.get_one::<u64>("count").expect("has a default") as usize;
    let edits = available(platform.history(count).await)?;
    let rows: Vec<_> = edits
        .iter()
        .map(|edit| {
            vec![
                edit.version.to_string(),
                output::time(edit.time),
                edit.author.to_string(),
                edit.hash.to_string(),
                edit.summary.to_string(),
            ]
        })
        .collect();
    let titles = [" version", "time", "author", "hash", "summary"];
    Ok(Output::new(output::table(&titles, &rows), json!(edits)))
}

pub(super) async fn diff(matches: &ArgMatches, platform: &Client) -> Result<Output> {
    let version = |name| *matches.get_one::<u64>(name).expect("required");
    let old = edit_by_version(platform, version("from")).await?;
    let new = edit_by_version(platform, version("to")).await?;
    let old = available(platform.document(&old.hash).await)?;
    let new = available(platform.document(&new.hash).await)?;
    let changes = changes(&old, &new)?;
    let text = changes
        .iter()
        .map(|change| format!("{}\n", change.text))
        .collect::<String>();
    let patch: Vec<_> = changes.into_iter().map(|change| change.operation).collect();
    Ok(Output::new(text, json!(patch)))
}

fn parse(text: &str) -> Result<Value> {
    serde_json::from_str(text).map_err(|error| {
        let message = format!("the configuration on the platform is not valid JSON: {error}");
        Report::new(error).change_context(Error::new(Code::Unavailable, message))
    })
}

struct Change {
    operation: PatchOperation,
    text: String,
}

fn changes(old: &str, new: &str) -> Result<Vec<Change>> {
    let (mut old, new) = (parse(old)?, parse(new)?);
    let mut changes = Vec::new();
    for operation in document::operations(&old, &new) {
        let path = operation.path().to_string();
        let name = readable_path(&old, &path);
        let was = old.pointer(&path).unwrap_or(&Value::Null);
        let text = match &operation {
            PatchOperation::Add(add) => format!("+ {}: {}", readable_path(&new, &path), add.value),
            PatchOperation::Replace(replace) => format!("~ {name}: {was} -> {}", replace.value),
            _ => format!("- {name}: {was}"),
        };
        // Later paths refer to the state after this operation.
        let one = std::slice::from_ref(&operation);
        json_patch::patch_unsafe(&mut old, one).expect("own patch fits");
        changes.push(Change { operation, text });
    }
    Ok(changes)
}

/// Replaces positions in a JSON Pointer by the names of the items that have
/// one.
fn readable_path(document: &Value, path: &str) -> String {
    let mut parent = Some(document);
    let mut name = String::new();
    for segment in path.split('/').skip(1) {
        let member = segment.replace("~1", "/").replace("~0", "~");
        let item = parent.and_then(|parent| match parent {
            Value::Array(items) => items.get(member.parse::<usize>().ok()?),
            other => other.get(&member),
        });
        let own = item
            .filter(|_| parent.is_some_and(Value::is_array))
            .and_then(|item| item.get("name")?.as_str());
        name.push('/');
        name.push_str(own.unwrap_or(&member));
        parent = item;
    }
    name
}
