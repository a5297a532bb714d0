//! Tests through the real process, with stand-ins in threads of the test.

mod dispatch;
mod env;
mod lending;
mod operators;
mod orders;
mod settings;
mod whole_path;
