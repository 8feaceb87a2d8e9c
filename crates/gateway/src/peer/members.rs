//! Membership: the other daemons that this one knows, and which are alive.

mod coverage;

use std::{
    cmp::Reverse,
    collections::HashMap,
    net::Ipv4Addr,
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{reader, rendezvous};
use rand::{Rng, seq::IteratorRandom};
use smallvec::SmallVec;
use xxhash_rust::xxh3;

use super::{
    report::{Count, Hello, Introduction, Report, Scope},
    usage,
};
use crate::store;

/// Time without a sign of life after which a host no longer counts as alive.
/// Tolerates the loss of three lists of live hosts.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1800);

/// Time without a report after which the aggregator no longer lists a reporter
/// as alive. Tolerates the loss of two periodic reports.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(1300);

/// Time without a digest after which the counts of the earlier ones are no
/// longer used. Another host aggregates by then.
const DIGEST_TIMEOUT: Duration = Duration::from_millis(700);

/// Time between probes of a silent host of the own zone.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum hosts of another zone that are sent digests while none of them is
/// known to be alive.
const MAX_PROBES_PER_ZONE: usize = 3;

/// Time without a sign of life after which a host is forgotten. It is probed
/// until then, so that hosts find each other again after a network partition.
const FORGET_TIMEOUT: Duration = Duration::from_secs(120);

/// Width of the window of sequence numbers in which duplicate reports are
/// detected.
const DUPLICATE_WINDOW: u32 = 64;

/// Name of the role of aggregator in the ranking of hosts.
const AGGREGATION: &str = "aggregation";

/// One other daemon.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of the host.
    pub name: Arc<str>,
    /// Availability zone of the host.
    pub availability_zone: Arc<str>,
    /// Capacity of the host for work on behalf of others.
    pub strength: u32,
    /// Its own requests in flight, if it reports to this host.
    pub in_use: Vec<Count>,
    /// Requests in flight of all hosts that report to it, by backend server.
    pub digest_in_use: HashMap<u64, u16>,
    /// Requests that it admitted, if it reports to this host.
    pub usage: usage::Incoming,
    /// Requests that all hosts that report to it admitted.
    pub digest_usage: usage::Incoming,
    /// Number of hosts whose counts its digests contain.
    heard: u16,
    /// Whether its last list had this host.
    lists_own: bool,
    incarnation: u64,
    /// Highest sequence number received.
    newest: u32,
    /// Bit `n` is set if the sequence number `newest - n` was received.
    received: u64,
    /// When its last report or digest arrived, or an aggregator last listed it.
    last_alive: Option<Instant>,
    /// When its own report last arrived.
    last_report: Option<Instant>,
    /// When its digest last arrived.
    last_digest: Option<Instant>,
    known_since: Instant,
    last_probe: Option<Instant>,
    leaving: bool,
}

/// Requests in flight of hosts that are no longer heard from.
#[derive(Debug, Default, PartialEq)]
pub struct Expired {
    /// Counts of hosts that reported to this one, by host.
    pub reporters: Vec<Vec<Count>>,
    /// Counts from digests.
    pub digests: Vec<Count>,
}

/// All known daemons except this one.
#[derive(Debug)]
pub struct Members {
    own: Ipv4Addr,
    own_hello: Hello,
    by_address: HashMap<Ipv4Addr, Member>,
    has_list: bool,
}

impl Members {
    /// Creates a membership that knows no other daemon.
    pub fn new(own: Ipv4Addr, own_hello: Hello) -> Self {
        Self {
            own,
            own_hello,
            by_address: HashMap::new(),
            has_list: false,
        }
    }

    /// Adds the list of hosts found in the store or received from another daemon.
    /// Hosts that are already known stay as they are.
    pub fn add_list(&mut self, now: Instant, hosts: impl IntoIterator<Item = store::Host>) {
        self.has_list = true;
        for host in hosts {
            self.add(now, host);
        }
    }

    fn add(&mut self, now: Instant, host: store::Host) {
        if host.address == self.own {
            return;
        }
        self.by_address.entry(host.address).or_insert(Member {
            name: host.name,
            availability_zone: host.availability_zone,
            strength: host.strength,
            in_use: Vec::new(),
            digest_in_use: HashMap::new(),
            usage: usage::Incoming::default(),
            digest_usage: usage::Incoming::default(),
            heard: 0,
            lists_own: false,
            incarnation: 0,
            newest: 0,
            received: 0,
            last_alive: None,
            last_report: None,
            last_digest: None,
            known_since: now,
            last_probe: None,
            leaving: false,
        });
    }

    fn add_or_update(&mut self, now: Instant, address: Ipv4Addr, hello: &Hello) {
        if address == self.own {
            return;
        }
        let host = store::Host {
            name: Arc::clone(&hello.name),
            address,
            availability_zone: Arc::clone(&hello.availability_zone),
            strength: hello.strength,
        };
        self.add(now, host);
        if let Some(member) = self.by_address.get_mut(&address) {
            member.leaving = hello.leaving;
            member.strength = hello.strength;
        }
    }

