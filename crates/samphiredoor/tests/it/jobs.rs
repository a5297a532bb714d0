//! Batch jobs through real gateway processes that are killed, paused, or lose the connection to their store.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use samphiredoor_embedded::{engine::EngineConfig, engine_http::Runs};
use serde_json::{Value, json};

use crate::env::{Answer, TestEnv, get, post, start_engine, start_service, target, wait_until};

const ITEMS: usize = 600;
const SHORT_LEASE: &str = "ownership.lease_ms = 1500\nownership.renew_ms = 300\n";
/// Longer than any test waits, so that no lease expires.
const LONG_LEASE: &str = "ownership.lease_ms = 600000\nownership.renew_ms = 300\n";

struct Case {
    env: TestEnv,
    engine: SocketAddr,
    plain: SocketAddr,
}

impl Case {
    fn new(settings: &str) -> Case {
        let mut env = TestEnv::new();
        env.start_door_with(settings);
        env.start_door_with(settings);
        let engine = start_engine(EngineConfig { step_ms: 2.0, ..EngineConfig::default() });
        let plain = start_service(Duration::from_millis(20));
        env.declare(&json!({
            "services": [
                { "name": "small", "kind": "engine" },
                { "name": "booking", "kind": "plain", "repeatable": false },
            ],
            "targets": [target("engine-0", "small", engine), target("desk-0", "booking", plain)],
        }));
        let mut case = Case { env, engine, plain };
        // The loss of a gateway that no peer has discovered yet is detected only when they list the leases next.
        for door in 0..2 {
            wait_until("the gateways have discovered each other", || {
                case.metric(door, "samphiredoor_members ") == 2
            });
        }
        case
    }

    fn submit(&self, door: usize, key: &str, lines: &str) -> String {
        let answer = self.env.post(door, "/v1/batches", &[("idempotency-key", key)], lines);
        assert_eq!(answer.status, 200, "{}", answer.text);
        answer.json()["id"].as_str().expect("an id").to_owned()
    }

    fn status(&self, door: usize, job: &str) -> Value {
        self.env.get(door, &format!("/v1/batches/{job}")).json()
    }

    fn wait_for(&self, door: usize, job: &str, status: &str) {
        wait_until(status, || self.status(door, job)["status"] == status);
    }

    fn wait_for_progress(&self, door: usize, job: &str, at_least: u64) {
        let completed = || self.status(door, job)["request_counts"]["completed"].as_u64();
        wait_until("the job is under way", || completed().is_some_and(|it| it >= at_least));
    }

    /// Outcomes by the caller's item id. Fails if an item has two results.
    fn results(&self, door: usize, job: &str) -> BTreeMap<String, String> {
        let mut results = BTreeMap::new();
        let answer = self.env.get(door, &format!("/v1/batches/{job}/results"));
        for line in answer.text.lines() {
            let line: Value = serde_json::from_str(line).expect("a line is JSON");
            let id = line["custom_id"].as_str().expect("an id").to_owned();
            let before = results.insert(id, line["outcome"].as_str().unwrap_or("").to_owned());
            assert!(before.is_none(), "two results for one item: {line}");
        }
        results
    }

    fn runs(&self) -> Runs {
        serde_json::from_str(&get(self.engine, "/runs").text).expect("the engine counts its runs")
    }

    fn assert_whole(&self, door: usize, job: &str) {
        let results = self.results(door, job);
        assert_eq!(results.len(), ITEMS);
        assert!(results.values().all(|it| it == "answered"));
    }

    fn event(&mut self, door: usize, event: &str) -> u64 {
        self.metric(door, &format!("samphiredoor_job_events_total{{reason=\"{event}\"}} "))
    }

    /// Sum of the metrics whose lines start with `start`.
    fn metric(&mut self, door: usize, start: &str) -> u64 {
        let text = get(self.env.door(door).operators, "/metrics").text;
        let lines = text.lines().filter(|it| it.starts_with(start));
        lines.filter_map(|it| it.rsplit(' ').next()?.parse::<u64>().ok()).sum()
    }
}

fn lines(items: usize, tokens: u32) -> String {
    let line = |number| {
        json!({
            "custom_id": format!("order-{number}"),
            "url": "/v1/completions",
            "body": { "model": "small", "prompt": "no nuts", "max_tokens": tokens },
        })
    };
    let lines: Vec<String> = (0..items).map(|it| line(it).to_string()).collect();
    lines.join("\n")
}

fn booking_lines(items: usize) -> String {
    let line = |number| {
        json!({
            "custom_id": format!("visit-{number}"),
            "url": "/services/booking/confirm",
            "body": { "yard": number },
        })
    };
    let lines: Vec<String> = (0..items).map(|it| line(it).to_string()).collect();
    lines.join("\n")
}

/// Guards against jobs that never complete: the owner is killed in the middle of a job. The other gateway detects that
/// its lease has expired, takes over the job and runs the items without a result.
#[test]
fn another_gateway_finishes_the_job_of_a_killed_owner() {
    let mut case = Case::new(SHORT_LEASE);
    let job = case.submit(0, "tour-1", &lines(ITEMS, 4));
    case.wait_for_progress(0, &job, 1);
    case.env.door(0).kill();
    assert_eq!(case.status(1, &job)["request_counts"]["total"], ITEMS);
    case.wait_for(1, &job, "completed");
    case.assert_whole(1, &job);
    assert_eq!(case.event(1, "taken"), 1);
}

