//! Decides whether a backend server may get a new request, and if not, why.
//!
//! A server gets no request if the list says that it does not accept any, if one
//! of its answers said that it is leaving, or if it asked this host to come back
//! later. It gets one only if no other server can be tried if it has ended or
//! can't be reached. How well a server serves is not decided here but by
//! [`outage`](crate::outage) and [`selection`](crate::selection).
//!
//! Load pattern: a service that is overloaded or being replaced. Its servers
//! turn requests away with the time after which they want the next one, and say
//! that they are leaving seconds before the list does. Requests sent to them
//! meanwhile are lost work for both sides.
//!
//! Servers are known by the key of one start, so that nothing learned about a
//! server applies to its next start. What a server said of itself holds as long
//! as that start may exist, whatever happens to its entry in the list. A server
//! that lies can only keep requests from itself.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Parameters of the decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time for which a host avoids a server after the first failed connection
    /// to it. Doubles with each further failure.
    pub min_backoff: Duration,
    /// Maximum time for which a host avoids a server after a failed connection.
    pub max_backoff: Duration,
    /// Time after which a server that is in no list has ended. A server that
    /// leaves serves for some time after its entry is gone, and an entry that
    /// was lost with the store comes back within seconds.
    pub retention: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            min_backoff: Duration::from_secs(1),
            max_backoff: Duration::from_secs(8),
            retention: Duration::from_secs(600),
        }
    }
}

/// Maximum number of times that the backoff doubles, before
/// [`Settings::max_backoff`] limits it.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Stands for the end of a deferral that is beyond the range of the clock.
const FAR_FUTURE: Duration = Duration::from_secs(100 * 366 * 24 * 60 * 60);

/// Why a server gets no request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// It is in no list and is not retained after a store outage.
    Unlisted,
    /// The list says that it is draining.
    Draining,
    /// One of its answers said that it is leaving.
    Leaving,
    /// It asked this host to send nothing until then.
    Deferred(Instant),
    /// Another server responded at its address.
    Gone,
    /// This host recently failed to connect to it.
    Unreachable,
}

impl Reason {
    /// Returns whether the server may be tried if there is no other.
    pub fn is_last_resort(self) -> bool {
        matches!(self, Self::Gone | Self::Unreachable)
    }
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listing {
    /// It accepts requests, or did when a store outage removed its entry.
    Ready,
    /// It finishes its requests and accepts no new ones.
    Draining,
    /// It has no entry.
    Absent,
}

/// An event that concerns one server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// An answer to this or another host said that it is leaving.
    Leaving,
    /// It turned a request of this host away and wants no other for so long.
    Deferred(Duration),
    /// Another server responded at its address.
    Gone,
    /// This host failed to connect to it.
    ConnectFailed,
    /// This host connected to it, or another host got an answer from it.
    Reached,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Instant,
    failures: u32,
}

/// What is known about one start of a server.
#[derive(Clone, Copy, Debug)]
struct Server {
    is_leaving: bool,
    is_gone: bool,
    deferred_until: Option<Instant>,
    backoff: Option<Backoff>,
    /// Since when it has been in no list; `None` while it is in the list.
    unlisted_since: Option<Instant>,
}

impl Server {
    fn new(now: Instant) -> Self {
        Self {
            is_leaving: false,
            is_gone: false,
            deferred_until: None,
            backoff: None,
            unlisted_since: Some(now),
        }
    }

    /// Returns whether there is nothing to remember.
    fn is_blank(&self, now: Instant) -> bool {
        let is_deferred = self.deferred_until.is_some_and(|until| now < until);
        !self.is_leaving && !self.is_gone && !is_deferred && self.backoff.is_none()
    }
}

/// What is known about the servers that differ from one that may get requests.
#[derive(Debug, Default)]
pub struct Registry {
    settings: Settings,
    servers: HashMap<u64, Server>,
}

/// Counts of a service's servers by whether they may get a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Servers that may.
    pub available: usize,
    /// Servers that are leaving.
    pub leaving: usize,
    /// Servers that asked for time.
    pub deferred: usize,
    /// When the first of these may get a request again.
    pub earliest: Option<Instant>,
    /// Servers that have ended or can't be reached.
    pub unreachable: usize,
}

