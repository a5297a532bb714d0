//! How often gateways send the same work again: the bounds hold across owners, restarts, and interruptions between an
//! owner and the store.

use std::{
    thread,
    time::{Duration, Instant},
};

use samphiredoor_standin::{
    fleet::EVENTS,
    link::LinkFault,
    platform_store::StoreFault,
    platform_target::{PlatformTarget, TargetFault},
};

use serde_json::{Value, json};

use super::env::{BINARY, Platform};
use crate::env::wait_until;

const PAUSE: Duration = Duration::from_millis(2);
const FAILING: &str = "item-a";
/// Item that its target always rejects as not run, so that the job stays open.
const OPEN: &str = "item-b";
/// Setting `attempts` of the routes.
const ATTEMPTS: usize = 3;
/// Most runs of an item that answers 422.
const MOST_IMPOSSIBLE: usize = 3;
/// Most runs of an item that answers 500.
const MOST_FAILED: usize = 3 * ATTEMPTS;
const CRASHING: &str = "crashes its target";
/// Crashes after which all gateways in touch have to know the request, within a time, and how many more it may cause.
const CRASHES_KNOWN: usize = 3;
const CRASHES_TOLD_WITHIN: Duration = Duration::from_secs(4);
const MOST_LATER_CRASHES: usize = 3;
/// Times from a quarantine to its trials.
const TRIALS_AFTER: [Duration; 4] = [
    Duration::from_secs(1),
    Duration::from_secs(3),
    Duration::from_secs(11),
    Duration::from_secs(23),
];
const OWNERS: usize = 5;
/// Enough targets that ejections and crashes do not limit the runs.
const TARGETS: usize = 12;
/// Time after a run in which its outcome is recorded, unless it waits for something else; results wait for 1.5 s to share
/// a write.
const RECORDED_WITHIN: Duration = Duration::from_secs(1);

fn fleet(gateways: usize) -> (Platform, PlatformTarget) {
    let mut platform = Platform::new(BINARY);
    let target = platform.start_target("t-1", PAUSE);
    target.fail_always(OPEN, TargetFault::Full);
    for _ in 0..gateways {
        platform.start_gateway();
    }
    (platform, target)
}

fn fleet_of_targets(gateways: usize) -> (Platform, Vec<PlatformTarget>) {
    let mut platform = Platform::new(BINARY);
    let targets = (0..TARGETS).map(|it| platform.start_target(&format!("t-{it}"), PAUSE));
    let targets = targets.collect();
    for _ in 0..gateways {
        platform.start_gateway();
    }
    (platform, targets)
}

/// Longer than the time after which an attempt without any data from its target counts as lost.
const LONG_PAUSE: Duration = Duration::from_millis(2_700);
/// Time within which an interrupted item is run again, by the next owner if there is another.
const RUN_AGAIN_WITHIN: Duration = Duration::from_secs(4);
/// Gateways of a fleet that sees an outage of the store.
const OUTAGE_GATEWAYS: usize = 5;
/// How much later than the others the owner of a job sees the end of the outage.
const SEEN_LATER: Duration = Duration::from_millis(800);
/// Size of a failure's body that takes several times longer over a slow link than its status line.
const FAILURE_BYTES: usize = 60_000;
/// Time after which the body of such a failure is being read.
const READING_AFTER: Duration = Duration::from_millis(450);
/// Time after which a slow target answers: longer than a preempted item waits for an answer that must be read.
const SLOW_FAILURE: Duration = Duration::from_millis(2_000);
/// Online requests that together take all slots of a target.
const SURGE: usize = 8;

/// Fleet whose target answers the failing item with 422, over a slow link: its answers are on their way for a while.
fn fleet_with_slow_link(gateways: usize) -> (Platform, PlatformTarget) {
    let mut platform = Platform::new(BINARY);
    platform.linked = true;
    let target = platform.start_target("t-1", PAUSE);
    target.fail_always(OPEN, TargetFault::Full);
    target.fail_always(FAILING, TargetFault::Impossible);
    platform.target_link(&target.name).expect("a link").set_fault(LinkFault::Slow);
    for _ in 0..gateways {
        platform.start_gateway();
    }
    (platform, target)
}

