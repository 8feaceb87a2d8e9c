//! The member list: which report about a host wins, and what is passed on.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use xxhash_rust::xxh3;

use super::{Member, Snapshot, State};

struct Entry {
    member: Member,
    since: Instant,
}

/// When a suspected member counts as dead.
pub(super) struct Suspicion {
    pub(super) deadline: Instant,
    /// Whether this daemon's own probe raised it.
    pub(super) own: bool,
}

/// All known hosts, the own one included.
///
/// Invariants: of two reports about a host, the one with the higher
/// (incarnation, state) wins; at most one host that is not dead has a given
/// address; the generation changes if and only if the snapshot does.
pub(super) struct Roster {
    me: Arc<str>,
    entries: BTreeMap<Arc<str>, Entry>,
    addresses: HashMap<SocketAddr, Arc<str>>,
    /// Remaining sends of each host's latest report.
    queue: BTreeMap<Arc<str>, u32>,
    pub(super) suspects: BTreeMap<Arc<str>, Suspicion>,
    /// States replaced while no other daemon could be reached.
    unconfirmed: BTreeMap<Arc<str>, State>,
    /// Hosts that became live and are not yet taken by the caller.
    pub(super) joined: Vec<Arc<str>>,
    /// Hosts that others came to suspect and that are not yet taken by the
    /// caller.
    pub(super) accused: Vec<Arc<str>>,
    live: usize,
    generation: u64,
    cached: Option<Arc<Snapshot>>,
    suspicion: Duration,
    repeat_factor: u32,
}

impl Roster {
    pub(super) fn new(now: Instant, me: Member, suspicion: Duration, repeat_factor: u32) -> Self {
        let mut roster = Self {
            me: Arc::clone(&me.host),
            entries: BTreeMap::new(),
            addresses: HashMap::new(),
            queue: BTreeMap::new(),
            suspects: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            joined: Vec::new(),
            accused: Vec::new(),
            live: 0,
            generation: 0,
            cached: None,
            suspicion,
            repeat_factor,
        };
        roster.set(now, me);
        roster.joined.clear();
        roster
    }

    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    /// Hosts that are not dead.
    pub(super) fn live(&self) -> usize {
        self.live
    }

    pub(super) fn local(&self) -> &Member {
        &self.entries[&self.me].member
    }

    pub(super) fn get(&self, host: &str) -> Option<&Member> {
        self.entries.get(host).map(|entry| &entry.member)
    }

    /// The other hosts for which `wanted` holds.
    pub(super) fn others(&self, wanted: impl Fn(State) -> bool) -> Vec<&Member> {
        let members = self.entries.values().map(|entry| &entry.member);
        members
            .filter(|member| member.host != self.me && wanted(member.state))
            .collect()
    }

    pub(super) fn holds_address(&self, address: SocketAddr) -> bool {
        self.addresses.contains_key(&address)
    }

    pub(super) fn snapshot(&mut self) -> Arc<Snapshot> {
        let entries = &self.entries;
        let generation = self.generation;
        Arc::clone(self.cached.get_or_insert_with(|| {
            let members = entries.values().map(|entry| &entry.member);
            Arc::new(Snapshot {
                generation,
                members: members
                    .filter(|member| member.state != State::Dead)
                    .cloned()
                    .collect(),
            })
        }))
    }

    /// Whether the list differs from `before`. If it went back to the same
    /// content, so does the generation.
    pub(super) fn changed_since(&mut self, before: Arc<Snapshot>) -> bool {
        if self.generation == before.generation {
            return false;
        }
        if self.snapshot().members == before.members {
            self.generation = before.generation;
            self.cached = Some(before);
            return false;
        }
        true
    }

    /// Stores a report as the latest one about its host.
    fn set(&mut self, now: Instant, member: Member) {
        let host = Arc::clone(&member.host);
        let old = self.entries.get(&host).map(|entry| &entry.member);
        let was_live = old.is_some_and(|old| old.state != State::Dead);
        let is_live = member.state != State::Dead;
        if let Some(old) = old
            && self.addresses.get(&old.address) == Some(&host)
        {
            self.addresses.remove(&old.address);
        }
        if is_live {
            self.addresses.insert(member.address, Arc::clone(&host));
        }
        if is_live && !was_live {
            self.live += 1;
            self.joined.push(Arc::clone(&host));
        } else if was_live && !is_live {
            self.live -= 1;
        }
        if (is_live || was_live) && old != Some(&member) {
            self.generation += 1;
            self.cached = None;
        }
        if member.state == State::Suspect {
            // Whoever raised the suspicion decides after its time. The others
            // leave time for its verdict, or for a refutation, to arrive.
            let suspicion = Suspicion {
                deadline: now + 2 * self.suspicion,
                own: false,
            };
            self.suspects.insert(Arc::clone(&host), suspicion);
        } else {
            self.suspects.remove(&host);
        }
        self.unconfirmed.remove(&host);
        self.entries.insert(host, Entry { member, since: now });
    }

