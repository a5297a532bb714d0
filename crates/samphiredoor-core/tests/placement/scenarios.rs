//! Which target a request is dispatched to, and which item is preempted, in specific scenarios.

use samphiredoor_core::{
    dispatch::{Class, RequestId},
    placement::{Action, AttemptEnd, GatewayState, Input, TargetState},
    verdict::Refusal,
};

use crate::harness::{Fixture, SLOTS, entry, location, sent_to};

/// Run time of an item.
const RUN_MS: u64 = 1_000;
/// Time until an item is due that is not urgent.
const NOT_URGENT_MS: u64 = 60_000;
/// Slots of a target that items leave free.
const RESERVED: u32 = 1;
/// Number of items that may start before one that cannot finish in time.
const MAX_STARTED_BEFORE_LATE: u32 = 25;

#[test]
fn the_nearest_free_target_is_used_first() {
    let mut fixture = Fixture::new(vec![
        entry("far", location("cairns", "port")),
        entry("region", location("brisbane", "south")),
        entry("zone", location("brisbane", "north")),
    ]);
    let mut used = Vec::new();
    for _ in 0..2 * SLOTS + 1 {
        let (request, actions) = fixture.request(Class::Online);
        used.push(sent_to(request, &actions).unwrap());
    }
    let slots = SLOTS as usize;
    assert!(used[..slots].iter().all(|it| it == "zone"));
    assert!(used[slots..2 * slots].iter().all(|it| it == "region"));
    assert_eq!(used[2 * slots], "far");
}

// Two gateways share a target. If each filled it alone, requests of one would wait behind those of the other.
#[test]
fn requests_of_peers_take_slots() {
    let mut fixture = Fixture::with_targets(2);
    fixture.peer("gateway-a", &[("t-0", SLOTS, 0)]);
    for _ in 0..SLOTS {
        let (request, actions) = fixture.request(Class::Online);
        assert_eq!(sent_to(request, &actions).as_deref(), Some("t-1"));
    }
}

// A gateway has died, and its requests with it. The loads that it sent last must not take slots forever.
#[test]
fn a_timed_out_peer_takes_no_slots() {
    let mut fixture = Fixture::with_targets(1);
    fixture.peer("gateway-a", &[("t-0", 2 * SLOTS, 0)]);
    let (request, actions) = fixture.request(Class::Online);
    assert_eq!(sent_to(request, &actions), None);
    fixture.wait(1_600);
    let (request, actions) = fixture.request(Class::Online);
    assert_eq!(sent_to(request, &actions).as_deref(), Some("t-0"));
}

// A target reports more load than all gateways account for, so it has requests of an unknown sender.
#[test]
fn unaccounted_load_takes_slots_for_a_while() {
    let mut fixture = Fixture::with_targets(2);
    fixture.report("t-0", SLOTS, 0);
    let (request, actions) = fixture.request(Class::Online);
    assert_eq!(sent_to(request, &actions).as_deref(), Some("t-1"));
    fixture.wait(600);
    for _ in 0..SLOTS {
        fixture.request(Class::Online);
    }
    let (request, actions) = fixture.request(Class::Online);
    assert_eq!(sent_to(request, &actions).as_deref(), Some("t-0"));
}

#[test]
fn items_leave_a_slot_for_online_requests() {
    let mut fixture = Fixture::with_targets(1);
    let mut sent = 0;
    for _ in 0..SLOTS {
        let (request, actions) = fixture.request(Class::Batch);
        sent += usize::from(sent_to(request, &actions).is_some());
    }
    assert_eq!(sent, SLOTS as usize - 1);
}

