//! Gateways: a real placement each.

use std::{collections::BTreeMap, rc::Rc};

use rand::Rng;
use samphiredoor_core::{
    Name,
    dispatch::Location,
    placement::{CellId, Cells, GatewayState, Input, Margins, Placement, TargetEntry, name_hash},
};

use super::{
    Event, World,
    targets::Target,
    telling::{Audience, IDLE_MS, TELL_PAUSE_MS, ToldCell, audiences},
    zone,
};
use crate::emulate::{mechanism::Mechanism, scenario::Scenario};

/// A gateway.
#[derive(Debug)]
pub struct Gateway {
    pub name: Name,
    pub location: Location,
    pub placement: Placement,
    /// Faults that keep it down.
    down: u32,
    start: u64,
    ticked_ms: u64,
    pub told_ms: u64,
    pub told: Rc<GatewayState>,
    pub audiences: [Audience; 3],
    pub told_cells: BTreeMap<CellId, ToldCell>,
    /// What the gateways of its cell told it last and when, its own word among them.
    pub heard: BTreeMap<Name, (u64, Rc<GatewayState>)>,
}

fn name_of(number: usize) -> Name {
    format!("gateway-{number:03}").into()
}

/// Number of a gateway by its name.
pub fn number_of(name: &str) -> Option<usize> {
    name.strip_prefix("gateway-")?.parse().ok()
}

impl Gateway {
    /// All gateways of a fleet, and their cells.
    pub fn all(scenario: &Scenario, targets: &[Target]) -> (Vec<Gateway>, Cells) {
        let count = scenario.gateways.count;
        let gateways: Vec<Gateway> = (0..count)
            .map(|number| {
                Gateway::new(name_of(number), zone(&scenario.gateways.zones, number, count))
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
            down: 0,
            start: 0,
            ticked_ms: 0,
            told_ms: 0,
            told: Rc::default(),
            audiences: audiences(),
            told_cells: BTreeMap::new(),
            heard: BTreeMap::new(),
        }
    }

    /// Whether it runs.
    pub fn is_up(&self) -> bool {
        self.down == 0
    }

    /// Kills it.
    pub fn stop(&mut self) {
        self.down += 1;
        self.start += 1;
    }
}

impl World<'_> {
    pub(super) fn start_gateway(&mut self, number: usize) {
        let seed = self.rng.random();
        let margins = self.margins();
        let gateway = &mut self.gateways[number];
        let (name, location) = (Name::clone(&gateway.name), gateway.location.clone());
        let before = std::mem::replace(gateway, Gateway::new(Name::clone(&name), location.clone()));
        gateway.down = before.down;
        gateway.start = before.start;
        let placement = Placement::new(Name::clone(&name), location, seed);
        gateway.placement = placement.with_margins(margins);
        let start = gateway.start;
        let entries = self.entries(number);
        self.input(number, Input::Targets(entries));
        if let Some(cell) = self.cells.cell_of_gateway(&name) {
            let own = self.cells.targets(cell).collect();
            self.input(number, Input::CellTargets(own));
        }
        let phase_us = (number as u64 * 1_013) % (TELL_PAUSE_MS * 1_000);
        self.events.push(self.now_us + phase_us, Event::Tick { gateway: number, start });
    }

    pub(super) fn restart_gateway(&mut self, number: usize) {
        self.gateways[number].down -= 1;
        if self.gateways[number].is_up() {
            self.start_gateway(number);
        }
    }

    fn margins(&self) -> Margins {
        let mut margins = Margins::default();
        if !self.has(Mechanism::FreePlace) {
            margins.free_for_online = 0;
        }
        if !self.has(Mechanism::WaitingAtTarget) {
            margins.waiting_at_target = 0;
        }
        margins
    }

    /// Targets as discovery tells them to a gateway.
    pub(super) fn entries(&self, number: usize) -> Vec<TargetEntry> {
        let slots = self.scenario.targets.slots;
        let up = self.targets.iter().filter(|it| it.is_up());
        up.map(|it| match self.has(Mechanism::NearestFirst) {
            true => it.entry(slots, &it.location),
            false => it.entry(slots, &self.gateways[number].location),
        })
        .collect()
    }

    /// Gives an event to a gateway's placement and does what it says.
    pub(super) fn input(&mut self, number: usize, input: Input) {
        if !self.gateways[number].is_up() {
            return;
        }
        let mut out = Vec::new();
        let now_ms = self.now_ms();
        self.gateways[number].placement.handle(now_ms, input, &mut out);
        for action in out {
            self.act(number, action);
        }
        self.tell(number);
    }

    pub(super) fn tick(&mut self, number: usize, start: u64) {
        let now_ms = self.now_ms();
        let gateway = &mut self.gateways[number];
        if gateway.start != start || !gateway.is_up() {
            return;
        }
        let (online, _) = gateway.placement.waiting();
        if online > 0 || now_ms >= gateway.ticked_ms + IDLE_MS {
            gateway.ticked_ms = now_ms;
            self.input(number, Input::Tick);
        } else {
            self.tell(number);
        }
        self.events.push(self.after_ms(TELL_PAUSE_MS), Event::Tick { gateway: number, start });
    }
}
