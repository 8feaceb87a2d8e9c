//! The counts of requests admitted for customers with a limit: how they reach
//! the other hosts, and how theirs are taken in.

use std::{net::Ipv4Addr, time::Instant};

use super::Exchange;
use crate::peer::{
    aggregate::Audience,
    report::Report,
    usage::{Count, MAX_USAGE},
};

impl Exchange {
    /// Adds what this host admitted since the last report to its own aggregate.
    pub(super) fn aggregate_usage(&mut self) {
        for (key, count) in self.host.limiter.borrow_mut().take_admitted() {
            self.aggregate.add_usage(key, count);
        }
    }

    /// Queues what this host admitted since the last report for its aggregator.
    /// Returns whether a report is due because of limits: the aggregator has to hear
    /// of this host every 100 ms even if it admitted nothing.
    pub(super) fn queue_usage(&mut self) -> bool {
        let mut limiter = self.host.limiter.borrow_mut();
        for (key, count) in limiter.take_admitted() {
            self.usage.add(key, count);
        }
        !limiter.is_empty()
    }

    /// Puts the queued counts into `report`, and into as many more as they need.
    pub(super) fn attach_own_usage(&mut self, now: Instant, report: Report) -> Vec<Report> {
        let usage = self.usage.take();
        self.attach_usage(now, vec![report], usage)
    }

    /// Puts `usage` into `reports` as far as they have room, and the rest into more
    /// reports of the same scope.
    fn attach_usage(
        &mut self,
        now: Instant,
        mut reports: Vec<Report>,
        usage: Vec<Count>,
    ) -> Vec<Report> {
        let mut left = &usage[..];
        for report in &mut reports {
            let (here, rest) = left.split_at(report.usage_room().min(left.len()));
            report.usage = here.to_vec();
            left = rest;
        }
        let scope = reports
            .first()
            .map(|report| report.scope)
            .unwrap_or_default();
        for chunk in left.chunks(MAX_USAGE) {
            let mut report = self.new_report(now, scope);
            report.usage = chunk.to_vec();
            reports.push(report);
        }
        reports
    }

    /// As [`Self::attach_usage`], of a digest for `audience`, with the number of hosts
    /// that it covers.
    pub(super) fn attach_digest_usage(
        &mut self,
        now: Instant,
        mut reports: Vec<Report>,
        audience: Audience,
    ) -> Vec<Report> {
        if let Some(first) = reports.first_mut()
            && !self.host.limiter.borrow().is_empty()
        {
            let heard = self.host.members.borrow().heard_reporters(now);
            first.heard = Some(heard.try_into().unwrap_or(u16::MAX));
        }
        let usage = self.aggregate.take_usage(audience);
        self.attach_usage(now, reports, usage)
    }

    /// Deducts what other hosts admitted according to `report`, and adds the counts
    /// of a reporter to this host's aggregate.
    pub(super) fn record_usage(&mut self, now: Instant, report: &Report) {
        let mut members = self.host.members.borrow_mut();
        let Some(member) = members.get_mut(report.origin()) else {
            return;
        };
        let mut limiter = self.host.limiter.borrow_mut();
        self.usage.record(
            now,
            report,
            member,
            self.receivers.aggregator,
            &mut self.aggregate,
            |key, count| limiter.deduct(now, key, count),
        );
    }

    /// Updates which hosts' counts this host gets.
    pub(super) fn update_coverage(&self, now: Instant, aggregator: Ipv4Addr) {
        let coverage = self.host.members.borrow().coverage(now, aggregator);
        let mut rng = self.host.rng.borrow_mut();
        let mut limiter = self.host.limiter.borrow_mut();
        limiter.set_coverage(now, coverage, &mut *rng);
        let metrics = &self.host.metrics;
        metrics
            .rate_limits
            .set_coverage((!limiter.is_empty()).then(|| limiter.coverage()));
    }
}
