//! This host's copy of the catalog, with proof of how current it is.
//!
//! Invariants: the version of the configuration never decreases within a
//! process. The version of the list of upstreams is always one that the store
//! gave, and the list is the store's at that version; an answer or report that
//! is not newer changes nothing. An upstream that was removed from the list
//! because of a store outage stays usable until it has had time to register
//! again. An upstream that had left before the store came back from an older
//! copy stays out until its entry is written again.

mod departures;
mod freshness;

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::availability::Listing;
use rand::{Rng, seq::index};
use serde::{Deserialize, Serialize};

pub use self::freshness::{Freshness, Proof};
use self::{departures::Departures, freshness::LocalProof};
use crate::{
    catalog::{Catalog, Configuration, Instance, State, Upstream, Upstreams, Versioned},
    history::{self, History},
    store,
};

/// Age of the last proof from which the next proof or change of the list counts
/// as the end of a store outage.
const STORE_OUTAGE_THRESHOLD: Duration = Duration::from_millis(1500);

/// Changes between two versions of the list of upstreams. Each has the whole
/// entry, so it applies to any version from the base on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// Oldest version that the changes apply to.
    pub base: u64,
    /// Version that they result in.
    pub version: u64,
    /// The changes in order.
    pub changes: Vec<store::Change>,
}

/// An upstream that stays usable although a store outage may have removed it
/// from the list.
#[derive(Clone, Debug)]
struct Retained {
    instance: Instance,
    until: Instant,
}

/// The copy of one host.
#[derive(Debug)]
pub struct Replica {
    catalog: Catalog,
    /// The latest changes of the list.
    history: Arc<History>,
    /// The upstreams in the list, by identity.
    instances: HashMap<Arc<str>, Instance>,
    /// Those that accept new requests, by service, in any order.
    ready: HashMap<Arc<str>, Vec<Instance>>,
    digest: u64,
    cursor: u64,
    configuration_cursor: Option<u64>,
    proven_configuration: Option<LocalProof>,
    proven_upstreams: Option<LocalProof>,
    store_outage_ended: Option<Instant>,
    reregistration: Duration,
    retained: BTreeMap<Arc<str>, Retained>,
    departures: Departures,
}

impl Replica {
    /// Creates an empty copy. After a store outage, upstreams have the time
    /// `reregistration` to register again.
    pub fn new(reregistration: Duration) -> Self {
        Self {
            catalog: Catalog::default(),
            history: Arc::default(),
            instances: HashMap::new(),
            ready: HashMap::new(),
            digest: 0,
            cursor: 0,
            configuration_cursor: None,
            proven_configuration: None,
            proven_upstreams: None,
            store_outage_ended: None,
            reregistration,
            retained: BTreeMap::new(),
            departures: Departures::default(),
        }
    }

