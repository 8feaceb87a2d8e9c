//! Sends reports, no more than the host's link carries.

use std::{
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Instant,
};

use dotterelhinge_policy::pacing::{Pacer, Priority};
use tokio::net::UdpSocket;

use crate::{host::Host, peer::report::Report};

/// The way to other daemons.
pub(super) struct Link {
    host: Rc<Host>,
    socket: UdpSocket,
    pacer: Pacer,
}

impl Link {
    /// Creates a link over `socket`.
    pub(super) fn new(host: Rc<Host>, socket: UdpSocket) -> Self {
        Self {
            pacer: Pacer::new(&host.settings.pacing),
            host,
            socket,
        }
    }

    /// Returns the socket, to receive reports.
    pub(super) fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// Returns whether a report of `priority` would be sent at `now`.
    pub(super) fn allows(&mut self, now: Instant, priority: Priority) -> bool {
        self.pacer.allows(now, priority)
    }

    /// Sends a report to all of `to`, or to none of them if the link is busy.
    pub(super) fn send(
        &mut self,
        now: Instant,
        priority: Priority,
        report: &Report,
        to: &[Ipv4Addr],
    ) {
        self.send_all(now, priority, std::slice::from_ref(report), to);
    }

    /// Sends all of `reports` to all of `to`, or nothing if the link is busy: some of
    /// the parts of a change are of no use.
    pub(super) fn send_all(
        &mut self,
        now: Instant,
        priority: Priority,
        reports: &[Report],
        to: &[Ipv4Addr],
    ) {
        if to.is_empty() {
            return;
        }
        let encoded: Result<Vec<_>, _> = reports.iter().map(Report::encode).collect();
        let encoded = match encoded {
            Ok(encoded) => encoded,
            Err(error) => {
                log::error!(event = "report_not_encoded", error = error.to_string(); "failed to encode a report");
                return;
            }
        };
        let metrics = &self.host.metrics;
        let bytes = encoded.iter().map(Vec::len).sum::<usize>() * to.len();
        let datagrams = (encoded.len() * to.len()) as u64;
        if !self.pacer.admit(now, priority, bytes) {
            metrics.datagrams_held_back.add(datagrams);
            return;
        }
        metrics.datagrams_sent.add(datagrams);
        metrics.datagram_bytes_sent.add(bytes as u64);
        let members = self.host.members.borrow();
        let others = to
            .iter()
            .filter(|to| members.is_in_other_zone(**to))
            .count();
        let bytes_each = bytes / to.len();
        metrics
            .zone_bytes
            .evidence_sent
            .add((bytes_each * others) as u64);
        for datagram in &encoded {
            for address in to {
                self.send_one(datagram, *address);
            }
        }
    }

    fn send_one(&self, datagram: &[u8], to: Ipv4Addr) {
        let peer = SocketAddr::from((to, self.host.settings.peer_port));
        if let Err(error) = self.socket.try_send_to(datagram, peer) {
            // The send buffer is full. Counts and lists are repeated, and a newer
            // catalog is noticed later; outcomes are lost.
            log::debug!(event = "report_not_sent", peer = peer.to_string(), error = error.to_string(); "report not sent");
        }
    }
}
