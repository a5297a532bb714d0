//! Tests of the soak test's checks of the runs that make up the streams and texts that callers receive.

use samphiredoor_standin::{
    fleet::EVENTS,
    platform_target::{FIRST_VERSION, NamedRun, event_data},
    soak::{Checks, Invariant, Reply, TakeUp},
};
use serde_json::json;

const BEGUN: NamedRun = NamedRun { number: 1, after: None };
/// Runs of the same request, of which each was asked to go on after another event.
const AFTER_2: NamedRun = NamedRun { number: 2, after: Some(2) };
const AFTER_4: NamedRun = NamedRun { number: 3, after: Some(4) };

/// Runs by the number of their first event here; each makes all events up to the next one.
type Joined<'a> = &'a [(u64, NamedRun)];

fn data(runs: Joined<'_>) -> Vec<(u64, String)> {
    let ends = runs.iter().skip(1).map(|(first, _)| *first).chain([EVENTS + 1]);
    let events = runs.iter().zip(ends).flat_map(|((first, run), end)| {
        (*first..end).map(|it| (it, run.add_to(&event_data(FIRST_VERSION, it, 0))))
    });
    events.collect()
}

fn stream(runs: Joined<'_>) -> String {
    data(runs).iter().map(|(number, data)| format!("id: {number}\ndata: {data}\n\n")).collect()
}

fn text(runs: Joined<'_>) -> String {
    data(runs).into_iter().map(|(_, data)| data).collect::<Vec<String>>().join("\n")
}

fn checks() -> Checks {
    let mut checks = Checks::default();
    checks.chains().expect_names();
    checks.record_submission("job", &["job.0".to_owned()]);
    checks
}

fn answer(checks: &mut Checks, id: &str, body: &str, is_complete: bool) {
    let headers = [("X-Request-Id", id.to_owned()), ("X-Server-Stamp", format!("stamp-{id}"))];
    let headers = headers.map(|(name, value)| (name.to_owned(), value)).to_vec();
    let reply = Reply { status: 200, headers, body: body.as_bytes().to_vec(), is_complete };
    checks.record_request(id, true);
    checks.check_answer(id, &reply);
}

/// Answer to the first attempt that is cut after event 2, and the answer to the request that takes the stream up.
fn taken_up(checks: &mut Checks, runs: Joined<'_>) {
    let whole = stream(&[(1, BEGUN)]);
    let (received, _) = whole.split_at(whole.find("id: 3").expect("event 3") + 9);
    answer(checks, "first", received, false);
    let take_up = TakeUp { first: "first".to_owned(), after: 2 };
    checks.versions().record_take_up("second", take_up);
    answer(checks, "second", &stream(runs), true);
}

fn result(checks: &mut Checks, text: &str) {
    let output = json!({ "id": "job.0", "state": "completed", "text": text });
    let body = json!({ "total": 1, "outputs": [output] }).to_string().into_bytes();
    let read = checks.record_read("job", 0, 0);
    checks.check_page(&read, &Reply { status: 200, headers: Vec::new(), body, is_complete: true });
}

macro_rules! checks_find {
    ($($name:ident: $invariant:expr, |$checks:ident| $observation:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut $checks = checks();
                $observation;
                let expected: Option<Invariant> = $invariant;
                assert_eq!($checks.violation().map(|it| it.invariant), expected);
            }
        )*
    };
}

checks_find! {
    a_stream_of_one_run_is_fine: None, |checks| answer(&mut checks, "a", &stream(&[(1, BEGUN)]), true);
    a_stream_that_goes_on_where_its_runs_were_asked_to_is_fine: None, |checks| {
        answer(&mut checks, "a", &stream(&[(1, BEGUN), (3, AFTER_2), (5, AFTER_4)]), true)
    };
    a_stream_joined_of_two_runs: Some(Invariant::RunsChained), |checks| {
        answer(&mut checks, "a", &stream(&[(1, BEGUN), (5, AFTER_2)]), true)
    };
    a_cut_stream_joined_of_two_runs: Some(Invariant::RunsChained), |checks| {
        answer(&mut checks, "a", &stream(&[(1, BEGUN), (5, AFTER_2)]), false)
    };
    a_crashing_request_whose_stream_is_joined_of_two_runs: Some(Invariant::RunsChained), |checks| {
        let body = stream(&[(1, BEGUN), (5, AFTER_2)]).into_bytes();
        let reply = Reply { status: 200, headers: Vec::new(), body, is_complete: false };
        checks.check_crashing_answer("a", &reply)
    };
    a_taken_up_stream_that_goes_on_where_it_was_asked_to_is_fine: None, |checks| {
        taken_up(&mut checks, &[(3, AFTER_2), (5, AFTER_4)])
    };
    a_taken_up_stream_that_goes_on_with_a_run_from_elsewhere: Some(Invariant::RunsChained), |checks| {
        taken_up(&mut checks, &[(3, AFTER_4)])
    };
    a_taken_up_stream_that_is_joined_later: Some(Invariant::RunsChained), |checks| {
        taken_up(&mut checks, &[(3, AFTER_2), (4, AFTER_4)])
    };
    a_taken_up_stream_that_begins_anew: Some(Invariant::RunsChained), |checks| {
        taken_up(&mut checks, &[(1, BEGUN)])
    };
    a_text_of_one_run_is_fine: None, |checks| result(&mut checks, &text(&[(1, BEGUN)]));
    a_text_that_goes_on_where_its_runs_were_asked_to_is_fine: None, |checks| {
        result(&mut checks, &text(&[(1, BEGUN), (3, AFTER_2), (5, AFTER_4)]))
    };
    a_text_joined_of_two_runs: Some(Invariant::RunsChained), |checks| {
        result(&mut checks, &text(&[(1, BEGUN), (5, AFTER_2)]))
    };
    a_text_whose_runs_are_not_named: Some(Invariant::RunsChained), |checks| {
        result(&mut checks, &samphiredoor_standin::fleet::whole_text(FIRST_VERSION))
    };
    a_text_without_its_last_event: Some(Invariant::AnswerComplete), |checks| {
        let whole = text(&[(1, BEGUN)]);
        result(&mut checks, whole.rsplit_once('\n').expect("several events").0)
    };
    a_stream_without_its_last_event_that_looks_complete: Some(Invariant::AnswerComplete), |checks| {
        let whole = stream(&[(1, BEGUN)]);
        answer(&mut checks, "a", &whole[..whole.find("id: 6").expect("event 6")], true)
    };
    a_cut_stream_with_other_data: Some(Invariant::AnswerComplete), |checks| {
        answer(&mut checks, "a", "id: 1\ndata: piece-2", false)
    };
}
