//! Partition of gateways and targets into cells, for random fleets, and the loads that cells send each other.

use std::collections::{BTreeMap, HashSet};

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use samphiredoor_core::{
    Name,
    dispatch::Location,
    placement::{CellId, Cells, GatewayLoad, GatewayState, WaitingItems, sum_states},
};

use crate::harness::location;

const SEED: [u8; 32] = *b"samphiredoor-placement-cells-xx-";
const ZONES: [(&str, &str); 4] =
    [("brisbane", "north"), ("brisbane", "south"), ("cairns", "port"), ("cairns", "beaches")];
/// Largest fleet that is one cell, in which every gateway sends all its loads to every other one; also the maximum size of
/// a cell in a larger fleet.
const SMALL_FLEET: usize = 12;

fn zone(number: usize) -> Location {
    location(ZONES[number % ZONES.len()].0, ZONES[number % ZONES.len()].1)
}

fn gateways(zones: &[usize]) -> BTreeMap<Name, Location> {
    let named = zones.iter().enumerate().map(|(n, it)| (format!("gateway-{n}").into(), zone(*it)));
    named.collect()
}

fn targets(zones: &[usize]) -> BTreeMap<u64, Location> {
    let keyed = zones.iter().enumerate().map(|(n, it)| (n as u64 * 7_919, zone(*it)));
    keyed.collect()
}

fn check_cells(gateways: &BTreeMap<Name, Location>, targets: &BTreeMap<u64, Location>) {
    let cells = Cells::new(gateways, targets);
    let mut members = HashSet::new();
    for cell in cells.ids() {
        let in_cell = cells.gateways(cell);
        assert!(
            (1..=SMALL_FLEET).contains(&in_cell.len()),
            "a cell has at least one gateway and no more than its maximum"
        );
        for gateway in in_cell {
            assert!(members.insert(Name::clone(gateway)), "a gateway is in one cell");
            assert_eq!(cells.cell_of_gateway(gateway), Some(cell));
            let in_other_zone =
                cells.len() > 1 && gateways[gateway] != *cells.location(cell).unwrap();
            assert!(!in_other_zone, "each cell of a large fleet is in one zone");
        }
    }
    assert_eq!(members.len(), gateways.len(), "every gateway is in a cell");
    for (target, location) in targets {
        let cell = cells.cell_of_target(*target).expect("every target is in a cell");
        assert!(cells.targets(cell).any(|it| it == *target));
        let zone_has_gateways = gateways.values().any(|it| it == location);
        let near = cells.len() == 1 || !zone_has_gateways || cells.location(cell) == Some(location);
        assert!(near, "a target is assigned to a cell of its own zone");
    }
    for zone in ZONES {
        check_even_split(&cells, gateways, targets, &location(zone.0, zone.1));
    }
}

/// Checks that the targets of a zone are divided evenly among its cells.
fn check_even_split(
    cells: &Cells,
    gateways: &BTreeMap<Name, Location>,
    targets: &BTreeMap<u64, Location>,
    zone: &Location,
) {
    if cells.len() == 1 || !gateways.values().any(|it| it == zone) {
        return;
    }
    let in_zone: Vec<u64> =
        targets.iter().filter(|(_, it)| *it == zone).map(|(key, _)| *key).collect();
    let of_zone = cells.ids().filter(|it| cells.location(*it) == Some(zone));
    let counts: Vec<usize> = of_zone
        .map(|cell| in_zone.iter().filter(|it| cells.cell_of_target(**it) == Some(cell)).count())
        .collect();
    let spread = counts.iter().max().unwrap() - counts.iter().min().unwrap();
    assert!(spread <= 1, "target counts of the cells of a zone differ by at most one");
}

#[test]
fn every_gateway_and_target_is_in_one_cell() {
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let zones = |most| prop::collection::vec(0..ZONES.len(), 1..most);
    runner
        .run(&(zones(120), zones(60)), |(gateway_zones, target_zones)| {
            check_cells(&gateways(&gateway_zones), &targets(&target_zones));
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_small_fleet_is_one_cell() {
    let all = gateways(&[0, 1, 2, 3, 0, 1, 2, 3, 0, 1, 2, 3]);
    let cells = Cells::new(&all, &targets(&[0, 3]));
    assert_eq!(cells.len(), 1);
    assert_eq!(cells.targets(cells.cell_of_gateway("gateway-0").unwrap()).count(), 2);
}

// A zone has targets and no gateway. Without a fallback they would be in no cell, and a gateway that uses them would send
// its loads there to no other gateway.
#[test]
fn targets_in_a_zone_without_gateways_are_assigned_within_the_region() {
    let cells = Cells::new(&gateways(&[[0; 10], [2; 10]].concat()), &targets(&[1, 1, 1]));
    for target in targets(&[1, 1, 1]).keys() {
        let cell = cells.cell_of_target(*target).unwrap();
        assert_eq!(&*cells.location(cell).unwrap().region, "brisbane");
    }
}

#[test]
fn summaries_omit_targets_whose_loads_are_sent_directly() {
    let load = |target, online, batch| GatewayLoad { target, online, batch };
    let waiting = vec![WaitingItems { service: 5, items: 3 }];
    let one = GatewayState { loads: vec![load(1, 2, 1), load(2, 1, 0)], waiting: waiting.clone() };
    let two = GatewayState { loads: vec![load(1, 1, 0), load(3, 4, 0)], waiting };
    let sum = sum_states([&one, &two], |target| target == 3);
    assert_eq!(sum.loads, [load(1, 3, 1), load(2, 1, 0)]);
    assert_eq!(sum.waiting, [WaitingItems { service: 5, items: 6 }]);
}

#[test]
fn loads_at_other_cells_are_grouped_by_cell() {
    let (gateways, targets) = (gateways(&[[0; 10], [2; 10]].concat()), targets(&[0, 2]));
    let cells = Cells::new(&gateways, &targets);
    let keys: Vec<u64> = targets.keys().copied().collect();
    let loads: Vec<GatewayLoad> =
        keys.iter().map(|it| GatewayLoad { target: *it, online: 1, batch: 0 }).collect();
    let own = cells.cell_of_gateway("gateway-0");
    assert_eq!(own, cells.cell_of_target(keys[0]));
    let loads_by_cell = cells.loads_of_other_cells(own, &loads);
    let other_cells: Vec<CellId> = loads_by_cell.keys().copied().collect();
    assert_eq!(other_cells, [cells.cell_of_target(keys[1]).unwrap()]);
    assert_eq!(loads_by_cell[&other_cells[0]], [loads[1]]);
}
