//! Orders to load weights, with real gateway processes and targets.

use std::{net::SocketAddr, time::Duration};

use samphiredoor_embedded::orders_http::Weights;
use serde_json::{Value, json};

use crate::env::{TestEnv, get, start, target, wait_until};

const SHORT_LEASE: &str = "ownership.lease_ms = 600\nownership.renew_ms = 150";

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

/// Guards against targets without a leader after a gateway died. New weights are declared at that time; another gateway
/// must take over the targets and load the weights, whether or not a target checks fencing tokens, and no order with an
/// older token may take effect afterwards.
#[test]
fn targets_of_a_dead_gateway_get_orders_from_another() {
    let mut env = TestEnv::new();
    env.start_door_with(SHORT_LEASE);
    let killed = env.start_door_with(SHORT_LEASE);
    let targets: Vec<SocketAddr> = (0..6).map(|it| start_weights(it % 2 == 0)).collect();
    env.declare(&declared(&targets, &["base"]));
    for target in &targets {
        wait_until("the weight is loaded", || held(*target) == json!(["base"]));
    }
    env.door(killed).kill();
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
