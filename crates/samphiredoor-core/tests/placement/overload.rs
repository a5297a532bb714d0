//! A lasting overload of items: three times the work that the places can carry beside online requests.

use crate::fleet::{BEGIN_MS, Fleet, IN_AIM, Load, ONLINE_PART, Outcome, REFUSED};

const SEED: u64 = 71;
/// Work of the items that arrive, as a multiple of what the places can carry beside online requests.
const WORK: f64 = 3.0;
const OVERLOAD: Load =
    Load { item_part: WORK * (1.0 - ONLINE_PART), item_ms: 2_000, arrivals_ms: 60_000 };
/// Part in time of the items that an order with full knowledge would finish in time.
const IN_TIME: f64 = 2.0 / 3.0;
/// Part of the items done meanwhile that are late ones, at least.
const LATE: f64 = 0.02;
/// Part of the time left to items that may go into beginning runs again that were cut.
const BEGUN_AGAIN: f64 = 0.05;
/// Part by which fewer online requests may begin in the aim than without any items.
const SLOWED: f64 = 0.02;
/// Time in which all items have to be done after the overload, as a multiple of what their work takes at all places.
const DRAIN: f64 = 1.5;

fn part(of: u32, all: u32) -> f64 {
    f64::from(of) / f64::from(all)
}

fn check_online(outcome: &Outcome, without_items: &Outcome) {
    let in_aim = part(outcome.in_aim, outcome.online);
    assert!(in_aim >= IN_AIM, "in the aim: {outcome:?}");
    assert!(
        in_aim + SLOWED >= part(without_items.in_aim, without_items.online),
        "slowed: {outcome:?}, without items: {without_items:?}"
    );
    assert!(part(outcome.refused, outcome.online) < REFUSED, "refused: {outcome:?}");
}

fn check_items(outcome: &Outcome) {
    let left_ms = outcome.left_to_items_ms as f64;
    let possible = left_ms / OVERLOAD.item_ms as f64;
    let in_time = f64::from(outcome.items_in_time) / possible;
    assert!(in_time >= IN_TIME, "in time, of what the places could carry: {in_time:.2}");
    let late = outcome.items_done - outcome.items_in_time;
    assert!(part(late, outcome.items_done) >= LATE, "late ones starve: {outcome:?}");
    let begun_again_ms = f64::from(outcome.items_cut) * BEGIN_MS as f64;
    assert!(begun_again_ms <= BEGUN_AGAIN * left_ms, "runs begun again: {outcome:?}");
}

fn play(doors: usize, targets: usize) {
    let without_items = Load { item_part: 0.0, ..OVERLOAD };
    let without_items = Fleet::new(SEED, doors, targets, without_items).run();
    let mut fleet = Fleet::new(SEED, doors, targets, OVERLOAD);
    let outcome = fleet.run();
    println!(
        "{doors} doors before {targets} targets: {outcome:?}; without items: {without_items:?}"
    );
    check_online(&outcome, &without_items);
    check_items(&outcome);
    let work_ms = fleet.open_items() as f64 * OVERLOAD.item_ms as f64 / fleet.places();
    assert_eq!(fleet.drain((DRAIN * work_ms) as u64), 0, "items that are never done");
}

macro_rules! lasting_overload {
    ($($name:ident: $doors:expr, $targets:expr;)*) => {
        $(
            // In order of due time each item begins when it is too late: all are late where a third could be in time.
            #[test]
            fn $name() {
                play($doors, $targets);
            }
        )*
    };
}

lasting_overload! {
    items_that_can_be_in_time_are_with_8_doors: 8, 8;
    items_that_can_be_in_time_are_with_49_doors: 49, 16;
}
