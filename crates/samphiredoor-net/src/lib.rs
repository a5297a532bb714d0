//! HTTP/1.1 over compio, shared by the doors and the stand-ins.
//!
//! `serve` takes connections with bounds on their number, headers and waits, and ends them gracefully. `pool` keeps
//! connections towards one address and never reuses one that still owes an answer. `body` holds the one body type that
//! both sides exchange, `fetch` reads whole answers for as long as they come, `call` is what is sent to a target and may be
//! sent again, `answers` what a process answers itself. `socket` finds far sides that fell silent. `timed_inbox` is the inbox of
//! a task that also has to act by time. `metrics` is what the metrics of all processes are made of.

pub mod answers;
pub mod body;
pub mod call;
pub mod clock;
pub mod fetch;
pub mod metrics;
pub mod pool;
pub mod serve;
pub mod socket;
pub mod stall;
pub mod stream;
pub mod timed_inbox;

pub use body::{Body, BoxError};
pub use call::Call;
pub use pool::Pool;
pub use serve::{ServeLimits, Server};
