//! An in-process network of failure detectors on virtual time.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::membership::{
    self, Action, Event, Id, Member, Membership, Message, State,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub(crate) const TICK: Duration = Duration::from_millis(250);

enum Delivery {
    Event(Event),
    Request {
        from: (usize, u32),
        id: Id,
        message: Message,
    },
}

pub(crate) struct Node {
    pub(crate) machine: Membership,
    pub(crate) running: bool,
    pub(crate) paused: bool,
    pub(crate) pauses: usize,
    /// Counts starts, so that nothing from an earlier start is delivered.
    start: u32,
    held: Vec<Delivery>,
    seen: (u64, Vec<Member>),
}

pub(crate) struct Fleet {
    pub(crate) now: Instant,
    pub(crate) nodes: Vec<Node>,
    pub(crate) loss: f64,
    /// Pairs between which nothing passes, in this direction only.
    pub(crate) cut: BTreeSet<(usize, usize)>,
    pub(crate) messages: usize,
    pub(crate) bytes: usize,
    /// Every member that any member came to hold for dead.
    pub(crate) deaths: BTreeSet<Arc<str>>,
    rng: StdRng,
    queue: BTreeMap<(Instant, u64), (usize, u32, Delivery)>,
    sequence: u64,
    requests: HashMap<Id, (usize, u32, Id)>,
    answered: BTreeSet<(usize, u32, Id)>,
}

pub(crate) fn member(n: usize, incarnation: u64) -> Member {
    Member {
        host: Arc::from(format!("entry-{n}")),
        address: address(n),
        availability_zone: Arc::from(format!("zone-{}", n % 4)),
        region: Arc::from("region-1"),
        incarnation,
        state: State::Alive,
    }
}

pub(crate) fn address(n: usize) -> SocketAddr {
    let bits = u32::from_be_bytes([10, 0, 0, 0]) + u32::try_from(n).unwrap();
    SocketAddr::from((Ipv4Addr::from_bits(bits), 8101))
}

fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("members have addresses of version 4");
    };
    usize::try_from(address.ip().to_bits() & 0xff_ffff).unwrap()
}

