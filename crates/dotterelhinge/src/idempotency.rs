//! The actor that owns ranges of idempotency keys.

use std::{sync::Arc, time::Duration};

use actix::prelude::*;
use dotterelhinge_policy::idempotency as policy;

use crate::{context, peer, platform};

/// Period of the timer; leases are renewed every 10 s.
const TICK: Duration = Duration::from_millis(200);

/// Longest wait for a hand-over of the records of a range.
const HANDOVER: Duration = Duration::from_secs(2);

/// Longest wait for one message about a key.
const CALL: Duration = Duration::from_millis(500);

/// Times that the end of an attempt is sent to the owner of its key. If all
/// fail, the key stays in progress at the owner, which is the safe side.
const END_ATTEMPTS: u32 = 7;

/// Wait before the end of an attempt is sent again, doubled each time: a range
/// moves to another owner within fractions of a second, a lost owner is
/// replaced in the member list within seconds.
const END_RETRY: Duration = Duration::from_millis(100);

/// Owns ranges of idempotency keys.
pub(crate) struct Actor {
    context: Arc<context::Context>,
    policy: policy::Idempotency,
    client: Option<peer::Client>,
    platform: Option<platform::Client>,
    stopped: Vec<tokio::sync::oneshot::Sender<()>>,
}

impl Actor {
    /// An actor without leases.
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
            stopped: Vec::new(),
        }
    }

    fn take(&mut self, ctx: &mut Context<Self>, event: policy::Event) {
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
            for stopped in self.stopped.drain(..) {
                // The daemon may have stopped waiting.
                let _ = stopped.send(());
            }
        }
    }

    fn read(&mut self, ctx: &mut Context<Self>, range: u16) {
        let Some(platform) = self.platform.clone() else {
            return;
        };
        let read = async move {
            let row = platform.store().row(&policy::Row::key(range)).await.ok()?;
            // A row that can't be parsed is not one to take over.
            row.map(|row| serde_json::from_str(&row)).transpose().ok()
        };
        ctx.spawn(read.into_actor(self).map(move |row, actor, ctx| {
            let event = match row {
                Some(row) => policy::Event::Read { range, row },
                None => policy::Event::ReadFailed { range },
            };
            actor.take(ctx, event);
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
                .map(|event, actor, ctx| actor.take(ctx, event)),
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
                .post(address, "/peer/v1/key-handover", &handover, HANDOVER)
                .await
                .ok()
        };
        ctx.spawn(sent.into_actor(self).map(move |receiver, actor, ctx| {
            actor.take(ctx, policy::Event::HandedOver { range, receiver });
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
        ctx.run_interval(TICK, |actor, ctx| {
            actor.take(ctx, policy::Event::Tick);
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
        self.take(ctx, policy::Event::Members(hosts));
    }
}

/// Asks whether a keyed request may be sent.
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

/// Records how an attempt with a key of an own range ended.
#[derive(Clone, Debug, Message, serde::Deserialize, serde::Serialize)]
#[rtype(result = "policy::Ended")]
pub(crate) struct End {
    /// The key.
    pub(crate) key: Arc<str>,
    /// Number of the attempt that began it.
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
                for attempt in 0..END_ATTEMPTS {
                    if attempt > 0 {
                        tokio::time::sleep(END_RETRY * 2_u32.pow(attempt - 1)).await;
                    }
                    if report(&context, &client, &local, &end).await {
                        return;
                    }
                }
                log::warn!(event = "key_end_lost", "outcome" = format!("{:?}", end.outcome); "owner of a key was not told how its request ended");
            }
            .into_actor(self),
        );
    }
}

/// Tells the owner of a key how an attempt ended; returns whether it has
/// recorded that.
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
            .post(owner.address, "/peer/v1/key-end", end, CALL)
            .await
            .ok()
    };
    ended == Some(policy::Ended::Recorded)
}

/// The member that should own the range of `key`.
pub(crate) fn owner<'a>(
    members: &'a crate::members::List,
    key: &str,
) -> Option<&'a crate::members::Member> {
    members.coordinator(&Arc::from(policy::Row::key(policy::range(key))))
}

/// Asks the owner of a key's range whether the request may be sent. A lost
/// answer is asked for again with the same attempt, which is harmless.
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
                .post(owner.address, "/peer/v1/key-begin", begin, CALL)
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

/// A range handed over by its owner; answered with the own incarnation.
#[derive(Message)]
#[rtype(result = "u64")]
pub(crate) struct Handover(pub(crate) policy::Handover);

impl Handler<Handover> for Actor {
    type Result = u64;

    fn handle(&mut self, Handover(handover): Handover, ctx: &mut Self::Context) -> u64 {
        self.take(ctx, policy::Event::Handover(handover));
        self.context.incarnation
    }
}

/// Hands all ranges over; answered when none is held any more.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Stop;

impl Handler<Stop> for Actor {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: Stop, ctx: &mut Self::Context) -> Self::Result {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        self.stopped.push(sender);
        self.take(ctx, policy::Event::Stop);
        Box::pin(async move {
            // A dropped sender means that the actor has ended.
            let _ = receiver.await;
        })
    }
}
