//! An in-process network of failure detectors with virtual time.

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

pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(250);

enum Delivery {
    Event(Event),
    Request {
        from: (usize, u32),
        id: Id,
        message: Message,
    },
}

pub(crate) struct Node {
    pub(crate) detector: Membership,
    pub(crate) is_running: bool,
    pub(crate) is_paused: bool,
    pub(crate) pause_count: usize,
    /// Number of restarts, so that nothing addressed to an earlier start is
    /// delivered.
    start: u32,
    /// Deliveries that arrived while the node was paused.
    deferred: Vec<Delivery>,
    /// Generation and members of the last snapshot.
    last_snapshot: (u64, Vec<Member>),
}

pub(crate) struct Fleet {
    pub(crate) now: Instant,
    pub(crate) nodes: Vec<Node>,
    /// Share of messages that are lost.
    pub(crate) loss_ratio: f64,
    /// Pairs of sender and receiver between which all messages are lost.
    pub(crate) cut_links: BTreeSet<(usize, usize)>,
    pub(crate) messages: usize,
    pub(crate) bytes: usize,
    /// Every member that any member declared dead.
    pub(crate) declared_dead: BTreeSet<Arc<str>>,
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
        panic!("expected an address of IP version 4");
    };
    usize::try_from(address.ip().to_bits() & 0xff_ffff).unwrap()
}

impl Fleet {
    /// Starts `count` members that know only the seeds' addresses.
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            now,
            nodes: Vec::new(),
            loss_ratio: 0.0,
            cut_links: BTreeSet::new(),
            messages: 0,
            bytes: 0,
            declared_dead: BTreeSet::new(),
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

    /// Starts or restarts node `n` as the host `local`.
    pub(crate) fn start(&mut self, n: usize, local: Member) {
        let rng = StdRng::seed_from_u64(self.rng.random());
        let settings = membership::Settings::default();
        let mut detector = Membership::new(self.now, local, settings, rng);
        let snapshot = detector.snapshot();
        let start = self.nodes.get(n).map_or(0, |node| node.start + 1);
        let node = Node {
            detector,
            is_running: true,
            is_paused: false,
            pause_count: 0,
            start,
            deferred: Vec::new(),
            last_snapshot: (snapshot.generation, snapshot.members.clone()),
        };
        if n < self.nodes.len() {
            self.nodes[n] = node;
        } else {
            self.nodes.push(node);
        }
        let seeds = Event::Seeds(vec![address(0), address(1)]);
        self.schedule(Duration::ZERO, n, Delivery::Event(seeds));
        let phase = TICK_INTERVAL.mul_f64(self.rng.random());
        self.schedule(phase, n, Delivery::Event(Event::Tick));
    }

