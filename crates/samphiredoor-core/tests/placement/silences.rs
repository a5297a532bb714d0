//! Silent targets: which requests leave them for which targets, and when they are used again.

use samphiredoor_core::{
    Name,
    dispatch::{Class, RequestId},
    names::name_hash,
    overload::target_risk::TargetRisks,
    placement::{AttemptEnd, Input, Resumption, SilentAttempt, SlotUse, TargetEntry, TargetState},
    silence::{FailedProbes, GoneSign, Listing, OtherTarget, Probe, Signs, Verdict, verdict},
    software_versions::StreamOrigin,
};

use super::harness::{Fixture, SLOTS, entry, location, sent_to};

/// Two targets, of which the first is nearer and gets one request.
fn near_and_far() -> (Fixture, RequestId) {
    let mut fixture = Fixture::new(vec![
        entry("near", location("brisbane", "north")),
        entry("far", location("brisbane", "south")),
    ]);
    let request = send(&mut fixture, "near");
    (fixture, request)
}

/// Sends a request, which has to go to this target.
fn send(fixture: &mut Fixture, target: &str) -> RequestId {
    let (request, actions) = fixture.request(Class::Online);
    assert_eq!(sent_to(request, &actions).as_deref(), Some(target));
    request
}

/// Reports the silence of the nearer target; returns where a slot is held.
fn held(fixture: &mut Fixture, request: RequestId, tried: &[&str]) -> Option<String> {
    let (next, _, actions) = fixture.silence(request, Class::Online, tried, SlotUse::Hold);
    sent_to(next, &actions)
}

#[test]
fn a_free_slot_is_held_at_another_target() {
    let (mut fixture, request) = near_and_far();
    assert_eq!(held(&mut fixture, request, &["near"]).as_deref(), Some("far"));
}

// Guards against a slot that is taken for a request which may not be sent again.
#[test]
fn a_slot_that_is_only_reported_stays_free() {
    let (mut fixture, request) = near_and_far();
    let (_, report, actions) = fixture.silence(request, Class::Online, &["near"], SlotUse::Report);
    assert_eq!((report.other, actions.len()), (OtherTarget::FreeSlot, 0));
    assert_eq!(report.listing, Listing::Listed);
}

// Guards against requests that all leave a silent target for the same free slot.
#[test]
fn a_free_slot_is_held_once() {
    let mut fixture = Fixture::with_targets(2);
    let requests: Vec<_> = (0..2 * SLOTS - 1).map(|_| fixture.request(Class::Online)).collect();
    let at_first =
        requests.iter().filter(|(it, sent)| sent_to(*it, sent).as_deref() == Some("t-0"));
    let at_first: Vec<RequestId> = at_first.map(|(it, _)| *it).collect();
    let free = 2 * SLOTS as usize - 1 - at_first.len();
    let free_at_second = SLOTS as usize - free;
    let holds = at_first.iter().filter(|it| held(&mut fixture, **it, &["t-0"]).is_some());
    assert_eq!(holds.count(), free_at_second);
}

macro_rules! not_held {
    ($($name:ident: $prepare:expr, $tried:expr;)*) => {
        $(
            // Guards against requests that leave a silent target with nothing better at hand.
            #[test]
            fn $name() {
                let (mut fixture, request) = near_and_far();
                let prepare: fn(&mut Fixture) = $prepare;
                prepare(&mut fixture);
                assert_eq!(held(&mut fixture, request, $tried), None);
            }
        )*
    };
}

/// Lists both targets, the farther one with changes.
fn list(fixture: &mut Fixture, change: fn(&mut TargetEntry)) {
    let mut far = entry("far", location("brisbane", "south"));
    change(&mut far);
    let near = entry("near", location("brisbane", "north"));
    fixture.input(Input::Targets(vec![near, far]));
}

/// Fails a request at the farther target.
fn fail_at_far(fixture: &mut Fixture, end: AttemptEnd) {
    let (request, actions) = fixture.request_with_tried(Class::Online, &["near"]);
    assert_eq!(sent_to(request, &actions).as_deref(), Some("far"));
    fixture.end(request, end);
}

