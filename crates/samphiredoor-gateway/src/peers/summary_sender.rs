//! Sends summaries of the own cell's state to the other cells.
//!
//! The first two live gateways of a cell, in order of name, send its summaries; when one of them times out, the next
//! one takes its place. Each sends a summary to one gateway of every other cell, which forwards it within its own cell.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use compio::net::UdpSocket;
use samphiredoor_core::placement::{CellId, Distance, summary_interval_ms};

use super::{CellStatuses, Roster, datagram::Datagram, listener::send_to_all};

/// Interval at which a process whose fleet is a single cell checks for other cells.
const SINGLE_CELL_POLL_INTERVAL: Duration = Duration::from_millis(800);

/// Task that sends the own cell's summaries while this process is one of the cell's summary senders.
pub struct SummarySender {
    /// Socket that datagrams are sent from.
    pub socket: Rc<UdpSocket>,
    /// Addresses and cells of the gateways.
    pub roster: Roster,
    /// Latest statuses of the own cell's gateways, which the summaries are built from.
    pub cell_statuses: CellStatuses,
}

impl SummarySender {
    /// Runs until the process ends.
    pub async fn run(self) {
        let mut other_regions_sent_at = Instant::now();
        loop {
            let (same_region, other_regions) = self.split_other_cells();
            if same_region.is_empty() && other_regions.is_empty() {
                compio::time::sleep(SINGLE_CELL_POLL_INTERVAL).await;
                continue;
            }
            compio::time::sleep(summary_interval(Distance::Region, &same_region)).await;
            if !self.roster.sends_summaries() {
                continue;
            }
            for cell in same_region {
                self.send_summary(cell).await;
            }
            if other_regions_sent_at.elapsed()
                >= summary_interval(Distance::OtherRegion, &other_regions)
            {
                other_regions_sent_at = Instant::now();
                for cell in other_regions {
                    self.send_summary(cell).await;
                }
            }
        }
    }

    /// The other cells of the own region, and the cells of other regions.
    fn split_other_cells(&self) -> (Vec<CellId>, Vec<CellId>) {
        let (cells, own) = (self.roster.cells(), self.roster.own_cell());
        let others = cells.ids().filter(|it| Some(*it) != own);
        others.partition(|it| {
            let location = cells.location(*it);
            location.is_some_and(|it| {
                Distance::between(&self.roster.local().location, it) != Distance::OtherRegion
            })
        })
    }

    async fn send_summary(&self, cell: CellId) {
        let Some(address) = self.roster.random_address_in(cell) else { return };
        let Some(summary) = self.cell_statuses.summary(&self.roster, cell) else { return };
        let bytes = Datagram::Summary(summary).encode();
        send_to_all(&self.socket, bytes, vec![address]).await;
    }
}

fn summary_interval(distance: Distance, cells: &[CellId]) -> Duration {
    Duration::from_millis(summary_interval_ms(distance, cells.len()))
}
