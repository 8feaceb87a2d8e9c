//! Entries of the list of backend servers that another writer left.

use std::time::Duration;

use dotterelhinge_standin::gateway::{Fleet, Settings, eventually};
use googletest::prelude::*;

/// Bound for a change of the list to be in force everywhere.
const APPLY: Duration = Duration::from_secs(2);

/// Returns an entry with one of its values replaced by the JSON text `value`.
fn entry(replaced: &str, value: &str) -> String {
    let mut text = r#"{"address": "127.0.0.1:1", "born": 1700000000000, "extra": 0,
        "info": {"service": "desk", "version": "v1", "zone": "zone-0", "slots": 3},
        "status": {"state": "ready", "seq": 1, "coldLeft": "0ms"}}"#
        .to_owned();
    for (name, default) in [
        ("address", "\"127.0.0.1:1\""),
        ("born", "1700000000000"),
        ("extra", "0"),
        ("slots", "3"),
        ("seq", "1"),
        ("coldLeft", "\"0ms\""),
    ] {
        if name == replaced {
            text = text.replace(
                &format!("\"{name}\": {default}"),
                &format!("\"{name}\": {value}"),
            );
        }
    }
    text
}

/// Entries that name no usable server, by id.
fn odd_entries() -> Vec<(String, String)> {
    let nested = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    let objects = format!("{}0{}", "{\"a\":".repeat(8_000), "}".repeat(8_000));
    let values = [
        ("extra", &*nested),
        ("extra", &*objects),
        ("address", &*nested),
        ("slots", &*objects),
        ("coldLeft", "\"9999999999999999999s\""),
        ("coldLeft", "\"18446744073709551615s\""),
        ("coldLeft", "\"99999999999999999999999999s\""),
        ("coldLeft", "1e400"),
        ("born", "1e400"),
        ("born", "18446744073709551616"),
        ("seq", "-1"),
        ("slots", "4294967296"),
        ("slots", "1e30"),
        ("address", "\"127.0.0.1:65536\""),
        ("address", "\"127.0.0.1:0\""),
        ("address", "\"127.0.0.1:-1\""),
        ("address", "\"127.0.0.1\""),
    ];
    values
        .iter()
        .enumerate()
        .map(|(number, (name, value))| (format!("odd-{number}-{name}"), entry(name, value)))
        .collect()
}

// Guards against an entry that ends every daemon which reads the list, again
// and again, or that keeps the list from being followed.
#[gtest]
fn odd_entries_end_no_daemon_and_hide_no_change() {
    let mut fleet = Fleet::start(Settings::default()).unwrap_or_else(|error| panic!("{error:?}"));
    for (id, text) in odd_entries() {
        fleet.put_text("servers", &id, &text).unwrap();
        std::thread::sleep(Duration::from_millis(200));
        for host in 0..3 {
            expect_true!(fleet.is_ready(host), "daemon {host} after {id}");
        }
    }
    // A daemon that starts reads all of them at once.
    fleet.hosts[2].take().unwrap().kill();
    fleet.start_host(2).unwrap();
    let begun = |fleet: &Fleet| {
        let entries = fleet.record().unwrap().entries;
        entries.iter().filter(|entry| entry.server == 0).count()
    };
    fleet.register(0, "draining").unwrap();
    let is_followed = eventually(APPLY, || {
        let before = begun(&fleet);
        for round in 0..30 {
            fleet.send(round % 3, "POST", "/order/1", b"order");
        }
        begun(&fleet) == before
    });
    expect_true!(is_followed);
    for round in 0..30 {
        let answer = fleet.send(round % 3, "POST", "/order/1", b"order");
        expect_that!(answer.status, some(eq(200)), "{answer:?}");
    }
}
