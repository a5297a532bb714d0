//! Tests of the soak test's checks beside silences of targets: endings of answers that violate them, and similar ones that
//! don't.

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::{Duration, Instant},
};

use samphiredoor_standin::{
    platform_target::{PlatformTarget, Run},
    soak::{
        Checks, Disturbed, Ending, Fault, Invariant, MOVED_PATH, Plan, REMOVED_PATH, Reply, RunEnd,
        Sizes,
    },
};

const SIZES: Sizes = Sizes { gateways: 3, targets: 12 };
const DEADLINE: Duration = Duration::from_secs(3);
const GATEWAY: usize = 1;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Answer without a response that ends this long after its request was sent, and after what a test records.
fn ending(took: Duration) -> Ending {
    let ended_at = Instant::now() + ms(50);
    let sent_at = ended_at - took;
    let (id, gateway) = ("id-1".to_owned(), GATEWAY);
    Ending { id, gateway, connected_at: sent_at, sent_at, ended_at, deadline: DEADLINE, status: 0 }
}

/// A run that began with the request, and the crash of its target.
fn run_of(ending: &Ending, crashed_at: Option<Instant>) -> RunEnd {
    RunEnd { at: ending.sent_at, crashed_at }
}

/// Declares a test of an ending with its runs: it is a violation, or not.
macro_rules! endings {
    ($($name:ident: $took:expr => $expected:expr, |$checks:ident, $ending:ident| $runs:block;)*) => {
        $(
            #[test]
            fn $name() {
                let mut checks = Checks::default();
                let ending = ending($took);
                let runs = {
                    let ($checks, $ending) = (&mut checks, &ending);
                    $runs
                };
                checks.check_ending(&ending, &runs);
                let expected: Option<Invariant> = $expected;
                assert_eq!(checks.violation().map(|it| it.invariant), expected);
            }
        )*
    };
}

endings! {
    an_answer_that_ends_early_at_a_sound_target: ms(1_100) => Some(Invariant::Answered), |_checks, ending| {
        vec![run_of(ending, None)]
    };
    an_answer_that_ends_with_its_time_is_fine: ms(2_200) => None, |_checks, ending| {
        vec![run_of(ending, None)]
    };
    an_answer_that_ends_with_the_timeout_of_its_route_is_fine: ms(1_100) => None, |checks, ending| {
        checks.silences().record_configuration(ms(1_500), false);
        vec![run_of(ending, None)]
    };
    an_answer_that_ends_with_the_timeout_of_a_configuration_that_may_be_in_force_is_fine: ms(1_100) => None, |checks, ending| {
        checks.silences().record_configuration(ms(1_500), false);
        checks.silences().record_configuration(ms(8_000), false);
        vec![run_of(ending, None)]
    };
    an_answer_whose_target_crashed_is_fine: ms(1_100) => None, |_checks, ending| {
        vec![run_of(ending, None), run_of(ending, Some(ending.ended_at - ms(1)))]
    };
    an_answer_that_ended_before_its_target_crashed: ms(1_100) => Some(Invariant::Answered), |_checks, ending| {
        vec![run_of(ending, Some(ending.ended_at + ms(200)))]
    };
    an_answer_that_ended_long_after_another_target_crashed: ms(1_100) => Some(Invariant::Answered), |checks, ending| {
        checks.silences().set_crashes(vec![ending.ended_at - ms(500)]);
        vec![run_of(ending, None)]
    };
    a_request_that_reached_no_target_beside_a_crash_is_fine: ms(1_100) => None, |checks, ending| {
        checks.silences().set_crashes(vec![ending.ended_at - ms(500)]);
        vec![]
    };
    an_answer_whose_gateway_was_killed_is_fine: ms(1_100) => None, |checks, ending| {
        let disturbed = Disturbed::Gateway(GATEWAY);
        checks.add_fault_window(disturbed, ending.sent_at, ending.ended_at);
        vec![run_of(ending, None)]
    };
    an_answer_beside_the_kill_of_another_gateway: ms(1_100) => Some(Invariant::Answered), |checks, ending| {
        let disturbed = Disturbed::Gateway(GATEWAY + 1);
        checks.add_fault_window(disturbed, ending.sent_at, ending.ended_at);
        vec![run_of(ending, None)]
    };
    a_request_that_crosses_a_close_is_fine: ms(5) => None, |_checks, _ending| { vec![] };
    a_request_that_is_closed_long_after_it_was_sent: ms(1_100) => Some(Invariant::Answered), |_checks, _ending| { vec![] };
    a_request_that_is_closed_at_once_after_it_ran: ms(5) => Some(Invariant::Answered), |_checks, ending| {
        vec![run_of(ending, None)]
    };
}

