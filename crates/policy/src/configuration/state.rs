//! The state machine of one daemon's configuration.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Instant};

use rand::{RngExt, rngs::StdRng, seq::IndexedRandom};

use super::{Action, Event, Failure, Id, Peer, Settings, Source, Version};
use crate::rendezvous;

/// A text that is being loaded.
struct Load {
    source: Source,
    number: u64,
    hash: Option<Arc<str>>,
}

/// The configuration state of one daemon.
///
/// Invariant: `current` only ever changes to a higher number.
pub struct Configuration {
    settings: Settings,
    rng: StdRng,
    host: Arc<str>,
    peers: Vec<Peer>,
    reader: bool,
    current: Option<Version>,
    /// Number before the current one, which offers start from.
    base: u64,
    /// Highest version found to break a rule; it is not loaded again.
    invalid: u64,
    loads: BTreeMap<Id, Load>,
    asked: BTreeMap<Id, SocketAddr>,
    /// Highest answer of the questions at start.
    best: Option<(SocketAddr, Version)>,
    next_id: Id,
    polling: bool,
    failures: u32,
    next_poll: Instant,
    next_ask: Instant,
    /// End of the check after a pause.
    check_until: Option<Instant>,
    ready: bool,
}

impl Configuration {
    /// The daemon `host` without a text.
    pub fn new(now: Instant, host: Arc<str>, settings: Settings, rng: StdRng) -> Self {
        Self {
            settings,
            rng,
            host,
            peers: Vec::new(),
            reader: false,
            current: None,
            base: 0,
            invalid: 0,
            loads: BTreeMap::new(),
            asked: BTreeMap::new(),
            best: None,
            next_id: 0,
            polling: false,
            failures: 0,
            next_poll: now,
            next_ask: now,
            check_until: None,
            ready: false,
        }
    }

    /// The version in force, which is also the answer to a peer's question.
    pub fn current(&self) -> Option<&Version> {
        self.current.as_ref()
    }

    /// Whether requests may be admitted.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether this daemon reads the store for its region.
    pub fn is_reader(&self) -> bool {
        self.reader
    }

