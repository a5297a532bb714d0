//! Tests of gateways on the users' platform, through the real process, with stand-ins of the platform.

mod cancellations;
mod cells;
mod discovery;
mod env;
mod jobs;
mod narrow_line;
mod soak;
mod stops;
mod streams;