/// The same, but the owner is killed right after it has acknowledged the job, before any item has run.
#[test]
fn a_job_survives_the_loss_of_the_host_that_acknowledged_it() {
    let mut case = Case::new(SHORT_LEASE);
    let job = case.submit(0, "tour-2", &lines(ITEMS, 4));
    case.env.door(0).kill();
    case.wait_for(1, &job, "completed");
    case.assert_whole(1, &job);
}

/// Guards against two owners of one job: the owner is paused for longer than its lease, another gateway finishes the
/// job, and the owner resumes. It finds its lease expired and the job taken over, so it drops the job; no result
/// changes.
#[test]
fn a_paused_owner_that_resumes_changes_no_result() {
    let mut case = Case::new(SHORT_LEASE);
    let job = case.submit(0, "tour-3", &lines(ITEMS, 4));
    case.wait_for_progress(0, &job, 1);
    case.env.door(0).signal("STOP");
    case.wait_for(1, &job, "completed");
    let path = format!("/v1/batches/{job}/results");
    let before = case.env.get(1, &path).text;
    case.env.door(0).signal("CONT");
    wait_until("the owner drops the job", || case.event(0, "dropped") == 1);
    assert_eq!(case.env.get(0, &path).text, before);
    case.assert_whole(0, &job);
}

/// A job is submitted to two gateways at the same time, as a caller does that retries after a slow answer; one job is
/// accepted. Then the same key is used with other items, which is refused.
#[test]
fn a_job_submitted_to_two_gateways_is_accepted_once() {
    let case = Case::new(LONG_LEASE);
    let doors: Vec<SocketAddr> = (0..2).map(|it| case.env.callers(it)).collect();
    let senders = doors.into_iter().map(|door| {
        std::thread::spawn(move || {
            post(door, "/v1/batches", &[("idempotency-key", "tour-4")], &lines(ITEMS, 2))
        })
    });
    let senders: Vec<_> = senders.collect();
    let answers: Vec<Answer> =
        senders.into_iter().map(|it| it.join().expect("a sender ends")).collect();
    let ids: BTreeSet<String> = answers.iter().map(|it| it.json()["id"].to_string()).collect();
    assert_eq!(ids.len(), 1, "{answers:?}");
    let other = lines(ITEMS, 3);
    let refused = case.env.post(1, "/v1/batches", &[("idempotency-key", "tour-4")], &other);
    assert_eq!(refused.status, 409, "{}", refused.text);
    let job = answers[0].json()["id"].as_str().expect("an id").to_owned();
    case.wait_for(0, &job, "completed");
    case.assert_whole(1, &job);
    let runs = case.runs();
    assert!(runs.completed.values().all(|it| *it == 1), "an item was run twice");
    wait_until("the chunks of the refused upload are deleted", || {
        let chunks = get(case.env.store, "/apis/samphiredoor.dev/v1/chunks").json();
        chunks["items"].as_array().map(Vec::len) == Some(ITEMS.div_ceil(250))
    });
}

/// The store is down in the middle of a job. The owner holds the results in memory and writes them when the store is
/// back; no item runs again.
#[test]
fn a_job_continues_after_a_store_outage() {
    let case = Case::new(LONG_LEASE);
    let job = case.submit(0, "tour-5", &lines(ITEMS, 4));
    case.wait_for_progress(0, &job, 1);
    case.env.faults(&json!({ "outage": true }));
    wait_until("the dispatched items have ended", || case.runs().completed.len() >= 256);
    assert_eq!(case.env.get(0, &format!("/v1/batches/{job}")).status, 503);
    case.env.faults(&json!({}));
    case.wait_for(0, &job, "completed");
    case.assert_whole(1, &job);
    assert!(case.runs().completed.values().all(|it| *it == 1), "an item was run twice");
}

/// Writes take effect and their answers are lost, during the acceptance and while the job runs. Each such write is read
/// back before anything is written again: one job, one result for each item, and no second run.
#[test]
fn lost_store_answers_cause_no_second_run() {
    let case = Case::new(LONG_LEASE);
    // The write of a chunk is attempted three times before the caller is asked to retry.
    case.env.faults(&json!({ "lose_answers": 2 }));
    let job = case.submit(0, "tour-6", &lines(ITEMS, 4));
    case.env.faults(&json!({ "lose_answers": 6 }));
    case.wait_for(0, &job, "completed");
    case.assert_whole(1, &job);
    assert!(case.runs().completed.values().all(|it| *it == 1), "an item was run twice");
}