fn not_found() -> Reply {
    Reply { status: 404, is_complete: true, ..Reply::default() }
}

/// What is violated by a request that is not found on a path; before, the route was removed or not, and put again or not.
fn not_found_on(path: &'static str, removed: &[bool]) -> Option<Invariant> {
    let mut checks = Checks::default();
    for is_removed in removed {
        checks.silences().record_configuration(DEADLINE, *is_removed);
    }
    checks.record_request("id-1", true);
    checks.silences().record_request("id-1", path);
    checks.check_answer("id-1", &not_found());
    checks.violation().map(|it| it.invariant)
}

#[test]
fn a_route_may_be_unknown_only_while_it_is_removed() {
    let unknown = Some(Invariant::NoPermanentError);
    assert_eq!(not_found_on(REMOVED_PATH, &[false]), unknown);
    assert_eq!(not_found_on(REMOVED_PATH, &[false, true]), None);
    assert_eq!(not_found_on(REMOVED_PATH, &[false, true, false]), None);
    assert_eq!(not_found_on(MOVED_PATH, &[false, true]), unknown);
}

#[test]
fn a_run_at_a_service_of_another_route_is_found() {
    let mut checks = Checks::default();
    let run = |id: &str| Run {
        id: id.to_owned(),
        after: None,
        body: Vec::new(),
        headers: Vec::new(),
        at: Instant::now(),
    };
    checks.silences().record_request("id-1", MOVED_PATH);
    checks.silences().record_request("id-2", REMOVED_PATH);
    checks.check_services(&[run("id-1")]);
    assert_eq!(checks.violation(), None);
    checks.check_services(&[run("id-1"), run("id-2")]);
    assert_eq!(checks.violation().map(|it| it.invariant), Some(Invariant::AllowedService));
}

#[test]
fn a_plan_of_silences_is_the_same_each_time_and_has_all_kinds_of_faults() {
    let plan = Plan::of_silences(7, 60, SIZES);
    assert_eq!(plan, Plan::of_silences(7, 60, SIZES));
    let has = |is_kind: fn(&Fault) -> bool| plan.0.iter().any(|it| is_kind(&it.fault));
    assert!(has(|it| matches!(it, Fault::SilenceTarget(_))));
    assert!(has(|it| matches!(it, Fault::Target(..))));
    assert!(has(|it| matches!(it, Fault::ChangeLimits(..))));
    assert!(has(|it| matches!(it, Fault::MoveRoute)));
    assert!(has(|it| matches!(it, Fault::RemoveRoute)));
    assert!(has(|it| matches!(it, Fault::KillGateway(_))));
    assert!(has(|it| matches!(it, Fault::CrashTarget(_))));
}

/// A target that falls silent between two requests accepts the next one, and answers it whole once it goes on.
#[test]
fn a_target_that_fell_silent_answers_what_came_meanwhile() {
    let target = PlatformTarget::start("t-1", 3, Duration::ZERO).expect("a target starts");
    let silence = ms(300);
    let silent_since = Instant::now();
    target.fall_silent(silence);
    let mut stream = TcpStream::connect(target.address).expect("it accepts connections");
    let request = "POST /safe/a HTTP/1.1\r\nHost: a\r\nX-Request-Id: id-1\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("the request is sent");
    let mut first = [0; 1];
    stream.read_exact(&mut first).expect("an answer");
    assert!(silent_since.elapsed() >= silence);
    let mut answer = Vec::new();
    while !String::from_utf8_lossy(&answer).ends_with("0\r\n\r\n") {
        let mut chunk = [0; 1_024];
        let read = stream.read(&mut chunk).expect("more of the answer");
        assert!(read > 0, "the answer is whole");
        answer.extend_from_slice(&chunk[..read]);
    }
    assert_eq!(target.runs().len(), 1);
}
