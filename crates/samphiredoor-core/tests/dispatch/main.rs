//! Tests of the dispatcher: invariants under any order of events, and behaviour in specific scenarios.

mod harness;
mod invariants;
mod leaving;
mod limits;
#[path = "../property/mod.rs"]
mod property;
mod routing;
