//! The digests of an aggregator and its lists of live hosts, and the forwarding of those
//! of other zones.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use dotterelhinge_policy::pacing::Priority;

use super::{Exchange, PERIODIC_INTERVAL, has_elapsed};
use crate::peer::{
    aggregate::Audience,
    report::{MAX_INTRODUCTIONS, Report, Scope},
};

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
/// silence as a failure; see
/// [`aggregation::Settings::silence_timeout`](dotterelhinge_policy::aggregation::Settings::silence_timeout).
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// One of this many lists of live hosts comes with the identities of all of
/// them. The others introduce only hosts that are new or leaving.
const LISTS_PER_FULL_INTRODUCTION: u32 = 4;

/// Maximum neighbours per unit of the aggregator's strength (a thousandth of a
/// processor core); with more, it sends digests less often.
const MAX_NEIGHBOURS_PER_STRENGTH: f64 = 0.1;

impl Exchange {
    /// Returns the factor, at least 1, by which the intervals between digests
    /// are prolonged because this host is weak for its number of neighbours.
    fn slowdown(&self) -> f64 {
        let strength = f64::from(self.host.settings.strength.max(1));
        (self.receivers.zone.len() as f64 / strength / MAX_NEIGHBOURS_PER_STRENGTH).max(1.0)
    }

    /// Returns the time between digests of updates to this zone.
    pub(super) fn zone_digest_interval(&self) -> Duration {
        ZONE_DIGEST_INTERVAL.mul_f64(self.slowdown())
    }

    /// Returns the time between digests of updates to the other zones.
    fn relay_digest_interval(&self) -> Duration {
        let relays = self.receivers.relays.len().max(MIN_RELAYS);
        RELAY_DIGEST_INTERVAL_PER_ZONE.mul_f64(relays as f64 * self.slowdown())
    }

    pub(super) fn send_digests(&mut self, now: Instant) {
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
            // Counts of usage go along: hosts that hear this one rely on them.
            let report = self.new_report(now, scope);
            for report in self.attach_digest_usage(now, vec![report], audience) {
                let receivers = self.receivers.of(scope);
                self.link.send(now, Priority::Vital, &report, receivers);
            }
            return;
        }
        let mut reports = Vec::new();
        for part in self.aggregate.take(audience, upstreams) {
            let mut report = self.new_report(now, scope);
            report.outcomes = part.outcomes;
            report.in_use = Some(part.in_use);
            reports.push(report);
        }
        for report in self.attach_digest_usage(now, reports, audience) {
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

    /// Forwards a report from another zone to the hosts of this one.
    pub(super) fn forward(&mut self, now: Instant, report: &mut Report) {
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
}
