//! Behaviour of batch capacity in specific scenarios.

use std::{collections::BTreeMap, sync::Arc};

use samphiredoor_core::{
    Name,
    dispatch::{Action, AttemptEnd, Class, Input, RequestId, slot_allocator::LEASE_TTL_MS},
};

use crate::world::{IDLE_MS, LOAN_LIMIT, World, dispatched, live, preempted};

fn filled() -> World {
    let mut world = World::new(&["engine"]);
    world.submit_items(20, "list", "light");
    world.advance(IDLE_MS + 1_000);
    assert_eq!(world.running_items("engine").len(), LOAN_LIMIT as usize);
    world
}

/// Guards against batch items that keep a target busy until they end by themselves although its owner has reclaimed the
/// capacity in the manifest.
#[test]
fn a_reclaim_preempts_all_items_at_once() {
    let mut world = filled();
    let actions = world.reclaim("engine", true);
    assert_eq!(preempted(&actions).len(), LOAN_LIMIT as usize);
    assert_eq!(world.running_items("engine"), []);
    for request in preempted(&actions) {
        world.end(request, AttemptEnd::Preempted);
    }
    assert_eq!(dispatched(&world.advance(5_000)), []);
    world.reclaim("engine", false);
    world.advance(1_000);
    assert!(!world.running_items("engine").is_empty(), "items run again after the reclaim ends");
}

/// Guards against slow token streams: after an idle time the engine is full of batch items, and the first online request
/// would be slowed down if they ran on until they end.
#[test]
fn the_first_online_request_after_an_idle_time_preempts_items_at_once() {
    let mut world = filled();
    let (online, actions) = world.online();
    assert_eq!(dispatched(&actions), [online]);
    assert_eq!(
        preempted(&actions).len(),
        LOAN_LIMIT as usize,
        "the online concurrency has not been measured yet"
    );
    assert_eq!(dispatched(&world.advance(100)), []);
}

#[test]
fn the_newest_items_are_preempted_first() {
    let mut world = World::new(&["engine"]);
    world.submit_items(20, "list", "light");
    world.advance(IDLE_MS + 1_000);
    // Four online requests at once are measured, so that some items may stay beside a single one.
    let online: Vec<RequestId> = (0..4).map(|_| world.online().0).collect();
    world.advance(200);
    for request in online {
        world.end(request, AttemptEnd::Completed);
    }
    for request in world.tracked.keys().copied().collect::<Vec<_>>() {
        if world.tracked[&request].preempted {
            world.end(request, AttemptEnd::Preempted);
        }
    }
    world.advance(IDLE_MS + 1_000);
    let items = world.running_items("engine");
    assert_eq!(items.len(), LOAN_LIMIT as usize);
    let (_, actions) = world.online();
    let preempted = preempted(&actions);
    let left = world.running_items("engine");
    assert!(!preempted.is_empty() && !left.is_empty(), "{preempted:?} {left:?}");
    assert!(left.iter().max() < preempted.iter().min());
}

/// Guards against a job of long answers that never ends because each preempted item is queued behind all others.
#[test]
fn a_preempted_item_is_resumed_before_others_start() {
    let mut world = filled();
    let (online, actions) = world.online();
    let lost = preempted(&actions);
    for request in &lost {
        world.end(*request, AttemptEnd::Preempted);
    }
    world.end(online, AttemptEnd::Completed);
    let again = dispatched(&world.advance(IDLE_MS + 1_000));
    let mut expected = lost;
    expected.sort();
    assert_eq!(again, expected);
}

