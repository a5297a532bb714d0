//! Requests, and parts of prompts, that crash targets, in fleets of gateways of any size.
//!
//! A request may crash each target that runs it, and its caller sends it again to any gateway, under a new id. What stays
//! the same is its fingerprint. Or one part of a prompt crashes each target that answers a request with it: no two such
//! requests are alike, and sound ones share their caller and their other parts. Both are [`Suspect`]s of one mechanism.
//!
//! Rendezvous hashing gives each service two coordinators among the gateways. A gateway that loses a request together with
//! its target reports that to them, with the parts of its prompt, and a coordinator counts the crashes
//! ([`CrashCoordinator`]). So a crash costs two messages for each request that was on the target, whatever the size of
//! the fleet; a broadcast for each would be 920 messages for each of a target's eight requests in the largest one. One
//! coordinator has to see all suspects of a crash, or it could not tell which of them explains it.
//!
//! At its second crash a suspect is told to all gateways, and at its third, or its fourth for a part, it is quarantined
//! ([`KnownSuspects`]). A whole answer clears a suspect. So requests with the same content, of which many are on the way at
//! once, are not blamed for targets that crash beneath them. Each gateway remembers what was answered lately
//! ([`AnsweredKeys`]): it does not report that, and clears it if others do. So the parts that thousands of requests share
//! are not even suspected.
//!
//! All requests on a target are lost with its crash, so those that were lost beside its cause are only blamed for crashes
//! that no other suspect explains. A crash is judged when all its reports have had time to arrive. Targets that crash at
//! the same time, as in the loss of a rack, are one reason for suspicion, not several.

mod answered;
mod chance;
mod coordinator;
mod evidence;
mod known;
mod record;
mod rule;
mod run_times;
mod trials;

use std::collections::BTreeMap;

use smallvec::SmallVec;

pub use answered::AnsweredKeys;
pub use coordinator::{CrashCoordinator, CrashReport, SETTLE_MS};
pub use known::KnownSuspects;
pub use record::{RecordedQuarantines, RecordedSuspect};
pub use rule::QuarantineRule;
pub use run_times::{RunId, RunSuspects, RunTime, RunTimes};
pub use trials::{TrialOutcome, Trials};

/// Crashes after which all gateways are told of a suspect.
const SUSPECTED_CRASHES: u32 = 2;
/// Crashes after which a request is not sent any more.
const QUARANTINE_CRASHES: u32 = 3;
/// Crashes after which no request with a part is sent any more. That refuses requests of many callers.
const PART_QUARANTINE_CRASHES: u32 = 4;
/// Crashes after which a first part with further ones behind it is taken for their cause, however few others may be. Several
/// causes that crashed as many targets are known themselves.
const CERTAIN_PART_CRASHES: u32 = 12;
/// Crashes that a part has to explain beyond those of any one request: a request that crashes targets has the same parts
/// each time.
const PART_MARGIN: u32 = 2;
/// Most parts of a prompt that are considered.
pub const MAX_PARTS: usize = 16;
/// Time since its last crash for which a suspect is remembered that is not quarantined. Callers send a request again within
/// seconds.
const SUSPICION_MS: u64 = 60_000;
/// Time since its last crash for which a suspect is quarantined. After that it may crash some more targets.
pub const QUARANTINE_MS: u64 = 600_000;
/// Shortest interval at which verdicts are repeated: gateways in touch have to know them within four seconds.
const REPEAT_INTERVAL_MS: u64 = 3_000;
/// Bytes a second that a coordinator sends for that at most, of the three thousand for all control traffic.
const REPEAT_BYTES_PER_S: u64 = 1_000;
/// Size of a verdict with the headers of its datagram.
const VERDICT_BYTES: u64 = 100;
/// Most suspects that are remembered; those with the fewest crashes are dropped first, of these the oldest.
const MAX_SUSPECTS: usize = 1_000;

