//! The daemons of the fleet in the view of this one.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, RwLock},
};

use dotterelhinge_policy::rendezvous;

/// One daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Member {
    /// Host the daemon runs on.
    pub host: Arc<str>,
    /// Address of its peer port.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Region of that availability zone.
    pub region: Arc<str>,
}

/// The daemons that may coordinate services and own key ranges: alive and not
/// leaving.
#[derive(Debug, Default)]
pub(crate) struct List {
    // Sorted by host.
    members: Vec<Member>,
    // Index of the coordinator by service or key range. Ranking 3,800 members
    // for each request would cost about 20 us, so the result is cached until the
    // list changes.
    coordinators: RwLock<HashMap<Arc<str>, usize>>,
}

impl List {
    /// Creates a list of `members`.
    pub(crate) fn new(mut members: Vec<Member>) -> Self {
        members.sort_by(|left, right| left.host.cmp(&right.host));
        Self {
            members,
            coordinators: RwLock::default(),
        }
    }

    /// Returns all members, sorted by host.
    pub(crate) fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the member on `host`.
    pub(crate) fn get(&self, host: &str) -> Option<&Member> {
        let index = self
            .members
            .binary_search_by(|m| (*m.host).cmp(host))
            .ok()?;
        self.members.get(index)
    }

    /// Returns the member that coordinates `service`, or owns the key range with
    /// this row key. The first call for a name ranks all members.
    pub(crate) fn coordinator(&self, service: &Arc<str>) -> Option<&Member> {
        let cached = {
            let coordinators = self.coordinators.read().unwrap_or_else(|p| p.into_inner());
            coordinators.get(service).copied()
        };
        if let Some(index) = cached {
            return self.members.get(index);
        }
        let owner = rendezvous::owner(service, self.members.iter().map(|m| &*m.host))?;
        let index = self.members.iter().position(|m| &*m.host == owner)?;
        self.coordinators
            .write()
            .unwrap_or_else(|p| p.into_inner())
            .insert(Arc::clone(service), index);
        self.members.get(index)
    }
}
