//! Sends the status of this gateway to its peers.
//!
//! Gateways of the own cell receive every change: those in the same availability zone immediately, all others at most
//! once per minimum interval (a cell spans several zones only if it is the whole fleet). Gateways of other cells
//! receive the requests that this process has at targets of their cell.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::net::UdpSocket;
use samphiredoor_core::{
    overload::OverloadNews,
    placement::{CellId, Distance, GatewayLoad, GatewayState},
    store::Version,
};
use samphiredoor_net::pool::within;

use super::{
    CellStatuses, LocalGateway, Roster, STORE_LOST_AFTER,
    datagram::Datagram,
    listener::send_to_all,
    status::{OwnedJob, Status},
};
use crate::{
    placement::OwnLoad, routes::Routes, seen_versions::SeenChanges, shutdown::Shutdown,
    store_health::StoreHealth,
};

/// Shortest time between two datagrams to other zones of the own region, whose targets are used only when those of the
/// own zone are full.
const REGION_MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two datagrams to other regions, where traffic is expensive and targets are the last choice.
const OTHER_REGION_MIN_INTERVAL: Duration = Duration::from_millis(450);
/// Time after which unchanged loads are sent to another cell again. Receivers keep the loads of a gateway that stops
/// sending for longer than this.
const RESEND_AFTER: Duration = Duration::from_millis(400);
/// Datagrams at each distance that announce a job, so that one arrives even if some are lost.
const JOB_REPEATS: u32 = 3;
const FOREVER: Duration = Duration::from_secs(3_600);

/// Task that sends the status of this gateway to its peers.
pub struct StatusSender {
    /// Name and incarnation that the statuses carry.
    pub local: LocalGateway,
    /// Socket that datagrams are sent from.
    pub socket: Rc<UdpSocket>,
    /// Addresses and cells of the peers.
    pub roster: Roster,
    /// Receives a copy of each status for the own cell's summaries.
    pub cell_statuses: CellStatuses,
    /// Routes whose version the statuses report.
    pub routes: Routes,
    /// Whether the store responds to this process.
    pub health: StoreHealth,
    /// Graceful shutdown of the process.
    pub shutdown: Shutdown,
}

/// Gateways of the own cell at one distance, and what they have not been sent yet.
struct Recipients {
    distance: Distance,
    min_interval: Duration,
    sent_at: Instant,
    /// Whether the state has changed since the last datagram.
    pending: bool,
    /// Whether online requests here wait for slots that these gateways occupy, so that the minimum interval is skipped.
    urgent: bool,
    /// Jobs to announce, each with the number of datagrams that still include it.
    jobs: Vec<(OwnedJob, u32)>,
}

impl Recipients {
    fn new(distance: Distance, min_interval: Duration) -> Recipients {
        Recipients {
            distance,
            min_interval,
            sent_at: Instant::now(),
            pending: false,
            urgent: false,
            jobs: Vec::new(),
        }
    }

    /// Marks that the state has changed and has to be sent.
    fn mark_pending(&mut self, urgent: bool) {
        self.pending = true;
        self.urgent |= urgent;
    }

    /// Time until the next datagram is due.
    fn time_left(&self) -> Duration {
        match self.pending {
            true if self.urgent => Duration::ZERO,
            true => self.min_interval.saturating_sub(self.sent_at.elapsed()),
            false => FOREVER,
        }
    }

    /// Jobs that the next datagram announces; counts the datagram against their repeats.
    fn take_jobs(&mut self) -> Vec<OwnedJob> {
        let announced: Vec<OwnedJob> = self.jobs.iter().map(|(job, _)| job.clone()).collect();
        for (_, repeats_left) in &mut self.jobs {
            *repeats_left -= 1;
        }
        self.jobs.retain(|(_, repeats_left)| *repeats_left > 0);
        announced
    }
}

/// The requests at another cell's targets that its gateways were last sent.
struct SentLoads {
    loads: Vec<GatewayLoad>,
    at: Instant,
}

