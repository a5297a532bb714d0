//! Checks that an answer that does not end, or does not go on, costs one attempt of one call.

use serde_json::json;

use crate::{
    env::{TestEnv, job_lines, target, wait_until},
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

const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
const LAST_EVENTS: &str =
    "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";

macro_rules! items {
    ($($name:ident: $start:expr, $repeated:expr, runs: $runs:expr;)*) => {
        $(
            /// Guards against an item, and its slot, that are lost for ten minutes to an engine that sends without end.
            #[test]
            fn $name() {
                let start: &'static str = Box::leak(format!("{STREAM}{}", $start).into_boxed_str());
                let whole: &'static str =
                    Box::leak(format!("{STREAM}{LAST_EVENTS}").into_boxed_str());
                let script =
                    [Reply::Endless(start, $repeated.repeat(1_000)), Reply::SendAndClose(whole)];
                let engine = RawTarget::start(script);
                let mut env = TestEnv::new();
                env.start_door();
                env.declare(&json!({
                    "services": [{ "name": "small", "kind": "engine", "resumable": true, "repeatable": true }],
                    "targets": [target("engine-0", "small", engine.address)],
                }));
                let key = [("idempotency-key", "monday")];
                let submitted = env.post(0, "/v1/batches", &key, &job_lines(1, 1));
                assert_eq!(submitted.status, 200, "{}", submitted.text);
                let job = submitted.json()["id"].as_str().expect("an id").to_owned();
                wait_until("the job is completed", || {
                    env.get(0, &format!("/v1/batches/{job}")).json()["status"] == "completed"
                });
                let results = env.get(0, &format!("/v1/batches/{job}/results")).text;
                assert!(results.contains(r#""outcome":"answered""#), "{results}");
                assert_eq!(engine.ran().len(), $runs);
            }
        )*
    };
}

items! {
    an_item_without_output_is_sent_again: "", ": wait\n\n", runs: 2;
    an_item_whose_event_does_not_end_is_sent_again: "data: {\"choices\":[", "a", runs: 2;
    an_item_with_its_last_event_is_complete: LAST_EVENTS, "a", runs: 1;
    an_item_with_events_after_its_last_one_is_complete: LAST_EVENTS, ": wait\n\n", runs: 1;
}
