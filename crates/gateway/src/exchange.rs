//! Sends and receives reports between daemons.
//!
//! A host reports to the aggregator of its availability zone. A host that
//! receives reports sends digests of them even if it has chosen another
//! aggregator for itself, so that no report is lost while the hosts of a zone
//! disagree about the aggregator.

mod changes;
mod digests;
mod lacking;
mod link;
mod usage;

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
    slice,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{aggregation, pacing::Priority};
use smallvec::SmallVec;
use tokio::net::UdpSocket;

use self::{lacking::Lacking, link::Link};
use crate::{
    host::Host,
    peer::{
        aggregate::Aggregate,
        fragment::Assembly,
        report::{Count, Report, Scope},
        usage::Ledger,
    },
    replication::Fetcher,
};

/// Time for which a host collects outcomes into one report.
const REPORT_DELAY: Duration = Duration::from_millis(4);

/// Time between periodic reports, and between lists of live hosts.
const PERIODIC_INTERVAL: Duration = Duration::from_millis(500);

/// Time between checks of which hosts are alive.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two checks from which the process counts as having been
/// suspended.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Time without a datagram after which a host that knows others counts as cut off.
/// Even while nothing happens, an aggregator sends ten digests in that time.
const CUT_OFF_THRESHOLD: Duration = Duration::from_secs(1);

/// Maximum datagrams that are read before the timers are checked again.
const MAX_BURST: usize = 32;

/// The hosts to which this one sends reports.
#[derive(Debug)]
struct Receivers {
    /// The host that this one reports to; itself if it aggregates its own outcomes.
    aggregator: Ipv4Addr,
    /// The live hosts of this zone.
    zone: Vec<Ipv4Addr>,
    /// The hosts that forward digests within the other zones.
    relays: SmallVec<[Ipv4Addr; 16]>,
}

impl Receivers {
    /// Returns the hosts to which reports of `scope` go.
    fn of(&self, scope: Scope) -> &[Ipv4Addr] {
        match scope {
            Scope::Host => slice::from_ref(&self.aggregator),
            Scope::Digest => &self.zone,
            Scope::Relay => &self.relays,
        }
    }
}

/// The task that exchanges reports with other daemons.
pub(crate) struct Exchange {
    host: Rc<Host>,
    link: Link,
    fetcher: Fetcher,
    incarnation: u64,
    sequence: u32,
    selector: aggregation::Selector<Ipv4Addr>,
    aggregate: Aggregate,
    /// Counts of admitted requests.
    usage: Ledger,
    /// The hosts that get reports, as of the last check.
    receivers: Receivers,
    /// Requests in flight as last reported.
    reported_in_use: Vec<Count>,
    /// When collected updates are sent.
    due: Option<Instant>,
    /// When the last periodic report was sent.
    last_periodic: Option<Instant>,
    last_zone_digest: Option<Instant>,
    last_relay_digest: Option<Instant>,
    last_list: Option<Instant>,
    list_count: u32,
    /// When the last check was made, by the clock and by the machine's uptime.
    last_check: Option<(Instant, Duration)>,
    /// When the last datagram arrived.
    last_received: Option<Instant>,
    /// Whether no datagram has arrived for [`CUT_OFF_THRESHOLD`].
    is_cut_off: bool,
    /// Changes of the list of backend servers of which some parts have arrived.
    assembly: Assembly,
    /// A newer configuration that this host lacks.
    lacking_configuration: Option<Lacking>,
    /// A newer list of backend servers that this host lacks.
    lacking_list: Option<Lacking>,
    /// Versions of the configuration and of the list of backend servers as last
    /// sent.
    sent_versions: (u64, u64),
}

impl Exchange {
    /// Creates an exchange over `socket`. `fetcher` fetches the copies of
    /// hosts whose reports show newer ones than this host's.
    pub(crate) fn new(host: Rc<Host>, socket: UdpSocket, fetcher: Fetcher) -> Self {
        Self {
            selector: aggregation::Selector::new(host.settings.aggregation.clone()),
            receivers: Receivers {
                aggregator: host.settings.address,
                zone: Vec::new(),
                relays: SmallVec::new(),
            },
            link: Link::new(Rc::clone(&host), socket),
            host,
            fetcher,
            incarnation: rand::random(),
            sequence: 0,
            aggregate: Aggregate::default(),
            usage: Ledger::default(),
            reported_in_use: Vec::new(),
            due: None,
            last_periodic: None,
            last_zone_digest: None,
            last_relay_digest: None,
            last_list: None,
            list_count: 0,
            last_check: None,
            last_received: None,
            is_cut_off: false,
            assembly: Assembly::default(),
            lacking_configuration: None,
            lacking_list: None,
            sent_versions: (0, 0),
        }
    }

