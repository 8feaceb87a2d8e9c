//! Keeps this host's copy of the catalog current: from the store if it is this
//! host's turn to read, otherwise from other daemons.

use std::{
    net::Ipv4Addr,
    rc::Rc,
    time::{Duration, Instant},
};

use dotterelhinge_policy::reader;
use error_stack::Report;
use rand::RngExt;
use smallvec::SmallVec;
use tokio::sync::mpsc;

use crate::{
    host::Host,
    peer::client,
    store::{self, Store},
};

/// Longest wait of one call for changes. Each answer proves that the copy is
/// current, so this bounds how old the proof gets while nothing changes.
const WAIT: Duration = Duration::from_millis(600);

/// Time between two looks whether it is this host's turn to read.
const LOOK: Duration = Duration::from_millis(80);

/// Time after the start in which hosts that have not been heard yet count as
/// alive for the duty of reading. All hosts of a fleet may start at once.
const STARTING: Duration = Duration::from_millis(1500);

/// Time after the start until which a host waits for the list of hosts before
/// it takes itself for the only one that can read.
const ALONE: Duration = Duration::from_millis(600);

/// Time after a change until the next call. Entries often change in groups, and
/// each answer holds all changes since the last one.
const GATHER: Duration = Duration::from_millis(150);

/// First pause after a failed call; it doubles up to `PAUSE_MOST`.
const PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after failed calls.
const PAUSE_MOST: Duration = Duration::from_millis(800);

/// Time after the start from which other daemons are asked for a first copy.
const ASK_PEERS: Duration = Duration::from_millis(400);

/// One of the two things that are read from the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Subject {
    Configuration,
    Upstreams,
}

/// Longest time that a host which starts waits for a copy from a seed before it
/// turns to the store.
const ASK_SEED: Duration = Duration::from_millis(200);

/// Watches the store for as long as the process runs.
pub(crate) async fn run(host: Rc<Host>, store: Rc<dyn Store>, fetch: Fetcher) {
    ask_seed(&host).await;
    tokio::join!(
        watch(&host, &*store, Subject::Configuration),
        watch(&host, &*store, Subject::Upstreams),
        join(&host, &*store),
        ask_peers(&host, fetch),
    );
}

async fn watch(host: &Host, store: &dyn Store, subject: Subject) {
    let mut failures = 0;
    loop {
        if !turn(host, subject) {
            tokio::time::sleep(LOOK).await;
            continue;
        }
        match read(host, store, subject).await {
            Ok(()) => {
                if failures > 0 {
                    log::info!(event = "store_regained", subject = format!("{subject:?}"), failures = failures; "the store answers again");
                }
                failures = 0;
            }
            Err(error) => {
                if failures == 0 {
                    log::warn!(event = "store_lost", subject = format!("{subject:?}"), error = format!("{error:?}"); "a call to the store failed");
                }
                failures += 1;
                let (rank, hosts) = rank(host);
                let turn = reader::retry_interval(&host.settings.reader, rank, hosts);
                tokio::time::sleep(pause(host, failures).max(turn)).await;
            }
        }
    }
}

/// Pause after `failures` failed calls in a row, with jitter so that hosts do
/// not return together.
fn pause(host: &Host, failures: u32) -> Duration {
    let doubled = PAUSE * 2u32.pow(failures.min(6) - 1);
    let jitter = host.rng.borrow_mut().random_range(0.5..1.0);
    doubled.min(PAUSE_MOST).mul_f64(jitter)
}

fn turn(host: &Host, subject: Subject) -> bool {
    let now = host.now();
    let running = now.saturating_duration_since(host.started);
    let members = host.members.borrow();
    if members.is_alone() && running < ALONE {
        return false;
    }
    drop(members);
    let (rank, _) = rank(host);
    let replica = host.replica.borrow();
    let age = match subject {
        Subject::Configuration => replica.configuration_age(now),
        Subject::Upstreams => replica.upstreams_age(now),
    };
    reader::is_reader(&host.settings.reader, rank, age.unwrap_or(running))
}

/// Position of this host among those that may read, and their number.
fn rank(host: &Host) -> (usize, usize) {
    let now = host.now();
    let running = now.saturating_duration_since(host.started);
    let members = host.members.borrow();
    let readers = || members.readers(now, running < STARTING);
    let own = (&*host.settings.host, host.settings.strength);
    (reader::rank(own, readers()), readers().count())
}

async fn read(host: &Host, store: &dyn Store, subject: Subject) -> store::Result<()> {
    match subject {
        Subject::Configuration => read_configuration(host, store).await,
        Subject::Upstreams => read_upstreams(host, store).await,
    }
}

/// When the answer to a call that began at `started` was made: at the end of
/// its wait if it waited in full, otherwise not before it began.
fn answered(started: Instant, now: Instant) -> Instant {
    if now.saturating_duration_since(started) >= WAIT {
        started + WAIT
    } else {
        started
    }
}

