//! The failure detector: ping rounds, exchanges, messages and the detection of
//! process pauses.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{
    RngExt,
    rngs::StdRng,
    seq::{IndexedRandom, SliceRandom},
};

use super::{
    Action, Body, Event, Id, Member, Message, Reachability, Settings, Snapshot, State, roster,
};

/// A request that was sent and has not been answered.
pub(super) enum Pending {
    Ping {
        host: Arc<str>,
    },
    /// A ping sent on behalf of another daemon.
    RelayedPing {
        host: Arc<str>,
        request: Id,
        requester: Arc<str>,
    },
    Relay {
        probe: Id,
    },
    Other,
}

/// An indirect probe of a member that did not answer a ping.
pub(super) struct Probe {
    pub(super) host: Arc<str>,
    pub(super) incarnation: u64,
    /// Number of relays that have not ended.
    pub(super) outstanding: usize,
    /// Whether a relay answered that it did not reach the member either.
    pub(super) is_confirmed: bool,
}

/// The failure detector of one daemon.
pub struct Membership {
    pub(super) settings: Settings,
    pub(super) rng: StdRng,
    pub(super) roster: roster::Roster,
    configuration: u64,
    seeds: Vec<SocketAddr>,
    /// Members still to be pinged in this cycle, the next one last.
    ping_order: Vec<Arc<str>>,
    pub(super) pending: BTreeMap<Id, Pending>,
    pub(super) probes: BTreeMap<Id, Probe>,
    next_id: Id,
    last_tick: Instant,
    next_ping: Instant,
    next_exchange: Instant,
    last_contact: Option<Instant>,
}

impl Membership {
    /// Creates the failure detector of a daemon that knows only itself.
    pub fn new(now: Instant, local: Member, settings: Settings, mut rng: StdRng) -> Self {
        let roster = roster::Roster::new(
            now,
            local,
            settings.suspicion_timeout,
            settings.retransmit_factor,
        );
        // A random offset spreads the exchanges of daemons that start together.
        let next_exchange = now + settings.exchange_interval.mul_f64(rng.random::<f64>());
        Self {
            rng,
            roster,
            configuration: 0,
            seeds: Vec::new(),
            ping_order: Vec::new(),
            pending: BTreeMap::new(),
            probes: BTreeMap::new(),
            next_id: 0,
            last_tick: now,
            next_ping: now,
            next_exchange,
            last_contact: None,
            settings,
        }
    }

    /// Returns the member list. It is rebuilt only after a change.
    pub fn snapshot(&mut self) -> Arc<Snapshot> {
        self.roster.snapshot()
    }

    /// Returns the entry of the local host.
    pub fn local(&self) -> &Member {
        self.roster.local()
    }

