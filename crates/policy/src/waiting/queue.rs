//! The requests of a service that wait on one host, and their order.
//!
//! The order changes with time, as requests lose the chance to meet their
//! latency objective, so it is determined when a request is taken: one pass over
//! the queue, which is short on a host that serves ten requests a second.

use std::{collections::HashMap, time::Duration};

use super::{Conditions, Request, Settings};

/// A request that waits.
#[derive(Clone, Debug)]
struct Entry {
    ticket: u64,
    request: Request,
}

impl Entry {
    /// Returns the place of the request in the order.
    fn order(
        &self,
        conditions: &Conditions,
        shares: &HashMap<Key, Share>,
    ) -> impl Ord + Copy + use<> {
        let request = &self.request;
        let is_late = !request.can_meet_objective(conditions.now, conditions.typical);
        let round = shares.get(&key(request)).map_or(0, |share| share.round);
        (request.rank, is_late, round, request.objective)
    }
}

/// Requests of one customer with one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    waiting: usize,
    /// Number of rounds in which the customer was served.
    round: u64,
}

type Key = (usize, Option<u64>);

/// Waiting requests, bounded in number and bytes.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    entries: Vec<Entry>,
    shares: HashMap<Key, Share>,
    bytes: u64,
    last_ticket: u64,
    /// Round of the request of each rank that was taken last.
    rounds: HashMap<usize, u64>,
}

fn key(request: &Request) -> Key {
    (request.rank, request.customer)
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the most urgent rank that waits.
    pub fn first_rank(&self) -> Option<usize> {
        self.entries.iter().map(|entry| entry.request.rank).min()
    }

    /// Returns the number of waiting requests that would be taken before
    /// `request`: all more urgent ones, all of its own customer, and of each
    /// other customer with its rank as many as of its own.
    pub fn ahead(&self, request: &Request) -> usize {
        let own = self.shares.get(&key(request)).map_or(0, |own| own.waiting);
        let others = self.shares.iter().map(|(other, share)| {
            if other.0 > request.rank || *other == key(request) {
                0
            } else if other.0 < request.rank {
                share.waiting
            } else {
                share.waiting.min(own + 1)
            }
        });
        own + others.sum::<usize>()
    }

    /// Returns whether `bytes` more in one request exceed a bound.
    pub fn is_full(&self, settings: &Settings, bytes: u64) -> bool {
        self.entries.len() >= settings.max_requests
            || (!self.is_empty() && self.bytes + bytes > settings.max_bytes)
    }

    /// Adds a request and returns its ticket.
    pub fn push(&mut self, request: Request) -> u64 {
        self.last_ticket += 1;
        // A customer that comes back doesn't make up for rounds without requests.
        let round = self.rounds.get(&request.rank).copied().unwrap_or_default();
        let share = self.shares.entry(key(&request)).or_default();
        if share.waiting == 0 {
            share.round = share.round.max(round);
        }
        share.waiting += 1;
        self.bytes += request.bytes;
        self.entries.push(Entry {
            ticket: self.last_ticket,
            request,
        });
        self.last_ticket
    }

    /// Removes the request with `ticket`, whose caller has left.
    pub fn remove(&mut self, ticket: u64) -> Option<Request> {
        let position = self.entries.iter().position(|it| it.ticket == ticket)?;
        Some(self.remove_at(position).1)
    }

    /// Takes the request that is next: by rank, then those that can meet their
    /// objective, then the customer that was served least, then the earliest
    /// objective.
    pub fn take_next(&mut self, conditions: &Conditions) -> Option<(u64, Request)> {
        let position = self.position_by(|entry, shares| entry.order(conditions, shares))?;
        let (ticket, request) = self.remove_at(position);
        let share = self.shares.entry(key(&request)).or_default();
        share.round += 1;
        let round = share.round;
        if share.waiting == 0 {
            // A customer keeps its round only while it is not behind the others.
            self.shares.retain(|key, share| {
                share.waiting > 0 || key.0 != request.rank || share.round >= round
            });
        }
        let latest = self.rounds.entry(request.rank).or_default();
        *latest = round.saturating_sub(1).max(*latest);
        Some((ticket, request))
    }

    /// Takes the request that has waited longest.
    pub fn take_oldest(&mut self) -> Option<(u64, Request)> {
        let position = self.position_by(|entry, _| entry.request.arrived)?;
        Some(self.remove_at(position))
    }

    /// Takes a request that is less urgent than `rank`, if one waits: of the least
    /// urgent ones the one that came last.
    pub fn take_less_urgent(&mut self, rank: usize) -> Option<(u64, Request)> {
        let position = self.position_by(|entry, _| {
            let last = std::cmp::Reverse(entry.ticket);
            (std::cmp::Reverse(entry.request.rank), last)
        })?;
        (self.entries[position].request.rank > rank).then(|| self.remove_at(position))
    }

    /// Takes a request that can't be answered in time any more.
    pub fn take_expired(&mut self, conditions: &Conditions) -> Option<(u64, Request)> {
        let expired =
            |entry: &Entry| conditions.now > entry.request.latest_start(conditions.typical);
        let position = self.entries.iter().position(expired)?;
        Some(self.remove_at(position))
    }

    /// Takes the requests that won't be sent in time. `wait` returns the time that a
    /// number of requests of a rank takes to be sent.
    pub fn take_hopeless(
        &mut self,
        conditions: &Conditions,
        wait: impl Fn(usize, f64) -> Duration,
    ) -> Vec<(u64, Request)> {
        let mut order: Vec<usize> = (0..self.entries.len()).collect();
        order
            .sort_by_cached_key(|&position| self.entries[position].order(conditions, &self.shares));
        let mut ahead = 0;
        let mut hopeless = Vec::new();
        for position in order {
            let Entry { ticket, request } = &self.entries[position];
            let latest = request.latest_start(conditions.typical);
            let left = latest.saturating_duration_since(conditions.now);
            if wait(request.rank, f64::from(ahead)) > left {
                hopeless.push(*ticket);
            } else {
                ahead += 1;
            }
        }
        let taken = hopeless.into_iter();
        taken
            .filter_map(|ticket| Some((ticket, self.remove(ticket)?)))
            .collect()
    }

    fn position_by<K: Ord>(
        &self,
        order: impl Fn(&Entry, &HashMap<Key, Share>) -> K,
    ) -> Option<usize> {
        let entries = self.entries.iter().enumerate();
        let first = entries.min_by_key(|(_, entry)| order(entry, &self.shares))?;
        Some(first.0)
    }

    fn remove_at(&mut self, position: usize) -> (u64, Request) {
        let Entry { ticket, request } = self.entries.swap_remove(position);
        self.bytes -= request.bytes;
        if let Some(share) = self.shares.get_mut(&key(&request)) {
            share.waiting -= 1;
        }
        if self.entries.is_empty() {
            // What was served before doesn't count in the next overload.
            self.shares.clear();
            self.rounds.clear();
        }
        (ticket, request)
    }
}
