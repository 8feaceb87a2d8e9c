//! Seeded queueing model of placement policies. Prints a Markdown table of the
//! p99 wait for a slot, in mean service times.
//!
//! ```text
//! cargo run --release -p dotterelhinge-policy --example queue_model -- --seed 1
//! ```

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use clap::{Arg, Command, value_parser};
use dotterelhinge_policy::{
    contract, health,
    placement::{Acquire, Action, Coordinator, Event, Settings},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, Exp1};

/// Mean service time, in ticks of the model.
const MEAN_SERVICE_TICKS: f64 = 1e6;

/// Policy that assigns an upstream to an arriving request.
#[derive(Clone, Copy, Debug)]
enum Policy {
    /// The less loaded of two random upstreams, by the requests of the same
    /// daemon.
    OwnView,
    /// The less loaded of two random upstreams, by the requests of all daemons.
    FleetView,
    /// The upstream with the fewest requests of all daemons.
    ShortestQueue,
    /// One queue for all upstreams.
    OneQueue,
    /// The coordinator of this crate.
    Coordinator,
}

impl Policy {
    const ALL: [Self; 5] = [
        Self::OwnView,
        Self::FleetView,
        Self::ShortestQueue,
        Self::OneQueue,
        Self::Coordinator,
    ];
}

/// Parameters of one table cell.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    upstreams: usize,
    load: f64,
    slots: u32,
    daemons: usize,
    requests: usize,
    seed: u64,
}

/// Source of events: random arrivals and the pending departures.
struct Clock {
    rng: SmallRng,
    departures: BinaryHeap<Reverse<(u64, u64, usize, usize)>>,
    /// Time of the next arrival.
    arrival: u64,
    /// Mean time between two arrivals.
    interarrival: f64,
    /// Requests that got a slot.
    started: u64,
}

enum Step {
    Arrival,
    /// Grant number, upstream and daemon of the request, as passed to
    /// [`Clock::start`]; zero if the policy does not use them.
    Departure(u64, usize, usize),
}

impl Clock {
    fn new(scenario: &Scenario) -> Self {
        let capacity = scenario.upstreams as f64 * f64::from(scenario.slots);
        Self {
            rng: SmallRng::seed_from_u64(scenario.seed),
            departures: BinaryHeap::new(),
            arrival: 0,
            interarrival: MEAN_SERVICE_TICKS / (scenario.load * capacity),
            started: 0,
        }
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        let sample: f64 = Exp1.sample(&mut self.rng);
        (sample * mean) as u64
    }

    /// Starts the service of a request and schedules its departure.
    fn start(&mut self, now: u64, grant: u64, upstream: usize, daemon: usize) {
        let end = now + self.exponential(MEAN_SERVICE_TICKS);
        self.departures
            .push(Reverse((end, grant, upstream, daemon)));
        self.started += 1;
    }

    fn step(&mut self) -> (u64, Step) {
        if let Some(&Reverse((end, grant, upstream, daemon))) = self.departures.peek()
            && end <= self.arrival
        {
            self.departures.pop();
            return (end, Step::Departure(grant, upstream, daemon));
        }
        let now = self.arrival;
        self.arrival += self.exponential(self.interarrival).max(1);
        (now, Step::Arrival)
    }
}

/// Recorded waits, without those of the first tenth of the requests.
struct Waits {
    skip: usize,
    waits: Vec<u64>,
}

impl Waits {
    fn new(scenario: &Scenario) -> Self {
        Self {
            skip: scenario.requests / 10,
            waits: Vec::with_capacity(scenario.requests),
        }
    }

    fn record(&mut self, wait: u64) {
        if self.skip > 0 {
            self.skip -= 1;
        } else {
            self.waits.push(wait);
        }
    }

    fn p99(mut self) -> f64 {
        let rank = self.waits.len() * 99 / 100;
        let (_, wait, _) = self.waits.select_nth_unstable(rank);
        *wait as f64 / MEAN_SERVICE_TICKS
    }
}

