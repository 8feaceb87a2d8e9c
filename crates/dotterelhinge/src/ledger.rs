//! The grants that this daemon holds, and the reports to their coordinators.
//!
//! Reports are batched: at most [`MAX_IN_FLIGHT`] are in flight to each
//! coordinator, and entries queued in the meantime go with the next one.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use actix::prelude::*;
use dotterelhinge_policy::health;

use crate::{context, coordinator, peer, wire};

/// Interval at which held grants are renewed.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum duration of a report. Entries of a failed report, except renewals,
/// are sent again with the next one as long as the coordinator is a member.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of entries queued for a coordinator that can't be reached. A
/// new entry on a full queue drops the oldest half; entries of a failed report
/// displace the newest ones. The coordinator releases the grants of a silent
/// holder anyway.
const MAX_QUEUED: usize = 4096;

/// Maximum number of reports in flight to one coordinator. With only one, a
/// settled slot would wait for the round trip of the previous report.
const MAX_IN_FLIGHT: u32 = 4;

/// Time after which a failed report is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Bit of a grant number that was assigned by the holder instead of a
/// coordinator.
const INHERITED_BIT: u64 = 1 << 63;

/// A granted slot in use by an attempt.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    /// Host of the coordinator.
    pub coordinator: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the class.
    pub class: Arc<str>,
    /// Customer of the request.
    pub customer: Arc<str>,
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Term of the grant.
    pub term: u64,
    /// Number of the grant.
    pub id: u64,
}

/// Records a grant that an attempt begins to use.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Hold {
    /// Number of the attempt, unique in this process.
    pub attempt: u64,
    /// The grant.
    pub grant: Grant,
}

/// An attempt has become slow.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Overdue {
    /// Number of the attempt.
    pub attempt: u64,
    /// Time since its first byte.
    pub elapsed: Duration,
}

/// An attempt ended.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Settle {
    /// Number of the attempt.
    pub attempt: u64,
    /// How it ended.
    pub outcome: health::Outcome,
    /// Time from its first byte to its end.
    pub elapsed: Duration,
    /// Whether the upstream announced that it is leaving.
    pub draining: bool,
}

/// A request for a slot is abandoned without an answer.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Cancel {
    /// Host of the coordinator.
    pub(crate) coordinator: Arc<str>,
    /// Name of the service.
    pub(crate) service: Arc<str>,
    /// Number of the request.
    pub(crate) request: u64,
}

/// The platform's host list marks an upstream as leaving.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Leaving {
    /// Name of the service.
    pub(crate) service: Arc<str>,
    /// Name of the upstream.
    pub(crate) upstream: Arc<str>,
}

/// Holds the grants in use and the pending reports to their coordinators.
pub(crate) struct Actor {
    context: Arc<context::Context>,
    local: Addr<coordinator::Actor>,
    client: Option<peer::Client>,
    // By number of the attempt.
    grants: HashMap<u64, Grant>,
    // By host of the coordinator.
    queues: HashMap<Arc<str>, Vec<wire::Entry>>,
    in_flight: HashMap<Arc<str>, u32>,
    next_inherited: u64,
}

impl Actor {
    /// Creates an empty ledger; `local` runs the coordinators of this daemon.
    pub(crate) fn new(context: Arc<context::Context>, local: Addr<coordinator::Actor>) -> Self {
        // Holders number inherited grants themselves, so the numbers of two hosts
        // must differ: 31 bits of the host's hash, followed by a 32-bit counter.
        let salt = dotterelhinge_policy::rendezvous::weight("grant", &context.settings.host);
        Self {
            context,
            local,
            client: None,
            grants: HashMap::new(),
            queues: HashMap::new(),
            in_flight: HashMap::new(),
            next_inherited: INHERITED_BIT | ((salt & 0x7fff_ffff) << 32),
        }
    }

