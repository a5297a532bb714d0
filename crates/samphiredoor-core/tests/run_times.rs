//! For how long content ran without a crash, as a gateway counts it.

use samphiredoor_core::crash_reports::{RunSuspects, RunTime, RunTimes, Suspect, SuspectKind};

const PART: Suspect = Suspect { service: 5, kind: SuspectKind::Part, hash: 7 };
const START_MS: u64 = 100_000;
/// Time for which runs are remembered.
const REMEMBERED_MS: u64 = 10_000;

fn part() -> RunSuspects {
    RunSuspects::from_elem(PART, 1)
}

fn run_time(longest_ms: u32, total_ms: u32, period_ms: u32) -> Option<RunTime> {
    Some(RunTime { longest_ms, total_ms, period_ms })
}

#[test]
fn runs_that_go_on_and_that_have_ended_count() {
    let mut times = RunTimes::default();
    let ended = times.began(START_MS, part(), 1);
    times.began(START_MS + 100, part(), 2);
    times.survived(START_MS + 300, ended);
    let taken = times.take(START_MS + 500, PART);
    assert_eq!(taken, run_time(400, 700, REMEMBERED_MS as u32));
}

// Guards against a part whose runs are many and at one target, and whose time counts many times over.
#[test]
fn runs_at_one_target_at_the_same_time_count_once() {
    let mut times = RunTimes::default();
    (0..8).for_each(|it| _ = times.began(START_MS + it * 10, part(), 1));
    let taken = times.take(START_MS + 1_000, PART);
    assert_eq!(taken, run_time(1_000, 1_000, REMEMBERED_MS as u32));
}

// Guards against time that is told twice.
#[test]
fn time_is_taken_once() {
    let mut times = RunTimes::default();
    let run = times.began(START_MS, part(), 1);
    times.take(START_MS + 400, PART);
    assert_eq!(times.take(START_MS + 900, PART), run_time(900, 500, 500));
    times.survived(START_MS + 900, run);
    assert_eq!(times.take(START_MS + 2_000, PART), None);
}

// Guards against content that crashes targets and whose lost runs count as time without a crash.
#[test]
fn lost_runs_do_not_count() {
    let mut times = RunTimes::default();
    let run = times.began(START_MS, part(), 1);
    times.lost(run);
    assert_eq!(times.take(START_MS + 400, PART), None);
}

#[test]
fn runs_with_other_content_do_not_count() {
    let mut times = RunTimes::default();
    times.began(START_MS, RunSuspects::from_elem(Suspect { hash: 8, ..PART }, 1), 1);
    assert_eq!(times.take(START_MS + 400, PART), None);
}

// Guards against memory that grows with the number of runs.
#[test]
fn runs_that_ended_long_ago_are_forgotten() {
    let mut times = RunTimes::default();
    for number in 0..2_000 {
        let run = times.began(START_MS + number, part(), number);
        times.survived(START_MS + number + 1, run);
    }
    let taken = times.take(START_MS + 2_001, PART);
    assert_eq!(taken, run_time(1, 1_000, REMEMBERED_MS as u32));
    let run = times.began(START_MS + 3_000, part(), 1);
    times.survived(START_MS + 3_001, run);
    assert_eq!(times.take(START_MS + 3_001 + REMEMBERED_MS, PART), None);
}
