//! A request that crashes each target that runs it, through real gateway processes.

use std::{net::SocketAddr, thread};

use serde_json::json;

use crate::{
    env::{Answer, TestEnv, get, post, target, wait_until},
    raw_target::{RawTarget, Reply},
};

const POISON: &str = r#"{"model":"small","prompt":"poison"}"#;
const PATH: &str = "/v1/completions";
const OTHERS: usize = 6;

fn gateways_with(targets: &[RawTarget]) -> TestEnv {
    let mut env = TestEnv::new();
    env.start_door();
    env.start_door();
    let named = |(number, it): (usize, &RawTarget)| {
        target(&format!("engine-{number}"), "small", it.address)
    };
    let targets: Vec<_> = targets.iter().enumerate().map(named).collect();
    env.declare(&json!({
        "services": [{ "name": "small", "kind": "engine" }],
        "targets": targets,
    }));
    env
}

fn dead(targets: &[RawTarget]) -> usize {
    targets.iter().filter(|it| it.is_dead()).count()
}

fn error(answer: &Answer) -> String {
    answer.json()["error"]["type"].as_str().unwrap_or_default().to_owned()
}

/// Guards against the loss of all engines: a request crashes each engine that runs it, its caller retries, and all
/// other requests are lost with the engines. After two deaths the request is refused at once by the gateway, by its
/// peer and by a gateway that starts later. Requests that ran beside it are answered by other engines.
#[test]
fn a_request_that_crashes_targets_is_refused_after_two_deaths() {
    let (open, gate) = flume::unbounded();
    let targets: Vec<RawTarget> = (0..4)
        .map(|_| {
            let gated = (0..OTHERS).map(|_| Reply::Gated(gate.clone(), "fine"));
            RawTarget::start(gated).with_crash_on("poison")
        })
        .collect();
    let mut env = gateways_with(&targets);
    let callers = env.door(0).callers;
    let others: Vec<_> = (0..OTHERS)
        .map(|number| {
            let body = format!(r#"{{"model":"small","prompt":"order {number}"}}"#);
            thread::spawn(move || post(callers, PATH, &[], &body))
        })
        .collect();
    let running = || targets.iter().map(|it| it.ran().len()).sum::<usize>();
    wait_until("the other requests run", || running() == OTHERS);
    let poison = thread::spawn(move || {
        // The caller retries until the answer reports a final refusal.
        for _ in 0..10 {
            let answer = post(callers, PATH, &[], POISON);
            if answer.status == 422 {
                return answer;
            }
        }
        panic!("the refusal never became final");
    });
    let poison = loop {
        // The other requests finish one by one, on whichever engine they are running by now.
        let _ = open.send(());
        if poison.is_finished() {
            break poison.join().expect("a final answer");
        }
        thread::sleep(std::time::Duration::from_millis(5));
    };
    assert_eq!(dead(&targets), 2, "{}", poison.text);
    for _ in 0..10 * OTHERS {
        let _ = open.send(());
    }
    for other in others {
        let answer = other.join().expect("answered");
        assert_eq!((answer.status, answer.text.as_str()), (200, "fine"));
    }
    let again = env.post(0, PATH, &[], POISON);
    assert_eq!((again.status, error(&again).as_str()), (422, "quarantined"));
    assert!(again.text.contains(r#""not run""#), "{}", again.text);
    let operators = env.door(1).operators;
    wait_until("the peer refuses it", || suspects(operators)[0]["state"] == "refused");
    assert_eq!(env.post(1, PATH, &[], POISON).status, 422);
    // A gateway that reads the stored list before it is written reads it again only a minute later.
    let list = "/apis/samphiredoor.dev/v1/suspects";
    wait_until("the deaths are stored", || get(env.store, list).text.contains("\"deaths\":2"));
    let late = env.start_door();
    let operators = env.door(late).operators;
    wait_until("a gateway that starts later refuses it", || {
        suspects(operators)[0]["state"] == "refused"
    });
    assert_eq!(dead(&targets), 2);
}

/// An owner has repaired the engines and lifts the suspicion on one gateway; the request may run again on another.
#[test]
fn a_lifted_request_may_run_again() {
    let targets: Vec<RawTarget> =
        (0..4).map(|_| RawTarget::start([]).with_crash_on("poison")).collect();
    let mut env = gateways_with(&targets);
    env.post(0, PATH, &[], POISON);
    wait_until("it is refused", || env.post(1, PATH, &[], POISON).status == 422);
    let operators = env.door(0).operators;
    let fingerprint = suspects(operators)[0]["fingerprint"].as_str().expect("text").to_owned();
    let lifted = post(operators, "/statement", &[], &format!("lift suspect {fingerprint}"));
    assert_eq!(lifted.status, 200, "{}", lifted.text);
    wait_until("it is not refused", || env.post(1, PATH, &[], POISON).status != 422);
    assert!(dead(&targets) > 2);
}

fn suspects(operators: SocketAddr) -> serde_json::Value {
    post(operators, "/statement", &[], "suspects").json()["rows"].clone()
}

/// The same with an item of a job: the item ends as failed, and the other items of the job complete.
#[test]
fn an_item_that_crashes_targets_ends_as_failed() {
    let targets: Vec<RawTarget> =
        (0..4).map(|_| RawTarget::start([]).with_crash_on("poison")).collect();
    let env = gateways_with(&targets);
    let item = |id: &str, prompt: &str| {
        let body = json!({ "model": "small", "prompt": prompt });
        json!({ "custom_id": id, "url": PATH, "body": body }).to_string()
    };
    let lines = [item("a", "order 1"), item("b", "poison"), item("c", "order 2")].join("\n");
    let accepted = env.post(0, "/v1/batches", &[("idempotency-key", "tour-7")], &lines);
    let job = accepted.json()["id"].as_str().expect("accepted").to_owned();
    let path = format!("/v1/batches/{job}");
    wait_until("the job ends", || env.get(0, &path).json()["status"] == "completed");
    let counts = &env.get(0, &path).json()["request_counts"];
    assert_eq!((counts["completed"].as_u64(), counts["failed"].as_u64()), (Some(2), Some(1)));
    assert_eq!(dead(&targets), 2);
}

/// A target loses connections and stays alive, as with a faulty cable. No request becomes a suspect: the caller may
/// retry, and gets an answer once the target answers.
#[test]
fn a_lost_connection_to_a_live_target_raises_no_suspicion() {
    let target = RawTarget::start([Reply::Close, Reply::Close, Reply::Close, Reply::Close]);
    let mut env = gateways_with(std::slice::from_ref(&target));
    let call = r#"{"model":"small","prompt":"order 1"}"#;
    wait_until("the request is answered", || {
        let answer = env.post(0, PATH, &[], call);
        assert_ne!(answer.status, 422, "{}", answer.text);
        answer.status == 200
    });
    assert!(target.ran().len() >= 5);
    let operators = env.door(0).operators;
    assert_eq!(suspects(operators), json!([]));
}
