//! This host's copy of the catalog, and how far it can be trusted.
//!
//! Invariants: the version of the configuration never goes back within a
//! process. An upstream that a store outage removed from the list stays usable
//! until it had the time to register again.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    catalog::{Catalog, Configuration, Instance, State, Upstream, Upstreams, Versioned},
    store,
};

/// Silence of the store from which its return counts as the end of an outage.
const OUTAGE: Duration = Duration::from_millis(1500);

/// What a host tells others about its copy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Freshness {
    /// Version of the configuration; 0 without one.
    pub configuration: u64,
    /// Version of the list of upstreams; 0 without one.
    pub upstreams: u64,
    /// Digest of the list of upstreams.
    pub digest: u64,
    /// Store version up to which changes of the list are known.
    pub cursor: u64,
    /// Store version up to which changes of the configuration are known.
    pub configuration_cursor: u64,
    /// LocalProof that the configuration is current.
    pub configuration_proof: Option<Proof>,
    /// LocalProof that the list of upstreams is current.
    pub upstreams_proof: Option<Proof>,
}

/// A proof as one host tells it to another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Proof {
    /// The store's clock at the proof, in milliseconds.
    pub clock: u64,
    /// Age of the proof at the sender, in milliseconds.
    pub age_ms: u32,
}

impl Proof {
    /// The same proof after a further `elapsed`.
    pub fn aged(self, elapsed: Duration) -> Self {
        Self {
            age_ms: self.age_ms.saturating_add(elapsed.as_millis() as u32),
            ..self
        }
    }
}

/// LocalProof that a copy is current.
///
/// The store's clock tells proofs apart. Hosts pass them on to each other, and
/// the time on the way does not count in their ages; a host that took its own
/// proof back from others would make it younger at every turn.
#[derive(Clone, Copy, Debug)]
struct LocalProof {
    clock: u64,
    at: Instant,
}

impl LocalProof {
    fn told(self, now: Instant) -> Proof {
        Proof {
            clock: self.clock,
            age_ms: now.saturating_duration_since(self.at).as_millis() as u32,
        }
    }

    /// Whether a proof from the time `clock` of the store is newer.
    fn is_older_than(known: Option<Self>, clock: u64) -> bool {
        known.is_none_or(|known| clock > known.clock)
    }
}

/// Changes that lead from one version of the list of upstreams to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// Version that the changes apply to.
    pub base: u64,
    /// Version that they lead to.
    pub version: u64,
    /// The changes in order.
    pub changes: Vec<store::Change>,
}

/// An upstream that is missing from the list since a store outage.
#[derive(Clone, Debug)]
struct Lapsed {
    instance: Instance,
    until: Instant,
}

/// The copy of one host.
#[derive(Debug)]
pub struct Replica {
    catalog: Catalog,
    /// Backend servers that take new requests, by service.
    ready: HashMap<Arc<str>, Vec<Instance>>,
    digest: u64,
    cursor: u64,
    configuration_cursor: Option<u64>,
    proven_configuration: Option<LocalProof>,
    proven_upstreams: Option<LocalProof>,
    outage_ended: Option<Instant>,
    reregistration: Duration,
    lapsed: BTreeMap<Arc<str>, Lapsed>,
}

impl Replica {
    /// An empty copy. Upstreams have the time `reregistration` to come back
    /// after an outage.
    pub fn new(reregistration: Duration) -> Self {
        Self {
            catalog: Catalog::default(),
            ready: HashMap::new(),
            digest: 0,
            cursor: 0,
            configuration_cursor: None,
            proven_configuration: None,
            proven_upstreams: None,
            outage_ended: None,
            reregistration,
            lapsed: BTreeMap::new(),
        }
    }

