//! Fleets that are too large for one cell.

use std::time::Duration;

use super::env::Platform;
use crate::env::wait_until;

const FAST: Duration = Duration::from_millis(2);
const SLOW: Duration = Duration::from_millis(150);
/// Two cells of seven: in order of names, the second one begins with `gateway-3`.
const GATEWAYS: usize = 14;
const IN_FIRST_CELL: usize = 0;
const FIRST_OF_SECOND_CELL: usize = 3;
const IN_SECOND_CELL: usize = 9;
const ITEMS: [&str; 4] = ["item-a", "item-b", "item-c", "item-d"];

fn two_cells() -> Platform {
    let mut platform = Platform::new();
    for _ in 0..GATEWAYS {
        platform.spawn_gateway();
    }
    for number in 0..GATEWAYS {
        platform.wait_ready(number);
    }
    platform
}

/// Waits until a gateway hears another one.
fn wait_heard(platform: &Platform, by: usize, of: usize) {
    platform.wait_logged(by, &format!("peers: heard peer=gateway-{of} "));
}

// Gateways of one cell never tell those of another one of their state; only summaries do. Without them each cell would take
// the other's jobs.
#[test]
fn gateways_hear_of_those_of_another_cell() {
    let mut platform = two_cells();
    let _target = platform.start_target("t-1", FAST);
    wait_heard(&platform, IN_FIRST_CELL, IN_SECOND_CELL);
    wait_heard(&platform, IN_SECOND_CELL, IN_FIRST_CELL);
    assert_eq!(platform.submit(IN_SECOND_CELL, "job-1", &ITEMS).status, 202);
    platform.all_results(IN_FIRST_CELL, "job-1", ITEMS.len());
}

// The gateway that speaks for a cell is killed, with a job. Its cell goes on to be heard, and the other cell learns that it is
// gone.
#[test]
fn another_gateway_speaks_for_a_cell_whose_speaker_is_killed() {
    let mut platform = two_cells();
    let target = platform.start_target("t-1", SLOW);
    wait_heard(&platform, IN_FIRST_CELL, FIRST_OF_SECOND_CELL);
    wait_heard(&platform, IN_FIRST_CELL, IN_SECOND_CELL);
    assert_eq!(platform.submit(FIRST_OF_SECOND_CELL, "job-1", &ITEMS).status, 202);
    wait_until("the job runs", || !target.runs().is_empty());
    platform.gateway(FIRST_OF_SECOND_CELL).kill();
    platform.all_results(IN_FIRST_CELL, "job-1", ITEMS.len());
    assert_eq!(platform.submit(IN_SECOND_CELL, "job-2", &ITEMS).status, 202);
    platform.all_results(IN_FIRST_CELL, "job-2", ITEMS.len());
    platform.restart_gateway(FIRST_OF_SECOND_CELL);
    platform.wait_ready(FIRST_OF_SECOND_CELL);
    wait_until("the first cell hears it again", || {
        platform.times_logged(IN_FIRST_CELL, "peers: heard peer=gateway-3 ") >= 2
    });
}
