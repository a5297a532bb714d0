//! The gateway: routes requests and batch jobs of callers to targets that register themselves in the store.
//!
//! Where to find what:
//!
//! - a **request** arrives at `front`, gets its target from `placement`, is sent by `target_client`, and its answer is
//!   forwarded event by event by `front::forwarded_stream`;
//! - `event_stream` reads the **answers** of targets that are event streams, and decides whether they are whole;
//!   `whole_answer` does so for others; `event_sequence` tells events of another run from those that were asked for;
//! - a **job** arrives at `jobs::submit`, is owned by a `jobs::job_task`, its items run through `jobs::item_run`, and
//!   its results can be read through `jobs::reads` at any gateway;
//! - **routes** and **targets** come from the store through `discovery`, which watches them with `watch`;
//!   `watch_schedule` staggers the watches of all gateways, and `store_health` tracks whether the store answers;
//! - `peers` exchanges load, routes and job owners with **other gateways**;
//! - `buffers` bounds the **memory** of what is held for callers, or until the store has it; `client_limits` derives this
//!   and the limits on connections from the memory of the host;
//! - `mirror` serves what a gateway needs to start during an outage of the store; `storage` runs it.
//!
//! `platform_api` has the traits that connect the gateway to its platform; nothing in this package is specific to one platform.
//! `process` starts all parts from a [`config::GatewayConfig`], and `settings` reads the settings files of any process.

pub mod buffers;
pub mod client_limits;
pub mod config;
pub mod event_sequence;
pub mod event_stream;
pub mod events;
pub mod idle_limit;
pub mod lists;
pub mod logging;
pub mod panic_guard;
pub mod peers;
pub mod platform_api;
pub mod process;
pub mod settings;
pub mod shutdown;
pub mod storage;

mod discovery;
mod front;
pub mod jobs;
mod metrics;
pub mod mirror;
mod placement;
mod readiness;
mod routes;
mod seen_versions;
pub mod segments;
mod service_gauges;
mod share_log;
mod signals;
mod silence;
mod store_health;
mod target_client;
mod target_probes;
mod target_state;
pub mod target_table;
pub mod watch;
mod watch_schedule;
mod whole_answer;
