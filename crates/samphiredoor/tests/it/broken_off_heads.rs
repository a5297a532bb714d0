//! Answers of targets that break off inside their heads.

use serde_json::json;

use crate::{
    env::{TestEnv, job_lines, target, wait_until},
    raw_target::{RawTarget, Reply},
};

/// Heads with a length, with chunks, of an event stream that its connection ends, and after an interim head.
const HEADS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n",
];
/// Distance between two parts of a head.
const PART_STEP: usize = 7;
const LAST_EVENTS: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n\
    data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";

/// Parts of the heads, none of them whole.
fn parts_of_heads() -> impl Iterator<Item = Reply> {
    HEADS.iter().flat_map(|head| {
        let ends = (1..head.len()).rev().step_by(PART_STEP);
        ends.map(|it| Reply::SendAndClose(&head[..it]))
    })
}

/// Guards against an empty answer with success in place of one that broke off.
#[test]
fn a_part_of_a_head_is_no_answer_of_a_service() {
    let count = parts_of_heads().count();
    let booking = RawTarget::start(parts_of_heads());
    let mut env = TestEnv::new();
    env.start_door();
    env.declare(&json!({
        "services": [{ "name": "booking", "kind": "plain", "repeatable": false }],
        "targets": [target("booking-0", "booking", booking.address)],
    }));
    for number in 0..count {
        wait_until("the request runs", || {
            let answer = env.post(0, "/services/booking/confirm", &[], "monday");
            assert_ne!(answer.status, 200, "{number}: {}", answer.text);
            booking.ran().len() > number
        });
    }
}

/// Guards against items that are answered with an empty text.
#[test]
fn a_part_of_a_head_is_no_answer_to_an_item() {
    let script = HEADS.iter().map(|it| Reply::SendAndClose(&it[..it.len() / 2]));
    let engine = RawTarget::start(script.take(3).chain([Reply::SendAndClose(LAST_EVENTS)]));
    let mut env = TestEnv::new();
    env.start_door();
    env.declare(&json!({
        "services": [{ "name": "small", "kind": "engine", "resumable": true, "repeatable": true }],
        "targets": [target("engine-0", "small", engine.address)],
    }));
    let key = [("idempotency-key", "monday")];
    let submitted = env.post(0, "/v1/batches", &key, &job_lines(1, 1));
    let job = submitted.json()["id"].as_str().expect("an id").to_owned();
    wait_until("the job is completed", || {
        env.get(0, &format!("/v1/batches/{job}")).json()["status"] == "completed"
    });
    let results = env.get(0, &format!("/v1/batches/{job}/results")).text;
    assert!(results.contains(r#""outcome":"answered""#), "{results}");
    assert_eq!(engine.ran().len(), 4);
}
