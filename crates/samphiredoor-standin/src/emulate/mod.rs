//! Simulates a fleet in simulated time: gateways run the placement of `samphiredoor-core`; engines, callers and the
//! network are models. Compares mechanisms of the placement with each other and with an upper bound.

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