// A burst of online requests arrives at a target whose slots are held by items. Only as many items are preempted as
// requests lack a slot, youngest first.
#[test]
fn online_requests_preempt_the_youngest_items() {
    let mut fixture = Fixture::with_targets(1);
    let items: Vec<_> = (0..7).map(|_| fixture.request(Class::Batch).0).collect();
    let (request, actions) = fixture.request(Class::Online);
    assert_eq!(sent_to(request, &actions).as_deref(), Some("t-0"));
    assert!(!actions.iter().any(|it| matches!(it, Action::Preempt { .. })));
    let (request, actions) = fixture.request(Class::Online);
    assert_eq!(sent_to(request, &actions).as_deref(), Some("t-0"));
    assert!(actions.contains(&Action::Preempt { request: items[6] }));
    assert_eq!(actions.iter().filter(|it| matches!(it, Action::Preempt { .. })).count(), 1);
}

// Two gateways have items at a target, and both see that it is two requests over its slots. Together they preempt two
// items, not four.
#[test]
fn gateways_together_preempt_only_the_excess() {
    let mut fixture = Fixture::with_targets(1);
    for _ in 0..3 {
        fixture.request(Class::Batch);
    }
    let preempted = |actions: &[Action]| {
        actions.iter().filter(|it| matches!(it, Action::Preempt { .. })).count()
    };
    assert_eq!(preempted(&fixture.peer("gateway-a", &[("t-0", 6, 1)])), 1);
    let mut fixture = Fixture::with_targets(1);
    for _ in 0..3 {
        fixture.request(Class::Batch);
    }
    assert_eq!(preempted(&fixture.peer("gateway-z", &[("t-0", 6, 1)])), 2);
}

// Items of a peer hold the slots that online requests need, and only that peer can preempt them. It must get the message at
// once: with the infrequent messages to gateways of other zones, requests waited for up to half a second.
#[test]
fn a_gateway_signals_when_only_a_peer_can_preempt() {
    let mut fixture = Fixture::with_targets(1);
    fixture.peer("gateway-a", &[("t-0", 0, 6)]);
    for needs_others in [false, false, true] {
        let (request, actions) = fixture.request(Class::Online);
        assert_eq!(sent_to(request, &actions).as_deref(), Some("t-0"));
        assert_eq!(fixture.placement.take_needs_peer_preemption(), needs_others);
    }
    let mut fixture = Fixture::with_targets(1);
    for _ in 0..6 {
        fixture.request(Class::Batch);
    }
    for _ in 0..4 {
        fixture.request(Class::Online);
        assert!(!fixture.placement.take_needs_peer_preemption());
    }
}

#[test]
fn a_leaving_target_gets_no_requests() {
    let mut fixture = Fixture::with_targets(1);
    let leaving = samphiredoor_core::placement::TargetEntry {
        state: TargetState::Leaving,
        ..entry("t-0", location("brisbane", "north"))
    };
    fixture.input(Input::Targets(vec![leaving]));
    let (request, actions) = fixture.request(Class::Online);
    let refused = Action::Refuse { request, reason: Refusal::NoTarget, retry_after_ms: 1_000 };
    assert_eq!(actions, [refused]);
}

#[test]
fn a_request_waits_for_a_full_fleet_until_its_deadline_and_is_then_refused() {
    let mut fixture = Fixture::with_targets(1);
    for _ in 0..SLOTS + 2 {
        fixture.request(Class::Online);
    }
    let (request, actions) = fixture.request(Class::Online);
    assert!(actions.is_empty());
    let actions = fixture.wait(60);
    assert!(matches!(
        actions[..],
        [Action::Refuse { request: it, reason: Refusal::Overloaded, .. }] if it == request
    ));
}

macro_rules! backoff_tests {
    ($($name:ident: $end:expr, $times:expr => $backoff_ms:expr;)*) => {
        $(
            // A target that does not serve gets no requests during its backoff, and is tried again after it.
            #[test]
            fn $name() {
                let mut fixture = Fixture::new(vec![
                    entry("bad", location("brisbane", "north")),
                    entry("good", location("brisbane", "south")),
                ]);
                for _ in 0..$times {
                    let (request, actions) = fixture.request(Class::Online);
                    assert_eq!(sent_to(request, &actions).as_deref(), Some("bad"));
                    fixture.end(request, $end);
                }
                let (request, actions) = fixture.request(Class::Online);
                assert_eq!(sent_to(request, &actions).as_deref(), Some("good"));
                fixture.wait($backoff_ms);
                let (request, actions) = fixture.request(Class::Online);
                assert_eq!(sent_to(request, &actions).as_deref(), Some("bad"));
            }
        )*
    };
}

