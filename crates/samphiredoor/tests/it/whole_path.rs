//! Requests from a caller through a gateway to a target, and the answers back.

use std::time::Duration;

use crate::env::{TestEnv, job_lines, wait_until};

fn one_gateway() -> TestEnv {
    let mut env = TestEnv::new();
    env.start_door();
    env.declare_small_and_pickup(1.0, Duration::ZERO);
    env
}

macro_rules! cases {
    ($($name:ident: $path:expr, $body:expr => $status:expr, $holds:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let env = one_gateway();
                let answer = env.post(0, $path, &[], $body);
                assert_eq!(answer.status, $status, "{}", answer.text);
                assert!(answer.text.contains($holds), "{}", answer.text);
            }
        )*
    };
}

cases! {
    a_completion_is_answered_completely:
        "/v1/completions", r#"{"model":"small","prompt":"hello","max_tokens":3}"#
        => 200, "w0 w1 w2";
    a_chat_completion_is_streamed_to_its_end:
        "/v1/chat/completions", r#"{"model":"small","messages":[],"max_tokens":2,"stream":true}"#
        => 200, "data: [DONE]";
    a_plain_service_is_reached_by_path:
        "/services/pickup/count", r#"{"coach":7}"# => 200, r#"{"coach":7}"#;
    a_request_without_a_model_is_refused_with_the_field:
        "/v1/completions", r#"{"prompt":"hello"}"# => 400, r#""field":"model""#;
    a_request_for_an_undeclared_service_was_not_run:
        "/v1/completions", r#"{"model":"large"}"# => 404, "not run";
}

#[test]
fn a_job_is_completed_and_its_results_are_readable() {
    let env = one_gateway();
    let lines = job_lines(600, 2);
    let answer = env.post(0, "/v1/batches", &[("idempotency-key", "tour-7")], &lines);
    assert_eq!(answer.status, 200, "{}", answer.text);
    let job = answer.json()["id"].as_str().expect("an id").to_owned();
    let path = format!("/v1/batches/{job}");
    wait_until("the job is completed", || env.get(0, &path).json()["status"] == "completed");
    assert_eq!(env.get(0, &path).json()["request_counts"]["completed"], 600);
    let results = env.get(0, &format!("{path}/results"));
    assert_eq!(results.text.lines().count(), 600);
}

#[test]
fn a_job_with_a_bad_line_is_refused_with_the_line_number() {
    let env = one_gateway();
    let lines = format!("{}\nnot json\n", job_lines(1, 2));
    let answer = env.post(0, "/v1/batches", &[("idempotency-key", "tour-8")], &lines);
    assert_eq!(answer.status, 400);
    assert_eq!(answer.json()["error"]["field"], "line 2");
}

/// Guards against streams that break off when a host is replaced: the gateway gets SIGTERM during a stream, and must
/// not end while its connections are in use.
#[test]
fn a_graceful_shutdown_lets_a_running_stream_finish() {
    let mut env = one_gateway();
    let callers = env.door(0).callers;
    let call = r#"{"model":"small","prompt":"hello","max_tokens":300,"stream":true}"#;
    let caller =
        std::thread::spawn(move || crate::env::post(callers, "/v1/completions", &[], call));
    wait_until("the stream runs", || env.metric(0, "running") > 0);
    env.door(0).signal("TERM");
    let answer = caller.join().expect("the caller's thread ends");
    assert!(answer.text.contains("data: [DONE]"), "{}", answer.text);
    assert!(env.door(0).wait());
}
