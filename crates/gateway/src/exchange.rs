//! Sends and receives reports between daemons.
//!
//! A host reports to the one that aggregates in its availability zone. Whoever
//! gets reports sends digests of them, whether or not it ranks itself first, so
//! that no reporter is ignored while the hosts of a zone disagree.

use std::{
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::aggregation;
use tokio::net::UdpSocket;

use crate::{
    host::Host,
    peer::{
        aggregate::{Aggregate, Audience, Part},
        report::{Count, MAX_INTRODUCTIONS, Report, Scope},
    },
    replication::Fetcher,
};

/// Time for which a host collects outcomes into one report.
const COLLECT: Duration = Duration::from_millis(4);

/// Time for which a host that aggregates collects for its own zone.
const COLLECT_ZONE: Duration = Duration::from_millis(10);

/// Time for which it collects for the other zones.
const COLLECT_OTHERS: Duration = Duration::from_millis(12);

/// Time between digests without news. Other hosts take a longer silence for a
/// failure; see [`aggregation::Settings::silence_timeout`].
const HEARTBEAT: Duration = Duration::from_millis(100);

/// Time between periodic reports, and between lists of live hosts.
const PERIOD: Duration = Duration::from_millis(500);

/// Periodic lists of live hosts of which one says who all of them are.
const NAMED_EVERY: u32 = 4;

/// Time between two looks at who is alive.
const LOOK: Duration = Duration::from_millis(100);

/// A gap between two looks from which the process counts as having stood
/// still.
const PAUSE: Duration = Duration::from_secs(1);

/// Hosts of a zone for each thousandth of a processor core of the one that
/// aggregates from which on it sends digests less often.
const CROWD: f64 = 0.1;

/// Time for which a newer copy that is only known from another zone is left to
/// the host that aggregates.
const BEHIND: Duration = Duration::from_millis(400);

/// Datagrams that are read before the timers are looked at again.
const BURST: usize = 32;

/// Sends and receives until the process ends.
pub(crate) struct Exchange {
    host: Rc<Host>,
    socket: UdpSocket,
    fetch: Fetcher,
    incarnation: u64,
    sequence: u32,
    choice: aggregation::Selector<Ipv4Addr>,
    aggregator: Ipv4Addr,
    aggregate: Aggregate,
    /// Whether digests are sent.
    aggregating: bool,
    /// Requests in flight as last told.
    told: Vec<Count>,
    /// When collected news go out.
    due: Option<Instant>,
    reported: Option<Instant>,
    told_zone: Option<Instant>,
    told_others: Option<Instant>,
    listed: Option<Instant>,
    lists: u32,
    looked: Option<(Instant, Duration)>,
    behind_since: Option<Instant>,
    sent_versions: (u64, u64),
}

impl Exchange {
    /// An exchange over `socket`; `fetch` gets what a report shows to be newer
    /// elsewhere.
    pub(crate) fn new(host: Rc<Host>, socket: UdpSocket, fetch: Fetcher) -> Self {
        Self {
            choice: aggregation::Selector::new(host.settings.aggregation.clone()),
            aggregator: host.settings.address,
            host,
            socket,
            fetch,
            incarnation: rand::random(),
            sequence: 0,
            aggregate: Aggregate::default(),
            aggregating: false,
            told: Vec::new(),
            due: None,
            reported: None,
            told_zone: None,
            told_others: None,
            listed: None,
            lists: 0,
            looked: None,
            behind_since: None,
            sent_versions: (0, 0),
        }
    }

    /// Runs the exchange.
    pub(crate) async fn run(mut self) {
        let mut buffer = vec![0; 64 << 10];
        loop {
            let host = Rc::clone(&self.host);
            let wait = self.next_due().saturating_duration_since(host.now());
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    self.receive_burst(&mut buffer, received);
                }
                () = host.outbox_changed.notified() => self.collect(),
                () = tokio::time::sleep(wait) => {}
            }
            self.work();
        }
    }

    fn receive_burst(&mut self, buffer: &mut [u8], first: std::io::Result<(usize, SocketAddr)>) {
        let mut received = first;
        for _ in 0..BURST {
            match received {
                Ok((length, from)) => self.receive(&buffer[..length], from),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    // An earlier datagram met a closed port; the member list notices.
                    log::debug!(event = "datagram_refused", error = error.to_string(); "a peer's port is closed");
                    return;
                }
            }
            received = self.socket.try_recv_from(buffer);
        }
    }

    /// When the next timer ends.
    fn next_due(&self) -> Instant {
        let look = self.looked.map_or(self.host.now(), |(at, _)| at + LOOK);
        self.due.map_or(look, |due| due.min(look))
    }

    /// Notes that there is something to tell.
    fn collect(&mut self) {
        let now = self.host.now();
        let wait = if self.host.outbox.borrow().urgent {
            Duration::ZERO
        } else if self.aggregating {
            COLLECT_ZONE.mul_f64(self.slowness(now))
        } else {
            COLLECT
        };
        let due = now + wait;
        self.due = Some(self.due.map_or(due, |before| before.min(due)));
    }

    /// How much less often this host sends digests than a strong one would.
    fn slowness(&self, now: Instant) -> f64 {
        let hosts = self.host.members.borrow().neighbours(now).count() as f64;
        let strength = f64::from(self.host.settings.strength.max(1));
        (hosts / strength / CROWD).max(1.0)
    }

    /// Does what is due.
    fn work(&mut self) {
        let now = self.host.now();
        let look = self
            .looked
            .is_none_or(|(at, _)| now.saturating_duration_since(at) >= LOOK);
        if look {
            self.look(now);
        }
        let due = self.due.is_some_and(|due| now >= due);
        if !due && !look {
            return;
        }
        if due {
            self.due = None;
        }
        self.report(now);
        self.send_digests(now);
    }

    /// Looks who is alive, who aggregates, and whether the process stood still.
    fn look(&mut self, now: Instant) {
        self.notice_pause(now);
        let lost = self.host.members.borrow_mut().expire(now);
        let mut evidence = self.host.evidence.borrow_mut();
        for reporter in &lost.reporters {
            evidence.replace_remote(now, reporter, &[]);
            self.aggregate.replace_counts(reporter, &[]);
        }
        evidence.replace_remote(now, &lost.groups, &[]);
        drop(evidence);
        self.choose(now);
        let members = self.host.members.borrow();
        self.host.shared.publish_hosts(members.hosts());
        let replica = self.host.replica.borrow();
        let freshness = replica.freshness(now);
        self.host
            .shared
            .publish_catalog(replica.catalog(), freshness, now);
    }

    /// Distrusts the copy of the catalog if the process or its machine stood
    /// still since the last look.
    fn notice_pause(&mut self, now: Instant) {
        let uptime = self.host.clock.uptime();
        if let Some((last, last_uptime)) = self.looked.replace((now, uptime)) {
            let gap = now
                .saturating_duration_since(last)
                .max(uptime.saturating_sub(last_uptime));
            if gap >= PAUSE {
                log::warn!(event = "paused", gap_ms = gap.as_millis() as u64; "the process stood still");
                self.host.replica.borrow_mut().discard_proofs();
            }
        }
    }

    /// Decides whom this host reports to, and whether it sends digests.
    fn choose(&mut self, now: Instant) {
        let own = self.host.settings.address;
        let members = self.host.members.borrow();
        let before = self.aggregator;
        self.aggregator = self.choice.choose(now, own, members.aggregators(now));
        let aggregating = self.aggregator == own || members.has_reporters(now);
        drop(members);
        if self.aggregator != before {
            log::info!(event = "aggregator", host = self.aggregator.to_string(); "another host aggregates the reports of this one");
            self.change_aggregator(before);
        }
        if self.aggregating && !aggregating {
            self.aggregate.discard();
        }
        self.aggregating = aggregating;
    }

    /// Moves this host's own requests in flight between its aggregate and the
    /// report to another host.
    fn change_aggregator(&mut self, before: Ipv4Addr) {
        let own = self.host.settings.address;
        let in_use = std::mem::take(&mut self.told);
        if before == own {
            self.aggregate.replace_counts(&in_use, &[]);
        }
        self.host.evidence.borrow_mut().set_echoed(&[]);
        self.reported = None;
    }

    /// Tells this host's own outcomes and requests in flight: its aggregate if
    /// it aggregates for itself, else the host that does.
    fn report(&mut self, now: Instant) {
        let outbox = self.host.outbox.take();
        let in_use = self.host.evidence.borrow().in_use();
        if self.aggregator == self.host.settings.address {
            for seen in &outbox.outcomes {
                self.aggregate.add_outcome(seen);
            }
            self.aggregate.replace_counts(&self.told, &in_use);
            self.told = in_use;
            if let Some(delta) = outbox.delta {
                self.spread_delta(now, &delta);
            }
            return;
        }
        let periodic = passed(now, self.reported, PERIOD);
        let changed = in_use != self.told;
        let freshness = self.host.replica.borrow().freshness(now);
        let versions = (freshness.configuration, freshness.upstreams);
        let news = !outbox.outcomes.is_empty() || outbox.delta.is_some() || changed;
        if !periodic && !news && versions == self.sent_versions {
            return;
        }
        self.sent_versions = versions;
        let mut report = self.blank(now, Scope::Host);
        report.in_use = (periodic || changed).then(|| in_use.clone());
        report.outcomes = outbox.outcomes;
        report.delta = outbox.delta;
        if periodic {
            self.reported = Some(now);
            report.hello = Some(self.host.members.borrow().own_hello().clone());
        }
        if changed || periodic {
            self.host.evidence.borrow_mut().set_echoed(&in_use);
            self.told = in_use;
        }
        self.send(&report, &[self.aggregator]);
    }

    /// A report with nothing but who makes it and what copy it has.
    fn blank(&mut self, now: Instant, scope: Scope) -> Report {
        self.sequence += 1;
        Report {
            origin: self.host.settings.address.to_bits(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            scope,
            freshness: self.host.replica.borrow().freshness(now),
            ..Report::default()
        }
    }

    fn send_digests(&mut self, now: Instant) {
        if !self.aggregating {
            return;
        }
        let slowness = self.slowness(now);
        let freshness = self.host.replica.borrow().freshness(now);
        let versions = (freshness.configuration, freshness.upstreams);
        let changed = std::mem::replace(&mut self.sent_versions, versions) != versions;
        let upstreams = self.host.evidence.borrow().upstreams();
        if passed(now, self.listed, PERIOD) {
            self.listed = Some(now);
            self.send_lists(now);
        }
        let news = self.aggregate.has_pending(Audience::Zone);
        let waited = COLLECT_ZONE.mul_f64(slowness);
        if changed
            || (news && passed(now, self.told_zone, waited))
            || passed(now, self.told_zone, HEARTBEAT)
        {
            self.told_zone = Some(now);
            let to: Vec<Ipv4Addr> = self.host.members.borrow().neighbours(now).collect();
            let parts = self.aggregate.take(Audience::Zone, &upstreams);
            self.send_digest(now, Scope::Digest, parts, &to);
        } else if news {
            let due = self.told_zone.map_or(now, |at| at + waited);
            self.due = Some(self.due.map_or(due, |before| before.min(due)));
        }
        let news = self.aggregate.has_pending(Audience::OtherZones);
        let waited = COLLECT_OTHERS.mul_f64(slowness);
        if changed
            || passed(now, self.told_others, HEARTBEAT)
            || (news && passed(now, self.told_others, waited))
        {
            self.told_others = Some(now);
            let to = self.host.members.borrow().relays(now);
            let parts = self.aggregate.take(Audience::OtherZones, &upstreams);
            self.send_digest(now, Scope::Relay, parts, &to);
        } else if news {
            let due = self.told_others.map_or(now, |at| at + waited);
            self.due = Some(self.due.map_or(due, |before| before.min(due)));
        }
    }

    fn send_digest(&mut self, now: Instant, scope: Scope, parts: Vec<Part>, to: &[Ipv4Addr]) {
        if to.is_empty() {
            return;
        }
        for part in parts {
            let mut report = self.blank(now, scope);
            report.outcomes = part.outcomes;
            report.in_use = Some(part.in_use);
            self.send(&report, to);
        }
    }

    /// Tells who is alive, also to silent hosts of the zone, so that hosts that
    /// do not know each other meet.
    fn send_lists(&mut self, now: Instant) {
        self.lists += 1;
        let all = self.lists % NAMED_EVERY == 1;
        let mut members = self.host.members.borrow_mut();
        let mut zone: Vec<Ipv4Addr> = members.neighbours(now).collect();
        zone.extend(members.take_due_probes(now));
        let others = members.relays(now);
        let hello = members.own_hello().clone();
        let listed = members.reporter_addresses(now);
        let introduced = members.introductions(now, all);
        drop(members);
        for (scope, to) in [(Scope::Digest, &zone[..]), (Scope::Relay, &others[..])] {
            for chunk in introduced.chunks(MAX_INTRODUCTIONS) {
                let mut report = self.blank(now, scope);
                report.hello = Some(hello.clone());
                report.introduced = chunk.to_vec();
                self.send(&report, to);
            }
            let mut report = self.blank(now, scope);
            report.hello = Some(hello.clone());
            report.listed = Some(listed.clone());
            self.send(&report, to);
        }
    }

    /// Passes changes of the list on at once.
    fn spread_delta(&mut self, now: Instant, delta: &crate::replica::Delta) {
        for scope in [Scope::Digest, Scope::Relay] {
            let to: Vec<Ipv4Addr> = match scope {
                Scope::Relay => self.host.members.borrow().relays(now).to_vec(),
                _ => self.host.members.borrow().neighbours(now).collect(),
            };
            let mut report = self.blank(now, scope);
            report.delta = Some(delta.clone());
            self.send(&report, &to);
        }
    }

    fn send(&self, report: &Report, to: &[Ipv4Addr]) {
        if to.is_empty() {
            return;
        }
        let bytes = match report.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(event = "report_not_encoded", error = error.to_string(); "report can't be encoded");
                return;
            }
        };
        for address in to {
            let peer = SocketAddr::from((*address, self.host.settings.peer_port));
            if let Err(error) = self.socket.try_send_to(&bytes, peer) {
                // Reports are repeated; a full send buffer only delays them.
                log::debug!(event = "report_not_sent", peer = peer.to_string(), error = error.to_string(); "report not sent");
            }
        }
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        let mut report = match Report::decode(bytes) {
            Ok(report) => report,
            Err(error) => {
                log::warn!(event = "report_unreadable", from = from.to_string(), error = error.to_string(); "report can't be read");
                return;
            }
        };
        let now = self.host.now();
        if !self.note(now, &report) {
            return;
        }
        if report.scope == Scope::Relay {
            report.scope = Scope::Digest;
            let neighbours: Vec<_> = self.host.members.borrow().neighbours(now).collect();
            self.send(&report, &neighbours);
        }
        self.follow(now, &report);
    }

    /// Brings the copy of the catalog up to date with a report.
    fn follow(&mut self, now: Instant, report: &Report) {
        let mut replica = self.host.replica.borrow_mut();
        let changed = report
            .delta
            .as_ref()
            .is_some_and(|delta| replica.apply_delta(now, delta));
        let behind = replica.compare(now, &report.freshness);
        drop(replica);
        if changed {
            self.host.catalog_changed();
            if report.scope == Scope::Host
                && let Some(delta) = &report.delta
            {
                self.spread_delta(now, delta);
            }
        }
        if !behind {
            self.behind_since = None;
            return;
        }
        let near = self.host.members.borrow().is_in_zone(report.origin());
        let since = *self.behind_since.get_or_insert(now);
        if near || self.aggregating || now.saturating_duration_since(since) >= BEHIND {
            self.fetch.request(report.origin());
        }
    }

    /// Takes a report's evidence into account, unless it was seen before.
    fn note(&mut self, now: Instant, report: &Report) -> bool {
        let mut members = self.host.members.borrow_mut();
        let Some((member, newest)) = members.record(now, report) else {
            return false;
        };
        let mut evidence = self.host.evidence.borrow_mut();
        let own = report.scope == Scope::Host;
        // Reports may come in another order than they were sent in.
        if let Some(in_use) = &report.in_use
            && newest
        {
            if own {
                evidence.replace_remote(now, &member.in_use, in_use);
                self.aggregate.replace_counts(&member.in_use, in_use);
                member.in_use.clone_from(in_use);
            } else {
                for (upstream, count) in in_use {
                    let before = match *count {
                        0 => member.digest_in_use.remove(upstream),
                        count => member.digest_in_use.insert(*upstream, count),
                    };
                    let before = before.unwrap_or(0);
                    evidence.replace_remote(now, &[(*upstream, before)], &[(*upstream, *count)]);
                }
            }
        }
        for seen in &report.outcomes {
            let shift = evidence.observe(now, seen);
            self.host.log_transition(now, shift, seen, &member.name);
            if own {
                self.aggregate.add_outcome(seen);
            }
        }
        drop(evidence);
        drop(members);
        if own {
            self.aggregating = true;
            let urgent = report.outcomes.iter().any(|seen| seen.outcome.is_urgent());
            let wait = if urgent {
                Duration::ZERO
            } else {
                COLLECT_ZONE.mul_f64(self.slowness(now))
            };
            let due = now + wait;
            self.due = Some(self.due.map_or(due, |before| before.min(due)));
        } else if self.host.members.borrow().is_in_zone(report.origin()) {
            let own = self.host.settings.address.to_bits();
            let lists_own = report.listed.as_ref().map(|listed| listed.contains(&own));
            self.choice.record_digest(now, report.origin(), lists_own);
        }
        true
    }
}

/// Whether `at` is at least `period` ago, or never was.
fn passed(now: Instant, at: Option<Instant>, period: Duration) -> bool {
    at.is_none_or(|at| now.saturating_duration_since(at) >= period)
}
