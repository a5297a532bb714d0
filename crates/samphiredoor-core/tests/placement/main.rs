//! Tests of the placement: specific scenarios, invariants under random events, and simulated fleets.

mod cells;
mod fair_shares;
mod fleet;
mod harness;
mod invariants;
mod job_admission;
mod overload;
#[path = "../property/mod.rs"]
mod property;
mod reserved_slots;
mod resumptions;
mod risk;
mod scenarios;
mod silences;
mod speed;
mod surges;
mod uneven_fleet;
