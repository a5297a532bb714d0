//! Tests of the soak test's checks: each invariant against observations that violate it, and against similar ones that
//! don't. Also of the late writes of the store that it uses.

use std::{
    collections::BTreeMap,
    io::Write,
    net::TcpStream,
    time::{Duration, Instant},
};

use samphiredoor_standin::{
    fleet::whole_stream,
    http::{start, wait_until},
    platform_store::{PlatformStore, StoreFault},
    platform_target::Run,
    soak::{Checks, Disturbed, Fault, Invariant, Plan, Reply, Sizes},
};
use serde_json::{Value, json};

const SIZES: Sizes = Sizes { gateways: 3, targets: 3 };

fn reply(status: u16, body: &str) -> Reply {
    Reply { status, headers: Vec::new(), body: body.as_bytes().to_vec(), is_complete: true }
}

fn success(id: &str, body: &str) -> Reply {
    let headers = [("X-Request-Id", id.to_owned()), ("X-Server-Stamp", format!("stamp-{id}"))];
    let headers = headers.map(|(name, value)| (name.to_owned(), value)).to_vec();
    Reply { headers, ..reply(200, body) }
}

fn run(id: &str, at: Instant) -> Run {
    Run { id: id.to_owned(), after: None, body: id.as_bytes().to_vec(), headers: Vec::new(), at }
}

fn result(id: &str) -> Value {
    json!({ "id": id, "state": "errored" })
}

fn page(total: usize, outputs: &[Value]) -> Reply {
    reply(200, &json!({ "total": total, "outputs": outputs }).to_string())
}

fn accepted() -> Checks {
    let mut checks = Checks::default();
    checks.record_submission("job", &["job.0".to_owned(), "job.1".to_owned()]);
    checks.check_submission("job", &reply(202, ""));
    checks
}

/// Reads a page of results at a gateway, from position `after` on.
fn read(checks: &mut Checks, gateway: usize, after: usize, reply: &Reply) {
    let read = checks.record_read("job", gateway, after);
    checks.check_page(&read, reply);
}

/// Observations of a job whose both results were read at gateway 0.
fn both_read(checks: &mut Checks) {
    read(checks, 0, 0, &page(2, &[result("job.0"), result("job.1")]));
}

/// Declares a test: the observations violate the given invariant, or none.
macro_rules! checks_find {
    ($name:ident: $invariant:expr, |$checks:ident| $observations:block) => {
        #[test]
        fn $name() {
            let mut $checks = accepted();
            $observations
            let expected: Option<Invariant> = $invariant;
            assert_eq!($checks.violation().map(|it| it.invariant), expected);
        }
    };
}

/// Runs of one item, one after the other.
fn runs_of(checks: &mut Checks, item: &str, times: u32) {
    checks.record_submission("job", &[item.to_owned()]);
    let at = Instant::now();
    let runs: Vec<Run> =
        (0..times).map(|it| run(item, at + Duration::from_millis(it.into()))).collect();
    checks.check_runs(&runs);
}

checks_find!(as_many_runs_of_items_that_always_fail_as_allowed_are_fine: None, |checks| {
    runs_of(&mut checks, "job.7f", 9);
    runs_of(&mut checks, "job.8i", 3);
    runs_of(&mut checks, "job.9", 40);
});

checks_find!(an_item_that_answers_500_is_run_too_often: Some(Invariant::RepeatsBounded), |checks| {
    runs_of(&mut checks, "job.7f", 10);
});

checks_find!(an_item_that_answers_422_is_run_too_often: Some(Invariant::RepeatsBounded), |checks| {
    runs_of(&mut checks, "job.8i", 4);
});

checks_find!(a_run_of_a_failing_item_during_a_fault_is_not_judged: None, |checks| {
    let now = Instant::now();
    checks.add_fault_window(Disturbed::All, now, now + Duration::from_secs(1));
    runs_of(&mut checks, "job.8i", 4);
});

/// Fourth run of an item that answers 422, sent by gateway 1 unless the owner has changed; a fault disturbs a gateway.
fn fourth_run(checks: &mut Checks, owners: [usize; 2], disturbed: usize) {
    let item = "job.8i".to_owned();
    checks.record_submission("job", std::slice::from_ref(&item));
    let now = Instant::now();
    for owner in owners {
        checks.update_owners(BTreeMap::from([("job".to_owned(), owner)]));
    }
    checks.add_fault_window(Disturbed::Gateway(disturbed), now, now + Duration::from_secs(1));
    checks.check_runs(&(0..4).map(|_| run(&item, now)).collect::<Vec<Run>>());
}

checks_find!(a_fault_of_another_gateway_excuses_no_repeat: Some(Invariant::RepeatsBounded), |checks| {
    fourth_run(&mut checks, [1, 1], 0);
});