    /// Queues the latest report about `host` for the next messages. 3·log2(n)
    /// sends reach every member with high probability.
    fn pass_on(&mut self, host: Arc<str>) {
        let bits = usize::BITS - self.live.leading_zeros();
        self.queue.insert(host, self.repeat_factor * bits.max(1));
    }

    /// Takes a report. `direct` says that it came from the host itself, which
    /// proves that no other host has its address.
    pub(super) fn apply(&mut self, now: Instant, update: &Member, direct: bool) {
        if update.incarnation == u64::MAX {
            return; // It could not be refuted.
        }
        if update.host == self.me {
            self.refute(now, update);
            return;
        }
        let mut update = update.clone();
        if update.state != State::Dead
            && let Some(holder) = self.addresses.get(&update.address).cloned()
            && holder != update.host
        {
            let other = &self.entries[&holder].member;
            let newer = (update.incarnation, &update.host) > (other.incarnation, &other.host);
            if holder == self.me {
                update.state = State::Dead;
            } else if direct || newer {
                self.mark(now, &holder, State::Dead, true);
            } else {
                return;
            }
        }
        let wins = match self.entries.get(&update.host) {
            Some(entry) if update.rank() == entry.member.rank() => {
                // A report that comes back is known to others already.
                if let Some(left) = self.queue.get_mut(&update.host) {
                    *left = left.saturating_sub(1);
                }
                return;
            }
            Some(entry) => update.rank() > entry.member.rank(),
            // Otherwise daemons would return forgotten hosts to each other
            // for ever.
            None => update.state != State::Dead,
        };
        if wins {
            let host = Arc::clone(&update.host);
            if update.state == State::Suspect {
                self.accused.push(Arc::clone(&host));
            }
            self.set(now, update);
            self.pass_on(host);
        }
    }

    /// Answers a wrong report about this daemon with a higher incarnation.
    fn refute(&mut self, now: Instant, update: &Member) {
        let me = self.local();
        let same = update.incarnation == me.incarnation && update.address != me.address;
        if update.rank() > me.rank() || same {
            let mut me = me.clone();
            me.incarnation = update.incarnation + 1;
            let host = Arc::clone(&me.host);
            self.set(now, me);
            self.pass_on(host);
        }
    }

    /// Changes the state of a host on this daemon's own judgement. Without
    /// confirmation the change stays local and is undone at the next contact.
    pub(super) fn mark(&mut self, now: Instant, host: &Arc<str>, state: State, confirmed: bool) {
        let Some(entry) = self.entries.get(host) else {
            return;
        };
        let mut member = entry.member.clone();
        let before = self.unconfirmed.get(host).copied().unwrap_or(member.state);
        member.state = state;
        self.set(now, member);
        if confirmed {
            self.pass_on(Arc::clone(host));
        } else {
            self.queue.remove(host);
            self.unconfirmed.insert(Arc::clone(host), before);
        }
    }

    /// Undoes the judgements made while no other daemon could be reached.
    pub(super) fn undo_unconfirmed(&mut self, now: Instant) {
        for (host, state) in std::mem::take(&mut self.unconfirmed) {
            if let Some(entry) = self.entries.get(&host) {
                let mut member = entry.member.clone();
                member.state = state;
                if !self.holds_address(member.address) || entry.member.state != State::Dead {
                    self.set(now, member);
                }
            }
        }
    }

    /// Drops hosts that have been dead for long.
    pub(super) fn forget(&mut self, now: Instant, after: Duration) {
        let old = |entry: &Entry| {
            entry.member.state == State::Dead && now.duration_since(entry.since) >= after
        };
        self.entries.retain(|_, entry| !old(entry));
        let entries = &self.entries;
        self.queue.retain(|host, _| entries.contains_key(host));
    }