impl Fleet {
    /// `count` members that know only the address of the first one.
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            now,
            nodes: Vec::new(),
            loss: 0.0,
            cut: BTreeSet::new(),
            messages: 0,
            bytes: 0,
            deaths: BTreeSet::new(),
            rng: StdRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            requests: HashMap::new(),
            answered: BTreeSet::new(),
        };
        for n in 0..count {
            fleet.start(n, member(n, 1_000));
        }
        fleet
    }

    /// Starts node `n`, or starts it again, as `me`.
    pub(crate) fn start(&mut self, n: usize, me: Member) {
        let rng = StdRng::seed_from_u64(self.rng.random());
        let settings = membership::Settings::default();
        let mut machine = Membership::new(self.now, me, settings, rng);
        let seen = machine.snapshot();
        let start = self.nodes.get(n).map_or(0, |node| node.start + 1);
        let node = Node {
            machine,
            running: true,
            paused: false,
            pauses: 0,
            start,
            held: Vec::new(),
            seen: (seen.generation, seen.members.clone()),
        };
        if n < self.nodes.len() {
            self.nodes[n] = node;
        } else {
            self.nodes.push(node);
        }
        let seeds = Event::Seeds(vec![address(0), address(1)]);
        self.after(Duration::ZERO, n, Delivery::Event(seeds));
        let phase = TICK.mul_f64(self.rng.random());
        self.after(phase, n, Delivery::Event(Event::Tick));
    }

    fn after(&mut self, delay: Duration, to: usize, delivery: Delivery) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.queue.insert(key, (to, self.nodes[to].start, delivery));
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(first) = self.queue.first_entry() {
            if first.key().0 > end {
                break;
            }
            let ((now, _), (n, start, delivery)) = first.remove_entry();
            self.now = now;
            if self.nodes[n].start != start || !self.nodes[n].running {
                continue;
            }
            let tick = matches!(delivery, Delivery::Event(Event::Tick));
            if tick {
                self.after(TICK, n, Delivery::Event(Event::Tick));
            }
            if !self.nodes[n].paused {
                self.deliver(n, delivery);
            } else if !tick {
                self.nodes[n].held.push(delivery);
            }
        }
        self.now = end;
    }

    /// Ends a pause. What arrived and what timed out meanwhile comes first.
    pub(crate) fn resume(&mut self, n: usize) {
        self.nodes[n].paused = false;
        for delivery in std::mem::take(&mut self.nodes[n].held) {
            self.deliver(n, delivery);
        }
    }

    pub(crate) fn event(&mut self, n: usize, event: Event) {
        self.deliver(n, Delivery::Event(event));
    }

    fn deliver(&mut self, n: usize, delivery: Delivery) {
        let start = self.nodes[n].start;
        let event = match delivery {
            Delivery::Event(Event::Failed(id)) if !self.answered.insert((n, start, id)) => return,
            Delivery::Event(Event::Response { id, .. })
                if !self.answered.insert((n, start, id)) =>
            {
                return;
            }
            Delivery::Event(event) => event,
            Delivery::Request { from, id, message } => {
                self.sequence += 1;
                self.requests.insert(self.sequence, (from.0, from.1, id));
                Event::Request {
                    id: self.sequence,
                    message,
                }
            }
        };
        let now = self.now;
        let actions = self.nodes[n].machine.handle(now, event);
        self.check(n, &actions);
        for action in actions {
            self.act(n, start, action);
        }
    }

    /// The generation changes if and only if the list does.
    fn check(&mut self, n: usize, actions: &[Action]) {
        let node = &mut self.nodes[n];
        let snapshot = node.machine.snapshot();
        let changed = actions.iter().any(|a| matches!(a, Action::Changed { .. }));
        assert_eq!(changed, snapshot.generation != node.seen.0);
        assert_eq!(changed, snapshot.members != node.seen.1);
        if !changed {
            return;
        }
        let dead = node.seen.1.iter().map(|member| &member.host);
        let dead = dead.filter(|host| {
            node.machine
                .get(host)
                .is_none_or(|m| m.state == State::Dead)
        });
        self.deaths.extend(dead.cloned());
        node.seen = (snapshot.generation, snapshot.members.clone());
    }

    fn act(&mut self, n: usize, start: u32, action: Action) {
        let latency = Duration::from_micros(self.rng.random_range(300..2_000));
        let lost = self.rng.random_bool(self.loss);
        match action {
            Action::Send {
                id,
                to,
                message,
                timeout,
            } => {
                self.after(timeout, n, Delivery::Event(Event::Failed(id)));
                let message = self.transfer(&message);
                let to = Some(index(to));
                if let Some(to) = to.filter(|to| !lost && !self.cut.contains(&(n, *to))) {
                    let request = Delivery::Request {
                        from: (n, start),
                        id,
                        message,
                    };
                    self.after(latency, to, request);
                }
            }
            Action::Respond { id, message } => {
                let message = self.transfer(&message);
                let (to, start, id) = self.requests.remove(&id).unwrap();
                if !lost && !self.cut.contains(&(n, to)) && self.nodes[to].start == start {
                    self.after(
                        latency,
                        to,
                        Delivery::Event(Event::Response { id, message }),
                    );
                }
            }
            Action::Paused { .. } => self.nodes[n].pauses += 1,
            Action::Changed { .. } | Action::NewerConfiguration { .. } => {}
        }
    }

    /// Every message takes its network form, which is counted.
    fn transfer(&mut self, message: &Message) -> Message {
        let bytes = rmp_serde::to_vec(message).unwrap();
        self.messages += 1;
        self.bytes += bytes.len();
        let read: Message = rmp_serde::from_slice(&bytes).unwrap();
        assert_eq!(read, *message);
        read
    }

    /// Hosts that node `n` holds for live and unsuspected.
    pub(crate) fn alive(&mut self, n: usize) -> usize {
        let snapshot = self.nodes[n].machine.snapshot();
        let alive = |member: &&Member| member.state == State::Alive;
        snapshot.members.iter().filter(alive).count()
    }

    /// Runs until every running member's list has `count` members that are
    /// alive; the time that it took.
    pub(crate) fn converge(&mut self, count: usize, limit: Duration) -> Duration {
        self.until(limit, |fleet, n| fleet.alive(n) == count)
    }

    /// Runs until `holds` for every running member; the time that it took.
    pub(crate) fn until(
        &mut self,
        limit: Duration,
        holds: impl Fn(&mut Self, usize) -> bool,
    ) -> Duration {
        let from = self.now;
        loop {
            let mut open: Vec<_> = (0..self.nodes.len()).collect();
            open.retain(|n| self.nodes[*n].running && !self.nodes[*n].paused && !holds(self, *n));
            if open.is_empty() {
                return self.now - from;
            }
            let alive: Vec<_> = open.iter().map(|n| self.alive(*n)).collect();
            assert!(
                self.now < from + limit,
                "not at {open:?}, which see {alive:?} alive"
            );
            self.run(TICK);
        }
    }
}