checks_find!(a_repeat_by_a_disturbed_gateway_is_counted_and_not_judged: None, |checks| {
    fourth_run(&mut checks, [1, 1], 1);
    assert_eq!(checks.counts().excused_repeats, 1);
});

checks_find!(a_repeat_by_an_unknown_owner_during_a_fault_is_counted_and_not_judged: None, |checks| {
    fourth_run(&mut checks, [0, 1], 2);
    assert_eq!(checks.counts().excused_repeats, 1);
});

checks_find!(a_request_that_runs_at_more_targets_than_allowed: Some(Invariant::RepeatsBounded), |checks| {
    checks.record_request("a", true);
    checks.check_runs(&(0..4).map(|_| run("a", Instant::now())).collect::<Vec<Run>>());
});

/// Runs of requests whose callers wait for a second, each handed this much time.
fn runs_with_deadlines(checks: &mut Checks, handed_ms: &str, count: usize) {
    let ids: Vec<String> = (0..count).map(|it| format!("a-{it}")).collect();
    for id in &ids {
        checks.record_request(id, true);
        checks.record_deadline(id, Duration::from_secs(1));
    }
    let handed = ("X-Deadline-Ms".to_owned(), handed_ms.to_owned());
    let runs =
        ids.iter().map(|it| Run { headers: vec![handed.clone()], ..run(it, Instant::now()) });
    checks.check_runs(&runs.collect::<Vec<Run>>());
}

checks_find!(a_few_targets_may_be_handed_more_time_than_is_left: None, |checks| {
    runs_with_deadlines(&mut checks, "1700", 20);
    assert_eq!(checks.counts().late_deadlines, 20);
});

checks_find!(many_targets_are_handed_more_time_than_is_left: Some(Invariant::DeadlinesKept), |checks| {
    runs_with_deadlines(&mut checks, "1700", 21);
});

checks_find!(a_complete_answer_and_a_visible_cut_are_fine: None, |checks| {
    checks.record_request("a", false);
    checks.check_answer("a", &success("a", &whole_stream()));
    let mut cut = success("b", &whole_stream()[..20]);
    cut.is_complete = false;
    checks.check_answer("b", &cut);
});

checks_find!(a_cut_answer_that_looks_complete: Some(Invariant::AnswerComplete), |checks| {
    checks.check_answer("a", &success("a", &whole_stream()[..20]));
});

checks_find!(an_answer_with_events_out_of_order: Some(Invariant::AnswerComplete), |checks| {
    let mut cut = success("a", "id: 2\ndata: piece-2\n\n");
    cut.is_complete = false;
    checks.check_answer("a", &cut);
});

checks_find!(an_answer_of_another_request: Some(Invariant::AnswerMatchesRequest), |checks| {
    checks.check_answer("a", &success("b", &whole_stream()));
});

checks_find!(a_second_run_of_an_unsafe_request: Some(Invariant::RunsAtMostOnce), |checks| {
    checks.record_request("a", false);
    let now = Instant::now();
    checks.check_runs(&[run("a", now), run("a", now)]);
});

checks_find!(a_second_run_of_a_safe_request_is_fine: None, |checks| {
    checks.record_request("a", true);
    let now = Instant::now();
    checks.check_runs(&[run("a", now), run("a", now)]);
});

checks_find!(a_run_of_a_rejected_request: Some(Invariant::RejectedNeverRuns), |checks| {
    checks.record_request("a", true);
    checks.check_answer("a", &reply(503, ""));
    checks.check_runs(&[run("a", Instant::now())]);
});

checks_find!(a_run_of_a_rejected_job: Some(Invariant::RejectedNeverRuns), |checks| {
    checks.record_submission("other", &["other.0".to_owned()]);
    checks.check_submission("other", &reply(503, ""));
    checks.check_runs(&[run("other.0", Instant::now())]);
});

checks_find!(a_run_of_a_job_with_an_unknown_outcome_is_fine: None, |checks| {
    checks.record_submission("other", &["other.0".to_owned()]);
    checks.check_submission("other", &reply(503, ""));
    checks.record_submission("other", &["other.0".to_owned()]);
    checks.check_submission("other", &reply(504, ""));
    checks.check_runs(&[run("other.0", Instant::now())]);
});

checks_find!(a_run_that_no_caller_requested: Some(Invariant::RunWasRequested), |checks| {
    checks.check_runs(&[run("job.7", Instant::now())]);
});

checks_find!(a_permanent_error_on_an_allowed_route: Some(Invariant::NoPermanentError), |checks| {
    checks.check_answer("a", &reply(404, ""));
});

checks_find!(a_result_that_changed: Some(Invariant::ResultsStable), |checks| {
    read(&mut checks, 0, 0, &page(2, &[result("job.0")]));
    read(&mut checks, 0, 0, &page(2, &[result("job.1")]));
});