    /// The catalog itself.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.catalog.configuration.as_ref()
    }

    /// Store version up to which changes of the list are known.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Upstreams of `service` that take new requests.
    pub fn usable<'a>(
        &'a self,
        now: Instant,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Instance> {
        let lapsed = self
            .lapsed
            .values()
            .filter(move |lapsed| {
                now < lapsed.until && *lapsed.instance.upstream.service == *service
            })
            .map(|lapsed| &lapsed.instance);
        self.ready.get(service).into_iter().flatten().chain(lapsed)
    }

    /// Whether `upstream`, chosen a moment ago, may still get a request.
    pub fn is_usable(&self, now: Instant, instance: &Instance) -> bool {
        self.usable(now, &instance.upstream.service)
            .any(|usable| usable.key == instance.key)
    }

    /// Age of the proof that the whole copy is current.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(self.configuration_age(now)?.max(self.upstreams_age(now)?))
    }

    /// Age of the proof that the configuration is current.
    pub fn configuration_age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.proven_configuration?.at))
    }

    /// Age of the proof that the list of upstreams is current.
    pub fn upstreams_age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.proven_upstreams?.at))
    }

    /// What to tell other hosts.
    pub fn freshness(&self, now: Instant) -> Freshness {
        let version = |version: Option<u64>| version.unwrap_or(0);
        Freshness {
            configuration: version(self.configuration().map(|c| c.version)),
            upstreams: version(self.catalog.upstreams.as_ref().map(|u| u.version)),
            digest: self.digest,
            cursor: self.cursor,
            configuration_cursor: self.configuration_cursor.unwrap_or(0),
            configuration_proof: self.proven_configuration.map(|proof| proof.told(now)),
            upstreams_proof: self.proven_upstreams.map(|proof| proof.told(now)),
        }
    }

    /// Forgets that the copy is current, after the process was stopped.
    pub fn discard_proofs(&mut self) {
        self.proven_configuration = None;
        self.proven_upstreams = None;
    }

    /// Takes over a configuration unless it is older than the one in force.
    /// Returns whether it is new.
    pub fn adopt_configuration(&mut self, found: Arc<Configuration>) -> bool {
        if let Some(known) = &self.catalog.configuration
            && found.version <= known.version
        {
            return false;
        }
        self.catalog.configuration = Some(found);
        true
    }

    /// Notes that the configuration, or that there is none, was current at
    /// `at`, when the store's clock showed `clock`, up to the store version
    /// `cursor`.
    pub fn prove_configuration(&mut self, at: Instant, clock: u64, cursor: u64) {
        if LocalProof::is_older_than(self.proven_configuration, clock) {
            self.proven_configuration = Some(LocalProof { clock, at });
        }
        self.configuration_cursor = self.configuration_cursor.max(Some(cursor));
    }

    /// Store version from which changes of the configuration are watched.
    pub fn configuration_cursor(&self) -> Option<u64> {
        self.configuration_cursor
    }

    /// Notes that the list of upstreams was current at `at`, when the store's
    /// clock showed `clock`, up to the store version `cursor`.
    pub fn prove_upstreams(&mut self, at: Instant, clock: u64, cursor: u64) {
        if LocalProof::is_older_than(self.proven_upstreams, clock) {
            self.note_outage(at);
            self.proven_upstreams = Some(LocalProof { clock, at });
        }
        self.cursor = self.cursor.max(cursor);
    }

    fn note_outage(&mut self, now: Instant) {
        if let Some(proven) = self.proven_upstreams
            && now.saturating_duration_since(proven.at) >= OUTAGE
        {
            self.outage_ended = Some(now);
        }
    }

    /// Takes over a whole list, read at `now`, unless it is older than the copy.
    /// Returns whether anything changed.
    pub fn replace_upstreams(&mut self, now: Instant, list: Versioned<Arc<Upstreams>>) -> bool {
        if let Some(known) = &self.catalog.upstreams
            && list.version <= known.version
        {
            return false;
        }
        self.note_outage(now);
        let before = self.catalog.upstreams.take();
        let changed = before
            .as_ref()
            .is_none_or(|before| before.value != list.value);
        for upstream in before.iter().flat_map(|before| before.value.values()) {
            if !list.value.contains_key(&upstream.id) {
                self.keep_lapsed(now, upstream);
            }
        }
        self.lapsed.retain(|id, _| !list.value.contains_key(id));
        self.take_over(list);
        changed
    }

    /// Applies changes that the store reports. Returns them as a delta for
    /// other hosts, or `None` if nothing changed or there is no list yet.
    pub fn apply_changes(
        &mut self,
        now: Instant,
        version: u64,
        changes: Vec<store::Change>,
    ) -> Option<Delta> {
        self.note_outage(now);
        let list = self.catalog.upstreams.clone()?;
        let base = list.version;
        let mut upstreams = Upstreams::clone(&list.value);
        for change in &changes {
            match change {
                store::Change::Put(upstream) => {
                    self.lapsed.remove(&upstream.id);
                    upstreams.insert(Arc::clone(&upstream.id), Arc::clone(upstream));
                }
                store::Change::Remove(id) => {
                    if let Some(upstream) = upstreams.remove(id) {
                        self.keep_lapsed(now, &upstream);
                    }
                }
            }
        }
        if upstreams == *list.value {
            return None;
        }
        let version = version.max(base + 1);
        self.take_over(Versioned {
            version,
            value: Arc::new(upstreams),
        });
        Some(Delta {
            base,
            version,
            changes,
        })
    }

    fn take_over(&mut self, list: Versioned<Arc<Upstreams>>) {
        self.digest = digest(&list.value);
        self.ready.clear();
        for upstream in list.value.values() {
            if upstream.state == State::Ready {
                let service = Arc::clone(&upstream.service);
                let instances = self.ready.entry(service).or_default();
                instances.push(Instance::new(upstream));
            }
        }
        self.catalog.upstreams = Some(list);
    }

    /// Applies a delta of another host if it continues this copy.
    pub fn apply_delta(&mut self, now: Instant, delta: &Delta) -> bool {
        let fits = self
            .catalog
            .upstreams
            .as_ref()
            .is_some_and(|list| list.version == delta.base);
        fits && self
            .apply_changes(now, delta.version, delta.changes.clone())
            .is_some()
    }

    /// Compares the copy with that of another host. Takes over its proof if the
    /// copies are equal, and returns whether the other one is newer.
    pub fn compare(&mut self, now: Instant, other: &Freshness) -> bool {
        let own = self.freshness(now);
        let same_list = other.digest == own.digest && self.catalog.upstreams.is_some();
        if same_list
            && other.upstreams > own.upstreams
            && let Some(list) = &mut self.catalog.upstreams
        {
            list.version = other.upstreams;
        }
        let at = |told: Proof| now.checked_sub(Duration::from_millis(told.age_ms.into()));
        if let Some(told) = other.configuration_proof
            && let Some(at) = at(told)
            && other.configuration == own.configuration
        {
            self.prove_configuration(at, told.clock, other.configuration_cursor);
        }
        if let Some(told) = other.upstreams_proof
            && let Some(at) = at(told)
            && same_list
        {
            self.prove_upstreams(at, told.clock, other.cursor);
        }
        other.configuration > own.configuration || (other.upstreams > own.upstreams && !same_list)
    }

    /// Keeps an upstream that left the list while a store outage may have been
    /// the reason.
    fn keep_lapsed(&mut self, now: Instant, upstream: &Arc<Upstream>) {
        let Some(ended) = self.outage_ended else {
            return;
        };
        let until = ended + self.reregistration;
        if now < until && upstream.state == State::Ready {
            let lapsed = Lapsed {
                instance: Instance::new(upstream),
                until,
            };
            self.lapsed.insert(Arc::clone(&upstream.id), lapsed);
        }
    }
}

/// Digest of a list, independent of how it was reached.
fn digest(upstreams: &Upstreams) -> u64 {
    upstreams.values().fold(1, |digest, upstream| {
        let state = match upstream.state {
            State::Ready => 1,
            State::Draining => 2,
        };
        digest ^ upstream.key().rotate_left(state)
    })
}
