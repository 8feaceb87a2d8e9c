//! Results of direct and indirect probes.

use std::{sync::Arc, time::Instant};

use rand::seq::IndexedRandom;

use super::{
    Action, Body, Id, Membership, Message, Reachability, State,
    detector::{Pending, Probe},
    roster,
};

impl Membership {
    pub(super) fn response(
        &mut self,
        now: Instant,
        id: Id,
        message: &Message,
        actions: &mut Vec<Action>,
    ) {
        self.merge(now, message, actions);
        match self.pending.remove(&id) {
            Some(Pending::Ping { host }) => self.ping_answered(now, &host, message),
            Some(Pending::RelayedPing {
                host,
                request,
                requester,
            }) => {
                let reach = if message.from.host == host {
                    Reachability::Reached
                } else {
                    Reachability::Unreached
                };
                let message = self.message(&requester, Body::Relayed(reach));
                actions.push(Action::Respond {
                    id: request,
                    message,
                });
            }
            Some(Pending::Relay { probe }) => match message.body {
                Body::Relayed(Reachability::Reached) => {
                    self.probes.remove(&probe);
                }
                Body::Relayed(Reachability::Unreached) => self.relay_ended(now, probe, true),
                _ => self.relay_ended(now, probe, false),
            },
            Some(Pending::Other) | None => {}
        }
        if let Body::Differing { part_count, parts } = &message.body {
            let missing =
                self.roster
                    .missing(parts, usize::from((*part_count).max(1)), &message.updates);
            if !missing.is_empty() {
                let mut push = self.message(&message.from.host, Body::Push);
                push.updates.extend(missing);
                let timeout = self.settings.exchange_timeout;
                self.send(message.from.address, push, timeout, Pending::Other, actions);
            }
        }
    }

    /// Processes the answer to a ping of `host`.
    fn ping_answered(&mut self, now: Instant, host: &Arc<str>, message: &Message) {
        let state = self.roster.get(host).map(|member| member.state);
        if message.from.host != *host {
            // Another host has replaced it at this address.
            if state.is_some_and(|state| state != State::Dead) {
                self.roster.mark(now, host, State::Dead, true);
            }
        } else if state == Some(State::Leaving) {
            self.roster.suspects.remove(host);
        }
    }

    pub(super) fn failed(&mut self, now: Instant, id: Id, actions: &mut Vec<Action>) {
        match self.pending.remove(&id) {
            Some(Pending::Ping { host }) => self.ping_failed(now, id, host, actions),
            Some(Pending::RelayedPing {
                request, requester, ..
            }) => {
                let message = self.message(&requester, Body::Relayed(Reachability::Unreached));
                actions.push(Action::Respond {
                    id: request,
                    message,
                });
            }
            Some(Pending::Relay { probe }) => self.relay_ended(now, probe, false),
            Some(Pending::Other) | None => {}
        }
    }

    fn ping_failed(&mut self, now: Instant, id: Id, host: Arc<str>, actions: &mut Vec<Action>) {
        let Some(member) = self.roster.get(&host).cloned() else {
            return;
        };
        if member.state == State::Dead || self.roster.suspects.contains_key(&host) {
            return;
        }
        let others = self.roster.others(|state| state != State::Dead);
        let others: Vec<_> = others.into_iter().filter(|m| m.host != host).collect();
        let relays: Vec<_> = others
            .sample(&mut self.rng, self.settings.relays)
            .map(|member| (Arc::clone(&member.host), member.address))
            .collect();
        let probe = Probe {
            host,
            incarnation: member.incarnation,
            outstanding: relays.len().max(1),
            is_confirmed: false,
        };
        self.probes.insert(id, probe);
        if relays.is_empty() {
            self.relay_ended(now, id, false);
        }
        for (relay, address) in relays {
            let body = Body::Relay {
                host: Arc::clone(&member.host),
                address: member.address,
            };
            let message = self.message(&relay, body);
            let timeout = self.settings.relay_timeout;
            let pending = Pending::Relay { probe: id };
            self.send(address, message, timeout, pending, actions);
        }
    }

    /// Records that a relay did not reach the member. `is_confirmed` says that
    /// the relay itself answered. After the last relay the member is suspected.
    fn relay_ended(&mut self, now: Instant, id: Id, is_confirmed: bool) {
        let Some(probe) = self.probes.get_mut(&id) else {
            return;
        };
        probe.is_confirmed |= is_confirmed;
        probe.outstanding -= 1;
        if probe.outstanding > 0 {
            return;
        }
        let Some(probe) = self.probes.remove(&id) else {
            return;
        };
        let state = match self.roster.get(&probe.host) {
            Some(member) if member.incarnation == probe.incarnation => member.state,
            _ => return,
        };
        match state {
            State::Alive => {
                let is_confirmed = probe.is_confirmed;
                self.roster
                    .mark(now, &probe.host, State::Suspect, is_confirmed);
                if let Some(suspicion) = self.roster.suspects.get_mut(&probe.host) {
                    suspicion.is_local = true;
                    suspicion.deadline = now + self.settings.suspicion_timeout;
                }
            }
            // A suspected member that is leaving stays in that state, so that
            // it is not assigned roles again.
            State::Leaving => {
                let suspicion = roster::Suspicion {
                    deadline: now + self.settings.suspicion_timeout,
                    is_local: true,
                };
                self.roster.suspects.insert(probe.host, suspicion);
            }
            State::Suspect | State::Dead => {}
        }
    }
}
