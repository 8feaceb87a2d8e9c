//! The operator takes the keys of one tenant away, and then those of the last one, whose
//! entry it removes too. From then on the daemons let every request run: without a key,
//! with a withdrawn key and with a key that no configuration ever held. They also pass
//! the keys on to the upstreams.

#[path = "../standin-2/mod.rs"]
mod standin;

use std::{io, thread, time::Duration};

use standin::{
    client,
    fleet::{self, CONTACT, Fleet, WAHLRESULTATE},
    has_trouble,
    record::Record,
    store::Store,
    upstream::{self, Upstream},
};

const DAEMONS: usize = 3;
const UPSTREAMS: usize = 6;

/// Keys of the tenants, and one that no configuration holds.
const FIRST: &str = "ftimaj3nr26tta828m82";
const SECOND: &str = "thhkmgjqnirth5mgjy5r";
const FOREIGN: &str = "zzzzzzzzzzzzzzzzzzzz";

/// `revoke` of the deployment, and the margin of the check.
const REVOKE: Duration = Duration::from_secs(5);
const MARGIN: Duration = Duration::from_millis(500);

/// Requests for each key and stage.
const REQUESTS: usize = 12;

fn tenant(name: &str, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        "{{\"name\":\"{name}\",\"apiKeys\":[{keys}],\"priority\":1,\"ratePerS\":407,\"burst\":407}}"
    )
}

fn configuration(version: u64, tenants: &[String]) -> String {
    let more = format!("\"tenants\":[{}],", tenants.join(","));
    fleet::configuration_with(version, "desk", &more)
}

/// Sends orders with each key and without one. Returns how many of those with the key
/// that no configuration holds were run.
fn order(
    record: &Record,
    fleet: &Fleet,
    upstreams: &[Upstream],
    stage: &str,
) -> Result<usize, String> {
    let mut foreign = 0;
    let senders = [
        ("first", Some(FIRST)),
        ("second", Some(SECOND)),
        ("foreign", Some(FOREIGN)),
        ("none", None),
    ];
    for (name, key) in senders {
        let more = key.map_or(String::new(), |key| {
            format!("Authorization: Bearer {key}\r\n")
        });
        let mut statuses = Vec::new();
        for number in 0..REQUESTS {
            let id = format!("{stage}-{name}-{number}");
            let front = fleet.front(number % fleet.len());
            let outcome = client::send_with(&front, "POST", "/order/1", &id, &more, b"an order");
            statuses.push(outcome.answer.map_or(0, |answer| answer.status()));
        }
        statuses.sort_unstable();
        statuses.dedup();
        let prefix = format!("{stage}-{name}-");
        let runs: Vec<_> = upstreams.iter().flat_map(Upstream::runs).collect();
        let runs: Vec<_> = runs
            .iter()
            .filter(|run| run.id.starts_with(&prefix))
            .collect();
        let passed = runs
            .iter()
            .filter(|run| !run.authorization.is_empty())
            .count();
        let tenant = runs.first().map(|run| run.tenant.clone());
        record.add(format!("stage {stage}, key {name}: {REQUESTS} orders got {statuses:?}; {} were run, {passed} with the key passed on, X-Tenant {tenant:?}", runs.len()));
        if name == "foreign" {
            foreign = runs.len();
        }
        if stage == "both" && name == "first" && runs.len() < REQUESTS / 2 {
            return Err("orders with a valid key were not run".to_owned());
        }
    }
    Ok(foreign)
}

fn play(record: &Record) -> Result<bool, String> {
    let text = |error: io::Error| error.to_string();
    let store = Store::start().map_err(text)?;
    let settings = upstream::Settings {
        work: Duration::from_millis(20),
        body_bytes: 1500,
        is_early: false,
    };
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let upstream = Upstream::start(&format!("i-{number}"), settings.clone()).map_err(text)?;
        let zone = WAHLRESULTATE.zones[number % WAHLRESULTATE.zones.len()];
        store.put(
            "servers",
            &upstream.id,
            &upstream.entry("desk", zone, "ready"),
        );
        upstreams.push(upstream);
    }
    let (first, second) = (tenant("huka270", &[FIRST]), tenant("lopa113", &[SECOND]));
    store.put("op", "config", &configuration(7, &[first.clone(), second]));
    let mut fleet = Fleet::new(DAEMONS, &WAHLRESULTATE, &store).map_err(text)?;
    fleet.start_all()?;
    thread::sleep(CONTACT + Duration::from_secs(1));

    let mut foreign = order(record, &fleet, &upstreams, "both")?;
    store.put("op", "config", &configuration(8, &[first]));
    record.add("the store has acknowledged configuration 8 without the second tenant");
    thread::sleep(REVOKE + MARGIN);
    foreign += order(record, &fleet, &upstreams, "one")?;
    if has_trouble() {
        store.put("op", "config", &configuration(9, &[]));
        record.add("the store has acknowledged configuration 9 without any tenant");
        thread::sleep(REVOKE + MARGIN);
        foreign += order(record, &fleet, &upstreams, "none")?;
    }
    if foreign > 0 {
        record.add(format!(
            "ROUTE: {foreign} orders were run whose key no configuration ever held"
        ));
    }
    Ok(foreign > 0)
}

fn main() {
    standin::run(play)
}