/// Interrupts each run of the failing item while its answer is on the way, until the item is not run again or was run
/// more often than allowed; returns the number of runs.
fn runs_if_interrupted(target: &PlatformTarget, mut interrupt: impl FnMut(usize)) -> usize {
    for number in 1..=MOST_IMPOSSIBLE + 1 {
        let until = Instant::now() + RUN_AGAIN_WITHIN;
        while target.runs_of(FAILING) < number {
            if Instant::now() > until {
                return target.runs_of(FAILING);
            }
            thread::sleep(Duration::from_millis(1));
        }
        interrupt(number);
    }
    target.runs_of(FAILING)
}

/// Sends online requests that take all slots of a target and preempt its items.
fn send_surge(platform: &Platform, number: usize) {
    thread::scope(|scope| {
        for request in 0..SURGE {
            let id = format!("online-{number}-{request}");
            scope.spawn(move || platform.send(0, "/stream/check", &id, ""));
        }
    });
}

/// Waits until the item has a result in the store, for at most [`RECORDED_WITHIN`].
fn wait_recorded(platform: &Platform) {
    let until = Instant::now() + RECORDED_WITHIN;
    let is_recorded = || {
        let segments = platform.store.names("jobsegments");
        segments.iter().filter_map(|it| platform.store.spec("jobsegments", it)).any(|segment| {
            segment["results"].as_array().is_some_and(|it| it.iter().any(|it| it["id"] == FAILING))
        })
    };
    while Instant::now() < until && !is_recorded() {
        thread::sleep(Duration::from_millis(5));
    }
}

/// Runs a job with a failing item at one owner after the other, each of which is killed; returns the number of its runs.
fn runs_over_all_owners(fault: TargetFault, runs_per_owner: usize) -> usize {
    let (mut platform, target) = fleet(1);
    target.fail_always(FAILING, fault);
    assert_eq!(platform.submit(0, "job-1", &[FAILING, OPEN]).status, 202);
    wait_until("the item fails", || target.runs_of(FAILING) >= runs_per_owner);
    for _ in 1..OWNERS {
        wait_recorded(&platform);
        platform.gateway(0).kill();
        platform.restart_gateway(0);
        platform.wait_logged(0, "job: items started");
    }
    wait_recorded(&platform);
    target.runs_of(FAILING)
}

// Guards against owners that are killed before they have recorded that an item can never succeed.
#[test]
fn an_impossible_item_is_not_sent_by_each_next_owner() {
    let runs = runs_over_all_owners(TargetFault::Impossible, 1);
    assert!(runs <= MOST_IMPOSSIBLE, "{runs} runs");
}

// Guards against owners that each count the failures of an item anew.
#[test]
fn failures_of_an_item_are_counted_across_owners() {
    let runs = runs_over_all_owners(TargetFault::Fails, ATTEMPTS);
    assert!(runs <= MOST_FAILED, "{runs} runs");
}

// Guards against an owner that forgets outcomes which it could not write yet when it resumes the job's items.
#[test]
fn an_outcome_that_waits_to_be_written_is_not_forgotten_by_its_owner() {
    let (platform, target) = fleet(2);
    target.fail_always(FAILING, TargetFault::Full);
    platform.wait_logged(0, "peers: peer is live");
    platform.wait_logged(1, "peers: peer is live");
    assert_eq!(platform.submit(0, "job-1", &[FAILING, OPEN]).status, 202);
    // Keeps the other gateway from taking the job over.
    platform.set_store_path_fault(1, StoreFault::HeaderUpdatesHeld);
    platform.set_store_path_fault(0, StoreFault::Busy);
    target.fail_always(FAILING, TargetFault::Impossible);
    wait_until("the item fails", || target.runs_of(FAILING) == 1);
    platform.wait_logged(0, "runs stopped, the store answers other gateways but not this one");
    platform.set_store_path_fault(0, StoreFault::SegmentsRefused);
    wait_until("the items are resumed", || platform.times_logged(0, "job: items started") > 1);
    thread::sleep(RECORDED_WITHIN);
    assert_eq!(target.runs_of(FAILING), 1);
}