/// A job is cancelled at a gateway that does not own it. The owner is notified, aborts the requests on the engine, and
/// no result is stored any more.
#[test]
fn a_cancellation_at_another_gateway_stops_the_job_and_the_engine() {
    let case = Case::new(SHORT_LEASE);
    let job = case.submit(0, "tour-7", &lines(ITEMS, 100_000));
    wait_until("the engine works", || load(&case) > 0);
    let answer = case.env.post(1, &format!("/v1/batches/{job}/cancel"), &[], "");
    assert_eq!(answer.status, 200, "{}", answer.text);
    case.wait_for(1, &job, "cancelled");
    wait_until("the engine is idle", || load(&case) == 0);
    assert!(case.results(1, &job).is_empty());
    let again = case.env.post(0, &format!("/v1/batches/{job}/cancel"), &[], "");
    assert_eq!(again.json()["status"], "cancelled", "a second cancel changes nothing");
}

/// A job is cancelled while its owner is paused for longer than its lease. Another gateway takes over the job only to
/// close it.
#[test]
fn a_job_whose_owner_is_paused_can_be_cancelled() {
    let mut case = Case::new(SHORT_LEASE);
    let job = case.submit(0, "tour-8", &lines(ITEMS, 100_000));
    wait_until("the engine works", || load(&case) > 0);
    case.env.door(0).signal("STOP");
    let answer = case.env.post(1, &format!("/v1/batches/{job}/cancel"), &[], "");
    assert_eq!(answer.status, 200, "{}", answer.text);
    case.wait_for(1, &job, "cancelled");
    assert_eq!(case.metric(1, "samphiredoor_item_ends_total"), 0, "the new owner ran an item");
    case.env.door(0).signal("CONT");
    wait_until("the engine is idle", || load(&case) == 0);
    assert!(case.results(1, &job).is_empty());
}

fn load(case: &Case) -> u64 {
    get(case.engine, "/load").json()["running"].as_u64().unwrap_or(0)
}

/// Guards against jobs that pause for the duration of a lease each time a host is replaced: a stopping owner commits
/// its results and releases the job, and the other gateway continues it at once.
#[test]
fn a_graceful_shutdown_hands_the_job_over() {
    let mut case = Case::new(LONG_LEASE);
    let job = case.submit(0, "tour-9", &lines(ITEMS, 4));
    case.wait_for_progress(0, &job, 1);
    case.env.door(0).signal("TERM");
    assert!(case.env.door(0).wait());
    case.wait_for(1, &job, "completed");
    case.assert_whole(1, &job);
}

/// Guards against bookings that are made twice: their items are not repeatable, and the owner is killed while some are
/// in flight. Those that may have run end as such and are not sent again; all others are made.
#[test]
fn bookings_run_at_most_once_although_their_owner_is_killed() {
    let mut case = Case::new(SHORT_LEASE);
    let job = case.submit(0, "round-1", &booking_lines(60));
    wait_until("some bookings are made", || plain_runs(&case).len() >= 10);
    case.env.door(0).kill();
    case.wait_for(1, &job, "completed");
    let results = case.results(1, &job);
    let may_have_run = results.values().filter(|it| *it == "may_have_run").count();
    assert_eq!(results.len(), 60);
    assert!(may_have_run <= 16, "more may have run than had an intent: {results:?}");
    assert!(results.values().all(|it| it == "answered" || it == "may_have_run"));
    assert!(plain_runs(&case).values().all(|it| *it == 1), "a booking was made twice");
}

fn plain_runs(case: &Case) -> BTreeMap<String, u32> {
    serde_json::from_str(&get(case.plain, "/runs").text).expect("the service counts its runs")
}

/// A finished job can be removed and its key used again; the new job does not see the old results.
#[test]
fn a_removed_job_does_not_affect_a_later_one_with_its_key() {
    let case = Case::new(LONG_LEASE);
    let job = case.submit(0, "tour-10", &lines(10, 2));
    case.wait_for(0, &job, "completed");
    let removed = case.env.delete(1, &format!("/v1/batches/{job}"));
    assert_eq!(removed.status, 200, "{}", removed.text);
    assert_eq!(case.env.get(0, &format!("/v1/batches/{job}")).status, 404);
    assert_eq!(case.submit(1, "tour-10", &lines(ITEMS, 2)), job);
    case.wait_for(1, &job, "completed");
    case.assert_whole(0, &job);
}

/// The store counts the calls of a job: one write for each chunk, two for the header and one for each full group of
/// results. In addition there are at most eight writes for results that do not fill a group, and after those one in ten
/// seconds.
#[test]
fn a_job_takes_a_bounded_number_of_writes() {
    const CHUNKS: u64 = 4;
    const LINGERING: u64 = 8;
    let case = Case::new(LONG_LEASE);
    let before = case.env.calls();
    let job = case.submit(0, "tour-11", &lines(1_000, 2));
    case.wait_for(0, &job, "completed");
    let after = case.env.calls();
    let made = |call: &str| after.get(call).unwrap_or(&0) - before.get(call).unwrap_or(&0);
    assert_eq!(made("create chunks"), CHUNKS);
    assert_eq!((made("create jobs"), made("update jobs")), (1, 1));
    assert_eq!(made("create results"), CHUNKS);
    assert!(made("update results") <= CHUNKS + LINGERING, "{}", made("update results"));
    assert_eq!(made("get chunks"), CHUNKS);
    assert_eq!(made("get results"), CHUNKS);
}
