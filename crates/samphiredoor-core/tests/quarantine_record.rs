//! What is quarantined, as the store keeps it for gateways that start later.

use samphiredoor_core::crash_reports::{
    CrashVerdict, KnownSuspects, RecordedQuarantines, RecordedSuspect, Suspect, TrialOutcome,
    Trials,
};

const SERVICE: u64 = 5;
const NOW_MS: u64 = 1_000_000;
/// Time for which a quarantine is new.
const NEW_MS: u64 = 3_800;
/// Longest pause before a trial that may follow.
const PAUSE_MS: u64 = 200_000;

fn request() -> Suspect {
    Suspect::request(SERVICE, 7)
}

/// A suspect that has just been quarantined.
fn quarantined() -> KnownSuspects {
    let mut known = KnownSuspects::default();
    let trials = Trials::of_new(false);
    known.apply(NOW_MS, CrashVerdict { suspect: request(), crashes: 3, age_ms: 0, trials });
    known
}

fn record_of(known: &mut KnownSuspects, now_ms: u64) -> RecordedQuarantines {
    RecordedQuarantines::of(known.quarantined(now_ms))
}

fn only(record: &RecordedQuarantines) -> RecordedSuspect {
    *record.iter().next().expect("one is recorded")
}

#[test]
fn a_record_is_read_as_it_was_written() {
    let part = Suspect::part(SERVICE, u64::MAX);
    let verdicts = [request(), part].map(|suspect| CrashVerdict {
        suspect,
        crashes: 4,
        age_ms: 70,
        trials: Trials { version: 5, granted: 3, in_ms: 20_000 },
    });
    let record = RecordedQuarantines::of(verdicts.into_iter());
    let read = RecordedQuarantines::parse(&record.value()).expect("it can be read");
    assert_eq!(read, record);
    let suspects: Vec<Suspect> = read.iter().map(|it| it.suspect(SERVICE)).collect();
    assert_eq!(suspects, [request(), part]);
    let key = RecordedQuarantines::key(SERVICE);
    assert_eq!(RecordedQuarantines::service(&key.name), Some(SERVICE));
}

// Guards against trials that are granted again after all gateways were killed, as the store did not know of them.
#[test]
fn only_recorded_trials_may_be_granted_once_a_quarantine_is_not_new() {
    let mut known = quarantined();
    assert!(known.is_next_trial_recorded(NOW_MS + NEW_MS - 1, request()));
    let mut now_ms = NOW_MS + NEW_MS;
    for _ in 0..2 {
        assert!(!known.is_next_trial_recorded(now_ms, request()));
        let record = record_of(&mut known, now_ms);
        known.mark_recorded(request(), only(&record).trials);
        assert!(known.is_next_trial_recorded(now_ms, request()));
        now_ms += PAUSE_MS;
        let (outcome, _) = known.grant_trial(now_ms, &[request()]);
        assert_eq!(outcome, TrialOutcome::Granted);
    }
}

// Guards against a quarantine that counts as new after it was read, and has its first trials once more.
#[test]
fn trials_go_on_where_the_record_ends() {
    let record = record_of(&mut quarantined(), NOW_MS);
    let mut known = KnownSuspects::default();
    known.apply(NOW_MS, only(&record).verdict(SERVICE));
    assert!(known.is_quarantined(NOW_MS, request()));
    assert!(!known.is_next_trial_recorded(NOW_MS, request()));
    let (outcome, _) = known.grant_trial(NOW_MS + 15_000, &[request()]);
    assert_eq!(outcome, TrialOutcome::Denied);
}

// Guards against a write to the store for each crash and each repetition of a verdict.
#[test]
fn only_another_suspect_or_trial_changes_the_record() {
    let mut known = quarantined();
    let record = record_of(&mut known, NOW_MS);
    let again =
        CrashVerdict { suspect: request(), crashes: 9, age_ms: 0, trials: Trials::of_new(false) };
    known.apply(NOW_MS + 10_000, again);
    assert!(record_of(&mut known, NOW_MS + 10_000).has_same_trials(&record));
    known.grant_trial(NOW_MS + 20_000, &[request()]);
    assert!(!record_of(&mut known, NOW_MS + 20_000).has_same_trials(&record));
}
