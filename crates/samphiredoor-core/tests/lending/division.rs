//! A lender and its borrowers: what is lent in all stays bounded while words are lost and lenders come and go.

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use samphiredoor_core::{
    Name,
    dispatch::slot_allocator::{
        Demand, Lender, LiveGateway, SHARE_TTL_MS, Share, SlotGrant, lender_of,
    },
};

const ROOM: u32 = 12;
const DOORS: usize = 4;

#[derive(Debug, Clone)]
enum Step {
    Wanted { door: usize, wanted: u32 },
    Room { room: u32 },
    Pass { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..DOORS, 0..20_u32).prop_map(|(door, wanted)| Step::Wanted { door, wanted }),
        1 => (0..=ROOM).prop_map(|room| Step::Room { room }),
        3 => (1..2_000_u64).prop_map(|ms| Step::Pass { ms }),
    ]
}

fn name(door: usize) -> Name {
    format!("door-{door}").into()
}

fn deliver(now_ms: u64, lender: &str, changes: &[SlotGrant], shares: &mut [Share]) {
    for change in changes {
        let door = (0..DOORS).find(|it| name(*it) == change.gateway).expect("a known door");
        shares[door].change(now_ms, &lender.into(), change.slots, change.epoch);
    }
}

fn in_force(now_ms: u64, shares: &[Share]) -> u32 {
    shares.iter().map(|it| it.slots(now_ms)).sum()
}

#[test]
fn shares_that_arrive_are_never_more_than_the_room() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config { cases: 500, failure_persistence: None, ..Config::default() };
    let steps = proptest::collection::vec(step(), 1..60);
    let ran = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut now_ms = 1_000;
        let mut lender = Lender::new(now_ms, 0);
        let mut shares = vec![Share::default(); DOORS];
        let mut room = ROOM;
        for step in &steps {
            match *step {
                Step::Wanted { door, wanted } => {
                    let demand = Demand { online: 0, batch: 0, wanted };
                    lender.told(now_ms, &name(door), demand);
                }
                Step::Room { room: now } => room = now,
                Step::Pass { ms } => now_ms += ms,
            }
            let mut changes = Vec::new();
            lender.divide(now_ms, room, 3, &mut changes);
            deliver(now_ms, "lender", &changes, &mut shares);
            let in_force = in_force(now_ms, &shares);
            prop_assert!(in_force <= room, "{in_force} of {room}");
            prop_assert!(in_force <= lender.lent(), "a borrower uses what was not lent");
        }
        Ok(())
    });
    if let Err(err) = ran {
        panic!("{err}");
    }
}

/// Nobody renews the shares of a lender that was killed. They are over after their time, and the next lender gives
/// nothing before that; so the room is never lent twice.
#[test]
fn the_shares_of_a_lost_lender_are_over_before_the_next_one_lends() {
    let mut shares = vec![Share::default(); DOORS];
    let wants = Demand { online: 0, batch: 0, wanted: 9 };
    let mut first = Lender::new(0, 0);
    let mut second = Lender::new(100 + SHARE_TTL_MS, 0);
    for now_ms in (0..10_000).step_by(50) {
        let mut changes = Vec::new();
        let (lender, lender_name) =
            if now_ms < 100 { (&mut first, "first") } else { (&mut second, "second") };
        // Two doors have not yet heard of the change and still use what the first gave them.
        let heard = if (100..=SHARE_TTL_MS + 200).contains(&now_ms) { 2 } else { 0 };
        for door in heard..DOORS {
            lender.told(now_ms, &name(door), wants);
        }
        let room = if lender.lends(now_ms) { ROOM } else { 0 };
        lender.divide(now_ms, room, 0, &mut changes);
        deliver(now_ms, lender_name, &changes, &mut shares);
        assert!(in_force(now_ms, &shares) <= ROOM, "at {now_ms}");
    }
    assert_eq!(in_force(9_950, &shares), ROOM);
}

/// Two doors take themselves for the lender while membership is in doubt. A borrower holds the share of one of them at
/// a time, so that together they lend at most twice the room.
#[test]
fn two_lenders_lend_at_most_twice_the_room() {
    let mut shares = vec![Share::default(); DOORS];
    let mut lenders = [Lender::new(0, 0), Lender::new(0, 0)];
    let wants = Demand { online: 0, batch: 0, wanted: 9 };
    for now_ms in (0..10_000).step_by(50) {
        for (index, lender) in lenders.iter_mut().enumerate() {
            let mut changes = Vec::new();
            for door in 0..DOORS {
                lender.told(now_ms, &name(door), wants);
            }
            lender.divide(now_ms, ROOM, 0, &mut changes);
            // Each door hears the lender that it takes for the right one.
            changes.retain(|it| (it.gateway == name(0) || it.gateway == name(1)) == (index == 0));
            deliver(now_ms, ["first", "second"][index], &changes, &mut shares);
        }
        assert!(in_force(now_ms, &shares) <= 2 * ROOM);
    }
}

#[test]
fn only_the_targets_of_a_door_that_goes_change_their_lender() {
    let door = |it: usize| LiveGateway { name: name(it), region: "brisbane".into() };
    let all: Vec<LiveGateway> = (0..9).map(door).collect();
    let without: Vec<LiveGateway> = (0..8).map(door).collect();
    let mut of_each = [0; 9];
    for target in 0..900 {
        let target = format!("engine-{target}");
        let before = lender_of(&target, "brisbane", &all).expect("a lender");
        let after = lender_of(&target, "brisbane", &without).expect("a lender");
        assert!(before == after || *before == name(8));
        let index = (0..9).find(|it| name(*it) == *before).expect("a known door");
        of_each[index] += 1;
    }
    assert!(of_each.iter().all(|it| (60..=140).contains(it)), "{of_each:?}");
}

#[test]
fn a_target_is_lent_by_a_door_of_its_region_if_one_lives() {
    let door = |name: &str, region: &str| LiveGateway { name: name.into(), region: region.into() };
    let doors = [door("a", "brisbane"), door("b", "brisbane"), door("c", "cairns")];
    for target in 0..50 {
        let target = format!("engine-{target}");
        assert_eq!(lender_of(&target, "cairns", &doors).map(|it| &**it), Some("c"));
        assert_ne!(lender_of(&target, "brisbane", &doors).map(|it| &**it), Some("c"));
        assert!(lender_of(&target, "cairns", &doors[..2]).is_some());
    }
}
