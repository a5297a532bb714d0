//! Checks that an answer that does not end, or does not go on, costs one attempt of one call.

use serde_json::json;

use crate::{
    env::{TestEnv, target, wait_until},
    raw_target::{RawTarget, Reply},
};

/// Guards against orders that wait forever for the rest of an answer, so that their target never gets its weights.
#[test]
fn an_order_whose_answer_stops_is_sent_again() {
    let started = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf";
    let engine = RawTarget::start([Reply::Send(started)]);
    let mut env = TestEnv::new();
    env.start_door();
    let mut target = target("engine-0", "small", engine.address);
    target["weights"] = json!(["base"]);
    env.declare(&json!({
        "services": [{ "name": "small", "kind": "engine" }],
        "targets": [target],
        "weight_store": { "loads_at_once": 1, "longest_order_ms": 300 },
    }));
    wait_until("the order is sent again", || engine.ran().len() > 1);
    assert_eq!(engine.closed_by_client(), 1);
}