    /// At most `limit` reports for the next message, the least sent first,
    /// and always the one about `to` if that host has to refute it.
    pub(super) fn take_updates(&mut self, to: &str, limit: usize) -> Vec<Member> {
        let queue = self.queue.iter();
        let mut chosen: Vec<_> = queue.map(|(host, left)| (Reverse(*left), host)).collect();
        if chosen.len() > limit {
            chosen.select_nth_unstable_by_key(limit, |(left, _)| *left);
            chosen.truncate(limit);
        }
        let chosen: Vec<_> = chosen
            .into_iter()
            .map(|(left, host)| (left.0, Arc::clone(host)))
            .collect();
        let mut updates = Vec::with_capacity(chosen.len() + 1);
        if let Some(entry) = self.entries.get(to)
            && matches!(entry.member.state, State::Suspect | State::Dead)
        {
            updates.push(entry.member.clone());
        }
        for (left, host) in chosen {
            // The sender's own report is part of every message.
            if host != self.me && *host != *to {
                updates.push(self.entries[&host].member.clone());
            }
            match left {
                0 | 1 => self.queue.remove(&host),
                left => self.queue.insert(host, left - 1),
            };
        }
        updates
    }

    /// One hash for each part of the list. Dead hosts are left out, since
    /// daemons forget them at different times.
    pub(super) fn summary(&self) -> Vec<u64> {
        self.summary_of(self.live.div_ceil(16).next_power_of_two().min(256))
    }

    fn summary_of(&self, parts: usize) -> Vec<u64> {
        let mut summary = vec![0; parts];
        for entry in self.entries.values() {
            let member = &entry.member;
            if member.state != State::Dead {
                let seed = member.incarnation ^ ((member.state as u64) << 62);
                let hash = xxh3::xxh3_64_with_seed(member.host.as_bytes(), seed);
                summary[part(&member.host, parts)] ^= hash;
            }
        }
        summary
    }

    /// The parts in which another daemon's summary differs, and all that is
    /// known about their hosts.
    pub(super) fn differences(&self, summary: &[u64]) -> (Vec<u16>, Vec<Member>) {
        // The bound keeps a malformed message from costing much memory.
        if summary.is_empty() || summary.len() > 256 {
            return (Vec::new(), Vec::new());
        }
        let own = self.summary_of(summary.len());
        let parts: Vec<u16> = (0..)
            .zip(own.iter().zip(summary))
            .filter(|(_, (own, other))| own != other)
            .map(|(part, _)| part)
            .collect();
        let members = self.in_parts(&parts, summary.len()).cloned().collect();
        (parts, members)
    }

    fn in_parts<'a>(&'a self, parts: &'a [u16], of: usize) -> impl Iterator<Item = &'a Member> {
        let members = self.entries.values().map(|entry| &entry.member);
        members.filter(move |member| {
            u16::try_from(part(&member.host, of)).is_ok_and(|part| parts.contains(&part))
        })
    }

    /// What another daemon lacks, given what it holds in the differing parts.
    pub(super) fn missing(&self, parts: &[u16], of: usize, held: &[Member]) -> Vec<Member> {
        let held: HashMap<_, _> = held
            .iter()
            .map(|member| (&member.host, member.rank()))
            .collect();
        self.in_parts(parts, of)
            .filter(|member| match held.get(&member.host) {
                Some(rank) => member.rank() > *rank,
                None => member.state != State::Dead,
            })
            .filter(|member| !self.unconfirmed.contains_key(&member.host))
            .cloned()
            .collect()
    }

    /// Marks this daemon as leaving.
    pub(super) fn leave(&mut self, now: Instant) {
        let mut me = self.local().clone();
        me.state = State::Leaving;
        let host = Arc::clone(&me.host);
        self.set(now, me);
        self.pass_on(host);
    }

    /// Starts all suspicions afresh.
    pub(super) fn restart_suspicions(&mut self, now: Instant) {
        for suspicion in self.suspects.values_mut() {
            let factor = if suspicion.own { 1 } else { 2 };
            suspicion.deadline = now + factor * self.suspicion;
        }
    }
}

fn part(host: &str, parts: usize) -> usize {
    // The number of parts is at most 256.
    (xxh3::xxh3_64(host.as_bytes()) % parts as u64) as usize
}