// Guards against an item whose response breaks off at the same event at each run, sent again without a pause.
#[test]
fn an_item_that_breaks_off_at_the_same_event_is_sent_ever_more_seldom() {
    let (platform, targets) = fleet_of_targets(1);
    let runs = || targets.iter().map(|it| it.runs_of(FAILING)).sum::<usize>();
    let fail = |fault| targets.iter().for_each(|it| it.fail_always(FAILING, fault));
    fail(TargetFault::CutAfter(1));
    assert_eq!(platform.submit(0, "job-1", &[FAILING]).status, 202);
    wait_until("the item has sent an event", || runs() > 0);
    fail(TargetFault::CutAfter(0));
    thread::sleep(Duration::from_secs(3));
    assert!(runs() <= MOST_FAILED, "{} runs", runs());
}

/// Sends a request that crashes each target that runs it, each time under a new id and at another gateway; checks how many
/// targets crash after all gateways have to know the request.
fn crashes_are_bounded(fault: TargetFault) {
    let (platform, targets) = fleet_of_targets(2);
    targets.iter().for_each(|it| it.fail_always(CRASHING, fault));
    let crashed = || targets.iter().map(|it| it.runs_of(CRASHING)).sum::<usize>();
    let send = |number: usize| {
        platform.send(number % 2, "/stream/check", &format!("id-{number}"), CRASHING)
    };
    (0..CRASHES_KNOWN).for_each(|number| drop(send(number)));
    assert_eq!(crashed(), CRASHES_KNOWN);
    thread::sleep(CRASHES_TOLD_WITHIN);
    (CRASHES_KNOWN..TARGETS).for_each(|number| drop(send(number)));
    let later = crashed() - CRASHES_KNOWN;
    assert!(later <= MOST_LATER_CRASHES, "{later} targets crashed after the third");
}

// Guards against a request that crashes each target that runs it, and that its caller sends again.
#[test]
fn a_request_that_crashes_targets_is_not_sent_to_ever_more_of_them() {
    crashes_are_bounded(TargetFault::Crashes);
}

// Guards against answers that only the close of their connection ends, and that look whole when the target has crashed.
#[test]
fn a_request_that_crashes_targets_between_two_events_is_not_sent_to_ever_more_of_them() {
    crashes_are_bounded(TargetFault::UnframedCrashAfter(2));
}

// Guards against failures of targets that do not run the request, taken for proof that it is sound.
#[test]
fn failures_between_its_crashes_do_not_clear_a_request_that_crashes_targets() {
    let (platform, targets) = fleet_of_targets(2);
    (0..2).for_each(|it| platform.wait_logged(it, "peers: peer is live"));
    let crashed = || targets.iter().map(|it| it.runs_of(CRASHING)).sum::<usize>();
    let mut failed = 0;
    let faults = [TargetFault::Crashes, TargetFault::Crashes, TargetFault::Fails];
    for (number, fault) in faults.into_iter().cycle().take(4 * faults.len()).enumerate() {
        targets.iter().for_each(|it| it.fail_always(CRASHING, fault));
        let id = format!("id-{number}");
        let answer = platform.send(number % 2, "/stream/check", &id, CRASHING);
        failed += usize::from(answer.status == 500);
        thread::sleep(CRASHES_TOLD_WITHIN / 8);
    }
    let later = (crashed() - failed).saturating_sub(CRASHES_KNOWN);
    assert!(later <= MOST_LATER_CRASHES, "{later} targets crashed after the third");
}

