//! Tests of lending: what holds under any order of events, and what it does in named situations.

mod division;
mod promises;
mod situations;
mod world;
