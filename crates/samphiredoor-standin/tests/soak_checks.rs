//! The checks of the soak, each against a caller's view in which its promise is broken.

use std::time::{Duration, Instant};

use samphiredoor_standin::{
    fleet::whole_stream,
    platform_target::Run,
    soak::{Checks, Plan, Promise, Reply, Sizes},
};
use serde_json::{Value, json};

const SIZES: Sizes = Sizes { gateways: 3, targets: 3 };

fn reply(status: u16, body: &str) -> Reply {
    Reply { status, headers: Vec::new(), body: body.as_bytes().to_vec(), is_whole: true }
}

fn success(id: &str, body: &str) -> Reply {
    let headers = [("X-Request-Id", id.to_owned()), ("X-Server-Stamp", format!("stamp-{id}"))];
    let headers = headers.map(|(name, value)| (name.to_owned(), value)).to_vec();
    Reply { headers, ..reply(200, body) }
}

fn run(id: &str, at: Instant) -> Run {
    Run { id: id.to_owned(), after: None, body: id.as_bytes().to_vec(), at }
}

fn result(id: &str) -> Value {
    json!({ "id": id, "state": "errored" })
}

fn page(total: usize, outputs: &[Value]) -> Reply {
    reply(200, &json!({ "total": total, "outputs": outputs }).to_string())
}

fn accepted() -> Checks {
    let mut checks = Checks::default();
    checks.submitting("job", &["job.0".to_owned(), "job.1".to_owned()]);
    checks.submitted("job", &reply(202, ""));
    checks
}

/// Declares a test in which one promise breaks, or none does.
macro_rules! sees {
    ($name:ident: $promise:expr, |$checks:ident| $seen:block) => {
        #[test]
        fn $name() {
            let mut $checks = accepted();
            $seen
            let broken: Option<Promise> = $promise;
            assert_eq!($checks.breach().map(|it| it.promise), broken);
        }
    };
}

sees!(a_whole_answer_and_a_visible_cut_are_fine: None, |checks| {
    checks.sending("a", false);
    checks.answered("a", &success("a", &whole_stream()));
    let mut cut = success("b", &whole_stream()[..20]);
    cut.is_whole = false;
    checks.answered("b", &cut);
});

sees!(a_cut_answer_that_looks_complete: Some(Promise::WholeAnswer), |checks| {
    checks.answered("a", &success("a", &whole_stream()[..20]));
});

sees!(events_out_of_order: Some(Promise::WholeAnswer), |checks| {
    let mut cut = success("a", "id: 2\ndata: piece-2\n\n");
    cut.is_whole = false;
    checks.answered("a", &cut);
});

sees!(an_answer_of_another_request: Some(Promise::OwnAnswer), |checks| {
    checks.answered("a", &success("b", &whole_stream()));
});

sees!(a_second_run_of_an_unsafe_request: Some(Promise::RunsOnce), |checks| {
    checks.sending("a", false);
    let now = Instant::now();
    checks.check_runs(&[run("a", now), run("a", now)]);
});

sees!(a_second_run_of_a_safe_request_is_fine: None, |checks| {
    checks.sending("a", true);
    let now = Instant::now();
    checks.check_runs(&[run("a", now), run("a", now)]);
});

sees!(a_run_of_a_refused_request: Some(Promise::RefusedDidNotRun), |checks| {
    checks.sending("a", true);
    checks.answered("a", &reply(503, ""));
    checks.check_runs(&[run("a", Instant::now())]);
});

sees!(a_run_of_a_refused_job: Some(Promise::RefusedDidNotRun), |checks| {
    checks.submitting("other", &["other.0".to_owned()]);
    checks.submitted("other", &reply(503, ""));
    checks.check_runs(&[run("other.0", Instant::now())]);
});

sees!(a_run_of_a_job_in_doubt_is_fine: None, |checks| {
    checks.submitting("other", &["other.0".to_owned()]);
    checks.submitted("other", &reply(503, ""));
    checks.submitting("other", &["other.0".to_owned()]);
    checks.submitted("other", &reply(504, ""));
    checks.check_runs(&[run("other.0", Instant::now())]);
});

sees!(a_run_that_nobody_asked_for: Some(Promise::Asked), |checks| {
    checks.check_runs(&[run("job.7", Instant::now())]);
});

sees!(a_route_that_is_refused_for_good: Some(Promise::Allowed), |checks| {
    checks.answered("a", &reply(404, ""));
});

sees!(a_result_that_moved: Some(Promise::ResultsStay), |checks| {
    checks.page("job", 0, &page(2, &[result("job.0")]));
    checks.page("job", 0, &page(2, &[result("job.1")]));
});

sees!(an_item_at_two_positions: Some(Promise::ResultsStay), |checks| {
    checks.page("job", 0, &page(2, &[result("job.0"), result("job.0")]));
});

sees!(an_item_of_another_job: Some(Promise::ResultsStay), |checks| {
    checks.page("job", 0, &page(2, &[result("other.0")]));
});

sees!(an_item_with_half_its_text: Some(Promise::WholeAnswer), |checks| {
    let output = json!({ "id": "job.0", "state": "completed", "text": "piece-1" });
    checks.page("job", 0, &page(2, &[output]));
});

sees!(an_accepted_job_that_is_not_found: Some(Promise::JobKept), |checks| {
    checks.page("job", 0, &reply(404, ""));
});

sees!(a_run_after_a_job_ended: Some(Promise::EndStops), |checks| {
    checks.ended("job");
    checks.check_runs(&[run("job.0", Instant::now() + Duration::from_secs(4))]);
});

sees!(a_run_after_a_job_ended_beside_a_fault_is_fine: None, |checks| {
    checks.ended("job");
    let late = Instant::now() + Duration::from_secs(4);
    checks.disturbed(late - Duration::from_secs(1), late);
    checks.check_runs(&[run("job.0", late)]);
});

#[test]
fn a_plan_is_read_as_it_was_written() {
    let plan = Plan::of_seed(7, 60, SIZES);
    assert_eq!(plan, Plan::of_seed(7, 60, SIZES));
    assert!(plan.0.len() > 20, "{} faults", plan.0.len());
    let file = std::env::temp_dir().join(format!("samphiredoor-plan-{}", std::process::id()));
    plan.write(&file).expect("a plan is written");
    let read = Plan::read(&file).expect("a plan is read");
    std::fs::remove_file(&file).expect("the plan is removed");
    assert_eq!(read, plan);
}
