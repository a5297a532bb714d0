//! HTTP/1.1 over compio, shared by the gateways and the simulated servers of tests and trials.
//!
//! `serve` accepts connections with limits on their number, headers and waits, and shuts them down gracefully. `pool` keeps
//! connections to one address and never reuses one whose response is incomplete. `body` has the body type of all requests
//! and responses, `fetch` reads complete responses under idle timeouts, `read_ahead` buffers bodies for slow readers,
//! `call` is a request to a target that can be sent again, and `answers` builds the responses of the process itself.
//! `response_limits` ends responses that arrive without end and have no content.
//! `socket` sets the timeouts that detect an unreachable remote end, `stall` detects clients that do not read, `activity`
//! records what a connection waits for, and `stream` connects hyper to compio. `timed_inbox` is the message
//! queue of a task that also does periodic work. `clock` reads the time, and `metrics` creates and registers metrics.

pub mod activity;
pub mod answers;
pub mod body;
pub mod call;
pub mod clock;
pub mod fetch;
pub mod metrics;
pub mod permits;
pub mod pool;
pub mod probe;
pub mod read_ahead;
pub mod response_limits;
pub mod serve;
pub mod socket;
pub mod stall;
pub mod stream;
pub mod timed_inbox;

pub use body::{Body, BoxError};
pub use call::Call;
pub use pool::Pool;
pub use serve::{PeerAddress, ServeLimits, Server};
