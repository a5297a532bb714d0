//! Tells other cells what the own cell's gateways have told each other.
//!
//! Two gateways of each cell speak for it, and the next one as soon as one of them is not heard any more. Each tells one
//! gateway of each other cell, which passes it on in its own.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use compio::net::UdpSocket;
use samphiredoor_core::placement::{CellId, Distance, summary_interval_ms};

use super::{CellStatuses, Roster, datagram::Datagram, listener::send_to_all};

/// How often a process whose fleet is one cell looks whether there are others by now.
const ALONE_PAUSE: Duration = Duration::from_millis(800);

/// Speaks for the own cell while that is this process's part.
pub struct SummarySender {
    /// Socket to send from.
    pub socket: Rc<UdpSocket>,
    /// Other gateways.
    pub roster: Roster,
    /// What the own cell's gateways told.
    pub cell_statuses: CellStatuses,
}

impl SummarySender {
    /// Speaks for as long as the process runs.
    pub async fn run(self) {
        let mut far_told = Instant::now();
        loop {
            let (near, far) = self.other_cells();
            if near.is_empty() && far.is_empty() {
                compio::time::sleep(ALONE_PAUSE).await;
                continue;
            }
            compio::time::sleep(pause(Distance::Region, &near)).await;
            if !self.roster.speaks() {
                continue;
            }
            for cell in near {
                self.tell(cell).await;
            }
            if far_told.elapsed() >= pause(Distance::OtherRegion, &far) {
                far_told = Instant::now();
                for cell in far {
                    self.tell(cell).await;
                }
            }
        }
    }

    /// Other cells in the own region, and beyond it.
    fn other_cells(&self) -> (Vec<CellId>, Vec<CellId>) {
        let (cells, own) = (self.roster.cells(), self.roster.own_cell());
        let others = cells.ids().filter(|it| Some(*it) != own);
        others.partition(|it| {
            let location = cells.location(*it);
            location.is_some_and(|it| {
                Distance::between(&self.roster.local().location, it) != Distance::OtherRegion
            })
        })
    }

    async fn tell(&self, cell: CellId) {
        let Some(address) = self.roster.any_in(cell) else { return };
        let Some(summary) = self.cell_statuses.summary(&self.roster, cell) else { return };
        let bytes = Datagram::Summary(summary).encode();
        send_to_all(&self.socket, bytes, vec![address]).await;
    }
}

fn pause(distance: Distance, cells: &[CellId]) -> Duration {
    Duration::from_millis(summary_interval_ms(distance, cells.len()))
}
