//! Requests that go on with a stream, beside targets of two software versions.

use samphiredoor_core::{
    dispatch::{Class, RequestId},
    placement::{Action, AttemptEnd, Input, Resumption, TargetEntry, TargetState},
    software_versions::StreamOrigin,
    verdict::Refusal,
};

use super::harness::{Fixture, SLOTS, entry, location, sent_to};

/// Slots of a target that items may hold.
const SLOTS_FOR_ITEMS: u32 = SLOTS - 1;

fn target(name: &str, version: &str) -> TargetEntry {
    TargetEntry { software_version: version.into(), ..entry(name, location("brisbane", "north")) }
}

/// A gateway with one target of v1 and two of v2.
fn mixed() -> Fixture {
    Fixture::new(vec![target("t-old", "v1"), target("t-new", "v2"), target("t-newer", "v2")])
}

fn resumption(fixture: &Fixture, version: &str, wait_ms: u64) -> Resumption {
    let origin = StreamOrigin::of_version(version.into());
    Resumption { origin, until_ms: fixture.now_ms + wait_ms }
}

fn go_on(fixture: &mut Fixture, class: Class, version: &str) -> (RequestId, Vec<Action>) {
    let resumes = resumption(fixture, version, 1_000);
    fixture.request_that_goes_on(class, resumes)
}

fn refusal(actions: &[Action]) -> Option<Refusal> {
    actions.iter().find_map(|it| match it {
        Action::Refuse { reason, .. } => Some(*reason),
        _ => None,
    })
}

fn goes_on(actions: &[Action]) -> Option<bool> {
    actions.iter().find_map(|it| match it {
        Action::Dispatch { goes_on, .. } => Some(*goes_on),
        _ => None,
    })
}

/// Takes all slots of the target of v1 with requests that go on.
fn fill_old(fixture: &mut Fixture, class: Class, slots: u32) -> Vec<RequestId> {
    let fill = |_| {
        let (request, actions) = go_on(fixture, class, "v1");
        assert_eq!(sent_to(request, &actions).as_deref(), Some("t-old"));
        request
    };
    (0..slots).map(fill).collect()
}

#[test]
fn a_stream_goes_on_at_its_version_although_others_are_less_loaded() {
    let mut fixture = mixed();
    for _ in 0..SLOTS {
        let (request, actions) = go_on(&mut fixture, Class::Online, "v1");
        assert_eq!(sent_to(request, &actions).as_deref(), Some("t-old"));
        assert_eq!(goes_on(&actions), Some(true));
    }
}

/// Guards against a wait for the deadline although no target can come.
#[test]
fn a_stream_whose_version_has_no_target_is_refused_at_once() {
    let mut fixture = mixed();
    let (_, actions) = go_on(&mut fixture, Class::Online, "v0");
    assert_eq!(refusal(&actions), Some(Refusal::VersionGone));
    fixture.input(Input::Targets(vec![
        TargetEntry { state: TargetState::Leaving, ..target("t-old", "v1") },
        target("t-new", "v2"),
    ]));
    let (_, actions) = go_on(&mut fixture, Class::Online, "v1");
    assert_eq!(refusal(&actions), Some(Refusal::VersionGone));
}

/// Guards against a version that was taken from an entry that was out of date.
#[test]
fn a_stream_whose_target_has_started_again_at_another_version_is_refused() {
    let mut fixture = mixed();
    let origin = target("t-old", "v1").stream_origin();
    let restarted = TargetEntry { started_unix_ms: 2, ..target("t-old", "v2") };
    fixture.input(Input::Targets(vec![restarted, target("t-other", "v1")]));
    let resumes = Resumption { origin, until_ms: u64::MAX };
    let (_, actions) = fixture.request_that_goes_on(Class::Online, resumes);
    assert_eq!(refusal(&actions), Some(Refusal::VersionUnknown));
}

/// Guards against streams that are given up while new ones take the slots of their version.
#[test]
fn a_stream_that_goes_on_gets_the_next_slot_of_its_version_before_new_requests() {
    let mut fixture = mixed();
    // Beyond the slots, a few requests may wait at each target.
    let mut running = Vec::new();
    loop {
        let (request, actions) = go_on(&mut fixture, Class::Online, "v1");
        match sent_to(request, &actions) {
            Some(_) => running.push(request),
            None => break,
        }
    }
    let waiting = RequestId(running.len() as u64 + 1);
    while fixture.request(Class::Online).1.iter().any(|it| matches!(it, Action::Dispatch { .. })) {}
    let actions = fixture.end(running[0], AttemptEnd::Answered);
    assert_eq!(sent_to(waiting, &actions).as_deref(), Some("t-old"));
}

#[test]
fn a_stream_that_gets_no_slot_in_time_is_refused() {
    let mut fixture = mixed();
    while go_on(&mut fixture, Class::Online, "v1")
        .1
        .iter()
        .any(|it| matches!(it, Action::Dispatch { .. }))
    {}
    let actions = fixture.wait(61);
    assert_eq!(refusal(&actions), Some(Refusal::Overloaded));
}

#[test]
fn an_item_goes_on_at_its_version_or_begins_anew_if_there_is_none() {
    let mut fixture = mixed();
    let (request, actions) = go_on(&mut fixture, Class::Batch, "v1");
    assert_eq!(sent_to(request, &actions).as_deref(), Some("t-old"));
    assert_eq!(goes_on(&actions), Some(true));
    let (request, actions) = go_on(&mut fixture, Class::Batch, "v0");
    assert!(sent_to(request, &actions).is_some());
    assert_eq!(goes_on(&actions), Some(false));
}

/// Guards against items that wait for a version with few targets while others are idle.
#[test]
fn an_item_waits_for_its_version_for_some_time_and_then_begins_anew() {
    let mut fixture = mixed();
    fill_old(&mut fixture, Class::Batch, SLOTS_FOR_ITEMS);
    let (request, actions) = go_on(&mut fixture, Class::Batch, "v1");
    assert_eq!(sent_to(request, &actions), None);
    assert_eq!(sent_to(request, &fixture.wait(999)), None);
    let actions = fixture.wait(1);
    assert!(sent_to(request, &actions).is_some_and(|it| it != "t-old"));
    assert_eq!(goes_on(&actions), Some(false));
}

/// Guards against items of all versions that wait behind one whose version has no free slot.
#[test]
fn items_do_not_wait_behind_one_whose_version_is_full() {
    let mut fixture = mixed();
    fill_old(&mut fixture, Class::Batch, SLOTS_FOR_ITEMS);
    let (waiting, _) = go_on(&mut fixture, Class::Batch, "v1");
    for version in ["v2", "v1", "v2"] {
        let (request, actions) = go_on(&mut fixture, Class::Batch, version);
        assert_eq!(sent_to(request, &actions).is_some(), version == "v2");
        assert_eq!(sent_to(waiting, &actions), None);
    }
    let (new, actions) = fixture.request(Class::Batch);
    assert!(sent_to(new, &actions).is_some());
}

/// Guards against a slot that is kept for a request whose caller has left.
#[test]
fn a_waiting_stream_whose_caller_leaves_gets_no_slot() {
    let mut fixture = mixed();
    let mut running = Vec::new();
    let waiting = loop {
        let (request, actions) = go_on(&mut fixture, Class::Online, "v1");
        match sent_to(request, &actions) {
            Some(_) => running.push(request),
            None => break request,
        }
    };
    fixture.input(Input::Cancelled { request: waiting });
    let actions = fixture.end(running[0], AttemptEnd::Answered);
    assert!(actions.is_empty(), "{actions:?}");
}
