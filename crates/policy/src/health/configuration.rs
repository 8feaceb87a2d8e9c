//! Adoption of another coordinator's view, and changes of the configuration.

use std::{sync::Arc, time::Instant};

use crate::{contract, detection, detection::latency};

use super::{
    Change, Health, View, costs,
    state::{Stage, Upstream},
};

impl Health {
    /// Adopts the ejections of `view` as new ejections, as far as the floor
    /// allows. The view may come from another configuration and so violate the
    /// floor.
    pub(super) fn adopt_ejections(&mut self, view: &View, now: Instant) {
        for upstream in 0..self.upstreams.len() {
            let name = &self.service.upstreams[upstream].name;
            let listed: Vec<usize> = (0..self.classes.len())
                .filter(|&class| {
                    let entry = (Arc::clone(name), Arc::clone(&self.classes[class].name));
                    view.ejected.contains(&entry)
                })
                .collect();
            let state = &mut self.upstreams[upstream];
            if listed.is_empty() || state.leaving {
                continue;
            }
            let all_listed = listed.len() == self.classes.len();
            if self.healthy_count() <= self.service.floor {
                return;
            }
            let state = &mut self.upstreams[upstream];
            if all_listed {
                state.overall.eject(&self.settings, now, None);
            } else {
                for class in listed {
                    state.classes[class].eject(&self.settings, now, None);
                }
            }
        }
    }

    /// Adopts the view of an earlier coordinator that arrives after the start of
    /// the term. It is ignored after `term_grace`, when own evidence counts.
    pub fn adopt(&mut self, now: Instant, view: &View) -> Vec<Change> {
        if now.duration_since(self.started) >= self.settings.term_grace {
            return Vec::new();
        }
        self.adopt_ejections(view, now);
        let leaving: Vec<usize> = (0..self.upstreams.len())
            .filter(|&index| view.leaving.contains(&self.service.upstreams[index].name))
            .collect();
        leaving
            .into_iter()
            .flat_map(|index| self.mark_leaving(index))
            .collect()
    }

    /// Applies a changed configuration within the term. Evidence and states are
    /// retained for upstreams and classes of the same name. A new upstream starts
    /// in a ramp, unless all upstreams are new.
    pub fn configure(
        &mut self,
        now: Instant,
        service: Arc<contract::Service>,
        classes: Arc<[contract::Class]>,
    ) -> Vec<Change> {
        let upstream_origin: Vec<Option<usize>> = service
            .upstreams
            .iter()
            .map(|new| {
                let mut old = self.service.upstreams.iter();
                old.position(|upstream| upstream.name == new.name)
            })
            .collect();
        let class_origin: Vec<Option<usize>> = classes
            .iter()
            .map(|new| self.classes.iter().position(|old| old.name == new.name))
            .collect();
        let start = if upstream_origin.iter().all(Option::is_none) {
            Stage::Healthy
        } else {
            Stage::Ramp { since: now }
        };
        let mut changes = Vec::new();
        let mut upstreams = Vec::with_capacity(service.upstreams.len());
        for (index, upstream) in service.upstreams.iter().enumerate() {
            let mut state = Upstream::new(upstream.leaving, start, classes.len());
            if let Some(origin) = upstream_origin[index] {
                let old = &self.upstreams[origin];
                // A departure that the configuration announced ends with the
                // edit that removes it; one announced otherwise is retained.
                let cleared = self.service.upstreams[origin].leaving && !upstream.leaving;
                state.leaving = upstream.leaving || (old.leaving && !cleared);
                state.overall = old.overall;
                if cleared && state.overall.stage.is_healthy() {
                    state.overall.stage = Stage::Ramp { since: now };
                }
                for (lifecycle, origin) in state.classes.iter_mut().zip(&class_origin) {
                    if let Some(origin) = *origin {
                        *lifecycle = old.classes[origin];
                    }
                }
                if state.leaving && !old.leaving {
                    changes.push(Change::Leaving { upstream: index });
                }
            }
            upstreams.push(state);
        }
        let detection = &self.settings.detection;
        let carry = |class: usize| match class_origin[class] {
            Some(origin) => {
                self.channels[origin].remapped(costs(&classes[class]), &upstream_origin)
            }
            None => {
                let (shares, costs) = (detection.class, costs(&classes[class]));
                detection::Channel::new(detection, shares, costs, service.upstreams.len(), now)
            }
        };
        let channels = (0..classes.len()).map(carry).collect();
        let carry = |(class, origin): (&contract::Class, &Option<usize>)| match *origin {
            Some(origin) => self.latencies[origin].reconfigured(class, now),
            None => latency::Latency::new(class, now),
        };
        let latencies = classes.iter().zip(&class_origin).map(carry).collect();
        let last_outcomes = class_origin
            .iter()
            .map(|origin| origin.and_then(|index| self.last_outcomes[index]))
            .collect();
        let total = super::total_costs(classes.iter());
        self.connect_channel = self.connect_channel.remapped(total, &upstream_origin);
        self.shed_channel = self.shed_channel.remapped(total, &upstream_origin);
        self.channels = channels;
        self.latencies = latencies;
        self.last_outcomes = last_outcomes;
        self.upstreams = upstreams;
        self.service = service;
        self.classes = classes;
        changes
    }
}
