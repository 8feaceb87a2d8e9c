//! Property tests of the coordinator: slots, tickets, shares and priorities under
//! random sequences of events.

mod support;

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{
    health,
    placement::{Action, Event},
};
use googletest::prelude::*;
use proptest::{prelude::Strategy, prop_assert, prop_assert_eq, prop_oneof, test_runner};
use support::{acquire, classes, config, coordinator, service};

const MS: Duration = Duration::from_millis(1);

#[derive(Clone, Debug)]
enum Operation {
    Acquire(support::Request),
    Settle(usize, usize),
    Abandon(usize),
    Overdue(usize),
    Renew(u8, bool),
    Gone(u8),
    Leaving(u8),
    Inherit(u8, u8),
    Configure(bool),
    Tick,
}

fn operations() -> impl Strategy<Value = Vec<(u32, Operation)>> {
    let request = (0..3_usize, 0..4_u8, 0..4_u8, 0..1500_u32, 1..4_u32, 0..8_u8).prop_map(
        |(class, customer, host, wait, attempt, excluded)| support::Request {
            ticket: 0,
            class: ["lookup", "order", "upload"][class].into(),
            customer: format!("customer-{customer}").into(),
            host: format!("h{host}").into(),
            zone: format!("z{}", host % 2 + 1).into(),
            wait,
            attempt,
            excluded: (0..3)
                .filter(|bit| excluded >> bit & 1 == 1 && wait % 3 == 0)
                .map(|bit| ["a", "b", "c"][bit].into())
                .collect(),
        },
    );
    let step = prop_oneof![
        30 => request.prop_map(Operation::Acquire),
        25 => (0..64_usize, 0..5_usize).prop_map(|(pick, outcome)| Operation::Settle(pick, outcome)),
        3 => (0..64_usize).prop_map(Operation::Abandon),
        3 => (0..64_usize).prop_map(Operation::Overdue),
        6 => (0..4_u8, proptest::bool::ANY).prop_map(|(host, all)| Operation::Renew(host, all)),
        1 => (0..4_u8).prop_map(Operation::Gone),
        1 => (0..30_u8).prop_map(Operation::Leaving),
        1 => (0..4_u8, 0..3_u8).prop_map(|(host, upstream)| Operation::Inherit(host, upstream)),
        1 => proptest::bool::ANY.prop_map(Operation::Configure),
        4 => proptest::strategy::Just(Operation::Tick),
    ];
    proptest::collection::vec((0..400_u32, step), 1..250)
}

/// Guards against a slot that is granted twice or never released, a request that is
/// answered twice or never, and actions that differ for the same seed, under any
/// sequence of events.
#[googletest::test]
fn slots_and_tickets_are_accounted_for() {
    let mut runner = test_runner::TestRunner::new(config());
    let outcome = runner.run(&operations(), |operations| {
        let start = Instant::now();
        let all = [("a", "z1", 2), ("b", "z1", 1), ("c", "z2", 3)];
        let shares = [("customer-0", 0.5), ("customer-1", 0.2)];
        let mut twin = coordinator(all, &shares, start);
        let mut coordinator = coordinator(all, &shares, start);
        let mut slots = [2, 1, 3];
        let mut hosts = HashMap::new();
        let mut deadlines = HashMap::new();
        let mut waiting: Vec<u64> = Vec::new();
        let mut grants: Vec<(u64, String)> = Vec::new();
        let mut now = start;
        for (ticket, (pause, operation)) in operations.into_iter().enumerate() {
            now += MS * pause;
            let ticket = ticket as u64;
            let grant = |pick: usize| grants.get(pick % grants.len().max(1)).cloned();
            let mut configured = Vec::new();
            let event = match operation {
                Operation::Acquire(request) => {
                    waiting.push(ticket);
                    hosts.insert(ticket, request.host.to_string());
                    deadlines.insert(ticket, now + MS * request.wait);
                    let request = support::Request { ticket, ..request };
                    Event::Acquire(acquire(&request))
                }
                Operation::Settle(pick, outcome) => {
                    let Some((grant, _)) = grant(pick) else {
                        continue;
                    };
                    grants.retain(|(id, _)| *id != grant);
                    let outcome = [
                        health::Outcome::Good,
                        health::Outcome::Failed,
                        health::Outcome::ConnectFailed,
                        health::Outcome::Shed,
                        health::Outcome::Neutral,
                    ][outcome];
                    let elapsed = MS * pause;
                    Event::Settle {
                        grant,
                        outcome,
                        elapsed,
                    }
                }
                Operation::Abandon(pick) => {
                    let Some(&ticket) = waiting.get(pick % waiting.len().max(1)) else {
                        continue;
                    };
                    waiting.retain(|other| *other != ticket);
                    Event::Abandon(ticket)
                }
                Operation::Overdue(pick) => {
                    let Some((grant, _)) = grant(pick) else {
                        continue;
                    };
                    let elapsed = MS * 1000;
                    Event::Overdue { grant, elapsed }
                }
                Operation::Renew(host, all) => {
                    let host: Arc<str> = format!("h{host}").into();
                    grants.retain(|(id, holder)| **holder != *host || all || id % 2 == 0);
                    let held = grants.iter().filter(|(_, holder)| **holder == *host);
                    let held = held.map(|(id, _)| *id).collect();
                    Event::Renew { host, grants: held }
                }
                Operation::Gone(host) => Event::HostGone(format!("h{host}").into()),
                Operation::Leaving(upstream) => {
                    let name = ["a", "b", "c"].get(usize::from(upstream));
                    let name = name.copied().unwrap_or("removed");
                    Event::Leaving(name.into())
                }
                Operation::Inherit(host, upstream) => {
                    let upstream = usize::from(upstream);
                    grants.push((ticket, format!("h{host}")));
                    Event::Inherit {
                        host: format!("h{host}").into(),
                        upstream: all[upstream].0.into(),
                        class: 1,
                        customer: "customer-0".into(),
                        grant: ticket,
                    }
                }
                Operation::Configure(fewer) => {
                    slots[0] = if fewer { 1 } else { 2 };
                    let changed = [("a", "z1", slots[0]), ("b", "z1", 1), ("c", "z2", 3)];
                    for coordinator in [&mut coordinator, &mut twin] {
                        let shares = Arc::new(support::shares(&shares));
                        configured =
                            coordinator.configure(now, service(changed), classes(), shares);
                    }
                    Event::Tick
                }
                Operation::Tick => Event::Tick,
            };
            let again = twin.handle(now, event.clone());
            let actions = coordinator.handle(now, event);
            prop_assert_eq!(format!("{again:?}"), format!("{actions:?}"));
            for action in configured.into_iter().chain(actions) {
                let (Action::Grant { ticket, .. } | Action::Refuse { ticket, .. }) = action else {
                    continue;
                };
                prop_assert!(waiting.contains(&ticket), "{ticket} answered twice");
                waiting.retain(|other| *other != ticket);
                if let Action::Grant {
                    grant, upstream, ..
                } = action
                {
                    // An inherited grant or a configuration change may exceed the
                    // slots, but then no slot is granted.
                    prop_assert!(coordinator.in_use()[upstream] <= slots[upstream]);
                    prop_assert!(now <= deadlines[&ticket], "granted late");
                    grants.push((grant, hosts[&ticket].clone()));
                }
            }
            prop_assert_eq!(coordinator.queued(), waiting.len());
            let in_use = coordinator.in_use();
            prop_assert_eq!(in_use.iter().sum::<u32>() as usize, coordinator.granted());
        }
        // All hosts go silent. Ticks at the requested times must release all grants
        // and answer all waiting requests.
        let end = now + MS * 12_000;
        while let Some(tick) = coordinator.next_tick().filter(|tick| *tick <= end) {
            now = now.max(tick);
            for action in coordinator.handle(now, Event::Tick) {
                if let Action::Grant { ticket, .. } = action {
                    prop_assert!(now <= deadlines[&ticket], "granted late");
                }
                if let Action::Grant { ticket, .. } | Action::Refuse { ticket, .. } = action {
                    prop_assert!(waiting.contains(&ticket), "{ticket} answered twice");
                    waiting.retain(|other| *other != ticket);
                }
            }
            let again = coordinator.next_tick();
            prop_assert!(
                again.is_none_or(|next| next > tick),
                "the next tick is not later"
            );
        }
        prop_assert!(waiting.is_empty(), "never answered: {waiting:?}");
        prop_assert_eq!(coordinator.in_use(), &[0, 0, 0]);
        prop_assert_eq!(coordinator.granted(), 0);
        Ok(())
    });
    expect_that!(outcome, ok(anything()));
}

