//! When a quarantined suspect is tried again.
//!
//! What is not sent can't be answered, so a quarantine without trials does not end although its suspect is sound. One request
//! at a time is sent as a trial, wherever in the fleet it comes; a whole answer ends the quarantine, and another crash leaves
//! it with a longer pause before the next trial.

/// Pauses before the trials of a suspect; the last one recurs. The first two trials take place only while a quarantine is
/// new, and gateways may not know it yet. Of the others two begin within three minutes: what crashes targets may crash three
/// more, and one is left for a request that is sent without being known as a trial. Each trial of it costs a target for some
/// seconds.
const PAUSES_MS: [u32; 5] = [1_000, 2_000, 16_000, 20_000, 200_000];
/// Number of trials that take place only while a quarantine is new.
const NEW_TRIALS: u8 = 2;
/// Time for which a quarantine is new, from when the request was sent that crashed the last target by which it became known.
pub(super) const NEW_MS: u64 = 3_800;
/// Pause before the first trial of a suspect that has crashed targets for long.
const LATE_PAUSE_MS: u32 = 1_000;
/// Version of trials that were read from the store: later than that of a new quarantine, and earlier than all that gateways
/// which were live meanwhile may know.
const RECORDED_VERSION: u16 = 2;
/// Pause after a trial that no target has run.
const RETURNED_PAUSE_MS: u32 = 500;

/// Trials of a suspect, as gateways tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Trials {
    /// Grows with each change.
    pub version: u16,
    /// Number of trials that were granted or skipped.
    pub granted: u8,
    /// Time until the next one may be granted.
    pub in_ms: u32,
}

impl Trials {
    /// The trials of a suspect that has just been quarantined. `is_late` if it has crashed targets for long.
    pub fn of_new(is_late: bool) -> Trials {
        match is_late {
            true => Trials { version: 1, granted: NEW_TRIALS, in_ms: LATE_PAUSE_MS },
            false => Trials { version: 1, granted: 0, in_ms: pause_ms(0) },
        }
    }

    /// The trials of a suspect of which only the record in the store is left.
    pub fn of_recorded(granted: u8) -> Trials {
        let granted = granted.max(NEW_TRIALS);
        Trials { version: RECORDED_VERSION, granted, in_ms: pause_ms(granted) }
    }

    /// Whether this state replaces another one. Of two that are equally new, as after grants by coordinators of which one had
    /// just started, the one with more trials holds.
    pub fn is_later_than(self, other: Trials) -> bool {
        (self.version, self.granted) > (other.version, other.granted)
    }

    /// The state after one was granted.
    pub fn after_grant(self, is_new: bool) -> Trials {
        let before = if is_new { self.granted } else { self.granted.max(NEW_TRIALS) };
        let granted = before.saturating_add(1);
        Trials { version: self.version.saturating_add(1), granted, in_ms: pause_ms(granted) }
    }

    /// The state after a granted one was given back.
    pub fn after_return(self) -> Trials {
        let granted = self.granted.saturating_sub(1);
        Trials { version: self.version.saturating_add(1), granted, in_ms: RETURNED_PAUSE_MS }
    }
}

/// Answer to the question whether a request may be sent as a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialOutcome {
    /// Another trial is under way, or the pause after it is not over.
    Denied,
    /// It may be sent, once.
    Granted,
    /// Whoever was asked does not know of the quarantine.
    Unknown,
}

fn pause_ms(granted: u8) -> u32 {
    PAUSES_MS[usize::from(granted).min(PAUSES_MS.len() - 1)]
}
