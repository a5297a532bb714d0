//! Several gateways: replication of the manifest, membership and links, an unreachable store, and leaving hosts.

use std::{io::Write, net::TcpStream, thread, time::Duration};

use serde_json::{Value, json};

use crate::{
    env::{Answer, DoorLocation, TestEnv, get, post, start_service, target, wait_until},
    relay::Relay,
};

const SHORT_INTERVALS: &str =
    "peers.heartbeat_ms = 100\nownership.lease_ms = 2000\nownership.renew_ms = 500";
const MANIFEST_PATH: &str = "/apis/samphiredoor.dev/v1/manifests/current";
const ZONES: [(&str, &str); 3] =
    [("brisbane", "brisbane-north"), ("brisbane", "brisbane-south"), ("cairns", "cairns-port")];

fn fleet(doors: usize) -> TestEnv {
    let mut env = TestEnv::new();
    for number in 0..doors {
        let (region, availability_zone) = ZONES[number % ZONES.len()];
        let store = env.store;
        env.start_door_at(&DoorLocation { region, availability_zone, store }, SHORT_INTERVALS);
    }
    for door in 0..doors {
        wait_until("all gateways list each other as members", || {
            env.metric(door, "members") == doors as u64
        });
    }
    env
}

fn declared(name: &str) -> Value {
    json!({ "services": [{ "name": name, "kind": "plain" }] })
}

fn put(env: &mut TestEnv, door: usize, name: &str) -> Answer {
    let operators = env.door(door).operators;
    env.put(operators, "/manifest", &declared(name))
}

fn revision(env: &mut TestEnv, door: usize) -> u64 {
    get(env.door(door).operators, "/ready").json()["revision"].as_u64().unwrap_or_default()
}

fn wait_for_revision(env: &mut TestEnv, door: usize, expected: u64) {
    wait_until("the revision is active", || revision(env, door) == expected);
}

#[test]
fn a_change_accepted_by_one_of_nine_gateways_becomes_active_on_all() {
    let mut env = fleet(9);
    for expected in 1..=5 {
        let answer = put(&mut env, expected as usize, &format!("service-{expected}"));
        assert_eq!(answer.json()["revision"], expected, "{}", answer.text);
        for door in 0..9 {
            wait_for_revision(&mut env, door, expected);
        }
    }
    // Two per availability zone for the manifest, and two for the host list.
    wait_until("only the selected watchers watch", || {
        get(env.store, "/calls").json()["waiting watches"].as_u64() <= Some(8)
    });
}

/// Guards against the loss of an accepted change. The store goes down right after the write, no watch has delivered the
/// change, and the gateway that accepted it dies. The change would be lost if it were acknowledged before another
/// gateway holds it.
#[test]
fn an_accepted_change_survives_its_gateway_when_the_store_goes_down() {
    let mut env = fleet(3);
    env.faults(&json!({ "watch_lag_ms": 600_000 }));
    let answer = put(&mut env, 0, "tours");
    assert_eq!(answer.status, 200, "{}", answer.text);
    env.door(0).kill();
    env.faults(&json!({ "outage": true }));
    for door in [1, 2] {
        wait_for_revision(&mut env, door, 1);
    }
}

/// Guards against a gateway that stays unready when it is restarted during an outage of the store. It starts without a
/// manifest and must request it from the seed peers.
#[test]
fn a_gateway_that_starts_in_an_outage_gets_the_manifest_from_its_peers() {
    let mut env = fleet(3);
    assert_eq!(put(&mut env, 0, "tours").status, 200);
    env.door(2).kill();
    env.faults(&json!({ "outage": true }));
    let (first, second) = (env.door(0).peers, env.door(1).peers);
    env.restart_door(2, &format!("{SHORT_INTERVALS}\npeers.seeds = [\"{first}\", \"{second}\"]"));
    wait_for_revision(&mut env, 2, 1);
    assert_eq!(get(env.door(2).operators, "/ready").status, 200);
}

#[test]
fn a_gateway_without_a_manifest_is_not_ready() {
    let mut env = TestEnv::new();
    env.faults(&json!({ "outage": true }));
    env.start_door_with(SHORT_INTERVALS);
    assert_eq!(get(env.door(0).operators, "/ready").status, 503);
    assert_eq!(get(env.door(0).operators, "/health").status, 200);
}

