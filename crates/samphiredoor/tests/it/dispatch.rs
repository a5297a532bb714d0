//! Requests that meet targets which refuse, push back or break off.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use bytes::Bytes;
use hyper::{Request, Response, StatusCode, body::Incoming, header::HeaderValue};
use samphiredoor_embedded::engine::EngineConfig;
use samphiredoor_net::{Body, BoxError};
use serde_json::json;

use crate::env::{TestEnv, get, start, start_engine, target, wait_until};

/// A call with a prompt of its own, as calls with the same prompt go to the same engine.
fn call(number: usize, stream: bool) -> String {
    let prompt = format!("order {number}");
    json!({ "model": "small", "prompt": prompt, "max_tokens": 3, "stream": stream }).to_string()
}

/// A door with a good engine and a bad target of the same service.
fn door_with(bad: SocketAddr) -> TestEnv {
    let mut env = TestEnv::new();
    env.start_door();
    let engine = start_engine(EngineConfig { step_ms: 1.0, ..EngineConfig::default() });
    env.declare(&json!({
        "services": [{ "name": "small", "kind": "engine" }],
        "targets": [target("bad", "small", bad), target("good", "small", engine)],
    }));
    env
}

fn metric(env: &mut TestEnv, line: &str) -> u64 {
    let text = get(env.door(0).operators, "/metrics").text;
    let line = format!("samphiredoor_{line} ");
    let found = text.lines().find_map(|it| it.strip_prefix(&line));
    found.and_then(|it| it.parse().ok()).unwrap_or(0)
}

fn server(
    answer: impl Fn(&Request<Incoming>) -> Response<Body> + Copy + Send + 'static,
) -> SocketAddr {
    start(move || move |request| async move { answer(&request) })
}

fn with_status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::full("{}"));
    *response.status_mut() = status;
    response
}

/// A host is gone and its target refuses connections. Callers would see errors for their share of requests until the
/// declarations change, as the door goes on choosing it.
#[test]
fn a_target_that_refuses_connections_costs_no_caller_an_answer() {
    let unused = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = unused.local_addr().expect("an address");
    drop(unused);
    let mut env = door_with(address);
    for number in 0..20 {
        let answer = env.post(0, "/v1/completions", &[], &call(number, false));
        assert_eq!(answer.status, 200, "{}", answer.text);
    }
    let ejections = r#"ejections_total{reason="unreachable"}"#;
    wait_until("the ejection is counted", || metric(&mut env, ejections) > 0);
}

/// An engine is full and says so with 503. The caller would get that answer, though another engine has room.
#[test]
fn an_engine_that_pushes_back_is_passed_over() {
    let mut env = door_with(server(|request| match request.uri().path() {
        "/load" => with_status(StatusCode::NOT_FOUND),
        _ => with_status(StatusCode::SERVICE_UNAVAILABLE),
    }));
    let mut number = 0;
    wait_until("a request has met the full engine", || {
        number += 1;
        let answer = env.post(0, "/v1/completions", &[], &call(number, false));
        assert_eq!(answer.status, 200, "{}", answer.text);
        metric(&mut env, r#"retries_total{reason="pushback"}"#) > 0
    });
}

/// An engine crashes after it has begun to answer a stream, and before its first token. The caller would get an empty
/// stream, though nothing has reached it and the request may run again.
#[test]
fn a_stream_that_breaks_before_its_first_token_is_answered_by_another_engine() {
    let mut env = door_with(server(|request| match request.uri().path() {
        "/load" => with_status(StatusCode::NOT_FOUND),
        _ => {
            let broken = async {
                // Lets the head go out first.
                compio::time::sleep(Duration::from_millis(20)).await;
                Err::<Bytes, BoxError>("crashed".into())
            };
            Response::new(Body::stream(futures_util::stream::once(broken)))
        }
    }));
    let mut number = 0;
    wait_until("a request has met the broken engine", || {
        number += 1;
        let answer = env.post(0, "/v1/completions", &[], &call(number, true));
        assert!(answer.text.contains("data: [DONE]"), "{} {}", answer.status, answer.text);
        metric(&mut env, r#"retries_total{reason="answer_lost"}"#) > 0
    });
}

#[test]
fn a_target_is_told_the_time_that_is_left() {
    let address = server(|request| {
        let unknown = HeaderValue::from_static("none");
        let left = request.headers().get("x-deadline-ms").unwrap_or(&unknown);
        Response::new(Body::full(left.as_bytes().to_vec()))
    });
    let mut env = TestEnv::new();
    env.start_door();
    env.declare(&json!({
        "services": [{ "name": "pickup", "kind": "plain", "deadline_ms": 20_000 }],
        "targets": [target("pickup-0", "pickup", address)],
    }));
    let left_ms = |headers: &[(&str, &str)]| -> u64 {
        let answer = env.post(0, "/services/pickup/count", headers, "{}");
        answer.text.parse().expect("a number")
    };
    let named = left_ms(&[("x-deadline-ms", "30000")]);
    assert!((20_001..=30_000).contains(&named), "{named}");
    let of_the_service = left_ms(&[]);
    assert!((1..=20_000).contains(&of_the_service), "{of_the_service}");
}

/// A plain service's own 503 is its answer: nobody but it knows whether the call ran.
#[test]
fn a_plain_services_own_refusal_is_passed_on() {
    let address = server(|_| with_status(StatusCode::SERVICE_UNAVAILABLE));
    let mut env = TestEnv::new();
    env.start_door();
    env.declare(&json!({
        "services": [{ "name": "pickup", "kind": "plain" }],
        "targets": [target("pickup-0", "pickup", address)],
    }));
    let answer = env.post(0, "/services/pickup/count", &[], "{}");
    assert_eq!((answer.status, answer.text.as_str()), (503, "{}"));
}

/// An engine is full for a while and refuses the items of a job. If each refusal counts as a try, the items end as
/// failed after four of them, though none has run.
#[test]
fn an_item_that_a_full_engine_refuses_is_run_later() {
    static REFUSALS: AtomicU32 = AtomicU32::new(0);
    let address = server(|request| match request.uri().path() {
        "/load" => with_status(StatusCode::NOT_FOUND),
        _ if REFUSALS.fetch_add(1, Ordering::Relaxed) < 4 => {
            with_status(StatusCode::SERVICE_UNAVAILABLE)
        }
        _ => with_status(StatusCode::OK),
    });
    let mut env = TestEnv::new();
    env.start_door();
    env.declare(&json!({
        "services": [{ "name": "small", "kind": "engine" }],
        "targets": [target("engine-0", "small", address)],
    }));
    let line =
        json!({ "custom_id": "one", "url": "/v1/completions", "body": { "model": "small" } });
    let answer = env.post(0, "/v1/batches", &[("idempotency-key", "full")], &line.to_string());
    let path = format!("/v1/batches/{}", answer.json()["id"].as_str().expect("an id"));
    wait_until("the job is completed", || env.get(0, &path).json()["status"] == "completed");
    assert_eq!(env.get(0, &path).json()["request_counts"]["completed"], 1);
}

#[test]
fn a_deadline_beyond_all_measure_is_taken_for_a_long_one() {
    let mut env = TestEnv::new();
    env.start_door();
    let engine = start_engine(EngineConfig::default());
    env.declare(&json!({
        "services": [{ "name": "small", "kind": "engine" }],
        "targets": [target("engine-0", "small", engine)],
    }));
    let headers = [("x-deadline-ms", "18446744073709551615")];
    let answer = env.post(0, "/v1/completions", &headers, &call(0, false));
    assert_eq!(answer.status, 200, "{}", answer.text);
}
