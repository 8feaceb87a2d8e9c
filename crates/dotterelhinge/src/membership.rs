//! The actor that runs the failure detector and publishes the member list.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use actix::prelude::*;
use dotterelhinge_policy::membership as policy;
use rand::{SeedableRng, rngs::StdRng};
use tokio::sync::oneshot;

use crate::{configuration, context, idempotency, members, peer};

/// Interval of the failure detector's timer. It is shorter than the second
/// between two pings, so that suspicions expire and pauses are detected on time.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the failure detector.
pub(crate) struct Actor {
    context: Arc<context::Context>,
    configuration: Addr<configuration::Actor>,
    idempotency: Addr<idempotency::Actor>,
    policy: policy::Membership,
    client: Option<peer::Client>,
    // Channels for the answers to requests of other daemons.
    responders: HashMap<policy::Id, oneshot::Sender<policy::Message>>,
    next_request: policy::Id,
}

impl Actor {
    /// Creates a failure detector that knows only its own host and the seeds of
    /// the settings.
    pub(crate) fn new(
        context: Arc<context::Context>,
        configuration: Addr<configuration::Actor>,
        idempotency: Addr<idempotency::Actor>,
    ) -> Self {
        let settings = &context.settings;
        let local = policy::Member {
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
            policy: policy::Membership::new(now, local, policy::Settings::default(), rng),
            context,
            configuration,
            idempotency,
            client: None,
            responders: HashMap::new(),
            next_request: 1,
        }
    }

    fn handle_event(&mut self, ctx: &mut Context<Self>, event: policy::Event) {
        let now = self.context.clock.now();
        for action in self.policy.handle(now, event) {
            self.execute(ctx, action);
        }
    }

    fn execute(&mut self, ctx: &mut Context<Self>, action: policy::Action) {
        match action {
            policy::Action::Send {
                id,
                to,
                message,
                timeout,
            } => self.send(ctx, id, to, message, timeout),
            policy::Action::Respond { id, message } => {
                if let Some(responder) = self.responders.remove(&id) {
                    // The peer may have closed its connection.
                    let _ = responder.send(message);
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
            actor.handle_event(ctx, event);
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
        self.handle_event(ctx, policy::Event::Seeds(seeds));
        ctx.run_interval(TICK_INTERVAL, |actor, ctx| {
            // The detector runs first: a pause that it detects must be recorded
            // before the context counts as ticking again.
            actor.handle_event(ctx, policy::Event::Tick);
            actor.context.record_tick();
        });
    }
}

/// A membership message from another daemon.
#[derive(Message)]
#[rtype(result = "Option<policy::Message>")]
pub(crate) struct Request(pub(crate) policy::Message);

impl Handler<Request> for Actor {
    type Result = ResponseFuture<Option<policy::Message>>;

    fn handle(&mut self, Request(message): Request, ctx: &mut Self::Context) -> Self::Result {
        let id = self.next_request;
        self.next_request += 1;
        let (sender, receiver) = oneshot::channel();
        self.responders.insert(id, sender);
        self.handle_event(ctx, policy::Event::Request { id, message });
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
        self.handle_event(ctx, policy::Event::Seeds(seeds));
    }
}

/// A new version of the configuration is in force on this daemon.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct InForce(pub(crate) u64);

impl Handler<InForce> for Actor {
    type Result = ();

    fn handle(&mut self, InForce(version): InForce, ctx: &mut Self::Context) {
        self.handle_event(ctx, policy::Event::Configuration(version));
    }
}

/// Announces the planned shutdown of this daemon.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Leave;

impl Handler<Leave> for Actor {
    type Result = ();

    fn handle(&mut self, _: Leave, ctx: &mut Self::Context) {
        self.handle_event(ctx, policy::Event::Leave);
    }
}
