//! The actor that keeps the text in force and spreads new versions.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use actix::prelude::*;
use actix_web::web;
use bytes::Bytes;
use dotterelhinge_policy::configuration as policy;
use error_stack::Report;
use rand::{SeedableRng, rngs::StdRng};

use crate::{context, document, ledger, membership, peer, platform, wire};

/// Period of the timer; polls and checks are a second apart.
const TICK: Duration = Duration::from_millis(100);

/// Longest wait for a question to a peer.
const ASK: Duration = Duration::from_millis(500);

/// Longest wait for a whole text from a peer.
const FETCH: Duration = Duration::from_secs(5);

/// A difference to the text in force, as offered by a peer.
struct Offered {
    base: u64,
    delta: Bytes,
}

/// Keeps the text in force and spreads new versions.
pub(crate) struct Actor {
    context: Arc<context::Context>,
    ledger: Addr<ledger::Actor>,
    policy: policy::Configuration,
    membership: Option<Addr<membership::Actor>>,
    client: Option<peer::Client>,
    platform: Option<platform::Client>,
    offered: HashMap<SocketAddr, Offered>,
    loaded: HashMap<policy::Id, document::Document>,
    // The difference that led to the version in force, and its base.
    last: Option<Offered>,
}

impl Actor {
    /// An actor without a text.
    pub(crate) fn new(context: Arc<context::Context>, ledger: Addr<ledger::Actor>) -> Self {
        let settings = &context.settings;
        let host = Arc::clone(&settings.host);
        let now = context.clock.now();
        let rng = StdRng::from_rng(&mut rand::rng());
        Self {
            policy: policy::Configuration::new(now, host, policy::Settings::default(), rng),
            context,
            ledger,
            membership: None,
            client: None,
            platform: None,
            offered: HashMap::new(),
            loaded: HashMap::new(),
            last: None,
        }
    }

    fn take(&mut self, ctx: &mut Context<Self>, event: policy::Event) {
        let now = self.context.clock.now();
        for action in self.policy.handle(now, event) {
            self.carry_out(ctx, action);
        }
    }

    fn carry_out(&mut self, ctx: &mut Context<Self>, action: policy::Action) {
        match action {
            policy::Action::Query { id, peer } => self.ask(ctx, id, peer),
            policy::Action::Load {
                id,
                source,
                number,
                hash,
            } => self.load(ctx, id, source, number, hash),
            policy::Action::Adopt { id, version } => self.adopt(id, &version),
            policy::Action::Discard(id) => {
                self.loaded.remove(&id);
            }
            policy::Action::Offer {
                peer,
                version,
                base,
            } => self.offer(ctx, peer, version, base),
            policy::Action::Poll => self.poll(ctx),
            policy::Action::Ready(ready) => self.context.set_version_check_due(!ready),
        }
    }

    fn ask(&mut self, ctx: &mut Context<Self>, id: policy::Id, peer: SocketAddr) {
        let Some(client) = self.client.clone() else {
            return;
        };
        let asked = async move { client.post(peer, "/peer/v1/version", &(), ASK).await };
        ctx.spawn(asked.into_actor(self).map(move |answer, actor, ctx| {
            let event = match answer {
                Ok(version) => policy::Event::QueryAnswered { id, version },
                Err(_) => policy::Event::QueryFailed(id),
            };
            actor.take(ctx, event);
        }));
    }

    fn load(
        &mut self,
        ctx: &mut Context<Self>,
        id: policy::Id,
        source: policy::Source,
        number: u64,
        hash: Option<Arc<str>>,
    ) {
        let in_force = self.context.in_force.load_full();
        let loading: std::pin::Pin<Box<dyn Future<Output = _>>> = match source {
            policy::Source::Delta(peer) => {
                let offered = self.offered.remove(&peer);
                Box::pin(from_delta(in_force, offered, number, hash))
            }
            policy::Source::Peer(peer) => {
                Box::pin(from_peer(self.client.clone(), peer, number, hash))
            }
            policy::Source::Store => Box::pin(from_store(self.platform.clone(), number, hash)),
        };
        ctx.spawn(
            loading
                .into_actor(self)
                .map(move |loaded, actor, ctx| match loaded {
                    Ok((version, document, delta)) => {
                        actor.loaded.insert(id, document);
                        if let Some(delta) = delta {
                            actor.last = Some(delta);
                        }
                        actor.take(ctx, policy::Event::Loaded { id, version });
                    }
                    Err(failure) => {
                        log::warn!(event = "text_not_loaded", version = number, source = format!("{source:?}"),
                            failure = format!("{failure:?}"); "a version could not be loaded");
                        actor.take(ctx, policy::Event::NotLoaded { id, failure });
                    }
                }),
        );
    }

