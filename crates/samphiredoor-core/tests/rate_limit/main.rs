//! Tests of rate limits: single parts, and simulated fleets of gateways under faults.

mod bucket;
mod coordinator;
mod coordinators;
mod fleet;
mod promises;
#[path = "../property/mod.rs"]
mod property;
mod requester;