/// Hashes of parts of a prompt, in order.
pub type Parts = SmallVec<[u64; 4]>;

/// What may crash the targets of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Suspect {
    /// Hash of the service's name.
    pub service: u64,
    /// What it is.
    pub kind: SuspectKind,
    /// Fingerprint of the request, or hash of the part.
    pub hash: u64,
}

/// Kind of a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectKind {
    /// Requests with one fingerprint.
    Request,
    /// Requests with one part in their prompts.
    Part,
}

impl SuspectKind {
    /// Label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            SuspectKind::Request => "request",
            SuspectKind::Part => "part",
        }
    }
}

impl Suspect {
    /// Requests to a service with a fingerprint.
    pub fn request(service: u64, fingerprint: u64) -> Suspect {
        Suspect { service, kind: SuspectKind::Request, hash: fingerprint }
    }

    /// Requests to a service with a part in their prompts.
    pub fn part(service: u64, hash: u64) -> Suspect {
        Suspect { service, kind: SuspectKind::Part, hash }
    }
}

/// What of a request stays the same when it, or a part of its prompt, comes again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Content {
    /// Hash of the name of its service.
    pub service: u64,
    /// Fingerprint of the request; `None` for an item of a job, which never crashes targets by its content alone.
    pub fingerprint: Option<u64>,
    /// Parts of its prompt that other requests may share, [`MAX_PARTS`] at most.
    pub parts: Parts,
}

impl Content {
    /// The suspects that it consists of.
    pub fn suspects(&self) -> impl Iterator<Item = Suspect> {
        self.request().into_iter().chain(self.part_suspects())
    }

    /// The request itself, if it may be the cause of a crash.
    pub fn request(&self) -> Option<Suspect> {
        self.fingerprint.map(|it| Suspect::request(self.service, it))
    }

    /// The parts of its prompt.
    pub fn part_suspects(&self) -> impl Iterator<Item = Suspect> {
        self.parts.iter().map(|it| Suspect::part(self.service, *it))
    }
}

/// What a coordinator tells all gateways about a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashVerdict {
    /// Whom it is about.
    pub suspect: Suspect,
    /// Number of targets that it has crashed: 0 if it is cleared, 2 if it is suspected, more if it is quarantined.
    pub crashes: u32,
    /// Time since this was judged. Of a new quarantine, time since the request was sent that crashed the last target by which it
    /// became known.
    pub age_ms: u32,
    /// Trials of it, if it is quarantined.
    pub trials: Trials,
}

impl CrashVerdict {
    /// That a suspect is cleared.
    pub fn cleared(suspect: Suspect) -> CrashVerdict {
        CrashVerdict { suspect, crashes: 0, age_ms: 0, trials: Trials::default() }
    }
}

/// Interval at which a coordinator tells all others again what is quarantined. Verdicts may be lost on their way, also while the
/// other direction works, and a gateway that missed one sends the request to as many targets as its route allows.
pub fn repeat_interval_ms(suspects: usize, gateways: usize) -> u64 {
    let bytes = suspects as u64 * gateways as u64 * VERDICT_BYTES;
    REPEAT_INTERVAL_MS.max(bytes * 1_000 / REPEAT_BYTES_PER_S)
}

/// How long a suspect with this number of crashes is remembered.
fn remembered_ms(crashes: u32) -> u64 {
    if crashes >= QUARANTINE_CRASHES { QUARANTINE_MS } else { SUSPICION_MS }
}

/// Drops entries above [`MAX_SUSPECTS`], those with the fewest crashes and the oldest time first.
fn limit_len<T>(entries: &mut BTreeMap<Suspect, T>, crashes_and_time: impl Fn(&T) -> (u32, u64)) {
    while entries.len() > MAX_SUSPECTS {
        let least = entries.iter().min_by_key(|(_, it)| crashes_and_time(it));
        let Some(suspect) = least.map(|(suspect, _)| *suspect) else { return };
        entries.remove(&suspect);
    }
}
