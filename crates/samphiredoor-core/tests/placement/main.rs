//! Tests of the placement: named situations, and what holds after every event whatever the order of events.

mod cells;
mod fleet;
mod harness;
mod overload;
mod promises;
mod situations;
