//! Partition of the fleet into cells: groups of gateways that send each other all their loads, and their targets.
//!
//! If every gateway sent its loads to every other one, the number of messages would grow with the square of the fleet
//! size, and load information would be worst in the largest fleets. So a large fleet is divided into cells: some gateways
//! of one availability zone and a part of that zone's targets. The gateways of a cell send each other every change at
//! once, and prefer the targets of their cell. A gateway that uses a target of another cell sends its load there to that
//! cell's gateways. Everything else a gateway receives as summaries, one for each cell, a little later.
//!
//! Each gateway computes the cells from its lists of gateways and targets. While two lists differ, some messages go to the
//! wrong gateway; once the lists agree, the next ones go to the right one.

use std::{
    collections::{BTreeMap, HashMap},
    ops::Range,
};

use super::{Distance, GatewayLoad, GatewayState, WaitingItems};
use crate::{Name, dispatch::Location, names::CELL_NAME_PREFIX};

/// Maximum number of gateways in a cell. A larger cell would have current loads of more targets, and send proportionally
/// more messages.
const MAX_GATEWAYS: usize = 12;

/// Interval between two summaries, for each receiving cell of the own region.
const REGION_INTERVAL_PER_CELL_MS: u64 = 40;
/// Interval between two summaries, for each receiving cell of other regions.
const OTHER_REGION_INTERVAL_PER_CELL_MS: u64 = 65;
/// Shortest interval between two summaries to cells of the own region.
const MIN_REGION_INTERVAL_MS: u64 = 100;
/// Shortest interval between two summaries to other regions, where bandwidth is expensive.
const MIN_OTHER_REGION_INTERVAL_MS: u64 = 450;
/// Longest interval between two summaries: a cell times out without messages, and its requests then count as ended.
const MAX_INTERVAL_MS: u64 = 800;

/// Index of a cell; valid for the [`Cells`] that it was taken from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(usize);

#[derive(Debug, Clone)]
struct Cell {
    location: Location,
    /// Index among the cells of its availability zone.
    number: usize,
    gateways: Vec<Name>,
}

/// All cells of a fleet, with the gateways and targets assigned to them.
#[derive(Debug, Clone, Default)]
pub struct Cells {
    cells: Vec<Cell>,
    gateways: HashMap<Name, CellId>,
    targets: HashMap<u64, CellId>,
}

impl Cells {
    /// Divides these gateways and these targets, by [`super::name_hash`], into cells. A small fleet is one cell.
    pub fn new(gateways: &BTreeMap<Name, Location>, targets: &BTreeMap<u64, Location>) -> Cells {
        let mut cells = Cells::default();
        if gateways.len() <= MAX_GATEWAYS {
            cells.add_cells(gateways.iter().collect(), 1);
        } else {
            for in_zone in by_zone(gateways).into_values() {
                let count = in_zone.len().div_ceil(MAX_GATEWAYS);
                cells.add_cells(in_zone, count);
            }
        }
        for in_zone in by_zone(targets).into_values() {
            cells.assign_targets(&in_zone);
        }
        cells
    }

    /// Number of cells.
    pub fn len(&self) -> usize {
        self.cells.len()
    }

    /// Whether the fleet has no gateway.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// IDs of all cells, in ascending order.
    pub fn ids(&self) -> impl Iterator<Item = CellId> + use<> {
        (0..self.cells.len()).map(CellId)
    }

    /// Cell of a gateway; `None` if the gateway is not listed.
    pub fn cell_of_gateway(&self, gateway: &str) -> Option<CellId> {
        self.gateways.get(gateway).copied()
    }

    /// Cell that a target is assigned to.
    pub fn cell_of_target(&self, target: u64) -> Option<CellId> {
        self.targets.get(&target).copied()
    }

    /// Gateways of a cell, in order of their names.
    pub fn gateways(&self, cell: CellId) -> &[Name] {
        self.cells.get(cell.0).map_or(&[], |it| &it.gateways)
    }

    /// Targets that are assigned to a cell.
    pub fn targets(&self, cell: CellId) -> impl Iterator<Item = u64> {
        self.targets.iter().filter(move |(_, it)| **it == cell).map(|(target, _)| *target)
    }

    /// The loads at targets of other cells than the own one, grouped by cell.
    pub fn loads_of_other_cells(
        &self,
        own: Option<CellId>,
        loads: &[GatewayLoad],
    ) -> BTreeMap<CellId, Vec<GatewayLoad>> {
        let mut loads_by_cell: BTreeMap<CellId, Vec<GatewayLoad>> = BTreeMap::new();
        for load in loads {
            let cell = self.cell_of_target(load.target).filter(|it| Some(*it) != own);
            if let Some(cell) = cell {
                loads_by_cell.entry(cell).or_default().push(*load);
            }
        }
        loads_by_cell
    }

    /// Location of a cell's first gateway; all gateways of a cell are in one zone unless the whole fleet is one cell.
    pub fn location(&self, cell: CellId) -> Option<&Location> {
        self.cells.get(cell.0).map(|it| &it.location)
    }

    /// Name of a cell; the same at every gateway that has the same lists.
    pub fn name(&self, cell: CellId) -> Option<Name> {
        let cell = self.cells.get(cell.0)?;
        Some(
            format!("{CELL_NAME_PREFIX}{} {}", cell.location.availability_zone, cell.number).into(),
        )
    }

    /// Divides gateways of one zone, or of the whole fleet, into this many cells.
    fn add_cells(&mut self, gateways: Vec<(&Name, &Location)>, count: usize) {
        for number in 0..count {
            let gateways = &gateways[part(gateways.len(), number, count)];
            let Some((_, location)) = gateways.first() else { continue };
            let id = CellId(self.cells.len());
            let gateways: Vec<Name> = gateways.iter().map(|(name, _)| Name::clone(name)).collect();
            self.gateways.extend(gateways.iter().map(|it| (Name::clone(it), id)));
            self.cells.push(Cell { location: (*location).clone(), number, gateways });
        }
    }

    /// Divides targets of one zone evenly among the nearest cells.
    fn assign_targets(&mut self, targets: &[(&u64, &Location)]) {
        let Some((_, location)) = targets.first() else { return };
        let nearest = self.nearest(location);
        for (index, cell) in nearest.iter().enumerate() {
            let assigned = &targets[part(targets.len(), index, nearest.len())];
            self.targets.extend(assigned.iter().map(|(target, _)| (**target, *cell)));
        }
    }

    /// Cells in a zone; if it has none, those of its region; if that has none, all cells.
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

/// Range of the part with this index when `len` elements are divided into `count` parts of nearly equal size.
fn part(len: usize, number: usize, count: usize) -> Range<usize> {
    len * number / count..len * (number + 1) / count
}

/// Interval between two summaries of a cell to this many other cells at a distance. It grows with their number, so that
/// the rate at which a gateway receives and forwards messages does not.
pub fn summary_interval_ms(distance: Distance, cells: usize) -> u64 {
    let (per_cell_ms, min_ms) = match distance {
        Distance::OtherRegion => (OTHER_REGION_INTERVAL_PER_CELL_MS, MIN_OTHER_REGION_INTERVAL_MS),
        _ => (REGION_INTERVAL_PER_CELL_MS, MIN_REGION_INTERVAL_MS),
    };
    (per_cell_ms * cells as u64).clamp(min_ms, MAX_INTERVAL_MS)
}

/// Sums the requests of several gateways, without requests at targets for which `left_out` returns true.
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
