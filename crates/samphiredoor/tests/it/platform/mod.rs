//! Tests of gateway processes on the users' platform, with stand-ins for its store, targets and callers.

mod cells;
mod discovery;
mod ends;
mod env;
mod jobs;
mod slow_link;
mod soak;
mod stops;
mod streams;
