//! Targets that send nothing for a while: what becomes of the attempt there.
//!
//! A sound target may send nothing for a second or so and go on, so silence alone is no loss. It ends an attempt only if the
//! request may run again and another target has a free slot for it. Otherwise the attempt lasts until its deadline, unless the
//! target is known to be gone: a sound target accepts connections while it is silent, one that has ended refuses them, and one
//! that is cut off does not answer. Discovery is no such sign: a target that leaves is removed from the list while it still
//! works. It only bounds the wait for a process that is frozen, whose kernel goes on to accept connections.

/// Time without data from a target after which it counts as silent. A working target sends output every 25 ms and a full one
/// starts within 300 ms.
pub const SILENCE_LIMIT_MS: u64 = 1_000;
/// Time between two checks of a silent target. A slot that becomes free elsewhere is used soon, and a target that is gone is
/// left within the two seconds that callers of streams bear.
pub const CHECK_INTERVAL_MS: u64 = 250;
/// Refused probes in a row after which a target is gone. A single one may fall into a restart of what forwards connections.
const REFUSED_PROBES: u32 = 2;
/// Failed probes in a row after which a target is gone. An unanswered one may be a lost packet or a short cut of the link.
const FAILED_PROBES: u32 = 3;
/// Time for which a target may be silent and not listed at once. One that leaves serves for some seconds after its removal
/// from the list, and then closes its connections; a frozen process does not. At 2 s, answers of targets that were leaving and
/// paused were cut.
const UNLISTED_LIMIT_MS: u64 = 10_000;

/// Whether a request may be sent to another target once its attempt has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRun {
    /// It may.
    Allowed,
    /// Its route allows no further attempt.
    AttemptsUsed,
    /// Its route allows a single run.
    RunsOnce,
    /// Events were forwarded, and no other target can go on after them.
    NotResumable,
    /// Too little time is left, or it was sent too often.
    Late,
}

impl NextRun {
    /// Label in logs.
    pub fn label(self) -> &'static str {
        match self {
            NextRun::Allowed => "allowed",
            NextRun::AttemptsUsed => "attempts_used",
            NextRun::RunsOnce => "runs_once",
            NextRun::NotResumable => "not_resumable",
            NextRun::Late => "late",
        }
    }
}

/// Whether a target that a request was not tried at can run it at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OtherTarget {
    /// One has a free slot and is not in backoff.
    FreeSlot,
    /// There is none.
    None,
}

impl OtherTarget {
    /// Label in logs.
    pub fn label(self) -> &'static str {
        match self {
            OtherTarget::FreeSlot => "free_slot",
            OtherTarget::None => "none",
        }
    }
}

/// Result of a connection that was opened to find out whether a target is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// It was accepted.
    Accepted,
    /// It was refused.
    Refused,
    /// There was no answer in time.
    Unanswered,
}

/// Failed probes of a target since the last one that was accepted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FailedProbes {
    refused: u32,
    unanswered: u32,
}

impl FailedProbes {
    /// Adds the result of the next probe.
    pub fn record(&mut self, probe: Probe) {
        match probe {
            Probe::Accepted => *self = FailedProbes::default(),
            Probe::Refused => self.refused += 1,
            Probe::Unanswered => self.unanswered += 1,
        }
    }

    fn show_end(&self) -> bool {
        self.refused >= REFUSED_PROBES || self.refused + self.unanswered >= FAILED_PROBES
    }
}

/// What discovery says of the process that a request was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// It is listed.
    Listed,
    /// Its target is listed with a later start.
    Restarted,
    /// Its target is not listed.
    Unlisted,
}

/// What is known of a silent target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Signs {
    /// Whether discovery lists it.
    pub listing: Listing,
    /// Time for which it has been silent and not listed.
    pub unlisted_ms: u64,
    /// Probes of it that failed.
    pub failed_probes: FailedProbes,
}

/// What becomes of an attempt at a silent target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It goes on.
    Wait,
    /// It ends, and the request goes to the other target.
    Move,
    /// It ends, as the target is gone.
    Gone(GoneSign),
}

/// Why a target counts as gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GoneSign {
    /// It accepts no connections.
    NoConnection,
    /// It has started again.
    Restarted,
    /// It has been silent and not listed for long.
    Unlisted,
}

impl GoneSign {
    /// Label in logs.
    pub fn label(self) -> &'static str {
        match self {
            GoneSign::NoConnection => "no_connection",
            GoneSign::Restarted => "restarted",
            GoneSign::Unlisted => "unlisted",
        }
    }
}

/// Decides on an attempt at a silent target. `held` is another target at which a slot is held for the request, which is
/// done only if it may run again.
pub fn verdict(held: OtherTarget, signs: Signs) -> Verdict {
    match (held, gone_sign(signs)) {
        (OtherTarget::FreeSlot, _) => Verdict::Move,
        (OtherTarget::None, Some(sign)) => Verdict::Gone(sign),
        (OtherTarget::None, None) => Verdict::Wait,
    }
}

fn gone_sign(signs: Signs) -> Option<GoneSign> {
    match signs.listing {
        _ if signs.failed_probes.show_end() => Some(GoneSign::NoConnection),
        Listing::Restarted => Some(GoneSign::Restarted),
        Listing::Unlisted if signs.unlisted_ms >= UNLISTED_LIMIT_MS => Some(GoneSign::Unlisted),
        Listing::Unlisted | Listing::Listed => None,
    }
}

/// How the silence of a target has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceEnd {
    /// It sent data again.
    Resumed,
    /// The request went on at another target.
    Moved,
    /// The target is gone, or its connection failed.
    Gone,
    /// The time of the request was up.
    Deadline,
}

impl SilenceEnd {
    /// All ends, so that their counters are exported before they first occur.
    pub const ALL: [SilenceEnd; 4] =
        [SilenceEnd::Resumed, SilenceEnd::Moved, SilenceEnd::Gone, SilenceEnd::Deadline];

    /// Label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            SilenceEnd::Resumed => "resumed",
            SilenceEnd::Moved => "moved",
            SilenceEnd::Gone => "gone",
            SilenceEnd::Deadline => "deadline",
        }
    }
}
