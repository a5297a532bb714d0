//! Requests with an idempotency key, through real gateway processes.

use std::thread::{self, JoinHandle};

use samphiredoor_embedded::engine::EngineConfig;
use serde_json::json;

use crate::{
    env::{Answer, TestEnv, post, start_engine, target, wait_until},
    raw_target::{RawTarget, Reply},
};

const KEY: (&str, &str) = ("idempotency-key", "yard-7");
const PATH: &str = "/services/booking/confirm";
const SHORT_LEASE: &str = "ownership.lease_ms = 1000\nownership.renew_ms = 200";

fn booking(doors: usize, booking: &RawTarget) -> TestEnv {
    let mut env = TestEnv::new();
    for _ in 0..doors {
        env.start_door_with(SHORT_LEASE);
    }
    env.declare(&json!({
        "services": [{ "name": "booking", "kind": "plain", "repeatable": false }],
        "targets": [target("booking-0", "booking", booking.address)],
    }));
    env
}

fn gated() -> (flume::Sender<()>, Reply) {
    let (open, gate) = flume::bounded(1);
    (open, Reply::Gated(gate, "confirmed"))
}

/// A booking that is running, sent to the first gateway by a caller that waits. The target answers when a message is
/// sent to `open`.
struct Running {
    env: TestEnv,
    target: RawTarget,
    open: flume::Sender<()>,
    first: JoinHandle<Answer>,
}

fn running(doors: usize, headers: &'static [(&'static str, &'static str)]) -> Running {
    let (open, reply) = gated();
    let target = RawTarget::start([reply]);
    let env = booking(doors, &target);
    let callers = env.callers(0);
    let first = thread::spawn(move || post(callers, PATH, headers, "monday"));
    wait_until("the first request runs", || target.ran().len() == 1);
    Running { env, target, open, first }
}

fn confirm(env: &TestEnv, door: usize) -> Answer {
    env.post(door, PATH, &[KEY], "monday")
}

fn error(answer: &Answer) -> String {
    answer.json()["error"]["type"].as_str().unwrap_or_default().to_owned()
}

/// Guards against a booking that is made twice: a caller sends it again because the answer is slow, and the load
/// balancer routes the resend to another gateway while the first run is in progress.
#[test]
fn a_resend_to_another_gateway_does_not_run_during_or_after_the_first_run() {
    let Running { env, target, open, first } = running(2, &[KEY]);
    let during = confirm(&env, 1);
    assert_eq!((during.status, error(&during).as_str()), (409, "still_running"));
    assert!(during.text.contains("may have run"), "{}", during.text);
    open.send(()).expect("the target waits");
    let first = first.join().expect("answered");
    assert_eq!((first.status, first.text.as_str()), (200, "confirmed"));
    wait_until("the outcome is stored", || confirm(&env, 1).status == 200);
    let after = confirm(&env, 1);
    assert_eq!((after.status, after.text.as_str()), (200, "confirmed"));
    assert_eq!(after.headers["x-replayed"], "true");
    let other = env.post(1, PATH, &[KEY], "tuesday");
    assert_eq!((other.status, error(&other).as_str()), (409, "key_reused"));
    assert_eq!(target.ran(), ["monday"]);
}

/// The same with a resend to the same gateway: it waits and gets the answer of the run, although the first caller has
/// disconnected.
#[test]
fn a_run_continues_without_its_caller_and_answers_the_resend() {
    let (open, reply) = gated();
    let target = RawTarget::start([reply]);
    let mut env = booking(1, &target);
    let callers = env.door(0).callers;
    {
        use std::io::Write;
        let mut caller = std::net::TcpStream::connect(callers).expect("the gateway listens");
        let request = format!(
            "POST {PATH} HTTP/1.1\r\nhost: door\r\nidempotency-key: yard-7\r\ncontent-length: 6\r\n\r\nmonday"
        );
        caller.write_all(request.as_bytes()).expect("sent");
        wait_until("the first request runs", || target.ran().len() == 1);
    }
    let second = thread::spawn(move || post(callers, PATH, &[KEY], "monday"));
    open.send(()).expect("the target waits");
    let second = second.join().expect("answered");
    assert_eq!((second.status, second.text.as_str()), (200, "confirmed"));
    assert_eq!(target.ran(), ["monday"]);
    assert_eq!(target.closed_by_client(), 0);
}

/// The gateway is killed while the booking runs. Whether it was made is unknown, so no gateway may run it again,
/// however often it is sent. It is reported as running at first, and after the lease or deadline as one that may have
/// run.
#[test]
fn a_resend_after_the_gateway_was_killed_is_not_run_again() {
    let Running { mut env, target, open: _open, first } =
        running(2, &[KEY, ("x-deadline-ms", "1000")]);
    env.door(0).kill();
    assert_eq!(first.join().expect("cut off").status, 0);
    wait_until("the other gateway declares the holder dead", || {
        let answer = confirm(&env, 1);
        assert!(answer.text.contains("may have run"), "{}", answer.text);
        error(&answer) == "intent_without_outcome"
    });
    assert_eq!(target.ran(), ["monday"]);
}

