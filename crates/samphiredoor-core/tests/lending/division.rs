//! Slot allocators and leaseholders: the total of the leased slots stays bounded while messages are lost and allocators
//! change.

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use samphiredoor_core::{
    Name,
    dispatch::slot_allocator::{
        Demand, LEASE_TTL_MS, LiveGateway, SlotAllocator, SlotGrant, SlotLease, allocator_of,
    },
};

const SLOTS: u32 = 12;
const GATEWAYS: usize = 4;

#[derive(Debug, Clone)]
enum Step {
    Wanted { gateway: usize, wanted: u32 },
    Slots { slots: u32 },
    Pass { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..GATEWAYS, 0..20_u32).prop_map(|(gateway, wanted)| Step::Wanted { gateway, wanted }),
        1 => (0..=SLOTS).prop_map(|slots| Step::Slots { slots }),
        3 => (1..2_000_u64).prop_map(|ms| Step::Pass { ms }),
    ]
}

fn name(gateway: usize) -> Name {
    format!("gateway-{gateway}").into()
}

fn deliver(now_ms: u64, allocator: &str, grants: &[SlotGrant], leases: &mut [SlotLease]) {
    for grant in grants {
        let gateway = (0..GATEWAYS).find(|it| name(*it) == grant.gateway).expect("a known gateway");
        leases[gateway].update(now_ms, &allocator.into(), grant.slots, grant.epoch);
    }
}

fn leased_slots(now_ms: u64, leases: &[SlotLease]) -> u32 {
    leases.iter().map(|it| it.slots(now_ms)).sum()
}

#[test]
fn granted_leases_never_exceed_the_slots() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config { cases: 500, failure_persistence: None, ..Config::default() };
    let steps = proptest::collection::vec(step(), 1..60);
    let ran = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut now_ms = 1_000;
        let mut allocator = SlotAllocator::new(now_ms, 0);
        let mut leases = vec![SlotLease::default(); GATEWAYS];
        let mut slots = SLOTS;
        for step in &steps {
            match *step {
                Step::Wanted { gateway, wanted } => {
                    let demand = Demand { online: 0, batch: 0, wanted };
                    allocator.record_demand(now_ms, &name(gateway), demand);
                }
                Step::Slots { slots: now } => slots = now,
                Step::Pass { ms } => now_ms += ms,
            }
            let mut grants = Vec::new();
            allocator.allocate(now_ms, slots, 3, &mut grants);
            deliver(now_ms, "allocator", &grants, &mut leases);
            let leased = leased_slots(now_ms, &leases);
            prop_assert!(leased <= slots, "{leased} of {slots}");
            prop_assert!(
                leased <= allocator.granted(),
                "a gateway uses slots that were not granted"
            );
        }
        Ok(())
    });
    if let Err(err) = ran {
        panic!("{err}");
    }
}

/// The leases of a killed allocator are not renewed. If the next allocator granted slots before they expire, the same
/// slots would be in use twice.
#[test]
fn leases_of_a_lost_allocator_expire_before_the_next_one_grants() {
    let mut leases = vec![SlotLease::default(); GATEWAYS];
    let wants = Demand { online: 0, batch: 0, wanted: 9 };
    let mut first = SlotAllocator::new(0, 0);
    let mut second = SlotAllocator::new(100 + LEASE_TTL_MS, 0);
    for now_ms in (0..10_000).step_by(50) {
        let mut grants = Vec::new();
        let (allocator, allocator_name) =
            if now_ms < 100 { (&mut first, "first") } else { (&mut second, "second") };
        // Gateways 0 and 1 have not noticed the change yet and still use the slots that the first allocator granted.
        let first_reached = if (100..=LEASE_TTL_MS + 200).contains(&now_ms) { 2 } else { 0 };
        for gateway in first_reached..GATEWAYS {
            allocator.record_demand(now_ms, &name(gateway), wants);
        }
        let slots = if allocator.may_grant(now_ms) { SLOTS } else { 0 };
        allocator.allocate(now_ms, slots, 0, &mut grants);
        deliver(now_ms, allocator_name, &grants, &mut leases);
        assert!(leased_slots(now_ms, &leases) <= SLOTS, "at {now_ms}");
    }
    assert_eq!(leased_slots(9_950, &leases), SLOTS);
}

/// Two gateways consider themselves the allocator while the membership views differ. Each leaseholder holds the lease of
/// one of them at a time, so together they grant at most twice the slots.
#[test]
fn two_allocators_grant_at_most_twice_the_slots() {
    let mut leases = vec![SlotLease::default(); GATEWAYS];
    let mut allocators = [SlotAllocator::new(0, 0), SlotAllocator::new(0, 0)];
    let wants = Demand { online: 0, batch: 0, wanted: 9 };
    for now_ms in (0..10_000).step_by(50) {
        for (index, allocator) in allocators.iter_mut().enumerate() {
            let mut grants = Vec::new();
            for gateway in 0..GATEWAYS {
                allocator.record_demand(now_ms, &name(gateway), wants);
            }
            allocator.allocate(now_ms, SLOTS, 0, &mut grants);
            // Each gateway accepts only the grants of the allocator that it considers the right one.
            grants.retain(|it| (it.gateway == name(0) || it.gateway == name(1)) == (index == 0));
            deliver(now_ms, ["first", "second"][index], &grants, &mut leases);
        }
        assert!(leased_slots(now_ms, &leases) <= 2 * SLOTS);
    }
}

#[test]
fn only_targets_of_a_removed_gateway_change_their_allocator() {
    let gateway = |it: usize| LiveGateway { name: name(it), region: "brisbane".into() };
    let all: Vec<LiveGateway> = (0..9).map(gateway).collect();
    let without: Vec<LiveGateway> = (0..8).map(gateway).collect();
    let mut of_each = [0; 9];
    for target in 0..900 {
        let target = format!("engine-{target}");
        let before = allocator_of(&target, "brisbane", &all).expect("an allocator");
        let after = allocator_of(&target, "brisbane", &without).expect("an allocator");
        assert!(before == after || *before == name(8));
        let index = (0..9).find(|it| name(*it) == *before).expect("a known gateway");
        of_each[index] += 1;
    }
    assert!(of_each.iter().all(|it| (60..=140).contains(it)), "{of_each:?}");
}

#[test]
fn the_allocator_is_in_the_region_of_the_target_if_a_gateway_is_live_there() {
    let gateway =
        |name: &str, region: &str| LiveGateway { name: name.into(), region: region.into() };
    let gateways = [gateway("a", "brisbane"), gateway("b", "brisbane"), gateway("c", "cairns")];
    for target in 0..50 {
        let target = format!("engine-{target}");
        assert_eq!(allocator_of(&target, "cairns", &gateways).map(|it| &**it), Some("c"));
        assert_ne!(allocator_of(&target, "brisbane", &gateways).map(|it| &**it), Some("c"));
        assert!(allocator_of(&target, "cairns", &gateways[..2]).is_some());
    }
}
