//! A request that crashes each target that runs it, through real doors.

use std::{net::SocketAddr, thread};

use serde_json::json;

use crate::{
    env::{Answer, TestEnv, get, post, target, wait_until},
    raw_target::{RawTarget, Reply},
};

const POISON: &str = r#"{"model":"small","prompt":"poison"}"#;
const PATH: &str = "/v1/completions";
const NEIGHBOURS: usize = 6;

fn doors_with(targets: &[RawTarget]) -> TestEnv {
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

/// One broken order list kills each engine that reads it, and its sender sends it until every engine is gone; all other
/// orders go with them. Two engines are lost, then it is refused at once by the door, by its peer, and after a restart;
/// those that ran beside it are answered by other engines.
#[test]
fn a_request_that_kills_its_targets_is_refused_after_two() {
    let (open, gate) = flume::unbounded();
    let targets: Vec<RawTarget> = (0..4)
        .map(|_| {
            let gated = (0..NEIGHBOURS).map(|_| Reply::Gated(gate.clone(), "fine"));
            RawTarget::start(gated).with_crash_on("poison")
        })
        .collect();
    let mut env = doors_with(&targets);
    let callers = env.door(0).callers;
    let neighbours: Vec<_> = (0..NEIGHBOURS)
        .map(|number| {
            let body = format!(r#"{{"model":"small","prompt":"order {number}"}}"#);
            thread::spawn(move || post(callers, PATH, &[], &body))
        })
        .collect();
    let running = || targets.iter().map(|it| it.ran().len()).sum::<usize>();
    wait_until("the neighbours run", || running() == NEIGHBOURS);
    let poison = thread::spawn(move || {
        // The sender gives up only when it is told that this is final.
        for _ in 0..10 {
            let answer = post(callers, PATH, &[], POISON);
            if answer.status == 422 {
                return answer;
            }
        }
        panic!("never told that it is final");
    });
    let poison = loop {
        // The neighbours finish one by one, wherever they are by now.
        let _ = open.send(());
        if poison.is_finished() {
            break poison.join().expect("told");
        }
        thread::sleep(std::time::Duration::from_millis(5));
    };
    assert_eq!(dead(&targets), 2, "{}", poison.text);
    for _ in 0..10 * NEIGHBOURS {
        let _ = open.send(());
    }
    for neighbour in neighbours {
        let answer = neighbour.join().expect("answered");
        assert_eq!((answer.status, answer.text.as_str()), (200, "fine"));
    }
    let again = env.post(0, PATH, &[], POISON);
    assert_eq!((again.status, error(&again).as_str()), (422, "quarantined"));
    assert!(again.text.contains(r#""not run""#), "{}", again.text);
    let operators = env.door(1).operators;
    wait_until("the other door knows", || suspects(operators)[0]["state"] == "refused");
    assert_eq!(env.post(1, PATH, &[], POISON).status, 422);
    // A door that reads the list before it is written reads it again a minute later only.
    let list = "/apis/samphiredoor.dev/v1/suspects";
    wait_until("the blame is kept", || get(env.store, list).text.contains("\"deaths\":2"));
    let late = env.start_door();
    let operators = env.door(late).operators;
    wait_until("a door that starts later knows", || suspects(operators)[0]["state"] == "refused");
    assert_eq!(dead(&targets), 2);
}

/// An owner has mended the engines and lifts the suspicion at one door; the request may run again at another.
#[test]
fn a_lifted_request_may_run_again() {
    let targets: Vec<RawTarget> =
        (0..4).map(|_| RawTarget::start([]).with_crash_on("poison")).collect();
    let mut env = doors_with(&targets);
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

/// The same as an item of a job: it ends as a failure, and the others of its job complete.
#[test]
fn an_item_that_kills_its_targets_ends_as_failed() {
    let targets: Vec<RawTarget> =
        (0..4).map(|_| RawTarget::start([]).with_crash_on("poison")).collect();
    let env = doors_with(&targets);
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

/// A target breaks connections and goes on, as one behind a faulty cable. No request is to blame: the sender may send
/// it again, and it is answered once the target answers.
#[test]
fn a_lost_connection_to_a_living_target_blames_nobody() {
    let target = RawTarget::start([Reply::Close, Reply::Close, Reply::Close, Reply::Close]);
    let mut env = doors_with(std::slice::from_ref(&target));
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
