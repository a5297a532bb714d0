//! When the version of a stream follows from the targets alone.

use samphiredoor_core::{
    Name,
    software_versions::{
        MAX_KEEP_MS, MIN_HISTORY_MS, RecordedVersion, RecordedVersions, VersionHistory, history_ms,
    },
    time::Now,
};

const SERVICE: u64 = 3;

fn list(history: &mut VersionHistory, now_ms: u64, versions: &[&str]) {
    let versions: Vec<Name> = versions.iter().map(|it| Name::from(*it)).collect();
    history.set_current(now_ms, true);
    history.set_listed(now_ms, versions.iter().map(|it| (SERVICE, it)));
}

fn sole(history: &VersionHistory, now_ms: u64) -> Option<&str> {
    history.sole(now_ms, SERVICE, MIN_HISTORY_MS).map(|it| &**it)
}

fn only_known(history: &VersionHistory, now_ms: u64) -> Option<&str> {
    history.only_known(now_ms, SERVICE, MIN_HISTORY_MS).map(|it| &**it)
}

/// Guards against a process that has just started and takes the version that is left for that of all streams.
#[test]
fn a_version_is_sole_only_after_it_was_known_for_longer_than_streams_last() {
    let mut history = VersionHistory::default();
    list(&mut history, 1_000, &["v1", "v1"]);
    assert_eq!(sole(&history, 1_000 + MIN_HISTORY_MS - 1), None);
    assert_eq!(only_known(&history, 1_000), Some("v1"));
    assert_eq!(sole(&history, 1_000 + MIN_HISTORY_MS), Some("v1"));
}

/// Guards against streams of a version whose last target has just gone.
#[test]
fn a_version_is_remembered_after_its_last_target_has_gone() {
    let mut history = VersionHistory::default();
    list(&mut history, 0, &["v1"]);
    list(&mut history, 30_000, &["v1", "v2"]);
    assert_eq!(sole(&history, 30_000), None);
    list(&mut history, 40_000, &["v2"]);
    assert_eq!(sole(&history, 40_000 + MIN_HISTORY_MS - 1), None);
    assert_eq!(only_known(&history, 40_000 + MIN_HISTORY_MS - 1), None);
    assert_eq!(sole(&history, 40_000 + MIN_HISTORY_MS), Some("v2"));
}

/// Guards against streams of routes with long timeouts, which begin at a version and are taken up long after its last target
/// has gone.
#[test]
fn a_version_is_remembered_for_as_long_as_streams_of_its_route_may_last() {
    for timeout_ms in [60_000, MAX_KEEP_MS] {
        let within_ms = history_ms(timeout_ms);
        assert!(within_ms > timeout_ms);
        let mut history = VersionHistory::default();
        list(&mut history, 0, &["v1"]);
        let changed_ms = 2 * within_ms;
        list(&mut history, changed_ms, &["v2"]);
        for now_ms in [changed_ms + MIN_HISTORY_MS, changed_ms + within_ms - 1] {
            list(&mut history, now_ms, &["v2"]);
            assert_eq!(sole(&history, now_ms), Some("v2"));
            assert_eq!(history.sole(now_ms, SERVICE, within_ms), None);
            assert_eq!(history.only_known(now_ms, SERVICE, within_ms), None);
        }
        let sole = history.sole(changed_ms + within_ms, SERVICE, within_ms);
        assert_eq!(sole.map(|it| &**it), Some("v2"));
    }
}

/// Guards against conclusions from a history that doesn't reach back to the begin of a stream.
#[test]
fn nothing_follows_for_streams_that_last_longer_than_versions_are_remembered() {
    let mut history = VersionHistory::default();
    list(&mut history, 0, &["v1"]);
    let now_ms = 100 * MAX_KEEP_MS;
    assert_eq!(sole(&history, now_ms), Some("v1"));
    assert_eq!(history.sole(now_ms, SERVICE, history_ms(MAX_KEEP_MS + 1)), None);
    assert_eq!(history.sole(now_ms, SERVICE, history_ms(u64::MAX)), None);
}

/// Guards against lists that are out of date while the store is lost.
#[test]
fn nothing_follows_while_changes_may_be_missed() {
    let mut history = VersionHistory::default();
    list(&mut history, 0, &["v1"]);
    history.set_current(50_000, false);
    assert_eq!(sole(&history, 50_000), None);
    assert_eq!(only_known(&history, 50_000), Some("v1"));
    history.set_current(60_000, true);
    assert_eq!(sole(&history, 60_000 + MIN_HISTORY_MS - 1), None);
    assert_eq!(sole(&history, 60_000 + MIN_HISTORY_MS), Some("v1"));
}

