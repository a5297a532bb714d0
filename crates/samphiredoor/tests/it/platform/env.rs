//! Stand-ins of the platform, and the program that the tests start.

pub use samphiredoor_standin::fleet::{Platform, route, whole_stream};

/// The `samphiredoor` program.
pub const BINARY: &str = env!("CARGO_BIN_EXE_samphiredoor");
