//! Decides whether an answer that is no event stream is whole.
//!
//! An answer without a length or chunks ends with its connection, which a target that fails may close in order as well. For
//! JSON its content shows where it ends; of other content an orderly close has to suffice.

use hyper::{
    HeaderMap,
    header::{self, HeaderValue},
};
use samphiredoor_net::pool::Framing;
use serde::de::IgnoredAny;

/// Whether an answer whose body has ended in order has been broken off.
pub fn is_broken_off(framing: Framing, headers: &HeaderMap, body: &[u8]) -> bool {
    framing == Framing::Close && is_json(headers) && ends_inside_value(body)
}

fn is_json(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE).map(HeaderValue::to_str);
    let Some(Ok(content_type)) = content_type else { return false };
    let media_type = content_type.split(';').next().unwrap_or_default().trim();
    media_type.eq_ignore_ascii_case("application/json") || media_type.ends_with("+json")
}

fn ends_inside_value(body: &[u8]) -> bool {
    serde_json::from_slice::<IgnoredAny>(body).is_err_and(|err| err.is_eof())
}
