//! Tests of the placement: named situations, and what holds after every event whatever the order of events.

mod harness;
mod promises;
mod situations;
