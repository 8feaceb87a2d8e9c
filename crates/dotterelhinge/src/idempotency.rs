//! The actor that owns ranges of idempotency keys.

use std::{sync::Arc, time::Duration};

use actix::prelude::*;
use dotterelhinge_policy::idempotency as policy;

use crate::{context, peer, platform};

/// Interval of the timer. Leases are renewed every 10 s.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum duration of the handover of the records of a range.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time to wait for the answer to a begin or an end.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of times that the end of an attempt is sent to the owner of
/// its key. If all fail, the key stays in progress at the owner, which is safe:
/// the request is not sent twice.
const MAX_END_SENDS: u32 = 7;

/// Time before the end of an attempt is sent again, doubled each time: a range
/// moves to another owner within fractions of a second, and a lost owner is
/// replaced in the member list within seconds.
const END_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Owns ranges of idempotency keys.
pub(crate) struct Actor {
    context: Arc<context::Context>,
    policy: policy::Idempotency,
    client: Option<peer::Client>,
    platform: Option<platform::Client>,
    // Notified when this daemon holds no range any more.
    stop_waiters: Vec<tokio::sync::oneshot::Sender<()>>,
}

impl Actor {
    /// Creates an actor without leases.
    pub(crate) fn new(context: Arc<context::Context>) -> Self {
        let settings = policy::Settings {
            max_records: context.settings.keys_per_owner,
            ..policy::Settings::default()
        };
        let host = Arc::clone(&context.settings.host);
        Self {
            policy: policy::Idempotency::new(host, context.incarnation, settings),
            context,
            client: None,
            platform: None,
            stop_waiters: Vec::new(),
        }
    }

    fn handle_event(&mut self, ctx: &mut Context<Self>, event: policy::Event) {
        let clock = &self.context.clock;
        for action in self.policy.handle(clock.now(), clock.wall(), event) {
            match action {
                policy::Action::Read { range } => self.read(ctx, range),
                policy::Action::Write { range, expect, row } => {
                    self.write(ctx, range, expect, row);
                }
                policy::Action::Handover { to, handover } => self.hand_over(ctx, &to, handover),
            }
        }
        if self.policy.held_ranges() == 0 {
            for waiter in self.stop_waiters.drain(..) {
                // The receiver may have timed out.
                let _ = waiter.send(());
            }
        }
    }

    fn read(&mut self, ctx: &mut Context<Self>, range: u16) {
        let Some(platform) = self.platform.clone() else {
            return;
        };
        let read = async move {
            let row = platform.store().row(&policy::Row::key(range)).await.ok()?;
            // A row that can't be parsed must not be taken over.
            row.map(|row| serde_json::from_str(&row)).transpose().ok()
        };
        ctx.spawn(read.into_actor(self).map(move |row, actor, ctx| {
            let event = match row {
                Some(row) => policy::Event::Read { range, row },
                None => policy::Event::ReadFailed { range },
            };
            actor.handle_event(ctx, event);
        }));
    }

    fn write(
        &mut self,
        ctx: &mut Context<Self>,
        range: u16,
        expect: Option<policy::Row>,
        row: policy::Row,
    ) {
        let Some(platform) = self.platform.clone() else {
            return;
        };
        let written = async move {
            let result = write_row(&platform, range, expect.as_ref(), &row).await;
            policy::Event::Written { range, row, result }
        };
        ctx.spawn(
            written
                .into_actor(self)
                .map(|event, actor, ctx| actor.handle_event(ctx, event)),
        );
    }

    fn hand_over(&mut self, ctx: &mut Context<Self>, to: &Arc<str>, handover: policy::Handover) {
        let range = handover.range;
        let members = self.context.members.load_full();
        let address = members.get(to).map(|member| member.address);
        let client = self.client.clone();
        let sent = async move {
            let (client, address) = (client?, address?);
            client
                .post(
                    address,
                    "/peer/v1/key-handover",
                    &handover,
                    HANDOVER_TIMEOUT,
                )
                .await
                .ok()
        };
        ctx.spawn(sent.into_actor(self).map(move |receiver, actor, ctx| {
            actor.handle_event(ctx, policy::Event::HandedOver { range, receiver });
        }));
    }
}

async fn write_row(
    platform: &platform::Client,
    range: u16,
    expect: Option<&policy::Row>,
    row: &policy::Row,
) -> policy::Written {
    let key = policy::Row::key(range);
    let (Ok(value), Ok(expect)) = (
        serde_json::to_string(row),
        expect.map(serde_json::to_string).transpose(),
    ) else {
        return policy::Written::Unknown;
    };
    let condition = match expect {
        Some(expect) => platform::Condition::equals(key.clone(), expect),
        None => platform::Condition::absent(key.clone()),
    };
    let writes = [platform::Write::put(key, value)];
    match platform.store().transact(&[condition], &writes).await {
        Ok(()) => policy::Written::Applied,
        Err(error) => {
            let error = error.current_context();
            match error.kind() {
                platform::Kind::Conflict => {
                    let current = error.current().iter().find_map(|row| row.value.as_deref());
                    match current.map(serde_json::from_str).transpose() {
                        Ok(row) => policy::Written::Conflict(row),
                        Err(_) => policy::Written::Unknown,
                    }
                }
                _ => policy::Written::Unknown,
            }
        }
    }
}

