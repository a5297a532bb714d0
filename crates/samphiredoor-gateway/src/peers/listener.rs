//! Receives the datagrams of other gateways.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::net::UdpSocket;
use samphiredoor_core::Name;

use super::{
    CellStatuses, CrashReports, JobOwners, Owner, Roster, RunLimits, StreamOrigins,
    datagram::{Datagram, MAX_BYTES},
    status::Status,
    summary::Summary,
};
use crate::{metrics::Metrics, placement::PlacementHandle, store_health::StoreHealth};

/// Task that receives datagrams and applies them to the state of this process.
pub struct Listener {
    /// Socket that datagrams are received on.
    pub socket: Rc<UdpSocket>,
    /// Updated with the state of the senders.
    pub roster: Roster,
    /// Updated with the statuses of the own cell's gateways.
    pub cell_statuses: CellStatuses,
    /// Updated with the requests of other gateways at targets.
    pub placement: PlacementHandle,
    /// Updated with the owners of jobs.
    pub owners: JobOwners,
    /// Gets the messages on rate limits.
    pub run_limits: RunLimits,
    /// Gets the messages on requests that crash targets.
    pub crash_reports: CrashReports,
    /// Gets the messages on the origins of streams.
    pub stream_origins: StreamOrigins,
    /// Updated with the time since the store last responded to others.
    pub health: StoreHealth,
    /// Counts unreadable datagrams and live peers.
    pub metrics: Rc<Metrics>,
}

impl Listener {
    /// Runs until the process ends.
    pub async fn run(self) {
        loop {
            let buffer = Vec::with_capacity(MAX_BYTES);
            let compio::BufResult(received, buffer) = self.socket.recv_from(buffer).await;
            match received {
                Ok((_, from)) => self.apply(&buffer, from).await,
                Err(err) => log::warn!(problem:% = err; "peers: cannot receive a datagram"),
            }
        }
    }

    async fn apply(&self, bytes: &[u8], from: SocketAddr) {
        match Datagram::decode(bytes) {
            Ok(Datagram::Status(status)) => {
                if status.knows_gateways() {
                    self.roster.record_introducer(from);
                }
                self.apply_status(status);
            }
            Ok(Datagram::Summary(summary)) => self.apply_summary(summary).await,
            Ok(Datagram::RunReport(report)) => self.run_limits.reported(report, from),
            Ok(Datagram::RunGrant(grant)) => self.run_limits.granted(grant),
            Ok(Datagram::CrashReport(news)) => self.crash_reports.reported(news),
            Ok(Datagram::CrashVerdict(verdict)) => self.crash_reports.told_by(verdict, from),
            Ok(Datagram::TrialQuestion(question)) => self.crash_reports.asked(question, from),
            Ok(Datagram::TrialAnswer(answer)) => self.crash_reports.answered_trial(answer),
            Ok(Datagram::StreamOrigin(record)) => self.stream_origins.recorded(record),
            Ok(Datagram::OriginQuestion(question)) => self.stream_origins.asked(question, from),
            Ok(Datagram::OriginAnswer(answer)) => self.stream_origins.answered(answer),
            Err(err) => {
                self.metrics.invalid_entry("datagram");
                log::warn!(problem:% = err; "peers: unreadable datagram ignored");
            }
        }
    }

    fn apply_status(&self, status: Status) {
        let name = Name::from(&*status.name);
        if self.roster.apply_status(&status) {
            self.metrics.peers(self.roster.live_count());
            self.note_store_response(status.store_silent_ms);
            for job in &status.jobs {
                let owner = Owner { process: Name::clone(&name), incarnation: status.incarnation };
                self.owners.record(&job.name, owner);
            }
            if self.roster.is_in_own_cell(&name) {
                self.cell_statuses.record(&status);
            }
        }
        // This includes gateways whose entries have not been read yet. Otherwise a process that has just started would
        // count their slots as free and overload targets that are full.
        self.placement.set_peer_news(Name::clone(&name), status.overload);
        self.placement.set_peer_load(name, status.requests);
    }

    async fn apply_summary(&self, mut summary: Summary) {
        if std::mem::take(&mut summary.forward) {
            let bytes = Datagram::Summary(summary.clone()).encode();
            send_to_all(&self.socket, bytes, self.roster.cell_peers()).await;
        }
        if self.roster.is_own_cell(&summary.cell) {
            return;
        }
        let members: Vec<Option<Name>> =
            summary.members.iter().map(|it| self.roster.apply_member(it)).collect();
        self.metrics.peers(self.roster.live_count());
        self.roster.seen_versions().record_peers(&summary.seen);
        self.note_store_response(summary.store_silent_ms);
        for job in &summary.jobs {
            let index = usize::from(job.member);
            if let (Some(Some(process)), Some(member)) =
                (members.get(index), summary.members.get(index))
            {
                let process = Name::clone(process);
                let owner = Owner { process, incarnation: member.incarnation };
                self.owners.record(&job.name, owner);
            }
        }
        let cell = Name::from(summary.cell);
        self.placement.set_peer_news(Name::clone(&cell), summary.overload);
        self.placement.set_peer_load(cell, summary.requests);
    }

    /// Notes that the store responded to another process `store_silent_ms` ago.
    fn note_store_response(&self, store_silent_ms: u32) {
        let elapsed = Duration::from_millis(store_silent_ms.into());
        if let Some(responded_at) = Instant::now().checked_sub(elapsed) {
            self.health.record_peer_answer(responded_at);
        }
    }
}

/// Sends one datagram to several gateways; failures are only logged, as any datagram may be lost.
pub(super) async fn send_to_all(socket: &UdpSocket, mut bytes: Vec<u8>, to: Vec<SocketAddr>) {
    for address in to {
        let compio::BufResult(sent, back) = socket.send_to(bytes, address).await;
        bytes = back;
        if let Err(err) = sent {
            log::debug!(peer:% = address, problem:% = err; "peers: datagram not sent");
        }
    }
}
