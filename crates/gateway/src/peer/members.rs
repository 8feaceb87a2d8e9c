//! Daemons that this one knows, and who of them is alive.

use std::{
    cmp::Reverse,
    collections::HashMap,
    net::Ipv4Addr,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{reader, rendezvous};
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use super::report::{Count, Hello, Introduction, Report, Scope};
use crate::store;

/// Silence after which a host no longer counts as alive. Three lists of live
/// hosts may be lost.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1800);

/// Silence after which a reporter is no longer listed as alive by the host that
/// aggregates. Two periodic reports may be lost.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(1300);

/// Silence after which the counts of a digest are no longer used. Another host
/// aggregates by then.
const DIGEST_TIMEOUT: Duration = Duration::from_millis(700);

/// Time between greetings to a host that is silent.
const GREET_EVERY: Duration = Duration::from_secs(2);

/// Silent hosts of each other zone that are greeted at a time.
const GREET_ZONE: usize = 3;

/// Silence after which a host is forgotten. It is greeted until then, so that
/// hosts find each other again after a network partition.
const FORGET: Duration = Duration::from_secs(120);

/// Numbers of reports that are remembered, to drop those received twice.
const WINDOW: u32 = 64;

/// Duty of aggregating the reports of a zone.
const AGGREGATION: &str = "aggregation";

/// One other daemon.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of the host.
    pub name: Arc<str>,
    /// Availability zone of the host.
    pub availability_zone: Arc<str>,
    /// How much work the host can take on for others.
    pub strength: u32,
    /// Its own requests in flight, if it reports to this host.
    pub in_use: Vec<Count>,
    /// Requests in flight of all hosts that report to it.
    pub digest_in_use: HashMap<u64, u16>,
    incarnation: u64,
    newest: u32,
    received: u64,
    /// When it was heard from or listed last.
    heard: Option<Instant>,
    /// When its own report came last.
    reported: Option<Instant>,
    /// When its digest came last.
    digested: Option<Instant>,
    known_since: Instant,
    greeted: Option<Instant>,
    leaving: bool,
}

/// Counts of hosts that fell silent.
#[derive(Debug, Default, PartialEq)]
pub struct Expired {
    /// Requests in flight of hosts that reported to this one, by host.
    pub reporters: Vec<Vec<Count>>,
    /// Requests in flight that digests had told of.
    pub groups: Vec<Count>,
}

/// All known daemons but this one.
#[derive(Debug)]
pub struct Members {
    own: Ipv4Addr,
    own_hello: Hello,
    by_address: HashMap<Ipv4Addr, Member>,
}