async fn read_configuration(host: &Host, store: &dyn Store) -> store::Result<()> {
    let started = host.now();
    let known = host.replica.borrow().configuration_cursor();
    let found = match known {
        None => store.configuration().await?,
        Some(version) => match store.configuration_after(version, WAIT).await {
            Err(error) if *error.current_context() == store::Error::Compacted => {
                store.configuration().await?
            }
            found => found?,
        },
    };
    let at = answered(started, host.now());
    let mut replica = host.replica.borrow_mut();
    let mut changed = false;
    if let Some(configuration) = found.value {
        let (version, routes) = (configuration.version, configuration.hosts.len());
        changed = replica.adopt_configuration(configuration);
        log::info!(event = "configuration_read", version = version, store_version = found.version, hosts = routes, adopted = changed; "configuration read from the store");
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
    let found = match store.upstreams_after(cursor, WAIT).await {
        Err(error) if *error.current_context() == store::Error::Compacted => {
            log::warn!(event = "history_forgotten", cursor = cursor; "the store forgot its history; reading the whole list");
            return read_list(host, store).await;
        }
        found => found?,
    };
    let at = answered(started, host.now());
    let delta = {
        let mut replica = host.replica.borrow_mut();
        let delta = replica.apply_changes(host.now(), found.version, found.value);
        replica.prove_upstreams(at, found.clock, found.version);
        delta
    };
    if let Some(delta) = delta {
        log::info!(event = "upstreams_changed", version = delta.version, changes = format!("{:?}", summary(&delta.changes)); "list of upstreams changed");
        host.catalog_changed();
        host.outbox.borrow_mut().delta = Some(delta);
        host.request_flush();
        tokio::time::sleep(GATHER).await;
    }
    Ok(())
}

async fn read_list(host: &Host, store: &dyn Store) -> store::Result<()> {
    let started = host.now();
    let list = store.upstreams().await?;
    let (version, count) = (list.version, list.value.len());
    let mut replica = host.replica.borrow_mut();
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
    }
    Ok(())
}

/// Changes in short for the log.
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

/// Registers this host and learns of the others.
async fn join(host: &Host, store: &dyn Store) {
    let own = store::Host {
        name: host.settings.host.clone(),
        address: host.settings.address,
        availability_zone: host.settings.availability_zone.clone(),
        strength: host.settings.strength,
    };
    let mut failures = 0;
    loop {
        let joined: Result<(), Report<store::Error>> = async {
            store.register(&own).await?;
            // Another host may have told the list already.
            if host.members.borrow().is_alone() {
                let hosts = store.hosts().await?;
                log::info!(event = "hosts_read", count = hosts.len(); "list of hosts read from the store");
                host.members.borrow_mut().add(host.now(), hosts);
                host.request_flush();
            }
            Ok(())
        }
        .await;
        match joined {
            Ok(()) => return,
            Err(error) => {
                failures += 1;
                log::warn!(event = "not_registered", failures = failures, error = format!("{error:?}"); "host could not register itself");
                let (rank, hosts) = rank(host);
                let turn = reader::retry_interval(&host.settings.reader, rank, hosts);
                tokio::time::sleep(pause(host, failures).max(turn)).await;
            }
        }
    }
}

/// Asks one seed for a copy. A host that starts beside running ones needs no
/// call to the store then but its registration.
async fn ask_seed(host: &Host) {
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
    let _ = tokio::time::timeout(ASK_SEED, fetch(host, &client, others[picked])).await;
}

/// Asks other daemons for a first copy while the store gives none.
async fn ask_peers(host: &Host, fetch: Fetcher) {
    let mut asked = 0;
    loop {
        tokio::time::sleep(ASK_PEERS).await;
        if host.replica.borrow().catalog().is_complete() {
            return;
        }
        let known = host
            .members
            .borrow()
            .random(host.now(), &mut *host.rng.borrow_mut());
        let seeds = &host.reloadable().seeds;
        let seed = || seeds.get(asked % seeds.len().max(1)).copied();
        if let Some(address) = known.or_else(seed) {
            fetch.request(address);
        }
        asked += 1;
    }
}

/// Orders copies from other daemons, one at a time.
#[derive(Clone)]
pub(crate) struct Fetcher(mpsc::Sender<Ipv4Addr>);

impl Fetcher {
    /// A fetcher and the task that does its work.
    pub(crate) fn new(host: Rc<Host>) -> (Self, impl Future<Output = ()>) {
        let (sender, mut orders) = mpsc::channel(1);
        let work = async move {
            let client = awc::Client::builder().disable_timeout().finish();
            while let Some(address) = orders.recv().await {
                fetch(&host, &client, address).await;
            }
        };
        (Self(sender), work)
    }

    /// Fetches the copy of the daemon at `address`, unless a fetch is already
    /// waiting; a report that shows the need comes again.
    pub(crate) fn request(&self, address: Ipv4Addr) {
        // A full queue means that a fetch is already on its way.
        let _ = self.0.try_send(address);
    }
}

async fn fetch(host: &Host, client: &awc::Client, address: Ipv4Addr) {
    let started = host.now();
    let versions = client::Versions::of(&host.replica.borrow().freshness(started));
    let copy = match client::fetch(client, address, host.settings.peer_port, versions).await {
        Ok(copy) => copy,
        Err(error) => {
            log::warn!(event = "copy_not_fetched", peer = address.to_string(), error = format!("{error:?}"); "copy of the catalog could not be fetched");
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
    replica.compare(started, &copy.freshness);
    drop(replica);
    host.members.borrow_mut().add(now, copy.hosts);
    log::info!(event = "copy_fetched", peer = address.to_string(), configuration = configured, upstreams = replaced; "copy of the catalog fetched from a daemon");
    if configured || replaced {
        host.catalog_changed();
    }
}