fn stored(env: &TestEnv) -> Value {
    get(env.store, MANIFEST_PATH).json()
}

fn overwrite(env: &TestEnv, spec: &Value) {
    let mut object = stored(env);
    object["spec"] = spec.clone();
    let answer = env.put(env.store, MANIFEST_PATH, &object);
    assert_eq!(answer.status, 200, "{}", answer.text);
}

/// Guards against the return of an old manifest. The store is restored from an older copy and watches deliver the old
/// object, which a gateway must not make active because its revision is lower.
#[test]
fn a_store_restored_from_an_older_copy_reverts_nothing() {
    let mut env = fleet(3);
    assert_eq!(put(&mut env, 0, "first").status, 200);
    let old = stored(&env)["spec"].clone();
    assert_eq!(put(&mut env, 1, "second").status, 200);
    for door in 0..3 {
        wait_for_revision(&mut env, door, 2);
    }
    overwrite(&env, &old);
    let refusals = "manifest_refusals_total{reason=\"older\"}";
    wait_until("a gateway refused the old record", || {
        (0..3).any(|door| env.metric(door, refusals) > 0)
    });
    for door in 0..3 {
        assert_eq!(revision(&mut env, door), 2);
    }
    let answer = put(&mut env, 2, "third");
    assert_eq!(answer.json()["revision"], 3, "{}", answer.text);
    for door in 0..3 {
        wait_for_revision(&mut env, door, 3);
    }
}

#[test]
fn a_manifest_of_a_newer_format_is_refused_and_the_active_one_stays() {
    let mut env = fleet(2);
    assert_eq!(put(&mut env, 0, "first").status, 200);
    overwrite(&env, &json!({ "format": 99, "revision": 9, "writer": "next", "manifest": {} }));
    let refusals = "manifest_refusals_total{reason=\"unusable\"}";
    wait_until("a gateway refused the newer format", || {
        (0..2).any(|door| env.metric(door, refusals) > 0)
    });
    assert_eq!(revision(&mut env, 0), 1);
    assert_eq!(put(&mut env, 0, "second").status, 409);
}

/// Guards against a lost update. Two operators read revision 1 and write at the same time; a write that does not check
/// the revision that it replaces would silently overwrite the other one.
#[test]
fn of_two_concurrent_changes_the_losing_response_names_the_winner() {
    let mut env = fleet(2);
    assert_eq!(put(&mut env, 0, "first").status, 200);
    wait_for_revision(&mut env, 1, 1);
    let addresses = [env.door(0).operators, env.door(1).operators];
    let env = &env;
    let answers: Vec<Answer> = thread::scope(|scope| {
        let change = |(number, address)| {
            let path = "/manifest?expected_revision=1";
            scope.spawn(move || env.put(address, path, &declared(&format!("change-{number}"))))
        };
        let threads: Vec<_> = addresses.into_iter().enumerate().map(change).collect();
        threads.into_iter().map(|it| it.join().expect("an answer")).collect()
    });
    let mut statuses: Vec<u16> = answers.iter().map(|it| it.status).collect();
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{answers:?}");
    let lost = answers.iter().find(|it| it.status == 409).expect("one change lost");
    assert_eq!(lost.json()["revision"], 2);
    assert!(lost.json()["winner"].as_str().is_some_and(|it| it.starts_with("operator-door-")));
}

/// Guards against an error for a change that was stored, which would make the operator apply it again over a later one.
/// The store commits the write and its response is lost, so the gateway must read what is stored before it responds.
#[test]
fn a_write_whose_response_was_lost_is_found_and_reported_as_accepted() {
    let mut env = fleet(2);
    assert_eq!(put(&mut env, 0, "first").status, 200);
    env.faults(&json!({ "lose_answers": 1 }));
    // The fault may hit another write, such as a lease renewal; the expected response is the same.
    let answer = put(&mut env, 0, "second");
    assert_eq!(answer.json()["revision"], 2, "{}", answer.text);
}