impl Members {
    /// No other daemon known.
    pub fn new(own: Ipv4Addr, own_hello: Hello) -> Self {
        Self {
            own,
            own_hello,
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
                strength: host.strength,
                in_use: Vec::new(),
                digest_in_use: HashMap::new(),
                incarnation: 0,
                newest: 0,
                received: 0,
                heard: None,
                reported: None,
                digested: None,
                known_since: now,
                greeted: None,
                leaving: false,
            });
        }
    }

    fn meet(&mut self, now: Instant, address: Ipv4Addr, hello: &Hello) {
        if address == self.own {
            return;
        }
        let host = store::Host {
            name: Arc::clone(&hello.name),
            address,
            availability_zone: Arc::clone(&hello.availability_zone),
            strength: hello.strength,
        };
        self.add(now, [host]);
        if let Some(member) = self.by_address.get_mut(&address) {
            member.leaving = hello.leaving;
            member.strength = hello.strength;
        }
    }

    /// Notes a report. Returns its origin, and whether no later report came
    /// before; `None` if the report was seen before, or the origin is unknown
    /// and does not say who it is.
    pub fn record(&mut self, now: Instant, report: &Report) -> Option<(&mut Member, bool)> {
        let origin = report.origin();
        if origin == self.own {
            return None;
        }
        if let Some(hello) = &report.hello {
            self.meet(now, origin, hello);
        }
        let member = self.by_address.get_mut(&origin)?;
        if !member.accept(report.incarnation, report.sequence) {
            return None;
        }
        for introduced in &report.introduced {
            self.meet(
                now,
                Ipv4Addr::from_bits(introduced.address),
                &introduced.hello,
            );
        }
        for address in report.listed.iter().flatten() {
            if let Some(listed) = self.by_address.get_mut(&Ipv4Addr::from_bits(*address)) {
                listed.heard = Some(now);
            }
        }
        let member = self.by_address.get_mut(&origin)?;
        member.heard = Some(now);
        match report.scope {
            Scope::Host => member.reported = Some(now),
            Scope::Digest | Scope::Relay => member.digested = Some(now),
        }
        let newest = member.newest == report.sequence;
        Some((member, newest))
    }

    /// The hosts that report to this one, with this one.
    pub fn reporter_addresses(&self, now: Instant) -> Vec<u32> {
        let reporters = self.reporters(now).map(|(address, _)| address.to_bits());
        reporters.chain([self.own.to_bits()]).collect()
    }

    /// Who the hosts are that report to this one: those that others may not
    /// know yet, or all of them.
    pub fn introductions(&self, now: Instant, all: bool) -> Vec<Introduction> {
        let recent = |member: &Member| within(now, Some(member.known_since), 2 * LIVENESS_TIMEOUT);
        self.reporters(now)
            .filter(|(_, member)| all || member.leaving || recent(member))
            .map(|(address, member)| Introduction {
                address: address.to_bits(),
                hello: member.hello(),
            })
            .collect()
    }

    fn reporters(&self, now: Instant) -> impl Iterator<Item = (&Ipv4Addr, &Member)> {
        let all = self.by_address.iter();
        all.filter(move |(_, member)| member.reports(now))
    }

    /// Whether any host reports to this one.
    pub fn has_reporters(&self, now: Instant) -> bool {
        self.by_address.values().any(|member| member.reports(now))
    }

    /// Forgets hosts that were silent for long, and returns the requests in
    /// flight of hosts that fell silent just now.
    pub fn expire(&mut self, now: Instant) -> Expired {
        let mut lost = Expired::default();
        for member in self.by_address.values_mut() {
            if !member.in_use.is_empty() && !member.reports(now) {
                lost.reporters.push(std::mem::take(&mut member.in_use));
            }
            if !member.digest_in_use.is_empty() && !within(now, member.digested, DIGEST_TIMEOUT) {
                lost.groups.extend(member.digest_in_use.drain());
            }
        }
        self.by_address.retain(|_, member| {
            let last = member.heard.unwrap_or(member.known_since);
            now.saturating_duration_since(last) < FORGET
        });
        lost
    }

    /// Number of hosts that are alive, with this one.
    pub fn live_count(&self, now: Instant) -> usize {
        1 + self
            .by_address
            .values()
            .filter(|member| member.alive(now))
            .count()
    }

    /// Hosts that may read the store for others, with this one: the live ones,
    /// or all that are known as long as `starting`.
    pub fn readers(&self, now: Instant, starting: bool) -> impl Iterator<Item = reader::Host<'_>> {
        self.by_address
            .values()
            .filter(move |member| (starting || member.alive(now)) && !member.leaving)
            .map(|member| (&*member.name, member.strength))
            .chain([(&*self.own_hello.name, self.own_hello.strength)])
    }

    /// Whether no other host is known.
    pub fn is_alone(&self) -> bool {
        self.by_address.is_empty()
    }

    /// All known hosts, to tell a daemon that starts.
    pub fn hosts(&self) -> Vec<store::Host> {
        self.by_address
            .iter()
            .map(|(address, member)| store::Host {
                name: Arc::clone(&member.name),
                address: *address,
                availability_zone: Arc::clone(&member.availability_zone),
                strength: member.strength,
            })
            .collect()
    }

    /// Live hosts of this availability zone.
    pub fn neighbours(&self, now: Instant) -> impl Iterator<Item = Ipv4Addr> {
        self.by_address
            .iter()
            .filter(move |(_, member)| {
                member.alive(now) && member.availability_zone == self.own_hello.availability_zone
            })
            .map(|(address, _)| *address)
    }

    /// Live hosts of this availability zone that may aggregate, with this one,
    /// best first.
    pub fn aggregators(&self, now: Instant) -> impl Iterator<Item = Ipv4Addr> {
        let own = (!self.own_hello.leaving).then(|| {
            let name = &self.own_hello.name;
            let score = rendezvous::score(AGGREGATION, name, self.own_hello.strength);
            (score, self.own)
        });
        let mut ranked: SmallVec<[_; 64]> = self
            .by_address
            .iter()
            .filter(|(_, member)| {
                let near = member.availability_zone == self.own_hello.availability_zone;
                near && member.alive(now) && !member.leaving
            })
            .map(|(address, member)| (member.score(), *address))
            .chain(own)
            .collect();
        ranked.sort_unstable_by_key(|(score, _)| Reverse(*score));
        ranked.into_iter().map(|(_, address)| address)
    }

    /// One host of each other availability zone, to pass digests on there: the
    /// one that aggregates there, or a few that may if none is known.
    pub fn relays(&self, now: Instant) -> SmallVec<[Ipv4Addr; 16]> {
        let mut zones: HashMap<&str, SmallVec<[(_, Ipv4Addr); 32]>> = HashMap::new();
        for (address, member) in &self.by_address {
            if member.availability_zone != self.own_hello.availability_zone && !member.leaving {
                let aggregates = within(now, member.digested, DIGEST_TIMEOUT);
                let rank = (aggregates, member.alive(now), member.score());
                let zone = zones.entry(&member.availability_zone).or_default();
                zone.push((rank, *address));
            }
        }
        let mut relays = SmallVec::new();
        for members in zones.values_mut() {
            members.sort_unstable_by_key(|(rank, _)| Reverse(*rank));
            let alive = members[0].0.1;
            let count = if alive { 1 } else { GREET_ZONE };
            relays.extend(members.iter().take(count).map(|(_, address)| *address));
        }
        relays
    }

    /// Silent hosts of this availability zone whose greeting is due.
    pub fn take_due_probes(&mut self, now: Instant) -> SmallVec<[Ipv4Addr; 64]> {
        let mut due = SmallVec::new();
        for (address, member) in &mut self.by_address {
            let near = member.availability_zone == self.own_hello.availability_zone;
            let waited = !within(now, member.greeted, GREET_EVERY);
            if near && waited && !member.alive(now) {
                member.greeted = Some(now);
                due.push(*address);
            }
        }
        due
    }

    /// Whether the host at `address` is in this availability zone.
    pub fn is_in_zone(&self, address: Ipv4Addr) -> bool {
        self.by_address
            .get(&address)
            .is_some_and(|member| member.availability_zone == self.own_hello.availability_zone)
    }

    /// Sets that this host is stopping, so that it takes no duty.
    pub fn set_leaving(&mut self) {
        self.own_hello.leaving = true;
    }

    /// Who this host is.
    pub fn own_hello(&self) -> &Hello {
        &self.own_hello
    }

    /// A random live host, or any known one if none is alive.
    pub fn random(&self, now: Instant, rng: &mut impl Rng) -> Option<Ipv4Addr> {
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
        within(now, self.heard, LIVENESS_TIMEOUT)
    }

    fn reports(&self, now: Instant) -> bool {
        within(now, self.reported, REPORT_TIMEOUT)
    }

    fn score(&self) -> rendezvous::Score<'_> {
        rendezvous::score(AGGREGATION, &self.name, self.strength)
    }

    fn hello(&self) -> Hello {
        Hello {
            name: Arc::clone(&self.name),
            availability_zone: Arc::clone(&self.availability_zone),
            strength: self.strength,
            leaving: self.leaving,
        }
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

/// Whether `at` is less than `limit` ago.
fn within(now: Instant, at: Option<Instant>, limit: Duration) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < limit)
}
