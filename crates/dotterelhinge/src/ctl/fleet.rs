//! Commands on daemons: status, upstreams and drain.

use std::time::Duration;

use clap::ArgMatches;
use error_stack::Report;
use serde_json::{Value, json};

use crate::platform;

use super::{
    Code, Error, Output,
    admin::{Client, Reply, Status, Upstream},
    error::{Result, available},
    output,
};

/// Fails with [`Code::Usage`] unless admin addresses are given.
pub(super) fn require_daemons(daemons: &Client) -> Result<()> {
    if daemons.addresses.is_empty() {
        let error = Error::new(Code::Usage, "at least one --admin ADDR is required");
        return Err(Report::new(error));
    }
    Ok(())
}

/// Returns the successful responses and adds a problem for each failure.
pub(super) fn successes<T>(replies: Vec<Reply<T>>, problems: &mut Vec<String>) -> Vec<T> {
    replies
        .into_iter()
        .filter_map(|(address, reply)| {
            reply
                .map_err(|error| problems.push(format!("{address}: {error}")))
                .ok()
        })
        .collect()
}

/// Adds the problems of daemons, and sets [`Code::Daemons`] if there are any.
pub(super) fn with_problems(mut output: Output, problems: Vec<String>) -> Output {
    if !problems.is_empty() {
        output.code = Code::Daemons;
    }
    output.problems.extend(problems);
    output
}

pub(super) async fn status(
    daemons: &Client,
    platform: Option<&platform::Client>,
) -> Result<Output> {
    require_daemons(daemons)?;
    let mut problems = Vec::new();
    let head = match platform {
        Some(platform) => available(platform.head().await).unwrap_or_else(|report| {
            problems.push(format!(
                "{report}; comparing with the newest version reported by a daemon"
            ));
            None
        }),
        None => None,
    };
    let replies = daemons.get::<Status>("/status").await;
    let reported = replies
        .iter()
        .filter_map(|(_, reply)| reply.as_ref().ok())
        .filter_map(|status| Some((status.version?, status.hash.clone()?)));
    let target = head
        .map(|head| (head.version, head.hash.to_string()))
        .into_iter()
        .chain(reported)
        .max_by_key(|(version, _)| *version);

    let mut not_current = 0;
    let mut rows = Vec::new();
    let mut listed = Vec::new();
    for (address, reply) in &replies {
        let state = match reply {
            Ok(status) => state(status, target.as_ref()),
            Err(_) => "unreachable",
        };
        not_current += usize::from(state != "current");
        let (cells, mut item) = match reply {
            Ok(status) => (
                [
                    status.host.clone(),
                    status
                        .version
                        .map_or("none".to_owned(), |version| version.to_string()),
                    status.ready.to_string(),
                    status.members.to_string(),
                    status.coordinator_of.len().to_string(),
                ],
                json!(status),
            ),
            Err(error) => (
                ["-", "-", "-", "-", "-"].map(str::to_owned),
                json!({"error": error}),
            ),
        };
        rows.push([&cells[..], &[address.to_string(), state.to_owned()]].concat());
        item["admin"] = json!(address);
        item["state"] = json!(state);
        listed.push(item);
        if let Err(error) = reply {
            problems.push(format!("{address}: {error}"));
        }
    }
    let titles = [
        "host",
        " version",
        "ready",
        " members",
        " services",
        "admin",
        "state",
    ];
    let (version, hash) = target.unzip();
    let mut output = Output::new(
        output::table(&titles, &rows),
        json!({"version": version, "hash": hash, "daemons": listed}),
    );
    output.problems = problems;
    if not_current > 0 {
        output.code = Code::Daemons;
        let version = version.map_or("any version".to_owned(), |version| {
            format!("version {version}")
        });
        output.problems.push(format!(
            "{not_current} of {} daemons do not have {version} in force",
            replies.len()
        ));
    }
    Ok(output)
}

fn state(status: &Status, target: Option<&(u64, String)>) -> &'static str {
    let Some((version, hash)) = target else {
        return "without text";
    };
    match status.version {
        None => "without text",
        Some(own) if own < *version => "lagging",
        Some(_) if status.hash.as_ref() != Some(hash) => "other hash",
        Some(_) => "current",
    }
}

pub(super) async fn upstreams(matches: &ArgMatches, daemons: &Client) -> Result<Output> {
    require_daemons(daemons)?;
    let service = matches.get_one::<String>("service");
    let mut problems = Vec::new();
    let mut items: Vec<_> = successes(
        daemons.get::<Vec<Upstream>>("/upstreams").await,
        &mut problems,
    )
    .into_iter()
    .flatten()
    .filter(|item| service.is_none_or(|service| *service == item.service))
    .collect();
    items.sort_by(|a, b| {
        let key = |item: &Upstream| {
            (
                item.service.clone(),
                item.upstream.clone(),
                item.class.clone(),
            )
        };
        key(a).cmp(&key(b))
    });
    let rows: Vec<_> = items
        .iter()
        .map(|item| {
            vec![
                item.service.clone(),
                item.upstream.clone(),
                item.class.clone().unwrap_or_else(|| "all".to_owned()),
                item.state.clone(),
                format!("{}/{}", item.in_use, item.slots),
                item.suspicion
                    .map_or("-".to_owned(), |share| format!("{share:.2}")),
                item.since_ms.map_or("-".to_owned(), |since| {
                    output::duration(Duration::from_millis(since))
                }),
                item.reason.clone().unwrap_or_default(),
            ]
        })
        .collect();
    let titles = [
        "service",
        "upstream",
        "class",
        "state",
        " in use",
        " suspicion",
        " since",
        "reason",
    ];
    let output = Output::new(output::table(&titles, &rows), json!(items));
    Ok(with_problems(output, problems))
}

pub(super) async fn drain(matches: &ArgMatches, daemons: &Client) -> Result<Output> {
    require_daemons(daemons)?;
    let host: &String = matches.get_one("host").expect("required");
    let replies = daemons.get::<Status>("/status").await;
    let address = replies.iter().find_map(|(address, reply)| {
        let found = reply.as_ref().is_ok_and(|status| status.host == *host);
        found.then_some(*address)
    });
    let Some(address) = address else {
        let mut problems = Vec::new();
        successes(replies, &mut problems);
        let code = if problems.is_empty() {
            Code::Usage
        } else {
            Code::Daemons
        };
        problems.push(format!("no daemon reports the host name {host}"));
        let json = json!({"result": "unknown host", "host": host});
        let mut output = Output::new("", json).with_code(code);
        output.problems = problems;
        return Ok(output);
    };
    match daemons.post(address, "/drain").await {
        Ok(()) => Ok(Output::new(
            format!("{host} is draining"),
            json!({"result": "draining", "host": host, "admin": address}),
        )),
        Err(error) => {
            let json: Value = json!({"result": "not confirmed", "host": host, "error": error});
            let problem = format!("{address}: drain was not confirmed: {error}");
            Ok(with_problems(Output::new("", json), vec![problem]))
        }
    }
}
