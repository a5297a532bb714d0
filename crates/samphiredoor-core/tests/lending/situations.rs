//! What lending does in named situations.

use std::{collections::BTreeMap, sync::Arc};

use samphiredoor_core::{
    Name,
    dispatch::{Action, AttemptEnd, Class, Input, RequestId, slot_allocator::SHARE_TTL_MS},
};

use crate::world::{LOAN_LIMIT, QUIET_MS, World, dispatched, live, recalled};

fn filled() -> World {
    let mut world = World::new(&["engine"]);
    world.items(20, "list", "light");
    world.pass(QUIET_MS + 1_000);
    assert_eq!(world.lent("engine").len(), LOAN_LIMIT as usize);
    world
}

/// An owner sees the engine busy with others' lists although the capacity was reclaimed. The manifest says so, and the
/// cause would be items that run on until they end by themselves.
#[test]
fn a_reclaim_recalls_all_items_in_the_same_turn() {
    let mut world = filled();
    let actions = world.reclaim("engine", true);
    assert_eq!(recalled(&actions).len(), LOAN_LIMIT as usize);
    assert_eq!(world.lent("engine"), []);
    for request in recalled(&actions) {
        world.end(request, AttemptEnd::Preempted);
    }
    assert_eq!(dispatched(&world.pass(5_000)), []);
    world.reclaim("engine", false);
    world.pass(1_000);
    assert!(!world.lent("engine").is_empty(), "lent again after the reclaim ends");
}

/// A driver at the loading bay waits for an answer that comes word by word, as the engine is full of lists. The first
/// online request after a quiet time arrives; the cause would be batch that stays until it ends.
#[test]
fn the_first_online_request_after_a_quiet_time_recalls_in_the_same_turn() {
    let mut world = filled();
    let (online, actions) = world.online();
    assert_eq!(dispatched(&actions), [online]);
    assert_eq!(recalled(&actions).len(), LOAN_LIMIT as usize, "nothing is known of the level yet");
    assert_eq!(dispatched(&world.pass(100)), []);
}

#[test]
fn the_youngest_items_are_recalled_first() {
    let mut world = World::new(&["engine"]);
    world.items(20, "list", "light");
    world.pass(QUIET_MS + 1_000);
    // A level of four online requests, so that some batch may stay beside one.
    let online: Vec<RequestId> = (0..4).map(|_| world.online().0).collect();
    world.pass(200);
    for request in online {
        world.end(request, AttemptEnd::Completed);
    }
    for request in world.known.keys().copied().collect::<Vec<_>>() {
        if world.known[&request].recalled {
            world.end(request, AttemptEnd::Preempted);
        }
    }
    world.pass(QUIET_MS + 1_000);
    let lent = world.lent("engine");
    assert_eq!(lent.len(), LOAN_LIMIT as usize);
    let (_, actions) = world.online();
    let recalled = recalled(&actions);
    let left = world.lent("engine");
    assert!(!recalled.is_empty() && !left.is_empty(), "{recalled:?} {left:?}");
    assert!(left.iter().max() < recalled.iter().min());
}

/// A list of long answers never ends, as each item that loses its slot begins anew behind all others.
#[test]
fn an_item_that_lost_its_slot_goes_on_before_others_begin() {
    let mut world = filled();
    let (online, actions) = world.online();
    let lost = recalled(&actions);
    for request in &lost {
        world.end(*request, AttemptEnd::Preempted);
    }
    world.end(online, AttemptEnd::Completed);
    let again = dispatched(&world.pass(QUIET_MS + 1_000));
    let mut expected = lost;
    expected.sort();
    assert_eq!(again, expected);
}

/// A list hangs for ever at its last item. Its service was taken out of the declarations while the item was being
/// recalled; the cause would be an item that waits where nobody looks any more.
#[test]
fn an_item_that_lost_its_slot_is_refused_if_its_service_is_gone() {
    let mut world = filled();
    let lost = recalled(&world.online().1);
    world.manifest.revision += 1;
    world.manifest.services.clear();
    world.manifest.targets.clear();
    world.handle(Input::Manifest(Arc::new(world.manifest.clone())));
    for request in lost {
        let actions = world.end(request, AttemptEnd::Preempted);
        let refused =
            |it: &Action| matches!(it, Action::Refuse { request: it, .. } if *it == request);
        assert!(actions.iter().any(refused), "{actions:?}");
    }
}

/// Two doors fill one target, each with the whole loan. The lender is lost or cut off; the cause would be shares that
/// are kept for ever.
#[test]
fn a_share_that_is_not_renewed_is_over() {
    let mut world = World::new(&["engine"]);
    let others: Vec<String> = (1..9).map(|it| format!("door-{it}")).collect();
    let names: Vec<&str> = others.iter().map(String::as_str).collect();
    world.handle(Input::LiveGateways { own_name: "door-0".into(), live: live(&names) });
    world.items(20, "list", "light");
    assert_eq!(dispatched(&world.pass(5_000)), [], "nothing without a share");
    let mut granted = false;
    for lender in &names {
        let share = Input::SlotGrant {
            target: "engine".into(),
            allocator: (*lender).into(),
            slots: 2,
            epoch: 1,
        };
        granted |= !dispatched(&world.handle(share)).is_empty();
        world.pass(100);
    }
    assert_eq!(world.lent("engine").len(), 2, "one of them is the lender, whatever {granted}");
    world.pass(SHARE_TTL_MS + 1_000);
    assert_eq!(world.lent("engine"), []);
}

