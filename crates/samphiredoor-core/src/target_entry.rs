//! What discovery and its own answers tell of a target.

use std::net::SocketAddr;

use crate::{Name, dispatch::Location, names::name_hash, software_versions::StreamOrigin};

/// Whether a target accepts work, as reported by discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// Accepts work.
    Ready,
    /// Draining: finishes its requests and accepts no new ones.
    Leaving,
}

/// Entry of a target in discovery.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Unique name; a target usually gets another one when it restarts.
    pub name: Name,
    /// Service that it serves.
    pub service: Name,
    /// Address on which it accepts connections.
    pub address: SocketAddr,
    /// Region and availability zone.
    pub location: Location,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts work.
    pub state: TargetState,
    /// Version of its software; empty if its entry tells none.
    pub software_version: Name,
    /// Wall-clock start time, in milliseconds since 1970; a change means a restart under the same name.
    pub started_unix_ms: u64,
}

impl TargetEntry {
    /// Origin of a stream that begins at the target.
    pub fn stream_origin(&self) -> StreamOrigin {
        StreamOrigin {
            version: Name::clone(&self.software_version),
            service: name_hash(&self.service),
            target: name_hash(&self.name),
            target_started_unix_ms: self.started_unix_ms,
        }
    }
}

/// Load that a target reports in its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it is running.
    pub running: u32,
    /// Requests that wait at the target for a slot.
    pub waiting: u32,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// How long work takes on its host at this moment, in percent of the usual time; `None` if it does not report it.
    pub work_percent: Option<u32>,
}
