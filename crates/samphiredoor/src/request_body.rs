//! Reads the body of a caller's request, with limits on its size and on the wait for each piece.
//!
//! A client that sends half of a body and then stops would otherwise hold its connection and the memory of what was
//! read forever. After the configured timeout it is answered and its connection is closed.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::{Response, StatusCode, body::Incoming};
use samphiredoor_net::{
    Body,
    body::{PieceError, next_piece},
};
use serde_json::json;

use crate::answers::{bad_request, json_response};

/// A request body that is read piece by piece.
pub struct RequestBody {
    incoming: Incoming,
    max_bytes: usize,
    wait: Duration,
    bytes: usize,
}

/// Why a body was not read to the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than the configured limit.
    TooLarge,
    /// The client sent nothing for the configured timeout.
    TooSlow,
    /// The connection failed, or closed before the end of the framing.
    Truncated,
}

impl BodyError {
    /// Answer to the client. No part of the request was run or accepted.
    pub fn answer(self) -> Response<Body> {
        match self {
            BodyError::TooLarge => bad_request("body", "is larger than this gateway accepts"),
            BodyError::Truncated => bad_request("body", "ended too early"),
            BodyError::TooSlow => {
                let message = "body: timed out while waiting for more of it";
                let error = json!({ "type": "body_timeout", "message": message, "ran": "not run" });
                json_response(StatusCode::REQUEST_TIMEOUT, &json!({ "error": error }))
            }
        }
    }
}

impl RequestBody {
    /// Limits the body to `max_bytes` and the wait for each piece to `wait`.
    pub fn new(incoming: Incoming, max_bytes: usize, wait: Duration) -> RequestBody {
        RequestBody { incoming, max_bytes, wait, bytes: 0 }
    }

    /// Reads the next piece; `None` at the end.
    pub async fn piece(&mut self) -> Result<Option<Bytes>, BodyError> {
        let piece = match next_piece(&mut self.incoming, self.wait).await {
            Ok(piece) => piece,
            Err(PieceError::Cut) => return Err(BodyError::Truncated),
            Err(PieceError::TimedOut) => return Err(BodyError::TooSlow),
        };
        self.bytes += piece.as_ref().map_or(0, Bytes::len);
        if self.bytes > self.max_bytes {
            return Err(BodyError::TooLarge);
        }
        Ok(piece)
    }

    /// Reads the whole body into memory.
    pub async fn read_to_end(mut self) -> Result<Bytes, BodyError> {
        let Some(first) = self.piece().await? else { return Ok(Bytes::new()) };
        let Some(second) = self.piece().await? else { return Ok(first) };
        let mut whole = BytesMut::from(&first[..]);
        whole.extend_from_slice(&second);
        while let Some(piece) = self.piece().await? {
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }
}
