//! Membership under joins, stops, crashes, cuts, and heartbeats that are lost, late or doubled.

mod fleet;

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use samphiredoor_core::{
    membership::{
        Heartbeat, Member, MemberState, Membership, MembershipAction, MembershipConfig,
        MembershipInput, Roster,
    },
    time::Now,
};

use fleet::{Fate, Fleet, LEASE_MS, name};

const MOST_MS: u64 = 120_000;

#[derive(Debug, Clone)]
enum Step {
    Join,
    Restart(usize),
    Crash(usize),
    Stop(usize),
    Cut(usize),
    Mend,
    Pass(u64),
    Fates(Vec<Fate>),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let fate = prop_oneof![
        3 => Just(Fate::Arrives),
        1 => Just(Fate::IsLost),
        1 => Just(Fate::IsDoubled),
        1 => Just(Fate::IsLate),
    ];
    let step = prop_oneof![
        3 => Just(Step::Join),
        2 => (0..12_usize).prop_map(Step::Restart),
        2 => (0..12_usize).prop_map(Step::Crash),
        1 => (0..12_usize).prop_map(Step::Stop),
        1 => (1..6_usize).prop_map(Step::Cut),
        1 => Just(Step::Mend),
        3 => (1..40_u64).prop_map(|it| Step::Pass(it * 100)),
        2 => vec(fate, 0..60).prop_map(Step::Fates),
    ];
    vec(step, 1..25)
}

/// Runner with a fixed seed; `SAMPHIREDOOR_CASES` lengthens the run.
fn runner() -> TestRunner {
    let cases = std::env::var("SAMPHIREDOOR_CASES").ok().and_then(|it| it.parse().ok());
    let config =
        Config { cases: cases.unwrap_or(128), failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn apply(fleet: &mut Fleet, step: Step) {
    let len = fleet.nodes.len();
    match step {
        Step::Join if len < 12 => fleet.start(len),
        Step::Restart(it) if it < len => fleet.start(it),
        Step::Crash(it) if it < len && fleet.up().count() > 1 => fleet.crash(it),
        Step::Stop(it) if it < len && fleet.nodes[it].up => fleet.stop(it),
        Step::Cut(it) => fleet.cut = Some(it),
        Step::Mend => fleet.cut = None,
        Step::Pass(ms) => fleet.run(ms),
        Step::Fates(fates) => fleet.with_fates(fates),
        _ => {}
    }
}

/// A door that is down stays in lists, or one that works is missing from them, so that its share of work goes nowhere.
/// It happens when joins, crashes, cuts and lost heartbeats come in a sequence that leaves doors with reports that
/// differ. The cause would be gossip that ended before all had it, or a report of death that nobody contradicts.
#[test]
fn doors_agree_on_who_is_live_once_faults_end() {
    let converge = |steps: Vec<Step>| {
        let mut fleet = Fleet::new(3);
        fleet.start(0);
        for step in steps {
            apply(&mut fleet, step);
        }
        fleet.cut = None;
        fleet.with_fates([]);
        let took = fleet.run_until(MOST_MS, Fleet::converged);
        prop_assert!(took.is_some(), "doors still differ after {MOST_MS} ms");
        Ok(())
    };
    runner().run(&steps(), converge).expect("all cases hold");
}

/// The jobs of a lost door are never taken up. The door dies, or freezes with its connections open, and the cause would
/// be a silence that none of those who are left notices and watches until the lease is over.
#[test]
fn the_lapse_of_each_lost_door_is_noticed_by_another() {
    let noticed = |(doors, crashed, frozen): (usize, Vec<usize>, bool)| {
        let mut fleet = Fleet::new(3);
        for number in 0..doors {
            fleet.start(number);
        }
        fleet.run(5_000);
        let lost: Vec<usize> = crashed.into_iter().map(|it| it % doors).collect();
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
            let known = fleet.up().any(|it| it.lapsed.iter().any(|(it, _)| *it == name(number)));
            prop_assert!(known || fleet.nodes[number].up, "nobody noticed door {number}");
        }
        Ok(())
    };
    runner()
        .run(&(2..12_usize, vec(0..12_usize, 1..6), any::<bool>()), noticed)
        .expect("all cases hold");
}

/// Two doors work on one job although both are well. A cut parts the fleet, each side holds the other for dead, and the
/// cause would be a lapse that is called on silence alone, while the lease object shows renewals.
#[test]
fn a_door_that_renews_its_lease_never_lapses() {
    let kept = |(doors, cut): (usize, usize)| {
        let mut fleet = Fleet::new(3);
        for number in 0..doors {
            fleet.start(number);
        }
        fleet.run(3_000);
        fleet.cut = Some(cut);
        fleet.run(4 * LEASE_MS);
        prop_assert!(fleet.up().all(|it| it.lapsed.is_empty()));
        Ok(())
    };
    runner().run(&(2..9_usize, 1..8_usize), kept).expect("all cases hold");
}

/// Doors report each other dead all day, and lists of doors flicker. Nothing is wrong with any of them; the cause would
/// be links on which neither side beats as often as the other expects.
#[test]
fn a_fleet_without_faults_reports_nobody_dead() {
    let quiet = |doors: usize| {
        let mut fleet = Fleet::new(3);
        for number in 0..doors {
            fleet.start(number);
        }
        fleet.run(60_000);
        let contradicted = |it: &Member| it.counter > 0 || it.state != MemberState::Live;
        let all = fleet.up().flat_map(|it| it.membership.roster().iter());
        prop_assert!(!all.into_iter().any(contradicted));
        Ok(())
    };
    runner().run(&(2..16_usize), quiet).expect("all cases hold");
}

/// A door keeps a member in its lists that is long gone, because the heartbeats that told of it were lost. The cause
/// would be that nobody notices when two doors know different members.
#[test]
fn a_peer_that_goes_on_to_know_other_members_is_asked_for_all() {
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
    for beats in 1..=3 {
        let input = MembershipInput::Heartbeat { from: name(1), heartbeat: heartbeat.clone() };
        membership.handle(Now::new(beats * 500, 0), input, &mut out);
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

/// A restarted door gets no work: reports of its earlier start, late or doubled, arrive after those of the new one and
/// replace them. The cause would be reports taken in the order of their arrival.
#[test]
fn a_report_of_an_earlier_start_never_replaces_a_later_one() {
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
            roster.learn(report);
            prop_assert_eq!(roster.get(&name(1)).map(Member::rank), highest);
        }
        Ok(())
    };
    runner().run(&reports, highest_holds).expect("all cases hold");
}
