//! Tests of the dispatcher: invariants under any order of events, and behaviour in specific situations.

mod harness;
mod leaving;
mod limits;
mod promises;
mod routing;
