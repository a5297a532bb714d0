//! Tests of batch capacity: invariants under any order of events, and behaviour in specific scenarios.

mod division;
mod invariants;
mod scenarios;
mod world;
