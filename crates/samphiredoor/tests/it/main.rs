//! Integration tests with real processes; the store and the targets run in threads of the test.

mod broken_off_heads;
mod dispatch;
mod endless_answers;
mod env;
mod fleet;
mod jobs;
mod keys;
mod lending;
mod operators;
mod orders;
mod platform;
mod quarantine;
mod raw_target;
mod relay;
mod settings;
mod slow_clients;
mod stop;
mod whole_answers;
mod whole_path;
mod workspaces;
