//! Daemons that this one knows, and who of them is alive.

use std::{
    collections::HashMap,
    net::Ipv4Addr,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, RngExt};
use smallvec::SmallVec;

use super::report::Hello;
use crate::store;

/// Silence after which a host no longer counts as alive. Three periodic
/// reports may be lost.
pub const SILENCE: Duration = Duration::from_millis(1800);

/// Time between greetings to a host that is silent.
const GREET_EVERY: Duration = Duration::from_secs(2);

/// Silence after which a host is forgotten. It is greeted until then, so that
/// hosts find each other again after a network partition.
const FORGET: Duration = Duration::from_secs(120);

/// Numbers of reports that are remembered, to drop those received twice.
const WINDOW: u32 = 64;

/// One other daemon.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of the host.
    pub name: Arc<str>,
    /// Availability zone of the host.
    pub availability_zone: Arc<str>,
    /// Requests in flight that it told of.
    pub in_use: Vec<(u64, u8)>,
    incarnation: u64,
    newest: u32,
    received: u64,
    heard: Option<Instant>,
    known_since: Instant,
    greeted: Option<Instant>,
    leaving: bool,
}

/// All known daemons but this one.
#[derive(Debug)]
pub struct Members {
    own: Ipv4Addr,
    own_name: Arc<str>,
    availability_zone: Arc<str>,
    by_address: HashMap<Ipv4Addr, Member>,
}

impl Members {
    /// No other daemon known.
    pub fn new(own: Ipv4Addr, own_name: Arc<str>, availability_zone: Arc<str>) -> Self {
        Self {
            own,
            own_name,
            availability_zone,
            by_address: HashMap::new(),
        }
    }

    /// Adds hosts that were found in the store or told by another daemon.
    pub fn add(&mut self, now: Instant, hosts: impl IntoIterator<Item = store::Host>) {
        for host in hosts {
            if host.address == self.own {
                continue;
            }
            self.by_address.entry(host.address).or_insert(Member {
                name: host.name,
                availability_zone: host.availability_zone,
                in_use: Vec::new(),
                incarnation: 0,
                newest: 0,
                received: 0,
                heard: None,
                known_since: now,
                greeted: None,
                leaving: false,
            });
        }
    }

    /// Notes a report. Returns its origin, and whether no later report came
    /// before; `None` if the report was seen before, or the origin is unknown
    /// and does not say who it is.
    pub fn hear(
        &mut self,
        now: Instant,
        origin: Ipv4Addr,
        incarnation: u64,
        sequence: u32,
        hello: Option<&Hello>,
    ) -> Option<(&mut Member, bool)> {
        if origin == self.own {
            return None;
        }
        if let Some(hello) = hello {
            let host = store::Host {
                name: Arc::clone(&hello.name),
                address: origin,
                availability_zone: Arc::clone(&hello.availability_zone),
            };
            self.add(now, [host]);
        }
        let member = self.by_address.get_mut(&origin)?;
        if !member.accept(incarnation, sequence) {
            return None;
        }
        member.heard = Some(now);
        if let Some(hello) = hello {
            member.leaving = hello.leaving;
        }
        let newest = member.newest == sequence;
        Some((member, newest))
    }

    /// Forgets hosts that were silent for long. Returns the requests in flight
    /// of hosts that fell silent just now.
    pub fn expire(&mut self, now: Instant) -> Vec<(u64, u8)> {
        let mut lost = Vec::new();
        for member in self.by_address.values_mut() {
            if !member.alive(now) {
                lost.append(&mut member.in_use);
            }
        }
        self.by_address.retain(|_, member| {
            let last = member.heard.unwrap_or(member.known_since);
            now.saturating_duration_since(last) < FORGET
        });
        lost
    }

    /// Number of hosts that are alive, with this one.
    pub fn alive(&self, now: Instant) -> usize {
        1 + self
            .by_address
            .values()
            .filter(|member| member.alive(now))
            .count()
    }

    /// Names of the hosts that may read the store for others, with this one.
    pub fn readers(&self, now: Instant) -> impl Iterator<Item = &str> {
        self.by_address
            .values()
            .filter(move |member| member.alive(now) && !member.leaving)
            .map(|member| &*member.name)
            .chain([&*self.own_name])
    }

    /// All known hosts, to tell a daemon that starts.
    pub fn hosts(&self) -> Vec<store::Host> {
        self.by_address
            .iter()
            .map(|(address, member)| store::Host {
                name: Arc::clone(&member.name),
                address: *address,
                availability_zone: Arc::clone(&member.availability_zone),
            })
            .collect()
    }

    /// Live hosts of this availability zone.
    pub fn neighbours(&self, now: Instant) -> impl Iterator<Item = Ipv4Addr> {
        self.by_address
            .iter()
            .filter(move |(_, member)| {
                member.alive(now) && member.availability_zone == self.availability_zone
            })
            .map(|(address, _)| *address)
    }

    /// A random live host of each other availability zone.
    pub fn relays(&self, now: Instant, rng: &mut impl Rng) -> SmallVec<[Ipv4Addr; 16]> {
        let mut zones: HashMap<&str, SmallVec<[Ipv4Addr; 32]>> = HashMap::new();
        for (address, member) in &self.by_address {
            let other = member.availability_zone != self.availability_zone;
            if other && member.alive(now) && !member.leaving {
                zones
                    .entry(&member.availability_zone)
                    .or_default()
                    .push(*address);
            }
        }
        zones
            .values()
            .map(|hosts| hosts[rng.random_range(0..hosts.len())])
            .collect()
    }

    /// Silent hosts whose greeting is due.
    pub fn greet(&mut self, now: Instant) -> SmallVec<[Ipv4Addr; 64]> {
        let mut due = SmallVec::new();
        for (address, member) in &mut self.by_address {
            let waited = member
                .greeted
                .is_none_or(|greeted| now.saturating_duration_since(greeted) >= GREET_EVERY);
            if waited && !member.alive(now) {
                member.greeted = Some(now);
                due.push(*address);
            }
        }
        due
    }

    /// A random live host, or any known one if none is alive.
    pub fn any(&self, now: Instant, rng: &mut impl Rng) -> Option<Ipv4Addr> {
        let mut addresses: SmallVec<[Ipv4Addr; 64]> = self
            .by_address
            .iter()
            .filter(|(_, member)| member.alive(now))
            .map(|(address, _)| *address)
            .collect();
        if addresses.is_empty() {
            addresses = self.by_address.keys().copied().collect();
        }
        let picked = rng.random_range(0..addresses.len().max(1));
        addresses.get(picked).copied()
    }
}

impl Member {
    fn alive(&self, now: Instant) -> bool {
        self.heard
            .is_some_and(|heard| now.saturating_duration_since(heard) < SILENCE)
    }

    /// Whether a report is new.
    fn accept(&mut self, incarnation: u64, sequence: u32) -> bool {
        // Numbers of runs are random: the time of day may go back between two.
        if incarnation != self.incarnation {
            self.incarnation = incarnation;
            self.newest = sequence;
            self.received = 1;
            return true;
        }
        if sequence > self.newest {
            let step = sequence - self.newest;
            self.received = if step < WINDOW {
                self.received << step | 1
            } else {
                1
            };
            self.newest = sequence;
            return true;
        }
        let back = self.newest - sequence;
        if back >= WINDOW || self.received & (1 << back) != 0 {
            return false;
        }
        self.received |= 1 << back;
        true
    }
}
