//! Choice of targets by their risk of failing.

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng},
};
use samphiredoor_core::{
    Name,
    dispatch::{Class, RequestId},
    overload::{
        Activation, FailingTarget, MAX_ENTRIES, OverloadNews, OverloadPolicy,
        target_risk::{TargetRisks, Trust},
    },
    placement::{Action, AttemptEnd, CallerTerms, Input, Placement, RequestSpec, name_hash},
};
use smallvec::SmallVec;

use crate::{
    harness::{Fixture, SLOTS, entry, location, sent_to},
    property,
    uneven_fleet::{Outcome, Setup, UnevenFleet},
};

const SEED: u64 = 31;
const PROPERTY_SEED: [u8; 32] = *b"samphiredoor-risk-of-targets-xxx";
/// One in six targets fails 40 in 100 requests; all have the same speed.
const GREY: Setup = Setup {
    online_part: 0.35,
    item_part: 0.15,
    lasting: &[1.0],
    disturbed_part: 0.0,
    grey_one_in: 6,
    grey_failures: 0.4,
    single_run_part: 0.4,
    reports: true,
    affinity_part: 0.0,
    lasts_ms: 18_000,
};
/// Factor by which failures of requests that may run only once are reduced.
const MIN_REDUCTION: f64 = 2.0;

/// A gateway in `north` with overload control for these targets, each with its zone, after it has started.
fn fixture(targets: &[(&str, &str)]) -> Fixture {
    let mut fixture = Fixture::new(Vec::new());
    let own = location("brisbane", "north");
    fixture.placement = Placement::new("gateway-m".into(), own, SEED)
        .with_overload(OverloadPolicy::new(Activation::Always));
    set_targets(&mut fixture, targets, 1);
    fixture
}

fn set_targets(fixture: &mut Fixture, targets: &[(&str, &str)], started_unix_ms: u64) {
    let entries = targets.iter().map(|(name, zone)| {
        let mut entry = entry(name, location("brisbane", zone));
        entry.started_unix_ms = started_unix_ms;
        entry
    });
    fixture.input(Input::Targets(entries.collect()));
}

fn spec(number: u64, is_repeatable: bool) -> RequestSpec {
    RequestSpec {
        request: RequestId(1_000_000 + number),
        class: Class::Online,
        service: "reader".into(),
        priority: 0,
        affinity: 0,
        tried_targets: SmallVec::new(),
        deadline_ms: u64::MAX,
        prior_run_ms: 0,
        resumes: None,
        terms: CallerTerms { is_repeatable, ..CallerTerms::default() },
    }
}

/// Sends a request that may run once or be repeated; returns its target.
fn request(fixture: &mut Fixture, number: u64, is_repeatable: bool) -> Option<String> {
    let spec = spec(number, is_repeatable);
    let request = spec.request;
    sent_to(request, &fixture.input(Input::Request(spec)))
}

fn end(fixture: &mut Fixture, number: u64, end: AttemptEnd) -> Vec<Action> {
    fixture.end(RequestId(1_000_000 + number), end)
}

fn peer_reports(fixture: &mut Fixture, target: &str, failures: u32) {
    let failing = vec![FailingTarget { target: name_hash(target), failures, age_ms: 10 }];
    let news = OverloadNews { failing, ..OverloadNews::default() };
    fixture.input(Input::PeerNews { peer: "gateway-a".into(), news });
}

// A target that has just lost an answer got the next request that must not run twice, although others were free.
#[test]
fn single_run_requests_avoid_a_target_with_a_recent_failure() {
    for zone in ["north", "south"] {
        let mut fixture = fixture(&[("t-0", "north"), ("t-1", zone)]);
        let failed = request(&mut fixture, 0, true).unwrap();
        end(&mut fixture, 0, AttemptEnd::Lost);
        for number in 1..=u64::from(SLOTS) - 2 {
            assert_ne!(request(&mut fixture, number, false).unwrap(), failed);
        }
    }
}

// Each gateway of the cell had to lose a request of its own before it avoided the target.
#[test]
fn failures_of_peers_count_until_their_news_expire() {
    let mut fixture = fixture(&[("t-0", "north"), ("t-1", "south")]);
    peer_reports(&mut fixture, "t-0", 1);
    assert_eq!(request(&mut fixture, 0, false).as_deref(), Some("t-1"));
    fixture.wait(1_600);
    assert_eq!(request(&mut fixture, 1, false).as_deref(), Some("t-0"));
}

// All targets have failed; a request must still get one.
#[test]
fn nothing_is_blocked_when_all_targets_fail() {
    let mut fixture = fixture(&[("t-0", "north"), ("t-1", "south")]);
    for number in 0..2 {
        peer_reports(&mut fixture, ["t-0", "t-1"][number as usize], 4);
    }
    for number in 0..2 * u64::from(SLOTS) {
        let is_repeatable = number % 2 == 0;
        assert!(request(&mut fixture, number, is_repeatable).is_some(), "request {number}");
    }
}

fn make_failing(fixture: &mut Fixture, target: &str) {
    peer_reports(fixture, target, 4);
    fixture.placement.take_trust_changes(fixture.now_ms);
}

