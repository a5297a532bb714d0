//! Which doors tell each other all their requests, and which targets they share.
//!
//! If every door told every other one, messages would grow with the square of the fleet, and a door would know least
//! where there are most. So a large fleet falls into cells: some doors of one availability zone and a part of that zone's
//! targets. The doors of a cell tell each other every change at once, and prefer their own targets. Whoever uses a target
//! of another cell tells that cell's doors. Of all else a door learns sums, cell by cell, a little later.
//!
//! Everybody works the cells out from the lists of doors and targets. Where two lists differ for a moment, some word goes
//! to the wrong door, and the next one to the right one.

use std::{
    collections::{BTreeMap, HashMap},
    ops::Range,
};

use super::{Distance, GatewayLoad, GatewayState, WaitingItems};
use crate::{Name, dispatch::Location};

/// Doors that a cell has at most. More would know a larger part of the targets at once, and send as many messages more.
const MOST_DOORS: usize = 12;

/// Time between two summaries for each cell of the own region.
const REGION_PAUSE_PER_CELL_MS: u64 = 40;
/// Time between two summaries for each cell beyond the region.
const FAR_PAUSE_PER_CELL_MS: u64 = 65;
/// Shortest time between two summaries to cells of the own region.
const SHORTEST_REGION_PAUSE_MS: u64 = 100;
/// Shortest time between two summaries beyond the region, where bytes are dear.
const SHORTEST_FAR_PAUSE_MS: u64 = 450;
/// Longest time between two summaries: doors that are not heard count as gone, and their requests as ended.
const LONGEST_PAUSE_MS: u64 = 800;

/// A cell, as long as the lists that it was worked out from stay the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(usize);

#[derive(Debug, Clone)]
struct Cell {
    location: Location,
    /// Number among the cells of its availability zone.
    number: usize,
    doors: Vec<Name>,
}

/// All cells of a fleet.
#[derive(Debug, Clone, Default)]
pub struct Cells {
    cells: Vec<Cell>,
    doors: HashMap<Name, CellId>,
    targets: HashMap<u64, CellId>,
}

impl Cells {
    /// Cells of these doors, and of these targets by [`super::name_hash`]. A fleet that is small enough is one cell.
    pub fn new(doors: &BTreeMap<Name, Location>, targets: &BTreeMap<u64, Location>) -> Cells {
        let mut cells = Cells::default();
        if doors.len() <= MOST_DOORS {
            cells.add_cells(doors.iter().collect(), 1);
        } else {
            for in_zone in by_zone(doors).into_values() {
                let count = in_zone.len().div_ceil(MOST_DOORS);
                cells.add_cells(in_zone, count);
            }
        }
        for in_zone in by_zone(targets).into_values() {
            cells.share_out(&in_zone);
        }
        cells
    }

    /// Number of cells.
    pub fn len(&self) -> usize {
        self.cells.len()
    }

    /// Whether there is no door.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// All cells.
    pub fn ids(&self) -> impl Iterator<Item = CellId> + use<> {
        (0..self.cells.len()).map(CellId)
    }

    /// Cell of a door.
    pub fn cell_of_gateway(&self, door: &str) -> Option<CellId> {
        self.doors.get(door).copied()
    }

    /// Cell whose doors share a target.
    pub fn cell_of_target(&self, target: u64) -> Option<CellId> {
        self.targets.get(&target).copied()
    }

    /// Doors of a cell, in order of their names.
    pub fn gateways(&self, cell: CellId) -> &[Name] {
        self.cells.get(cell.0).map_or(&[], |it| &it.doors)
    }

    /// Targets that the doors of a cell share.
    pub fn targets(&self, cell: CellId) -> impl Iterator<Item = u64> {
        self.targets.iter().filter(move |(_, it)| **it == cell).map(|(target, _)| *target)
    }

    /// Requests at targets of other cells than the own one, by cell.
    pub fn loads_of_other_cells(
        &self,
        own: Option<CellId>,
        loads: &[GatewayLoad],
    ) -> BTreeMap<CellId, Vec<GatewayLoad>> {
        let mut elsewhere: BTreeMap<CellId, Vec<GatewayLoad>> = BTreeMap::new();
        for load in loads {
            let cell = self.cell_of_target(load.target).filter(|it| Some(*it) != own);
            if let Some(cell) = cell {
                elsewhere.entry(cell).or_default().push(*load);
            }
        }
        elsewhere
    }

