//! When a process that holds a job's results in memory may say that there are no more.

use samphiredoor_core::ordered::{LATE_WRITE_MS, LogEnd};

const TAKEN_OVER_MS: u64 = 1_000;
const READ_MS: u64 = 1_010;
const RESTARTED_MS: u64 = 20_000;

/// Log that was taken over from a live former owner and read once.
fn taken_from_a_live_owner() -> LogEnd {
    let mut end = LogEnd::unread(TAKEN_OVER_MS, true);
    end.set_others_append(true, READ_MS);
    end.seen(READ_MS);
    end
}

/// The same after the former owner has restarted.
fn former_owner_restarted() -> LogEnd {
    let mut end = taken_from_a_live_owner();
    end.set_others_append(true, RESTARTED_MS - 500);
    end.set_others_append(false, RESTARTED_MS);
    end
}

#[test]
fn the_end_of_a_new_log_is_known() {
    assert!(LogEnd::of_new_job().is_known_to(0));
    assert_eq!(LogEnd::of_new_job().settles_at_ms(), None);
}

#[test]
fn the_end_of_a_log_that_was_handed_over_is_known_once_read() {
    let mut end = LogEnd::unread(TAKEN_OVER_MS, false);
    end.set_others_append(false, TAKEN_OVER_MS);
    assert!(!end.is_known_to(TAKEN_OVER_MS));
    assert_eq!(end.settles_at_ms(), Some(TAKEN_OVER_MS));
    end.seen(READ_MS);
    assert!(end.is_known_to(RESTARTED_MS));
    assert_eq!(end.settles_at_ms(), None);
}

#[test]
fn with_another_writer_the_end_is_known_only_to_readers_before_the_last_read() {
    let end = taken_from_a_live_owner();
    assert!(end.is_known_to(READ_MS));
    assert!(!end.is_known_to(READ_MS + 1));
    assert_eq!(end.settles_at_ms(), None);
}

// Guards against an owner that answers from a log which it has not read since its former owner could last append.
#[test]
fn after_the_restart_of_a_former_owner_the_end_is_unknown_until_it_is_read_again() {
    let mut end = former_owner_restarted();
    let settles_at_ms = RESTARTED_MS + LATE_WRITE_MS;
    assert!(!end.is_known_to(RESTARTED_MS + 60_000));
    assert_eq!(end.settles_at_ms(), Some(settles_at_ms));
    end.seen(settles_at_ms - 1);
    assert!(!end.is_known_to(settles_at_ms));
    end.seen(settles_at_ms);
    assert!(end.is_known_to(RESTARTED_MS + 60_000));
}

#[test]
fn a_former_owner_that_has_ended_before_the_takeover_may_still_write_late() {
    let mut end = LogEnd::unread(TAKEN_OVER_MS, true);
    end.set_others_append(false, TAKEN_OVER_MS);
    end.seen(READ_MS);
    assert!(!end.is_known_to(READ_MS + 1));
    assert_eq!(end.settles_at_ms(), Some(TAKEN_OVER_MS + LATE_WRITE_MS));
}

// Guards against an owner that answers from memory although its last write may have taken effect.
#[test]
fn after_an_unanswered_write_the_end_is_unknown() {
    let mut end = LogEnd::of_new_job();
    end.write_unanswered(READ_MS);
    assert!(!end.is_known_to(READ_MS));
    assert_eq!(end.settles_at_ms(), Some(READ_MS + LATE_WRITE_MS));
    end.seen(READ_MS + 1);
    assert!(!end.is_known_to(READ_MS + 2), "the write may still take effect");
    end.segment_known();
    assert!(end.is_known_to(RESTARTED_MS));
}

#[test]
fn an_older_answer_does_not_replace_a_newer_one() {
    let mut end = taken_from_a_live_owner();
    end.seen(RESTARTED_MS);
    end.seen(READ_MS);
    assert!(end.is_known_to(RESTARTED_MS));
}

#[test]
fn a_segment_of_another_process_makes_the_end_unknown() {
    let mut end = LogEnd::of_new_job();
    end.other_writer_seen(READ_MS);
    end.seen(READ_MS);
    assert!(end.is_known_to(READ_MS));
    assert!(!end.is_known_to(READ_MS + 1));
    assert_eq!(end.settles_at_ms(), Some(READ_MS + LATE_WRITE_MS));
}