backoff_tests! {
    an_unreachable_target_is_backed_off_at_once: AttemptEnd::Unreachable, 1 => 250;
    a_target_that_times_out_is_backed_off_at_once: AttemptEnd::Silent, 1 => 1_000;
    a_target_that_is_gone_is_backed_off_at_once: AttemptEnd::Gone, 1 => 1_000;
    a_target_that_loses_answers_is_backed_off_after_three: AttemptEnd::Lost, 3 => 250;
    a_target_that_refused_a_request_counts_as_full: AttemptEnd::Refused, 1 => 80;
    a_target_whose_address_was_reused_is_backed_off_until_discovery_updates: AttemptEnd::WrongTarget, 1 => 5_000;
}

// All targets fail at once, as after a network partition of the own host. Trying one is better than refusing everything.
#[test]
fn if_all_targets_are_in_backoff_one_is_tried() {
    let mut fixture = Fixture::with_targets(2);
    for _ in 0..2 {
        let (request, _) = fixture.request(Class::Online);
        fixture.end(request, AttemptEnd::Unreachable);
    }
    let (request, actions) = fixture.request(Class::Online);
    assert!(sent_to(request, &actions).is_some());
}

// A request that may be retried was tried on every target. Refusing it would waste its remaining attempts.
#[test]
fn targets_of_earlier_attempts_come_last() {
    let mut fixture = Fixture::with_targets(2);
    let (request, actions) = fixture.request_with_tried(Class::Online, &["t-0"]);
    assert_eq!(sent_to(request, &actions).as_deref(), Some("t-1"));
    let (request, actions) = fixture.request_with_tried(Class::Online, &["t-0", "t-1"]);
    assert!(sent_to(request, &actions).is_some());
}

/// Number of dispatched requests.
fn started(actions: &[Action]) -> usize {
    actions.iter().filter(|it| matches!(it, Action::Dispatch { .. })).count()
}

// Ten items wait at this gateway and thirty at another. When each filled every slot that it saw free, jobs of one were late
// while those of the other were done long before they were due, and each preempted items that the other had started.
#[test]
fn slots_are_shared_in_proportion_to_waiting_items() {
    let mut fixture = Fixture::with_targets(1);
    fixture.peer_waiting("gateway-a", 30);
    let before: usize = (0..10).map(|_| started(&fixture.request(Class::Batch).1)).sum();
    // A quarter of seven slots, rounded up.
    assert_eq!(before, 2);
    // The peer has no items any more: all slots but the one for online requests.
    assert_eq!(started(&fixture.peer_waiting("gateway-a", 0)), 5);
}

// The gateway that sent its number of items has died; no slots must stay free for it.
#[test]
fn items_of_a_timed_out_peer_get_no_share() {
    let mut fixture = Fixture::with_targets(1);
    fixture.peer_waiting("gateway-a", 70);
    let before: usize = (0..7).map(|_| started(&fixture.request(Class::Batch).1)).sum();
    assert_eq!(before, 1);
    assert_eq!(started(&fixture.wait(1_600)), 6);
}

// A job leaves the gateway: each of its runs that ends gives its slot to an item whose cancellation is already under way.
#[test]
fn an_item_that_is_cancelled_while_it_is_dispatched_frees_its_slot() {
    let mut fixture = Fixture::with_targets(1);
    let items: Vec<_> = (0..3 * SLOTS).map(|_| fixture.request(Class::Batch)).collect();
    let (running, waiting): (Vec<_>, Vec<_>) =
        items.into_iter().partition(|(_, actions)| started(actions) > 0);
    assert_eq!(running.len(), (SLOTS - RESERVED) as usize);
    for (request, _) in running {
        assert_eq!(started(&fixture.end(request, AttemptEnd::Cut)), 1);
    }
    for (request, _) in waiting {
        fixture.input(Input::Cancelled { request });
    }
    assert_eq!(fixture.placement.state(), GatewayState::default());
    let (request, actions) = fixture.request(Class::Batch);
    assert_eq!(sent_to(request, &actions).as_deref(), Some("t-0"));
}

