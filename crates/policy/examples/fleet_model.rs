//! Traffic and detection times of the failure detector by fleet size, on the
//! network model of the tests.
//!
//! Each size starts with all members at once, becomes quiet, replaces one
//! member, and loses a rack of 40, 110 hosts and a zone of 237 if it has at
//! least three times as many members.

#[path = "../tests/fleet/mod.rs"]
#[allow(dead_code)]
mod fleet;

use std::time::{Duration, Instant};

use clap::{Arg, Command, value_parser};
use dotterelhinge_policy::membership::State;

use fleet::{Fleet, member};

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Messages and bytes that each running member sends a second.
fn traffic(fleet: &mut Fleet, time: u64) -> (f64, f64) {
    (fleet.messages, fleet.bytes) = (0, 0);
    fleet.run(seconds(time));
    let running = fleet.nodes.iter().filter(|node| node.is_running).count();
    let each = |count: usize| count as f64 / (running as f64 * time as f64);
    (each(fleet.messages), each(fleet.bytes))
}

fn print(count: usize, what: &str, (messages, bytes): (f64, f64)) {
    println!("{count}\t{what}\t{messages:.2} messages/s\t{bytes:.0} bytes/s");
}

/// Ends members `first..first + lost` and prints when lists lose them.
fn lose(fleet: &mut Fleet, count: usize, what: &str, first: usize, lost: usize) {
    for n in first..first + lost {
        fleet.nodes[n].is_running = false;
    }
    let gone = |fleet: &Fleet, n: usize, hosts: &[String]| {
        hosts.iter().all(|host| {
            let member = fleet.nodes[n].detector.get(host);
            member.is_none_or(|member| member.state == State::Dead)
        })
    };
    let hosts: Vec<String> = (first..first + lost)
        .map(|n| format!("entry-{n}"))
        .collect();
    // A sample of the survivors, as a pass over all would dominate the run.
    let watched: Vec<usize> = (0..count)
        .filter(|n| fleet.nodes[*n].is_running)
        .step_by((count / 40).max(1))
        .collect();
    (fleet.messages, fleet.bytes) = (0, 0);
    let (mut one, mut all) = (None, None);
    let mut time = 0;
    while all.is_none() && time < 90 {
        fleet.run(seconds(1));
        time += 1;
        let done = watched.iter().filter(|n| gone(fleet, **n, &hosts)).count();
        if done > 0 {
            one.get_or_insert(time);
        }
        if done == watched.len() {
            all = Some(time);
        }
    }
    let running = fleet.nodes.iter().filter(|node| node.is_running).count();
    let each = |count: usize| count as f64 / (running as f64 * time as f64);
    print(count, what, (each(fleet.messages), each(fleet.bytes)));
    println!("{count}\t{what}\tfirst list without them after {one:?} s, all after {all:?} s");
}

fn main() {
    let matches = Command::new("fleet_model")
        .about("Models the failure detector at several fleet sizes")
        .arg(
            Arg::new("members")
                .long("members")
                .value_name("N")
                .num_args(1..)
                .default_values(["48", "480"])
                .value_parser(value_parser!(usize)),
        )
        .get_matches();
    let counts: Vec<usize> = matches
        .get_many("members")
        .map_or_else(Vec::new, |counts| counts.copied().collect());
    for count in counts {
        let start = Instant::now();
        let mut fleet = Fleet::new(count, 1);
        let first = traffic(&mut fleet, 30);
        print(count, "common start, first 30 s", first);
        println!(
            "{count}\tcommon start\tall lists whole {:?} later",
            fleet.converge(count, seconds(120))
        );
        // Reports of the start are repeated for minutes, 12 to a message.
        fleet.run(seconds(600));
        let quiet = traffic(&mut fleet, 60);
        print(count, "no change", quiet);
        fleet.start(1, member(1, 2_000));
        let replaced = traffic(&mut fleet, 10);
        print(count, "one restart, 10 s", replaced);
        fleet.run(seconds(30));
        let mut first = 2;
        for (what, lost) in [
            ("rack of 40 lost", 40),
            ("110 lost", 110),
            ("zone of 237 lost", 237),
        ] {
            if count >= 3 * lost {
                lose(&mut fleet, count, what, first, lost);
                first += lost;
                fleet.run(seconds(40));
            }
        }
        println!("{count}\trun\t{:?} of real time", start.elapsed());
    }
}
