//! Keeps this host's copy of the catalog current: from the store if this host
//! is one of the readers, otherwise from other daemons.

use std::{
    net::Ipv4Addr,
    rc::Rc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::{join, reader};
use rand::RngExt;
use smallvec::SmallVec;
use tokio::sync::mpsc;

use crate::{
    catalog::customer::Customers,
    host::Host,
    peer::client,
    store::{self, Store},
};

/// Maximum time that the store holds one call for changes open. Each answer
/// proves that the copy is current, so this bounds the age of the proof while
/// nothing changes.
const POLL_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval between checks whether this host should read the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(80);

/// Time after the start during which hosts that have not been heard from count
/// as alive when readers are selected, because all hosts of a fleet may start
/// at once.
const STARTUP_PERIOD: Duration = Duration::from_millis(1500);

/// Delay between a change and the next call. Entries often change in groups,
/// and each answer contains all changes since the last one.
const BATCH_DELAY: Duration = Duration::from_millis(150);

/// Delay after the first failed call, before jitter; doubles with each further
/// failure up to `MAX_BACKOFF`.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum delay after a failed call, before jitter.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Interval between requests to other daemons for a first copy; the first
/// request is sent this long after the start.
const PEER_REQUEST_INTERVAL: Duration = Duration::from_millis(400);

/// Number of requests to other daemons for their lists of hosts after the first
/// copy, at intervals that double from `PEER_REQUEST_INTERVAL` on.
const HOST_LIST_REQUESTS: u32 = 5;

/// A part of the catalog, which is read from the store on its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Subject {
    Configuration,
    Upstreams,
}

/// Maximum time that a starting host waits for a copy from a seed before it
/// reads the store.
const SEED_TIMEOUT: Duration = Duration::from_millis(200);

/// Keeps the copy current until the process ends.
pub(crate) async fn run(host: Rc<Host>, store: Rc<dyn Store>, fetcher: Fetcher) {
    fetch_from_seed(&host).await;
    tokio::join!(
        watch(&host, &*store, Subject::Configuration),
        watch(&host, &*store, Subject::Upstreams),
        join(&host, &*store),
        request_from_peers(&host, fetcher),
    );
}