// Guards against an answer that was made up from runs at several targets, some of which crashed, taken for proof that its
// request is sound.
#[test]
fn an_answer_of_several_runs_does_not_clear_a_request_that_crashes_targets() {
    let (platform, targets) = fleet_of_targets(2);
    (0..2).for_each(|it| platform.wait_logged(it, "peers: peer is live"));
    let crash = TargetFault::UnframedCrashAfter(EVENTS - 2);
    targets.iter().for_each(|it| it.fail_always(CRASHING, crash));
    let crashed = || targets.iter().filter(|it| it.has_crashed()).count();
    for number in 0..TARGETS - 1 {
        let id = format!("id-{number}");
        platform.send(number % 2, "/stream-resumable/check", &id, CRASHING);
        thread::sleep(CRASHES_TOLD_WITHIN / 8);
    }
    let later = crashed().saturating_sub(CRASHES_KNOWN);
    assert!(later <= MOST_LATER_CRASHES, "{later} targets crashed after the third");
}

// Guards against gateways that start after a request was quarantined, and learn of it by a crash each.
#[test]
fn a_gateway_that_starts_is_told_of_quarantined_requests() {
    let (mut platform, targets) = fleet_of_targets(2);
    (0..2).for_each(|it| platform.wait_logged(it, "peers: peer is live"));
    targets.iter().for_each(|it| it.fail_always(CRASHING, TargetFault::Crashes));
    let crashed = || targets.iter().map(|it| it.runs_of(CRASHING)).sum::<usize>();
    let started_at = Instant::now();
    for number in 0..CRASHES_KNOWN {
        platform.send(0, "/stream/check", &format!("id-{number}"), CRASHING);
    }
    for restart in 0..MOST_LATER_CRASHES + 1 {
        platform.gateway(1).kill();
        platform.restart_gateway(1);
        platform.wait_logged(1, "peers: peer is live");
        thread::sleep(CRASHES_TOLD_WITHIN / 4);
        platform.send(1, "/stream/check", &format!("later-{restart}"), CRASHING);
    }
    assert_crashes_were_trials(crashed(), started_at);
}

/// Checks that no more targets have crashed than those by which the request became known, and those of the trials that may
/// have begun in this time.
fn assert_crashes_were_trials(crashed: usize, since: Instant) {
    let trials = TRIALS_AFTER.iter().filter(|it| **it <= since.elapsed()).count();
    assert!(crashed <= CRASHES_KNOWN + trials, "{crashed} crashes, {trials} trials");
}

// Guards against crashes that are forgotten with the gateways that have counted them.
#[test]
fn crashes_are_counted_across_restarts_of_the_gateways_that_count_them() {
    const GATEWAYS: usize = 4;
    let (mut platform, targets) = fleet_of_targets(GATEWAYS);
    let wait_live = |platform: &Platform, gateway: usize| {
        wait_until("all gateways know each other", || {
            platform.times_logged(gateway, "peers: peer is live") >= GATEWAYS - 1
        });
    };
    (0..GATEWAYS).for_each(|it| wait_live(&platform, it));
    targets.iter().for_each(|it| it.fail_always(CRASHING, TargetFault::Crashes));
    let crashed = || targets.iter().map(|it| it.runs_of(CRASHING)).sum::<usize>();
    let started_at = Instant::now();
    for number in 0..CRASHES_KNOWN + MOST_LATER_CRASHES + 1 {
        platform.send(0, "/stream/check", &format!("id-{number}"), CRASHING);
        thread::sleep(CRASHES_TOLD_WITHIN / 8);
        for gateway in 1..GATEWAYS {
            platform.gateway(gateway).kill();
            platform.restart_gateway(gateway);
        }
        (1..GATEWAYS).for_each(|it| wait_live(&platform, it));
        thread::sleep(CRASHES_TOLD_WITHIN / 4);
    }
    assert_crashes_were_trials(crashed(), started_at);
}

