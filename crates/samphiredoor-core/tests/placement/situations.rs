//! Where requests go in named situations.

use samphiredoor_core::{
    dispatch::{Class, RequestId},
    placement::{Action, AttemptEnd, Input, TargetState},
    verdict::Refusal,
};

use crate::harness::{SLOTS, World, entry, location, sent_to};

/// Run time of an item.
const RUN_MS: u64 = 1_000;
/// Time to the due time of an item that is not urgent.
const LATER_MS: u64 = 60_000;
/// Places of a target that items leave free.
const FREE: u32 = 1;
/// Items that may begin before one that is late.
const LONGEST_TURNS: u32 = 25;

#[test]
fn the_nearest_free_target_is_used_first() {
    let mut world = World::new(vec![
        entry("far", location("cairns", "port")),
        entry("region", location("brisbane", "south")),
        entry("zone", location("brisbane", "north")),
    ]);
    let mut used = Vec::new();
    for _ in 0..2 * SLOTS + 1 {
        let (request, actions) = world.ask(Class::Online);
        used.push(sent_to(request, &actions).unwrap());
    }
    let slots = SLOTS as usize;
    assert!(used[..slots].iter().all(|it| it == "zone"));
    assert!(used[slots..2 * slots].iter().all(|it| it == "region"));
    assert_eq!(used[2 * slots], "far");
}

// Two doors share a target. Each would fill it alone, and requests of one would wait behind those of the other.
#[test]
fn what_other_doors_run_takes_places() {
    let mut world = World::with_targets(2);
    world.peer("door-a", &[("t-0", SLOTS, 0)]);
    for _ in 0..SLOTS {
        let (request, actions) = world.ask(Class::Online);
        assert_eq!(sent_to(request, &actions).as_deref(), Some("t-1"));
    }
}

// A door died, and its requests with it; what it told last must not hold places for ever.
#[test]
fn a_silent_door_holds_no_places() {
    let mut world = World::with_targets(1);
    world.peer("door-a", &[("t-0", 2 * SLOTS, 0)]);
    let (request, actions) = world.ask(Class::Online);
    assert_eq!(sent_to(request, &actions), None);
    world.wait(1_600);
    let (request, actions) = world.ask(Class::Online);
    assert_eq!(sent_to(request, &actions).as_deref(), Some("t-0"));
}

// A target tells more load than all doors account for: somebody uses it whom nobody knows.
#[test]
fn load_that_nobody_accounts_for_takes_places_for_a_while() {
    let mut world = World::with_targets(2);
    world.report("t-0", SLOTS, 0);
    let (request, actions) = world.ask(Class::Online);
    assert_eq!(sent_to(request, &actions).as_deref(), Some("t-1"));
    world.wait(600);
    for _ in 0..SLOTS {
        world.ask(Class::Online);
    }
    let (request, actions) = world.ask(Class::Online);
    assert_eq!(sent_to(request, &actions).as_deref(), Some("t-0"));
}

#[test]
fn items_leave_places_for_online_requests() {
    let mut world = World::with_targets(1);
    let mut sent = 0;
    for _ in 0..SLOTS {
        let (request, actions) = world.ask(Class::Batch);
        sent += usize::from(sent_to(request, &actions).is_some());
    }
    assert_eq!(sent, SLOTS as usize - 1);
}

// A burst of online requests meets a target that items hold. The youngest items must leave, one for each request that
// has no place, and no more.
#[test]
fn online_requests_take_places_back_from_the_youngest_items() {
    let mut world = World::with_targets(1);
    let items: Vec<_> = (0..7).map(|_| world.ask(Class::Batch).0).collect();
    let (request, actions) = world.ask(Class::Online);
    assert_eq!(sent_to(request, &actions).as_deref(), Some("t-0"));
    assert!(!actions.iter().any(|it| matches!(it, Action::Preempt { .. })));
    let (request, actions) = world.ask(Class::Online);
    assert_eq!(sent_to(request, &actions).as_deref(), Some("t-0"));
    assert!(actions.contains(&Action::Preempt { request: items[6] }));
    assert_eq!(actions.iter().filter(|it| matches!(it, Action::Preempt { .. })).count(), 1);
}