    fn queue(&mut self, coordinator: &Arc<str>, entry: wire::Entry) {
        let queue = self.queues.entry(Arc::clone(coordinator)).or_default();
        if queue.len() >= MAX_QUEUED {
            queue.drain(..MAX_QUEUED / 2);
        }
        queue.push(entry);
    }

    fn address(&self, host: &str) -> Option<SocketAddr> {
        let members = self.context.members.load();
        members.get(host).map(|member| member.address)
    }

    fn flush(&mut self, ctx: &mut Context<Self>, coordinator: &Arc<str>) {
        let in_flight = self.in_flight.get(coordinator).copied().unwrap_or(0);
        if in_flight >= MAX_IN_FLIGHT {
            return;
        }
        let Some(entries) = self.queues.remove(coordinator).filter(|q| !q.is_empty()) else {
            return;
        };
        let report = wire::Report {
            host: Arc::clone(&self.context.settings.host),
            entries,
        };
        self.in_flight
            .insert(Arc::clone(coordinator), in_flight + 1);
        let name = Arc::clone(coordinator);
        if **coordinator == *self.context.settings.host {
            let sent = self.local.send(coordinator::Report(report));
            ctx.spawn(
                sent.into_actor(self).map(move |receipt, actor, ctx| {
                    actor.report_delivered(ctx, &name, receipt.ok())
                }),
            );
            return;
        }
        let (Some(client), Some(address)) = (self.client.clone(), self.address(coordinator)) else {
            // A coordinator that left the member list needs no reports.
            self.report_ended(coordinator);
            return;
        };
        let sent = async move {
            client
                .post::<_, wire::Receipt>(address, "/peer/v1/report", &report, REPORT_TIMEOUT)
                .await
                .map_err(|error| (error, report.entries))
        };
        ctx.spawn(sent.into_actor(self).map(move |sent, actor, ctx| match sent {
            Ok(receipt) => actor.report_delivered(ctx, &name, Some(receipt)),
            Err((error, entries)) => {
                log::debug!(event = "report_failed", coordinator = &*name, error = format!("{error:?}"); "report to a coordinator failed");
                actor.report_ended(&name);
                let newer = actor.queues.remove(&name).unwrap_or_default();
                // Settling a grant twice is harmless: the second entry finds no grant.
                let mut queue = entries;
                queue.retain(|entry| !matches!(entry, wire::Entry::Renew { .. }));
                queue.extend(newer);
                queue.truncate(MAX_QUEUED);
                actor.queues.insert(Arc::clone(&name), queue);
                ctx.run_later(RETRY_INTERVAL, move |actor, ctx| actor.flush(ctx, &name));
            }
        }));
    }

    /// Records that a report is no longer in flight.
    fn report_ended(&mut self, coordinator: &Arc<str>) {
        if let Some(in_flight) = self.in_flight.get_mut(coordinator) {
            *in_flight = in_flight.saturating_sub(1);
        }
    }

    fn report_delivered(
        &mut self,
        ctx: &mut Context<Self>,
        coordinator: &Arc<str>,
        receipt: Option<wire::Receipt>,
    ) {
        self.report_ended(coordinator);
        for status in receipt.unwrap_or_default().statuses {
            self.context
                .update_status(status.service, status.term, status.view);
        }
        self.flush(ctx, coordinator);
    }

