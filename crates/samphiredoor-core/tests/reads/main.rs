//! A model, explored exhaustively within bounds, of the reads of a job's results at any gateway.
//!
//! The promise: once a caller has read the result at a position, every later read at any gateway that is in touch returns
//! the same bytes at that position. `world` holds the log in the store and the processes, `actions` what can happen to them,
//! `process` one of them with the real log, the real knowledge of its end and the real decision on an answer, and
//! `explorer` goes through all states.
//!
//! Deeper runs: `SAMPHIREDOOR_DEPTH=99 cargo test --release -p samphiredoor-core --test reads -- --nocapture NAME`.

mod actions;
mod explorer;
mod process;
mod scenarios;
mod world;
