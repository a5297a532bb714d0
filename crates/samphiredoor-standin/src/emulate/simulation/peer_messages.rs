//! State updates that gateways send to the peers of their cell and to other cells, and summaries that cells send each
//! other.

use std::rc::Rc;

use rand::Rng;
use samphiredoor_core::{
    Name,
    placement::{
        CellId, Distance, GatewayLoad, GatewayState, Input, sum_states, summary_interval_ms,
    },
};

use super::{Event, START_US, Simulation, gateways::number_of};
use crate::emulate::mechanism::Mechanism;

/// Minimum time between two state updates of a gateway, and interval of its ticks.
pub const SEND_INTERVAL_MS: u64 = 20;
/// Time after which a gateway sends its state even if unchanged, and interval of its placement's ticks while no online
/// request waits.
pub const IDLE_INTERVAL_MS: u64 = 500;
/// Minimum time between two updates to the cell's gateways in other zones of the region, unless urgent.
const REGION_INTERVAL_MS: u64 = 100;
/// Minimum time between two updates to the cell's gateways in other regions, unless urgent.
const FAR_INTERVAL_MS: u64 = 450;
/// Time after which unchanged loads are sent to another cell again.
const REPEAT_INTERVAL_MS: u64 = 400;
/// Time without an update after which a gateway's requests count as ended and are left out of summaries.
const PEER_TIMEOUT_MS: u64 = 1_600;
/// Live gateways of a cell that send its summaries.
const SENDERS_PER_CELL: usize = 2;

/// Peers of the same cell at one distance, and the state of the updates to them.
#[derive(Debug, Clone, Copy)]
pub struct PeerGroup {
    distance: Distance,
    interval_ms: u64,
    sent_ms: u64,
    has_unsent: bool,
    is_urgent: bool,
}

impl PeerGroup {
    fn new(distance: Distance, interval_ms: u64) -> PeerGroup {
        PeerGroup { distance, interval_ms, sent_ms: 0, has_unsent: false, is_urgent: false }
    }

    fn is_due(&self, now_ms: u64) -> bool {
        self.has_unsent && (self.is_urgent || now_ms >= self.sent_ms + self.interval_ms)
    }
}

/// Loads at another cell's targets that were last sent to that cell.
#[derive(Debug)]
pub struct SentToCell {
    loads: Vec<GatewayLoad>,
    at_ms: u64,
}

/// Groups of the peers of the same cell, by distance.
pub fn peer_groups() -> [PeerGroup; 3] {
    [
        PeerGroup::new(Distance::Zone, 0),
        PeerGroup::new(Distance::Region, REGION_INTERVAL_MS),
        PeerGroup::new(Distance::OtherRegion, FAR_INTERVAL_MS),
    ]
}