// Two doors have items at a target, and both see that it is overfull by two. Together they recall two, not four.
#[test]
fn doors_share_out_what_is_recalled() {
    let mut world = World::with_targets(1);
    for _ in 0..3 {
        world.ask(Class::Batch);
    }
    let recalled = |actions: &[Action]| {
        actions.iter().filter(|it| matches!(it, Action::Preempt { .. })).count()
    };
    assert_eq!(recalled(&world.peer("door-a", &[("t-0", 6, 1)])), 1);
    let mut world = World::with_targets(1);
    for _ in 0..3 {
        world.ask(Class::Batch);
    }
    assert_eq!(recalled(&world.peer("door-z", &[("t-0", 6, 1)])), 2);
}

// Items of another door hold a target that online requests need. That door has to hear of it at once: with the seldom word
// to doors of other zones, requests waited up to half a second.
#[test]
fn a_door_says_when_it_needs_the_places_of_others() {
    let mut world = World::with_targets(1);
    world.peer("door-a", &[("t-0", 0, 6)]);
    for needs_others in [false, false, true] {
        let (request, actions) = world.ask(Class::Online);
        assert_eq!(sent_to(request, &actions).as_deref(), Some("t-0"));
        assert_eq!(world.placement.take_needs_peer_preemption(), needs_others);
    }
    let mut world = World::with_targets(1);
    for _ in 0..6 {
        world.ask(Class::Batch);
    }
    for _ in 0..4 {
        world.ask(Class::Online);
        assert!(!world.placement.take_needs_peer_preemption());
    }
}

#[test]
fn a_leaving_target_gets_nothing() {
    let mut world = World::with_targets(1);
    let leaving = samphiredoor_core::placement::TargetEntry {
        state: TargetState::Leaving,
        ..entry("t-0", location("brisbane", "north"))
    };
    world.input(Input::Targets(vec![leaving]));
    let (request, actions) = world.ask(Class::Online);
    let refused = Action::Refuse { request, reason: Refusal::NoTarget, retry_after_ms: 1_000 };
    assert_eq!(actions, [refused]);
}

#[test]
fn a_request_that_finds_all_full_waits_a_little_and_is_then_refused() {
    let mut world = World::with_targets(1);
    for _ in 0..SLOTS + 2 {
        world.ask(Class::Online);
    }
    let (request, actions) = world.ask(Class::Online);
    assert!(actions.is_empty());
    let actions = world.wait(60);
    assert!(matches!(
        actions[..],
        [Action::Refuse { request: it, reason: Refusal::Overloaded, .. }] if it == request
    ));
}

macro_rules! left_alone {
    ($($name:ident: $end:expr, $times:expr => $alone_ms:expr;)*) => {
        $(
            // A target that does not serve is left alone for a while, and found again after it.
            #[test]
            fn $name() {
                let mut world = World::new(vec![
                    entry("bad", location("brisbane", "north")),
                    entry("good", location("brisbane", "south")),
                ]);
                for _ in 0..$times {
                    let (request, actions) = world.ask(Class::Online);
                    assert_eq!(sent_to(request, &actions).as_deref(), Some("bad"));
                    world.end(request, $end);
                }
                let (request, actions) = world.ask(Class::Online);
                assert_eq!(sent_to(request, &actions).as_deref(), Some("good"));
                world.wait($alone_ms);
                let (request, actions) = world.ask(Class::Online);
                assert_eq!(sent_to(request, &actions).as_deref(), Some("bad"));
            }
        )*
    };
}

left_alone! {
    an_unreachable_target_is_left_at_once: AttemptEnd::Unreachable, 1 => 250;
    a_silent_target_is_left_at_once: AttemptEnd::Silent, 1 => 1_000;
    a_target_that_loses_answers_is_left_after_three: AttemptEnd::Lost, 3 => 250;
    a_target_that_refused_counts_as_full: AttemptEnd::Refused, 1 => 80;
    a_target_whose_address_moved_is_left_until_discovery_knows: AttemptEnd::WrongTarget, 1 => 5_000;
}

