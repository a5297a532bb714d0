//! Records of streams are bounded by time and number.

use samphiredoor_core::software_versions::{MAX_RECORDS, OriginRecords, Record};

use super::origin;

fn record(until_ms: u64) -> Record {
    Record { service: 3, origin: Some(origin("v1", 1, 10)), until_ms, is_unsent: true }
}

#[test]
fn a_record_expires_when_its_caller_has_left() {
    let mut records = OriginRecords::default();
    records.insert(0, 7, record(100));
    assert!(records.get(99, 7).is_some());
    assert!(records.get(100, 7).is_none());
    records.insert(100, 8, record(200));
    assert_eq!(records.len(), 1);
}

#[test]
fn the_records_that_expire_first_give_way() {
    let mut records = OriginRecords::default();
    for stream in 0..MAX_RECORDS as u64 + 10 {
        records.insert(0, stream, record(1_000 + stream));
    }
    assert_eq!(records.len(), MAX_RECORDS);
    assert!(records.get(0, 9).is_none());
    assert!(records.get(0, 10).is_some());
}

#[test]
fn a_stream_that_goes_on_is_remembered_for_longer() {
    let mut records = OriginRecords::default();
    records.insert(0, 7, record(100));
    records.insert(50, 7, record(300));
    assert!(records.get(200, 7).is_some());
    assert_eq!(records.len(), 1);
}

/// Guards against a version that was taken from an entry that was out of date: the target has started again at another one.
#[test]
fn the_origin_is_uncertain_once_its_target_is_listed_with_another_start_and_version() {
    let mut records = OriginRecords::default();
    records.insert(0, 7, record(1_000));
    records.mark_ambiguous(&[origin("v1", 1, 20), origin("v2", 2, 20)]);
    assert!(records.get(0, 7).is_some_and(|it| it.origin.is_some()));
    records.mark_ambiguous(&[origin("v2", 1, 20)]);
    assert!(records.get(0, 7).is_some_and(|it| it.origin.is_none()));
    records.insert(10, 7, record(1_000));
    assert!(records.get(10, 7).is_some_and(|it| it.origin.is_none()), "it stays uncertain");
}

/// Guards against streams that were begun before a release and whose versions nobody else knows during it.
#[test]
fn records_that_were_not_sent_can_be_taken_once() {
    let mut records = OriginRecords::default();
    records.insert(0, 7, record(1_000));
    records.insert(0, 8, Record { service: 4, ..record(1_000) });
    records.insert(0, 9, record(5));
    let taken = records.take_unsent(10, |it| it.service == 3);
    assert_eq!(taken.iter().map(|(stream, _)| *stream).collect::<Vec<_>>(), [7]);
    assert!(records.take_unsent(10, |it| it.service == 3).is_empty());
}