    /// Takes one event into account.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Members(peers) => self.members(peers),
            Event::Offered {
                peer,
                version,
                base,
            } => self.offered(peer, version, base, &mut actions),
            Event::Announced { peer, number } => {
                self.load(Source::Peer(peer), number, None, &mut actions);
            }
            Event::QueryAnswered { id, version } => self.answered(id, version, &mut actions),
            Event::QueryFailed(id) => {
                self.asked.remove(&id);
                self.load_best(&mut actions);
            }
            Event::Head(head) => {
                self.polling = false;
                self.failures = 0;
                self.next_poll = now + self.settings.poll_interval;
                if let Some(head) = head {
                    self.load(Source::Store, head.number, Some(head.hash), &mut actions);
                }
            }
            Event::StoreFailed => {
                self.polling = false;
                self.failures = (self.failures + 1).min(16);
                let wait = self.settings.poll_interval * 2_u32.pow(self.failures - 1);
                // Readers that fail together do not return together.
                let share = self.rng.random_range(0.5..=1.0);
                let wait = wait.min(self.settings.max_poll_interval).mul_f64(share);
                self.next_poll = now + wait;
            }
            Event::Loaded { id, version } => self.loaded(id, version, &mut actions),
            Event::NotLoaded { id, failure } => self.not_loaded(id, failure, &mut actions),
            Event::Paused => {
                self.check_until = Some(now + self.settings.check_timeout);
                self.asked.clear();
                self.ask(&mut actions);
            }
        }
        self.update_ready(now, &mut actions);
        actions
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let starting = self.current.is_none();
        if starting && now >= self.next_ask {
            self.next_ask = now + self.settings.check_timeout;
            self.asked.clear();
            self.load_best(actions);
            if self.loads.is_empty() {
                self.ask(actions);
            }
        }
        // A daemon that starts reads the store only if no peer has a text.
        let alone = starting && self.asked.is_empty() && self.loads.is_empty();
        if (self.reader || alone) && !self.polling && now >= self.next_poll {
            self.polling = true;
            actions.push(Action::Poll);
        }
    }

    fn members(&mut self, peers: Vec<Peer>) {
        let region = peers.iter().find(|peer| peer.host == self.host);
        let region = region.map(|peer| Arc::clone(&peer.region));
        self.reader = region.is_some_and(|region| {
            let hosts = peers.iter().filter(|peer| peer.region == region);
            let key = format!("configuration/{region}");
            rendezvous::ranked(
                &key,
                hosts.map(|peer| &*peer.host),
                self.settings.readers_per_region,
            )
            .contains(&&*self.host)
        });
        self.peers = peers;
        self.peers.retain(|peer| peer.host != self.host);
    }

    fn ask(&mut self, actions: &mut Vec<Action>) {
        let peers = self.peers.sample(&mut self.rng, self.settings.query_fanout);
        for peer in peers.map(|peer| peer.address).collect::<Vec<_>>() {
            let id = self.take_id();
            self.asked.insert(id, peer);
            actions.push(Action::Query { id, peer });
        }
    }

    fn take_id(&mut self) -> Id {
        self.next_id += 1;
        self.next_id
    }

    fn number(&self) -> u64 {
        self.current.as_ref().map_or(0, |version| version.number)
    }

    fn offered(
        &mut self,
        peer: SocketAddr,
        version: Version,
        base: u64,
        actions: &mut Vec<Action>,
    ) {
        if version.number < self.number() {
            self.offer(peer, 0, actions);
            return;
        }
        let source = if base != 0 && base == self.number() {
            Source::Delta(peer)
        } else {
            Source::Peer(peer)
        };
        self.load(source, version.number, Some(version.hash), actions);
    }

    fn answered(&mut self, id: Id, version: Option<Version>, actions: &mut Vec<Action>) {
        let Some(peer) = self.asked.remove(&id) else {
            return;
        };
        if self.current.is_none() {
            let number = self.best.as_ref().map_or(0, |(_, best)| best.number);
            let better = version.filter(|version| version.number > number);
            self.best = better.map(|version| (peer, version)).or(self.best.take());
            self.load_best(actions);
            return;
        }
        let Some(version) = version else {
            return;
        };
        let newer = version.number > self.number();
        if newer {
            self.load(
                Source::Peer(peer),
                version.number,
                Some(version.hash),
                actions,
            );
        }
        // A newer version keeps the check open until it is in force.
        if !newer || self.loads.is_empty() {
            self.check_until = None;
        }
    }

    /// At start, loads the highest version of the peers asked, once all have
    /// answered or their time is over.
    fn load_best(&mut self, actions: &mut Vec<Action>) {
        if self.current.is_none()
            && self.asked.is_empty()
            && let Some((peer, version)) = self.best.take()
        {
            let source = Source::Peer(peer);
            self.load(source, version.number, Some(version.hash), actions);
        }
    }

    /// Starts a load, unless nothing newer would come of it.
    fn load(
        &mut self,
        source: Source,
        number: u64,
        hash: Option<Arc<str>>,
        actions: &mut Vec<Action>,
    ) {
        let loading = self.loads.values().any(|load| load.number >= number);
        if number <= self.number() || number == self.invalid || loading {
            return;
        }
        let id = self.take_id();
        let load = Load {
            source,
            number,
            hash: hash.clone(),
        };
        self.loads.insert(id, load);
        actions.push(Action::Load {
            id,
            source,
            number,
            hash,
        });
    }

    fn loaded(&mut self, id: Id, version: Version, actions: &mut Vec<Action>) {
        let load = self.loads.remove(&id);
        let expected = load.as_ref().and_then(|load| load.hash.as_ref());
        let number = load.as_ref().map_or(0, |load| load.number);
        // The hash belongs to the number that was asked for; a peer may have
        // moved on to a higher one.
        let matches = version.number != number || expected.is_none_or(|hash| *hash == version.hash);
        if load.is_none() || !matches || version.number <= self.number() {
            actions.push(Action::Discard(id));
            return;
        }
        self.base = self.number();
        self.current = Some(version.clone());
        self.check_until = None;
        actions.push(Action::Adopt { id, version });
        let peers = self.peers.sample(&mut self.rng, self.settings.offer_fanout);
        for peer in peers.map(|peer| peer.address).collect::<Vec<_>>() {
            self.offer(peer, self.base, actions);
        }
    }

    fn offer(&self, peer: SocketAddr, base: u64, actions: &mut Vec<Action>) {
        if let Some(version) = &self.current {
            actions.push(Action::Offer {
                peer,
                version: version.clone(),
                base,
            });
        }
    }

    /// Turns to the next source. If none is left, gossip or the next poll
    /// brings the version again.
    fn not_loaded(&mut self, id: Id, failure: Failure, actions: &mut Vec<Action>) {
        let Some(load) = self.loads.remove(&id) else {
            return;
        };
        let Load {
            source,
            number,
            hash,
        } = load;
        match (failure, source) {
            (Failure::Invalid, _) => self.invalid = self.invalid.max(number),
            (_, Source::Delta(peer)) => self.load(Source::Peer(peer), number, hash, actions),
            // A reader may be the first to see a version, so that the store
            // is its only source.
            (_, Source::Peer(_) | Source::Store) => {}
        }
    }

    fn update_ready(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.check_until.is_some_and(|until| now >= until) {
            self.check_until = None;
        }
        let ready = self.current.is_some() && self.check_until.is_none();
        if ready != self.ready {
            self.ready = ready;
            actions.push(Action::Ready(ready));
        }
    }
}
