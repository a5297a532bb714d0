//! Scenario files: the examples parse, invalid values are refused with an error that names them, and variants are
//! built.

use std::path::Path;

use samphiredoor_standin::emulate::{
    mechanism::{Mechanism, Without},
    scenario::{ItemOrder, Scenario},
    variants::{Seeds, Variants, Vary},
};

const EIGHT: &str = include_str!("../../../../examples/emulate/eight_before_twelve.toml");

fn file(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/emulate").join(name)
}

fn parse_error(change: &str) -> String {
    let (key, value) = change.split_once(" = ").unwrap();
    let value: toml::Table = toml::from_str(&format!("value = {value}")).unwrap();
    let changes = [(key.to_owned(), value["value"].clone())];
    format!("{:#}", Scenario::parse(EIGHT, &changes).unwrap_err())
}

macro_rules! refuses {
    ($($name:ident: $change:literal => $expected:literal,)*) => {$(
        #[test]
        fn $name() {
            let error = parse_error($change);
            assert!(error.contains($expected), "{error}");
        }
    )*};
}

refuses! {
    refuses_an_unknown_field: "targets.seats = 8" => "unknown field `seats`",
    refuses_an_objective_after_the_deadline: "online.0.aim_ms = 9000" => "`online.0.aim_ms` must not be above",
    refuses_a_late_worth_above_the_worth: "batch.0.worth_late = 6.0" => "`batch.0.worth_late`",
    refuses_a_range_with_its_maximum_first: "batch.0.items = [9, 3]" => "`batch.0.items` must have its minimum first",
    refuses_an_answer_without_tokens: "online.0.output_tokens = [0, 3]" => "must be 1 or more",
    refuses_a_zone_without_a_region: "gateways.zones = [\"west\"]" => "must be written as region/zone",
    refuses_a_fleet_without_targets: "targets.count = 0" => "`targets.count` must be above 0",
    refuses_a_fault_of_a_target_that_does_not_exist: "faults.0.what = { targets_down = [12] }" => "index 12 is out of range, the count is 12",
    refuses_a_loss_fraction_above_one: "network.lost_part = 1.5" => "must be from 0 to 1",
    refuses_a_step_of_zero_duration: "targets.step_ms = 0.0" => "`targets.step_ms` must be above 0",
    refuses_an_index_beyond_the_end_of_a_list: "online.7.aim_ms = 1" => "`online.7.aim_ms`: the list has no entry 7",
}

#[test]
fn parses_the_example_scenarios() {
    let names = ["eight_before_twelve", "long_requests", "short_requests"];
    for name in names.into_iter().chain(["sixty_before_twenty", "six_before_sixty"]) {
        Scenario::read(&file(&format!("{name}.toml")), &[]).unwrap();
    }
}

#[test]
fn makes_a_variant_for_each_mechanism_and_value() {
    let vary: Vary = "jobs.order=newest,least_left".parse().unwrap();
    let without: [Without; 2] = ["queue", "queue+recalls"].map(|it| it.parse().unwrap());
    let variants = Variants::read(&file("eight_before_twelve.toml"), &without, &[vary]).unwrap();
    let labels: Vec<&str> = variants.variants.iter().map(|it| &*it.label).collect();
    assert_eq!(variants.variants[2].without, [Mechanism::Queue, Mechanism::Preemption]);
    let expected = [
        "as it is",
        "without queue",
        "without queue+recalls",
        "jobs.order = \"newest\"",
        "jobs.order = \"least_left\"",
    ];
    assert_eq!(labels, expected);
    assert_eq!(variants.scenarios[1].jobs.order, ItemOrder::Newest);
}

#[test]
fn refuses_an_unknown_mechanism() {
    let error = "luck".parse::<Mechanism>().unwrap_err().to_string();
    assert!(error.contains("`luck` is not a mechanism; the mechanisms are recalls, "), "{error}");
}

#[test]
fn refuses_invalid_seed_ranges() {
    assert_eq!("3..5".parse::<Seeds>().unwrap(), Seeds(3..5));
    assert!("5..5".parse::<Seeds>().unwrap_err().to_string().contains("contains no seed"));
    assert!("five".parse::<Seeds>().unwrap_err().to_string().contains("A..B"));
}