// A request that had failed once was sent to another failing target for its last attempt.
#[test]
fn a_resent_request_avoids_a_target_with_a_recent_failure() {
    let mut fixture = fixture(&[("t-0", "north"), ("t-1", "north"), ("t-2", "south")]);
    peer_reports(&mut fixture, "t-1", 1);
    let spec = RequestSpec { tried_targets: ["t-0".into()].into_iter().collect(), ..spec(0, true) };
    let request = spec.request;
    let actions = fixture.input(Input::Request(spec));
    assert_eq!(sent_to(request, &actions).as_deref(), Some("t-2"));
}

// Without probes, nobody finds out that a target works again; with many, all of them fail while it does not.
#[test]
fn a_failing_target_is_probed_by_one_repeatable_request_at_a_time() {
    let mut fixture = fixture(&[("bad", "north"), ("good", "north")]);
    make_failing(&mut fixture, "bad");
    assert_eq!(request(&mut fixture, 0, false).as_deref(), Some("good"));
    assert_eq!(request(&mut fixture, 1, true).as_deref(), Some("bad"));
    for number in 2..5 {
        assert_eq!(request(&mut fixture, number, true).as_deref(), Some("good"));
    }
    end(&mut fixture, 1, AttemptEnd::Lost);
    assert_eq!(request(&mut fixture, 5, true).as_deref(), Some("good"), "after a failed probe");
}

// A target stayed excluded after it worked again.
#[test]
fn whole_answers_rebuild_trust() {
    let mut fixture = fixture(&[("bad", "north"), ("good", "south")]);
    for number in 0..3 {
        assert!(request(&mut fixture, number, true).is_some());
    }
    for number in 0..3 {
        end(&mut fixture, number, AttemptEnd::Unreachable);
    }
    let changes = fixture.placement.take_trust_changes(fixture.now_ms);
    assert!(changes.len() == 1 && changes[0].is_failing && &*changes[0].target == "bad");
    let mut answers = 0;
    for number in 3..40 {
        fixture.wait(1_000);
        if request(&mut fixture, number, true).as_deref() == Some("bad") {
            answers += 1;
        }
        end(&mut fixture, number, AttemptEnd::Answered);
    }
    assert!(answers > 20, "whole answers: {answers}");
    let changes = fixture.placement.take_trust_changes(fixture.now_ms);
    assert!(changes.len() == 1 && !changes[0].is_failing, "{changes:?}");
}

// A target that answers errors at once was trusted again after a few of them.
#[test]
fn errors_that_are_answered_at_once_do_not_rebuild_trust() {
    for (run_ms, is_trusted) in [(5, false), (700, true)] {
        let mut fixture = fixture(&[("bad", "north")]);
        request(&mut fixture, 0, true);
        fixture.now_ms += 700;
        end(&mut fixture, 0, AttemptEnd::Answered);
        request(&mut fixture, 1, true);
        end(&mut fixture, 1, AttemptEnd::Lost);
        for number in 2..6 {
            request(&mut fixture, number, true);
        }
        fixture.now_ms += run_ms;
        for number in 2..6 {
            end(&mut fixture, number, AttemptEnd::Answered);
        }
        let failing = fixture.placement.news(fixture.now_ms).failing;
        assert_eq!(failing.is_empty(), is_trusted, "answered after {run_ms} ms: {failing:?}");
    }
}

// A restarted target got as many requests that must not run twice as one that has worked for days.
#[test]
fn a_new_target_earns_trust_with_whole_answers() {
    let mut fixture = fixture(&[("old", "north")]);
    fixture.now_ms += 10_000;
    set_targets(&mut fixture, &[("old", "north"), ("new", "north")], 1);
    for number in 0..4 {
        assert_eq!(request(&mut fixture, number, false).as_deref(), Some("old"));
        end(&mut fixture, number, AttemptEnd::Answered);
    }
    fixture.peer("gateway-a", &[("old", SLOTS, 0)]);
    for number in 4..8 {
        assert_eq!(request(&mut fixture, number, false).as_deref(), Some("new"));
        end(&mut fixture, number, AttemptEnd::Answered);
    }
    fixture.peer("gateway-a", &[]);
    let sent: Vec<_> = (8..16).map(|it| request(&mut fixture, it, false).unwrap()).collect();
    assert!(sent.iter().any(|it| it == "new"), "{sent:?}");
}

fn newness_after(risks: &mut TargetRisks, answers: u32) -> f32 {
    for _ in 0..answers {
        risks.record_end(2_000, name_hash("t-0"), AttemptEnd::Answered);
    }
    risks.trust(2_000, name_hash("t-0")).newness
}

// A target that crashes again and again was trusted as soon after each start as one that was started once.
#[test]
fn a_flapping_target_has_to_give_more_answers() {
    let name = Name::from("t-0");
    let other = Name::from("t-1");
    let mut risks = TargetRisks::default();
    risks.set_targets(0, [(&other, 1)]);
    risks.set_targets(100, [(&other, 1), (&name, 1)]);
    assert_eq!(newness_after(&mut risks, 4), 0.0);
    for restart in 2..5 {
        risks.set_targets(restart * 100, [(&other, 1)]);
        risks.set_targets(restart * 100 + 50, [(&other, 1), (&name, restart)]);
    }
    assert!(newness_after(&mut risks, 4) > 0.5);
}

