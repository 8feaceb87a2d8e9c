//! How changes of the list of backend servers are sent, applied, passed on and, if they
//! did not arrive, fetched.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use dotterelhinge_policy::pacing::Priority;
use smallvec::SmallVec;

use super::{Exchange, lacking::Lacking};
use crate::{
    host::Outbox,
    peer::{
        fragment::{self, Part},
        report::{Report, Scope},
    },
    replica::{Delta, Freshness},
};

/// Time for which a newer copy that is known only from another zone is left to
/// the aggregator to fetch.
const REMOTE_FETCH_DELAY: Duration = Duration::from_millis(400);

/// Time for which changes of the list that another host already has may still
/// arrive by themselves, after which they are fetched. An aggregator sends them
/// at once, in several datagrams.
const LIST_FETCH_DELAY: Duration = Duration::from_millis(100);

impl Exchange {
    /// Sends the changes of the list of backend servers that this host has read from
    /// the store to all hosts, and those that it has fetched to the hosts that get its
    /// digests. The other zones have their own way to these.
    pub(super) fn send_changes(&mut self, now: Instant, outbox: &Outbox) {
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

    /// Applies the changes of a report to the copy of the catalog, and has what
    /// this host lacks fetched from the origin.
    pub(super) fn update_replica(&mut self, now: Instant, mut report: Report) {
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
}
