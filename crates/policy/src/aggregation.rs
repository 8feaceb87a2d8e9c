//! Which host of an availability zone aggregates the reports of the others.
//!
//! Reports that every host sends to every other one cost each host time in
//! proportion to the requests of the whole fleet. Within a zone they go to one
//! host instead, which sends digests. That host is not elected: all hosts rank
//! the same members, and each one reports to the first that it hears from. A
//! host that aggregates falls silent when it fails, and the hosts then move to
//! the next one, each for itself; for a moment two hosts may aggregate, each
//! for those that report to it.

use std::{
    collections::HashMap,
    hash::Hash,
    time::{Duration, Instant},
};

/// Terms of the selector.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Silence of a host after which its reporters move to the next one.
    pub silence_timeout: Duration,
    /// Time after which a host that aggregates must list a new reporter.
    pub listing_timeout: Duration,
    /// Time for which a host is passed over that does not hear this one.
    pub skip_duration: Duration,
    /// Time after which a host that did not answer is tried again.
    pub retry_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            silence_timeout: Duration::from_millis(400),
            listing_timeout: Duration::from_millis(1800),
            skip_duration: Duration::from_secs(6),
            retry_interval: Duration::from_secs(10),
        }
    }
}

/// What is known about one host that may aggregate.
#[derive(Clone, Copy, Debug, Default)]
struct Candidate {
    /// When its last digest came.
    heard: Option<Instant>,
    /// Since when it is expected to send digests.
    expected: Option<Instant>,
    /// Until when it is passed over, since it does not hear this host.
    deaf_until: Option<Instant>,
}

/// Selector of one host.
#[derive(Debug)]
pub struct Selector<K> {
    settings: Settings,
    candidates: HashMap<K, Candidate>,
    chosen: Option<(K, Instant)>,
}

impl<K: Copy + Eq + Hash> Selector<K> {
    /// No host heard from yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            candidates: HashMap::new(),
            chosen: None,
        }
    }

    /// Notes a digest of `from`. `lists_own` tells whether it lists this host
    /// among its reporters; `None` if the digest has no list.
    pub fn record_digest(&mut self, now: Instant, from: K, lists_own: Option<bool>) {
        let candidate = self.candidates.entry(from).or_default();
        candidate.heard = Some(now);
        candidate.expected = None;
        let waited = self.chosen.is_some_and(|(chosen, since)| {
            chosen == from && now.saturating_duration_since(since) >= self.settings.listing_timeout
        });
        if lists_own == Some(false) && waited {
            candidate.deaf_until = Some(now + self.settings.skip_duration);
        }
    }

    /// Whether a digest of `from` came within the allowed silence.
    pub fn has_recent_digest(&self, now: Instant, from: K) -> bool {
        self.candidates
            .get(&from)
            .and_then(|candidate| candidate.heard)
            .is_some_and(|heard| {
                now.saturating_duration_since(heard) < self.settings.silence_timeout
            })
    }

    /// The host to report to. `ranked` holds the live hosts of the zone, best
    /// first, with this one, `own`.
    pub fn choose(&mut self, now: Instant, own: K, ranked: impl Iterator<Item = K>) -> K {
        let mut ranked = ranked.take_while(|&host| host != own);
        let chosen = ranked.find(|&host| self.accepts(now, host)).unwrap_or(own);
        if self.chosen.is_none_or(|(before, _)| before != chosen) {
            self.chosen = Some((chosen, now));
        }
        chosen
    }

    fn accepts(&mut self, now: Instant, host: K) -> bool {
        let speaks = self.has_recent_digest(now, host);
        let settings = &self.settings;
        let candidate = self.candidates.entry(host).or_default();
        if candidate.deaf_until.is_some_and(|until| now < until) {
            return false;
        }
        if speaks {
            return true;
        }
        let since = *candidate.expected.get_or_insert(now);
        let waited = now.saturating_duration_since(since);
        if waited >= settings.retry_interval {
            candidate.expected = Some(now);
            return true;
        }
        waited < settings.silence_timeout
    }
}
