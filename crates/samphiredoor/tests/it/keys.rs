//! Requests under an idempotency key, through real doors.

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

/// A booking that runs, sent to the first door by a caller that waits; its target answers when `open` is told.
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
    wait_until("the first runs", || target.ran().len() == 1);
    Running { env, target, open, first }
}

fn confirm(env: &TestEnv, door: usize) -> Answer {
    env.post(door, PATH, &[KEY], "monday")
}

fn error(answer: &Answer) -> String {
    answer.json()["error"]["type"].as_str().unwrap_or_default().to_owned()
}

/// A clerk's screen hangs and she sends the confirmation again; the balancer gives it to another door while the first
/// still runs. Two farriers would stand at one yard if the second door ran it as well.
#[test]
fn a_resend_to_another_door_does_not_run_during_or_after_the_first_run() {
    let Running { env, target, open, first } = running(2, &[KEY]);
    let during = confirm(&env, 1);
    assert_eq!((during.status, error(&during).as_str()), (409, "still_running"));
    assert!(during.text.contains("may have run"), "{}", during.text);
    open.send(()).expect("the target waits");
    let first = first.join().expect("answered");
    assert_eq!((first.status, first.text.as_str()), (200, "confirmed"));
    wait_until("the outcome is kept", || confirm(&env, 1).status == 200);
    let after = confirm(&env, 1);
    assert_eq!((after.status, after.text.as_str()), (200, "confirmed"));
    assert_eq!(after.headers["x-replayed"], "true");
    let other = env.post(1, PATH, &[KEY], "tuesday");
    assert_eq!((other.status, error(&other).as_str()), (409, "key_reused"));
    assert_eq!(target.ran(), ["monday"]);
}

/// The same to the same door: the second sending waits and gets the one answer, though the first caller has gone.
#[test]
fn a_run_goes_on_without_its_caller_and_answers_the_resend() {
    let (open, reply) = gated();
    let target = RawTarget::start([reply]);
    let mut env = booking(1, &target);
    let callers = env.door(0).callers;
    {
        use std::io::Write;
        let mut caller = std::net::TcpStream::connect(callers).expect("the door listens");
        let request = format!(
            "POST {PATH} HTTP/1.1\r\nhost: door\r\nidempotency-key: yard-7\r\ncontent-length: 6\r\n\r\nmonday"
        );
        caller.write_all(request.as_bytes()).expect("sent");
        wait_until("the first runs", || target.ran().len() == 1);
    }
    let second = thread::spawn(move || post(callers, PATH, &[KEY], "monday"));
    open.send(()).expect("the target waits");
    let second = second.join().expect("answered");
    assert_eq!((second.status, second.text.as_str()), (200, "confirmed"));
    assert_eq!(target.ran(), ["monday"]);
    assert_eq!(target.hung_up(), 0);
}

/// The door is lost while the booking runs. Nobody knows whether it was made, so no door may run it again, however
/// often it is sent; first it counts as running, and once its lease or deadline is over as one that may have run.
#[test]
fn a_resend_after_the_door_was_killed_is_not_run_again() {
    let Running { mut env, target, open: _open, first } =
        running(2, &[KEY, ("x-deadline-ms", "1000")]);
    env.door(0).kill();
    assert_eq!(first.join().expect("cut off").status, 0);
    wait_until("the other door gives the holder up", || {
        let answer = confirm(&env, 1);
        assert!(answer.text.contains("may have run"), "{}", answer.text);
        error(&answer) == "intent_without_outcome"
    });
    assert_eq!(target.ran(), ["monday"]);
}

/// The store is down when the booking comes. It is refused at once and truly not run; once the store is back, the same
/// key runs.
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

/// The store goes down while the booking runs. The caller gets its answer all the same, a resend to the same door gets
/// it too, and the other door learns of it when the store is back.
#[test]
fn an_outcome_is_kept_until_the_store_is_back() {
    let Running { env, target, open, first } = running(2, &[KEY]);
    env.faults(&json!({ "outage": true }));
    open.send(()).expect("the target waits");
    assert_eq!(first.join().expect("answered").text, "confirmed");
    assert_eq!(confirm(&env, 0).text, "confirmed");
    assert_eq!(error(&confirm(&env, 1)), "store_unavailable");
    env.faults(&json!({}));
    wait_until("the other door replays it", || confirm(&env, 1).text == "confirmed");
    assert_eq!(target.ran(), ["monday"]);
}

macro_rules! lost_answers {
    ($($name:ident: $lost:expr;)*) => {
        $(
            /// The store takes the write and its answer is lost. A door that took that for a failure would refuse a
            /// request that others see as running, or run it twice.
            #[test]
            fn $name() {
                let target = RawTarget::start([]);
                let env = booking(2, &target);
                env.faults(&json!({ "lose_answers": $lost }));
                assert_eq!(confirm(&env, 0).text, "ok");
                wait_until("the other door replays it", || confirm(&env, 1).text == "ok");
                assert_eq!(target.ran(), ["monday"]);
            }
        )*
    };
}

lost_answers! {
    a_lost_answer_at_the_intent_leads_to_one_run: 1;
    lost_answers_at_intent_and_outcome_lead_to_one_run: 6;
}

/// An answer is too large for its record. The other door must give it out whole, from the object that holds its body.
#[test]
fn a_large_answer_is_replayed_whole_by_another_door() {
    let large: &'static str = Box::leak("confirmed ".repeat(4_000).into_boxed_str());
    let target = RawTarget::start([Reply::Whole(large)]);
    let env = booking(2, &target);
    assert_eq!(confirm(&env, 0).text, large);
    wait_until("the other door replays it", || confirm(&env, 1).status == 200);
    assert_eq!(confirm(&env, 1).text, large);
    assert_eq!(target.ran(), ["monday"]);
}

/// A streamed answer under a key is sent again whole, and only because it ended with its last event.
#[test]
fn a_streamed_answer_is_replayed_whole() {
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
    wait_until("the answer is kept", || {
        env.post(0, "/v1/completions", &[KEY], call).headers.contains_key("x-replayed")
    });
    assert_eq!(env.post(0, "/v1/completions", &[KEY], call).text, first.text);
}

/// A door is stopped as planned right after it answered; the store was slow, so the outcome still waited for its write.
#[test]
fn a_planned_stop_writes_the_outcomes_first() {
    let target = RawTarget::start([]);
    let mut env = booking(2, &target);
    env.faults(&json!({ "latency_ms": 100 }));
    assert_eq!(confirm(&env, 0).status, 200);
    env.door(0).signal("TERM");
    assert!(env.door(0).wait());
    assert_eq!(confirm(&env, 1).text, "ok");
    assert_eq!(target.ran(), ["monday"]);
}
