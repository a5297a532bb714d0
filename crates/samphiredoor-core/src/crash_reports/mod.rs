//! Requests that crash targets, in fleets of gateways of any size.
//!
//! A request may crash each target that runs it, and its caller sends it again to any gateway, under a new id. What stays
//! the same is its fingerprint. Rendezvous hashing gives each fingerprint two coordinators among the gateways. A gateway
//! that loses a request together with its target reports that to them, and a coordinator counts the crashes
//! ([`CrashCoordinator`]). So a crash costs two messages for each request that was on the target, whatever the size of
//! the fleet; a broadcast for each would be 920 messages for each of a target's eight requests in the largest one.
//!
//! At its second crash a request is suspected, and at its third it is quarantined; only then does the coordinator tell all
//! gateways ([`KnownSuspects`]). A whole answer clears a suspected request. So requests with the same content, of which
//! many are on the way at once, are not blamed for targets that crash beneath them. Each gateway remembers what was answered
//! lately ([`AnsweredKeys`]): it does not report it, and clears it if others do.
//!
//! All requests on a target are lost with its crash, so those that were lost beside its cause are only blamed for crashes
//! that no other request explains. A crash is judged when all its reports have had time to arrive. Targets that crash at
//! the same time, as in the loss of a rack, are one reason for suspicion, not several.

mod answered;
mod coordinator;
mod known;

use std::collections::BTreeMap;

pub use answered::AnsweredKeys;
pub use coordinator::{CrashCoordinator, CrashReport, SETTLE_MS};
pub use known::KnownSuspects;

/// Crashes after which all gateways are told that a request is suspected.
const SUSPECTED_CRASHES: u32 = 2;
/// Crashes after which a request is not sent any more.
const QUARANTINE_CRASHES: u32 = 3;
/// Time since its last crash for which a request is remembered that is not quarantined. Callers send a request again within
/// seconds.
const SUSPICION_MS: u64 = 60_000;
/// Time since its last crash for which a request is quarantined. After that it may crash three more targets.
pub const QUARANTINE_MS: u64 = 600_000;
/// Most requests that are remembered; those with the fewest crashes are dropped first, of these the oldest.
const MAX_SUSPECTS: usize = 1_000;

/// What a coordinator tells all gateways about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashVerdict {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Number of targets that it has crashed; 0 if it is cleared.
    pub crashes: u32,
    /// Time since this was judged.
    pub age_ms: u32,
}

/// How long a request with this number of crashes is remembered.
fn remembered_ms(crashes: u32) -> u64 {
    if crashes >= QUARANTINE_CRASHES { QUARANTINE_MS } else { SUSPICION_MS }
}

/// Drops entries above [`MAX_SUSPECTS`], those with the fewest crashes and the oldest time first.
fn limit_len<T>(entries: &mut BTreeMap<u64, T>, crashes_and_time: impl Fn(&T) -> (u32, u64)) {
    while entries.len() > MAX_SUSPECTS {
        let least = entries.iter().min_by_key(|(_, it)| crashes_and_time(it));
        let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) else { return };
        entries.remove(&fingerprint);
    }
}