/// Returns the p99 wait if requests are assigned on arrival and wait at their
/// upstream.
fn assign_on_arrival(scenario: &Scenario, policy: Policy) -> f64 {
    let mut clock = Clock::new(scenario);
    let mut waits = Waits::new(scenario);
    let count = scenario.upstreams;
    // Requests at each upstream, in total and by daemon.
    let mut fleet = vec![0_u32; count];
    let mut own = vec![vec![0_u32; count]; scenario.daemons];
    let mut queues: Vec<VecDeque<(u64, usize)>> = vec![VecDeque::new(); count];
    while clock.started < scenario.requests as u64 {
        match clock.step() {
            (now, Step::Arrival) => {
                let daemon = clock.rng.random_range(0..scenario.daemons);
                let upstream = match policy {
                    Policy::OwnView => two_choices(&own[daemon], &mut clock.rng),
                    Policy::FleetView => two_choices(&fleet, &mut clock.rng),
                    _ => least_loaded(&fleet, &mut clock.rng),
                };
                fleet[upstream] += 1;
                own[daemon][upstream] += 1;
                if fleet[upstream] <= scenario.slots {
                    waits.record(0);
                    clock.start(now, 0, upstream, daemon);
                } else {
                    queues[upstream].push_back((now, daemon));
                }
            }
            (now, Step::Departure(_, upstream, daemon)) => {
                fleet[upstream] -= 1;
                own[daemon][upstream] -= 1;
                if let Some((since, daemon)) = queues[upstream].pop_front() {
                    waits.record(now - since);
                    clock.start(now, 0, upstream, daemon);
                }
            }
        }
    }
    waits.p99()
}

fn two_choices(loads: &[u32], rng: &mut SmallRng) -> usize {
    let left = rng.random_range(0..loads.len());
    let right = (left + rng.random_range(1..loads.len())) % loads.len();
    if loads[right] < loads[left] {
        right
    } else {
        left
    }
}

/// Returns the least loaded upstream, a random one among equals.
fn least_loaded(loads: &[u32], rng: &mut SmallRng) -> usize {
    let start = rng.random_range(0..loads.len());
    let order = (0..loads.len()).map(|step| (start + step) % loads.len());
    order.min_by_key(|&upstream| loads[upstream]).unwrap_or(0)
}

/// Returns the p99 wait if all requests wait in one queue.
fn one_queue(scenario: &Scenario) -> f64 {
    let mut clock = Clock::new(scenario);
    let mut waits = Waits::new(scenario);
    let slots = scenario.upstreams * scenario.slots as usize;
    let mut busy = 0;
    let mut queue = VecDeque::new();
    while clock.started < scenario.requests as u64 {
        match clock.step() {
            (now, Step::Arrival) if busy < slots => {
                busy += 1;
                waits.record(0);
                clock.start(now, 0, 0, 0);
            }
            (now, Step::Arrival) => queue.push_back(now),
            (now, Step::Departure(..)) => match queue.pop_front() {
                Some(since) => {
                    waits.record(now - since);
                    clock.start(now, 0, 0, 0);
                }
                None => busy -= 1,
            },
        }
    }
    waits.p99()
}