// Guards against sound content that many callers send, blamed for targets that crash beneath it.
#[test]
fn content_that_was_answered_is_not_quarantined_for_crashes_beneath_it() {
    let (platform, targets) = fleet_of_targets(2);
    (0..2).for_each(|it| platform.wait_logged(it, "peers: peer is live"));
    let send = |number: usize| {
        let id = format!("id-{number}");
        platform.send(number % 2, "/stream/check", &id, CRASHING).status
    };
    assert_eq!([send(0), send(1)], [200, 200]);
    targets.iter().for_each(|it| it.fail_always(CRASHING, TargetFault::Crashes));
    for number in 0..2 * CRASHES_KNOWN {
        assert_eq!(send(number), 502, "crash {number}");
        thread::sleep(CRASHES_TOLD_WITHIN / 16);
    }
    targets.iter().for_each(|it| it.fail_always(CRASHING, TargetFault::None));
    assert_eq!([send(0), send(1)], [200, 200]);
}

// Guards against an item that is sent again without a bound because each of its answers crosses a preemption.
#[test]
fn failures_that_cross_preemptions_do_not_repeat_an_item_without_a_bound() {
    let (platform, target) = fleet_with_slow_link(1);
    assert_eq!(platform.submit(0, "job-1", &[FAILING, OPEN]).status, 202);
    let runs = runs_if_interrupted(&target, |number| send_surge(&platform, number));
    assert!(runs <= MOST_IMPOSSIBLE, "{runs} runs");
}

// Guards against an item that is preempted again and again before a slow target has answered, and is sent again each time.
#[test]
fn failures_of_a_slow_target_that_cross_preemptions_do_not_repeat_an_item_without_a_bound() {
    let (platform, target) = fleet(1);
    let target = target.with_failure_pause(SLOW_FAILURE);
    target.fail_always(FAILING, TargetFault::Impossible);
    assert_eq!(platform.submit(0, "job-1", &[FAILING]).status, 202);
    let runs = runs_if_interrupted(&target, |number| send_surge(&platform, number));
    assert!(runs <= MOST_IMPOSSIBLE, "{runs} runs");
}

// Guards against a process that gets no processor time and takes the answers in its sockets for lost.
#[test]
fn failures_that_arrive_while_their_reader_is_paused_are_read() {
    let (platform, target) = fleet_with_slow_link(1);
    let items = ["item-1", "item-2", "item-3", "item-4"];
    items.iter().for_each(|it| target.fail_always(it, TargetFault::Impossible));
    assert_eq!(platform.submit(0, "job-1", &items).status, 202);
    let runs = || items.map(|it| target.runs_of(it));
    wait_until("all items run", || runs().iter().all(|it| *it > 0));
    platform.signal(0, "STOP");
    thread::sleep(LONG_PAUSE);
    platform.signal(0, "CONT");
    assert_eq!(platform.all_results(0, "job-1", items.len()).len(), items.len());
    assert_eq!(runs(), [1; 4]);
}

// Guards against the first gateway that sees the store after an outage, which takes over the jobs of live gateways and
// with them discards the failures that these could not write.
#[test]
fn failures_known_during_an_outage_of_the_store_are_not_lost_with_it() {
    let mut platform = Platform::new(BINARY);
    platform.linked = true;
    let target = platform.start_target("t-1", PAUSE);
    target.fail_always(FAILING, TargetFault::Full);
    for _ in 0..OUTAGE_GATEWAYS {
        platform.start_gateway();
    }
    for gateway in 0..OUTAGE_GATEWAYS {
        wait_until("all gateways know each other", || {
            platform.times_logged(gateway, "peers: peer is live") >= OUTAGE_GATEWAYS - 1
        });
    }
    assert_eq!(platform.submit(0, "job-1", &[FAILING]).status, 202);
    platform.store.set_fault(StoreFault::Silent);
    (0..OUTAGE_GATEWAYS).for_each(|it| platform.wait_logged(it, "store: lost"));
    target.fail_always(FAILING, TargetFault::Impossible);
    wait_until("the item fails", || target.runs_of(FAILING) == 1);
    platform.gateway_link(0).expect("a link").set_fault(LinkFault::Silent);
    platform.store.set_fault(StoreFault::None);
    thread::sleep(SEEN_LATER);
    platform.gateway_link(0).expect("a link").set_fault(LinkFault::None);
    assert_eq!(platform.all_results(1, "job-1", 1)[0]["state"], "errored");
    assert_eq!(target.runs_of(FAILING), 1);
}

