//! What gateways tell each other of their requests, and when.

use std::rc::Rc;

use rand::Rng;
use samphiredoor_core::{
    Name,
    placement::{
        CellId, Distance, GatewayLoad, GatewayState, Input, sum_states, summary_interval_ms,
    },
};

use super::{Event, START_US, World, gateways::number_of};
use crate::emulate::mechanism::Mechanism;

/// Shortest time between two messages on the own requests, and time between two looks at what waits.
pub const TELL_PAUSE_MS: u64 = 20;
/// Time after which a gateway speaks without a change.
pub const IDLE_MS: u64 = 500;
/// Shortest time between two messages to the cell's gateways in other zones of the region.
const REGION_PAUSE_MS: u64 = 100;
/// Shortest time between two messages to the cell's gateways beyond the region.
const FAR_PAUSE_MS: u64 = 450;
/// Time after which another cell is told anew what has not changed.
const REPEAT_MS: u64 = 400;
/// Silence after which a gateway's requests count as ended.
const SILENT_MS: u64 = 1_600;
/// Gateways that speak for a cell.
const SPEAKERS: usize = 2;

/// The gateways of the own cell at one distance.
#[derive(Debug, Clone, Copy)]
pub struct Audience {
    distance: Distance,
    pause_ms: u64,
    told_ms: u64,
    is_behind: bool,
    is_urgent: bool,
}

impl Audience {
    fn new(distance: Distance, pause_ms: u64) -> Audience {
        Audience { distance, pause_ms, told_ms: 0, is_behind: false, is_urgent: false }
    }

    fn is_due(&self, now_ms: u64) -> bool {
        self.is_behind && (self.is_urgent || now_ms >= self.told_ms + self.pause_ms)
    }
}

/// What another cell was told last of the requests at its targets.
#[derive(Debug)]
pub struct ToldCell {
    loads: Vec<GatewayLoad>,
    at_ms: u64,
}

/// The gateways of the own cell, by distance.
pub fn audiences() -> [Audience; 3] {
    [
        Audience::new(Distance::Zone, 0),
        Audience::new(Distance::Region, REGION_PAUSE_MS),
        Audience::new(Distance::OtherRegion, FAR_PAUSE_MS),
    ]
}

