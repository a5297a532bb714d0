//! Links between doors: Cap'n Proto RPC over TCP, one connection for calls in both directions.
//!
//! A link's tasks own its socket. Every wait and every size has a bound, and what cannot be read is refused with a log
//! line and a counter.

mod codec;
mod counted;
mod link;
mod service;

pub use link::{connect, listen};
