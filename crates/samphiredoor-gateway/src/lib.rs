//! The gateway: callers' requests and batch jobs, routed to targets that register themselves.
//!
//! Where a thing goes:
//!
//! - a **request** comes in at `front`, gets its target from `placement`, goes out through `target_client`, and comes
//!   back event by event through `front::passing`;
//! - a **job** comes in at `jobs::submit`, is owned by a `jobs::job_task`, its items run through `jobs::item_run`, and
//!   its results are read through `jobs::reads` at any gateway;
//! - **routes** and **targets** come from the store through `discovery`, which watches it (`watch`, in turns with other
//!   gateways: `fleet`); `store_health` knows whether it answers;
//! - **other gateways** are met in `peers`;
//! - what a process needs to start while the store is lost comes from `mirror`, which `storage` runs.
//!
//! `platform_api` holds the traits by which the platform is met; no name of the platform stands in this package. `process` puts
//! all parts together from a [`config::GatewayConfig`]. `settings` reads settings files of any process.

pub mod config;
pub mod logging;
pub mod platform_api;
pub mod process;
pub mod settings;
pub mod storage;

mod discovery;
mod events;
mod fleet;
mod front;
mod jobs;
mod metrics;
mod mirror;
mod peers;
mod placement;
mod routes;
mod seen_versions;
mod store_health;
mod target_client;
mod watch;
