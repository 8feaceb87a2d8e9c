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

/// Fails unless daemons are named.
pub(super) fn required(daemons: &Client) -> Result<()> {
    if daemons.addresses.is_empty() {
        let error = Error::new(Code::Usage, "at least one --admin ADDR is required");
        return Err(Report::new(error));
    }
    Ok(())
}

/// Takes the answers out of replies and reports the daemons without one.
pub(super) fn answers<T>(replies: Vec<Reply<T>>, problems: &mut Vec<String>) -> Vec<T> {
    replies
        .into_iter()
        .filter_map(|(address, reply)| {
            reply
                .map_err(|error| problems.push(format!("{address}: {error}")))
                .ok()
        })
        .collect()
}

/// Sets the code for daemons that did not answer.
pub(super) fn finish(mut answer: Output, problems: Vec<String>) -> Output {
    if !problems.is_empty() {
        answer.code = Code::Daemons;
    }
    answer.problems.extend(problems);
    answer
}

pub(super) async fn status(
    daemons: &Client,
    platform: Option<&platform::Client>,
) -> Result<Output> {
    required(daemons)?;
    let mut problems = Vec::new();
    let head = match platform {
        Some(platform) => available(platform.head().await).unwrap_or_else(|report| {
            problems.push(format!(
                "{report}; comparing with the newest version that a daemon has"
            ));
            None
        }),
        None => None,
    };
    let replies = daemons.get::<Status>("/status").await;
    let seen = replies
        .iter()
        .filter_map(|(_, reply)| reply.as_ref().ok())
        .filter_map(|status| Some((status.version?, status.hash.clone()?)));
    let target = head
        .map(|head| (head.version, head.hash.to_string()))
        .into_iter()
        .chain(seen)
        .max_by_key(|(version, _)| *version);

    let mut late = 0;
    let mut rows = Vec::new();
    let mut listed = Vec::new();
    for (address, reply) in &replies {
        let state = match reply {
            Ok(status) => state(status, target.as_ref()),
            Err(_) => "unreachable",
        };
        late += usize::from(state != "current");
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
    let mut answer = Output::new(
        output::table(&titles, &rows),
        json!({"version": version, "hash": hash, "daemons": listed}),
    );
    answer.problems = problems;
    if late > 0 {
        answer.code = Code::Daemons;
        let version = version.map_or("any version".to_owned(), |version| {
            format!("version {version}")
        });
        answer.problems.push(format!(
            "{late} of {} daemons do not have {version} in force",
            replies.len()
        ));
    }
    Ok(answer)
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
    required(daemons)?;
    let service = matches.get_one::<String>("service");
    let mut problems = Vec::new();
    let mut items: Vec<_> = answers(
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
    let answer = Output::new(output::table(&titles, &rows), json!(items));
    Ok(finish(answer, problems))
}

pub(super) async fn drain(matches: &ArgMatches, daemons: &Client) -> Result<Output> {
    required(daemons)?;
    let host: &String = matches.get_one("host").expect("required");
    let replies = daemons.get::<Status>("/status").await;
    let address = replies.iter().find_map(|(address, reply)| {
        let found = reply.as_ref().is_ok_and(|status| status.host == *host);
        found.then_some(*address)
    });
    let Some(address) = address else {
        let mut problems = Vec::new();
        answers(replies, &mut problems);
        let code = if problems.is_empty() {
            Code::Usage
        } else {
            Code::Daemons
        };
        problems.push(format!("no daemon answered as host {host}"));
        let json = json!({"result": "unknown host", "host": host});
        let mut answer = Output::new("", json).with_code(code);
        answer.problems = problems;
        return Ok(answer);
    };
    match daemons.post(address, "/drain").await {
        Ok(()) => Ok(Output::new(
            format!("{host} is draining"),
            json!({"result": "draining", "host": host, "admin": address}),
        )),
        Err(error) => {
            let json: Value = json!({"result": "not confirmed", "host": host, "error": error});
            let problem = format!("{address}: drain is not confirmed: {error}");
            Ok(finish(Output::new("", json), vec![problem]))
        }
    }
}
