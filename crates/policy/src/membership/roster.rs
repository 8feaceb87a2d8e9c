//! The member list: which report about a host takes precedence, and which
//! reports are disseminated.

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

/// The suspicion of a member, which is declared dead at the deadline.
pub(super) struct Suspicion {
    pub(super) deadline: Instant,
    /// Whether a probe of this daemon raised the suspicion.
    pub(super) is_local: bool,
}

/// All known hosts, including the local one.
///
/// Invariants: of two reports about a host, the one with the higher
/// (incarnation, state) takes precedence; at most one host that is not dead has
/// a given address; the generation changes if and only if the snapshot does.
pub(super) struct Roster {
    local_host: Arc<str>,
    entries: BTreeMap<Arc<str>, Entry>,
    addresses: HashMap<SocketAddr, Arc<str>>,
    /// Number of times that each host's latest report is still to be sent.
    queue: BTreeMap<Arc<str>, u32>,
    pub(super) suspects: BTreeMap<Arc<str>, Suspicion>,
    /// Original states of hosts whose state this daemon changed without
    /// confirmation by another daemon.
    unconfirmed: BTreeMap<Arc<str>, State>,
    /// Hosts that became live and that the caller has not yet taken.
    pub(super) newly_live: Vec<Arc<str>>,
    /// Hosts that a report newly marked as suspected and that the caller has
    /// not yet taken.
    pub(super) newly_suspected: Vec<Arc<str>>,
    live: usize,
    generation: u64,
    cached: Option<Arc<Snapshot>>,
    suspicion: Duration,
    repeat_factor: u32,
}

impl Roster {
    pub(super) fn new(
        now: Instant,
        local: Member,
        suspicion: Duration,
        repeat_factor: u32,
    ) -> Self {
        let mut roster = Self {
            local_host: Arc::clone(&local.host),
            entries: BTreeMap::new(),
            addresses: HashMap::new(),
            queue: BTreeMap::new(),
            suspects: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            newly_live: Vec::new(),
            newly_suspected: Vec::new(),
            live: 0,
            generation: 0,
            cached: None,
            suspicion,
            repeat_factor,
        };
        roster.set(now, local);
        roster.newly_live.clear();
        roster
    }

    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the number of hosts that are not dead.
    pub(super) fn live_count(&self) -> usize {
        self.live
    }

    pub(super) fn local(&self) -> &Member {
        &self.entries[&self.local_host].member
    }

    pub(super) fn get(&self, host: &str) -> Option<&Member> {
        self.entries.get(host).map(|entry| &entry.member)
    }

