//! Selects the aggregator of an availability zone: the host to which the others
//! send their reports.
//!
//! If every host reported to every other one, each would spend CPU time in
//! proportion to the requests of the whole fleet. Within a zone, reports go to
//! one aggregator instead, which sends digests. It is not elected: all hosts
//! rank the same members, and each host reports to the first one whose digests
//! it receives. When an aggregator fails, its digests stop and each host moves
//! to the next one on its own. For a short time a zone may have two
//! aggregators, each for the hosts that report to it.

use std::{
    collections::HashMap,
    hash::Hash,
    time::{Duration, Instant},
};

/// Time limits of the selection.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time without a digest of an aggregator after which hosts move to the next
    /// candidate.
    pub silence_timeout: Duration,
    /// Time within which an aggregator must list a new reporter in its digests.
    pub listing_timeout: Duration,
    /// Time for which a candidate is skipped that does not receive the reports of
    /// this host.
    pub skip_duration: Duration,
    /// Time after which a candidate that sent no digest is tried again.
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

/// State of one host that may aggregate.
#[derive(Clone, Copy, Debug, Default)]
struct Candidate {
    /// When its last digest arrived.
    last_digest: Option<Instant>,
    /// Since when it is expected to send digests.
    expected_since: Option<Instant>,
    /// Until when it is skipped because it does not receive this host's reports.
    skipped_until: Option<Instant>,
}

/// Selects the aggregator to report to.
#[derive(Debug)]
pub struct Selector<K> {
    settings: Settings,
    candidates: HashMap<K, Candidate>,
    /// The current aggregator, and since when.
    chosen: Option<(K, Instant)>,
}

impl<K: Copy + Eq + Hash> Selector<K> {
    /// Creates a selector that has received no digest.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            candidates: HashMap::new(),
            chosen: None,
        }
    }

    /// Records a digest of `from`. `lists_own` is whether it lists this host
    /// among its reporters, or `None` if the digest has no list.
    pub fn record_digest(&mut self, now: Instant, from: K, lists_own: Option<bool>) {
        let candidate = self.candidates.entry(from).or_default();
        candidate.last_digest = Some(now);
        candidate.expected_since = None;
        let waited = self.chosen.is_some_and(|(chosen, since)| {
            chosen == from && now.saturating_duration_since(since) >= self.settings.listing_timeout
        });
        if lists_own == Some(false) && waited {
            candidate.skipped_until = Some(now + self.settings.skip_duration);
        }
    }

    /// Whether a digest of `from` arrived within [`Settings::silence_timeout`].
    pub fn has_recent_digest(&self, now: Instant, from: K) -> bool {
        self.candidates
            .get(&from)
            .and_then(|candidate| candidate.last_digest)
            .is_some_and(|arrived| {
                now.saturating_duration_since(arrived) < self.settings.silence_timeout
            })
    }

    /// Returns the host to report to. `ranked` are the live hosts of the zone,
    /// best first, including this host, `own`. Returns `own` if no better host is
    /// usable, which makes this host an aggregator.
    pub fn choose(&mut self, now: Instant, own: K, ranked: impl Iterator<Item = K>) -> K {
        let mut ranked = ranked.take_while(|&host| host != own);
        let chosen = ranked
            .find(|&host| self.is_usable(now, host))
            .unwrap_or(own);
        if self.chosen.is_none_or(|(before, _)| before != chosen) {
            self.chosen = Some((chosen, now));
        }
        chosen
    }

    /// Whether `host` is usable as aggregator. A candidate without recent digests
    /// is expected to send one within the silence timeout before it is passed
    /// over, and is tried again after the retry interval.
    fn is_usable(&mut self, now: Instant, host: K) -> bool {
        let has_recent_digest = self.has_recent_digest(now, host);
        let settings = &self.settings;
        let candidate = self.candidates.entry(host).or_default();
        if candidate.skipped_until.is_some_and(|until| now < until) {
            return false;
        }
        if has_recent_digest {
            return true;
        }
        let since = *candidate.expected_since.get_or_insert(now);
        let waited = now.saturating_duration_since(since);
        if waited >= settings.retry_interval {
            candidate.expected_since = Some(now);
            return true;
        }
        waited < settings.silence_timeout
    }
}
