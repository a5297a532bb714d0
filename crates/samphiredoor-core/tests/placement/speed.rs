//! Choice of targets by their speeds.

use std::collections::{HashMap, HashSet};

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng},
};
use samphiredoor_core::{
    dispatch::{Class, RequestId},
    overload::{
        Activation, MAX_ENTRIES, OverloadNews, OverloadPolicy, SpeedReport,
        target_speed::{MAX_PERCENT, TargetSpeeds},
    },
    placement::{
        AttemptEnd, CallerTerms, Input, Placement, ReportedLoad, RequestSpec, TargetEntry,
        name_hash,
    },
};

use smallvec::SmallVec;

use crate::{
    fleet::MIN_IN_OBJECTIVE,
    harness::{Fixture, SLOTS, entry, location, sent_to},
    property,
    uneven_fleet::{Outcome, Setup, UnevenFleet},
};

const PROPERTY_SEED: [u8; 32] = *b"samphiredoor-speed-of-targets-xx";

const SEED: u64 = 29;
/// A third of the targets is slow, a third fast, and 15 in 100 are disturbed at any time.
const UNEVEN: Setup = Setup {
    online_part: 0.4,
    item_part: 0.25,
    lasting: &[1.6, 0.6, 1.0],
    disturbed_part: 0.15,
    grey_one_in: 0,
    grey_failures: 0.0,
    single_run_part: 0.4,
    reports: true,
    affinity_part: 0.0,
    lasts_ms: 24_000,
};
/// Most requests of a target, as a multiple of its share by speed.
const MAX_OF_SHARE: f64 = 1.3;

fn run(setup: Setup, activation: Option<Activation>) -> (Outcome, f64) {
    let mut fleet = UnevenFleet::new(SEED, setup, activation);
    let outcome = fleet.run();
    let most = most_of_share(&outcome, &fleet.lasting());
    (outcome, most)
}

/// Largest part of the online requests that a target got, as a multiple of its share by speed.
fn most_of_share(outcome: &Outcome, lasting: &[f64]) -> f64 {
    let work = |(online, _): (u32, u32)| f64::from(online);
    let total: f64 = outcome.sent.iter().map(|it| work(*it)).sum();
    let speeds: f64 = lasting.iter().map(|it| 1.0 / it).sum();
    let of_share = outcome.sent.iter().zip(lasting);
    let of_share = of_share.map(|(sent, lasting)| work(*sent) / total * speeds * lasting);
    of_share.fold(0.0, f64::max)
}

/// A gateway in `north` with overload control for these targets, each with its zone.
fn fixture(targets: &[(&str, &str)]) -> Fixture {
    fixture_with_seed(targets, SEED)
}

fn fixture_with_seed(targets: &[(&str, &str)], seed: u64) -> Fixture {
    let mut fixture = Fixture::new(Vec::new());
    let own = location("brisbane", "north");
    fixture.placement = Placement::new("gateway-m".into(), own, seed)
        .with_overload(OverloadPolicy::new(Activation::Always));
    let entries = targets.iter().map(|(name, zone)| entry(name, location("brisbane", zone)));
    fixture.input(Input::Targets(entries.collect::<Vec<TargetEntry>>()));
    fixture
}

fn report(fixture: &mut Fixture, target: &str, percent: u32) {
    let load = ReportedLoad { running: 0, waiting: 0, slots: SLOTS, work_percent: Some(percent) };
    fixture.input(Input::LoadReport { target: target.into(), load });
}

/// Reports the same speed for long enough that it counts as lasting.
fn report_lasting(fixture: &mut Fixture, speeds: &[(&str, u32)]) {
    for _ in 0..40 {
        fixture.now_ms += 500;
        for (target, percent) in speeds {
            report(fixture, target, *percent);
        }
    }
}

fn targets_of(fixture: &mut Fixture, class: Class, requests: usize) -> Vec<String> {
    let sent = (0..requests).map(|_| {
        let (request, actions) = fixture.request(class);
        sent_to(request, &actions).unwrap()
    });
    sent.collect()
}

// All slots seem equal: half of the requests went to a target that takes four times as long, while the other was idle.
#[test]
fn free_slots_of_very_slow_targets_are_used_last() {
    let mut fixture = fixture(&[("slow", "north"), ("usual", "north")]);
    report_lasting(&mut fixture, &[("slow", 400), ("usual", 100)]);
    let sent = targets_of(&mut fixture, Class::Online, SLOTS as usize);
    assert!(sent.iter().all(|it| it == "usual"), "{sent:?}");
}

