//! Changes of the configuration.

use std::{collections::HashMap, sync::Arc, time::Instant};

use super::{
    super::{Action, Refusal, pool::Pool},
    Coordinator,
};
use crate::contract;

impl Coordinator {
    /// Applies a changed configuration and returns the resulting actions. Grants in
    /// use and waiting requests are retained, with upstreams and classes matched by
    /// name, except for those whose upstream or class is gone.
    pub fn configure(
        &mut self,
        now: Instant,
        service: Arc<contract::Service>,
        classes: Arc<[contract::Class]>,
        customers: Arc<contract::Customers>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let position = |name: &Arc<str>| classes.iter().position(|class| class.name == *name);
        let class_of: Vec<Option<usize>> = self.classes.iter().map(|c| position(&c.name)).collect();
        let upstreams = &service.upstreams;
        let new_names: HashMap<&str, usize> = (0..upstreams.len())
            .map(|index| (&*upstreams[index].name, index))
            .collect();
        let upstream_of: Vec<Option<usize>> = self
            .service
            .upstreams
            .iter()
            .map(|upstream| new_names.get(&*upstream.name).copied())
            .collect();
        for id in self
            .grants
            .on_upstreams(|upstream| upstream_of[upstream].is_none())
        {
            self.release(now, id);
        }
        let changes = self
            .health
            .configure(now, Arc::clone(&service), Arc::clone(&classes));
        actions.extend(changes.into_iter().map(Action::Log));
        let avoid = self.settings.avoid_threshold;
        let mut pool = Pool::new(&service, classes.len(), avoid);
        for class in self
            .pool
            .active()
            .iter()
            .filter_map(|class| class_of[*class])
        {
            pool.activate(class);
        }
        self.pool = pool;
        for grant in self.grants.values_mut() {
            grant.class = grant.class.and_then(|class| class_of[class]);
            grant.upstream = upstream_of[grant.upstream].unwrap_or_default();
            self.pool.add(grant.upstream, grant.class);
        }
        let waiting: Vec<_> = self
            .queue
            .tickets(|_| true)
            .into_iter()
            .filter_map(|ticket| self.queue.remove(ticket))
            .collect();
        self.service = service;
        self.classes = classes;
        self.accounts.configure(customers);
        self.rebuild_index();
        for mut waiting in waiting {
            let class = class_of[waiting.acquire.class];
            if let Some(class) = class {
                waiting.acquire.class = class;
                let group = self.group(&waiting.acquire);
                waiting.group = group;
                waiting.priority = self.classes[class].priority;
                self.queue.push(waiting);
            } else {
                self.stop_waiting(&waiting.acquire);
                self.refuse(&waiting.acquire, Refusal::NoUpstream, true, &mut actions);
            }
        }
        self.refresh_all(now);
        for customer in self.queue.customers() {
            self.queue
                .set_excess(&customer, self.accounts.excess(&customer));
        }
        self.refuse_impossible(&mut actions);
        self.dispatch(now, &mut actions);
        actions
    }

    /// Rebuilds the index of the upstreams by name and the list of the leaving
    /// ones.
    pub(super) fn rebuild_index(&mut self) {
        let upstreams = &self.service.upstreams;
        self.index_by_name = (0..upstreams.len())
            .map(|index| (Arc::clone(&upstreams[index].name), index))
            .collect();
        let view = self.health.view();
        self.leaving = upstreams
            .iter()
            .map(|upstream| upstream.leaving || view.leaving.contains(&upstream.name))
            .collect();
    }
}