    /// Returns the catalog.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.catalog.configuration.as_ref()
    }

    /// Returns the store version up to which changes of the list are known.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Returns the version of the list of upstreams; 0 without one.
    pub fn list_version(&self) -> u64 {
        let list = self.catalog.upstreams.as_ref();
        list.map_or(0, |list| list.version)
    }

    /// Returns the latest changes of the list.
    pub fn history(&self) -> &Arc<History> {
        &self.history
    }

    /// Returns the upstreams in the list, in any order.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    /// Returns the upstreams of `service` that may get new requests.
    pub fn usable<'a>(
        &'a self,
        now: Instant,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Instance> {
        self.ready
            .get(service)
            .into_iter()
            .flatten()
            .chain(self.retained(now, service))
    }

    /// Returns the number of listed upstreams of `service` that may get new
    /// requests.
    pub fn ready_count(&self, service: &str) -> usize {
        self.ready.get(service).map_or(0, Vec::len)
    }

    /// Returns `amount` random upstreams of `service` that may get new requests, or
    /// all of them if there are fewer. Retained ones come beside.
    pub fn sample<'a>(
        &'a self,
        now: Instant,
        service: &'a str,
        amount: usize,
        rng: &mut impl Rng,
    ) -> Vec<&'a Instance> {
        let ready = self.ready.get(service).map_or(&[][..], Vec::as_slice);
        if ready.len() <= amount {
            return self.usable(now, service).collect();
        }
        let sampled = index::sample(rng, ready.len(), amount);
        let sampled = sampled.into_iter().map(|position| &ready[position]);
        sampled.chain(self.retained(now, service)).collect()
    }

    /// Returns the upstreams of `service` that a store outage may have removed.
    fn retained<'a>(
        &'a self,
        now: Instant,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Instance> {
        self.retained
            .values()
            .filter(move |retained| {
                now < retained.until && *retained.instance.upstream.service == *service
            })
            .map(|retained| &retained.instance)
    }

    /// Returns what the list says of `instance`, which was chosen earlier. A
    /// retained upstream counts as ready.
    pub fn listing(&self, now: Instant, instance: &Instance) -> Listing {
        let id = &instance.upstream.id;
        let retained = self.retained.get(id);
        if retained
            .is_some_and(|retained| now < retained.until && retained.instance.key == instance.key)
        {
            return Listing::Ready;
        }
        if self.departures.contains(id) {
            return Listing::Draining;
        }
        match self.instances.get(id) {
            Some(listed) if listed.key == instance.key => match listed.upstream.state {
                State::Ready if listed.upstream.service == instance.upstream.service => {
                    Listing::Ready
                }
                State::Ready | State::Draining => Listing::Draining,
            },
            _ => Listing::Absent,
        }
    }

    /// Returns the age of the proof that both parts of the copy are current: the
    /// greater one of [`Self::configuration_age`] and [`Self::upstreams_age`].
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(self.configuration_age(now)?.max(self.upstreams_age(now)?))
    }

    /// Returns the age of the proof that the configuration is current.
    pub fn configuration_age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.proven_configuration?.at))
    }

    /// Returns the age of the proof that the list of upstreams is current.
    pub fn upstreams_age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.proven_upstreams?.at))
    }

    /// Returns the versions and proofs to report to other hosts.
    pub fn freshness(&self, now: Instant) -> Freshness {
        let version = |version: Option<u64>| version.unwrap_or(0);
        Freshness {
            configuration: version(self.configuration().map(|c| c.version)),
            upstreams: self.list_version(),
            digest: self.digest,
            cursor: self.cursor,
            configuration_cursor: self.configuration_cursor.unwrap_or(0),
            configuration_proof: self.proven_configuration.map(|proof| proof.report(now)),
            upstreams_proof: self.proven_upstreams.map(|proof| proof.report(now)),
        }
    }

    /// Discards the proofs, because the process was suspended and the copy may
    /// be outdated.
    pub fn discard_proofs(&mut self) {
        self.proven_configuration = None;
        self.proven_upstreams = None;
    }

    /// Adopts a configuration if it is newer than the one in force. Returns
    /// whether it was adopted.
    pub fn adopt_configuration(&mut self, found: Arc<Configuration>) -> bool {
        if let Some(known) = &self.catalog.configuration
            && found.version <= known.version
        {
            return false;
        }
        self.catalog.configuration = Some(found);
        true
    }

    /// Records that the configuration, or its absence, was current at `at`,
    /// when the store's clock showed `clock`, up to the store version `cursor`.
    pub fn prove_configuration(&mut self, at: Instant, clock: u64, cursor: u64) {
        if LocalProof::is_older_than(self.proven_configuration, clock) {
            self.proven_configuration = Some(LocalProof { clock, at });
        }
        self.configuration_cursor = self.configuration_cursor.max(Some(cursor));
    }

    /// Returns the store version from which changes of the configuration are
    /// watched.
    pub fn configuration_cursor(&self) -> Option<u64> {
        self.configuration_cursor
    }

    /// Records that the list of upstreams was current at `at`, when the store's
    /// clock showed `clock`, up to the store version `cursor`.
    pub fn prove_upstreams(&mut self, at: Instant, clock: u64, cursor: u64) {
        if LocalProof::is_older_than(self.proven_upstreams, clock) {
            self.detect_store_outage_end(at);
            self.proven_upstreams = Some(LocalProof { clock, at });
        }
        self.cursor = self.cursor.max(cursor);
    }

    /// Records the end of a store outage at `now` if the last proof is too old.
    fn detect_store_outage_end(&mut self, now: Instant) {
        if let Some(proven) = self.proven_upstreams
            && now.saturating_duration_since(proven.at) >= STORE_OUTAGE_THRESHOLD
        {
            self.store_outage_ended = Some(now);
        }
    }

    /// Takes note if the store came back from an older copy before `version`. The
    /// copy may list servers that have left since, and may lack others that
    /// register again soon. Returns whether the store came back.
    fn detect_restoration(&mut self, now: Instant, version: u64) -> bool {
        let known = self.list_version();
        if known == 0 || store::epoch(version) <= store::epoch(known) {
            return false;
        }
        self.store_outage_ended = Some(now);
        self.departures = Departures::before(self.instances.values(), &self.history);
        log::warn!(event = "store_restored", epoch = store::epoch(version), departed = self.departures.len(); "the store came back from an older copy; servers that had left stay out");
        true
    }

    /// Replaces the list with one obtained at `now` if that is newer. Returns
    /// whether anything changed.
    pub fn replace_upstreams(&mut self, now: Instant, list: Versioned<Arc<Upstreams>>) -> bool {
        if let Some(known) = &self.catalog.upstreams
            && list.version <= known.version
        {
            return false;
        }
        self.detect_store_outage_end(now);
        self.detect_restoration(now, list.version);
        let before = self.catalog.upstreams.take();
        for upstream in before.iter().flat_map(|before| before.value.values()) {
            if !list.value.contains_key(&upstream.id) {
                self.retain_removed(now, upstream);
            }
        }
        self.retained.retain(|id, _| !list.value.contains_key(id));
        let changes = before.map(|before| history::difference(&before.value, &list.value));
        let changed = changes.as_ref().is_none_or(|changes| !changes.is_empty());
        let history = Arc::make_mut(&mut self.history);
        match changes {
            Some(changes) => history.extend(list.version, changes),
            None => history.reset(list.version),
        }
        self.digest = EMPTY_DIGEST;
        self.instances.clear();
        self.ready.clear();
        for upstream in list.value.values() {
            self.add_instance(upstream);
        }
        self.catalog.upstreams = Some(list);
        changed
    }

    /// Applies the changes of an answer of the store, which are complete up to
    /// its `version`. Returns them as a delta for other hosts, or `None` if there
    /// are none, or the answer is not newer than the list, or there is no list.
    ///
    /// An answer is older than the list if it was delayed, for example while the
    /// process was suspended, and other hosts reported newer changes meanwhile.
    /// Applying it would make a draining upstream ready again.
    pub fn apply_changes(
        &mut self,
        now: Instant,
        version: u64,
        changes: Vec<store::Change>,
    ) -> Option<Delta> {
        let list = self.catalog.upstreams.clone()?;
        let base = list.version;
        if changes.is_empty() || version <= base {
            return None;
        }
        self.detect_store_outage_end(now);
        let is_restored = self.detect_restoration(now, version);
        let mut upstreams = Upstreams::clone(&list.value);
        for change in &changes {
            match change {
                store::Change::Put(upstream) => {
                    if !is_restored {
                        self.departures.remove(&upstream.id);
                    }
                    self.retained.remove(&upstream.id);
                    self.remove_instance(&upstream.id);
                    self.add_instance(upstream);
                    upstreams.insert(Arc::clone(&upstream.id), Arc::clone(upstream));
                }
                store::Change::Remove(id) => {
                    self.remove_instance(id);
                    if let Some(upstream) = upstreams.remove(id) {
                        self.retain_removed(now, &upstream);
                    }
                    self.departures.remove(id);
                }
            }
        }
        // Also without an effect here the list has this version now. A host whose
        // list was read in one piece may lack a change that this host's list, read
        // in pages, already has.
        Arc::make_mut(&mut self.history).extend(version, changes.iter().cloned());
        self.catalog.upstreams = Some(Versioned {
            version,
            value: Arc::new(upstreams),
        });
        Some(Delta {
            base,
            version,
            changes,
        })
    }

    /// Adds an upstream that is not among the instances.
    fn add_instance(&mut self, upstream: &Arc<Upstream>) {
        let instance = Instance::new(upstream);
        self.digest ^= contribution(&instance);
        if upstream.state == State::Ready && !self.departures.contains(&upstream.id) {
            let service = Arc::clone(&upstream.service);
            self.ready
                .entry(service)
                .or_default()
                .push(instance.clone());
        }
        self.instances.insert(Arc::clone(&upstream.id), instance);
    }

    /// Removes an upstream from the instances if it is among them.
    fn remove_instance(&mut self, id: &str) {
        let Some(instance) = self.instances.remove(id) else {
            return;
        };
        self.digest ^= contribution(&instance);
        let Some(ready) = self.ready.get_mut(&instance.upstream.service) else {
            return;
        };
        if let Some(position) = ready.iter().position(|other| other.key == instance.key) {
            ready.swap_remove(position);
        }
    }

    /// Applies a delta from another host if this copy is not older than its base.
    /// Returns whether it was applied.
    pub fn apply_delta(&mut self, now: Instant, delta: &Delta) -> bool {
        let fits = self
            .catalog
            .upstreams
            .as_ref()
            .is_some_and(|list| list.version >= delta.base);
        fits && self
            .apply_changes(now, delta.version, delta.changes.clone())
            .is_some()
    }

    /// Compares the copy with that of another host. Takes over its proofs for
    /// the parts that are equal, and returns whether the other copy is newer.
    pub fn compare(&mut self, now: Instant, other: &Freshness) -> bool {
        let own = self.freshness(now);
        let same_list = other.digest == own.digest && self.catalog.upstreams.is_some();
        if same_list
            && other.upstreams > own.upstreams
            && let Some(list) = &mut self.catalog.upstreams
        {
            list.version = other.upstreams;
            Arc::make_mut(&mut self.history).extend(other.upstreams, []);
        }
        let at = |proof: Proof| now.checked_sub(Duration::from_millis(proof.age_ms.into()));
        if let Some(proof) = other.configuration_proof
            && let Some(at) = at(proof)
            && other.configuration == own.configuration
        {
            self.prove_configuration(at, proof.clock, other.configuration_cursor);
        }
        if let Some(proof) = other.upstreams_proof
            && let Some(at) = at(proof)
            && same_list
        {
            self.prove_upstreams(at, proof.clock, other.cursor);
        }
        other.configuration > own.configuration || (other.upstreams > own.upstreams && !same_list)
    }

    /// Keeps an upstream usable that was removed from the list shortly after a
    /// store outage, which may be the reason.
    fn retain_removed(&mut self, now: Instant, upstream: &Arc<Upstream>) {
        let Some(ended) = self.store_outage_ended else {
            return;
        };
        let until = ended + self.reregistration;
        let is_departed = self.departures.contains(&upstream.id);
        if now < until && upstream.state == State::Ready && !is_departed {
            let retained = Retained {
                instance: Instance::new(upstream),
                until,
            };
            self.retained.insert(Arc::clone(&upstream.id), retained);
        }
    }
}

/// Digest of an empty list.
const EMPTY_DIGEST: u64 = 1;

/// Returns what an entry contributes to the digest of a list: the digest is the
/// exclusive or over the key and state of all entries, independent of the changes
/// that led to the list.
fn contribution(instance: &Instance) -> u64 {
    let state = match instance.upstream.state {
        State::Ready => 1,
        State::Draining => 2,
    };
    instance.key.rotate_left(state)
}
