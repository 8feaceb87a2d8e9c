//! Sends and receives reports between daemons.

use std::{
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::net::UdpSocket;

use crate::{
    host::Host,
    peer::report::{Hello, Report},
    replication::Fetch,
};

/// Time for which outcomes are collected into one report.
const COLLECT: Duration = Duration::from_millis(20);

/// Time between reports of a host that has nothing new to tell.
const PERIOD: Duration = Duration::from_millis(500);

/// A gap between two ticks from which the process counts as having stood
/// still.
const PAUSE: Duration = Duration::from_secs(1);

/// Sends and receives until the process ends.
pub(crate) struct Exchange {
    host: Rc<Host>,
    socket: UdpSocket,
    fetch: Fetch,
    incarnation: u64,
    sequence: u32,
    told: Vec<(u64, u8)>,
    reported: Option<Instant>,
    ticked: Option<(Instant, Duration)>,
}

impl Exchange {
    /// An exchange over `socket`; `fetch` gets what a report shows to be newer
    /// elsewhere.
    pub(crate) fn new(host: Rc<Host>, socket: UdpSocket, fetch: Fetch) -> Self {
        Self {
            host,
            socket,
            fetch,
            incarnation: rand::random(),
            sequence: 0,
            told: Vec::new(),
            reported: None,
            ticked: None,
        }
    }

    /// Runs the exchange.
    pub(crate) async fn run(mut self) {
        let mut buffer = vec![0; 64 << 10];
        let mut tick = tokio::time::interval(COLLECT);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let host = Rc::clone(&self.host);
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(&buffer[..length], from),
                    Err(error) => {
                        // An earlier datagram met a closed port; the member list notices.
                        log::debug!(event = "datagram_refused", error = error.to_string(); "a peer's port is closed");
                    }
                },
                () = host.urgent.notified() => self.tick(),
                _ = tick.tick() => self.tick(),
            }
        }
    }

    fn tick(&mut self) {
        let now = self.host.now();
        self.notice_pause(now);
        let lost = self.host.members.borrow_mut().expire(now);
        self.host.evidence.borrow_mut().told(now, &lost, &[]);
        let in_use = self.host.evidence.borrow().in_use();
        let periodic = self
            .reported
            .is_none_or(|reported| now.saturating_duration_since(reported) >= PERIOD);
        let outbox = self.host.outbox.take();
        let news = !outbox.outcomes.is_empty() || outbox.delta.is_some() || in_use != self.told;
        if !periodic && !news {
            return;
        }
        let replica = self.host.replica.borrow();
        let standing = replica.standing(now);
        self.host
            .shared
            .show_catalog(replica.catalog(), standing, now);
        drop(replica);
        self.sequence += 1;
        let mut report = Report {
            origin: self.host.settings.address.to_bits(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            relay: false,
            hello: None,
            outcomes: outbox.outcomes,
            in_use: (in_use != self.told).then(|| in_use.clone()),
            standing,
            delta: outbox.delta,
        };
        self.told = in_use;
        if periodic {
            self.reported = Some(now);
            report.in_use = Some(self.told.clone());
            report.hello = Some(Hello {
                name: self.host.settings.host.clone(),
                availability_zone: self.host.settings.availability_zone.clone(),
                leaving: self.host.stopping.get(),
            });
        }
        self.spread(now, &mut report, periodic);
    }

    /// Distrusts the copy of the catalog if the process or its machine stood
    /// still since the last tick.
    fn notice_pause(&mut self, now: Instant) {
        let uptime = self.host.clock.uptime();
        if let Some((last, last_uptime)) = self.ticked.replace((now, uptime)) {
            let gap = now
                .saturating_duration_since(last)
                .max(uptime.saturating_sub(last_uptime));
            if gap >= PAUSE {
                log::warn!(event = "paused", gap_ms = gap.as_millis() as u64; "the process stood still");
                self.host.replica.borrow_mut().doubt();
            }
        }
    }

    fn spread(&mut self, now: Instant, report: &mut Report, greet: bool) {
        let mut members = self.host.members.borrow_mut();
        let mut direct: Vec<Ipv4Addr> = members.neighbours(now).collect();
        if greet {
            direct.extend(members.greet(now));
        }
        let relays = members.relays(now, &mut *self.host.rng.borrow_mut());
        drop(members);
        self.send(report, &direct);
        report.relay = true;
        self.send(report, &relays);
    }

    fn send(&self, report: &Report, to: &[Ipv4Addr]) {
        if to.is_empty() {
            return;
        }
        let bytes = match report.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(event = "report_not_encoded", error = error.to_string(); "report can't be encoded");
                return;
            }
        };
        for address in to {
            let peer = SocketAddr::from((*address, self.host.settings.peer_port));
            if let Err(error) = self.socket.try_send_to(&bytes, peer) {
                // Reports are repeated; a full send buffer only delays them.
                log::debug!(event = "report_not_sent", peer = peer.to_string(), error = error.to_string(); "report not sent");
            }
        }
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        let mut report = match Report::decode(bytes) {
            Ok(report) => report,
            Err(error) => {
                log::warn!(event = "report_unreadable", from = from.to_string(), error = error.to_string(); "report can't be read");
                return;
            }
        };
        let now = self.host.now();
        let origin = Ipv4Addr::from_bits(report.origin);
        if !self.note(now, origin, &mut report) {
            return;
        }
        if report.relay {
            report.relay = false;
            let neighbours: Vec<_> = self.host.members.borrow().neighbours(now).collect();
            self.send(&report, &neighbours);
        }
        let mut replica = self.host.replica.borrow_mut();
        let changed = report
            .delta
            .as_ref()
            .is_some_and(|delta| replica.apply(now, delta));
        let behind = replica.compare(now, &report.standing);
        drop(replica);
        if changed {
            self.host.catalog_changed();
        }
        if behind {
            self.fetch.from(origin);
        }
    }

    /// Takes a report's evidence into account, unless it was seen before.
    fn note(&self, now: Instant, origin: Ipv4Addr, report: &mut Report) -> bool {
        let mut members = self.host.members.borrow_mut();
        let Some((member, newest)) = members.hear(
            now,
            origin,
            report.incarnation,
            report.sequence,
            report.hello.as_ref(),
        ) else {
            return false;
        };
        let mut evidence = self.host.evidence.borrow_mut();
        // Relays may pass two reports of a host on in the wrong order.
        if let Some(in_use) = &report.in_use
            && newest
        {
            evidence.told(now, &member.in_use, in_use);
            member.in_use.clone_from(in_use);
        }
        for seen in &report.outcomes {
            let shift = evidence.observe(now, seen);
            self.host.log_shift(now, shift, seen, &member.name);
        }
        true
    }
}
