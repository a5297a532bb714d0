//! An item of a job crashes each replica that begins to run it. How often is it sent to replicas later than `stableMs` after its
//! third crash?

use std::time::{Duration, Instant};

use crate::{
    Verdict,
    fleet::{CRASHING_BODY, Fleet},
    has_trouble,
    record::Record,
};

/// `stableMs` of the small deployments.
pub const STABLE: Duration = Duration::from_secs(4);
/// Retries that the rule allows.
pub const MOST_RETRIES: usize = 3;
/// The rules' time in which machines come in touch after their start, with some margin.
const IN_TOUCH: Duration = Duration::from_secs(6);
/// Longer than `maxWaitS`, after which the item may be given up.
const WATCHED: Duration = Duration::from_secs(64);

pub fn run(record: &Record) -> Verdict {
    let mut fleet = Fleet::start(record, has_trouble());
    fleet.pass(IN_TOUCH);
    let status = fleet.submit(0, "crashing", &["crashing-0".to_owned()], CRASHING_BODY);
    assert_eq!(status, 202, "the job is accepted");
    fleet.pass(WATCHED);
    judge(record, &fleet, Duration::ZERO)
}

/// Counts the retries later than `stableMs` after the third crash and later than `since` after the start.
pub fn judge(record: &Record, fleet: &Fleet<'_>, since: Duration) -> Verdict {
    let start = Instant::now() - record.elapsed();
    let runs = fleet.crashing_runs();
    for (run, replica) in &runs {
        record.note_at(run.at, format!("request {} reaches {}", run.id, replica.name));
    }
    record.note(format!("{} sound jobs are not finished", fleet.unfinished_jobs()));
    let crashes: Vec<_> = runs.iter().filter(|(_, it)| it.crashed_at().is_some()).collect();
    let Some((third, _)) = crashes.get(2) else {
        record.note(format!("{} crashes: the rule held", crashes.len()));
        return Verdict::Held;
    };
    let later =
        runs.iter().filter(|(run, _)| run.at > third.at + STABLE && run.at > start + since).count();
    record.note(format!(
        "{} crashes, {later} retries later than 4 s after the third; {MOST_RETRIES} are allowed",
        crashes.len()
    ));
    if later > MOST_RETRIES { Verdict::Broken } else { Verdict::Held }
}
