//! Lasting overload of items: three times the work that the slots can run beside online requests.

use crate::fleet::{
    FIRST_EVENT_MS, Fleet, Load, MAX_REFUSED, MIN_IN_OBJECTIVE, ONLINE_PART, Outcome,
};

const SEED: u64 = 71;
/// Work of the arriving items, as a multiple of what the slots can run beside online requests.
const WORK_FACTOR: f64 = 3.0;
const OVERLOAD: Load =
    Load { item_part: WORK_FACTOR * (1.0 - ONLINE_PART), item_ms: 2_000, arrivals_ms: 60_000 };
/// Minimum of items finished in time, as a fraction of those that an optimal schedule would finish in time.
const MIN_IN_TIME: f64 = 2.0 / 3.0;
/// Minimum fraction of late ones among the items finished during the overload.
const MIN_LATE: f64 = 0.02;
/// Maximum fraction of the slot time left to items that may be spent on resuming preempted runs.
const MAX_RESUMING: f64 = 0.05;
/// Maximum decrease, caused by items, of the fraction of online requests that meet the objective.
const MAX_SLOWED: f64 = 0.02;
/// Time in which all items have to be done after the overload, as a multiple of what their work takes with all slots.
const DRAIN_FACTOR: f64 = 1.5;

fn part(of: u32, all: u32) -> f64 {
    f64::from(of) / f64::from(all)
}

fn check_online(outcome: &Outcome, without_items: &Outcome) {
    let in_objective = part(outcome.in_objective, outcome.online);
    assert!(in_objective >= MIN_IN_OBJECTIVE, "in the objective: {outcome:?}");
    assert!(
        in_objective + MAX_SLOWED >= part(without_items.in_objective, without_items.online),
        "slowed: {outcome:?}, without items: {without_items:?}"
    );
    assert!(part(outcome.refused, outcome.online) < MAX_REFUSED, "refused: {outcome:?}");
}

fn check_items(outcome: &Outcome) {
    let left_ms = outcome.left_to_items_ms as f64;
    let possible = left_ms / OVERLOAD.item_ms as f64;
    let in_time = f64::from(outcome.items_in_time) / possible;
    assert!(in_time >= MIN_IN_TIME, "in time, of what the slots could run: {in_time:.2}");
    let late = outcome.items_done - outcome.items_in_time;
    assert!(part(late, outcome.items_done) >= MIN_LATE, "late items starve: {outcome:?}");
    let resuming_ms = f64::from(outcome.items_preempted) * FIRST_EVENT_MS as f64;
    assert!(resuming_ms <= MAX_RESUMING * left_ms, "time spent on resuming runs: {outcome:?}");
}

fn check_overload(gateways: usize, targets: usize) {
    let without_items = Load { item_part: 0.0, ..OVERLOAD };
    let without_items = Fleet::new(SEED, gateways, targets, without_items).run();
    let mut fleet = Fleet::new(SEED, gateways, targets, OVERLOAD);
    let outcome = fleet.run();
    println!(
        "{gateways} gateways, {targets} targets: {outcome:?}; without items: {without_items:?}"
    );
    check_online(&outcome, &without_items);
    check_items(&outcome);
    let work_ms = fleet.unfinished_items() as f64 * OVERLOAD.item_ms as f64 / fleet.slots();
    assert_eq!(fleet.drain((DRAIN_FACTOR * work_ms) as u64), 0, "unfinished items");
}

macro_rules! overload_tests {
    ($($name:ident: $gateways:expr, $targets:expr;)*) => {
        $(
            // In strict order of due time each item would start when it is already too late: all would be late, although a
            // third could be in time.
            #[test]
            fn $name() {
                check_overload($gateways, $targets);
            }
        )*
    };
}

overload_tests! {
    items_finish_in_time_under_overload_of_8_gateways: 8, 8;
    items_finish_in_time_under_overload_of_49_gateways: 49, 16;
}
