//! Tests of batch capacity: invariants under any order of events, and behaviour in specific situations.

mod division;
mod promises;
mod situations;
mod world;