impl Tally {
    /// Counts one server, for which [`Registry::check`] returned `checked`.
    pub fn add(&mut self, checked: Result<(), Reason>) {
        match checked {
            Ok(()) => self.available += 1,
            Err(Reason::Unlisted | Reason::Draining) => {}
            Err(Reason::Leaving) => self.leaving += 1,
            Err(Reason::Deferred(until)) => {
                self.deferred += 1;
                self.earliest = Some(self.earliest.map_or(until, |known| known.min(until)));
            }
            Err(Reason::Gone | Reason::Unreachable) => self.unreachable += 1,
        }
    }

    /// Returns when the service may get a request again, if all servers that
    /// remain to it asked for time.
    pub fn resumes_at(&self) -> Option<Instant> {
        self.earliest
            .filter(|_| self.available == 0 && self.unreachable == 0)
    }
}

impl Registry {
    /// Creates a registry that knows nothing about any server.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            servers: HashMap::new(),
        }
    }

    /// Takes an event into account. Returns whether it changes what
    /// [`check`](Self::check) returns for the server.
    pub fn observe(&mut self, now: Instant, server: u64, event: Event) -> bool {
        if event == Event::Reached && !self.servers.contains_key(&server) {
            return false;
        }
        let before = self.check(now, server, Listing::Ready);
        let known = self
            .servers
            .entry(server)
            .or_insert_with(|| Server::new(now));
        match event {
            Event::Leaving => known.is_leaving = true,
            Event::Gone => known.is_gone = true,
            Event::Deferred(time) => {
                let until = now.checked_add(time).unwrap_or(now + FAR_FUTURE);
                // The latest answer may be older than one that asked for more.
                known.deferred_until = known.deferred_until.max(Some(until));
            }
            Event::ConnectFailed => {
                let failures = known.backoff.map_or(0, |backoff| backoff.failures);
                let doublings = failures.min(MAX_BACKOFF_DOUBLINGS);
                let delay = self.settings.min_backoff * 2u32.pow(doublings);
                known.backoff = Some(Backoff {
                    until: now + delay.min(self.settings.max_backoff),
                    failures: failures.saturating_add(1),
                });
            }
            Event::Reached => known.backoff = None,
        }
        self.check(now, server, Listing::Ready) != before
    }

    /// Returns why the server may not get a request now, if it may not.
    pub fn check(&self, now: Instant, server: u64, listing: Listing) -> Result<(), Reason> {
        match listing {
            Listing::Ready => {}
            Listing::Draining => return Err(Reason::Draining),
            Listing::Absent => return Err(Reason::Unlisted),
        }
        let Some(known) = self.servers.get(&server) else {
            return Ok(());
        };
        if known.is_leaving {
            return Err(Reason::Leaving);
        }
        if let Some(until) = known.deferred_until
            && now < until
        {
            return Err(Reason::Deferred(until));
        }
        if known.is_gone {
            return Err(Reason::Gone);
        }
        match known.backoff {
            Some(backoff) if now < backoff.until => Err(Reason::Unreachable),
            _ => Ok(()),
        }
    }

    /// Takes a list into account, and forgets servers that must have ended.
    pub fn set_listed(&mut self, now: Instant, listed: impl Iterator<Item = u64>) {
        for known in self.servers.values_mut() {
            known.unlisted_since = known.unlisted_since.or(Some(now));
        }
        for server in listed {
            if let Some(known) = self.servers.get_mut(&server) {
                known.unlisted_since = None;
            }
        }
        let retention = self.settings.retention;
        self.servers.retain(|_, known| {
            let has_ended = known
                .unlisted_since
                .is_some_and(|since| now.saturating_duration_since(since) >= retention);
            !has_ended && !known.is_blank(now)
        });
    }

    /// Returns the servers that get no request because of what they said, with
    /// the reason.
    pub fn withdrawn(&self, now: Instant) -> impl Iterator<Item = (u64, Reason)> {
        self.servers.keys().filter_map(move |server| {
            match self.check(now, *server, Listing::Ready) {
                Err(reason @ (Reason::Leaving | Reason::Deferred(_))) => Some((*server, reason)),
                _ => None,
            }
        })
    }
}