/// Guards against a job that never ends: its service is removed from the manifest while an item is being preempted, and
/// the item would wait in a queue that no longer exists.
#[test]
fn a_preempted_item_is_refused_if_its_service_has_been_removed() {
    let mut world = filled();
    let lost = preempted(&world.online().1);
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

/// Guards against two gateways that each use the whole loan limit of a target: the allocator is lost or isolated, and
/// leases on its slots would be kept forever.
#[test]
fn a_lease_that_is_not_renewed_expires() {
    let mut world = World::new(&["engine"]);
    let others: Vec<String> = (1..9).map(|it| format!("gateway-{it}")).collect();
    let names: Vec<&str> = others.iter().map(String::as_str).collect();
    world.handle(Input::LiveGateways { own_name: "gateway-0".into(), live: live(&names) });
    world.submit_items(20, "list", "light");
    assert_eq!(dispatched(&world.advance(5_000)), [], "nothing without a lease");
    let mut granted = false;
    for allocator in &names {
        let share = Input::SlotGrant {
            target: "engine".into(),
            allocator: (*allocator).into(),
            slots: 2,
            epoch: 1,
        };
        granted |= !dispatched(&world.handle(share)).is_empty();
        world.advance(100);
    }
    assert_eq!(
        world.running_items("engine").len(),
        2,
        "one of them is the allocator; items dispatched with its grant: {granted}"
    );
    world.advance(LEASE_TTL_MS + 1_000);
    assert_eq!(world.running_items("engine"), []);
}

#[test]
fn a_smaller_grant_preempts_items_at_once_and_an_older_grant_is_ignored() {
    let mut world = World::new(&["engine"]);
    world.handle(Input::LiveGateways { own_name: "gateway-0".into(), live: live(&["gateway-1"]) });
    world.submit_items(20, "list", "light");
    let share = |slots, epoch| Input::SlotGrant {
        target: "engine".into(),
        allocator: "gateway-1".into(),
        slots,
        epoch,
    };
    world.handle(share(4, 5));
    world.advance(500);
    assert_eq!(world.running_items("engine").len(), 4);
    assert_eq!(preempted(&world.handle(share(1, 6))).len(), 3);
    assert_eq!(world.running_items("engine").len(), 1);
    world.handle(share(4, 5));
    world.advance(500);
    assert_eq!(world.running_items("engine").len(), 1);
}

/// An online request arrives at a gateway that is not the target's slot allocator. If that gateway waited for the
/// allocator's next grant before preempting items, the target would be slower until then.
#[test]
fn a_leaseholder_preempts_items_for_its_own_online_request_at_once() {
    let mut world = World::new(&["engine"]);
    world.handle(Input::LiveGateways { own_name: "gateway-0".into(), live: live(&["gateway-1"]) });
    world.submit_items(20, "list", "light");
    let (slots, epoch) = (3, 1);
    let share =
        Input::SlotGrant { target: "engine".into(), allocator: "gateway-1".into(), slots, epoch };
    world.handle(share);
    world.advance(500);
    assert_eq!(world.running_items("engine").len(), 3);
    assert_eq!(preempted(&world.online().1).len(), 1);
    assert_eq!(preempted(&world.online().1).len(), 1);
    assert_eq!(world.running_items("engine").len(), 1);
}

/// Runs items to their end until `total_ms` have passed. `takes` returns how long a job's items take and how they end.
/// Returns the slot time of each job.
fn run(
    world: &mut World,
    total_ms: u64,
    takes: impl Fn(&str) -> (u64, AttemptEnd),
) -> BTreeMap<Name, u64> {
    let mut slot_ms: BTreeMap<Name, u64> = BTreeMap::new();
    let mut started: BTreeMap<RequestId, u64> = BTreeMap::new();
    let until_ms = world.now_ms + total_ms;
    while world.now_ms < until_ms {
        world.advance(10);
        for request in world.running_items("engine") {
            let started_ms = *started.entry(request).or_insert(world.now_ms);
            let job = Name::clone(&world.tracked[&request].job);
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
    world.submit_items(400, "many", "heavy");
    world.submit_items(400, "few", "light");
    world.advance(IDLE_MS);
    let slot_ms = run(&mut world, 20_000, |_| (200, AttemptEnd::Completed));
    assert_share(&slot_ms, "many", 0.75);
}

#[test]
fn jobs_of_long_and_of_short_items_share_slot_time() {
    let mut world = World::new(&["engine"]);
    world.submit_items(400, "long", "light");
    world.submit_items(400, "short", "light");
    world.advance(IDLE_MS);
    let slot_ms = run(&mut world, 20_000, |job| match job {
        "long" => (1_000, AttemptEnd::Completed),
        _ => (100, AttemptEnd::Completed),
    });
    assert_share(&slot_ms, "long", 0.5);
}

/// Guards against a job that is starved by another one whose items fail at once and are retried again and again, as
/// would happen if fairness counted items instead of slot time.
#[test]
fn a_job_whose_items_fail_does_not_take_the_slots_of_another() {
    let mut world = World::new(&["engine"]);
    world.submit_items(500, "broken", "light");
    world.submit_items(400, "sheets", "light");
    world.advance(IDLE_MS);
    let slot_ms = run(&mut world, 10_000, |job| match job {
        "broken" => (20, AttemptEnd::Failed),
        _ => (200, AttemptEnd::Completed),
    });
    let sheets = slot_ms.get("sheets").copied().unwrap_or(0);
    let broken = slot_ms.get("broken").copied().unwrap_or(0);
    assert!(sheets * 10 >= broken * 9, "{slot_ms:?}");
}

#[test]
fn a_job_that_is_due_soon_goes_first_only_within_its_workspace() {
    let mut world = World::new(&["engine"]);
    world.submit_items(200, "other", "other");
    world.submit_items(200, "later", "light");
    for _ in 0..200 {
        let due_unix_ms = Some(world.now_ms + 60_000);
        world.submit(Class::Batch, |it| {
            it.job = "coach".into();
            it.due_unix_ms = due_unix_ms;
        });
    }
    world.advance(IDLE_MS);
    let slot_ms = run(&mut world, 5_000, |_| (200, AttemptEnd::Completed));
    assert_eq!(slot_ms.get("later").copied().unwrap_or(0), 0, "{slot_ms:?}");
    assert_share(&slot_ms, "coach", 0.5);
}
