//! Tests through the real process, with stand-ins in threads of the test.

mod dispatch;
mod env;
mod fleet;
mod operators;
mod orders;
mod relay;
mod settings;
mod stop;
mod whole_path;
