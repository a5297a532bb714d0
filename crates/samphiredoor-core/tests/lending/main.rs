//! Tests of batch capacity: invariants under any order of events, and behaviour in specific scenarios.

mod division;
mod invariants;
#[path = "../property/mod.rs"]
mod property;
mod scenarios;
mod world;
