//! Tests of gateway processes on the users' platform, with stand-ins for its store, targets and callers.

mod cells;
mod discovery;
mod ends;
mod env;
mod jobs;
mod narrow_line;
mod soak;
mod stops;
mod streams;