not_held! {
    a_request_does_not_go_back_to_a_target_that_it_was_tried_at: |_| {}, &["near", "far"];
    a_request_does_not_go_to_a_full_target: |it| drop(it.peer("a", &[("far", SLOTS, 0)])), &["near"];
    a_request_does_not_go_to_a_target_that_items_fill: |it| drop(it.peer("a", &[("far", 0, SLOTS)])), &["near"];
    a_request_does_not_go_to_a_leaving_target: |it| list(it, |far| far.state = TargetState::Leaving), &["near"];
    a_request_does_not_go_to_a_target_of_another_service: |it| list(it, |far| far.service = "writer".into()), &["near"];
    a_request_does_not_go_to_a_target_in_backoff: |it| fail_at_far(it, AttemptEnd::Unreachable), &["near"];
    a_request_does_not_go_to_a_target_that_was_silent_just_now: |it| fail_at_far(it, AttemptEnd::Silent), &["near"];
    a_request_does_not_go_to_a_target_that_has_just_refused_one: |it| fail_at_far(it, AttemptEnd::Refused), &["near"];
}

/// Reports the silence of a target at which a stream of version `v1` runs; returns where a slot is held.
fn held_for_stream(class: Class, version: &str) -> Option<String> {
    let mut fixture = Fixture::with_targets(2);
    let (request, actions) = fixture.request(class);
    let tried = sent_to(request, &actions).expect("it is dispatched");
    let entries = (0..2).map(|it| {
        let mut entry = entry(&format!("t-{it}"), location("brisbane", "north"));
        if *entry.name != *tried {
            entry.software_version = version.into();
        }
        entry
    });
    fixture.input(Input::Targets(entries.collect()));
    let origin = StreamOrigin::of_version("v1".into());
    let mut next = fixture.new_spec(class, fixture.now_ms + 60);
    next.resumes = Some(Resumption { origin, until_ms: 0 });
    next.tried_targets.push(Name::from(tried));
    let attempt = SilentAttempt { request, next, slot_use: SlotUse::Hold };
    let (next, _, actions) = fixture.silence_of(attempt);
    sent_to(next, &actions)
}

// Guards against streams, and texts of items, that go on at another version or are thrown away.
#[test]
fn a_stream_leaves_a_silent_target_only_for_one_of_its_version() {
    for class in [Class::Online, Class::Batch] {
        assert!(held_for_stream(class, "v1").is_some(), "{class:?}");
        assert_eq!(held_for_stream(class, "v2"), None, "{class:?}");
    }
}

#[test]
fn a_silent_target_gets_no_new_requests() {
    let (mut fixture, request) = near_and_far();
    fixture.silence(request, Class::Online, &["near"], SlotUse::Report);
    fixture.wait(10_000);
    send(&mut fixture, "far");
}

// Guards against requests that are refused as the only target is silent.
#[test]
fn the_only_target_is_used_though_it_is_silent() {
    let mut fixture = Fixture::with_targets(1);
    let request = send(&mut fixture, "t-0");
    fixture.silence(request, Class::Online, &["t-0"], SlotUse::Hold);
    send(&mut fixture, "t-0");
}

macro_rules! used_again {
    ($($name:ident: $event:expr;)*) => {
        $(
            // Guards against a sound target that stays avoided after its silence.
            #[test]
            fn $name() {
                let (mut fixture, request) = near_and_far();
                let other = send(&mut fixture, "near");
                for it in [request, other] {
                    fixture.silence(it, Class::Online, &["near"], SlotUse::Report);
                }
                let event: fn(RequestId) -> Input = $event;
                fixture.input(event(request));
                send(&mut fixture, "near");
                // Its other request still waits, and is checked again.
                fixture.silence(other, Class::Online, &["near"], SlotUse::Report);
                send(&mut fixture, "near");
            }
        )*
    };
}

used_again! {
    a_target_that_sends_data_is_used_again: |request| Input::SilenceEnded { request };
    a_target_that_answers_is_used_again: |request| Input::Ended { request, end: AttemptEnd::Answered };
    a_target_that_sends_a_first_event_is_used_again: |request| Input::FirstEvent { request };
}

macro_rules! avoided_after {
    ($($name:ident: $end:expr;)*) => {
        $(
            // Guards against new requests for a target that is silent still, but no longer waited for.
            #[test]
            fn $name() {
                let (mut fixture, request) = near_and_far();
                fixture.silence(request, Class::Online, &["near"], SlotUse::Report);
                fixture.end(request, $end);
                send(&mut fixture, "far");
                fixture.wait(1_000);
                send(&mut fixture, "near");
            }
        )*
    };
}

avoided_after! {
    a_target_is_avoided_for_a_moment_after_its_request_went_elsewhere: AttemptEnd::Silent;
    a_target_is_avoided_for_a_moment_after_its_caller_left: AttemptEnd::Cut;
}

