//! Tests of the dispatcher: its promises under any order of events, and what it does in named situations.

mod harness;
mod leaving;
mod limits;
mod promises;
mod routing;