#[test]
fn a_smaller_share_recalls_in_the_same_turn_and_an_older_one_changes_nothing() {
    let mut world = World::new(&["engine"]);
    world.handle(Input::LiveGateways { own_name: "door-0".into(), live: live(&["door-1"]) });
    world.items(20, "list", "light");
    let share = |slots, epoch| Input::SlotGrant {
        target: "engine".into(),
        allocator: "door-1".into(),
        slots,
        epoch,
    };
    world.handle(share(4, 5));
    world.pass(500);
    assert_eq!(world.lent("engine").len(), 4);
    assert_eq!(recalled(&world.handle(share(1, 6))).len(), 3);
    assert_eq!(world.lent("engine").len(), 1);
    world.handle(share(4, 5));
    world.pass(500);
    assert_eq!(world.lent("engine").len(), 1);
}

/// A driver's request arrives at a door that is not the target's lender, which learns of it a moment later. Until then
/// the target would be slower; the cause would be a door that waits for its lender before it yields.
#[test]
fn a_borrower_yields_to_its_own_online_request_in_the_same_turn() {
    let mut world = World::new(&["engine"]);
    world.handle(Input::LiveGateways { own_name: "door-0".into(), live: live(&["door-1"]) });
    world.items(20, "list", "light");
    let (slots, epoch) = (3, 1);
    let share =
        Input::SlotGrant { target: "engine".into(), allocator: "door-1".into(), slots, epoch };
    world.handle(share);
    world.pass(500);
    assert_eq!(world.lent("engine").len(), 3);
    assert_eq!(recalled(&world.online().1).len(), 1);
    assert_eq!(recalled(&world.online().1).len(), 1);
    assert_eq!(world.lent("engine").len(), 1);
}

/// Runs items to their end until `total_ms` have passed; `takes` tells how long a job's items take. Returns the slot
/// time of each job.
fn run(
    world: &mut World,
    total_ms: u64,
    takes: impl Fn(&str) -> (u64, AttemptEnd),
) -> BTreeMap<Name, u64> {
    let mut slot_ms: BTreeMap<Name, u64> = BTreeMap::new();
    let mut started: BTreeMap<RequestId, u64> = BTreeMap::new();
    let until_ms = world.now_ms + total_ms;
    while world.now_ms < until_ms {
        world.pass(10);
        for request in world.lent("engine") {
            let started_ms = *started.entry(request).or_insert(world.now_ms);
            let job = Name::clone(&world.known[&request].job);
            let (takes_ms, end) = takes(&job);
            let took_ms = world.now_ms - started_ms;
            if took_ms >= takes_ms {
                *slot_ms.entry(job).or_default() += took_ms;
                world.end(request, end);
            }
        }
    }
    slot_ms
}

fn assert_share(slot_ms: &BTreeMap<Name, u64>, job: &str, share: f64) {
    let total: u64 = slot_ms.values().sum();
    let got = slot_ms.get(job).copied().unwrap_or(0) as f64 / total as f64;
    assert!((got - share).abs() < 0.08, "{job}: {got:.2} of the slot time in {slot_ms:?}");
}

#[test]
fn workspaces_share_slot_time_by_weight() {
    let mut world = World::new(&["engine"]);
    world.items(400, "many", "heavy");
    world.items(400, "few", "light");
    world.pass(QUIET_MS);
    let slot_ms = run(&mut world, 20_000, |_| (200, AttemptEnd::Completed));
    assert_share(&slot_ms, "many", 0.75);
}

#[test]
fn jobs_of_long_and_of_short_items_share_slot_time() {
    let mut world = World::new(&["engine"]);
    world.items(400, "long", "light");
    world.items(400, "short", "light");
    world.pass(QUIET_MS);
    let slot_ms = run(&mut world, 20_000, |job| match job {
        "long" => (1_000, AttemptEnd::Completed),
        _ => (100, AttemptEnd::Completed),
    });
    assert_share(&slot_ms, "long", 0.5);
}

/// The planning desk's round sheets stand still while a broken list is tried again and again. Each try fails at once
/// and asks anew; the cause would be turns by items and not by what they take.
#[test]
fn a_job_whose_items_fail_does_not_take_the_slots_of_another() {
    let mut world = World::new(&["engine"]);
    world.items(500, "broken", "light");
    world.items(400, "sheets", "light");
    world.pass(QUIET_MS);
    let slot_ms = run(&mut world, 10_000, |job| match job {
        "broken" => (20, AttemptEnd::Failed),
        _ => (200, AttemptEnd::Completed),
    });
    let sheets = slot_ms.get("sheets").copied().unwrap_or(0);
    let broken = slot_ms.get("broken").copied().unwrap_or(0);
    assert!(sheets * 10 >= broken * 9, "{slot_ms:?}");
}

#[test]
fn a_job_that_is_due_soon_goes_first_within_its_workspace_alone() {
    let mut world = World::new(&["engine"]);
    world.items(200, "other", "other");
    world.items(200, "later", "light");
    for _ in 0..200 {
        let due_unix_ms = Some(world.now_ms + 60_000);
        world.ask(Class::Batch, |it| {
            it.job = "coach".into();
            it.due_unix_ms = due_unix_ms;
        });
    }
    world.pass(QUIET_MS);
    let slot_ms = run(&mut world, 5_000, |_| (200, AttemptEnd::Completed));
    assert_eq!(slot_ms.get("later").copied().unwrap_or(0), 0, "{slot_ms:?}");
    assert_share(&slot_ms, "coach", 0.5);
}
