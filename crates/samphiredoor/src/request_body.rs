//! The body of a caller's request, read with bounds on its size and on each wait.
//!
//! A client that sends half of a body and then nothing would hold its connection and what was read for ever; it is
//! answered and cut after the wait that the settings allow.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::{Response, StatusCode, body::Incoming};
use samphiredoor_net::{
    Body,
    body::{PieceError, next_piece},
};
use serde_json::json;

use crate::answers::{bad_request, json_answer};

/// A body as it arrives.
pub struct RequestBody {
    incoming: Incoming,
    max_bytes: usize,
    wait: Duration,
    bytes: usize,
}

/// Why a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// More than the allowed bytes.
    TooLarge,
    /// The client did not send in time.
    TooSlow,
    /// The connection failed or the framing was cut.
    Cut,
}

impl BodyError {
    /// Answer to the client; nothing was run or accepted.
    pub fn answer(self) -> Response<Body> {
        match self {
            BodyError::TooLarge => bad_request("body", "is larger than this door takes"),
            BodyError::Cut => bad_request("body", "was cut"),
            BodyError::TooSlow => {
                let message = "body: no more of it came in time";
                let error = json!({ "type": "body_timeout", "message": message, "ran": "not run" });
                json_answer(StatusCode::REQUEST_TIMEOUT, &json!({ "error": error }))
            }
        }
    }
}

impl RequestBody {
    /// Body of at most `max_bytes`, each piece of which comes within `wait`.
    pub fn new(incoming: Incoming, max_bytes: usize, wait: Duration) -> RequestBody {
        RequestBody { incoming, max_bytes, wait, bytes: 0 }
    }

    /// The next piece; `None` at the end.
    pub async fn piece(&mut self) -> Result<Option<Bytes>, BodyError> {
        let piece = match next_piece(&mut self.incoming, self.wait).await {
            Ok(piece) => piece,
            Err(PieceError::Cut) => return Err(BodyError::Cut),
            Err(PieceError::TimedOut) => return Err(BodyError::TooSlow),
        };
        self.bytes += piece.as_ref().map_or(0, Bytes::len);
        if self.bytes > self.max_bytes {
            return Err(BodyError::TooLarge);
        }
        Ok(piece)
    }

    /// The whole body.
    pub async fn whole(mut self) -> Result<Bytes, BodyError> {
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
