//! Links between gateways: Cap'n Proto RPC over TCP, with calls in both directions on one connection.
//!
//! A link's tasks own its socket. Every wait and every size is bounded; an unreadable message is refused, logged and
//! counted.

mod codec;
mod counted;
mod link;
mod service;

pub use link::{connect, listen};
