//! Simulated gateways, each with the real placement, and their starts, stops and ticks.

use std::{collections::BTreeMap, rc::Rc};

use rand::Rng;
use samphiredoor_core::{
    Name,
    dispatch::Location,
    placement::{CellId, Cells, GatewayState, Input, Margins, Placement, TargetEntry, name_hash},
};

use super::{
    Event, Simulation,
    peer_messages::{IDLE_INTERVAL_MS, PeerGroup, SEND_INTERVAL_MS, SentToCell, peer_groups},
    targets::Target,
    zone_of,
};
use crate::emulate::{mechanism::Mechanism, scenario::Scenario};

/// A simulated gateway.
#[derive(Debug)]
pub struct Gateway {
    pub name: Name,
    pub location: Location,
    pub placement: Placement,
    /// Faults that currently keep it down.
    active_outages: u32,
    /// Incremented when it is killed, so that ticks scheduled before are ignored.
    incarnation: u64,
    last_tick_ms: u64,
    /// Time of its last state update.
    pub sent_ms: u64,
    /// State in its last update.
    pub sent_state: Rc<GatewayState>,
    pub peer_groups: [PeerGroup; 3],
    pub sent_to_cells: BTreeMap<CellId, SentToCell>,
    /// Last state of each gateway of its cell, including its own, and when it was received.
    pub received: BTreeMap<Name, (u64, Rc<GatewayState>)>,
}

fn name_of(number: usize) -> Name {
    format!("gateway-{number:03}").into()
}

/// Index of the gateway with this name.
pub fn number_of(name: &str) -> Option<usize> {
    name.strip_prefix("gateway-")?.parse().ok()
}

impl Gateway {
    /// Creates all gateways of a fleet and divides them into cells.
    pub fn all(scenario: &Scenario, targets: &[Target]) -> (Vec<Gateway>, Cells) {
        let count = scenario.gateways.count;
        let gateways: Vec<Gateway> = (0..count)
            .map(|number| {
                Gateway::new(name_of(number), zone_of(&scenario.gateways.zones, number, count))
            })
            .collect();
        let locations =
            gateways.iter().map(|it| (Name::clone(&it.name), it.location.clone())).collect();
        let keys = targets.iter().map(|it| (name_hash(&it.name), it.location.clone())).collect();
        let cells = Cells::new(&locations, &keys);
        (gateways, cells)
    }

    fn new(name: Name, location: Location) -> Gateway {
        Gateway {
            placement: Placement::new(Name::clone(&name), location.clone(), 0),
            name,
            location,
            active_outages: 0,
            incarnation: 0,
            last_tick_ms: 0,
            sent_ms: 0,
            sent_state: Rc::default(),
            peer_groups: peer_groups(),
            sent_to_cells: BTreeMap::new(),
            received: BTreeMap::new(),
        }
    }

    /// Whether the process is running.
    pub fn is_up(&self) -> bool {
        self.active_outages == 0
    }

    /// Kills the process; it stays down until all faults that stopped it have ended.
    pub fn stop(&mut self) {
        self.active_outages += 1;
        self.incarnation += 1;
    }
}

impl Simulation<'_> {
    pub(super) fn start_gateway(&mut self, number: usize) {
        let seed = self.rng.random();
        let margins = self.margins();
        let gateway = &mut self.gateways[number];
        let (name, location) = (Name::clone(&gateway.name), gateway.location.clone());
        let previous =
            std::mem::replace(gateway, Gateway::new(Name::clone(&name), location.clone()));
        gateway.active_outages = previous.active_outages;
        gateway.incarnation = previous.incarnation;
        let placement = Placement::new(Name::clone(&name), location, seed);
        gateway.placement = placement.with_margins(margins);
        let incarnation = gateway.incarnation;
        let entries = self.entries(number);
        self.input(number, Input::Targets(entries));
        if let Some(cell) = self.cells.cell_of_gateway(&name) {
            let own = self.cells.targets(cell).collect();
            self.input(number, Input::CellTargets(own));
        }
        let phase_us = (number as u64 * 1_013) % (SEND_INTERVAL_MS * 1_000);
        self.events.push(self.now_us + phase_us, Event::Tick { gateway: number, incarnation });
    }

    /// Ends one outage of a gateway, and starts it if no other outage is active.
    pub(super) fn restart_gateway(&mut self, number: usize) {
        self.gateways[number].active_outages -= 1;
        if self.gateways[number].is_up() {
            self.start_gateway(number);
        }
    }

    fn margins(&self) -> Margins {
        let mut margins = Margins::default();
        if !self.is_enabled(Mechanism::ReservedSlot) {
            margins.free_for_online = 0;
        }
        if !self.is_enabled(Mechanism::WaitingAtTarget) {
            margins.waiting_at_target = 0;
        }
        margins
    }

    /// Target list that discovery gives a gateway. Without [`Mechanism::NearestFirst`], all targets have the gateway's
    /// location.
    pub(super) fn entries(&self, number: usize) -> Vec<TargetEntry> {
        let slots = self.scenario.targets.slots;
        let up = self.targets.iter().filter(|it| it.is_up());
        up.map(|it| match self.is_enabled(Mechanism::NearestFirst) {
            true => it.entry(slots, &it.location),
            false => it.entry(slots, &self.gateways[number].location),
        })
        .collect()
    }

    /// Passes an input to a gateway's placement and applies the resulting actions.
    pub(super) fn input(&mut self, number: usize, input: Input) {
        if !self.gateways[number].is_up() {
            return;
        }
        let mut out = Vec::new();
        let now_ms = self.now_ms();
        self.gateways[number].placement.handle(now_ms, input, &mut out);
        for action in out {
            self.apply_action(number, action);
        }
        self.send_updates(number);
    }

    /// Ticks the placement if online requests wait or the idle interval has passed; otherwise only sends due updates.
    pub(super) fn tick(&mut self, number: usize, incarnation: u64) {
        let now_ms = self.now_ms();
        let gateway = &mut self.gateways[number];
        if gateway.incarnation != incarnation || !gateway.is_up() {
            return;
        }
        let (online, _) = gateway.placement.waiting();
        if online > 0 || now_ms >= gateway.last_tick_ms + IDLE_INTERVAL_MS {
            gateway.last_tick_ms = now_ms;
            self.input(number, Input::Tick);
        } else {
            self.send_updates(number);
        }
        self.events
            .push(self.after_ms(SEND_INTERVAL_MS), Event::Tick { gateway: number, incarnation });
    }
}
