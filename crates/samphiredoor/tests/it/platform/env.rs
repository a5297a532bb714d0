//! The fleet of the stand-ins, with the program of this package.

pub use samphiredoor_standin::fleet::{Platform, route, whole_stream};

/// The `samphiredoor` program.
pub const BINARY: &str = env!("CARGO_BIN_EXE_samphiredoor");
