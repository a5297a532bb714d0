//! Operators' queries and commands, and the errors for invalid ones.

use samphiredoor_embedded::engine::EngineConfig;
use serde_json::{Value, json};

use crate::env::{Answer, TestEnv, post, start_engine, target};

fn declared() -> TestEnv {
    let mut env = TestEnv::new();
    env.start_door();
    let engine = start_engine(EngineConfig { step_ms: 1.0, ..EngineConfig::default() });
    env.declare(&json!({
        "services": [{ "name": "small", "kind": "engine" }],
        "targets": [target("engine-0", "small", engine), target("engine-1", "small", engine)],
    }));
    env
}

fn run_statement(env: &mut TestEnv, statement: &str) -> Answer {
    post(env.door(0).operators, "/statement", &[], statement)
}

fn names(answer: &Answer) -> Vec<String> {
    let rows = answer.json()["rows"].as_array().cloned().unwrap_or_default();
    rows.iter().filter_map(|it| it["name"].as_str()).map(str::to_owned).collect()
}

macro_rules! refused {
    ($($name:ident: $statement:expr => $status:expr, $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let answer = run_statement(&mut declared(), $statement);
                assert_eq!(answer.status, $status, "{}", answer.text);
                assert!(answer.text.contains($expected), "{}", answer.text);
            }
        )*
    };
}

refused! {
    an_unknown_field_is_reported_with_a_suggestion: "targets where sate = x" => 400, "did you mean `state`?";
    an_undeclared_target_cannot_be_drained: "drain target engine-9" => 400, "engine-9";
    a_setting_out_of_bounds_is_refused:
        "set target engine-0 loan_limit = 65" => 400, "targets[0].loan_limit";
    a_rollback_without_a_previous_revision_is_refused: "rollback" => 400, "no revision before";
    items_of_an_unknown_job_are_not_found: "items where job = job-0" => 404, "no such job";
}

#[test]
fn a_drained_target_is_listed_and_gets_no_new_requests() {
    let mut env = declared();
    assert_eq!(run_statement(&mut env, "drain target engine-0").status, 200);
    let drained = run_statement(&mut env, "targets where state = drained");
    assert_eq!(names(&drained), ["engine-0"]);
    let all = run_statement(&mut env, "targets").json();
    assert_eq!((&all["rows"][1]["online"], &all["rows"][1]["batch"]), (&json!(0), &json!(0)));
    assert_eq!(run_statement(&mut env, "drain target engine-1").status, 200);
    let call = r#"{"model":"small","prompt":"hello"}"#;
    let answer = env.post(0, "/v1/completions", &[], call);
    assert_eq!(answer.status, 503, "{}", answer.text);
    assert_eq!(answer.json()["error"]["type"], "no_target");
}

#[test]
fn a_rollback_is_a_new_revision_with_the_previous_declarations() {
    let mut env = declared();
    run_statement(&mut env, "drain target engine-0");
    let answer = run_statement(&mut env, "rollback");
    assert_eq!(answer.json(), json!({ "revision": 3 }));
    assert_eq!(names(&run_statement(&mut env, "targets where state = drained")), [] as [&str; 0]);
}

#[test]
fn items_are_queried_by_job() {
    let mut env = declared();
    let line = json!({
        "custom_id": "sheet-1",
        "url": "/v1/completions",
        "body": { "model": "small", "prompt": "round", "max_tokens": 1 },
    });
    let headers = [("idempotency-key", "rounds")];
    let job = env.post(0, "/v1/batches", &headers, &line.to_string()).json();
    let statement = format!("items where job = {}", job["id"].as_str().expect("an id"));
    crate::env::wait_until("the item is answered", || {
        let rows: Value = run_statement(&mut env, &statement).json();
        rows["rows"][0]["state"] == "answered" && rows["rows"][0]["custom_id"] == "sheet-1"
    });
}

#[test]
fn operators_without_the_token_are_refused() {
    let mut env = TestEnv::new();
    let file = env.write("token", "a token that is long enough\n");
    let door = env.start_door_with(&format!("operators.token_file = \"{file}\""));
    let address = env.door(door).operators;
    let bare = post(address, "/statement", &[], "targets");
    assert_eq!(bare.status, 401);
    let wrong = post(address, "/statement", &[("authorization", "Bearer wrong")], "targets");
    assert_eq!(wrong.status, 401);
    let shown = [("authorization", "Bearer a token that is long enough")];
    assert_eq!(post(address, "/statement", &shown, "targets").status, 200);
    assert_eq!(crate::env::get(address, "/health").status, 200);
}
