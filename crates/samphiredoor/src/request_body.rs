//! Reads the body of a caller's request, with limits on its size, on the wait for each piece, and on the memory of all bodies.
//!
//! A client that sends half of a body and then stops would otherwise hold its connection and the memory of what was
//! read forever. After the configured timeout it is answered and its connection is closed.

use std::{cell::Cell, fmt, pin::pin, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use hyper::{
    Response, StatusCode,
    body::{Body as HttpBody, Frame, Incoming},
};
use samphiredoor_core::{
    overload::buffer_budget::Holder,
    verdict::{Refusal, Verdict},
};
use samphiredoor_gateway::buffers::{Buffers, UnreadReason};
use samphiredoor_net::{
    Body, BoxError,
    body::{PieceError, next_piece},
    clock::Clock,
    pool::within,
};
use serde_json::json;

use crate::answers::{bad_request, json_response, verdict_response};

/// Memory of all bodies that are read whole, unless one of the largest size needs more.
const BODIES_BYTES: u64 = 64 * 1024 * 1024;
/// Part of a budget that request bodies may use.
const BODIES_PERCENT: u64 = 85;
/// A body that waits for memory at this number of checks in a row, with this time between them, is given up.
const MAX_MEMORY_WAITS: u32 = 10;
const MEMORY_WAIT: Duration = Duration::from_secs(1);
/// Time after which a caller may send a request again for which there was no memory.
const NO_MEMORY_RETRY_MS: u64 = 1_000;

/// Budget for the bodies that are read whole, of which each has at most `max_bytes`.
pub fn budget(max_bytes: usize, clock: Clock) -> Buffers {
    let limit_bytes = BODIES_BYTES.max(max_bytes as u64) * 100 / BODIES_PERCENT + 100;
    Buffers::new(limit_bytes, clock)
}

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
    /// The memory for bodies is used up.
    NoMemory,
}

impl std::error::Error for BodyError {}

impl fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            BodyError::TooLarge => "the body is too large",
            BodyError::TooSlow => "the body comes too slowly",
            BodyError::Truncated => "the body ended too early",
            BodyError::NoMemory => "there is no memory for the body",
        })
    }
}

impl From<UnreadReason> for BodyError {
    fn from(reason: UnreadReason) -> BodyError {
        match reason {
            UnreadReason::TooLarge => BodyError::TooLarge,
            UnreadReason::NoMemory => BodyError::NoMemory,
            UnreadReason::Cut(err) => err.downcast().map_or(BodyError::Truncated, |it| *it),
        }
    }
}

impl BodyError {
    /// Answer to the client. No part of the request was run or accepted.
    pub fn answer(self) -> Response<Body> {
        match self {
            BodyError::TooLarge => bad_request("body", "is larger than this gateway accepts"),
            BodyError::Truncated => bad_request("body", "ended too early"),
            BodyError::NoMemory => {
                let (retry_after_ms, reason) = (NO_MEMORY_RETRY_MS, Refusal::Overloaded);
                verdict_response(Verdict::NotRun { retry_after_ms, reason })
            }
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

    /// Reads the whole body into memory, within a budget. It is counted until it is dropped.
    pub async fn read_to_end(self, buffers: &Buffers) -> Result<Bytes, BodyError> {
        let (max_bytes, is_waiting) = (self.max_bytes, Cell::new(false));
        if self.incoming.size_hint().lower() > max_bytes as u64 {
            return Err(BodyError::TooLarge);
        }
        let body = Body::boxed(http_body_util::StreamBody::new(Box::pin(self.into_frames())));
        let reading = buffers.read_whole(Holder::RequestBody, body, max_bytes, &is_waiting);
        let (mut reading, mut waits) = (pin!(reading), 0);
        while waits < MAX_MEMORY_WAITS {
            if let Some(read) = within(MEMORY_WAIT, reading.as_mut()).await {
                return Ok(read?);
            }
            waits = if is_waiting.get() { waits + 1 } else { 0 };
        }
        Err(BodyError::NoMemory)
    }

    fn into_frames(self) -> impl stream::Stream<Item = Result<Frame<Bytes>, BoxError>> {
        stream::try_unfold(self, |mut body| async move {
            let piece = body.piece().await?;
            Ok(piece.map(|it| (Frame::data(it), body)))
        })
    }
}