    fn adopt(&mut self, id: policy::Id, version: &policy::Version) {
        let Some(document) = self.loaded.remove(&id) else {
            return;
        };
        let before = self.context.in_force.load_full();
        let base = before.as_ref().map_or(0, |in_force| in_force.version);
        if self.last.as_ref().is_none_or(|last| last.base != base)
            && let Some(before) = before
        {
            self.last = Some(Offered {
                base,
                delta: document::delta(&before.document, &document),
            });
        }
        log::info!(event = "configuration", version = version.number, hash = &*version.hash, before = base;
            "text in force");
        self.context.metrics.count_event("configuration");
        self.context
            .in_force
            .store(Some(Arc::new(context::Configuration {
                version: version.number,
                snapshot: Arc::clone(document.snapshot()),
                document,
            })));
        if let Some(membership) = &self.membership {
            membership.do_send(membership::InForce(version.number));
        }
    }

    fn offer(
        &mut self,
        ctx: &mut Context<Self>,
        peer: SocketAddr,
        version: policy::Version,
        base: u64,
    ) {
        let Some(client) = self.client.clone() else {
            return;
        };
        let delta = self
            .last
            .as_ref()
            .filter(|last| last.base == base && base > 0);
        let offer = wire::Offer {
            from: self.context.settings.peer,
            version,
            base: delta.map_or(0, |last| last.base),
            delta: delta.map_or_else(Vec::new, |last| last.delta.to_vec()),
        };
        let sent = async move {
            // A lost offer is repaired by the versions that pings carry.
            let _: Result<(), _> = client.post(peer, "/peer/v1/offer", &offer, ASK).await;
        };
        ctx.spawn(sent.into_actor(self));
    }

    fn poll(&mut self, ctx: &mut Context<Self>) {
        let Some(platform) = self.platform.clone() else {
            return;
        };
        let read = async move {
            let head = platform.head().await;
            let hosts = platform.hosts().await;
            (head, hosts)
        };
        ctx.spawn(read.into_actor(self).map(|(head, hosts), actor, ctx| {
            match head {
                Ok(head) => {
                    let head = head.map(|head| policy::Version {
                        number: head.version,
                        hash: head.hash,
                    });
                    actor.take(ctx, policy::Event::Head(head));
                }
                Err(error) => {
                    log::debug!(event = "store_failed", error = format!("{error:?}"); "the store can't be read");
                    actor.take(ctx, policy::Event::StoreFailed);
                }
            }
            if let Ok(hosts) = hosts {
                actor.take_hosts(&hosts);
            }
        }));
    }

    /// Uses the platform's host list as a source of addresses and of leaving
    /// backend servers. It lags, so it never says that a host is dead.
    fn take_hosts(&mut self, hosts: &[platform::Host]) {
        let Some(in_force) = self.context.in_force.load_full() else {
            return;
        };
        let mut daemons: HashMap<SocketAddr, platform::HostState> = hosts
            .iter()
            .map(|host| (host.address, host.state))
            .collect();
        for service in &in_force.snapshot.services {
            for upstream in &service.upstreams {
                if daemons.remove(&upstream.address) == Some(platform::HostState::Leaving) {
                    self.ledger.do_send(ledger::Leaving {
                        service: Arc::clone(&service.name),
                        upstream: Arc::clone(&upstream.name),
                    });
                }
            }
        }
        daemons.retain(|_, state| *state == platform::HostState::Live);
        if let Some(membership) = &self.membership {
            let listed = daemons.into_keys();
            let seeds = self.context.settings.seeds.iter().copied().chain(listed);
            membership.do_send(membership::Seeds(seeds.collect()));
        }
    }
}

type Loaded = Result<(policy::Version, document::Document, Option<Offered>), policy::Failure>;

fn checked(
    document: document::Document,
    number: u64,
    hash: Option<Arc<str>>,
    delta: Option<Offered>,
) -> Loaded {
    if hash.is_some_and(|hash| hash != *document.hash()) {
        return Err(policy::Failure::HashMismatch);
    }
    let version = policy::Version {
        number,
        hash: Arc::clone(document.hash()),
    };
    Ok((version, document, delta))
}

fn failure(error: &Report<document::Error>) -> policy::Failure {
    match error.current_context().kind() {
        document::Kind::Delta => policy::Failure::HashMismatch,
        _ => policy::Failure::Invalid,
    }
}

/// Parsing a text takes up to seconds at the target size, so it runs on a
/// thread of its own.
async fn parse(
    parse: impl FnOnce() -> Result<document::Document, Report<document::Error>> + Send + 'static,
) -> Result<document::Document, policy::Failure> {
    web::block(parse)
        .await
        .map_err(|_| policy::Failure::Unavailable)?
        .map_err(|error| failure(&error))
}