    /// Returns the remote hosts whose state satisfies `wanted`.
    pub(super) fn others(&self, wanted: impl Fn(State) -> bool) -> Vec<&Member> {
        let members = self.entries.values().map(|entry| &entry.member);
        members
            .filter(|member| member.host != self.local_host && wanted(member.state))
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

    /// Returns whether the list differs from `before`. If its content is the
    /// same again, the generation is reset to that of `before`.
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

    /// Stores a report as the current one about its host.
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
            self.newly_live.push(Arc::clone(&host));
        } else if was_live && !is_live {
            self.live -= 1;
        }
        if (is_live || was_live) && old != Some(&member) {
            self.generation += 1;
            self.cached = None;
        }
        if member.state == State::Suspect {
            // The daemon that raised the suspicion declares the member dead
            // after the suspicion time-out. The others wait twice as long, so
            // that its report or a refutation can arrive.
            let suspicion = Suspicion {
                deadline: now + 2 * self.suspicion,
                is_local: false,
            };
            self.suspects.insert(Arc::clone(&host), suspicion);
        } else {
            self.suspects.remove(&host);
        }
        self.unconfirmed.remove(&host);
        self.entries.insert(host, Entry { member, since: now });
    }

    /// Queues the current report about `host` for the next messages. Sending a
    /// report 3·log2(n) times reaches every member with high probability.
    fn enqueue(&mut self, host: Arc<str>) {
        let bits = usize::BITS - self.live.leading_zeros();
        self.queue.insert(host, self.repeat_factor * bits.max(1));
    }

    /// Applies a report if it takes precedence. `is_direct` says that it came
    /// from the host itself, which proves that no other host has its address.
    pub(super) fn apply(&mut self, now: Instant, update: &Member, is_direct: bool) {
        if update.incarnation == u64::MAX {
            return; // No higher incarnation could refute it.
        }
        if update.host == self.local_host {
            self.refute(now, update);
            return;
        }
        let mut update = update.clone();
        if update.state != State::Dead
            && let Some(holder) = self.addresses.get(&update.address).cloned()
            && holder != update.host
        {
            let other = &self.entries[&holder].member;
            let is_newer = (update.incarnation, &update.host) > (other.incarnation, &other.host);
            if holder == self.local_host {
                update.state = State::Dead;
            } else if is_direct || is_newer {
                self.mark(now, &holder, State::Dead, true);
            } else {
                return;
            }
        }
        let is_current = match self.entries.get(&update.host) {
            Some(entry) if update.precedence() == entry.member.precedence() => {
                // A report that is received again is already known to others,
                // so it is sent once less.
                if let Some(left) = self.queue.get_mut(&update.host) {
                    *left = left.saturating_sub(1);
                }
                return;
            }
            Some(entry) => update.precedence() > entry.member.precedence(),
            // Otherwise daemons would resend forgotten hosts to each other
            // forever.
            None => update.state != State::Dead,
        };
        if is_current {
            let host = Arc::clone(&update.host);
            if update.state == State::Suspect {
                self.newly_suspected.push(Arc::clone(&host));
            }
            self.set(now, update);
            self.enqueue(host);
        }
    }

    /// Refutes a false report about this daemon with a higher incarnation.
    fn refute(&mut self, now: Instant, update: &Member) {
        let local = self.local();
        let is_other_address =
            update.incarnation == local.incarnation && update.address != local.address;
        if update.precedence() > local.precedence() || is_other_address {
            let mut local = local.clone();
            local.incarnation = update.incarnation + 1;
            let host = Arc::clone(&local.host);
            self.set(now, local);
            self.enqueue(host);
        }
    }

    /// Changes the state of a host by a decision of this daemon. Without
    /// confirmation by another daemon the change is not disseminated and is
    /// reverted at the next contact.
    pub(super) fn mark(&mut self, now: Instant, host: &Arc<str>, state: State, is_confirmed: bool) {
        let Some(entry) = self.entries.get(host) else {
            return;
        };
        let mut member = entry.member.clone();
        let before = self.unconfirmed.get(host).copied().unwrap_or(member.state);
        member.state = state;
        self.set(now, member);
        if is_confirmed {
            self.enqueue(Arc::clone(host));
        } else {
            self.queue.remove(host);
            self.unconfirmed.insert(Arc::clone(host), before);
        }
    }

    /// Reverts the state changes that no other daemon confirmed.
    pub(super) fn revert_unconfirmed(&mut self, now: Instant) {
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

    /// Removes hosts that have been dead for at least `after`.
    pub(super) fn forget(&mut self, now: Instant, after: Duration) {
        let old = |entry: &Entry| {
            entry.member.state == State::Dead && now.duration_since(entry.since) >= after
        };
        self.entries.retain(|_, entry| !old(entry));
        let entries = &self.entries;
        self.queue.retain(|host, _| entries.contains_key(host));
    }

    /// Returns the reports for the next message: at most `limit` queued ones,
    /// preferring those with the most sends left, and always the one about `to`
    /// if that host has to refute it.
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
            // Every message contains the sender's own entry anyway.
            if host != self.local_host && *host != *to {
                updates.push(self.entries[&host].member.clone());
            }
            match left {
                0 | 1 => self.queue.remove(&host),
                left => self.queue.insert(host, left - 1),
            };
        }
        updates
    }

    /// Returns one hash for each part of the list. Dead hosts are excluded,
    /// since daemons forget them at different times.
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
                summary[part_of(&member.host, parts)] ^= hash;
            }
        }
        summary
    }

    /// Returns the parts in which another daemon's summary differs, and the
    /// entries of all hosts in them, including dead ones.
    pub(super) fn differences(&self, summary: &[u64]) -> (Vec<u16>, Vec<Member>) {
        // The bound limits the memory that a malformed message can cost.
        if summary.is_empty() || summary.len() > 256 {
            return (Vec::new(), Vec::new());
        }
        let local = self.summary_of(summary.len());
        let parts: Vec<u16> = (0..)
            .zip(local.iter().zip(summary))
            .filter(|(_, (local, other))| local != other)
            .map(|(part, _)| part)
            .collect();
        let members = self.in_parts(&parts, summary.len()).cloned().collect();
        (parts, members)
    }

    fn in_parts<'a>(
        &'a self,
        parts: &'a [u16],
        part_count: usize,
    ) -> impl Iterator<Item = &'a Member> {
        let members = self.entries.values().map(|entry| &entry.member);
        members.filter(move |member| {
            u16::try_from(part_of(&member.host, part_count)).is_ok_and(|part| parts.contains(&part))
        })
    }

    /// Returns the entries that another daemon lacks, given the ones that it
    /// has in the differing parts.
    pub(super) fn missing(
        &self,
        parts: &[u16],
        part_count: usize,
        known: &[Member],
    ) -> Vec<Member> {
        let known: HashMap<_, _> = known
            .iter()
            .map(|member| (&member.host, member.precedence()))
            .collect();
        self.in_parts(parts, part_count)
            .filter(|member| match known.get(&member.host) {
                Some(rank) => member.precedence() > *rank,
                None => member.state != State::Dead,
            })
            .filter(|member| !self.unconfirmed.contains_key(&member.host))
            .cloned()
            .collect()
    }

    /// Marks this daemon as leaving.
    pub(super) fn leave(&mut self, now: Instant) {
        let mut local = self.local().clone();
        local.state = State::Leaving;
        let host = Arc::clone(&local.host);
        self.set(now, local);
        self.enqueue(host);
    }

    /// Restarts the time-outs of all suspicions.
    pub(super) fn restart_suspicions(&mut self, now: Instant) {
        for suspicion in self.suspects.values_mut() {
            let factor = if suspicion.is_local { 1 } else { 2 };
            suspicion.deadline = now + factor * self.suspicion;
        }
    }
}

/// Returns the index of the part of the list that `host` belongs to.
fn part_of(host: &str, parts: usize) -> usize {
    // The cast is lossless, since there are at most 256 parts.
    (xxh3::xxh3_64(host.as_bytes()) % parts as u64) as usize
}