/// The store is down when the booking arrives. The booking is refused at once and has not run; once the store is back,
/// a resend with the same key runs.
#[test]
fn a_request_that_cannot_be_recorded_is_refused_and_not_run() {
    let target = RawTarget::start([]);
    let env = booking(1, &target);
    env.faults(&json!({ "outage": true }));
    let refused = confirm(&env, 0);
    assert_eq!((refused.status, error(&refused).as_str()), (503, "store_unavailable"));
    assert!(refused.text.contains("not run"), "{}", refused.text);
    assert!(refused.headers.contains_key("retry-after"));
    assert!(target.ran().is_empty());
    env.faults(&json!({}));
    assert_eq!(confirm(&env, 0).status, 200);
    assert_eq!(target.ran(), ["monday"]);
}

/// The store goes down while the booking runs. The caller still gets its answer, so does a resend to the same gateway,
/// and the other gateway can replay it when the store is back.
#[test]
fn an_outcome_is_kept_until_the_store_is_back() {
    let Running { env, target, open, first } = running(2, &[KEY]);
    env.faults(&json!({ "outage": true }));
    open.send(()).expect("the target waits");
    assert_eq!(first.join().expect("answered").text, "confirmed");
    assert_eq!(confirm(&env, 0).text, "confirmed");
    assert_eq!(error(&confirm(&env, 1)), "store_unavailable");
    env.faults(&json!({}));
    wait_until("the other gateway replays it", || confirm(&env, 1).text == "confirmed");
    assert_eq!(target.ran(), ["monday"]);
}

macro_rules! lost_answers {
    ($($name:ident: $lost:expr;)*) => {
        $(
            /// The store executes the write and its answer is lost. A gateway that treated this as a failure would
            /// refuse a request that its peers see as running, or run it twice.
            #[test]
            fn $name() {
                let target = RawTarget::start([]);
                let env = booking(2, &target);
                env.faults(&json!({ "lose_answers": $lost }));
                assert_eq!(confirm(&env, 0).text, "ok");
                wait_until("the other gateway replays it", || confirm(&env, 1).text == "ok");
                assert_eq!(target.ran(), ["monday"]);
            }
        )*
    };
}

lost_answers! {
    a_lost_answer_at_the_intent_leads_to_one_run: 1;
    lost_answers_at_intent_and_outcome_lead_to_one_run: 6;
}

/// An answer is too large for its record. The other gateway must replay it completely, from the object that holds its
/// body.
#[test]
fn a_large_answer_is_replayed_completely_by_another_gateway() {
    let large: &'static str = Box::leak("confirmed ".repeat(4_000).into_boxed_str());
    let target = RawTarget::start([Reply::Whole(large)]);
    let env = booking(2, &target);
    assert_eq!(confirm(&env, 0).text, large);
    wait_until("the other gateway replays it", || confirm(&env, 1).status == 200);
    assert_eq!(confirm(&env, 1).text, large);
    assert_eq!(target.ran(), ["monday"]);
}

/// A streamed answer to a request with a key is replayed completely. It is only stored because it ended with its last
/// event.
#[test]
fn a_streamed_answer_is_replayed_completely() {
    let mut env = TestEnv::new();
    env.start_door();
    let engine = start_engine(EngineConfig { step_ms: 1.0, ..EngineConfig::default() });
    env.declare(&json!({
        "services": [{ "name": "small", "kind": "engine" }],
        "targets": [target("engine-0", "small", engine)],
    }));
    let call = r#"{"model":"small","prompt":"hello","max_tokens":3,"stream":true}"#;
    let first = env.post(0, "/v1/completions", &[KEY], call);
    assert!(first.text.contains("data: [DONE]"), "{}", first.text);
    wait_until("the answer is stored", || {
        env.post(0, "/v1/completions", &[KEY], call).headers.contains_key("x-replayed")
    });
    assert_eq!(env.post(0, "/v1/completions", &[KEY], call).text, first.text);
}

/// A gateway is shut down gracefully right after it answered. The store is slow, so the outcome is not written yet.
#[test]
fn a_graceful_shutdown_writes_the_outcomes_first() {
    let target = RawTarget::start([]);
    let mut env = booking(2, &target);
    env.faults(&json!({ "latency_ms": 100 }));
    assert_eq!(confirm(&env, 0).status, 200);
    env.door(0).signal("TERM");
    assert!(env.door(0).wait());
    assert_eq!(confirm(&env, 1).text, "ok");
    assert_eq!(target.ran(), ["monday"]);
}
