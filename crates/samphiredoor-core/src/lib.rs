//! The decisions of samphiredoor, without I/O.
//!
//! Nothing here opens a socket, reads a clock, starts a thread or draws unseeded random numbers: time and seeds come
//! in as arguments, events go in, actions come out. Each subsystem is a state machine that one task of the process
//! owns, and that property tests drive directly.
//!
//! Truth lives in the platform's object store and is agreed by conditional update; whatever else is known (leases,
//! heartbeats, load) is a hint that makes things fast and never makes them right.

pub mod dispatch;
pub mod hints;
pub mod keys;
pub mod lease;
pub mod ledger;
pub mod manifest;
pub mod manifest_log;
pub mod membership;
pub mod ordered;
pub mod orders;
pub mod placement;
pub mod quarantine;
pub mod renewal;
pub mod routes;
pub mod store;
pub mod time;
pub mod verdict;
pub mod watch_cache;

use std::sync::Arc;

/// Name of a target, service, workspace, process, region or availability zone.
pub type Name = Arc<str>;
