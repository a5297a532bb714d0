//! Takes what other gateways tell.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::net::UdpSocket;
use samphiredoor_core::Name;

use super::{
    CellStatuses, JobOwners, Owner, Roster,
    datagram::{Datagram, MAX_BYTES},
    status::Status,
    summary::Summary,
};
use crate::{metrics::Metrics, placement::PlacementHandle, store_health::StoreHealth};

/// Takes the datagrams of other gateways.
pub struct Listener {
    /// Socket to receive from.
    pub socket: Rc<UdpSocket>,
    /// Other gateways.
    pub roster: Roster,
    /// What the own cell's gateways told.
    pub cell_statuses: CellStatuses,
    /// Where the loads of others are told.
    pub placement: PlacementHandle,
    /// Where the owners of jobs are told.
    pub owners: JobOwners,
    /// Whether the store answers.
    pub health: StoreHealth,
    /// Counters.
    pub metrics: Rc<Metrics>,
}

impl Listener {
    /// Listens for as long as the process runs.
    pub async fn run(self) {
        loop {
            let buffer = Vec::with_capacity(MAX_BYTES);
            let compio::BufResult(received, buffer) = self.socket.recv_from(buffer).await;
            match received {
                Ok(_) => self.take(&buffer).await,
                Err(err) => log::warn!(problem:% = err; "peers: datagram lost"),
            }
        }
    }

    async fn take(&self, bytes: &[u8]) {
        match Datagram::decode(bytes) {
            Ok(Datagram::Status(status)) => self.take_status(status),
            Ok(Datagram::Summary(summary)) => self.take_summary(summary).await,
            Err(err) => {
                self.metrics.invalid_entry("datagram");
                log::warn!(problem:% = err; "peers: datagram ignored");
            }
        }
    }

    fn take_status(&self, status: Status) {
        let name = Name::from(&*status.name);
        if self.roster.heard(&status) {
            self.metrics.peers(self.roster.live_count());
            self.others_reach_store(status.store_silent_ms);
            for job in &status.jobs {
                let owner = Owner { process: Name::clone(&name), incarnation: status.incarnation };
                self.owners.learn(&job.name, owner);
            }
            if self.roster.is_mate(&name) {
                self.cell_statuses.told(&status);
            }
        }
        // Also of gateways whose entries were not read yet: a process that has just started would take their places for
        // free and fill targets that are full.
        self.placement.set_peer_load(name, status.requests);
    }

    async fn take_summary(&self, mut summary: Summary) {
        if std::mem::take(&mut summary.forward) {
            let bytes = Datagram::Summary(summary.clone()).encode();
            send_to_all(&self.socket, bytes, self.roster.mates()).await;
        }
        if self.roster.is_own_cell(&summary.cell) {
            return;
        }
        let members: Vec<Option<Name>> =
            summary.members.iter().map(|it| self.roster.heard_of(it)).collect();
        self.metrics.peers(self.roster.live_count());
        self.roster.seen_versions().record_peers(&summary.seen);
        self.others_reach_store(summary.store_silent_ms);
        for job in &summary.jobs {
            let place = usize::from(job.member);
            if let (Some(Some(process)), Some(member)) =
                (members.get(place), summary.members.get(place))
            {
                let process = Name::clone(process);
                let owner = Owner { process, incarnation: member.incarnation };
                self.owners.learn(&job.name, owner);
            }
        }
        self.placement.set_peer_load(summary.cell.into(), summary.requests);
    }

    fn others_reach_store(&self, silent_ms: u32) {
        let silent = Duration::from_millis(silent_ms.into());
        if let Some(answered) = Instant::now().checked_sub(silent) {
            self.health.record_peer_answer(answered);
        }
    }
}

/// Sends the same datagram to several gateways.
pub(super) async fn send_to_all(socket: &UdpSocket, mut bytes: Vec<u8>, to: Vec<SocketAddr>) {
    for address in to {
        let compio::BufResult(sent, back) = socket.send_to(bytes, address).await;
        bytes = back;
        if let Err(err) = sent {
            log::debug!(peer:% = address, problem:% = err; "peers: datagram not sent");
        }
    }
}
