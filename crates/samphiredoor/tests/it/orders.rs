//! Orders to load weights, through real doors and targets.

use std::{net::SocketAddr, time::Duration};

use samphiredoor_embedded::orders_http::Weights;
use serde_json::{Value, json};

use crate::env::{TestEnv, get, start, target, wait_until};

const SHORT: &str = "ownership.lease_ms = 600\nownership.renew_ms = 150";

fn start_weights(checks_fencing: bool) -> SocketAddr {
    start(move || {
        let weights = Weights::new(checks_fencing, Duration::from_millis(20));
        move |request| weights.clone().handle(request)
    })
}

fn declared(targets: &[SocketAddr], weights: &[&str]) -> Value {
    let target = |(number, address): (usize, &SocketAddr)| {
        let mut target = target(&format!("engine-{number}"), "small", *address);
        target["weights"] = json!(weights);
        target["checks_fencing"] = json!(number % 2 == 0);
        target
    };
    let targets: Vec<Value> = targets.iter().enumerate().map(target).collect();
    json!({
        "services": [{ "name": "small", "kind": "engine" }],
        "targets": targets,
        "weight_store": { "loads_at_once": 6, "longest_order_ms": 300 },
    })
}

fn held(target: SocketAddr) -> Value {
    get(target, "/v1/orders").json()["held"].clone()
}

/// New menus are declared while the door that gave an engine its orders is lost. Another door must take the engine over
/// and make it hold what is declared, whether or not it checks fencing numbers, and no order of the lost door may come
/// after.
#[test]
fn a_lost_doors_targets_are_ordered_by_another() {
    let mut env = TestEnv::new();
    env.start_door_with(SHORT);
    let lost = env.start_door_with(SHORT);
    let targets: Vec<SocketAddr> = (0..6).map(|it| start_weights(it % 2 == 0)).collect();
    env.declare(&declared(&targets, &["base"]));
    for target in &targets {
        wait_until("the weight is loaded", || held(*target) == json!(["base"]));
    }
    env.door(lost).kill();
    let operators = env.door(0).operators;
    let put = env.put(operators, "/manifest", &declared(&targets, &["menus"]));
    assert_eq!(put.status, 200, "{}", put.text);
    for target in &targets {
        wait_until("the new weight is loaded", || held(*target) == json!(["menus"]));
        let effects = get(*target, "/v1/orders").json()["effects"].clone();
        let fences: Vec<u64> = effects
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|it| it["fence"].as_u64())
            .collect();
        assert!(fences.is_sorted(), "{effects}");
    }
}
