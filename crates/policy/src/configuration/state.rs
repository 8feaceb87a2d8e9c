//! State machine of one daemon's configuration.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Instant};

use rand::{RngExt, rngs::StdRng, seq::IndexedRandom};

use super::{Action, Event, Failure, Id, Peer, Settings, Source, Version};
use crate::rendezvous;

/// A load in progress.
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
    is_reader: bool,
    current: Option<Version>,
    /// Version number before the current one, which offered differences apply
    /// to.
    base: u64,
    /// Highest version number found to be invalid; it is not loaded again.
    highest_invalid: u64,
    loads: BTreeMap<Id, Load>,
    queries: BTreeMap<Id, SocketAddr>,
    /// Peer with the highest version among the answers at start.
    best: Option<(SocketAddr, Version)>,
    next_id: Id,
    is_polling: bool,
    failed_polls: u32,
    next_poll: Instant,
    next_query: Instant,
    /// Deadline of the version check after a pause.
    check_deadline: Option<Instant>,
    is_ready: bool,
}

impl Configuration {
    /// Creates the state of daemon `host`, without a configuration.
    pub fn new(now: Instant, host: Arc<str>, settings: Settings, rng: StdRng) -> Self {
        Self {
            settings,
            rng,
            host,
            peers: Vec::new(),
            is_reader: false,
            current: None,
            base: 0,
            highest_invalid: 0,
            loads: BTreeMap::new(),
            queries: BTreeMap::new(),
            best: None,
            next_id: 0,
            is_polling: false,
            failed_polls: 0,
            next_poll: now,
            next_query: now,
            check_deadline: None,
            is_ready: false,
        }
    }

    /// Returns the version in force, which is also the answer to a peer's query.
    pub fn current(&self) -> Option<&Version> {
        self.current.as_ref()
    }

    /// Returns whether requests may be admitted.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Returns whether this daemon reads the store for its region.
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Processes one event and returns the operations that it requires.
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
            Event::QueryAnswered { id, version } => self.query_answered(id, version, &mut actions),
            Event::QueryFailed(id) => {
                self.queries.remove(&id);
                self.load_best(&mut actions);
            }
            Event::Head(head) => {
                self.is_polling = false;
                self.failed_polls = 0;
                self.next_poll = now + self.settings.poll_interval;
                if let Some(head) = head {
                    self.load(Source::Store, head.number, Some(head.hash), &mut actions);
                }
            }
            Event::StoreFailed => {
                self.is_polling = false;
                self.failed_polls = (self.failed_polls + 1).min(16);
                let wait = self.settings.poll_interval * 2_u32.pow(self.failed_polls - 1);
                // The random share spreads the retries of readers that failed
                // at the same time.
                let share = self.rng.random_range(0.5..=1.0);
                let wait = wait.min(self.settings.max_poll_interval).mul_f64(share);
                self.next_poll = now + wait;
            }
            Event::Loaded { id, version } => self.loaded(id, version, &mut actions),
            Event::NotLoaded { id, failure } => self.not_loaded(id, failure, &mut actions),
            Event::Paused => {
                self.check_deadline = Some(now + self.settings.check_timeout);
                self.queries.clear();
                self.query(&mut actions);
            }
        }
        self.update_ready(now, &mut actions);
        actions
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_starting = self.current.is_none();
        if is_starting && now >= self.next_query {
            self.next_query = now + self.settings.check_timeout;
            self.queries.clear();
            self.load_best(actions);
            if self.loads.is_empty() {
                self.query(actions);
            }
        }
        // A starting daemon that is no reader polls the store only if no peer
        // has a configuration.
        let is_without_source = is_starting && self.queries.is_empty() && self.loads.is_empty();
        if (self.is_reader || is_without_source) && !self.is_polling && now >= self.next_poll {
            self.is_polling = true;
            actions.push(Action::Poll);
        }
    }

    fn members(&mut self, peers: Vec<Peer>) {
        let region = peers.iter().find(|peer| peer.host == self.host);
        let region = region.map(|peer| Arc::clone(&peer.region));
        self.is_reader = region.is_some_and(|region| {
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

    fn query(&mut self, actions: &mut Vec<Action>) {
        let peers = self.peers.sample(&mut self.rng, self.settings.query_fanout);
        for peer in peers.map(|peer| peer.address).collect::<Vec<_>>() {
            let id = self.take_id();
            self.queries.insert(id, peer);
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

    fn query_answered(&mut self, id: Id, version: Option<Version>, actions: &mut Vec<Action>) {
        let Some(peer) = self.queries.remove(&id) else {
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
        let is_newer = version.number > self.number();
        if is_newer {
            self.load(
                Source::Peer(peer),
                version.number,
                Some(version.hash),
                actions,
            );
        }
        // A newer version leaves the check pending until it is in force.
        if !is_newer || self.loads.is_empty() {
            self.check_deadline = None;
        }
    }

    /// At start, loads the highest version that the queried peers have, once
    /// every query has been answered, has failed or has timed out.
    fn load_best(&mut self, actions: &mut Vec<Action>) {
        if self.current.is_none()
            && self.queries.is_empty()
            && let Some((peer, version)) = self.best.take()
        {
            let source = Source::Peer(peer);
            self.load(source, version.number, Some(version.hash), actions);
        }
    }

    /// Starts a load, unless the version is not newer, is known to be invalid,
    /// or is being loaded already.
    fn load(
        &mut self,
        source: Source,
        number: u64,
        hash: Option<Arc<str>>,
        actions: &mut Vec<Action>,
    ) {
        let is_loading = self.loads.values().any(|load| load.number >= number);
        if number <= self.number() || number == self.highest_invalid || is_loading {
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
        // The expected hash belongs to the requested number; the peer may have
        // supplied a higher one.
        let is_expected =
            version.number != number || expected.is_none_or(|hash| *hash == version.hash);
        if load.is_none() || !is_expected || version.number <= self.number() {
            actions.push(Action::Discard(id));
            return;
        }
        self.base = self.number();
        self.current = Some(version.clone());
        self.check_deadline = None;
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

    /// Tries the next source. If there is none, gossip or the next poll starts
    /// another load.
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
            (Failure::Invalid, _) => self.highest_invalid = self.highest_invalid.max(number),
            (_, Source::Delta(peer)) => self.load(Source::Peer(peer), number, hash, actions),
            // There is no other source: a reader may be the first daemon to
            // learn of a version.
            (_, Source::Peer(_) | Source::Store) => {}
        }
    }

    fn update_ready(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.check_deadline.is_some_and(|deadline| now >= deadline) {
            self.check_deadline = None;
        }
        let is_ready = self.current.is_some() && self.check_deadline.is_none();
        if is_ready != self.is_ready {
            self.is_ready = is_ready;
            actions.push(Action::Ready(is_ready));
        }
    }
}