impl StatusSender {
    /// Sends a status after each update of this gateway's requests, and includes the jobs whose ownership it has
    /// acquired.
    pub async fn run(self, updates: flume::Receiver<OwnLoad>, owned: flume::Receiver<OwnedJob>) {
        let mut all_recipients = [
            Recipients::new(Distance::Zone, Duration::ZERO),
            Recipients::new(Distance::Region, REGION_MIN_INTERVAL),
            Recipients::new(Distance::OtherRegion, OTHER_REGION_MIN_INTERVAL),
        ];
        let mut sent_to_cells = BTreeMap::new();
        let (mut requests, mut news) = (GatewayState::default(), OverloadNews::default());
        loop {
            let left = all_recipients.iter().map(Recipients::time_left).min().unwrap_or(FOREVER);
            match within(left, updates.recv_async()).await {
                Some(Ok(new)) => {
                    (requests, news) = (new.state, new.news);
                    all_recipients.iter_mut().for_each(|it| it.mark_pending(new.urgent));
                    self.send_to_other_cells(&requests, &mut sent_to_cells).await;
                }
                Some(Err(_)) => return,
                None => {}
            }
            for job in owned.try_iter() {
                all_recipients.iter_mut().for_each(|it| it.jobs.push((job.clone(), JOB_REPEATS)));
            }
            for recipients in all_recipients.iter_mut().filter(|it| it.time_left().is_zero()) {
                recipients.pending = false;
                recipients.urgent = false;
                recipients.sent_at = Instant::now();
                let jobs = recipients.take_jobs();
                let status = self.status(requests.clone(), jobs, news.clone());
                self.cell_statuses.record(&status);
                let to = self.roster.cell_peers_at(recipients.distance);
                send_to_all(&self.socket, Datagram::Status(status).encode(), to).await;
            }
        }
    }

    /// Sends each other cell the requests at its targets, and an empty list once after the last one has ended.
    async fn send_to_other_cells(
        &self,
        requests: &GatewayState,
        sent: &mut BTreeMap<CellId, SentLoads>,
    ) {
        let (cells, own) = (self.roster.cells(), self.roster.own_cell());
        let mut by_cell = cells.loads_of_other_cells(own, &requests.loads);
        for cell in sent.keys() {
            by_cell.entry(*cell).or_default();
        }
        for (cell, loads) in by_cell {
            if sent.get(&cell).is_some_and(|it| it.loads == loads && it.at.elapsed() < RESEND_AFTER)
            {
                continue;
            }
            let requests = GatewayState { loads: loads.clone(), waiting: Vec::new() };
            let status = self.status(requests, Vec::new(), OverloadNews::default());
            let to = self.roster.addresses_in(cell);
            send_to_all(&self.socket, Datagram::Status(status).encode(), to).await;
            if loads.is_empty() {
                sent.remove(&cell);
            } else {
                sent.insert(cell, SentLoads { loads, at: Instant::now() });
            }
        }
    }

    /// Newest changes that this process has seen; none of gateways before it knows all of them.
    fn seen(&self) -> SeenChanges {
        let mut seen = self.roster.seen_versions().own();
        if !self.roster.is_listed() {
            seen.gateways = Version::default();
        }
        seen
    }

    fn status(
        &self,
        requests: GatewayState,
        jobs: Vec<OwnedJob>,
        overload: OverloadNews,
    ) -> Status {
        Status {
            name: self.local.name.to_string(),
            incarnation: self.local.incarnation,
            routes_version: self.routes.version(),
            store_reached: !self.health.is_lost_for(STORE_LOST_AFTER),
            stopping: self.shutdown.has_begun(),
            requests,
            jobs,
            seen: self.seen(),
            store_silent_ms: self
                .health
                .time_since_answer()
                .map_or(u32::MAX, |it| it.as_millis().try_into().unwrap_or(u32::MAX)),
            overload,
        }
    }
}