// A nearer slot was taken although a request is complete much earlier in another zone.
#[test]
fn a_usual_target_in_another_zone_is_preferred_to_a_very_slow_one() {
    let mut fixture = fixture(&[("slow", "north"), ("usual", "south")]);
    report_lasting(&mut fixture, &[("slow", 400), ("usual", 100)]);
    assert_eq!(targets_of(&mut fixture, Class::Online, 1), ["usual"]);
}

// Distances would mean nothing if every small difference in speed outweighed them: loads of other zones are old.
#[test]
fn a_slightly_slow_target_is_preferred_to_one_in_another_zone() {
    let mut fixture = fixture(&[("slow", "north"), ("usual", "south")]);
    report_lasting(&mut fixture, &[("slow", 160), ("usual", 100)]);
    assert_eq!(targets_of(&mut fixture, Class::Online, 1), ["slow"]);
}

// Items kept their slots at a target of usual speed, and online requests went to a very slow one.
#[test]
fn preemption_at_a_usual_target_is_preferred_to_a_very_slow_one() {
    let mut fixture = fixture(&[("slow", "north"), ("usual", "north")]);
    report_lasting(&mut fixture, &[("slow", 400), ("usual", 100)]);
    fixture.peer("gateway-a", &[("usual", 2, SLOTS - 2)]);
    assert_eq!(targets_of(&mut fixture, Class::Online, 1), ["usual"]);
}

// Items held the slots of very slow targets for a long time while others were free.
#[test]
fn items_avoid_very_slow_targets() {
    let mut fixture = fixture(&[("slow", "north"), ("usual", "north")]);
    report_lasting(&mut fixture, &[("slow", 400), ("usual", 100)]);
    let sent = targets_of(&mut fixture, Class::Batch, SLOTS as usize - 1);
    assert!(sent.iter().all(|it| it == "usual"), "{sent:?}");
}

// Gateways with the same figures all sent their next request to the target that was the fastest by a little.
#[test]
fn gateways_do_not_all_choose_the_fastest_of_similar_targets() {
    let speeds = [("t-0", 95), ("t-1", 100), ("t-2", 105), ("t-3", 110)];
    let mut sent: HashMap<String, u32> = HashMap::new();
    for seed in 0..100 {
        let mut fixture = fixture_with_seed(&speeds.map(|(name, _)| (name, "north")), seed);
        report_lasting(&mut fixture, &speeds);
        *sent.entry(targets_of(&mut fixture, Class::Online, 1).remove(0)).or_default() += 1;
    }
    assert!(sent.len() == speeds.len() && sent.values().all(|it| *it <= 50), "{sent:?}");
}

/// Targets of requests with the same prefix.
fn targets_of_prefix(fixture: &mut Fixture, affinity: u64, requests: u64) -> HashSet<String> {
    let sent = (0..requests).map(|number| {
        let spec = RequestSpec {
            request: RequestId(1_000_000 * affinity + number),
            class: Class::Online,
            service: "reader".into(),
            priority: 0,
            affinity,
            tried_targets: SmallVec::new(),
            deadline_ms: u64::MAX,
            prior_run_ms: 0,
            resumes: None,
            terms: CallerTerms::default(),
        };
        let request = spec.request;
        let actions = fixture.input(Input::Request(spec));
        let target = sent_to(request, &actions).unwrap();
        fixture.end(request, AttemptEnd::Answered);
        target
    });
    sent.collect()
}

// Requests with one prefix were spread over all targets, or stayed at a target that had become very slow.
#[test]
fn a_prefix_stays_at_one_target_of_similar_speed() {
    let speeds = [("slow", 400), ("t-1", 90), ("t-2", 100), ("t-3", 120)];
    let mut all = HashSet::new();
    for affinity in 1..20 {
        let mut fixture = fixture(&speeds.map(|(name, _)| (name, "north")));
        report_lasting(&mut fixture, &speeds);
        let targets = targets_of_prefix(&mut fixture, affinity, 8);
        assert_eq!(targets.len(), 1, "{targets:?}");
        all.extend(targets);
    }
    assert!(all.len() == 3 && !all.contains("slow"), "{all:?}");
}