/// A gateway that has recorded the run time of an item, and whose only target is full of items.
fn full_of_items() -> (Fixture, Vec<RequestId>) {
    let mut fixture = Fixture::with_targets(1);
    let (first, _) = fixture.request_item(NOT_URGENT_MS, 0);
    fixture.wait(RUN_MS);
    fixture.end(first, AttemptEnd::Answered);
    let running = (0..SLOTS - RESERVED).map(|_| fixture.request_item(NOT_URGENT_MS, 0).0).collect();
    (fixture, running)
}

// In order of due time, an item that is late anyway would take the slot of another one and make it late, too.
#[test]
fn an_item_that_cannot_finish_in_time_starts_after_one_that_can() {
    let (mut fixture, running) = full_of_items();
    fixture.request_item(RUN_MS, 0);
    let (in_time, _) = fixture.request_item(4 * RUN_MS, 0);
    let actions = fixture.end(running[0], AttemptEnd::Cut);
    assert_eq!(sent_to(in_time, &actions).as_deref(), Some("t-0"));
}

// Under overload, slots given to new items would make partly done ones late.
#[test]
fn partly_done_items_resume_before_new_ones_start_under_overload() {
    let (mut fixture, running) = full_of_items();
    fixture.request_item(0, 0);
    fixture.request_item(4 * RUN_MS, 0);
    let (partly_done, _) = fixture.request_item(5 * RUN_MS, RUN_MS / 2);
    let actions = fixture.end(running[0], AttemptEnd::Cut);
    assert_eq!(sent_to(partly_done, &actions).as_deref(), Some("t-0"));
}

// While items that can finish in time keep arriving, those that cannot would wait forever.
#[test]
fn a_late_item_starts_while_others_can_finish_in_time() {
    let (mut fixture, mut running) = full_of_items();
    let (late, _) = fixture.request_item(0, 0);
    for _ in 0..MAX_STARTED_BEFORE_LATE {
        let (in_time, _) = fixture.request_item(NOT_URGENT_MS, 0);
        let actions = fixture.end(running.remove(0), AttemptEnd::Cut);
        if sent_to(late, &actions).is_some() {
            return;
        }
        assert!(sent_to(in_time, &actions).is_some());
        running.push(in_time);
    }
    panic!("the late item never started");
}

// Outputs that are not stored fill the memory of a gateway. Its new items must wait, or they would fill it further; partly
// done ones must go on, as their outputs are released only once they are complete. Peers must not leave slots to items
// that cannot start.
#[test]
fn held_items_wait_while_partly_done_ones_start() {
    let mut fixture = Fixture::with_targets(1);
    fixture.placement.hold_new_items(true);
    let (new, actions) = fixture.request_item(NOT_URGENT_MS, 0);
    assert_eq!(sent_to(new, &actions), None);
    assert_eq!(fixture.placement.held_items(), 1);
    assert_eq!(fixture.placement.state().waiting, Vec::new());
    let (partly_done, actions) = fixture.request_item(2 * NOT_URGENT_MS, 1);
    assert_eq!(sent_to(partly_done, &actions).as_deref(), Some("t-0"));
    let (online, actions) = fixture.request(Class::Online);
    assert_eq!(sent_to(online, &actions).as_deref(), Some("t-0"));
    fixture.placement.hold_new_items(false);
    assert_eq!(sent_to(new, &fixture.wait(20)).as_deref(), Some("t-0"));
    assert_eq!(fixture.placement.held_items(), 0);
}