impl actix::Actor for Actor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.client = Some(peer::Client::new(Arc::clone(&self.context)));
        let base = self.context.settings.platform.as_ref();
        self.platform =
            base.map(|base| platform::Client::connect(base, Arc::clone(&self.context.clock)));
        ctx.run_interval(TICK_INTERVAL, |actor, ctx| {
            actor.handle_event(ctx, policy::Event::Tick);
        });
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
        let hosts = members
            .members()
            .iter()
            .map(|member| Arc::clone(&member.host))
            .collect();
        self.handle_event(ctx, policy::Event::Members(hosts));
    }
}

/// Requests permission to send a request with an idempotency key.
#[derive(Message)]
#[rtype(result = "policy::Verdict")]
pub(crate) struct Begin(pub(crate) policy::Begin);

impl Handler<Begin> for Actor {
    type Result = MessageResult<Begin>;

    fn handle(&mut self, Begin(begin): Begin, _: &mut Self::Context) -> Self::Result {
        let clock = &self.context.clock;
        MessageResult(self.policy.begin(clock.now(), clock.wall(), &begin))
    }
}

/// Records how an attempt ended whose key is in a range of this daemon.
#[derive(Clone, Debug, Message, serde::Deserialize, serde::Serialize)]
#[rtype(result = "policy::Ended")]
pub(crate) struct End {
    /// The key.
    pub(crate) key: Arc<str>,
    /// Identifier of the attempt that began the key.
    pub(crate) attempt: u64,
    /// How it ended.
    pub(crate) outcome: policy::Outcome,
}

impl Handler<End> for Actor {
    type Result = MessageResult<End>;

    fn handle(&mut self, end: End, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.policy.end(&end.key, end.attempt, end.outcome))
    }
}

/// Sends the end of an attempt to the owner of its key.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Report(pub(crate) End);

impl Handler<Report> for Actor {
    type Result = ();

    fn handle(&mut self, Report(end): Report, ctx: &mut Self::Context) {
        let Some(client) = self.client.clone() else {
            return;
        };
        let context = Arc::clone(&self.context);
        let local = ctx.address();
        ctx.spawn(
            async move {
                for sends in 0..MAX_END_SENDS {
                    if sends > 0 {
                        tokio::time::sleep(END_RETRY_INTERVAL * 2_u32.pow(sends - 1)).await;
                    }
                    if report(&context, &client, &local, &end).await {
                        return;
                    }
                }
                log::warn!(event = "key_end_lost", "outcome" = format!("{:?}", end.outcome); "owner of an idempotency key was not notified how its request ended");
            }
            .into_actor(self),
        );
    }
}

/// Reports once to the owner of a key how an attempt ended. Returns whether the
/// owner has recorded it.
pub(crate) async fn report(
    context: &context::Context,
    client: &peer::Client,
    local: &Addr<Actor>,
    end: &End,
) -> bool {
    let members = context.members.load_full();
    let Some(owner) = owner(&members, &end.key) else {
        return false;
    };
    let ended = if owner.host == context.settings.host {
        local.send(end.clone()).await.ok()
    } else {
        client
            .post(owner.address, "/peer/v1/key-end", end, ANSWER_TIMEOUT)
            .await
            .ok()
    };
    ended == Some(policy::Ended::Recorded)
}

/// Returns the member that should own the range of `key`.
pub(crate) fn owner<'a>(
    members: &'a crate::members::List,
    key: &str,
) -> Option<&'a crate::members::Member> {
    members.coordinator(&Arc::from(policy::Row::key(policy::range(key))))
}

/// Asks the owner of a key's range whether the request may be sent. After a lost
/// answer the query is repeated with the same attempt, which is harmless.
pub(crate) async fn begin(
    context: &context::Context,
    client: &peer::Client,
    local: &Addr<Actor>,
    begin: &policy::Begin,
) -> policy::Verdict {
    for _ in 0..2 {
        let members = context.members.load_full();
        let Some(owner) = owner(&members, &begin.key) else {
            break;
        };
        let verdict = if owner.host == context.settings.host {
            local.send(Begin(begin.clone())).await.ok()
        } else {
            client
                .post(owner.address, "/peer/v1/key-begin", begin, ANSWER_TIMEOUT)
                .await
                .ok()
        };
        match verdict {
            Some(policy::Verdict::NotOwner) | None => {}
            Some(verdict) => return verdict,
        }
    }
    policy::Verdict::Unfenced
}

/// The handover of a range by its owner. The answer is the incarnation of this
/// daemon.
#[derive(Message)]
#[rtype(result = "u64")]
pub(crate) struct Handover(pub(crate) policy::Handover);

impl Handler<Handover> for Actor {
    type Result = u64;

    fn handle(&mut self, Handover(handover): Handover, ctx: &mut Self::Context) -> u64 {
        self.handle_event(ctx, policy::Event::Handover(handover));
        self.context.incarnation
    }
}

/// Hands all ranges over. Answered once this daemon holds none.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Stop;

impl Handler<Stop> for Actor {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: Stop, ctx: &mut Self::Context) -> Self::Result {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        self.stop_waiters.push(sender);
        self.handle_event(ctx, policy::Event::Stop);
        Box::pin(async move {
            // The sender is dropped if the actor ends.
            let _ = receiver.await;
        })
    }
}
