//! The operators' query and command language.
//!
//! A query has a noun, conditions, an order and a limit: `jobs where state = running order by due_unix_ms limit 10`. A
//! command has a verb and an object: `drain target engine-3`. [`parse`] checks both against the nouns and their fields, and
//! its errors mark the word that is wrong; [`select`] filters, sorts and limits rows.

mod ast;
mod error;
mod parse;
mod rows;
mod token;

pub use ast::{Command, Condition, Noun, Op, Order, Query, Settable, Statement};
pub use error::ParseError;
pub use parse::parse;
pub use rows::{Row, select};
