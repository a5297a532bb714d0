//! Plays a fleet in simulated time: the real decisions, before engines and callers that are only worked out.

pub mod bound;
mod check;
pub mod command;
pub mod engine;
mod events;
pub mod mechanism;
mod network;
pub mod outcome;
pub mod plot;
mod prices;
pub mod report;
pub mod scenario;
pub mod simulation;
pub mod traffic;
pub mod variants;
