//! Which targets are left alone for a while.
//!
//! Discovery removes a dead target only after several missed heartbeats, and a target that is cut off stays listed.
//! Until then what this process sees decides: an unreachable target is left at once, one that loses answers after a
//! few in a row. Each pause is twice the one before, so that a target that is back is found soon and a dead one costs
//! little.

use super::AttemptEnd;

/// First pause after a failed connect; two round trips between regions and some, as a short reset is over by then.
const UNREACHABLE_PAUSE_MS: u64 = 250;
/// First pause after silence; a silent target has already cost its caller a second.
const SILENT_PAUSE_MS: u64 = 1_000;
/// Pause of a target whose address belongs to another by now; discovery corrects the entry in this time.
const WRONG_TARGET_PAUSE_MS: u64 = 5_000;
/// Longest pause: heartbeats of targets come about each second, three missed ones remove the entry.
const LONGEST_PAUSE_MS: u64 = 4_000;
/// Lost answers in a row that count as a sick target. Targets that lose one answer in twenty reach three in a row once
/// in 8,000 requests.
const LOST_IN_A_ROW: u32 = 3;
/// How long a target that refused for lack of room is taken as full; about the time in which one of its eight requests
/// ends.
const FULL_MS: u64 = 80;

/// What this process has seen of a target.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    lost_in_a_row: u32,
    pauses: u32,
    paused_until_ms: u64,
    full_until_ms: u64,
}

impl Health {
    /// Learns from the end of an attempt.
    pub fn learn(&mut self, now_ms: u64, end: AttemptEnd) {
        match end {
            AttemptEnd::Answered => *self = Health::default(),
            AttemptEnd::Refused => self.full_until_ms = now_ms + FULL_MS,
            AttemptEnd::WrongTarget => self.paused_until_ms = now_ms + WRONG_TARGET_PAUSE_MS,
            AttemptEnd::Unreachable => self.pause(now_ms, UNREACHABLE_PAUSE_MS),
            AttemptEnd::Silent => self.pause(now_ms, SILENT_PAUSE_MS),
            AttemptEnd::Lost => {
                self.lost_in_a_row += 1;
                if self.lost_in_a_row >= LOST_IN_A_ROW {
                    self.pause(now_ms, UNREACHABLE_PAUSE_MS);
                }
            }
            AttemptEnd::Cut => {}
        }
    }

    /// Whether the target is left alone.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms
    }

    /// Whether the target has just refused for lack of room.
    pub fn is_full(&self, now_ms: u64) -> bool {
        now_ms < self.full_until_ms
    }

    /// When the target is tried again.
    pub fn paused_until_ms(&self) -> u64 {
        self.paused_until_ms
    }

    fn pause(&mut self, now_ms: u64, first_ms: u64) {
        let pause_ms = (first_ms << self.pauses.min(4)).min(LONGEST_PAUSE_MS);
        self.pauses += 1;
        self.paused_until_ms = self.paused_until_ms.max(now_ms + pause_ms);
    }
}
