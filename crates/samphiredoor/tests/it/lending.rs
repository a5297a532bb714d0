//! Preemption of batch items on a real engine.

use samphiredoor_embedded::engine::EngineConfig;
use serde_json::{Value, json};

use crate::env::{TestEnv, get, start_engine, target, wait_until};

const ITEMS: usize = 12;
const TOKENS: usize = 400;

/// Guards against answers with missing or repeated words: an online request preempts an item whose answer is partly
/// generated, and the next attempt resumes at the wrong token.
#[test]
fn a_preempted_item_gets_its_complete_answer() {
    let mut env = TestEnv::new();
    env.start_door();
    let config = EngineConfig { step_ms: 2.0, step_per_sequence_ms: 0.1, ..Default::default() };
    let engine = start_engine(config);
    env.declare(&json!({
        "services": [{ "name": "small", "kind": "engine", "resumable": true }],
        "targets": [target("engine-0", "small", engine)],
    }));
    let lines: Vec<String> = (0..ITEMS).map(item_line).collect();
    let answer = env.post(0, "/v1/batches", &[("idempotency-key", "sheets")], &lines.join("\n"));
    let job = answer.json()["id"].as_str().expect("an id").to_owned();
    wait_until("several items run", || running(engine) >= 4);
    wait_until("an item is preempted", || {
        let call = r#"{"model":"small","prompt":"when","max_tokens":2}"#;
        assert_eq!(env.post(0, "/v1/completions", &[], call).status, 200);
        aborted(engine) > 0
    });
    let path = format!("/v1/batches/{job}");
    wait_until("the job is completed", || env.get(0, &path).json()["status"] == "completed");
    let results = env.get(0, &format!("{path}/results")).text;
    assert_eq!(results.lines().count(), ITEMS);
    let whole: String = (0..TOKENS).map(|it| format!("w{it} ")).collect();
    for line in results.lines() {
        let result: Value = serde_json::from_str(line).expect("a line of JSON");
        let choice = &result["response"]["body"]["choices"][0];
        assert_eq!(choice["text"], whole.as_str());
        assert_eq!(choice["finish_reason"], "length");
    }
}

fn item_line(number: usize) -> String {
    json!({
        "custom_id": format!("sheet-{number}"),
        "url": "/v1/completions",
        "body": { "model": "small", "prompt": "round sheet", "max_tokens": TOKENS },
    })
    .to_string()
}

fn running(engine: std::net::SocketAddr) -> u64 {
    get(engine, "/load").json()["running"].as_u64().unwrap_or(0)
}

fn aborted(engine: std::net::SocketAddr) -> u64 {
    get(engine, "/record").json()["batch_aborted"].as_u64().unwrap_or(0)
}
