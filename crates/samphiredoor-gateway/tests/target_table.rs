//! Which removals of targets are held back after changes were missed.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use samphiredoor_core::{
    Name,
    dispatch::Location,
    placement::{TargetEntry, TargetState},
};
use samphiredoor_gateway::{target_table::TargetTable, watch::Interruption};

/// Longer than targets take to register again.
const GRACE_IS_OVER: Duration = Duration::from_secs(3);

fn target(number: usize) -> TargetEntry {
    let (region, availability_zone) = ("brisbane".into(), "north".into());
    TargetEntry {
        name: format!("t-{number}").into(),
        service: "reader".into(),
        address: ([127, 0, 0, 1], 80).into(),
        location: Location { region, availability_zone },
        slots: 8,
        state: TargetState::Ready,
        software_version: "v1".into(),
        started_unix_ms: 1,
    }
}

fn table(targets: usize) -> TargetTable {
    let mut table = TargetTable::default();
    (0..targets).for_each(|it| table.insert(target(it)));
    table
}

/// What happened before targets were removed.
enum Interrupted {
    No,
    Silence,
    Outage { ago: Duration },
}

const JUST_OVER: Interrupted = Interrupted::Outage { ago: Duration::ZERO };

/// Numbers of targets right after some of ten were removed, and once the grace period is over.
fn left_of_ten(interrupted: Interrupted, removed: usize) -> (usize, usize) {
    let (mut table, now) = (table(10), Instant::now());
    match interrupted {
        Interrupted::No => {}
        Interrupted::Silence => table.start_grace(Interruption::CallsSilent, now),
        Interrupted::Outage { ago } => {
            let until = now.checked_sub(ago).expect("the clock runs for long");
            table.start_grace(Interruption::StoreAway { until }, now);
        }
    }
    (0..removed).for_each(|it| table.remove(&target(it).name, now));
    let at_once = table.entries().len();
    table.remove_expired(now + GRACE_IS_OVER);
    (at_once, table.entries().len())
}

macro_rules! removals {
    ($($name:ident: $interruption:expr, $removed:expr => $left:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(left_of_ten($interruption, $removed), $left);
            }
        )*
    };
}

removals! {
    a_removal_takes_effect_at_once: Interrupted::No, 2 => (8, 8);
    // Guards against a service without targets, as their entries expired while the store was away.
    entries_that_may_have_expired_in_an_outage_are_kept_for_a_while: JUST_OVER, 10 => (10, 0);
    // Guards against requests to targets that left long after an outage, which others still report.
    a_removal_long_after_an_outage_takes_effect_at_once: Interrupted::Outage { ago: GRACE_IS_OVER }, 2 => (8, 8);
    // Guards against requests to targets that left while only the connections to the store were silent.
    a_removal_that_a_silent_watch_missed_takes_effect_at_once: Interrupted::Silence, 2 => (8, 8);
    // Guards against a service without targets after an outage in which no new call was made.
    most_targets_are_kept_for_a_while_after_a_silence: Interrupted::Silence, 10 => (5, 0);
}

#[test]
fn a_silence_after_an_outage_does_not_end_its_grace_period() {
    let (mut table, now) = (table(10), Instant::now());
    table.start_grace(Interruption::StoreAway { until: now }, now);
    table.start_grace(Interruption::CallsSilent, now);
    table.remove(&target(0).name, now);
    assert_eq!(table.entries().len(), 10);
}

#[test]
fn a_list_removes_what_it_lacks_by_the_same_rule() {
    let (mut table, now) = (table(10), Instant::now());
    table.start_grace(Interruption::CallsSilent, now);
    let listed: BTreeMap<Name, TargetEntry> =
        (2..10).map(|it| (target(it).name, target(it))).collect();
    table.replace(listed, now);
    assert_eq!(table.entries().len(), 8);
}

// Guards against a grace period that each further interruption begins anew.
#[test]
fn later_interruptions_do_not_prolong_the_grace_period_of_an_outage() {
    let (mut table, now) = (table(10), Instant::now());
    let outage = Interruption::StoreAway { until: now };
    table.start_grace(outage, now);
    table.remove(&target(0).name, now);
    table.start_grace(outage, now + GRACE_IS_OVER / 2);
    table.start_grace(outage, now + GRACE_IS_OVER);
    table.remove(&target(1).name, now + GRACE_IS_OVER);
    table.remove_expired(now + GRACE_IS_OVER);
    assert_eq!(table.entries().len(), 8);
}