impl Simulation<'_> {
    /// Sends a gateway's state where an update is due, after a change or the idle interval.
    pub(super) fn send_updates(&mut self, number: usize) {
        let now_ms = self.now_ms();
        let sends_urgently = self.is_enabled(Mechanism::UrgentUpdates);
        let shares_slots = self.is_enabled(Mechanism::SharedSlots);
        let gateway = &mut self.gateways[number];
        if now_ms < gateway.sent_ms + SEND_INTERVAL_MS {
            return;
        }
        let is_idle = now_ms >= gateway.sent_ms + IDLE_INTERVAL_MS;
        let changed = gateway.placement.take_changed_state();
        let state = changed.or_else(|| is_idle.then(|| gateway.placement.state()));
        if let Some(mut state) = state {
            if !shares_slots {
                state.waiting.clear();
            }
            let is_urgent = gateway.placement.take_needs_peer_preemption() && sends_urgently;
            gateway.sent_ms = now_ms;
            gateway.sent_state = Rc::new(state);
            for group in &mut gateway.peer_groups {
                group.has_unsent = true;
                group.is_urgent |= is_urgent;
            }
            self.send_to_other_cells(number);
        }
        self.send_to_peers(number);
    }

    /// Sends the last state to the groups of peers for which an update is due.
    fn send_to_peers(&mut self, number: usize) {
        let now_ms = self.now_ms();
        let gateway = &mut self.gateways[number];
        let (name, state) = (Name::clone(&gateway.name), Rc::clone(&gateway.sent_state));
        let mut due = Vec::new();
        for group in gateway.peer_groups.iter_mut().filter(|it| it.is_due(now_ms)) {
            group.sent_ms = now_ms;
            group.has_unsent = false;
            group.is_urgent = false;
            due.push(group.distance);
        }
        if due.is_empty() {
            return;
        }
        gateway.received.insert(Name::clone(&name), (now_ms, Rc::clone(&state)));
        for peer in self.peers(number) {
            let distance =
                Distance::between(&self.gateways[number].location, &self.gateways[peer].location);
            if due.contains(&distance) {
                self.send_message(number, peer, Name::clone(&name), &state, false);
            }
        }
    }

    /// Sends other cells the loads at their targets, if changed or not sent for [`REPEAT_INTERVAL_MS`]. Cells without
    /// a load any more get an empty update.
    fn send_to_other_cells(&mut self, number: usize) {
        if self.cells.len() <= 1 {
            return;
        }
        let now_ms = self.now_ms();
        let gateway = &mut self.gateways[number];
        let own = self.cells.cell_of_gateway(&gateway.name);
        let mut by_cell = self.cells.loads_of_other_cells(own, &gateway.sent_state.loads);
        for cell in gateway.sent_to_cells.keys() {
            by_cell.entry(*cell).or_default();
        }
        for (cell, loads) in by_cell {
            let gateway = &mut self.gateways[number];
            let last_sent = gateway.sent_to_cells.get(&cell);
            if last_sent
                .is_some_and(|it| it.loads == loads && now_ms < it.at_ms + REPEAT_INTERVAL_MS)
            {
                continue;
            }
            match loads.is_empty() {
                true => gateway.sent_to_cells.remove(&cell),
                false => gateway
                    .sent_to_cells
                    .insert(cell, SentToCell { loads: loads.clone(), at_ms: now_ms }),
            };
            let name = Name::clone(&gateway.name);
            let state = Rc::new(GatewayState { loads, waiting: Vec::new() });
            for to in self.gateways_of(cell) {
                self.send_message(number, to, Name::clone(&name), &state, false);
            }
        }
    }

    fn send_message(
        &mut self,
        from: usize,
        to: usize,
        name: Name,
        state: &Rc<GatewayState>,
        forwards: bool,
    ) {
        self.outcome.messages += 1;
        let (from, receiver) = (&self.gateways[from].location, &self.gateways[to].location);
        if let Some(latency_us) = self.network.message_latency_us(from, receiver) {
            let state = Rc::clone(state);
            let message = Event::Message { to, from: name, state, forwards };
            self.events.push(self.now_us + latency_us, message);
        }
    }

    pub(super) fn receive_message(
        &mut self,
        to: usize,
        from: Name,
        state: Rc<GatewayState>,
        forwards: bool,
    ) {
        if !self.gateways[to].is_up() {
            return;
        }
        if forwards {
            for peer in self.peers(to) {
                self.send_message(to, peer, Name::clone(&from), &state, false);
            }
        }
        let now_ms = self.now_ms();
        let receiver = &mut self.gateways[to];
        if self.cells.cell_of_gateway(&from).is_some()
            && self.cells.cell_of_gateway(&from) == self.cells.cell_of_gateway(&receiver.name)
        {
            receiver.received.insert(Name::clone(&from), (now_ms, Rc::clone(&state)));
        }
        self.input(to, Input::Peer { peer: from, state: (*state).clone() });
    }

    /// Sends the summaries of all cells, to cells in other regions if `is_far`, otherwise to those in the same region.
    pub(super) fn send_summaries(&mut self, is_far: bool) {
        let distance = if is_far { Distance::OtherRegion } else { Distance::Region };
        let mut interval_ms = summary_interval_ms(distance, 1);
        for cell in self.cells.ids() {
            let others = self.other_cells(cell, is_far);
            interval_ms = interval_ms.max(summary_interval_ms(distance, others.len()));
            let members = self.gateways_of(cell);
            let senders = members.into_iter().filter(|it| self.gateways[*it].is_up());
            for sender in senders.take(SENDERS_PER_CELL).collect::<Vec<_>>() {
                for other in &others {
                    self.send_summary(cell, sender, *other);
                }
            }
        }
        if self.now_us == START_US {
            // No gateway has sent its state yet.
            interval_ms = interval_ms.max(IDLE_INTERVAL_MS);
        }
        self.events.push(self.after_ms(interval_ms), Event::Summaries { is_far });
    }

    /// Sends the sum of a cell's live states, without loads at the receiving cell's targets, to one gateway of that
    /// cell, which forwards it to its peers.
    fn send_summary(&mut self, cell: CellId, sender: usize, to: CellId) {
        let received = self.gateways[sender].received.values();
        let live =
            received.filter(|(received_ms, _)| self.now_ms() < received_ms + PEER_TIMEOUT_MS);
        let received = live.map(|(_, state)| &**state);
        let sum = Rc::new(sum_states(received, |it| self.cells.cell_of_target(it) == Some(to)));
        let Some(name) = self.cells.name(cell) else { return };
        let members = self.gateways_of(to);
        if !members.is_empty() {
            let receiver = members[self.rng.random_range(0..members.len())];
            self.send_message(sender, receiver, name, &sum, true);
        }
    }

    /// Other gateways of the same cell.
    fn peers(&self, number: usize) -> Vec<usize> {
        let own = self.cells.cell_of_gateway(&self.gateways[number].name);
        let mut peers = own.map(|it| self.gateways_of(it)).unwrap_or_default();
        peers.retain(|it| *it != number);
        peers
    }

    fn gateways_of(&self, cell: CellId) -> Vec<usize> {
        self.cells.gateways(cell).iter().filter_map(|it| number_of(it)).collect()
    }

    fn other_cells(&self, cell: CellId, is_far: bool) -> Vec<CellId> {
        let Some(own) = self.cells.location(cell) else { return Vec::new() };
        let others = self.cells.ids().filter(|it| *it != cell);
        others
            .filter(|it| {
                let location = self.cells.location(*it);
                location.is_some_and(|it| {
                    (Distance::between(own, it) == Distance::OtherRegion) == is_far
                })
            })
            .collect()
    }
}