// Guards against backoffs that grow with the silences of a sound target.
#[test]
fn silences_do_not_add_up() {
    let (mut fixture, request) = near_and_far();
    let mut request = request;
    for _ in 0..5 {
        fixture.silence(request, Class::Online, &["near"], SlotUse::Report);
        fixture.end(request, AttemptEnd::Silent);
        fixture.wait(1_000);
        request = send(&mut fixture, "near");
    }
}

// Guards against a target that is doubted for seconds after it has gone on, and against one that is gone and trusted.
#[test]
fn a_silence_is_no_failure_and_a_target_that_is_gone_is_one() {
    let name = Name::from("t-0");
    let doubt_after = |end: AttemptEnd| {
        let mut risks = TargetRisks::default();
        risks.set_targets(1, [(&name, 1)]);
        risks.record_end(1, name_hash(&name), end);
        risks.trust(1, name_hash(&name)).doubt
    };
    assert_eq!(doubt_after(AttemptEnd::Silent), 0.0);
    assert_eq!(doubt_after(AttemptEnd::Gone), 1.0);
}

// Guards against a request that waits for a process which has been replaced.
#[test]
fn a_target_that_has_started_again_or_is_not_listed_is_told_apart() {
    let (mut fixture, request) = near_and_far();
    let mut near = entry("near", location("brisbane", "north"));
    near.started_unix_ms = 2;
    fixture.input(Input::Targets(vec![near]));
    let report = |fixture: &mut Fixture| {
        let (_, report, _) = fixture.silence(request, Class::Online, &["near"], SlotUse::Report);
        report.listing
    };
    assert_eq!(report(&mut fixture), Listing::Restarted);
    fixture.input(Input::Targets(Vec::new()));
    assert_eq!(report(&mut fixture), Listing::Unlisted);
}

macro_rules! verdicts {
    ($($name:ident: $other:expr, $listing:expr, $unlisted_ms:expr, $probes:expr => $verdict:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut failed_probes = FailedProbes::default();
                let probes: &[Probe] = &$probes;
                probes.iter().for_each(|it| failed_probes.record(*it));
                let signs = Signs { listing: $listing, unlisted_ms: $unlisted_ms, failed_probes };
                assert_eq!(verdict($other, signs), $verdict);
            }
        )*
    };
}

use Listing::{Listed, Restarted, Unlisted};
use Probe::{Accepted, Refused, Unanswered};

verdicts! {
    a_silent_target_that_accepts_connections_is_waited_for:
        OtherTarget::None, Listed, 0, [Accepted, Accepted, Accepted] => Verdict::Wait;
    a_silent_target_is_left_for_a_held_slot:
        OtherTarget::FreeSlot, Listed, 0, [] => Verdict::Move;
    a_held_slot_is_used_though_the_target_is_gone:
        OtherTarget::FreeSlot, Restarted, 0, [] => Verdict::Move;
    one_refused_probe_proves_nothing:
        OtherTarget::None, Listed, 0, [Refused] => Verdict::Wait;
    a_target_that_refuses_two_probes_is_gone:
        OtherTarget::None, Listed, 0, [Refused, Refused] => Verdict::Gone(GoneSign::NoConnection);
    two_unanswered_probes_prove_nothing:
        OtherTarget::None, Listed, 0, [Unanswered, Unanswered] => Verdict::Wait;
    a_target_that_answers_none_of_three_probes_is_gone:
        OtherTarget::None, Listed, 0, [Unanswered, Refused, Unanswered] => Verdict::Gone(GoneSign::NoConnection);
    failed_probes_count_only_in_a_row:
        OtherTarget::None, Listed, 0, [Unanswered, Unanswered, Accepted, Unanswered] => Verdict::Wait;
    a_target_that_has_started_again_is_gone:
        OtherTarget::None, Restarted, 0, [Accepted] => Verdict::Gone(GoneSign::Restarted);
    a_target_that_leaves_may_be_silent_for_a_moment:
        OtherTarget::None, Unlisted, 1_500, [Accepted] => Verdict::Wait;
    a_target_that_leaves_and_accepts_connections_is_waited_for:
        OtherTarget::None, Unlisted, 9_999, [Accepted] => Verdict::Wait;
    a_target_that_leaves_and_refuses_two_probes_is_gone:
        OtherTarget::None, Unlisted, 0, [Refused, Refused] => Verdict::Gone(GoneSign::NoConnection);
    a_target_that_is_not_listed_and_silent_for_long_is_gone:
        OtherTarget::None, Unlisted, 10_000, [Accepted] => Verdict::Gone(GoneSign::Unlisted);
}
