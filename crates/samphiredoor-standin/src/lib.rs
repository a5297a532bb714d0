//! Stand-ins that speak the users' platform's published pages: its store, and replicas behind it.
//!
//! They keep everything in memory and can be told to misbehave in the ways that the pages allow, so that the gateway is
//! tested against them without the platform.

pub mod platform_store;
pub mod platform_target;