async fn from_delta(
    in_force: Option<Arc<context::Configuration>>,
    offered: Option<Offered>,
    number: u64,
    hash: Option<Arc<str>>,
) -> Loaded {
    let (Some(in_force), Some(offered), Some(hash)) = (in_force, offered, hash) else {
        return Err(policy::Failure::Unavailable);
    };
    if in_force.version != offered.base {
        return Err(policy::Failure::Unavailable);
    }
    let (delta, expected) = (offered.delta.clone(), Arc::clone(&hash));
    let document = parse(move || document::apply(&in_force.document, &delta, &expected)).await?;
    checked(document, number, Some(hash), Some(offered))
}

async fn from_peer(
    client: Option<peer::Client>,
    peer: SocketAddr,
    number: u64,
    hash: Option<Arc<str>>,
) -> Loaded {
    let client = client.ok_or(policy::Failure::Unavailable)?;
    let whole: Option<wire::Document> = client
        .post(peer, "/peer/v1/text", &(), FETCH)
        .await
        .map_err(|_| policy::Failure::Unavailable)?;
    let whole = whole
        .filter(|whole| whole.version.number >= number)
        .ok_or(policy::Failure::Unavailable)?;
    // A peer that moved on sends its newer version under that version's hash.
    let expected = if whole.version.number == number {
        hash
    } else {
        None
    };
    let expected = expected.unwrap_or(whole.version.hash);
    let document = parse(move || document::Document::from_gzip(&whole.gzip)).await?;
    checked(document, whole.version.number, Some(expected), None)
}

async fn from_store(
    platform: Option<platform::Client>,
    number: u64,
    hash: Option<Arc<str>>,
) -> Loaded {
    let platform = platform.ok_or(policy::Failure::Unavailable)?;
    let hash = hash.ok_or(policy::Failure::Unavailable)?;
    let document =
        platform
            .document(&hash)
            .await
            .map_err(|error| match error.current_context().kind() {
                platform::Kind::Invalid => policy::Failure::HashMismatch,
                _ => policy::Failure::Unavailable,
            })?;
    let document = parse(move || document::Document::parse(document.as_bytes())).await?;
    checked(document, number, Some(hash), None)
}

impl actix::Actor for Actor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.client = Some(peer::Client::new(Arc::clone(&self.context)));
        let base = self.context.settings.platform.as_ref();
        self.platform =
            base.map(|base| platform::Client::connect(base, Arc::clone(&self.context.clock)));
        ctx.run_interval(TICK, |actor, ctx| actor.take(ctx, policy::Event::Tick));
    }
}

/// Tells the actor whom to inform of new versions.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Connect(pub(crate) Addr<membership::Actor>);

impl Handler<Connect> for Actor {
    type Result = ();

    fn handle(&mut self, Connect(membership): Connect, _: &mut Self::Context) {
        self.membership = Some(membership);
    }
}

/// The member list changed.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Members;

impl Handler<Members> for Actor {
    type Result = ();

    fn handle(&mut self, _: Members, ctx: &mut Self::Context) {
        let members = self.context.members.load_full();
        let peers = members
            .members()
            .iter()
            .map(|member| policy::Peer {
                host: Arc::clone(&member.host),
                address: member.address,
                region: Arc::clone(&member.region),
            })
            .collect();
        self.take(ctx, policy::Event::Members(peers));
    }
}

/// A peer has a newer version.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Announced {
    /// Address of the peer.
    pub(crate) peer: SocketAddr,
    /// Its version.
    pub(crate) version: u64,
}

impl Handler<Announced> for Actor {
    type Result = ();

    fn handle(&mut self, announced: Announced, ctx: &mut Self::Context) {
        self.take(
            ctx,
            policy::Event::Announced {
                peer: announced.peer,
                number: announced.version,
            },
        );
    }
}

/// This process was paused.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Paused;

impl Handler<Paused> for Actor {
    type Result = ();

    fn handle(&mut self, _: Paused, ctx: &mut Self::Context) {
        self.take(ctx, policy::Event::Paused);
    }
}

/// A peer offers a version.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Offer(pub(crate) wire::Offer);

impl Handler<Offer> for Actor {
    type Result = ();

    fn handle(&mut self, Offer(offer): Offer, ctx: &mut Self::Context) {
        if offer.base > 0 {
            self.offered.insert(
                offer.from,
                Offered {
                    base: offer.base,
                    delta: Bytes::from(offer.delta),
                },
            );
        }
        self.take(
            ctx,
            policy::Event::Offered {
                peer: offer.from,
                version: offer.version,
                base: offer.base,
            },
        );
    }
}
