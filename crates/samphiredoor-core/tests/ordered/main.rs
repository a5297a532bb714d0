//! Tests of ordered jobs: concurrent writers of one log on a store that loses answers, and retries of items.

mod failures;
mod header;
mod items;
mod log;
mod log_end;
#[path = "../property/mod.rs"]
mod property;
mod reader;
mod store;
