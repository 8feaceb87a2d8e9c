//! The actor that runs the failure detector and publishes the member list.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use actix::prelude::*;
use dotterelhinge_policy::membership as policy;
use rand::{SeedableRng, rngs::StdRng};
use tokio::sync::oneshot;

use crate::{configuration, context, idempotency, members, peer};

/// Period of the detector's timer. Its pings are a second apart; a finer timer
/// keeps their timeouts exact.
const TICK: Duration = Duration::from_millis(100);

/// Runs the failure detector.
pub(crate) struct Actor {
    context: Arc<context::Context>,
    configuration: Addr<configuration::Actor>,
    idempotency: Addr<idempotency::Actor>,
    policy: policy::Membership,
    client: Option<peer::Client>,
    waiting: HashMap<policy::Id, oneshot::Sender<policy::Message>>,
    next_request: policy::Id,
}

impl Actor {
    /// A detector that knows only its own host and the seeds of the settings.
    pub(crate) fn new(
        context: Arc<context::Context>,
        configuration: Addr<configuration::Actor>,
        idempotency: Addr<idempotency::Actor>,
    ) -> Self {
        let settings = &context.settings;
        let me = policy::Member {
            host: Arc::clone(&settings.host),
            address: settings.peer,
            availability_zone: Arc::clone(&settings.availability_zone),
            region: Arc::clone(&settings.region),
            incarnation: context.incarnation,
            state: policy::State::Alive,
        };
        let now = context.clock.now();
        let rng = StdRng::from_rng(&mut rand::rng());
        Self {
            policy: policy::Membership::new(now, me, policy::Settings::default(), rng),
            context,
            configuration,
            idempotency,
            client: None,
            waiting: HashMap::new(),
            next_request: 1,
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
            policy::Action::Send {
                id,
                to,
                message,
                timeout,
            } => self.send(ctx, id, to, message, timeout),
            policy::Action::Respond { id, message } => {
                if let Some(waiting) = self.waiting.remove(&id) {
                    // The peer may have gone away meanwhile.
                    let _ = waiting.send(message);
                }
            }
            policy::Action::Changed { .. } => self.publish(),
            policy::Action::NewerConfiguration { peer, version } => {
                self.configuration
                    .do_send(configuration::Announced { peer, version });
            }
            policy::Action::Paused { gap } => {
                log::warn!(event = "paused", gap_ms = gap.as_millis() as u64; "this process was paused");
                self.context.set_version_check_due(true);
                self.configuration.do_send(configuration::Paused);
            }
        }
    }

    fn send(
        &mut self,
        ctx: &mut Context<Self>,
        id: policy::Id,
        to: SocketAddr,
        message: policy::Message,
        timeout: Duration,
    ) {
        let Some(client) = self.client.clone() else {
            return;
        };
        let sent = async move {
            client
                .post(to, "/peer/v1/membership", &message, timeout)
                .await
        };
        ctx.spawn(sent.into_actor(self).map(move |answer, actor, ctx| {
            let event = match answer {
                Ok(message) => policy::Event::Response { id, message },
                Err(_) => policy::Event::Failed(id),
            };
            actor.take(ctx, event);
        }));
    }

    fn publish(&mut self) {
        let snapshot = self.policy.snapshot();
        let list = members::List::new(
            snapshot
                .members
                .iter()
                .filter(|member| member.is_eligible())
                .map(|member| members::Member {
                    host: Arc::clone(&member.host),
                    address: member.address,
                    availability_zone: Arc::clone(&member.availability_zone),
                    region: Arc::clone(&member.region),
                })
                .collect(),
        );
        if list.members() != self.context.members.load().members() {
            log::info!(event = "members", count = list.members().len(), generation = snapshot.generation; "member list changed");
            self.context.members.store(Arc::new(list));
            self.configuration.do_send(configuration::Members);
            self.idempotency.do_send(idempotency::Members);
        }
    }
}

impl actix::Actor for Actor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.client = Some(peer::Client::new(Arc::clone(&self.context)));
        self.publish();
        let seeds = self.context.settings.seeds.clone();
        self.take(ctx, policy::Event::Seeds(seeds));
        ctx.run_interval(TICK, |actor, ctx| {
            // First the detector: it may find a pause, which must be known
            // before the context counts as ticking again.
            actor.take(ctx, policy::Event::Tick);
            actor.context.record_tick();
        });
    }
}

/// A request of another daemon.
#[derive(Message)]
#[rtype(result = "Option<policy::Message>")]
pub(crate) struct Request(pub(crate) policy::Message);

impl Handler<Request> for Actor {
    type Result = ResponseFuture<Option<policy::Message>>;

    fn handle(&mut self, Request(message): Request, ctx: &mut Self::Context) -> Self::Result {
        let id = self.next_request;
        self.next_request += 1;
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(id, sender);
        self.take(ctx, policy::Event::Request { id, message });
        Box::pin(async move { receiver.await.ok() })
    }
}

/// Peer addresses from the platform's host list.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Seeds(pub(crate) Vec<SocketAddr>);

impl Handler<Seeds> for Actor {
    type Result = ();

    fn handle(&mut self, Seeds(seeds): Seeds, ctx: &mut Self::Context) {
        self.take(ctx, policy::Event::Seeds(seeds));
    }
}

/// A new version is in force on this daemon.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct InForce(pub(crate) u64);

impl Handler<InForce> for Actor {
    type Result = ();

    fn handle(&mut self, InForce(version): InForce, ctx: &mut Self::Context) {
        self.take(ctx, policy::Event::Configuration(version));
    }
}

/// Announces the planned stop of this daemon.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Leave;

impl Handler<Leave> for Actor {
    type Result = ();

    fn handle(&mut self, _: Leave, ctx: &mut Self::Context) {
        self.take(ctx, policy::Event::Leave);
    }
}