    /// Returns the entry of `host`, which may be dead.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.roster.get(host)
    }

    /// Processes one event and returns the operations that it requires.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let before = self.roster.snapshot();
        let mut actions = Vec::new();
        self.detect_pause(now, &mut actions);
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Request { id, message } => self.request(now, id, &message, &mut actions),
            Event::Response { id, message } => self.response(now, id, &message, &mut actions),
            Event::Failed(id) => self.failed(now, id, &mut actions),
            Event::Seeds(seeds) => {
                let local = self.roster.local().address;
                self.seeds = seeds.into_iter().filter(|seed| *seed != local).collect();
            }
            Event::Configuration(version) => self.configuration = version,
            Event::Leave => self.leave(now, &mut actions),
        }
        for host in std::mem::take(&mut self.roster.newly_live) {
            let place = self.rng.random_range(0..=self.ping_order.len());
            self.ping_order.insert(place, host);
        }
        // A suspect can refute only a suspicion that it learns of in time.
        // Therefore about 32 of the members that learn of the suspicion ping
        // the suspect next.
        let share = (32.0 / self.roster.live_count() as f64).min(1.0);
        for host in std::mem::take(&mut self.roster.newly_suspected) {
            if self.rng.random_bool(share) {
                self.ping_order.push(host);
            }
        }
        if self.roster.changed_since(before) {
            let generation = self.roster.generation();
            actions.push(Action::Changed { generation });
        }
        actions
    }

    /// Detects a pause of the process. Every event runs this check, since
    /// events that queued up during a pause may arrive before the next tick.
    fn detect_pause(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let gap = now.duration_since(self.last_tick);
        if gap < self.settings.pause_threshold {
            return;
        }
        self.last_tick = now;
        actions.push(Action::Paused { gap });
        self.probes.clear();
        for pending in std::mem::take(&mut self.pending).into_values() {
            if let Pending::RelayedPing {
                request, requester, ..
            } = pending
            {
                let message = self.message(&requester, Body::Relayed(Reachability::Unknown));
                actions.push(Action::Respond {
                    id: request,
                    message,
                });
            }
        }
        self.roster.restart_suspicions(now);
        self.next_ping = now;
        self.last_contact = Some(now);
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.last_tick = now;
        self.expire_suspicions(now);
        if now >= self.next_ping {
            self.next_ping = (self.next_ping + self.settings.ping_interval).max(now);
            self.ping_round(actions);
        }
        if now >= self.next_exchange {
            self.next_exchange = now + self.settings.exchange_interval;
            self.exchange_round(now, actions);
        }
    }

    /// Returns whether no message from another daemon has arrived for
    /// `Settings::suspicion_timeout`. After a pause the time starts again.
    fn is_isolated(&self, now: Instant) -> bool {
        self.last_contact
            .is_none_or(|contact| now.duration_since(contact) >= self.settings.suspicion_timeout)
    }

    fn expire_suspicions(&mut self, now: Instant) {
        let expired: Vec<_> = self
            .roster
            .suspects
            .iter()
            .filter(|(_, suspicion)| suspicion.deadline <= now)
            .map(|(host, _)| Arc::clone(host))
            .collect();
        let is_confirmed = !self.is_isolated(now);
        for host in expired {
            self.roster.mark(now, &host, State::Dead, is_confirmed);
        }
    }

    fn ping_round(&mut self, actions: &mut Vec<Action>) {
        if self.last_contact.is_none() {
            let mut seeds = self.seeds.clone();
            seeds.shuffle(&mut self.rng);
            for seed in seeds.into_iter().take(self.settings.relays) {
                self.exchange(seed, actions);
            }
        }
        // A suspect can refute only a suspicion that it learns of, so the
        // daemon that raised the suspicion keeps pinging it.
        let suspects = self.roster.suspects.iter();
        let mut targets: Vec<_> = suspects
            .filter(|(_, suspicion)| suspicion.is_local)
            .map(|(host, _)| Arc::clone(host))
            .take(self.settings.relays)
            .collect();
        if let Some(target) = self.next_target() {
            targets.push(target);
        }
        for host in targets {
            let Some(address) = self.roster.get(&host).map(|member| member.address) else {
                continue;
            };
            let message = self.message(&host, Body::Ping);
            let timeout = self.settings.ping_timeout;
            self.send(address, message, timeout, Pending::Ping { host }, actions);
        }
    }

    fn next_target(&mut self) -> Option<Arc<str>> {
        let pingable = |member: &Member| !matches!(member.state, State::Dead);
        for refilled in [false, true] {
            while let Some(host) = self.ping_order.pop() {
                if self.roster.get(&host).is_some_and(pingable) {
                    return Some(host);
                }
            }
            if !refilled {
                let live = self.roster.others(|state| state != State::Dead);
                self.ping_order = live.iter().map(|member| Arc::clone(&member.host)).collect();
                self.ping_order.shuffle(&mut self.rng);
            }
        }
        None
    }

    fn exchange_round(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.roster.forget(now, self.settings.dead_retention);
        let live = self.roster.others(|state| state != State::Dead);
        let peer = live.choose(&mut self.rng).map(|member| member.address);
        // Dead members and unlisted seeds are contacted as well: after a
        // partition no other message reaches the other side.
        let dead = self.roster.others(|state| state == State::Dead);
        let mut unreachable: Vec<_> = dead.iter().map(|member| member.address).collect();
        unreachable.extend(&self.seeds);
        unreachable.retain(|address| !self.roster.holds_address(*address));
        let unreachable = unreachable.choose(&mut self.rng).copied();
        for address in peer.into_iter().chain(unreachable) {
            self.exchange(address, actions);
        }
    }

    fn exchange(&mut self, to: SocketAddr, actions: &mut Vec<Action>) {
        let summary = self.roster.summary();
        let message = self.message("", Body::Exchange { summary });
        let timeout = self.settings.exchange_timeout;
        self.send(to, message, timeout, Pending::Other, actions);
    }

    fn leave(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.roster.leave(now);
        let live = self.roster.others(|state| state != State::Dead);
        let peers: Vec<_> = live
            .sample(&mut self.rng, self.settings.relays)
            .map(|member| (Arc::clone(&member.host), member.address))
            .collect();
        for (host, address) in peers {
            let message = self.message(&host, Body::Push);
            let timeout = self.settings.ping_timeout;
            self.send(address, message, timeout, Pending::Other, actions);
        }
    }

    /// Builds a message to `to` with the reports that are due.
    pub(super) fn message(&mut self, to: &str, body: Body) -> Message {
        let updates = self.roster.take_updates(to, self.settings.max_updates);
        Message {
            from: self.roster.local().clone(),
            configuration: self.configuration,
            updates,
            body,
        }
    }

    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        message: Message,
        timeout: Duration,
        pending: Pending,
        actions: &mut Vec<Action>,
    ) {
        let id = self.next_id;
        self.next_id += 1;
        self.pending.insert(id, pending);
        actions.push(Action::Send {
            id,
            to,
            message,
            timeout,
        });
    }

    /// Merges the reports of a message into the list.
    pub(super) fn merge(&mut self, now: Instant, message: &Message, actions: &mut Vec<Action>) {
        self.last_contact = Some(now);
        self.roster.revert_unconfirmed(now);
        self.roster.apply(now, &message.from, true);
        for update in &message.updates {
            self.roster.apply(now, update, false);
        }
        if message.configuration > self.configuration {
            actions.push(Action::NewerConfiguration {
                peer: message.from.address,
                version: message.configuration,
            });
        }
    }

    fn request(&mut self, now: Instant, id: Id, message: &Message, actions: &mut Vec<Action>) {
        self.merge(now, message, actions);
        let from = &message.from.host;
        let message = match &message.body {
            Body::Relay { host, address } => {
                let pending = Pending::RelayedPing {
                    host: Arc::clone(host),
                    request: id,
                    requester: Arc::clone(from),
                };
                let ping = self.message(host, Body::Ping);
                let timeout = self.settings.ping_timeout;
                self.send(*address, ping, timeout, pending, actions);
                return;
            }
            Body::Exchange { summary } => {
                let (parts, members) = self.roster.differences(summary);
                let part_count = u16::try_from(summary.len()).unwrap_or(0);
                let mut message = self.message(from, Body::Differing { part_count, parts });
                message.updates.extend(members);
                message
            }
            _ => self.message(from, Body::Ack),
        };
        actions.push(Action::Respond { id, message });
    }
}