    fn schedule(&mut self, delay: Duration, to: usize, delivery: Delivery) {
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
            if self.nodes[n].start != start || !self.nodes[n].is_running {
                continue;
            }
            let is_tick = matches!(delivery, Delivery::Event(Event::Tick));
            if is_tick {
                self.schedule(TICK_INTERVAL, n, Delivery::Event(Event::Tick));
            }
            if !self.nodes[n].is_paused {
                self.deliver(n, delivery);
            } else if !is_tick {
                self.nodes[n].deferred.push(delivery);
            }
        }
        self.now = end;
    }

    /// Ends a pause. Messages that arrived and requests that timed out during
    /// the pause are delivered before the next tick.
    pub(crate) fn resume(&mut self, n: usize) {
        self.nodes[n].is_paused = false;
        for delivery in std::mem::take(&mut self.nodes[n].deferred) {
            self.deliver(n, delivery);
        }
    }

    pub(crate) fn inject(&mut self, n: usize, event: Event) {
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
        let actions = self.nodes[n].detector.handle(now, event);
        self.check_generation(n, &actions);
        for action in actions {
            self.act(n, start, action);
        }
    }

    /// Asserts that the generation changes if and only if the list does.
    fn check_generation(&mut self, n: usize, actions: &[Action]) {
        let node = &mut self.nodes[n];
        let snapshot = node.detector.snapshot();
        let changed = actions.iter().any(|a| matches!(a, Action::Changed { .. }));
        assert_eq!(changed, snapshot.generation != node.last_snapshot.0);
        assert_eq!(changed, snapshot.members != node.last_snapshot.1);
        if !changed {
            return;
        }
        let dead = node.last_snapshot.1.iter().map(|member| &member.host);
        let dead = dead.filter(|host| {
            node.detector
                .get(host)
                .is_none_or(|m| m.state == State::Dead)
        });
        self.declared_dead.extend(dead.cloned());
        node.last_snapshot = (snapshot.generation, snapshot.members.clone());
    }

    fn act(&mut self, n: usize, start: u32, action: Action) {
        let latency = Duration::from_micros(self.rng.random_range(300..2_000));
        let is_lost = self.rng.random_bool(self.loss_ratio);
        match action {
            Action::Send {
                id,
                to,
                message,
                timeout,
            } => {
                self.schedule(timeout, n, Delivery::Event(Event::Failed(id)));
                let message = self.transmit(&message);
                let to = Some(index(to));
                if let Some(to) = to.filter(|to| !is_lost && !self.cut_links.contains(&(n, *to))) {
                    let request = Delivery::Request {
                        from: (n, start),
                        id,
                        message,
                    };
                    self.schedule(latency, to, request);
                }
            }
            Action::Respond { id, message } => {
                let message = self.transmit(&message);
                let (to, start, id) = self.requests.remove(&id).unwrap();
                if !is_lost && !self.cut_links.contains(&(n, to)) && self.nodes[to].start == start {
                    self.schedule(
                        latency,
                        to,
                        Delivery::Event(Event::Response { id, message }),
                    );
                }
            }
            Action::Paused { .. } => self.nodes[n].pause_count += 1,
            Action::Changed { .. } | Action::NewerConfiguration { .. } => {}
        }
    }

    /// Encodes and decodes a message, and counts it and its bytes.
    fn transmit(&mut self, message: &Message) -> Message {
        let bytes = rmp_serde::to_vec(message).unwrap();
        self.messages += 1;
        self.bytes += bytes.len();
        let read: Message = rmp_serde::from_slice(&bytes).unwrap();
        assert_eq!(read, *message);
        read
    }

    /// Returns the number of hosts that node `n` lists as alive.
    pub(crate) fn alive_count(&mut self, n: usize) -> usize {
        let snapshot = self.nodes[n].detector.snapshot();
        let alive = |member: &&Member| member.state == State::Alive;
        snapshot.members.iter().filter(alive).count()
    }

    /// Runs until every running member lists `count` members as alive, and
    /// returns the time that it took.
    pub(crate) fn converge(&mut self, count: usize, limit: Duration) -> Duration {
        self.until(limit, |fleet, n| fleet.alive_count(n) == count)
    }

    /// Runs until `is_met` for every running member, and returns the time that
    /// it took.
    pub(crate) fn until(
        &mut self,
        limit: Duration,
        is_met: impl Fn(&mut Self, usize) -> bool,
    ) -> Duration {
        let from = self.now;
        loop {
            let mut unmet: Vec<_> = (0..self.nodes.len()).collect();
            unmet.retain(|n| {
                self.nodes[*n].is_running && !self.nodes[*n].is_paused && !is_met(self, *n)
            });
            if unmet.is_empty() {
                return self.now - from;
            }
            let alive: Vec<_> = unmet.iter().map(|n| self.alive_count(*n)).collect();
            assert!(
                self.now < from + limit,
                "condition still open after {limit:?} at members {unmet:?}, which list {alive:?} as alive"
            );
            self.run(TICK_INTERVAL);
        }
    }
}