    /// Records a report. Returns its origin, and whether the report is the
    /// newest one of the origin so far. Returns `None` if the report must be
    /// dropped: it is a duplicate, or this host's own, or its origin is unknown
    /// and the report does not introduce it.
    pub fn record(&mut self, now: Instant, report: &Report) -> Option<(&mut Member, bool)> {
        let origin = report.origin();
        if origin == self.own {
            return None;
        }
        if let Some(hello) = &report.hello {
            self.add_or_update(now, origin, hello);
        }
        let member = self.by_address.get_mut(&origin)?;
        if !member.accept(report.incarnation, report.sequence) {
            return None;
        }
        for introduced in &report.introduced {
            self.add_or_update(
                now,
                Ipv4Addr::from_bits(introduced.address),
                &introduced.hello,
            );
        }
        for address in report.listed.iter().flatten() {
            if let Some(listed) = self.by_address.get_mut(&Ipv4Addr::from_bits(*address)) {
                listed.last_alive = Some(now);
            }
        }
        let own = self.own.to_bits();
        let member = self.by_address.get_mut(&origin)?;
        if let Some(listed) = &report.listed {
            member.lists_own = listed.contains(&own);
        }
        member.heard = report.heard.unwrap_or(member.heard);
        member.last_alive = Some(now);
        match report.scope {
            Scope::Host => member.last_report = Some(now),
            Scope::Digest | Scope::Relay => member.last_digest = Some(now),
        }
        let is_newest = member.newest == report.sequence;
        Some((member, is_newest))
    }

    /// Returns the addresses of the hosts that report to this one, and its own.
    pub fn reporter_addresses(&self, now: Instant) -> Vec<u32> {
        let reporters = self.reporters(now).map(|(address, _)| address.to_bits());
        reporters.chain([self.own.to_bits()]).collect()
    }

    /// Returns the identities of the hosts that report to this one: of those
    /// that are new or leaving, or of all of them.
    pub fn introductions(&self, now: Instant, all: bool) -> Vec<Introduction> {
        let is_new = |member: &Member| within(now, Some(member.known_since), 2 * LIVENESS_TIMEOUT);
        self.reporters(now)
            .filter(|(_, member)| all || member.leaving || is_new(member))
            .map(|(address, member)| Introduction {
                address: address.to_bits(),
                hello: member.hello(),
            })
            .collect()
    }

    fn reporters(&self, now: Instant) -> impl Iterator<Item = (&Ipv4Addr, &Member)> {
        let all = self.by_address.iter();
        all.filter(move |(_, member)| member.is_reporter(now))
    }

    /// Returns whether any host reports to this one.
    pub fn has_reporters(&self, now: Instant) -> bool {
        self.by_address
            .values()
            .any(|member| member.is_reporter(now))
    }

    /// Forgets hosts that have been silent for two minutes. Takes out and
    /// returns the requests in flight of hosts whose reports or digests have
    /// timed out.
    pub fn expire(&mut self, now: Instant) -> Expired {
        let mut expired = Expired::default();
        for member in self.by_address.values_mut() {
            if !member.in_use.is_empty() && !member.is_reporter(now) {
                expired.reporters.push(std::mem::take(&mut member.in_use));
            }
            if !member.digest_in_use.is_empty() && !within(now, member.last_digest, DIGEST_TIMEOUT)
            {
                expired.digests.extend(member.digest_in_use.drain());
            }
        }
        self.by_address.retain(|_, member| {
            let last = member.last_alive.unwrap_or(member.known_since);
            now.saturating_duration_since(last) < FORGET_TIMEOUT
        });
        expired
    }

    /// Returns the number of live hosts, including this one.
    pub fn live_count(&self, now: Instant) -> usize {
        1 + self
            .by_address
            .values()
            .filter(|member| member.is_alive(now))
            .count()
    }

