//! The failure detector: rounds, messages and the detection of pauses.

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

/// A request that was sent and not yet answered.
pub(super) enum Pending {
    Ping {
        host: Arc<str>,
    },
    /// A ping sent on behalf of another daemon.
    RelayedPing {
        host: Arc<str>,
        respond: Id,
        to: Arc<str>,
    },
    Relay {
        probe: Id,
    },
    Other,
}

/// A member that did not answer a ping, while relays try.
pub(super) struct Probe {
    pub(super) host: Arc<str>,
    pub(super) incarnation: u64,
    pub(super) outstanding: usize,
    /// Whether a relay confirmed that it did not reach the member either.
    pub(super) confirmed: bool,
}

/// The failure detector of one daemon.
pub struct Membership {
    pub(super) settings: Settings,
    pub(super) rng: StdRng,
    pub(super) roster: roster::Roster,
    configuration: u64,
    seeds: Vec<SocketAddr>,
    /// Members still to be pinged in this cycle.
    order: Vec<Arc<str>>,
    pub(super) pending: BTreeMap<Id, Pending>,
    pub(super) probes: BTreeMap<Id, Probe>,
    next_id: Id,
    last_tick: Instant,
    next_ping: Instant,
    next_exchange: Instant,
    last_contact: Option<Instant>,
}

impl Membership {
    /// A daemon that knows only itself.
    pub fn new(now: Instant, me: Member, settings: Settings, mut rng: StdRng) -> Self {
        let roster = roster::Roster::new(
            now,
            me,
            settings.suspicion_timeout,
            settings.retransmit_factor,
        );
        // Daemons that start together spread their exchanges.
        let next_exchange = now + settings.exchange_interval.mul_f64(rng.random::<f64>());
        Self {
            rng,
            roster,
            configuration: 0,
            seeds: Vec::new(),
            order: Vec::new(),
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

    /// The member list. It is built again only after a change.
    pub fn snapshot(&mut self) -> Arc<Snapshot> {
        self.roster.snapshot()
    }

    /// This daemon's own entry.
    pub fn local(&self) -> &Member {
        self.roster.local()
    }

    /// What is known about `host`, dead or not.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.roster.get(host)
    }

    /// Takes one event into account.
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
                let me = self.roster.local().address;
                self.seeds = seeds.into_iter().filter(|seed| *seed != me).collect();
            }
            Event::Configuration(version) => self.configuration = version,
            Event::Leave => self.leave(now, &mut actions),
        }
        for host in std::mem::take(&mut self.roster.joined) {
            let place = self.rng.random_range(0..=self.order.len());
            self.order.insert(place, host);
        }
        // A suspect can refute only what it hears of in time. Therefore some
        // of those who hear of a suspicion ping that member next.
        let share = (32.0 / self.roster.live() as f64).min(1.0);
        for host in std::mem::take(&mut self.roster.accused) {
            if self.rng.random_bool(share) {
                self.order.push(host);
            }
        }
        if self.roster.changed_since(before) {
            let generation = self.roster.generation();
            actions.push(Action::Changed { generation });
        }
        actions
    }

    /// Every event looks for a pause, since after one the events that queued
    /// up meanwhile may come before the tick.
    fn detect_pause(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let gap = now.duration_since(self.last_tick);
        if gap < self.settings.pause_threshold {
            return;
        }
        self.last_tick = now;
        actions.push(Action::Paused { gap });
        self.probes.clear();
        for pending in std::mem::take(&mut self.pending).into_values() {
            if let Pending::RelayedPing { respond, to, .. } = pending {
                let message = self.message(&to, Body::Relayed(Reachability::Unknown));
                actions.push(Action::Respond {
                    id: respond,
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

    /// Whether no other daemon was in contact for the time of a suspicion.
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
        let confirmed = !self.is_isolated(now);
        for host in expired {
            self.roster.mark(now, &host, State::Dead, confirmed);
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
        // A suspect can refute only what it hears of, so whoever suspects it
        // keeps pinging it.
        let suspects = self.roster.suspects.iter();
        let mut targets: Vec<_> = suspects
            .filter(|(_, suspicion)| suspicion.own)
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
            while let Some(host) = self.order.pop() {
                if self.roster.get(&host).is_some_and(pingable) {
                    return Some(host);
                }
            }
            if !refilled {
                let live = self.roster.others(|state| state != State::Dead);
                self.order = live.iter().map(|member| Arc::clone(&member.host)).collect();
                self.order.shuffle(&mut self.rng);
            }
        }
        None
    }

    fn exchange_round(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.roster.forget(now, self.settings.dead_retention);
        let live = self.roster.others(|state| state != State::Dead);
        let peer = live.choose(&mut self.rng).map(|member| member.address);
        // Dead members and unlisted seeds are tried as well: after a
        // partition nobody else would contact the other side.
        let dead = self.roster.others(|state| state == State::Dead);
        let mut lost: Vec<_> = dead.iter().map(|member| member.address).collect();
        lost.extend(&self.seeds);
        lost.retain(|address| !self.roster.holds_address(*address));
        let lost = lost.choose(&mut self.rng).copied();
        for address in peer.into_iter().chain(lost) {
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

    /// A message to `to`, with the reports that are due.
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

    /// Takes the reports of any message.
    pub(super) fn absorb(&mut self, now: Instant, message: &Message, actions: &mut Vec<Action>) {
        self.last_contact = Some(now);
        self.roster.undo_unconfirmed(now);
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
        self.absorb(now, message, actions);
        let from = &message.from.host;
        let message = match &message.body {
            Body::Relay { host, address } => {
                let pending = Pending::RelayedPing {
                    host: Arc::clone(host),
                    respond: id,
                    to: Arc::clone(from),
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