// All targets restart at once: the usual order applies instead of none being trusted.
#[test]
fn the_order_is_kept_when_all_targets_are_new() {
    let targets = [("near", "north"), ("far", "south")];
    let mut fixture = fixture(&targets);
    fixture.now_ms += 10_000;
    set_targets(&mut fixture, &targets, 2);
    for number in 0..u64::from(SLOTS) {
        assert_eq!(request(&mut fixture, number, number % 2 == 0).as_deref(), Some("near"));
    }
}

#[derive(Debug, Clone)]
enum Step {
    End(usize, AttemptEnd),
    News(u8, Vec<(usize, u32)>),
    Targets(Vec<(usize, u64)>),
    Changes,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let ends = prop::sample::select(vec![
        AttemptEnd::Answered,
        AttemptEnd::Refused,
        AttemptEnd::WrongTarget,
        AttemptEnd::Unreachable,
        AttemptEnd::Lost,
        AttemptEnd::Silent,
        AttemptEnd::Gone,
        AttemptEnd::Cut,
    ]);
    let doubts = prop::collection::vec((0..6_usize, any::<u32>()), 0..20);
    prop_oneof![
        6 => (0..6_usize, ends).prop_map(|(target, end)| Step::End(target, end)),
        2 => (0..4_u8, doubts).prop_map(|(peer, doubts)| Step::News(peer, doubts)),
        1 => prop::collection::vec((0..6_usize, 0..3_u64), 0..6).prop_map(Step::Targets),
        2 => Just(Step::Changes),
        2 => (0..9_000_u64).prop_map(Step::Wait),
    ]
}

// Arbitrary ends, news and lists of targets must leave no target distrusted forever, and give bounded news.
#[test]
fn trust_always_returns() {
    let names: Vec<Name> = (0..6).map(|it| format!("t-{it}").into()).collect();
    let keys: Vec<u64> = names.iter().map(|it| name_hash(it)).collect();
    let mut runner =
        property::runner(300, TestRng::from_seed(RngAlgorithm::ChaCha, &PROPERTY_SEED));
    let check = |steps: Vec<Step>| {
        let (mut risks, mut now_ms) = (TargetRisks::default(), 1);
        risks.set_targets(now_ms, names.iter().map(|it| (it, 1)));
        for step in steps {
            match step {
                Step::End(target, end) => risks.record_end(now_ms, keys[target], end),
                Step::News(peer, doubts) => {
                    let doubts = doubts.into_iter();
                    let failing = doubts.map(|(target, failures)| FailingTarget {
                        target: keys[target],
                        failures,
                        age_ms: 5,
                    });
                    let peer = format!("gateway-{peer}").into();
                    risks.record_news(now_ms, &peer, &failing.collect::<Vec<_>>());
                }
                Step::Targets(targets) => {
                    let targets = targets.into_iter().map(|(it, started)| (&names[it], started));
                    risks.set_targets(now_ms, targets);
                }
                Step::Changes => drop(risks.take_changes(now_ms)),
                Step::Wait(ms) => now_ms += ms,
            }
            let news = risks.news(now_ms);
            prop_assert!(news.len() <= MAX_ENTRIES);
            prop_assert!(news.is_sorted_by_key(|it| it.age_ms));
            for key in &keys {
                let trust = risks.trust(now_ms, *key);
                prop_assert!((0.0..=1.0).contains(&trust.newness) && trust.doubt >= 0.0);
                prop_assert!(!trust.is_failing || trust.has_failed, "{trust:?}");
            }
        }
        now_ms += 60_000;
        risks.take_changes(now_ms);
        for key in &keys {
            prop_assert_eq!(risks.trust(now_ms, *key), Trust::default());
        }
        Ok(())
    };
    let steps = prop::collection::vec(step(), 1..100);
    runner.run(&steps, check).unwrap();
}

fn run(activation: Option<Activation>) -> Outcome {
    let mut fleet = UnevenFleet::new(SEED, GREY, activation);
    let outcome = fleet.run();
    println!(
        "overload control: {}: {} of {} single runs failed, {} repeatable, in objective {:.3}, refused {}",
        activation.is_some(),
        outcome.single_run_failed,
        outcome.single_run,
        outcome.repeatable_failed,
        outcome.in_objective(),
        outcome.refused,
    );
    outcome
}

// A target that fails 40 in 100 requests seldom fails three in a row at one gateway, and got its full share of the
// requests that must not run twice.
#[test]
fn grey_targets_fail_few_single_run_requests() {
    let (without, with) = (run(None), run(Some(Activation::Always)));
    assert!(
        with.single_run_failures() * MIN_REDUCTION <= without.single_run_failures(),
        "{} with, {} without",
        with.single_run_failures(),
        without.single_run_failures()
    );
}
