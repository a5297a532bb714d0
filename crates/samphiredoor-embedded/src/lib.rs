//! A small object API and a small engine, kept in memory.
//!
//! `samphiredoor dev` runs them inside its one process; the stand-ins run them as processes of their own. They follow
//! the published conventions of the systems whose place they take: JSON objects with versions over HTTP, and the usual
//! completion calls with server-sent events. Nothing here is kept after the process ends.

pub mod engine;
pub mod engine_http;
pub mod engine_record;
pub mod json;
pub mod objects;
pub mod objects_http;
pub mod orders_http;
pub mod prefix_cache;
pub mod service_http;