checks_find!(an_item_at_two_positions: Some(Invariant::ResultsStable), |checks| {
    read(&mut checks, 0, 0, &page(2, &[result("job.0"), result("job.0")]));
});

checks_find!(an_item_of_another_job: Some(Invariant::ResultsStable), |checks| {
    read(&mut checks, 0, 0, &page(2, &[result("other.0")]));
});

checks_find!(an_item_with_a_part_of_its_text: Some(Invariant::AnswerComplete), |checks| {
    let output = json!({ "id": "job.0", "state": "completed", "text": "piece-1" });
    read(&mut checks, 0, 0, &page(2, &[output]));
});

checks_find!(a_result_with_other_bytes_at_another_gateway: Some(Invariant::ResultsStable), |checks| {
    both_read(&mut checks);
    let changed = json!({ "id": "job.1", "state": "completed", "text": "" });
    read(&mut checks, 1, 1, &page(2, &[changed]));
});

checks_find!(the_same_results_from_any_position_at_any_gateway_are_fine: None, |checks| {
    both_read(&mut checks);
    read(&mut checks, 1, 0, &page(2, &[result("job.0"), result("job.1")]));
    read(&mut checks, 2, 1, &page(2, &[result("job.1")]));
    read(&mut checks, 2, 2, &page(2, &[]));
});

checks_find!(a_result_that_is_gone_at_another_gateway: Some(Invariant::ReadsMonotonic), |checks| {
    both_read(&mut checks);
    read(&mut checks, 1, 0, &page(2, &[]));
});

checks_find!(a_result_that_is_gone_after_a_cancellation: Some(Invariant::ReadsMonotonic), |checks| {
    both_read(&mut checks);
    checks.record_cancellation("job");
    checks.record_cancelled("job");
    read(&mut checks, 0, 0, &page(2, &[]));
});

checks_find!(a_last_result_that_is_gone: Some(Invariant::ReadsMonotonic), |checks| {
    both_read(&mut checks);
    read(&mut checks, 1, 0, &page(2, &[result("job.0")]));
    read(&mut checks, 1, 1, &page(2, &[]));
});

checks_find!(a_short_page_whose_next_page_has_the_rest_is_fine: None, |checks| {
    both_read(&mut checks);
    read(&mut checks, 1, 0, &page(2, &[result("job.0")]));
    read(&mut checks, 1, 1, &page(2, &[result("job.1")]));
});

checks_find!(an_empty_page_of_a_read_that_was_sent_before_is_fine: None, |checks| {
    let sent = checks.record_read("job", 1, 0);
    both_read(&mut checks);
    checks.check_page(&sent, &page(2, &[]));
});

checks_find!(refusals_and_lost_answers_after_a_read_are_fine: None, |checks| {
    both_read(&mut checks);
    for status in [503, 504, 0] {
        read(&mut checks, 1, 0, &reply(status, ""));
    }
    let lost = Reply { is_complete: false, ..page(2, &[]) };
    read(&mut checks, 1, 0, &lost);
});

checks_find!(an_empty_page_of_a_gateway_out_of_touch_is_fine: None, |checks| {
    both_read(&mut checks);
    let now = Instant::now();
    checks.add_fault_window(Disturbed::Gateway(1), now - Duration::from_secs(2), now);
    read(&mut checks, 1, 0, &page(2, &[]));
    assert_eq!(checks.counts().stale_reads, 1);
});

checks_find!(other_bytes_from_a_gateway_out_of_touch: Some(Invariant::ResultsStable), |checks| {
    both_read(&mut checks);
    checks.add_fault_window(Disturbed::All, Instant::now(), Instant::now());
    read(&mut checks, 1, 0, &page(2, &[result("job.1")]));
});

checks_find!(an_empty_page_while_others_are_out_of_touch: Some(Invariant::ReadsMonotonic), |checks| {
    both_read(&mut checks);
    let now = Instant::now();
    for disturbed in [Disturbed::Gateway(0), Disturbed::None] {
        checks.add_fault_window(disturbed, now, now + Duration::from_secs(9));
    }
    read(&mut checks, 1, 0, &page(2, &[]));
});

checks_find!(an_empty_page_of_a_gateway_that_is_in_touch_again: Some(Invariant::ReadsMonotonic), |checks| {
    both_read(&mut checks);
    let now = Instant::now();
    checks.add_fault_window(Disturbed::All, now - Duration::from_secs(9), now - Duration::from_secs(5));
    read(&mut checks, 1, 0, &page(2, &[]));
});