// A target that was disturbed once was avoided for as long as nobody sent it requests, and then it reported nothing.
#[test]
fn a_report_loses_its_weight() {
    let mut fixture = fixture(&[("disturbed", "north"), ("usual", "north")]);
    report(&mut fixture, "disturbed", 400);
    assert_eq!(targets_of(&mut fixture, Class::Online, 1), ["usual"]);
    fixture.now_ms += 30_000;
    fixture.peer("gateway-a", &[("usual", SLOTS - 2, 0)]);
    let sent = targets_of(&mut fixture, Class::Online, 4);
    assert!(sent.iter().any(|it| it == "disturbed"), "{sent:?}");
}

// Peers had received the reports, and this gateway had no request there.
#[test]
fn reports_of_peers_count() {
    let mut fixture = fixture(&[("slow", "north"), ("usual", "north")]);
    let target = name_hash("slow");
    let speeds = vec![SpeedReport { target, percent: 900, age_ms: 20 }];
    let news = OverloadNews { speeds, ..OverloadNews::default() };
    fixture.input(Input::PeerNews { peer: "gateway-a".into(), news });
    let sent = targets_of(&mut fixture, Class::Online, 4);
    assert!(sent.iter().all(|it| it == "usual"), "{sent:?}");
}

// Targets that report nothing were all taken as equal.
#[test]
fn run_times_show_the_speed_of_targets_that_report_nothing() {
    let mut fixture = fixture(&[("slow", "north"), ("usual", "north")]);
    for _ in 0..60 {
        for _ in 0..2 {
            let (request, actions) = fixture.request(Class::Online);
            let run_ms = if sent_to(request, &actions).unwrap() == "slow" { 3_000 } else { 600 };
            fixture.now_ms += run_ms;
            fixture.end(request, AttemptEnd::Answered);
        }
    }
    let speeds = fixture.placement.slowest_targets(fixture.now_ms, 2);
    assert_eq!(&*speeds[0].0, "slow");
    assert!(speeds[0].1 > 2 * speeds[1].1, "{speeds:?}");
}

// A target that answers errors at once seemed to be a very fast one and attracted all requests.
#[test]
fn answers_that_are_much_too_short_are_not_measured() {
    let mut speeds = TargetSpeeds::default();
    speeds.set_targets(&HashSet::from([1, 2]));
    let service = "reader".into();
    for now_ms in 0..100 {
        speeds.record_run(now_ms, (&service, Class::Online), 1, 700);
        speeds.record_run(now_ms, (&service, Class::Online), 2, 5);
    }
    assert_eq!(speeds.current_percent(100, 2), 100);
}

// A target reported that its work takes a hundredth of the usual time, and got all requests.
#[test]
fn measurements_bound_reports() {
    let mut speeds = TargetSpeeds::default();
    speeds.set_targets(&HashSet::from([1, 2]));
    let service = "reader".into();
    for now_ms in 1..100 {
        speeds.record_report(now_ms, 1, 1);
        speeds.record_report(now_ms, 2, 10_000);
        speeds.record_run(now_ms, (&service, Class::Online), 1, 700);
        speeds.record_run(now_ms, (&service, Class::Online), 2, 700);
    }
    assert!((20..=30).contains(&speeds.current_percent(99, 1)));
    assert!((380..=420).contains(&speeds.current_percent(99, 2)));
}

// Zero would mean that a target does work in no time, and very large values overflow predicted times.
#[test]
fn impossible_reports_are_ignored_and_counted() {
    let mut fixture = fixture(&[("broken", "north")]);
    for percent in [0, MAX_PERCENT + 1, 1_000_000_000, u32::MAX] {
        report(&mut fixture, "broken", percent);
    }
    assert_eq!(fixture.placement.slowest_targets(fixture.now_ms, 1), [("broken".into(), 100)]);
    assert_eq!(fixture.placement.invalid_speeds(), 4);
}

#[derive(Debug, Clone)]
enum Step {
    Report(u64, u32),
    News(Vec<(u64, u32, u32)>),
    Run(u64, u64),
    Targets(Vec<u64>),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let target = 0..6_u64;
    let percent = prop_oneof![4 => 50..500_u32, 1 => any::<u32>()];
    let entry = (target.clone(), percent.clone(), 0..5_000_u32);
    prop_oneof![
        4 => (target.clone(), percent).prop_map(|(target, it)| Step::Report(target, it)),
        2 => prop::collection::vec(entry, 0..30).prop_map(Step::News),
        3 => (target.clone(), any::<u64>()).prop_map(|(target, it)| Step::Run(target, it)),
        1 => prop::collection::vec(target, 0..6).prop_map(Step::Targets),
        3 => (0..3_000_u64).prop_map(Step::Wait),
    ]
}

