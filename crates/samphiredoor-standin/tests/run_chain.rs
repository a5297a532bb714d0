//! Tests of the chain of runs in streams and texts, and of the names that targets give to their runs.

use std::time::Duration;

use samphiredoor_standin::{
    http::post,
    platform_target::{
        FIRST_VERSION, NamedRun, PlatformTarget, event_data, stream_without_names,
        text_without_names,
    },
    run_chain::{ChainBreak, RunChain},
};

const BEGUN: NamedRun = NamedRun { number: 1, after: None };
const RESUMED: NamedRun = NamedRun { number: 2, after: Some(2) };

fn data(number: u64, run: NamedRun) -> String {
    run.add_to(&event_data(FIRST_VERSION, number, 0))
}

fn text(events: &[(u64, NamedRun)]) -> String {
    let data = events.iter().map(|(number, run)| data(*number, *run));
    data.collect::<Vec<String>>().join("\n")
}

fn stream(events: &[(u64, NamedRun)]) -> String {
    events.iter().map(|(it, run)| format!("id: {it}\ndata: {}\n\n", data(*it, *run))).collect()
}

/// First break in a stream whose reader asked for the events after one; the text of the same events must have the same.
fn first_break(after: Option<u64>, events: &[(u64, NamedRun)]) -> Option<ChainBreak> {
    let of_stream = RunChain::after(after).push_stream(stream(events).as_bytes());
    let of_text = RunChain::after(after).push_text(&text(events));
    assert_eq!(of_stream, of_text);
    of_stream.err()
}

macro_rules! chains {
    ($($name:ident: $after:expr, $events:expr => $found:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(first_break($after, &$events), $found);
            }
        )*
    };
}

chains! {
    one_run_is_a_chain: None, [(1, BEGUN), (2, BEGUN), (3, BEGUN)] => None;
    a_run_that_was_asked_to_go_on_continues_a_chain:
        None, [(1, BEGUN), (2, BEGUN), (3, RESUMED), (4, RESUMED)] => None;
    a_reader_that_asked_for_later_events_gets_a_chain: Some(2), [(3, RESUMED), (4, RESUMED)] => None;
    a_missing_event_is_found:
        None, [(1, BEGUN), (3, BEGUN)] => Some(ChainBreak::Missing { number: 2, found: 3 });
    a_missing_first_event_is_found:
        Some(2), [(4, RESUMED)] => Some(ChainBreak::Missing { number: 3, found: 4 });
    an_event_that_comes_twice_is_found:
        None, [(1, BEGUN), (2, BEGUN), (2, BEGUN)] => Some(ChainBreak::Twice { number: 2 });
    an_event_before_the_one_asked_for_is_found:
        Some(2), [(2, RESUMED)] => Some(ChainBreak::Twice { number: 2 });
    a_run_that_was_asked_to_go_on_elsewhere_is_found:
        None, [(1, BEGUN), (2, BEGUN), (3, BEGUN), (4, RESUMED)]
        => Some(ChainBreak::NotAsked { number: 4, run: RESUMED, before: Some(BEGUN) });
    a_run_that_was_asked_to_begin_is_found_in_the_middle:
        None, [(1, BEGUN), (2, NamedRun { number: 3, after: None })]
        => Some(ChainBreak::NotAsked {
            number: 2, run: NamedRun { number: 3, after: None }, before: Some(BEGUN),
        });
    a_former_run_that_comes_again_is_found:
        None, [(1, BEGUN), (2, BEGUN), (3, RESUMED), (4, BEGUN)]
        => Some(ChainBreak::NotAsked { number: 4, run: BEGUN, before: Some(RESUMED) });
    a_stream_that_begins_with_a_resumed_run_is_found:
        None, [(1, RESUMED)]
        => Some(ChainBreak::NotAsked { number: 1, run: RESUMED, before: None });
    a_taken_up_stream_that_is_begun_anew_is_found:
        Some(2), [(3, BEGUN)] => Some(ChainBreak::NotAsked { number: 3, run: BEGUN, before: None });
}

#[test]
fn a_second_version_is_found() {
    let first = data(1, BEGUN);
    let second = NamedRun { number: 2, after: Some(1) }.add_to(&event_data("v2", 2, 0));
    let found = RunChain::after(None).push_text(&format!("{first}\n{second}"));
    let (before, other) = (FIRST_VERSION.to_owned(), "v2".to_owned());
    assert_eq!(found, Err(ChainBreak::TwoVersions { number: 2, before, found: other }));
}

