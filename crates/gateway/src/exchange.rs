//! Sends and receives reports between daemons.
//!
//! A host reports to the aggregator of its availability zone. A host that
//! receives reports sends digests of them even if it has chosen another
//! aggregator for itself, so that no report is lost while the hosts of a zone
//! disagree about the aggregator.

mod lacking;
mod link;

use std::{
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    slice,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{aggregation, pacing::Priority};
use smallvec::SmallVec;
use tokio::net::UdpSocket;

use self::{lacking::Lacking, link::Link};
use crate::{
    host::{Host, Outbox},
    peer::{
        aggregate::{Aggregate, Audience},
        fragment::{self, Assembly, Part},
        report::{Count, MAX_INTRODUCTIONS, Report, Scope},
    },
    replica::{Delta, Freshness},
    replication::Fetcher,
};

/// Time for which a host collects outcomes into one report.
const REPORT_DELAY: Duration = Duration::from_millis(4);

/// Minimum time between digests of updates to the aggregator's own zone.
/// [`Exchange::slowdown`] prolongs it.
const ZONE_DIGEST_INTERVAL: Duration = Duration::from_millis(10);

/// As [`ZONE_DIGEST_INTERVAL`], for digests to the other zones, for each of them.
/// Every host gets the digests of all zones, so that their rate must not grow with
/// the number of zones.
const RELAY_DIGEST_INTERVAL_PER_ZONE: Duration = Duration::from_millis(6);

/// Number of other zones up to which the interval between digests to them does not
/// depend on it.
const MIN_RELAYS: usize = 2;

/// Time between digests while there are no updates. Other hosts treat a longer
/// silence as a failure; see [`aggregation::Settings::silence_timeout`].
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Time between periodic reports, and between lists of live hosts.
const PERIODIC_INTERVAL: Duration = Duration::from_millis(500);

/// One of this many lists of live hosts comes with the identities of all of
/// them. The others introduce only hosts that are new or leaving.
const LISTS_PER_FULL_INTRODUCTION: u32 = 4;

/// Time between checks of which hosts are alive.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two checks from which the process counts as having been
/// suspended.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Maximum neighbours per unit of the aggregator's strength (a thousandth of a
/// processor core); with more, it sends digests less often.
const MAX_NEIGHBOURS_PER_STRENGTH: f64 = 0.1;

/// Time for which a newer copy that is known only from another zone is left to
/// the aggregator to fetch.
const REMOTE_FETCH_DELAY: Duration = Duration::from_millis(400);

/// Time for which changes of the list that another host already has may still
/// arrive by themselves, after which they are fetched. An aggregator sends them
/// at once, in several datagrams.
const LIST_FETCH_DELAY: Duration = Duration::from_millis(100);

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

    /// Returns the factor, at least 1, by which the intervals between digests
    /// are prolonged because this host is weak for its number of neighbours.
    fn slowdown(&self) -> f64 {
        let strength = f64::from(self.host.settings.strength.max(1));
        (self.receivers.zone.len() as f64 / strength / MAX_NEIGHBOURS_PER_STRENGTH).max(1.0)
    }

    /// Returns the time between digests of updates to this zone.
    fn zone_digest_interval(&self) -> Duration {
        ZONE_DIGEST_INTERVAL.mul_f64(self.slowdown())
    }

    /// Returns the time between digests of updates to the other zones.
    fn relay_digest_interval(&self) -> Duration {
        let relays = self.receivers.relays.len().max(MIN_RELAYS);
        RELAY_DIGEST_INTERVAL_PER_ZONE.mul_f64(relays as f64 * self.slowdown())
    }

    /// Does the work whose timer has expired.
    fn run_due(&mut self) {
        let now = self.host.now();
        let is_check_due = self
            .last_check
            .is_none_or(|(at, _)| now.saturating_duration_since(at) >= CHECK_INTERVAL);
        if is_check_due {
            self.check(now);
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
        self.host.check_memory();
        self.choose_aggregator(now);
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
            return;
        }
        let is_periodic = has_elapsed(now, self.last_periodic, PERIODIC_INTERVAL);
        let is_changed = in_use != self.reported_in_use;
        let freshness = self.host.replica.borrow().freshness(now);
        let versions = (freshness.configuration, freshness.upstreams);
        let has_updates = !outbox.outcomes.is_empty() || is_changed;
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
        self.link.send(
            now,
            Priority::Vital,
            &report,
            self.receivers.of(Scope::Host),
        );
    }

    /// Sends the changes of the list of backend servers that this host has read from
    /// the store to all hosts, and those that it has fetched to the hosts that get its
    /// digests. The other zones have their own way to these.
    fn send_changes(&mut self, now: Instant, outbox: &Outbox) {
        let since = |version: u64| self.host.replica.borrow().history().since(version);
        let read = outbox.changed_since.and_then(since);
        let learned = [outbox.changed_since, outbox.fetched_since];
        let learned = learned.into_iter().flatten().min().and_then(since);
        if let Some(delta) = &read {
            let is_own = self.receivers.aggregator == self.host.settings.address;
            let scope = if is_own { Scope::Relay } else { Scope::Host };
            self.send_parts(now, scope, delta);
        }
        if let Some(delta) = &learned
            && self.host.is_aggregating.get()
        {
            self.send_parts(now, Scope::Digest, delta);
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

    fn send_digests(&mut self, now: Instant) {
        if !self.host.is_aggregating.get() {
            return;
        }
        let freshness = self.host.replica.borrow().freshness(now);
        let versions = (freshness.configuration, freshness.upstreams);
        let is_changed = std::mem::replace(&mut self.sent_versions, versions) != versions;
        let upstreams = self.host.evidence.borrow().upstreams();
        if has_elapsed(now, self.last_list, PERIODIC_INTERVAL) {
            self.last_list = Some(now);
            self.send_lists(now);
        }
        for audience in [Audience::Zone, Audience::OtherZones] {
            self.send_digest(now, audience, is_changed, &upstreams);
        }
    }

    /// Sends what has not been sent to `audience` if its interval has passed, or at
    /// once if the catalog `is_changed`.
    fn send_digest(
        &mut self,
        now: Instant,
        audience: Audience,
        is_changed: bool,
        upstreams: &[u64],
    ) {
        let (scope, interval, last) = match audience {
            Audience::Zone => (
                Scope::Digest,
                self.zone_digest_interval(),
                &mut self.last_zone_digest,
            ),
            Audience::OtherZones => (
                Scope::Relay,
                self.relay_digest_interval(),
                &mut self.last_relay_digest,
            ),
        };
        let is_pending = self.aggregate.has_pending(audience);
        let is_due = is_changed
            || has_elapsed(now, *last, HEARTBEAT_INTERVAL)
            || (is_pending && has_elapsed(now, *last, interval));
        if !is_due {
            if is_pending {
                let due = last.map_or(now, |at| at + interval);
                self.due = Some(self.due.map_or(due, |before| before.min(due)));
            }
            return;
        }
        *last = Some(now);
        if !self.link.allows(now, Priority::Digest) {
            // What is pending waits; receivers have to see that this host is alive.
            let report = self.new_report(now, scope);
            let receivers = self.receivers.of(scope);
            self.link.send(now, Priority::Vital, &report, receivers);
            return;
        }
        for part in self.aggregate.take(audience, upstreams) {
            let mut report = self.new_report(now, scope);
            report.outcomes = part.outcomes;
            report.in_use = Some(part.in_use);
            let receivers = self.receivers.of(scope);
            self.link.send(now, Priority::Digest, &report, receivers);
        }
    }

    /// Sends the list of live hosts, also to silent hosts of the zone, so that
    /// hosts that do not know each other find each other.
    fn send_lists(&mut self, now: Instant) {
        self.list_count += 1;
        let all = self.list_count % LISTS_PER_FULL_INTRODUCTION == 1;
        let mut members = self.host.members.borrow_mut();
        let mut zone: Vec<Ipv4Addr> = members.neighbours(now).collect();
        zone.extend(members.take_due_probes(now));
        let relays = members.relays(now);
        let hello = members.own_hello().clone();
        let listed = members.reporter_addresses(now);
        let introduced = members.introductions(now, all);
        drop(members);
        for (scope, to) in [(Scope::Digest, &zone[..]), (Scope::Relay, &relays[..])] {
            for chunk in introduced.chunks(MAX_INTRODUCTIONS) {
                let mut report = self.new_report(now, scope);
                report.hello = Some(hello.clone());
                report.introduced = chunk.to_vec();
                self.link.send(now, Priority::Change, &report, to);
            }
            let mut report = self.new_report(now, scope);
            report.hello = Some(hello.clone());
            report.listed = Some(listed.clone());
            self.link.send(now, Priority::Vital, &report, to);
        }
    }

    /// Sends changes of the list of backend servers, in as many reports as they
    /// need.
    fn send_parts(&mut self, now: Instant, scope: Scope, delta: &Delta) {
        let mut reports = SmallVec::<[Report; 8]>::new();
        for part in fragment::split(delta) {
            let mut report = self.new_report(now, scope);
            report.delta = Some(part.delta);
            report.part = part.position;
            reports.push(report);
        }
        let receivers = self.receivers.of(scope);
        self.link
            .send_all(now, Priority::Change, &reports, receivers);
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
        if report.scope == Scope::Relay && report.delta.is_none() {
            self.forward(now, &mut report);
        }
        self.update_replica(now, report);
    }

    /// Forwards a report from another zone to the hosts of this one.
    fn forward(&mut self, now: Instant, report: &mut Report) {
        let priority = if report.listed.is_some() || !report.introduced.is_empty() {
            Priority::Change
        } else {
            Priority::Forwarded
        };
        report.scope = Scope::Digest;
        let receivers = self.receivers.of(Scope::Digest);
        self.link.send(now, priority, report, receivers);
        report.scope = Scope::Relay;
    }

    /// Applies the changes of a report to the copy of the catalog, and has what
    /// this host lacks fetched from the origin.
    fn update_replica(&mut self, now: Instant, mut report: Report) {
        let origin = report.origin();
        let delta = report.delta.take().and_then(|delta| {
            let position = report.part;
            self.assembly.add(origin, Part { delta, position })
        });
        let mut replica = self.host.replica.borrow_mut();
        let known = replica.list_version();
        let is_changed = delta
            .as_ref()
            .is_some_and(|delta| replica.apply_delta(now, delta));
        replica.compare(now, &report.freshness);
        let own = replica.freshness(now);
        drop(replica);
        if let Some(delta) = &delta {
            self.log_delta(now, origin, delta, known, is_changed);
        }
        if is_changed {
            self.host.catalog_changed();
            // More changes may already be under way.
            self.lacking_list = None;
            if let Some(delta) = &delta {
                self.pass_on(now, report.scope, delta);
            }
        }
        self.fetch_lacking(now, origin, &report.freshness, &own);
    }

    /// Passes a change that was news on to the hosts that have it from nobody else.
    /// Each change comes from two readers, and only the first report of it is passed
    /// on.
    fn pass_on(&mut self, now: Instant, scope: Scope, delta: &Delta) {
        match scope {
            Scope::Host => {
                self.send_parts(now, Scope::Digest, delta);
                self.send_parts(now, Scope::Relay, delta);
            }
            Scope::Relay => self.send_parts(now, Scope::Digest, delta),
            Scope::Digest => {}
        }
    }

    /// Has the copy of `origin` fetched if it is newer than this host's, `own`, and
    /// what this host lacks has not come by itself.
    fn fetch_lacking(
        &mut self,
        now: Instant,
        origin: Ipv4Addr,
        reported: &Freshness,
        own: &Freshness,
    ) {
        let (configuration, list) = (&mut self.lacking_configuration, &mut self.lacking_list);
        *configuration = Lacking::update(
            *configuration,
            now,
            own.configuration,
            reported.configuration,
        );
        *list = Lacking::update(*list, now, own.upstreams, reported.upstreams);
        let is_in_zone = self.host.members.borrow().is_in_zone(origin);
        let (configuration_delay, list_delay) = if !is_in_zone && !self.host.is_aggregating.get() {
            (REMOTE_FETCH_DELAY, REMOTE_FETCH_DELAY)
        } else if own.upstreams == 0 {
            (Duration::ZERO, Duration::ZERO)
        } else {
            (Duration::ZERO, LIST_FETCH_DELAY)
        };
        let is_configuration_due = reported.configuration > own.configuration
            && configuration.is_some_and(|lacking| lacking.is_due(now, configuration_delay));
        let is_list_due = reported.upstreams > own.upstreams
            && list.is_some_and(|lacking| lacking.is_due(now, list_delay));
        if is_configuration_due || is_list_due {
            self.fetcher.request(origin);
        }
    }

    /// Logs and counts a change of the list that another host reported when this
    /// host's list had the version `known`.
    fn log_delta(&self, now: Instant, from: Ipv4Addr, delta: &Delta, known: u64, is_applied: bool) {
        let metrics = &self.host.metrics;
        if is_applied {
            metrics.list_deltas.increment();
        } else if delta.version > known {
            metrics.list_deltas_unfit.increment();
        }
        if let Some(left_out) = self.host.log_limits.list.admit(now) {
            let event = if is_applied {
                "delta_applied"
            } else {
                "delta_ignored"
            };
            log::info!(event = event, from = from.to_string(), base = delta.base, version = delta.version, known = known, changes = delta.changes.len(), left_out = left_out; "change of the list of backend servers reported by a daemon");
        }
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
