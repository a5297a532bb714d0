//! Membership under joins, shutdowns, crashes, network partitions, and lost, delayed or duplicated heartbeats.

mod fleet;
mod property;

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};
use samphiredoor_core::{
    membership::{
        Heartbeat, Member, MemberState, Membership, MembershipAction, MembershipConfig,
        MembershipInput, Roster,
    },
    time::Now,
};

use fleet::{Delivery, Fleet, LEASE_MS, name};

const MAX_CONVERGE_MS: u64 = 120_000;

#[derive(Debug, Clone)]
enum Step {
    Join,
    Restart(usize),
    Crash(usize),
    Stop(usize),
    Partition(usize),
    Heal,
    Advance(u64),
    Deliveries(Vec<Delivery>),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let delivery = prop_oneof![
        3 => Just(Delivery::Normal),
        1 => Just(Delivery::Lost),
        1 => Just(Delivery::Duplicated),
        1 => Just(Delivery::Delayed),
    ];
    let step = prop_oneof![
        3 => Just(Step::Join),
        2 => (0..12_usize).prop_map(Step::Restart),
        2 => (0..12_usize).prop_map(Step::Crash),
        1 => (0..12_usize).prop_map(Step::Stop),
        1 => (1..6_usize).prop_map(Step::Partition),
        1 => Just(Step::Heal),
        3 => (1..40_u64).prop_map(|it| Step::Advance(it * 100)),
        2 => vec(delivery, 0..60).prop_map(Step::Deliveries),
    ];
    vec(step, 1..25)
}

