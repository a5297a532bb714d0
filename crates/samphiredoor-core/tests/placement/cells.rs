//! Which doors and targets make up a cell, whatever the fleet.

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
/// A small fleet tells everybody everything; cells of a large one are no larger.
const SMALL_FLEET: usize = 12;

fn zone(number: usize) -> Location {
    location(ZONES[number % ZONES.len()].0, ZONES[number % ZONES.len()].1)
}

fn doors(zones: &[usize]) -> BTreeMap<Name, Location> {
    let named = zones.iter().enumerate().map(|(n, it)| (format!("door-{n}").into(), zone(*it)));
    named.collect()
}

fn targets(zones: &[usize]) -> BTreeMap<u64, Location> {
    let keyed = zones.iter().enumerate().map(|(n, it)| (n as u64 * 7_919, zone(*it)));
    keyed.collect()
}

fn check(doors: &BTreeMap<Name, Location>, targets: &BTreeMap<u64, Location>) {
    let cells = Cells::new(doors, targets);
    let mut members = HashSet::new();
    for cell in cells.ids() {
        let in_cell = cells.gateways(cell);
        assert!((1..=SMALL_FLEET).contains(&in_cell.len()), "a cell is neither empty nor large");
        for door in in_cell {
            assert!(members.insert(Name::clone(door)), "a door is in one cell");
            assert_eq!(cells.cell_of_gateway(door), Some(cell));
            let apart = cells.len() > 1 && doors[door] != *cells.location(cell).unwrap();
            assert!(!apart, "the cells of a large fleet stand in one zone each");
        }
    }
    assert_eq!(members.len(), doors.len(), "every door is in a cell");
    for (target, location) in targets {
        let cell = cells.cell_of_target(*target).expect("every target is in a cell");
        assert!(cells.targets(cell).any(|it| it == *target));
        let zone_has_doors = doors.values().any(|it| it == location);
        let near = cells.len() == 1 || !zone_has_doors || cells.location(cell) == Some(location);
        assert!(near, "a target is shared by doors of its own zone");
    }
    for zone in ZONES {
        check_shares(&cells, doors, targets, &location(zone.0, zone.1));
    }
}

fn check_shares(
    cells: &Cells,
    doors: &BTreeMap<Name, Location>,
    targets: &BTreeMap<u64, Location>,
    zone: &Location,
) {
    if cells.len() == 1 || !doors.values().any(|it| it == zone) {
        return;
    }
    let in_zone: Vec<u64> =
        targets.iter().filter(|(_, it)| *it == zone).map(|(key, _)| *key).collect();
    let of_zone = cells.ids().filter(|it| cells.location(*it) == Some(zone));
    let shares: Vec<usize> = of_zone
        .map(|cell| in_zone.iter().filter(|it| cells.cell_of_target(**it) == Some(cell)).count())
        .collect();
    let spread = shares.iter().max().unwrap() - shares.iter().min().unwrap();
    assert!(spread <= 1, "cells of a zone have the same number of targets, give or take one");
}

#[test]
fn every_door_and_target_has_its_cell() {
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let zones = |most| prop::collection::vec(0..ZONES.len(), 1..most);
    runner
        .run(&(zones(120), zones(60)), |(of_doors, of_targets)| {
            check(&doors(&of_doors), &targets(&of_targets));
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_small_fleet_is_one_cell() {
    let all = doors(&[0, 1, 2, 3, 0, 1, 2, 3, 0, 1, 2, 3]);
    let cells = Cells::new(&all, &targets(&[0, 3]));
    assert_eq!(cells.len(), 1);
    assert_eq!(cells.targets(cells.cell_of_gateway("door-0").unwrap()).count(), 2);
}

// A zone has targets and no door. They would belong to nobody, and whoever uses them would tell nobody.
#[test]
fn targets_without_doors_nearby_belong_to_the_region() {
    let cells = Cells::new(&doors(&[[0; 10], [2; 10]].concat()), &targets(&[1, 1, 1]));
    for target in targets(&[1, 1, 1]).keys() {
        let cell = cells.cell_of_target(*target).unwrap();
        assert_eq!(&*cells.location(cell).unwrap().region, "brisbane");
    }
}

#[test]
fn sums_leave_out_what_the_receiver_is_told_directly() {
    let load = |target, online, batch| GatewayLoad { target, online, batch };
    let waiting = vec![WaitingItems { service: 5, items: 3 }];
    let one = GatewayState { loads: vec![load(1, 2, 1), load(2, 1, 0)], waiting: waiting.clone() };
    let two = GatewayState { loads: vec![load(1, 1, 0), load(3, 4, 0)], waiting };
    let sum = sum_states([&one, &two], |target| target == 3);
    assert_eq!(sum.loads, [load(1, 3, 1), load(2, 1, 0)]);
    assert_eq!(sum.waiting, [WaitingItems { service: 5, items: 6 }]);
}

#[test]
fn requests_elsewhere_are_told_by_cell() {
    let (doors, targets) = (doors(&[[0; 10], [2; 10]].concat()), targets(&[0, 2]));
    let cells = Cells::new(&doors, &targets);
    let keys: Vec<u64> = targets.keys().copied().collect();
    let loads: Vec<GatewayLoad> =
        keys.iter().map(|it| GatewayLoad { target: *it, online: 1, batch: 0 }).collect();
    let own = cells.cell_of_gateway("door-0");
    assert_eq!(own, cells.cell_of_target(keys[0]));
    let elsewhere = cells.loads_of_other_cells(own, &loads);
    let far: Vec<CellId> = elsewhere.keys().copied().collect();
    assert_eq!(far, [cells.cell_of_target(keys[1]).unwrap()]);
    assert_eq!(elsewhere[&far[0]], [loads[1]]);
}