    /// Moves grants to the coordinators that the member list assigns now.
    fn move_grants(&mut self) {
        let members = self.context.members.load_full();
        let mut moved = Vec::new();
        for (attempt, grant) in &self.grants {
            if let Some(member) = members.coordinator(&grant.service)
                && member.host != grant.coordinator
            {
                moved.push((*attempt, Arc::clone(&member.host)));
            }
        }
        let mut announced = HashSet::new();
        for (attempt, coordinator) in moved {
            self.next_inherited += 1;
            let id = self.next_inherited;
            let Some(grant) = self.grants.get_mut(&attempt) else {
                continue;
            };
            grant.coordinator = Arc::clone(&coordinator);
            grant.term = 0;
            grant.id = id;
            let grant = grant.clone();
            if announced.insert(Arc::clone(&grant.service))
                && let Some(status) = self.context.status(&grant.service)
            {
                let entry = wire::Entry::Adopt {
                    service: Arc::clone(&grant.service),
                    term: status.term,
                    view: status.view,
                };
                self.queue(&coordinator, entry);
            }
            let entry = wire::Entry::Inherit {
                service: grant.service,
                upstream: grant.upstream,
                class: grant.class,
                customer: grant.customer,
                grant: id,
            };
            self.queue(&coordinator, entry);
        }
    }

    fn renew(&mut self, ctx: &mut Context<Self>) {
        self.move_grants();
        let mut grants: HashMap<(Arc<str>, Arc<str>, u64), Vec<u64>> = HashMap::new();
        for grant in self.grants.values() {
            grants
                .entry((
                    Arc::clone(&grant.coordinator),
                    Arc::clone(&grant.service),
                    grant.term,
                ))
                .or_default()
                .push(grant.id);
        }
        for ((coordinator, service, term), grants) in grants {
            let entry = wire::Entry::Renew {
                service,
                term,
                grants,
            };
            self.queue(&coordinator, entry);
        }
        let coordinators: Vec<_> = self.queues.keys().cloned().collect();
        for coordinator in coordinators {
            self.flush(ctx, &coordinator);
        }
    }
}

impl actix::Actor for Actor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(1024);
        self.client = Some(peer::Client::new(Arc::clone(&self.context)));
        ctx.run_interval(RENEW_INTERVAL, |actor, ctx| actor.renew(ctx));
    }
}

impl Handler<Hold> for Actor {
    type Result = ();

    fn handle(&mut self, hold: Hold, _: &mut Self::Context) {
        self.grants.insert(hold.attempt, hold.grant);
    }
}

impl Handler<Overdue> for Actor {
    type Result = ();

    fn handle(&mut self, overdue: Overdue, ctx: &mut Self::Context) {
        let Some(grant) = self.grants.get(&overdue.attempt).cloned() else {
            return;
        };
        self.queue(
            &grant.coordinator,
            wire::Entry::Overdue {
                service: grant.service,
                term: grant.term,
                grant: grant.id,
                elapsed_us: overdue.elapsed.as_micros() as u64,
            },
        );
        self.flush(ctx, &grant.coordinator);
    }
}

impl Handler<Settle> for Actor {
    type Result = ();

    fn handle(&mut self, settle: Settle, ctx: &mut Self::Context) {
        let Some(grant) = self.grants.remove(&settle.attempt) else {
            return;
        };
        self.queue(
            &grant.coordinator,
            wire::Entry::Settle {
                service: grant.service,
                term: grant.term,
                grant: grant.id,
                outcome: settle.outcome,
                elapsed_us: settle.elapsed.as_micros() as u64,
                draining: settle.draining.then_some(grant.upstream),
            },
        );
        self.flush(ctx, &grant.coordinator);
    }
}

impl Handler<Leaving> for Actor {
    type Result = ();

    fn handle(&mut self, leaving: Leaving, ctx: &mut Self::Context) {
        let members = self.context.members.load_full();
        if let Some(member) = members.coordinator(&leaving.service) {
            let entry = wire::Entry::Leaving {
                service: leaving.service,
                upstream: leaving.upstream,
            };
            self.queue(&member.host, entry);
            self.flush(ctx, &member.host);
        }
    }
}

impl Handler<Cancel> for Actor {
    type Result = ();

    fn handle(&mut self, cancel: Cancel, ctx: &mut Self::Context) {
        let entry = wire::Entry::Cancel {
            service: cancel.service,
            request: cancel.request,
        };
        self.queue(&cancel.coordinator, entry);
        self.flush(ctx, &cancel.coordinator);
    }
}
