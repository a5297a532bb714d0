//! A small object API, inference engine and plain service that keep all state in memory.
//!
//! `samphiredoor dev` runs them inside its one process; the `standin` program runs each as a separate process. They
//! follow the published conventions of the systems that they replace: versioned JSON objects over HTTP, and completion
//! calls with server-sent events. Nothing is persisted.

pub mod engine;
pub mod engine_http;
pub mod engine_record;
pub mod json;
pub mod objects;
pub mod objects_http;
pub mod orders_http;
pub mod prefix_cache;
pub mod service_http;