// All targets look sick at once, as after a cut of the own host. A guess is better than refusing everything.
#[test]
fn where_all_targets_are_paused_one_is_tried() {
    let mut world = World::with_targets(2);
    for _ in 0..2 {
        let (request, _) = world.ask(Class::Online);
        world.end(request, AttemptEnd::Unreachable);
    }
    let (request, actions) = world.ask(Class::Online);
    assert!(sent_to(request, &actions).is_some());
}

// A request that may run again was tried on every target. Refusing it now would throw away the attempts that it has.
#[test]
fn targets_that_were_tried_come_last() {
    let mut world = World::with_targets(2);
    let (request, actions) = world.ask_without(Class::Online, &["t-0"]);
    assert_eq!(sent_to(request, &actions).as_deref(), Some("t-1"));
    let (request, actions) = world.ask_without(Class::Online, &["t-0", "t-1"]);
    assert!(sent_to(request, &actions).is_some());
}

fn started(actions: &[Action]) -> usize {
    actions.iter().filter(|it| matches!(it, Action::Dispatch { .. })).count()
}

// Ten items wait at this door and thirty at another, and each filled whatever place it saw free: jobs of one door were late
// while those of the other were done long before they were due, and both recalled what the other had begun.
#[test]
fn places_are_shared_by_the_number_of_items() {
    let mut world = World::with_targets(1);
    world.peer_waits("door-a", 30);
    let before: usize = (0..10).map(|_| started(&world.ask(Class::Batch).1)).sum();
    // A quarter of seven places, rounded up.
    assert_eq!(before, 2);
    // The other door has none any more: all places but the one for online requests.
    assert_eq!(started(&world.peer_waits("door-a", 0)), 5);
}

// The door that told of its items is gone; places are not left free for it.
#[test]
fn items_of_a_silent_door_hold_no_share() {
    let mut world = World::with_targets(1);
    world.peer_waits("door-a", 70);
    let before: usize = (0..7).map(|_| started(&world.ask(Class::Batch).1)).sum();
    assert_eq!(before, 1);
    assert_eq!(started(&world.wait(1_600)), 6);
}

/// A door that has seen how long an item runs, and whose only target is full of items.
fn full_of_items() -> (World, Vec<RequestId>) {
    let mut world = World::with_targets(1);
    let (first, _) = world.ask_item(LATER_MS, 0);
    world.wait(RUN_MS);
    world.end(first, AttemptEnd::Answered);
    let running = (0..SLOTS - FREE).map(|_| world.ask_item(LATER_MS, 0).0).collect();
    (world, running)
}

// In order of due time an item that is late anyway takes the place of one that then is late, too.
#[test]
fn an_item_that_cannot_end_in_time_goes_behind_one_that_can() {
    let (mut world, running) = full_of_items();
    world.ask_item(RUN_MS, 0);
    let (in_time, _) = world.ask_item(4 * RUN_MS, 0);
    let actions = world.end(running[0], AttemptEnd::Cut);
    assert_eq!(sent_to(in_time, &actions).as_deref(), Some("t-0"));
}

// Where not all can be in time, places that go to new items leave begun ones late.
#[test]
fn items_that_have_begun_go_on_before_others_begin_in_an_overload() {
    let (mut world, running) = full_of_items();
    world.ask_item(0, 0);
    world.ask_item(4 * RUN_MS, 0);
    let (begun, _) = world.ask_item(5 * RUN_MS, RUN_MS / 2);
    let actions = world.end(running[0], AttemptEnd::Cut);
    assert_eq!(sent_to(begun, &actions).as_deref(), Some("t-0"));
}

// While items that can end in time come without end, those that cannot would wait for ever.
#[test]
fn a_late_item_gets_its_turn_while_others_can_be_in_time() {
    let (mut world, mut running) = full_of_items();
    let (late, _) = world.ask_item(0, 0);
    for _ in 0..LONGEST_TURNS {
        let (in_time, _) = world.ask_item(LATER_MS, 0);
        let actions = world.end(running.remove(0), AttemptEnd::Cut);
        if sent_to(late, &actions).is_some() {
            return;
        }
        assert!(sent_to(in_time, &actions).is_some());
        running.push(in_time);
    }
    panic!("the late item never began");
}