#[test]
fn a_service_without_targets_has_no_version() {
    let mut history = VersionHistory::default();
    list(&mut history, 0, &[]);
    assert_eq!((sole(&history, 90_000), only_known(&history, 90_000)), (None, None));
}

/// Wall-clock time at which processes start in the tests below.
const START_UNIX_MS: u64 = 1_800_000_000_000;

/// What an earlier process recorded of versions that it still listed, or whose last targets had left before the start.
fn recorded(versions: &[(&str, Option<u64>)]) -> RecordedVersions {
    let mut all = RecordedVersions::default();
    for (version, left_ms_ago) in versions {
        let left_unix_ms = left_ms_ago.map(|it| START_UNIX_MS - it);
        all.insert(SERVICE, &Name::from(*version), RecordedVersion { left_unix_ms });
    }
    all
}

/// History of a process that lists `v2` right after its start, and knows what was recorded before.
fn started_with(past: &[(&str, Option<u64>)]) -> VersionHistory {
    let mut history = VersionHistory::default();
    list(&mut history, 100, &["v2"]);
    assert!(history.lacks_past(100, MIN_HISTORY_MS));
    history.add_past(Now::new(100, START_UNIX_MS + 100), &recorded(past));
    assert!(!history.lacks_past(100, MIN_HISTORY_MS));
    history
}

macro_rules! restarts {
    ($($name:ident: $past:expr => $version:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let history = started_with(&$past);
                assert_eq!(only_known(&history, 100), $version);
                assert_eq!(sole(&history, 100), $version);
            }
        )*
    };
}

restarts! {
    // Guards against streams that go on at the version that is left after all gateways were killed.
    a_version_that_was_listed_before_the_restart_may_have_begun_streams: [("v1", None), ("v2", None)] => None;
    a_version_that_nobody_has_seen_leave_may_have_begun_streams: [("v1", None)] => None;
    a_version_that_left_shortly_before_the_restart_may_have_begun_streams: [("v1", Some(15_000)), ("v2", None)] => None;
    // Guards against refused streams of a service that never had but one version.
    the_only_version_before_the_restart_is_that_of_all_streams: [("v2", None)] => Some("v2");
    a_version_that_left_long_before_the_restart_has_begun_none: [("v1", Some(60_000)), ("v2", None)] => Some("v2");
    no_stream_was_begun_before_the_first_start: [] => Some("v2");
}

/// Guards against a version that counts as sole although changes were missed after the restart.
#[test]
fn what_was_recorded_does_not_cover_a_later_loss_of_the_store() {
    let mut history = started_with(&[("v2", None)]);
    history.set_current(200, false);
    history.set_current(300, true);
    assert_eq!(sole(&history, 400), None);
}

#[test]
fn a_process_that_has_run_for_long_needs_no_record() {
    let mut history = VersionHistory::default();
    list(&mut history, 0, &["v1"]);
    assert!(history.lacks_past(MIN_HISTORY_MS - 1, MIN_HISTORY_MS));
    assert!(!history.lacks_past(MIN_HISTORY_MS, MIN_HISTORY_MS));
}

#[test]
fn a_new_record_keeps_what_left_lately() {
    let older = recorded(&[("v0", Some(10_000_000)), ("v1", None), ("v2", None)]);
    let new = recorded(&[("v2", None)]).with_older(&older, START_UNIX_MS);
    let expected = recorded(&[("v1", Some(0)), ("v2", None)]);
    assert_eq!(new, expected);
    assert_eq!(RecordedVersions::parse(&new.value()), Some(expected));
    assert!(!new.has_same_versions(&older));
}

macro_rules! listed_versions {
    ($($name:ident: $stored:expr, $listed:expr => $lists_all:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (stored, listed) = (recorded(&$stored), recorded(&$listed));
                assert_eq!(stored.lists_all_of(&listed), $lists_all);
                assert!(stored.with_listed_of(&listed).lists_all_of(&listed));
            }
        )*
    };
}

listed_versions! {
    a_record_without_versions_lists_none: [], [("v1", None)] => false;
    a_record_lists_its_versions: [("v1", None), ("v2", None)], [("v1", None)] => true;
    // Guards against a version that has come back and counts as left.
    a_version_that_has_left_is_not_listed: [("v1", Some(5_000))], [("v1", None)] => false;
    versions_that_have_left_need_not_be_listed: [("v2", None)], [("v1", Some(5_000)), ("v2", None)] => true;
}
