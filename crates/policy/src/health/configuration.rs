//! Start of a term from another coordinator's view, and changes of the text.

use std::{sync::Arc, time::Instant};

use crate::{contract, detection, detection::latency};

use super::{
    Change, Health, View, costs,
    state::{Stage, Upstream},
};

impl Health {
    /// Takes over the ejections of `view` with a fresh hold, as far as the floor
    /// allows. The view may stem from another text, so that it alone does not
    /// keep to the floor.
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
            let whole = listed.len() == self.classes.len();
            if self.healthy_count() <= self.service.floor {
                return;
            }
            let state = &mut self.upstreams[upstream];
            if whole {
                state.whole.eject(&self.settings, now, None);
            } else {
                for class in listed {
                    state.classes[class].eject(&self.settings, now, None);
                }
            }
        }
    }

    /// Takes over the view of an earlier coordinator that was told late. It is
    /// ignored after the start of the term, when own evidence counts.
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

    /// Takes a new text into force within the term. Evidence and states stay
    /// with upstreams and classes of the same name. A new upstream starts cold,
    /// in a ramp, unless all are new.
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
        for (index, terms) in service.upstreams.iter().enumerate() {
            let mut state = Upstream::new(terms.leaving, start, classes.len());
            if let Some(origin) = upstream_origin[index] {
                let old = &self.upstreams[origin];
                // The edit that ends a departure says so; other signals of a
                // departure outlast edits.
                let cleared = self.service.upstreams[origin].leaving && !terms.leaving;
                state.leaving = terms.leaving || (old.leaving && !cleared);
                state.whole = old.whole;
                if cleared && state.whole.stage.is_healthy() {
                    state.whole.stage = Stage::Ramp { since: now };
                }
                for (standing, origin) in state.classes.iter_mut().zip(&class_origin) {
                    if let Some(origin) = *origin {
                        *standing = old.classes[origin];
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
        let seen = class_origin
            .iter()
            .map(|origin| origin.and_then(|index| self.seen[index]))
            .collect();
        let whole = super::total_costs(classes.iter());
        self.connect = self.connect.remapped(whole, &upstream_origin);
        self.shed = self.shed.remapped(whole, &upstream_origin);
        self.channels = channels;
        self.latencies = latencies;
        self.seen = seen;
        self.upstreams = upstreams;
        self.service = service;
        self.classes = classes;
        changes
    }
}