/// Returns the p99 wait if the coordinator of this crate grants the slots.
fn coordinator(scenario: &Scenario) -> f64 {
    let upstreams = (0..scenario.upstreams).map(|number| contract::Upstream {
        name: format!("upstream-{number}").into(),
        address: ([127, 0, 0, 1], 1).into(),
        availability_zone: "zone".into(),
        slots: scenario.slots,
        connections: 400,
        leaving: false,
    });
    let service = contract::Service {
        upstreams: upstreams.collect(),
        ..contract::Service::default()
    };
    let start = Instant::now();
    let settings = Settings {
        seed: scenario.seed,
        max_queued: usize::MAX,
        max_customer_queued: usize::MAX,
        // The hosts of the model do not renew their grants.
        holder_timeout: Duration::from_secs(1 << 30),
        ..Settings::default()
    };
    let mut coordinator = Coordinator::new(
        settings,
        Arc::new(service),
        Arc::new([contract::Class::default()]),
        Arc::default(),
        &health::View::default(),
        start,
    );
    let hosts: Vec<Arc<str>> = (0..scenario.daemons)
        .map(|number| format!("entry-{number}").into())
        .collect();
    let customer: Arc<str> = "customer".into();
    let zone: Arc<str> = "zone".into();
    let mut clock = Clock::new(scenario);
    let mut waits = Waits::new(scenario);
    let mut arrivals = HashMap::new();
    let mut ticket = 0;
    while clock.started < scenario.requests as u64 {
        let (now, step) = clock.step();
        let event = match step {
            Step::Arrival => {
                ticket += 1;
                arrivals.insert(ticket, now);
                let host = clock.rng.random_range(0..hosts.len());
                Event::Acquire(Acquire {
                    ticket,
                    class: 0,
                    customer: Arc::clone(&customer),
                    host: Arc::clone(&hosts[host]),
                    availability_zone: Arc::clone(&zone),
                    wait: Duration::from_secs(1 << 20),
                    attempt: 1,
                    excluded: Default::default(),
                })
            }
            Step::Departure(grant, ..) => Event::Settle {
                grant,
                outcome: health::Outcome::Good,
                elapsed: Duration::ZERO,
            },
        };
        // One tick is 1 ns for the coordinator, so a mean service time is 1 ms.
        for action in coordinator.handle(start + Duration::from_nanos(now), event) {
            if let Action::Grant { ticket, grant, .. } = action
                && let Some(since) = arrivals.remove(&ticket)
            {
                waits.record(now - since);
                clock.start(now, grant, 0, 0);
            }
        }
    }
    waits.p99()
}

/// Returns the p99 wait in one queue by the Erlang C formula, as a check of the
/// model.
fn erlang(scenario: &Scenario) -> f64 {
    let slots = scenario.upstreams as f64 * f64::from(scenario.slots);
    let offered = scenario.load * slots;
    let blocked = (1..=slots as u32).fold(1.0, |blocked, n| {
        offered * blocked / (f64::from(n) + offered * blocked)
    });
    let waits = blocked / (1.0 - scenario.load * (1.0 - blocked));
    ((waits / 0.01).ln() / (slots - offered)).max(0.0)
}

/// Returns the median, minimum and maximum of the p99 waits of several runs.
fn cell(scenario: Scenario, policy: Policy, runs: u64) -> String {
    let mut waits: Vec<f64> = (0..runs)
        .map(|run| {
            let scenario = Scenario {
                seed: scenario.seed + run,
                ..scenario
            };
            match policy {
                Policy::OneQueue => one_queue(&scenario),
                Policy::Coordinator => coordinator(&scenario),
                _ => assign_on_arrival(&scenario, policy),
            }
        })
        .collect();
    waits.sort_by(f64::total_cmp);
    let (min, median) = (waits[0], waits[waits.len() / 2]);
    format!("{median:.2} ({min:.2}–{:.2})", waits[waits.len() - 1])
}

fn main() {
    let number = |name, default| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(u64).range(1..))
            .default_value(default)
    };
    let matches = Command::new("queue_model")
        .about("Models the p99 wait for a slot, in mean service times")
        .arg(number("seed", "1").help("Seed of the first run"))
        .arg(number("runs", "5").help("Runs, each with its own seed"))
        .arg(number("requests", "1000000").help("Requests of a run"))
        .arg(number("slots", "3").help("Slots of an upstream"))
        .arg(number("daemons", "48").help("Daemons that requests arrive at"))
        .get_matches();
    let get = |name| matches.get_one::<u64>(name).copied().unwrap_or(1);
    println!(
        "| upstreams, load | two choices, own view | two choices, fleet view | shortest queue \
         | one queue | coordinator | one queue, Erlang C |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (upstreams, load) in [(30, 0.8), (30, 0.95), (8, 0.8), (8, 0.95)] {
        let scenario = Scenario {
            upstreams,
            load,
            slots: get("slots") as u32,
            daemons: get("daemons") as usize,
            requests: get("requests") as usize,
            seed: get("seed"),
        };
        let cells = Policy::ALL.map(|policy| cell(scenario, policy, get("runs")));
        println!(
            "| {upstreams}, {:.0} % | {} | {:.2} |",
            load * 100.0,
            cells.join(" | "),
            erlang(&scenario)
        );
    }
}
