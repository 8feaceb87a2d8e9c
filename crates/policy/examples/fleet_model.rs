//! Models the traffic and detection times of the failure detector by fleet
//! size, on the network model of the tests.
//!
//! For each size, all members start at once, the fleet runs without changes, one
//! member restarts, and then 40 members (a rack), 110 members and 237 members (a
//! zone) fail. Each failure is only modelled in fleets of at least three times
//! as many members.

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

/// Runs the fleet for `duration` seconds and returns the messages and bytes that
/// each running member sends per second.
fn traffic(fleet: &mut Fleet, duration: u64) -> (f64, f64) {
    (fleet.messages, fleet.bytes) = (0, 0);
    fleet.run(seconds(duration));
    let running = fleet.nodes.iter().filter(|node| node.is_running).count();
    let rate = |count: usize| count as f64 / (running as f64 * duration as f64);
    (rate(fleet.messages), rate(fleet.bytes))
}

fn print(count: usize, label: &str, (messages, bytes): (f64, f64)) {
    println!("{count}\t{label}\t{messages:.2} messages/s\t{bytes:.0} bytes/s");
}

/// Stops members `first..first + lost` and prints the traffic and the times until
/// the first and until all observed members consider them dead, up to 90 s.
fn stop_members(fleet: &mut Fleet, count: usize, label: &str, first: usize, lost: usize) {
    for n in first..first + lost {
        fleet.nodes[n].is_running = false;
    }
    let are_dead = |fleet: &Fleet, n: usize, hosts: &[String]| {
        hosts.iter().all(|host| {
            let member = fleet.nodes[n].detector.get(host);
            member.is_none_or(|member| member.state == State::Dead)
        })
    };
    let hosts: Vec<String> = (first..first + lost)
        .map(|n| format!("entry-{n}"))
        .collect();
    // Observes a sample of the survivors, since a pass over all of them would
    // dominate the run time.
    let observers: Vec<usize> = (0..count)
        .filter(|n| fleet.nodes[*n].is_running)
        .step_by((count / 40).max(1))
        .collect();
    (fleet.messages, fleet.bytes) = (0, 0);
    let (mut first_time, mut last_time) = (None, None);
    let mut time = 0;
    while last_time.is_none() && time < 90 {
        fleet.run(seconds(1));
        time += 1;
        let done = observers
            .iter()
            .filter(|n| are_dead(fleet, **n, &hosts))
            .count();
        if done > 0 {
            first_time.get_or_insert(time);
        }
        if done == observers.len() {
            last_time = Some(time);
        }
    }
    let running = fleet.nodes.iter().filter(|node| node.is_running).count();
    let rate = |count: usize| count as f64 / (running as f64 * time as f64);
    print(count, label, (rate(fleet.messages), rate(fleet.bytes)));
    println!(
        "{count}\t{label}\tfirst list without them after {first_time:?} s, all after {last_time:?} s"
    );
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
        let start_rates = traffic(&mut fleet, 30);
        print(count, "common start, first 30 s", start_rates);
        println!(
            "{count}\tcommon start\tall lists whole {:?} later",
            fleet.converge(count, seconds(120))
        );
        // Membership updates of the start are retransmitted for minutes, 12 in
        // each message.
        fleet.run(seconds(600));
        let idle_rates = traffic(&mut fleet, 60);
        print(count, "no change", idle_rates);
        fleet.start(1, member(1, 2_000));
        let restart_rates = traffic(&mut fleet, 10);
        print(count, "one restart, 10 s", restart_rates);
        fleet.run(seconds(30));
        let mut first = 2;
        for (label, lost) in [
            ("rack of 40 lost", 40),
            ("110 lost", 110),
            ("zone of 237 lost", 237),
        ] {
            if count >= 3 * lost {
                stop_members(&mut fleet, count, label, first, lost);
                first += lost;
                fleet.run(seconds(40));
            }
        }
        println!("{count}\trun\t{:?} of real time", start.elapsed());
    }
}
