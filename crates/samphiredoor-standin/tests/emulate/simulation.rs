//! Simulations of fleets: what callers get under load and faults, the effect of mechanisms, and that each request ends
//! once.

use samphiredoor_standin::emulate::{
    mechanism::Mechanism,
    outcome::{EndCounts, Outcome},
    scenario::Scenario,
    simulation::Simulation,
    traffic,
};

const EIGHT: &str = include_str!("../../../../examples/emulate/eight_before_twelve.toml");
const SIXTY: &str = include_str!("../../../../examples/emulate/sixty_before_twenty.toml");
const SEEDS: [u64; 3] = [41, 42, 43];

fn scenario(text: &str, changes: &str) -> Scenario {
    let changes: toml::Table = toml::from_str(changes).unwrap();
    let changes: Vec<(String, toml::Value)> =
        changes["set"].as_table().unwrap().clone().into_iter().collect();
    Scenario::parse(text, &changes).unwrap()
}

fn busy() -> Scenario {
    scenario(EIGHT, "set = { duration_s = 12.0 }")
}

fn simulate(scenario: &Scenario, without: &[Mechanism], seed: u64) -> Outcome {
    let requests = traffic::generate(scenario, seed);
    let outcome = Simulation::new(scenario, without, &requests, seed).run();
    assert_eq!(outcome.online.total + outcome.items.total, requests.len() as u64);
    for EndCounts { total, on_time, late, refused, lost, timed_out } in
        [outcome.online, outcome.items]
    {
        assert_eq!(total, on_time + late + refused + lost + timed_out);
    }
    outcome
}

fn worth(scenario: &Scenario, without: &[Mechanism]) -> f64 {
    SEEDS.map(|it| simulate(scenario, without, it).worth()).iter().sum::<f64>() / SEEDS.len() as f64
}

#[test]
fn the_same_seed_gives_the_same_outcome() {
    for text in [EIGHT, SIXTY] {
        let scenario = scenario(text, "set = { duration_s = 5.0 }");
        let seen = [7, 7, 8].map(|it| format!("{:?}", simulate(&scenario, &[], it)));
        assert_eq!(seen[0], seen[1]);
        assert_ne!(seen[0], seen[2]);
    }
}

#[test]
fn nothing_is_refused_or_late_with_ample_slots() {
    let changes = "set = { duration_s = 8.0, faults = [], 'online.0.rate_per_s' = 20.0, \
                   'batch.0.rush_jobs' = 0, 'batch.0.jobs_per_s' = 0.2 }";
    let outcome = simulate(&scenario(EIGHT, changes), &[], 5);
    assert_eq!(outcome.online.on_time, outcome.online.total);
    assert_eq!(outcome.items.on_time, outcome.items.total);
    assert_eq!(outcome.rejected, 0);
}

macro_rules! items_survive {
    ($($name:ident: $what:literal,)*) => {$(
        #[test]
        fn $name() {
            let changes = format!(
                "set = {{ duration_s = 4.0, online = [], 'batch.0.rush_at_s' = 0.5, faults = [\
                 {{ at_s = 1.0, lasts_s = 3.0, what = {{ {} }} }}] }}",
                $what,
            );
            let Outcome { items, .. } = simulate(&scenario(EIGHT, &changes), &[], 5);
            assert!(items.total > 60);
            assert_eq!(items.on_time + items.late, items.total);
        }
    )*};
}

items_survive! {
    items_survive_killed_targets: "targets_down = [0, 1, 2, 3, 4, 5, 6, 7, 8]",
    items_survive_killed_gateways: "gateways_down = [0, 1, 2, 3, 4, 5, 6, 7]",
}

macro_rules! streams_are_lost {
    ($($name:ident: $what:literal,)*) => {$(
        #[test]
        fn $name() {
            let changes = format!(
                "set = {{ duration_s = 6.0, batch = [], faults = [\
                 {{ at_s = 2.0, lasts_s = 2.0, what = {{ {} }} }}] }}",
                $what,
            );
            let Outcome { online, .. } = simulate(&scenario(EIGHT, &changes), &[], 5);
            assert!(online.lost > 0 && online.lost < online.total / 20, "{online:?}");
            assert_eq!(online.timed_out, 0);
            assert!(online.on_time > online.total * 8 / 10, "{online:?}");
        }
    )*};
}

streams_are_lost! {
    streams_of_a_killed_target_are_lost_and_others_are_served: "targets_down = [0]",
    streams_of_a_killed_gateway_are_lost_and_others_are_served: "gateways_down = [7]",
}

#[test]
fn a_fleet_without_preemption_earns_less() {
    let scenario = busy();
    let (with, without) = (worth(&scenario, &[]), worth(&scenario, &[Mechanism::Preemption]));
    assert!(with > without + 0.05, "{with} with, {without} without");
}

#[test]
fn a_fleet_without_reserved_slots_preempts_more_items() {
    let scenario = busy();
    let preempted = |without: &[Mechanism]| {
        SEEDS.map(|it| simulate(&scenario, without, it).preempted).iter().sum::<u64>()
    };
    let (with, without) = (preempted(&[]), preempted(&[Mechanism::ReservedSlot]));
    assert!(2 * without > 3 * with, "{with} with, {without} without");
}

#[test]
fn a_fleet_without_waiting_at_targets_refuses_more() {
    let scenario = busy();
    let refused = |without: &[Mechanism]| {
        SEEDS.map(|it| simulate(&scenario, without, it).online.refused).iter().sum::<u64>()
    };
    let (with, without) = (refused(&[]), refused(&[Mechanism::WaitingAtTarget]));
    assert!(without > with, "{with} with, {without} without");
}

#[test]
fn delayed_messages_reduce_worth_in_bursts() {
    let changes = "set = { duration_s = 12.0, faults = \
                   [{ at_s = 0.0, lasts_s = 12.0, what = { messages_late_ms = 800.0 } }] }";
    let late = worth(&scenario(EIGHT, changes), &[]);
    let usual = worth(&scenario(EIGHT, "set = { duration_s = 12.0, faults = [] }"), &[]);
    assert!(late < usual - 0.01, "{late} with delayed messages, {usual} without");
}

#[test]
fn gateways_in_cells_send_fewer_messages_than_a_full_mesh() {
    let scenario = scenario(SIXTY, "set = { duration_s = 5.0 }");
    let outcome = simulate(&scenario, &[], 5);
    let gateways = scenario.gateways.count as f64;
    assert!(outcome.messages_per_gateway_s > 1.0);
    assert!(outcome.messages_per_gateway_s < 10.0 * gateways);
}
