//! Tells other gateways the state of this one.
//!
//! The gateways of the own cell are told of every change: those of the own availability zone at once, others, which there
//! are only where the whole fleet is one cell, more seldom. Whoever shares a target that this process uses is told of its
//! requests there.

use std::{
    cell::Cell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::net::UdpSocket;
use samphiredoor_core::placement::{CellId, Distance, GatewayLoad, GatewayState};
use samphiredoor_net::pool::within;

use super::{
    CellStatuses, LocalGateway, Roster, STORE_LOST_AFTER,
    datagram::Datagram,
    listener::send_to_all,
    status::{OwnedJob, Status},
};
use crate::{placement::OwnLoad, routes::Routes, store_health::StoreHealth};

/// Shortest time between two datagrams to gateways of the own region, whose targets are used when the own ones are full.
const REGION_PAUSE: Duration = Duration::from_millis(100);
/// Shortest time between two datagrams beyond the region, where bytes are dear and targets are the last choice.
const FAR_PAUSE: Duration = Duration::from_millis(450);
/// Time after which another cell is told anew what has not changed; loads of a silent gateway are forgotten later.
const REPEAT: Duration = Duration::from_millis(400);
/// Datagrams at each distance that name a job; one of them arrives even where some are lost.
const JOB_REPEATS: u32 = 3;
const FOREVER: Duration = Duration::from_secs(3_600);

/// Tells other gateways the state of this one.
pub struct StatusSender {
    /// This process.
    pub local: LocalGateway,
    /// Socket to send from.
    pub socket: Rc<UdpSocket>,
    /// Other gateways.
    pub roster: Roster,
    /// What the own cell's gateways told.
    pub cell_statuses: CellStatuses,
    /// Routes in force.
    pub routes: Routes,
    /// Whether the store answers.
    pub health: StoreHealth,
    /// Whether a planned stop is under way.
    pub stopping: Rc<Cell<bool>>,
}

/// What is told to the gateways of the own cell at one distance.
struct Audience {
    distance: Distance,
    pause: Duration,
    told_at: Instant,
    /// Whether there is something that they were not told.
    behind: bool,
    /// Whether they hold places that are waited for, so that they are told without a pause.
    urgent: bool,
    jobs: Vec<(OwnedJob, u32)>,
}

impl Audience {
    fn new(distance: Distance, pause: Duration) -> Audience {
        Audience {
            distance,
            pause,
            told_at: Instant::now(),
            behind: false,
            urgent: false,
            jobs: Vec::new(),
        }
    }

    /// Notes that there is something to tell.
    fn behind(&mut self, urgent: bool) {
        self.behind = true;
        self.urgent |= urgent;
    }

    /// Time until they may be told.
    fn left(&self) -> Duration {
        match self.behind {
            true if self.urgent => Duration::ZERO,
            true => self.pause.saturating_sub(self.told_at.elapsed()),
            false => FOREVER,
        }
    }

    /// Jobs to name this time; each is named a few times.
    fn take_jobs(&mut self) -> Vec<OwnedJob> {
        let named: Vec<OwnedJob> = self.jobs.iter().map(|(job, _)| job.clone()).collect();
        for (_, left) in &mut self.jobs {
            *left -= 1;
        }
        self.jobs.retain(|(_, left)| *left > 0);
        named
    }
}

/// What another cell was told last of the requests at its targets.
struct ToldCell {
    loads: Vec<GatewayLoad>,
    at: Instant,
}

impl StatusSender {
    /// Sends a status for each change of the own loads, and for each job that this process comes to own.
    pub async fn run(self, told: flume::Receiver<OwnLoad>, owned: flume::Receiver<OwnedJob>) {
        let mut audiences = [
            Audience::new(Distance::Zone, Duration::ZERO),
            Audience::new(Distance::Region, REGION_PAUSE),
            Audience::new(Distance::OtherRegion, FAR_PAUSE),
        ];
        let mut told_cells = BTreeMap::new();
        let mut requests = GatewayState::default();
        loop {
            let left = audiences.iter().map(Audience::left).min().unwrap_or(FOREVER);
            match within(left, told.recv_async()).await {
                Some(Ok(new)) => {
                    requests = new.state;
                    audiences.iter_mut().for_each(|it| it.behind(new.urgent));
                    self.tell_other_cells(&requests, &mut told_cells).await;
                }
                Some(Err(_)) => return,
                None => {}
            }
            for job in owned.try_iter() {
                audiences.iter_mut().for_each(|it| it.jobs.push((job.clone(), JOB_REPEATS)));
            }
            for audience in audiences.iter_mut().filter(|it| it.left().is_zero()) {
                audience.behind = false;
                audience.urgent = false;
                audience.told_at = Instant::now();
                let status = self.status(requests.clone(), audience.take_jobs());
                self.cell_statuses.told(&status);
                let to = self.roster.mates_at(audience.distance);
                send_to_all(&self.socket, Datagram::Status(status).encode(), to).await;
            }
        }
    }

    /// Tells each other cell of the requests at its targets, once more when there are none left.
    async fn tell_other_cells(
        &self,
        requests: &GatewayState,
        told: &mut BTreeMap<CellId, ToldCell>,
    ) {
        let (cells, own) = (self.roster.cells(), self.roster.own_cell());
        let mut by_cell = cells.loads_of_other_cells(own, &requests.loads);
        for cell in told.keys() {
            by_cell.entry(*cell).or_default();
        }
        for (cell, loads) in by_cell {
            if told.get(&cell).is_some_and(|it| it.loads == loads && it.at.elapsed() < REPEAT) {
                continue;
            }
            let requests = GatewayState { loads: loads.clone(), waiting: Vec::new() };
            let status = self.status(requests, Vec::new());
            let to = self.roster.addresses_in(cell);
            send_to_all(&self.socket, Datagram::Status(status).encode(), to).await;
            if loads.is_empty() {
                told.remove(&cell);
            } else {
                told.insert(cell, ToldCell { loads, at: Instant::now() });
            }
        }
    }

    fn status(&self, requests: GatewayState, jobs: Vec<OwnedJob>) -> Status {
        Status {
            name: self.local.name.to_string(),
            incarnation: self.local.incarnation,
            routes_version: self.routes.version(),
            store_reached: !self.health.is_lost_for(STORE_LOST_AFTER),
            stopping: self.stopping.get(),
            requests,
            jobs,
            seen: self.roster.seen_versions().own(),
            store_silent_ms: self
                .health
                .time_since_answer()
                .map_or(u32::MAX, |it| it.as_millis().try_into().unwrap_or(u32::MAX)),
        }
    }
}