#[test]
fn data_without_a_name_is_found() {
    let mut chain = RunChain::after(None);
    assert_eq!(chain.push_text("piece-1"), Err(ChainBreak::Unnamed { after: None }));
    chain.push_text(&data(1, BEGUN)).expect("a chain");
    assert_eq!(chain.push_text(""), Err(ChainBreak::Unnamed { after: Some(1) }));
}

#[test]
fn an_event_whose_number_is_not_that_of_its_data_is_found() {
    let event = format!("id: 2\ndata: {}\n\n", data(1, BEGUN));
    let found = RunChain::after(Some(1)).push_stream(event.as_bytes());
    assert_eq!(found, Err(ChainBreak::Unnamed { after: Some(1) }));
}

/// Guards against a check that sees each answer of a taken-up stream by itself.
#[test]
fn a_chain_goes_on_over_several_answers() {
    let mut chain = RunChain::after(None);
    let cut = stream(&[(1, BEGUN), (2, BEGUN)]) + "id: 3\ndata: pie";
    chain.push_stream(cut.as_bytes()).expect("a chain");
    assert_eq!(chain.last(), Some(2));
    let foreign = NamedRun { number: 3, after: Some(1) };
    assert_eq!(
        chain.clone().push_stream(stream(&[(3, foreign)]).as_bytes()),
        Err(ChainBreak::NotAsked { number: 3, run: foreign, before: Some(BEGUN) })
    );
    assert_eq!(chain.push_stream(stream(&[(3, RESUMED)]).as_bytes()), Ok(()));
}

/// Guards against a check of the bytes that becomes less strict by leaving out the names.
#[test]
fn what_is_left_without_names_is_what_a_target_without_names_sends() {
    let padded = event_data(FIRST_VERSION, 1, 20);
    let unnamed = format!("id: 1\ndata: {padded}\n\n");
    let named = format!("id: 1\ndata: {}\n\n", RESUMED.add_to(&padded));
    assert_eq!(stream_without_names(named.as_bytes()), unnamed.as_bytes());
    for cut in 0..named.len() {
        let left = stream_without_names(&named.as_bytes()[..cut]);
        assert!(unnamed.as_bytes().starts_with(&left), "{cut}: {left:?}");
    }
    for other in ["id: 1\ndata: piece-1-- x\n\n", "id: 1\ndata: piece-1-- [run 1 after\n\n"] {
        assert_eq!(stream_without_names(other.as_bytes()), other.as_bytes());
    }
    assert_eq!(text_without_names(&text(&[(1, BEGUN), (2, BEGUN)])), "piece-1\npiece-2");
    assert_eq!(text_without_names("piece-1 x\n"), "piece-1 x\n");
}

#[test]
fn a_target_names_its_runs() {
    let target = PlatformTarget::start("t-1", 4, Duration::ZERO).expect("a target starts");
    let target = target.with_named_runs().with_event_bytes(40);
    let mut chain = RunChain::after(None);
    let whole = post(target.address, "/", &[("x-request-id", "id-1")], "");
    chain.push_stream(whole.text.as_bytes()).expect("one run");
    assert_eq!(chain.last(), Some(4));
    let headers = [("x-request-id", "id-1"), ("last-event-id", "2")];
    let resumed = post(target.address, "/", &headers, "").text;
    assert_eq!(RunChain::after(Some(2)).push_stream(resumed.as_bytes()), Ok(()));
    let (_, rest) = whole.text.split_at(whole.text.find("id: 3").expect("event 3"));
    let joined = [whole.text.strip_suffix(rest).expect("events 1 and 2"), &resumed].concat();
    assert_eq!(RunChain::after(None).push_stream(joined.as_bytes()), Ok(()));
    assert_ne!(rest, resumed, "each run has its own name");
}

#[test]
fn a_target_holds_events_back() {
    let target = PlatformTarget::start("t-1", 4, Duration::ZERO).expect("a target starts");
    target.hold_after(Some(2));
    let address = target.address;
    let answer =
        std::thread::spawn(move || post(address, "/", &[("x-request-id", "id-1")], "").text);
    samphiredoor_standin::http::wait_until("it runs", || target.running() == 1);
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(target.running(), 1, "events are held back");
    target.hold_after(None);
    let text = answer.join().expect("no panic");
    assert!(text.ends_with("id: 4\ndata: piece-4\n\n"), "{text}");
}