fn runner() -> TestRunner {
    property::runner(128, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn apply(fleet: &mut Fleet, step: Step) {
    let len = fleet.nodes.len();
    match step {
        Step::Join if len < 12 => fleet.start(len),
        Step::Restart(it) if it < len => fleet.start(it),
        Step::Crash(it) if it < len && fleet.up().count() > 1 => fleet.crash(it),
        Step::Stop(it) if it < len && fleet.nodes[it].up => fleet.stop(it),
        Step::Partition(it) => fleet.partition = Some(it),
        Step::Heal => fleet.partition = None,
        Step::Advance(ms) => fleet.run(ms),
        Step::Deliveries(deliveries) => fleet.set_deliveries(deliveries),
        _ => {}
    }
}

/// Guards against rosters that keep a dead process or lack a live one, so that a share of the work is left undone.
/// After joins, crashes, partitions and lost heartbeats, reports can differ permanently if gossip ends before all
/// members have it, or if a false report of death is not refuted.
#[test]
fn rosters_converge_once_faults_end() {
    let converges = |steps: Vec<Step>| {
        let mut fleet = Fleet::new(3);
        fleet.start(0);
        for step in steps {
            apply(&mut fleet, step);
        }
        fleet.partition = None;
        fleet.set_deliveries([]);
        let converged_ms = fleet.run_until(MAX_CONVERGE_MS, Fleet::converged);
        prop_assert!(converged_ms.is_some(), "rosters still differ after {MAX_CONVERGE_MS} ms");
        Ok(())
    };
    runner().run(&steps(), converges).expect("all cases hold");
}

/// Guards against the jobs of a lost process not being taken over. The process crashes, or freezes with its connections
/// open, and none of the remaining processes notices that it does not answer and reads its lease until it has expired.
#[test]
fn another_process_detects_the_expired_lease_of_each_lost_process() {
    let expiry_is_detected = |(processes, crashed, frozen): (usize, Vec<usize>, bool)| {
        let mut fleet = Fleet::new(3);
        for number in 0..processes {
            fleet.start(number);
        }
        fleet.run(5_000);
        let lost: Vec<usize> = crashed.into_iter().map(|it| it % processes).collect();
        for number in &lost {
            if fleet.up().count() > 1 {
                match frozen {
                    true => fleet.freeze(*number),
                    false => fleet.crash(*number),
                }
            }
        }
        fleet.run(2 * LEASE_MS);
        for number in lost {
            let detected =
                fleet.up().any(|it| it.expired_leases.iter().any(|(it, _)| *it == name(number)));
            prop_assert!(
                detected || fleet.nodes[number].up,
                "the loss of process {number} was not detected"
            );
        }
        Ok(())
    };
    runner()
        .run(&(2..12_usize, vec(0..12_usize, 1..6), any::<bool>()), expiry_is_detected)
        .expect("all cases hold");
}

/// Guards against two live processes working on one job. A partition splits the fleet and each side reports the other
/// dead. A lease must not be declared expired for missing heartbeats alone while its object shows renewals.
#[test]
fn a_renewed_lease_is_never_declared_expired() {
    let stays_valid = |(processes, partition): (usize, usize)| {
        let mut fleet = Fleet::new(3);
        for number in 0..processes {
            fleet.start(number);
        }
        fleet.run(3_000);
        fleet.partition = Some(partition);
        fleet.run(4 * LEASE_MS);
        prop_assert!(fleet.up().all(|it| it.expired_leases.is_empty()));
        Ok(())
    };
    runner().run(&(2..9_usize, 1..8_usize), stays_valid).expect("all cases hold");
}

/// Guards against live processes that keep reporting each other dead, so that rosters flap. It happens when a side of a
/// link sends heartbeats less often than the other side expects.
#[test]
fn a_fleet_without_faults_reports_nobody_dead() {
    let no_false_report = |processes: usize| {
        let mut fleet = Fleet::new(3);
        for number in 0..processes {
            fleet.start(number);
        }
        fleet.run(60_000);
        let reported_dead = |it: &Member| it.counter > 0 || it.state != MemberState::Live;
        let all = fleet.up().flat_map(|it| it.membership.roster().iter());
        prop_assert!(!all.into_iter().any(reported_dead));
        Ok(())
    };
    runner().run(&(2..16_usize), no_false_report).expect("all cases hold");
}

/// Guards against a member that stays in a roster long after its death, because the heartbeats with the report were
/// lost and the processes do not detect that their rosters differ.
#[test]
fn members_are_pulled_from_a_peer_whose_digest_keeps_differing() {
    let own = Member { name: name(0), ..member(1, 0, MemberState::Live) };
    let config = MembershipConfig { own, heartbeat_ms: 500, lease_ms: LEASE_MS, seeds: Vec::new() };
    let mut membership = Membership::new(config);
    let mut out = Vec::new();
    let peer = member(1, 0, MemberState::Live);
    let up = MembershipInput::LinkUp { peer, opened: true };
    membership.handle(Now::new(0, 0), up, &mut out);
    out.clear();
    let heartbeat =
        Heartbeat { members_digest: membership.roster().digest() ^ 1, ..Heartbeat::default() };
    for heartbeats in 1..=3 {
        let input = MembershipInput::Heartbeat { from: name(1), heartbeat: heartbeat.clone() };
        membership.handle(Now::new(heartbeats * 500, 0), input, &mut out);
    }
    assert_eq!(out, [MembershipAction::PullMembers { from: name(1) }]);
}

fn member(incarnation: u64, counter: u64, state: MemberState) -> Member {
    Member {
        name: name(1),
        address: format!("10.0.0.1:{incarnation}").into(),
        incarnation,
        counter,
        state,
        region: "brisbane".into(),
        availability_zone: "zone-0".into(),
    }
}

/// Guards against a restarted process that gets no work, because delayed or duplicated reports on its earlier
/// incarnation arrive last and replace those on the new one.
#[test]
fn a_report_on_an_earlier_incarnation_never_replaces_a_later_one() {
    let state =
        prop_oneof![Just(MemberState::Live), Just(MemberState::Stopping), Just(MemberState::Dead)];
    let reports = vec((1..4_u64, 0..3_u64, state), 1..20);
    let highest_holds = |reports: Vec<(u64, u64, MemberState)>| {
        let own = Member { name: name(0), ..member(1, 0, MemberState::Live) };
        let mut roster = Roster::new(own);
        let mut highest = None;
        for (incarnation, counter, state) in reports {
            let report = member(incarnation, counter, state);
            highest = highest.max(Some(report.rank()));
            roster.merge(report);
            prop_assert_eq!(roster.get(&name(1)).map(Member::rank), highest);
        }
        Ok(())
    };
    runner().run(&reports, highest_holds).expect("all cases hold");
}