/// Guards against a faulty host or a network scan that stops a gateway. The peers' listener receives invalid bytes,
/// half a message, and a peer with a wrong token; the failure of such a link must not affect others.
#[test]
fn garbage_and_wrong_tokens_are_refused_and_counted() {
    let mut env = TestEnv::new();
    let tokens = ["correct-horse-battery", "wrong-horse-battery-x"];
    let mut settings = tokens.map(|it| {
        let file = env.write(it, it);
        format!("{SHORT_INTERVALS}\npeers.token_file = \"{file}\"")
    });
    env.start_door_with(&settings[0]);
    let peers = env.door(0).peers;
    for bytes in [&[0xff; 64][..], &[0, 0, 0, 0, 16, 0, 0, 0, 1, 2], b"GET / HTTP/1.1\r\n\r\n"] {
        let mut stream = TcpStream::connect(peers).expect("a connection");
        stream.write_all(bytes).expect("bytes are sent");
    }
    let no_entry = "peer_refusals_total{reason=\"no_entry\"}";
    wait_until("garbage is refused", || env.metric(0, no_entry) >= 3);
    settings[1].push_str(&format!("\npeers.seeds = [\"{peers}\"]"));
    env.start_door_with(&settings[1]);
    let wrong = "peer_refusals_total{reason=\"wrong_token\"}";
    wait_until("the wrong token is refused", || env.metric(0, wrong) > 0);
    env.start_door_with(&settings[0]);
    wait_until("the correct token is accepted", || {
        env.metric(2, "peer_bytes_received_total") > 1_000
    });
    assert_eq!(get(env.door(0).operators, "/health").status, 200);
}

/// Guards against an online path that depends on the store. The link to the store's region is cut; the gateway has the
/// manifest and targets, so it must serve online requests, and refuse jobs as not run.
#[test]
fn a_gateway_cut_off_from_the_store_serves_online_requests_and_refuses_jobs_as_not_run() {
    let mut env = TestEnv::new();
    let relay = Relay::start(env.store);
    let store = env.store;
    env.start_door_at(&DoorLocation { store, ..DoorLocation::default() }, SHORT_INTERVALS);
    let (region, availability_zone) = ZONES[2];
    let location = DoorLocation { region, availability_zone, store: relay.address };
    env.start_door_at(&location, SHORT_INTERVALS);
    let service = start_service(Duration::ZERO);
    env.declare(&json!({
        "services": [{ "name": "pickup", "kind": "plain" }],
        "targets": [target("pickup-0", "pickup", service)],
    }));
    relay.cut();
    let item = r#"{"custom_id":"1","url":"/services/pickup/count","body":{}}"#;
    let job = |key: &str| env.post(1, "/v1/batches", &[("idempotency-key", key)], item);
    let refused = job("cut");
    assert_eq!(refused.status, 503, "{}", refused.text);
    assert!(refused.text.contains("not run"), "{}", refused.text);
    for _ in 0..20 {
        let answer = env.post(1, "/services/pickup/count", &[], r#"{"coach":7}"#);
        assert_eq!(answer.status, 200, "{}", answer.text);
    }
    relay.restore();
    wait_until("jobs are accepted again", || job("joined").status == 200);
}

/// Guards against requests to a host that is leaving. The host list marks the host as leaving, and gateways that do not
/// read the list must act on it, too.
#[test]
fn all_gateways_stop_sending_to_a_target_whose_host_is_leaving() {
    let env = fleet(3);
    let service = start_service(Duration::ZERO);
    env.declare(&json!({
        "services": [{ "name": "pickup", "kind": "plain" }],
        "targets": [target("pickup-0", "pickup", service)],
    }));
    let entry = json!({
        "metadata": { "name": "host-0" },
        "spec": { "address": "127.0.0.1", "leaving": true },
    });
    let answer = post(env.store, "/apis/samphiredoor.dev/v1/hosts", &[], &entry.to_string());
    assert_eq!(answer.status, 201, "{}", answer.text);
    for door in 0..3 {
        wait_until("the gateway sends nothing to the target", || {
            env.post(door, "/services/pickup/count", &[], "{}").status == 503
        });
    }
}
