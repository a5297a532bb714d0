//! Batch jobs through real processes that die, freeze and lose their store.

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
/// No test waits as long as this lease.
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
        // A door that is lost before any other knew it is only found with their next list of leases.
        for door in 0..2 {
            wait_until("the doors know each other", || {
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

    /// Outcomes by the caller's own id; no id may have two.
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

    /// Sum of the metrics whose lines start so.
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

/// A child's box stays unpacked because the host that worked on the list was lost. The owner is killed in mid-job; the
/// other door sees its lease lapse, takes the job and runs what has no result.
#[test]
fn the_other_door_finishes_the_job_of_a_killed_owner() {
    let mut case = Case::new(SHORT_LEASE);
    let job = case.submit(0, "tour-1", &lines(ITEMS, 4));
    case.wait_for_progress(0, &job, 1);
    case.env.door(0).kill();
    assert_eq!(case.status(1, &job)["request_counts"]["total"], ITEMS);
    case.wait_for(1, &job, "completed");
    case.assert_whole(1, &job);
    assert_eq!(case.event(1, "taken"), 1);
}

/// The same, but the host is lost right after it has acknowledged the list, before any item ran.
#[test]
fn a_job_outlives_the_host_that_acknowledged_it() {
    let mut case = Case::new(SHORT_LEASE);
    let job = case.submit(0, "tour-2", &lines(ITEMS, 4));
    case.env.door(0).kill();
    case.wait_for(1, &job, "completed");
    case.assert_whole(1, &job);
}

/// A list is packed twice. Its owner is frozen past its lease, another door finishes the list, and the owner wakes and
/// goes on where it was. It finds its lease over and the job taken: no result changes, and it drops the job.
#[test]
fn a_frozen_owner_that_wakes_changes_nothing() {
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

/// A clerk sends a list again because the first answer was slow, to another door and at the same moment; then the same
/// key is used for another list. One job stands, and the other list is refused.
#[test]
fn a_job_sent_to_two_doors_is_accepted_once() {
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
    wait_until("the chunks of the loser are removed", || {
        let chunks = get(case.env.store, "/apis/samphiredoor.dev/v1/chunks").json();
        chunks["items"].as_array().map(Vec::len) == Some(ITEMS.div_ceil(250))
    });
}

/// The store is down in mid-job. Results wait in the owner's memory and are written when it is back; no item is run
/// again.
#[test]
fn a_job_goes_on_after_an_outage_of_the_store() {
    let case = Case::new(LONG_LEASE);
    let job = case.submit(0, "tour-5", &lines(ITEMS, 4));
    case.wait_for_progress(0, &job, 1);
    case.env.faults(&json!({ "outage": true }));
    wait_until("what was handed out has ended", || case.runs().completed.len() >= 256);
    assert_eq!(case.env.get(0, &format!("/v1/batches/{job}")).status, 503);
    case.env.faults(&json!({}));
    case.wait_for(0, &job, "completed");
    case.assert_whole(1, &job);
    assert!(case.runs().completed.values().all(|it| *it == 1), "an item was run twice");
}

/// Writes take effect and their answers are lost, at the acceptance and all along. Each is looked up before anything is
/// written again: one job, one result an item, no run repeated.
#[test]
fn lost_answers_of_the_store_repeat_nothing() {
    let case = Case::new(LONG_LEASE);
    // A chunk is tried three times before the caller is told to come back.
    case.env.faults(&json!({ "lose_answers": 2 }));
    let job = case.submit(0, "tour-6", &lines(ITEMS, 4));
    case.env.faults(&json!({ "lose_answers": 6 }));
    case.wait_for(0, &job, "completed");
    case.assert_whole(1, &job);
    assert!(case.runs().completed.values().all(|it| *it == 1), "an item was run twice");
}

/// An excursion is called off at another desk. The cancel goes to a door that does not work on the list; the owner
/// learns of it, closes the streams on the engine, and nothing is recorded any more.
#[test]
fn a_cancel_at_another_door_stops_the_job_and_the_engine() {
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

/// An excursion is called off while the owner of its list is frozen, for good. Another door takes the job only to close
/// it.
#[test]
fn a_cancel_reaches_a_job_whose_owner_is_frozen() {
    let mut case = Case::new(SHORT_LEASE);
    let job = case.submit(0, "tour-8", &lines(ITEMS, 100_000));
    wait_until("the engine works", || load(&case) > 0);
    case.env.door(0).signal("STOP");
    let answer = case.env.post(1, &format!("/v1/batches/{job}/cancel"), &[], "");
    assert_eq!(answer.status, 200, "{}", answer.text);
    case.wait_for(1, &job, "cancelled");
    assert_eq!(case.metric(1, "samphiredoor_item_ends_total"), 0, "the taker ran an item");
    case.env.door(0).signal("CONT");
    wait_until("the engine is idle", || load(&case) == 0);
    assert!(case.results(1, &job).is_empty());
}

fn load(case: &Case) -> u64 {
    get(case.engine, "/load").json()["running"].as_u64().unwrap_or(0)
}

/// A list stands still for a lease's length each time a host is replaced. The owner is told to stop; it commits, frees
/// the job, and the other door goes on at once.
#[test]
fn a_planned_stop_hands_the_job_over() {
    let mut case = Case::new(LONG_LEASE);
    let job = case.submit(0, "tour-9", &lines(ITEMS, 4));
    case.wait_for_progress(0, &job, 1);
    case.env.door(0).signal("TERM");
    assert!(case.env.door(0).wait());
    case.wait_for(1, &job, "completed");
    case.assert_whole(1, &job);
}

/// Two farriers stand at one yard. Bookings may not run twice; their owner is killed while some are in flight. Those
/// that may have run end so and are not sent again; all others are made.
#[test]
fn bookings_run_at_most_once_although_their_owner_is_killed() {
    let mut case = Case::new(SHORT_LEASE);
    let job = case.submit(0, "round-1", &booking_lines(60));
    wait_until("some bookings are made", || plain_runs(&case).len() >= 10);
    case.env.door(0).kill();
    case.wait_for(1, &job, "completed");
    let results = case.results(1, &job);
    let in_doubt = results.values().filter(|it| *it == "may_have_run").count();
    assert_eq!(results.len(), 60);
    assert!(in_doubt <= 16, "more are in doubt than were intended: {results:?}");
    assert!(results.values().all(|it| it == "answered" || it == "may_have_run"));
    assert!(plain_runs(&case).values().all(|it| *it == 1), "a booking was made twice");
}

fn plain_runs(case: &Case) -> BTreeMap<String, u32> {
    serde_json::from_str(&get(case.plain, "/runs").text).expect("the service counts its runs")
}

/// A finished list can be removed, and its key used again, without meeting the old results.
#[test]
fn a_removed_job_leaves_nothing_to_a_later_one() {
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

/// A job's calls to the store are counted by the store: its chunks, its header twice, and a write of results for each
/// group; besides, at most eight writes for results that fill no group, and one in ten seconds from then on.
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