    /// Returns the hosts that may read the store for others, including this one:
    /// the live ones, or all known ones while this daemon is `starting`. Hosts
    /// that are shutting down are left out, except this one.
    pub fn readers(&self, now: Instant, starting: bool) -> impl Iterator<Item = reader::Host<'_>> {
        self.by_address
            .values()
            .filter(move |member| (starting || member.is_alive(now)) && !member.leaving)
            .map(|member| (&*member.name, member.strength))
            .chain([(&*self.own_hello.name, self.own_hello.strength)])
    }

    /// Returns whether a list of hosts has been added. Without one this host
    /// knows only those that have contacted it, so ranks among them mean nothing.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Returns all known hosts, for a daemon that starts.
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

    /// Returns a digest of the addresses of all known hosts and this one, equal on
    /// hosts that know the same.
    pub fn digest(&self) -> u64 {
        let known = self.by_address.keys().chain([&self.own]);
        known.fold(0, |digest, address| {
            digest ^ xxh3::xxh3_64(&address.octets())
        })
    }

    /// Returns the other live hosts of this availability zone.
    pub fn neighbours(&self, now: Instant) -> impl Iterator<Item = Ipv4Addr> {
        self.by_address
            .iter()
            .filter(move |(_, member)| {
                member.is_alive(now) && member.availability_zone == self.own_hello.availability_zone
            })
            .map(|(address, _)| *address)
    }

    /// Returns the live hosts of this availability zone that may aggregate,
    /// highest rank first. Includes this host unless it is shutting down.
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
                let is_in_zone = member.availability_zone == self.own_hello.availability_zone;
                is_in_zone && member.is_alive(now) && !member.leaving
            })
            .map(|(address, member)| (member.score(), *address))
            .chain(own)
            .collect();
        ranked.sort_unstable_by_key(|(score, _)| Reverse(*score));
        ranked.into_iter().map(|(_, address)| address)
    }

    /// Returns the hosts of other availability zones that forward digests within
    /// their zone: per zone the aggregator, else the live host ranked highest,
    /// or up to three hosts if none is known to be alive.
    pub fn relays(&self, now: Instant) -> SmallVec<[Ipv4Addr; 16]> {
        let mut zones: HashMap<&str, SmallVec<[(_, Ipv4Addr); 32]>> = HashMap::new();
        for (address, member) in &self.by_address {
            if member.availability_zone != self.own_hello.availability_zone && !member.leaving {
                let is_aggregator = within(now, member.last_digest, DIGEST_TIMEOUT);
                let rank = (is_aggregator, member.is_alive(now), member.score());
                let zone = zones.entry(&member.availability_zone).or_default();
                zone.push((rank, *address));
            }
        }
        let mut relays = SmallVec::new();
        for members in zones.values_mut() {
            members.sort_unstable_by_key(|(rank, _)| Reverse(*rank));
            let is_alive = members[0].0.1;
            let count = if is_alive { 1 } else { MAX_PROBES_PER_ZONE };
            relays.extend(members.iter().take(count).map(|(_, address)| *address));
        }
        relays
    }

    /// Returns the silent hosts of this availability zone whose next probe is
    /// due, and counts them as probed.
    pub fn take_due_probes(&mut self, now: Instant) -> SmallVec<[Ipv4Addr; 64]> {
        let mut due = SmallVec::new();
        for (address, member) in &mut self.by_address {
            let is_in_zone = member.availability_zone == self.own_hello.availability_zone;
            let is_due = !within(now, member.last_probe, PROBE_INTERVAL);
            if is_in_zone && is_due && !member.is_alive(now) {
                member.last_probe = Some(now);
                due.push(*address);
            }
        }
        due
    }

    /// Returns whether the host at `address` is known to be in this availability
    /// zone.
    pub fn is_in_zone(&self, address: Ipv4Addr) -> bool {
        self.by_address
            .get(&address)
            .is_some_and(|member| member.availability_zone == self.own_hello.availability_zone)
    }

    /// Returns whether the host at `address` is known to be in another availability
    /// zone.
    pub fn is_in_other_zone(&self, address: Ipv4Addr) -> bool {
        self.by_address.contains_key(&address) && !self.is_in_zone(address)
    }

    /// Marks this host as shutting down, so that it is given no role.
    pub fn set_leaving(&mut self) {
        self.own_hello.leaving = true;
    }

    /// Returns this host's identity and state.
    pub fn own_hello(&self) -> &Hello {
        &self.own_hello
    }

    /// Returns a random live host, or any known one if none is alive.
    pub fn random(&self, now: Instant, rng: &mut impl Rng) -> Option<Ipv4Addr> {
        let all = self.by_address.iter();
        let alive = all.filter(|(_, member)| member.is_alive(now));
        let alive = alive.map(|(address, _)| *address).choose(rng);
        alive.or_else(|| self.random_known(rng))
    }

    /// Returns a random known host, whether or not it is alive.
    pub fn random_known(&self, rng: &mut impl Rng) -> Option<Ipv4Addr> {
        self.by_address.keys().copied().choose(rng)
    }
}

impl Member {
    fn is_alive(&self, now: Instant) -> bool {
        within(now, self.last_alive, LIVENESS_TIMEOUT)
    }

    fn is_reporter(&self, now: Instant) -> bool {
        within(now, self.last_report, REPORT_TIMEOUT)
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

    /// Records a sequence number. Returns whether the report is not a duplicate.
    fn accept(&mut self, incarnation: u64, sequence: u32) -> bool {
        // Incarnations are random numbers, since the time of day may go back
        // between two of them; so any other one counts as the current one.
        if incarnation != self.incarnation {
            self.incarnation = incarnation;
            self.newest = sequence;
            self.received = 1;
            return true;
        }
        if sequence > self.newest {
            let step = sequence - self.newest;
            self.received = if step < DUPLICATE_WINDOW {
                self.received << step | 1
            } else {
                1
            };
            self.newest = sequence;
            return true;
        }
        let age = self.newest - sequence;
        if age >= DUPLICATE_WINDOW || self.received & (1 << age) != 0 {
            return false;
        }
        self.received |= 1 << age;
        true
    }
}

/// Returns whether `at` is less than `limit` ago.
fn within(now: Instant, at: Option<Instant>, limit: Duration) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < limit)
}
