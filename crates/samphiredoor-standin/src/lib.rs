//! Stand-ins that speak the users' platform's published pages: its store, and replicas behind it; and links to them.
//!
//! They keep everything in memory and can be told to misbehave in the ways that the pages allow, so that the gateway is
//! tested against them without the platform.

pub mod emulate;
pub mod fleet;
pub mod http;
pub mod link;
pub mod platform_store;
pub mod platform_target;
pub mod process;
pub mod soak;
