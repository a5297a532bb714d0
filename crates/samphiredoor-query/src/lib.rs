//! The operators' query and command language.
//!
//! A query names a noun, filters, an order and a limit: `jobs where state = running order by due limit 10`. A command
//! names a verb and an object: `drain target engine-3`. [`parse`] checks both against the nouns and their fields and
//! points at the word that is wrong; [`select`] filters, orders and cuts rows.

mod ast;
mod error;
mod parse;
mod rows;
mod token;

pub use ast::{Command, Condition, Noun, Op, Order, Query, Settable, Statement};
pub use error::ParseError;
pub use parse::parse;
pub use rows::{Row, select};
