//! Simulated parts of the users' platform for tests: its store, the replicas behind the gateways (targets), and faulty
//! network links to both, as the platform's published pages describe them.
//!
//! All state is in memory. Faults that the pages allow can be injected, so that gateways are tested against them
//! without the platform. The modules [`soak`] and [`emulate`] are built on these parts: randomized tests of real
//! processes, and simulations in virtual time.

pub mod batch_rates;
pub mod emulate;
pub mod fleet;
pub mod http;
pub mod link;
pub mod platform_store;
pub mod platform_target;
pub mod process;
pub mod run_chain;
pub mod soak;