impl World<'_> {
    pub(super) fn tell(&mut self, number: usize) {
        let now_ms = self.now_ms();
        let has_urgent_word = self.has(Mechanism::UrgentWord);
        let has_shares = self.has(Mechanism::Shares);
        let gateway = &mut self.gateways[number];
        if now_ms < gateway.told_ms + TELL_PAUSE_MS {
            return;
        }
        let is_silent = now_ms >= gateway.told_ms + IDLE_MS;
        let changed = gateway.placement.take_changed_state();
        let state = changed.or_else(|| is_silent.then(|| gateway.placement.state()));
        if let Some(mut state) = state {
            if !has_shares {
                state.waiting.clear();
            }
            let is_urgent = gateway.placement.take_needs_peer_preemption() && has_urgent_word;
            gateway.told_ms = now_ms;
            gateway.told = Rc::new(state);
            for audience in &mut gateway.audiences {
                audience.is_behind = true;
                audience.is_urgent |= is_urgent;
            }
            self.tell_other_cells(number);
        }
        self.tell_mates(number);
    }

    fn tell_mates(&mut self, number: usize) {
        let now_ms = self.now_ms();
        let gateway = &mut self.gateways[number];
        let (name, state) = (Name::clone(&gateway.name), Rc::clone(&gateway.told));
        let mut due = Vec::new();
        for audience in gateway.audiences.iter_mut().filter(|it| it.is_due(now_ms)) {
            audience.told_ms = now_ms;
            audience.is_behind = false;
            audience.is_urgent = false;
            due.push(audience.distance);
        }
        if due.is_empty() {
            return;
        }
        gateway.heard.insert(Name::clone(&name), (now_ms, Rc::clone(&state)));
        for mate in self.mates(number) {
            let distance =
                Distance::between(&self.gateways[number].location, &self.gateways[mate].location);
            if due.contains(&distance) {
                self.send(number, mate, Name::clone(&name), &state, false);
            }
        }
    }

    fn tell_other_cells(&mut self, number: usize) {
        if self.cells.len() <= 1 {
            return;
        }
        let now_ms = self.now_ms();
        let gateway = &mut self.gateways[number];
        let own = self.cells.cell_of_gateway(&gateway.name);
        let mut by_cell = self.cells.loads_of_other_cells(own, &gateway.told.loads);
        for cell in gateway.told_cells.keys() {
            by_cell.entry(*cell).or_default();
        }
        for (cell, loads) in by_cell {
            let gateway = &mut self.gateways[number];
            let told = gateway.told_cells.get(&cell);
            if told.is_some_and(|it| it.loads == loads && now_ms < it.at_ms + REPEAT_MS) {
                continue;
            }
            match loads.is_empty() {
                true => gateway.told_cells.remove(&cell),
                false => gateway
                    .told_cells
                    .insert(cell, ToldCell { loads: loads.clone(), at_ms: now_ms }),
            };
            let name = Name::clone(&gateway.name);
            let state = Rc::new(GatewayState { loads, waiting: Vec::new() });
            for to in self.members(cell) {
                self.send(number, to, Name::clone(&name), &state, false);
            }
        }
    }

    fn send(
        &mut self,
        from: usize,
        to: usize,
        name: Name,
        state: &Rc<GatewayState>,
        passes_on: bool,
    ) {
        self.outcome.messages += 1;
        let (from, receiver) = (&self.gateways[from].location, &self.gateways[to].location);
        if let Some(way_us) = self.network.message_us(from, receiver) {
            let state = Rc::clone(state);
            let message = Event::Message { to, from: name, state, passes_on };
            self.events.push(self.now_us + way_us, message);
        }
    }

    pub(super) fn message(
        &mut self,
        to: usize,
        from: Name,
        state: Rc<GatewayState>,
        passes_on: bool,
    ) {
        if !self.gateways[to].is_up() {
            return;
        }
        if passes_on {
            for mate in self.mates(to) {
                self.send(to, mate, Name::clone(&from), &state, false);
            }
        }
        let now_ms = self.now_ms();
        let receiver = &mut self.gateways[to];
        if self.cells.cell_of_gateway(&from).is_some()
            && self.cells.cell_of_gateway(&from) == self.cells.cell_of_gateway(&receiver.name)
        {
            receiver.heard.insert(Name::clone(&from), (now_ms, Rc::clone(&state)));
        }
        self.input(to, Input::Peer { peer: from, state: (*state).clone() });
    }

    pub(super) fn summaries(&mut self, is_far: bool) {
        let distance = if is_far { Distance::OtherRegion } else { Distance::Region };
        let mut pause_ms = summary_interval_ms(distance, 1);
        for cell in self.cells.ids() {
            let others = self.others_at(cell, is_far);
            pause_ms = pause_ms.max(summary_interval_ms(distance, others.len()));
            let members = self.members(cell);
            let speakers = members.into_iter().filter(|it| self.gateways[*it].is_up());
            for speaker in speakers.take(SPEAKERS).collect::<Vec<_>>() {
                for other in &others {
                    self.summarise(cell, speaker, *other);
                }
            }
        }
        if self.now_us == START_US {
            // Nobody has told anything yet.
            pause_ms = pause_ms.max(IDLE_MS);
        }
        self.events.push(self.after_ms(pause_ms), Event::Summaries { is_far });
    }

    fn summarise(&mut self, cell: CellId, speaker: usize, to: CellId) {
        let heard = self.gateways[speaker].heard.values();
        let fresh = heard.filter(|(heard_ms, _)| self.now_ms() < heard_ms + SILENT_MS);
        let heard = fresh.map(|(_, state)| &**state);
        let sum = Rc::new(sum_states(heard, |it| self.cells.cell_of_target(it) == Some(to)));
        let Some(name) = self.cells.name(cell) else { return };
        let members = self.members(to);
        if !members.is_empty() {
            let receiver = members[self.rng.random_range(0..members.len())];
            self.send(speaker, receiver, name, &sum, true);
        }
    }

    fn mates(&self, number: usize) -> Vec<usize> {
        let own = self.cells.cell_of_gateway(&self.gateways[number].name);
        let mut mates = own.map(|it| self.members(it)).unwrap_or_default();
        mates.retain(|it| *it != number);
        mates
    }

    fn members(&self, cell: CellId) -> Vec<usize> {
        self.cells.gateways(cell).iter().filter_map(|it| number_of(it)).collect()
    }

    fn others_at(&self, cell: CellId, is_far: bool) -> Vec<CellId> {
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
