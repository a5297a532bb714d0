//! Versions of the software of targets. Targets of several versions may serve one service side by side, and what two
//! versions write does not fit together: a stream may go on only at the version that began it. It also stays with its service
//! when its route is split between several or moves to another one, as versions of two services have nothing in common.
//!
//! A caller may take a stream up at a gateway that has never seen it, while the one that has may be gone. So the gateway that
//! begins a stream records its [`StreamOrigin`] and sends it to a few others, the [`holders`] of the stream, which any
//! gateway can find by the id of the caller's first attempt. Where all targets of a service have been of one version for
//! as long as a stream may have lasted, no record is needed, and none is sent ([`VersionHistory`]). What is neither recorded nor
//! follows from that is unknown, and the stream must not go on. The versions themselves are stored ([`RecordedVersions`]), for
//! the case that all gateways end at once.

mod history;
mod lookup;
mod recorded;
mod records;

pub use history::{MIN_HISTORY_MS, VersionHistory, history_ms};
pub use lookup::{Answer, Found, Lookup};
pub use recorded::{RecordedVersion, RecordedVersions};
pub use records::{MAX_RECORDS, OriginRecords, Record};

use smallvec::SmallVec;

use crate::{Name, rendezvous};

/// Gateways to which a record is sent. If half of many gateways are killed at once, an eighth of the streams that they had
/// begun is known to none of the others.
pub const HOLDERS: usize = 3;
/// Longest time for which the version of a stream is remembered after it began or went on.
pub const MAX_KEEP_MS: u64 = 300_000;
/// `Retry-After` of a request whose version is gone or unknown; another gateway may know more.
pub const RETRY_AFTER_MS: u64 = 120;

/// The run that began a stream, as far as it decides where the stream may go on.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StreamOrigin {
    /// Software version of its target; empty if the target's entry told none.
    pub version: Name,
    /// Hash of the name of its target's service, from [`crate::names::name_hash`]; 0 if it is not known.
    pub service: u64,
    /// Hash of the target's name, from [`crate::names::name_hash`]; 0 if only the version is known.
    pub target: u64,
    /// Wall-clock start time of the target, in milliseconds since 1970.
    pub target_started_unix_ms: u64,
}

impl StreamOrigin {
    /// Origin of which only the version is known.
    pub fn of_version(version: Name) -> StreamOrigin {
        StreamOrigin { version, service: 0, target: 0, target_started_unix_ms: 0 }
    }

    /// Whether the stream may go on at targets of a service. Those of another one may have the same version by chance.
    pub fn is_of_service(&self, service: u64) -> bool {
        self.service == 0 || self.service == service
    }

    /// Whether it is uncertain which version ran, as the target has started again under its name at another version: the
    /// entry from which the version was taken may have been out of date.
    pub fn is_ambiguous_after(&self, listed: &StreamOrigin) -> bool {
        self.target == listed.target
            && self.target_started_unix_ms != listed.target_started_unix_ms
            && self.version != listed.version
    }
}

/// Gateways, by the hashes of their names, that may hold the record of a stream: one more than it is sent to, as the gateway
/// that begins it may be among them and keeps its own.
pub fn holders(stream: u64, gateways: impl Iterator<Item = u64>) -> Holders {
    rendezvous::choose(stream, gateways, HOLDERS + 1)
}

/// Gateways by the hashes of their names.
pub type Holders = SmallVec<[u64; 2]>;