/// Guards against a customer that takes the slots of others, a lower priority that
/// is served first, and slots that stay idle while requests wait.
#[googletest::test]
fn shares_and_priorities_hold_under_any_load() {
    let arrival = (0..3_usize, proptest::bool::ANY, 0..6_usize);
    let load = proptest::collection::vec(arrival, 50..300);
    let mut runner = test_runner::TestRunner::new(config());
    let outcome = runner.run(&load, |load| {
        let start = Instant::now();
        let shares = [("customer-0", 0.5), ("customer-1", 0.34)];
        let limits = [3, 2, u32::MAX];
        let mut coordinator = coordinator([("a", "z1", 3), ("b", "z1", 3)], &shares, start);
        let mut waiting: HashMap<u64, (usize, bool)> = HashMap::new();
        let mut held: Vec<(u64, usize)> = Vec::new();
        for (ticket, (customer, order, settles)) in load.into_iter().enumerate() {
            let ticket = ticket as u64;
            let request = support::Request {
                customer: format!("customer-{customer}").into(),
                class: if order { "order" } else { "lookup" }.into(),
                ..support::request(ticket)
            };
            waiting.insert(ticket, (customer, order));
            let mut events = vec![Event::Acquire(acquire(&request))];
            let ended: Vec<(u64, usize)> = held.drain(..settles.min(held.len()) / 2).collect();
            events.extend(ended.iter().map(|(grant, _)| support::settle_good(*grant)));
            let mut settled = ended.into_iter();
            for (position, event) in events.into_iter().enumerate() {
                let freed = (position > 0).then(|| settled.next()).flatten();
                let running = |customer: usize, held: &[(u64, usize)], rest: &[(u64, usize)]| {
                    held.iter().chain(rest).filter(|h| h.1 == customer).count() as u32
                };
                for action in coordinator.handle(start, event) {
                    let (Action::Grant { ticket, .. } | Action::Refuse { ticket, .. }) = action
                    else {
                        continue;
                    };
                    let (customer, order) = waiting.remove(&ticket).unwrap_or((9, false));
                    let Action::Grant { grant, .. } = action else {
                        continue;
                    };
                    let rest = settled.as_slice();
                    let below = |other: usize| running(other, &held, rest) < limits[other];
                    if freed.is_some() {
                        let entitled = waiting.values().filter(|(other, _)| below(*other));
                        if below(customer) {
                            prop_assert!(order || entitled.clone().all(|(_, order)| !order));
                        } else {
                            prop_assert_eq!(entitled.count(), 0, "over the share");
                        }
                    }
                    held.push((grant, customer));
                }
                let used: u32 = coordinator.in_use().iter().sum();
                prop_assert!(used == 6 || coordinator.queued() == 0, "idle slots");
            }
        }
        Ok(())
    });
    expect_that!(outcome, ok(anything()));
}
