//! The core logic of samphiredoor, without I/O.
//!
//! Nothing here opens a socket, reads a clock, starts a thread or draws unseeded random numbers: time and seeds are
//! passed in as arguments, and events go in and actions come out. Each subsystem is a state machine that is owned by
//! one task of the process and that property tests drive directly.
//!
//! The platform's object store is the source of truth, and processes agree on its content by conditional updates. All
//! other state (leases, heartbeats, load) is advisory: it makes the system faster, and correctness never depends on it.

pub mod access;
pub mod crash_reports;
pub mod dispatch;
pub mod hints;
pub mod idempotency;
mod key_digest;
pub mod lease;
pub mod ledger;
pub mod manifest;
pub mod manifest_revisions;
pub mod membership;
pub mod names;
pub mod ordered;
pub mod orders;
pub mod overload;
pub mod placement;
pub mod presence;
pub mod quarantine;
pub mod rate_limit;
pub mod rendezvous;
pub mod renewal;
pub mod requests;
pub mod routes;
pub mod silence;
pub mod software_versions;
pub mod store;
pub mod target_entry;
pub mod time;
pub mod verdict;
pub mod watch_cache;

use std::sync::Arc;

/// Name of a target, service, workspace, process, region or availability zone.
pub type Name = Arc<str>;