/// Reads `subject` from the store whenever this host should.
async fn watch(host: &Host, store: &dyn Store, subject: Subject) {
    let mut failures = 0;
    loop {
        if !should_read(host, subject) {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        match read(host, store, subject).await {
            Ok(()) => {
                if failures > 0 {
                    log::info!(event = "store_regained", subject = format!("{subject:?}"), failures = failures; "store answers again");
                }
                failures = 0;
            }
            Err(error) => {
                if failures == 0 {
                    log::warn!(event = "store_lost", subject = format!("{subject:?}"), error = format!("{error:?}"); "call to the store failed");
                }
                failures += 1;
                let (rank, hosts) = rank(host);
                let interval = reader::retry_interval(&host.settings.reader, rank, hosts);
                tokio::time::sleep(backoff(host, failures).max(interval)).await;
            }
        }
    }
}

/// Returns the delay after `failures` failed calls in a row, with jitter so
/// that hosts do not retry at the same time.
fn backoff(host: &Host, failures: u32) -> Duration {
    let doubled = MIN_BACKOFF * 2u32.pow(failures.min(6) - 1);
    let jitter = host.rng.borrow_mut().random_range(0.5..1.0);
    doubled.min(MAX_BACKOFF).mul_f64(jitter)
}

/// Returns whether this host should read `subject` from the store now, given
/// its rank and the age of its copy.
fn should_read(host: &Host, subject: Subject) -> bool {
    let now = host.now();
    let running = now.saturating_duration_since(host.started);
    let replica = host.replica.borrow();
    let age = match subject {
        Subject::Configuration => replica.configuration_age(now),
        Subject::Upstreams => replica.upstreams_age(now),
    };
    drop(replica);
    let rank = host.members.borrow().has_list().then(|| rank(host).0);
    reader::is_reader(&host.settings.reader, rank, age.unwrap_or(running))
}

/// Returns the rank of this host among the possible readers, and their number.
fn rank(host: &Host) -> (usize, usize) {
    let now = host.now();
    let running = now.saturating_duration_since(host.started);
    let members = host.members.borrow();
    let readers = || members.readers(now, running < STARTUP_PERIOD);
    let own = (&*host.settings.host, host.settings.strength);
    (reader::rank(own, readers()), readers().count())
}

async fn read(host: &Host, store: &dyn Store, subject: Subject) -> store::Result<()> {
    match subject {
        Subject::Configuration => read_configuration(host, store).await,
        Subject::Upstreams => read_upstreams(host, store).await,
    }
}

/// Estimates when the store answered a poll that was sent at `started`: at its
/// end if there was no change and it took at least that long, otherwise at
/// `started`, which is a lower bound. An answer with a change is sent at the time
/// of the change, however late it arrives.
fn answered_at(started: Instant, now: Instant, has_changes: bool) -> Instant {
    if !has_changes && now.saturating_duration_since(started) >= POLL_TIMEOUT {
        started + POLL_TIMEOUT
    } else {
        started
    }
}

async fn read_configuration(host: &Host, store: &dyn Store) -> store::Result<()> {
    let started = host.now();
    let known = host.replica.borrow().configuration_cursor();
    let found = match known {
        None => store.configuration().await?,
        Some(version) => match store.configuration_after(version, POLL_TIMEOUT).await {
            Err(error) if *error.current_context() == store::Error::Compacted => {
                store.configuration().await?
            }
            found => found?,
        },
    };
    let at = answered_at(started, host.now(), found.value.is_some());
    let mut replica = host.replica.borrow_mut();
    let mut changed = false;
    if let Some(configuration) = found.value {
        let (version, routes) = (configuration.version, configuration.hosts.len());
        let customers = configuration.customers.as_ref().map(Customers::count);
        changed = replica.adopt_configuration(configuration);
        log::info!(event = "configuration_read", version = version, store_version = found.version, hosts = routes, customers = customers, adopted = changed; "configuration read from the store");
    }
    replica.prove_configuration(at, found.clock, found.version);
    drop(replica);
    if changed {
        host.catalog_changed();
        host.request_flush();
    }
    Ok(())
}

async fn read_upstreams(host: &Host, store: &dyn Store) -> store::Result<()> {
    let started = host.now();
    let cursor = {
        let replica = host.replica.borrow();
        let list = replica.catalog().upstreams.as_ref();
        list.map(|list| replica.cursor().max(list.version))
    };
    let Some(cursor) = cursor else {
        return read_list(host, store).await;
    };
    let found = match store.upstreams_after(cursor, POLL_TIMEOUT).await {
        Err(error) if *error.current_context() == store::Error::Compacted => {
            log::warn!(event = "history_forgotten", cursor = cursor; "store history does not reach back to the cursor; reading the whole list");
            return read_list(host, store).await;
        }
        found => found?,
    };
    let at = answered_at(started, host.now(), !found.value.is_empty());
    let count = found.value.len();
    let (delta, known) = {
        let mut replica = host.replica.borrow_mut();
        let delta = replica.apply_changes(host.now(), found.version, found.value);
        replica.prove_upstreams(at, found.clock, found.version);
        (delta, replica.list_version())
    };
    if count > 0 && delta.is_none() {
        log::info!(event = "changes_outdated", version = found.version, known = known, count = count; "answer of the store is older than the list of upstreams; its changes were ignored");
    }
    if let Some(delta) = delta {
        log::info!(event = "upstreams_changed", version = delta.version, changes = format!("{:?}", summary(&delta.changes)); "list of upstreams changed");
        host.catalog_changed();
        host.announce_changes(delta.base);
        tokio::time::sleep(BATCH_DELAY).await;
    }
    Ok(())
}

async fn read_list(host: &Host, store: &dyn Store) -> store::Result<()> {
    let started = host.now();
    let list = store.upstreams().await?;
    let (version, count) = (list.version, list.value.len());
    let mut replica = host.replica.borrow_mut();
    let before = replica.list_version();
    let changed = replica.replace_upstreams(
        host.now(),
        crate::catalog::Versioned {
            version,
            value: list.value.into(),
        },
    );
    replica.prove_upstreams(started, list.clock, version);
    drop(replica);
    log::info!(event = "upstreams_read", version = version, count = count, changed = changed; "list of upstreams read from the store");
    if changed {
        host.catalog_changed();
        host.announce_changes(before);
    }
    Ok(())
}

/// Summarizes changes for the log.
fn summary(changes: &[store::Change]) -> Vec<String> {
    changes
        .iter()
        .map(|change| match change {
            store::Change::Put(upstream) => {
                format!("{} {} {:?}", upstream.id, upstream.address, upstream.state)
            }
            store::Change::Remove(id) => format!("{id} gone"),
        })
        .collect()
}

/// Joins the fleet: has this host in the store's list of hosts, and reads the
/// list unless another daemon has sent it.
async fn join(host: &Host, store: &dyn Store) {
    let own = store::Host {
        name: host.settings.host.clone(),
        address: host.settings.address,
        availability_zone: host.settings.availability_zone.clone(),
        strength: host.settings.strength,
    };
    let start = if host.settings.is_first_start {
        join::Start::First
    } else if host.members.borrow().has_list() {
        join::Start::Informed
    } else {
        join::Start::Alone
    };
    let step = join::first_step(&host.settings.join, start, &mut *host.rng.borrow_mut());
    if let join::Step::Register(delay) = step {
        tokio::time::sleep(delay).await;
    }
    let mut failures = 0;
    loop {
        let joined = match step {
            join::Step::Register(_) => register(host, store, &own).await,
            join::Step::Read => read_then_register(host, store, &own).await,
        };
        match joined {
            Ok(()) => return,
            Err(error) => {
                failures += 1;
                log::warn!(event = "not_registered", failures = failures, error = format!("{error:?}"); "host could not register itself");
                let (rank, hosts) = rank(host);
                let interval = reader::retry_interval(&host.settings.reader, rank, hosts);
                tokio::time::sleep(backoff(host, failures).max(interval)).await;
            }
        }
    }
}

/// Registers this host, then reads the list of hosts unless a daemon has sent
/// it in the meantime.
async fn register(host: &Host, store: &dyn Store, own: &store::Host) -> store::Result<()> {
    store.register(own).await?;
    if !host.members.borrow().has_list() {
        read_hosts(host, store).await?;
    }
    Ok(())
}

/// Reads the list of hosts and registers this host if the list does not have
/// it. A restarted host is usually listed, so a restart of the whole fleet
/// writes nothing.
async fn read_then_register(
    host: &Host,
    store: &dyn Store,
    own: &store::Host,
) -> store::Result<()> {
    if read_hosts(host, store).await?.contains(own) {
        return Ok(());
    }
    store.register(own).await?;
    // Hosts that registered since the first read may know nothing of this one.
    read_hosts(host, store).await?;
    Ok(())
}

/// Reads the list of hosts from the store.
async fn read_hosts(host: &Host, store: &dyn Store) -> store::Result<Vec<store::Host>> {
    let hosts = store.hosts().await?;
    log::info!(event = "hosts_read", count = hosts.len(); "list of hosts read from the store");
    let mut members = host.members.borrow_mut();
    members.add_list(host.now(), hosts.iter().cloned());
    drop(members);
    host.request_flush();
    Ok(hosts)
}

/// Fetches a copy from one seed. With it, a host that joins a running fleet
/// calls the store only to register itself, unless it is one of the readers.
async fn fetch_from_seed(host: &Host) {
    let reloadable = host.reloadable();
    let others = reloadable.seeds.iter().copied();
    let others: SmallVec<[Ipv4Addr; 3]> = others
        .filter(|seed| *seed != host.settings.address)
        .collect();
    if others.is_empty() {
        return;
    }
    let picked = host.rng.borrow_mut().random_range(0..others.len());
    let client = awc::Client::builder().disable_timeout().finish();
    // Without an answer the store is read as usual; `fetch` logs failures.
    let _ = tokio::time::timeout(SEED_TIMEOUT, fetch(host, &client, others[picked])).await;
}

/// Requests copies from other daemons until this host has one, then a few more
/// for their lists of hosts.
async fn request_from_peers(host: &Host, fetcher: Fetcher) {
    request_first_copy(host, &fetcher).await;
    // Hosts that start together get their first list of hosts while others have not
    // registered yet. Two groups that know nothing of each other would each have
    // readers and an aggregator of their own.
    let mut interval = PEER_REQUEST_INTERVAL;
    for _ in 0..HOST_LIST_REQUESTS {
        tokio::time::sleep(interval).await;
        interval *= 2;
        let known = host
            .members
            .borrow()
            .random_known(&mut *host.rng.borrow_mut());
        if let Some(address) = known {
            fetcher.request(address);
        }
    }
}

async fn request_first_copy(host: &Host, fetcher: &Fetcher) {
    let mut requests = 0;
    loop {
        tokio::time::sleep(PEER_REQUEST_INTERVAL).await;
        if host.replica.borrow().catalog().is_complete() {
            return;
        }
        let known = host
            .members
            .borrow()
            .random(host.now(), &mut *host.rng.borrow_mut());
        let seeds = &host.reloadable().seeds;
        let seed = || seeds.get(requests % seeds.len().max(1)).copied();
        if let Some(address) = known.or_else(seed) {
            fetcher.request(address);
        }
        requests += 1;
    }
}

/// Requests copies of the catalog from other daemons, one at a time.
#[derive(Clone)]
pub(crate) struct Fetcher(mpsc::Sender<Ipv4Addr>);

impl Fetcher {
    /// Creates a fetcher and the task that carries out its requests.
    pub(crate) fn new(host: Rc<Host>) -> (Self, impl Future<Output = ()>) {
        let (sender, mut requests) = mpsc::channel(1);
        let task = async move {
            let client = awc::Client::builder().disable_timeout().finish();
            while let Some(address) = requests.recv().await {
                fetch(&host, &client, address).await;
                // One that was queued meanwhile may be met by this answer; if not, it
                // is made again.
                let _ = requests.try_recv();
            }
        };
        (Self(sender), task)
    }

    /// Requests the copy of the daemon at `address`, unless a request is
    /// already queued. Reports that show the need are repeated, so a dropped
    /// request is made again.
    pub(crate) fn request(&self, address: Ipv4Addr) {
        // The queue holds one request; if it is full, this one is dropped.
        let _ = self.0.try_send(address);
    }
}

/// Fetches the copy of the daemon at `address` and adopts what is newer.
async fn fetch(host: &Host, client: &awc::Client, address: Ipv4Addr) {
    let started = host.now();
    let known = host.replica.borrow().freshness(started);
    let versions = client::Versions::of(&known, host.members.borrow().digest());
    let fetched = client::fetch(client, address, host.settings.peer_port, versions).await;
    let (copy, bytes) = match fetched {
        Ok(fetched) => fetched,
        Err(error) => {
            host.metrics.copies_failed.increment();
            log::warn!(event = "copy_not_fetched", peer = address.to_string(), taken_ms = host.now().saturating_duration_since(started).as_millis() as u64, error = format!("{error:?}"); "copy of the catalog could not be fetched");
            return;
        }
    };
    let now = host.now();
    let mut replica = host.replica.borrow_mut();
    let configured = copy
        .catalog
        .configuration
        .is_some_and(|configuration| replica.adopt_configuration(configuration));
    let replaced = copy
        .catalog
        .upstreams
        .is_some_and(|list| replica.replace_upstreams(now, list));
    let changes = copy.changes.as_ref();
    let is_changed = changes.is_some_and(|delta| replica.apply_delta(now, delta));
    replica.compare(started, &copy.freshness);
    let list_age = replica.upstreams_age(now).unwrap_or_default();
    drop(replica);
    host.metrics.copies_fetched.increment();
    if host.members.borrow().is_in_other_zone(address) {
        host.metrics.zone_bytes.copies.add(bytes as u64);
    }
    // A daemon that has just started sends an empty list.
    if !copy.hosts.is_empty() {
        host.members.borrow_mut().add_list(now, copy.hosts);
    }
    log::info!(event = "copy_fetched", peer = address.to_string(), configuration = configured, upstreams = replaced, changes = copy.changes.map(|delta| delta.changes.len()), version = copy.freshness.upstreams, list_age_ms = list_age.as_millis() as u64, taken_ms = now.saturating_duration_since(started).as_millis() as u64; "copy of the catalog fetched from a daemon");
    if configured || replaced || is_changed {
        host.catalog_changed();
    }
    // The hosts that this one sends digests to lack the same changes.
    if replaced || is_changed {
        host.announce_fetched(known.upstreams);
    }
}