// Guards against an owner that starts an item with all its failures in the log and no result.
#[test]
fn an_item_that_has_failed_as_often_as_allowed_is_not_run_by_the_next_owner() {
    let (mut platform, target) = fleet(1);
    target.fail_always(FAILING, TargetFault::Full);
    assert_eq!(platform.submit(0, "job-1", &[FAILING]).status, 202);
    platform.gateway(0).kill();
    let failure =
        |number| json!({ "item": 0, "process": "gateway-9", "incarnation": 1, "number": number });
    let failures: Vec<Value> = (1..=ATTEMPTS).map(failure).collect();
    let segment = json!({ "format": 1, "results": [], "failures": failures });
    platform.store.put("jobsegments", "job-1-00000", segment);
    target.fail_always(FAILING, TargetFault::Fails);
    platform.restart_gateway(0);
    assert_eq!(platform.all_results(0, "job-1", 1)[0]["state"], "errored");
    assert_eq!(target.runs_of(FAILING), 0);
}

/// Two gateways, of which each hands the job over when the item has run for `delay`; returns the number of runs.
fn runs_over_handovers(failure: TargetFault, delay: Duration) -> usize {
    let (mut platform, target) = fleet_with_slow_link(0);
    let target = target.with_failure_bytes(FAILURE_BYTES);
    target.fail_always(FAILING, failure);
    platform.unready_ms = 0;
    for _ in 0..2 {
        platform.start_gateway();
    }
    platform.wait_logged(0, "peers: peer is live");
    platform.wait_logged(1, "peers: peer is live");
    assert_eq!(platform.submit(0, "job-1", &[FAILING, OPEN]).status, 202);
    runs_if_interrupted(&target, |number| {
        let owner = (number + 1) % 2;
        thread::sleep(delay);
        platform.signal(owner, "TERM");
        platform.gateway(owner).wait();
        platform.restart_gateway(owner);
        platform.wait_ready(owner);
    })
}

// Guards against owners that hand a job over while failures of its items are on the way.
#[test]
fn failures_that_cross_handovers_do_not_repeat_an_item_without_a_bound() {
    let runs = runs_over_handovers(TargetFault::Impossible, Duration::ZERO);
    assert!(runs <= MOST_IMPOSSIBLE, "{runs} runs");
}

// Guards against owners that hand a job over after the status line of a failure and before the end of its body.
#[test]
fn failures_that_are_being_read_at_handovers_are_counted() {
    let runs = runs_over_handovers(TargetFault::Fails, READING_AFTER);
    assert!(runs <= ATTEMPTS, "{runs} runs");
}

// Guards against an item that is sent again and again because the bodies of its failures break off.
#[test]
fn failures_without_a_whole_body_do_not_repeat_an_item_without_a_bound() {
    let (platform, target) = fleet(1);
    target.fail_always(FAILING, TargetFault::ImpossibleCut);
    assert_eq!(platform.submit(0, "job-1", &[FAILING, OPEN]).status, 202);
    thread::sleep(Duration::from_secs(3));
    let runs = target.runs_of(FAILING);
    assert!(runs <= MOST_IMPOSSIBLE, "{runs} runs");
}