#[test]
fn a_result_that_is_gone_is_described() {
    let mut checks = accepted();
    both_read(&mut checks);
    checks.record_cancelled("job");
    read(&mut checks, 2, 1, &page(2, &[]));
    let violation = checks.violation().expect("a result is gone");
    assert_eq!(violation.id, "job");
    for part in ["position 1: read at gateway 0", "job.1", "now nothing at gateway 2", "cancelled "]
    {
        assert!(violation.observed.contains(part), "{part} in {}", violation.observed);
    }
}

checks_find!(an_accepted_job_that_is_not_found: Some(Invariant::JobReadable), |checks| {
    read(&mut checks, 0, 0, &reply(404, ""));
});

checks_find!(a_late_run_after_a_cancellation: Some(Invariant::CancellationStopsRuns), |checks| {
    checks.record_cancelled("job");
    checks.check_runs(&[run("job.0", Instant::now() + Duration::from_secs(4))]);
});

checks_find!(a_late_run_after_a_cancellation_during_a_fault_is_fine: None, |checks| {
    checks.record_cancelled("job");
    let late = Instant::now() + Duration::from_secs(4);
    checks.add_fault_window(Disturbed::None, late - Duration::from_secs(1), late);
    checks.check_runs(&[run("job.0", late)]);
});

/// Sends a write whose sender disconnects before it can take effect, and checks that it does so after `release`.
fn check_write_of_a_disconnected_sender(fault: StoreFault, release: impl Fn(&PlatformStore)) {
    let store = PlatformStore::new();
    let serving = store.clone();
    let address = start(move || move |request| serving.clone().handle(request));
    store.set_fault(fault);
    let body = json!({ "meta": { "name": "a" }, "spec": 1 }).to_string();
    let head = "POST /samphiredoor/objects/config HTTP/1.1\r\nhost: a\r\ncontent-length: ";
    let request = format!("{head}{}\r\n\r\n{body}", body.len());
    let mut sender = TcpStream::connect(address).expect("the store is reached");
    sender.write_all(request.as_bytes()).expect("the write is sent");
    wait_until("the write is received", || !store.calls().is_empty());
    drop(sender);
    assert_eq!(store.spec("config", "a"), None);
    release(&store);
    wait_until("the write takes effect", || store.spec("config", "a").is_some());
}

/// The isolation drill needs a write that takes effect after the process that sent it was killed.
#[test]
fn a_held_write_takes_effect_after_its_sender_has_disconnected() {
    let release = |store: &PlatformStore| store.set_fault(StoreFault::None);
    check_write_of_a_disconnected_sender(StoreFault::WritesHeld, release);
}

/// A gateway stops waiting for an answer, and disconnects, before a late write takes effect.
#[test]
fn a_late_write_takes_effect_after_its_sender_has_disconnected() {
    check_write_of_a_disconnected_sender(StoreFault::WritesLate, |_| {});
}

#[test]
fn a_plan_is_the_same_after_writing_and_reading() {
    let plan = Plan::of_seed(7, 60, SIZES);
    assert_eq!(plan, Plan::of_seed(7, 60, SIZES));
    assert!(plan.0.len() > 20, "{} faults", plan.0.len());
    let file = std::env::temp_dir().join(format!("samphiredoor-plan-{}", std::process::id()));
    plan.write(&file).expect("a plan is written");
    let read = Plan::read(&file).expect("a plan is read");
    std::fs::remove_file(&file).expect("the plan is removed");
    assert_eq!(read, plan);
}

/// Plan of a seed with bursts of crashes.
fn plan_with_bursts(seed: u64) -> Plan {
    Plan::of_seed(seed, 60, SIZES).with_bursts(seed, 60, SIZES)
}

#[test]
fn a_plan_with_bursts_is_the_same_each_time_and_spares_the_gateways() {
    let plan = plan_with_bursts(7);
    assert_eq!(plan, plan_with_bursts(7));
    assert!(plan.0.iter().all(|it| it.fault.disturbs() == Disturbed::None));
    let crashes = plan.0.iter().filter(|it| matches!(it.fault, Fault::CrashTarget(_))).count();
    assert!(crashes > 10, "{crashes} crashes");
}

/// Checks after a sound request was refused as quarantined, this long after the last crash by chance.
fn refused_after_crash(since: Duration) -> Option<Invariant> {
    let mut checks = Checks::default();
    checks.bursts().record_crash(Instant::now() - since);
    checks.record_request("id-1", true);
    checks.record_deadline("id-1", Duration::from_secs(1));
    checks.check_answer("id-1", &reply(503, r#"{"error":"quarantined"}"#));
    checks.violation().map(|it| it.invariant)
}

#[test]
fn a_sound_request_that_is_quarantined_long_after_the_last_crash_is_found() {
    assert_eq!(refused_after_crash(Duration::from_secs(4)), None);
    assert_eq!(refused_after_crash(Duration::from_secs(6)), Some(Invariant::SoundServed));
}