// Arbitrary reports and run times must give usable factors, and bounded news in their order.
#[test]
fn speeds_stay_in_their_range() {
    let mut runner =
        property::runner(300, TestRng::from_seed(RngAlgorithm::ChaCha, &PROPERTY_SEED));
    let steps = prop::collection::vec(step(), 1..100);
    let service = "reader".into();
    let check = |steps: Vec<Step>| {
        let (mut speeds, mut now_ms) = (TargetSpeeds::default(), 1);
        for step in steps {
            match step {
                Step::Report(target, percent) => speeds.record_report(now_ms, target, percent),
                Step::News(news) => {
                    let news = news.into_iter();
                    let news = news.map(|(target, percent, age_ms)| SpeedReport {
                        target,
                        percent,
                        age_ms,
                    });
                    speeds.record_news(now_ms, &news.collect::<Vec<_>>());
                }
                Step::Run(target, run_ms) => {
                    speeds.record_run(now_ms, (&service, Class::Online), target, run_ms);
                }
                Step::Targets(targets) => speeds.set_targets(&targets.into_iter().collect()),
                Step::Wait(ms) => now_ms += ms,
            }
            for target in 0..6 {
                let current = speeds.current_percent(now_ms, target);
                prop_assert!((1..=MAX_PERCENT).contains(&current));
                prop_assert!((1..=MAX_PERCENT).contains(&speeds.lasting_percent(now_ms, target)));
            }
            let news = speeds.news(now_ms);
            prop_assert!(news.len() <= MAX_ENTRIES);
            prop_assert!(news.is_sorted_by_key(|it| it.age_ms));
            prop_assert!(news.iter().all(|it| TargetSpeeds::is_valid(it.percent)));
        }
        Ok(())
    };
    runner.run(&steps, check).unwrap();
}

macro_rules! share_tests {
    ($($name:ident: $seed:expr, $affinity_part:expr;)*) => {
        $(
            // Preferring fast targets must not overload them: each gets about the work that it can do in the time of the
            // others.
            #[test]
            fn $name() {
                let setup = Setup { affinity_part: $affinity_part, lasts_ms: 36_000, ..UNEVEN };
                let mut fleet = UnevenFleet::new($seed, setup, Some(Activation::Always));
                let outcome = fleet.run();
                let most = most_of_share(&outcome, &fleet.lasting());
                println!("most of share by speed: {most:.2}, mean run: {:.0} ms", outcome.mean_run_ms());
                assert!(most <= MAX_OF_SHARE, "{most:.2}: {outcome:?}");
            }
        )*
    };
}

share_tests! {
    no_target_gets_more_than_its_share_by_speed: 1, 0.0;
    no_target_gets_more_than_its_share_by_speed_with_prefixes: 3, 0.5;
}

// Choosing targets by speed must not cost requests their objective while the slots suffice for all.
#[test]
fn requests_meet_the_objective_while_slots_suffice() {
    let (without, _) = run(UNEVEN, None);
    let (with, _) = run(UNEVEN, Some(Activation::Always));
    println!(
        "within the objective: {:.4}, without: {:.4}; mean run: {:.0} ms, without: {:.0} ms",
        with.in_objective(),
        without.in_objective(),
        with.mean_run_ms(),
        without.mean_run_ms()
    );
    assert!(with.in_objective() >= MIN_IN_OBJECTIVE, "{with:?}");
    assert!(with.in_objective() >= without.in_objective(), "{with:?}, without: {without:?}");
    assert!(with.mean_run_ms() < without.mean_run_ms());
    assert_eq!(with.refused, 0);
}

// Slots of slow targets counted like others: under a surge, requests waited longest where slots become free latest.
#[test]
fn more_requests_meet_the_objective_under_a_surge() {
    let setup = Setup { online_part: 0.8, item_part: 0.0, lasts_ms: 12_000, ..UNEVEN };
    let (without, _) = run(setup, None);
    let (with, _) = run(setup, Some(Activation::Always));
    println!(
        "within the objective: {:.3}, without: {:.3}",
        with.in_objective(),
        without.in_objective()
    );
    assert!(with.in_objective() > without.in_objective());
    assert!(with.mean_run_ms() < without.mean_run_ms());
}