    /// Where a cell's first door stands; the doors of a cell stand in one zone unless the whole fleet is one cell.
    pub fn location(&self, cell: CellId) -> Option<&Location> {
        self.cells.get(cell.0).map(|it| &it.location)
    }

    /// Name of a cell that doors with the same lists give it, too.
    pub fn name(&self, cell: CellId) -> Option<Name> {
        let cell = self.cells.get(cell.0)?;
        Some(format!("cell {} {}", cell.location.availability_zone, cell.number).into())
    }

    fn add_cells(&mut self, doors: Vec<(&Name, &Location)>, count: usize) {
        for number in 0..count {
            let doors = &doors[part(doors.len(), number, count)];
            let Some((_, location)) = doors.first() else { continue };
            let id = CellId(self.cells.len());
            let doors: Vec<Name> = doors.iter().map(|(name, _)| Name::clone(name)).collect();
            self.doors.extend(doors.iter().map(|it| (Name::clone(it), id)));
            self.cells.push(Cell { location: (*location).clone(), number, doors });
        }
    }

    /// Gives each cell near these targets, which stand in one zone, its part of them.
    fn share_out(&mut self, targets: &[(&u64, &Location)]) {
        let Some((_, location)) = targets.first() else { return };
        let near = self.nearest(location);
        for (index, cell) in near.iter().enumerate() {
            let part = &targets[part(targets.len(), index, near.len())];
            self.targets.extend(part.iter().map(|(target, _)| (**target, *cell)));
        }
    }

    /// Cells in a zone; where it has none, those of its region, or all.
    fn nearest(&self, location: &Location) -> Vec<CellId> {
        if self.cells.len() == 1 {
            return vec![CellId(0)];
        }
        let cells_with = |wanted: &dyn Fn(&Location) -> bool| -> Vec<CellId> {
            self.ids().filter(|it| wanted(&self.cells[it.0].location)).collect()
        };
        let in_zone = cells_with(&|it| it == location);
        if !in_zone.is_empty() {
            return in_zone;
        }
        let in_region = cells_with(&|it| it.region == location.region);
        if !in_region.is_empty() {
            return in_region;
        }
        self.ids().collect()
    }
}

fn by_zone<K>(locations: &BTreeMap<K, Location>) -> BTreeMap<(&str, &str), Vec<(&K, &Location)>> {
    let mut zones: BTreeMap<(&str, &str), Vec<(&K, &Location)>> = BTreeMap::new();
    for (name, location) in locations {
        let zone = (&*location.region, &*location.availability_zone);
        zones.entry(zone).or_default().push((name, location));
    }
    zones
}

/// The part with a number, of so many parts of nearly the same size.
fn part(len: usize, number: usize, count: usize) -> Range<usize> {
    len * number / count..len * (number + 1) / count
}

/// Time between two summaries of a cell to so many others at a distance. It grows with their number, so that what a door
/// hears and passes on does not.
pub fn summary_interval_ms(distance: Distance, cells: usize) -> u64 {
    let (per_cell_ms, shortest_ms) = match distance {
        Distance::OtherRegion => (FAR_PAUSE_PER_CELL_MS, SHORTEST_FAR_PAUSE_MS),
        _ => (REGION_PAUSE_PER_CELL_MS, SHORTEST_REGION_PAUSE_MS),
    };
    (per_cell_ms * cells as u64).clamp(shortest_ms, LONGEST_PAUSE_MS)
}

/// Requests of several doors in one sum, without those at targets that are left out.
pub fn sum_states<'a>(
    states: impl IntoIterator<Item = &'a GatewayState>,
    left_out: impl Fn(u64) -> bool,
) -> GatewayState {
    let mut loads: BTreeMap<u64, GatewayLoad> = BTreeMap::new();
    let mut waiting: BTreeMap<u64, u32> = BTreeMap::new();
    for state in states {
        for load in state.loads.iter().filter(|it| !left_out(it.target)) {
            let none = GatewayLoad { online: 0, batch: 0, ..*load };
            let sum = loads.entry(load.target).or_insert(none);
            sum.online += load.online;
            sum.batch += load.batch;
        }
        for items in &state.waiting {
            *waiting.entry(items.service).or_default() += items.items;
        }
    }
    let waiting = waiting.into_iter().map(|(service, items)| WaitingItems { service, items });
    GatewayState { loads: loads.into_values().collect(), waiting: waiting.collect() }
}