    /// Runs until the process ends.
    pub(crate) async fn run(mut self) {
        let mut buffer = vec![0; 64 << 10];
        loop {
            let host = Rc::clone(&self.host);
            let wait = self.next_due().saturating_duration_since(host.now());
            tokio::select! {
                received = self.link.socket().recv_from(&mut buffer) => {
                    self.receive_burst(&mut buffer, received);
                }
                () = host.outbox_changed.notified() => self.schedule_send(),
                () = tokio::time::sleep(wait) => {}
            }
            self.run_due();
        }
    }

    fn receive_burst(&mut self, buffer: &mut [u8], first: std::io::Result<(usize, SocketAddr)>) {
        let mut received = first;
        for _ in 0..MAX_BURST {
            match received {
                Ok((length, from)) => self.receive(&buffer[..length], from),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    // An earlier datagram was sent to a closed port. The host
                    // there will time out in the membership.
                    log::debug!(event = "datagram_refused", error = error.to_string(); "datagram refused: port closed at a peer");
                    return;
                }
            }
            received = self.link.socket().try_recv_from(buffer);
        }
    }

    /// Returns when the next timer expires.
    fn next_due(&self) -> Instant {
        let check = self
            .last_check
            .map_or(self.host.now(), |(at, _)| at + CHECK_INTERVAL);
        self.due.map_or(check, |due| due.min(check))
    }

    /// Sets the timer for sending the updates in the outbox.
    fn schedule_send(&mut self) {
        let now = self.host.now();
        let wait = if self.host.outbox.borrow().urgent {
            Duration::ZERO
        } else if self.host.is_aggregating.get() {
            self.zone_digest_interval()
        } else {
            REPORT_DELAY
        };
        let due = now + wait;
        self.due = Some(self.due.map_or(due, |before| before.min(due)));
    }

    /// Does the work whose timer has expired.
    fn run_due(&mut self) {
        let now = self.host.now();
        let is_check_due = self
            .last_check
            .is_none_or(|(at, _)| now.saturating_duration_since(at) >= CHECK_INTERVAL);
        if is_check_due {
            self.check(now);
        } else if self.host.limiter.borrow().is_coverage_due(now) {
            self.update_coverage(now, self.receivers.aggregator);
        }
        let is_send_due = self.due.is_some_and(|due| now >= due);
        if !is_send_due && !is_check_due {
            return;
        }
        if is_send_due {
            self.due = None;
        }
        self.report(now);
        self.send_digests(now);
    }

    /// Checks which hosts are alive, which one aggregates, and whether the
    /// process was suspended.
    fn check(&mut self, now: Instant) {
        self.detect_pause(now);
        let expired = self.host.members.borrow_mut().expire(now);
        let mut evidence = self.host.evidence.borrow_mut();
        for reporter in &expired.reporters {
            evidence.replace_remote(now, reporter, &[]);
            self.aggregate.replace_counts(reporter, &[]);
        }
        evidence.replace_remote(now, &expired.digests, &[]);
        drop(evidence);
        self.host.publish_withdrawn(now);
        self.host.publish_occupancies();
        self.host.check_memory();
        self.choose_aggregator(now);
        self.update_coverage(now, self.receivers.aggregator);
        self.detect_cut_off(now);
        let members = self.host.members.borrow();
        self.receivers.zone = members.neighbours(now).collect();
        self.receivers.relays = members.relays(now);
        self.host.shared.publish_hosts(&members);
        let replica = self.host.replica.borrow();
        let metrics = &self.host.metrics;
        metrics.list_version.set(replica.list_version());
        let age = replica
            .upstreams_age(now)
            .unwrap_or(now - self.host.started);
        metrics.list_age_ms.set(age.as_millis() as u64);
        self.host.shared.publish_catalog(&replica, now);
    }

    /// Discards the proofs that the copy of the catalog is current if the process
    /// or its machine was suspended since the last check.
    fn detect_pause(&mut self, now: Instant) {
        let uptime = self.host.clock.uptime();
        if let Some((last, last_uptime)) = self.last_check.replace((now, uptime)) {
            let gap = now
                .saturating_duration_since(last)
                .max(uptime.saturating_sub(last_uptime));
            if gap >= PAUSE_THRESHOLD {
                log::warn!(event = "paused", gap_ms = gap.as_millis() as u64; "process was suspended; its copy of the catalog may be outdated");
                self.host.replica.borrow_mut().discard_proofs();
            }
        }
    }

    /// Logs when no datagram arrives from hosts that were heard before.
    fn detect_cut_off(&mut self, now: Instant) {
        let Some(last) = self.last_received else {
            return;
        };
        let silence = now.saturating_duration_since(last);
        if !self.is_cut_off && silence >= CUT_OFF_THRESHOLD {
            self.is_cut_off = true;
            let metrics = &self.host.metrics;
            log::warn!(event = "peers_lost", silence_ms = silence.as_millis() as u64, bytes_sent = metrics.datagram_bytes_sent.get(), bytes_received = metrics.datagram_bytes_received.get(); "no other daemon is heard");
        }
    }

    /// Counts a datagram that has arrived, and logs if it ends a silence.
    fn record_datagram(&mut self, now: Instant, length: usize, from: SocketAddr) {
        let metrics = &self.host.metrics;
        metrics.datagrams_received.increment();
        metrics.datagram_bytes_received.add(length as u64);
        if let IpAddr::V4(address) = from.ip()
            && self.host.members.borrow().is_in_other_zone(address)
        {
            metrics.zone_bytes.evidence_received.add(length as u64);
        }
        let last = self.last_received.replace(now);
        if self.is_cut_off {
            self.is_cut_off = false;
            let silence = last.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
            log::info!(event = "peers_regained", from = from.to_string(), silence_ms = silence.as_millis() as u64; "another daemon is heard again");
        }
    }

    /// Chooses the host that this one reports to, and decides whether this host
    /// sends digests.
    fn choose_aggregator(&mut self, now: Instant) {
        let own = self.host.settings.address;
        let members = self.host.members.borrow();
        let previous = self.receivers.aggregator;
        let aggregator = self.selector.choose(now, own, members.aggregators(now));
        self.receivers.aggregator = aggregator;
        let is_aggregating = aggregator == own || members.has_reporters(now);
        drop(members);
        if aggregator != previous {
            log::info!(event = "aggregator", host = aggregator.to_string(); "aggregator of this host's reports changed");
            self.change_aggregator(previous);
        }
        if self.host.is_aggregating.get() && !is_aggregating {
            self.aggregate.discard();
        }
        self.host.is_aggregating.set(is_aggregating);
    }

    /// Withdraws this host's own requests in flight from its own aggregate, if
    /// they were counted there, and has them reported anew.
    fn change_aggregator(&mut self, previous: Ipv4Addr) {
        let own = self.host.settings.address;
        let in_use = std::mem::take(&mut self.reported_in_use);
        if previous == own {
            self.aggregate.replace_counts(&in_use, &[]);
        }
        self.host.evidence.borrow_mut().set_echoed(&[]);
        self.usage.restart();
        self.last_periodic = None;
    }

    /// Reports this host's own outcomes and requests in flight: adds them to its
    /// own aggregate if it is its own aggregator, else sends them to the
    /// aggregator.
    fn report(&mut self, now: Instant) {
        let outbox = self.host.outbox.take();
        self.send_changes(now, &outbox);
        let in_use = self.host.evidence.borrow().in_use();
        if self.receivers.aggregator == self.host.settings.address {
            for observation in &outbox.outcomes {
                self.aggregate.add_outcome(observation);
            }
            self.aggregate
                .replace_counts(&self.reported_in_use, &in_use);
            self.reported_in_use = in_use;
            self.aggregate_usage();
            return;
        }
        let is_periodic = has_elapsed(now, self.last_periodic, PERIODIC_INTERVAL);
        let is_changed = in_use != self.reported_in_use;
        let freshness = self.host.replica.borrow().freshness(now);
        let versions = (freshness.configuration, freshness.upstreams);
        let has_usage = self.queue_usage();
        let has_updates = !outbox.outcomes.is_empty() || is_changed || has_usage;
        if !is_periodic && !has_updates && versions == self.sent_versions {
            return;
        }
        self.sent_versions = versions;
        let mut report = self.new_report(now, Scope::Host);
        report.in_use = (is_periodic || is_changed).then(|| in_use.clone());
        report.outcomes = outbox.outcomes;
        if is_periodic {
            self.last_periodic = Some(now);
            report.hello = Some(self.host.members.borrow().own_hello().clone());
        }
        if is_changed || is_periodic {
            self.host.evidence.borrow_mut().set_echoed(&in_use);
            self.reported_in_use = in_use;
        }
        for report in self.attach_own_usage(now, report) {
            let receivers = self.receivers.of(Scope::Host);
            self.link.send(now, Priority::Vital, &report, receivers);
        }
    }

    /// Creates the next report, with only its origin and the freshness of this
    /// host's copy.
    fn new_report(&mut self, now: Instant, scope: Scope) -> Report {
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

    fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        let mut report = match Report::decode(bytes) {
            Ok(report) => report,
            Err(error) => {
                log::warn!(event = "report_unreadable", from = from.to_string(), error = error.to_string(); "failed to decode a datagram");
                return;
            }
        };
        let now = self.host.now();
        self.record_datagram(now, bytes.len(), from);
        if !self.record(now, &report) {
            return;
        }
        self.record_usage(now, &report);
        if report.scope == Scope::Relay && report.delta.is_none() {
            self.forward(now, &mut report);
        }
        self.update_replica(now, report);
    }

    /// Takes a report's evidence into account. Returns `false` if the report
    /// must be dropped; see [`Members::record`].
    ///
    /// [`Members::record`]: crate::peer::members::Members::record
    fn record(&mut self, now: Instant, report: &Report) -> bool {
        let mut members = self.host.members.borrow_mut();
        let Some((member, is_newest)) = members.record(now, report) else {
            return false;
        };
        let mut evidence = self.host.evidence.borrow_mut();
        let is_host_report = report.scope == Scope::Host;
        // Reports may arrive out of order; older counts must not replace newer.
        if let Some(in_use) = &report.in_use
            && is_newest
        {
            if is_host_report {
                evidence.replace_remote(now, &member.in_use, in_use);
                self.aggregate.replace_counts(&member.in_use, in_use);
                member.in_use.clone_from(in_use);
            } else {
                for (upstream, count) in in_use {
                    let previous = match *count {
                        0 => member.digest_in_use.remove(upstream),
                        count => member.digest_in_use.insert(*upstream, count),
                    };
                    let previous = previous.unwrap_or(0);
                    evidence.replace_remote(now, &[(*upstream, previous)], &[(*upstream, *count)]);
                }
            }
        }
        for observation in &report.outcomes {
            let transition = evidence.observe(now, observation);
            self.host
                .log_transition(now, transition, observation, &member.name);
            if is_host_report {
                self.aggregate.add_outcome(observation);
            }
        }
        drop(evidence);
        drop(members);
        if is_host_report {
            self.host.is_aggregating.set(true);
            let is_urgent = report
                .outcomes
                .iter()
                .any(|observation| observation.outcome.is_urgent());
            let wait = if is_urgent {
                Duration::ZERO
            } else {
                self.zone_digest_interval()
            };
            let due = now + wait;
            self.due = Some(self.due.map_or(due, |before| before.min(due)));
        } else if self.host.members.borrow().is_in_zone(report.origin()) {
            let own = self.host.settings.address.to_bits();
            let lists_this_host = report.listed.as_ref().map(|listed| listed.contains(&own));
            self.selector
                .record_digest(now, report.origin(), lists_this_host);
        }
        true
    }
}

/// Returns whether at least `interval` has passed since `at`; `true` without
/// `at`.
fn has_elapsed(now: Instant, at: Option<Instant>, interval: Duration) -> bool {
    at.is_none_or(|at| now.saturating_duration_since(at) >= interval)
}
