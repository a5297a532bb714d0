//! Tests through the real process, with stand-ins in threads of the test.

mod dispatch;
mod env;
mod keys;
mod jobs;
mod operators;
mod orders;
mod raw_target;
mod settings;
mod whole_answers;
mod whole_path;
