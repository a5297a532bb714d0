//! One request and its whole answer, for as long as the answer keeps coming.
//!
//! A time limit on a whole answer gives up large ones wherever many share a narrow line: what came is thrown away and
//! asked for again, and the line stays full of answers that nobody gets. So the limits here are on silence: before the
//! head, and between two pieces of the body.

use std::{pin::pin, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{HeaderMap, Request, StatusCode};

use crate::{
    Body, BoxError, Pool,
    pool::{ResponseBody, SendError, within},
};

/// Longest time for a body, whatever comes of it; nobody waits for it any more.
const LONGEST_BODY: Duration = Duration::from_secs(30);

/// How long an answer is waited for, and how large it may be.
#[derive(Debug, Clone, Copy)]
pub struct FetchLimits {
    /// Longest wait for the head of the answer, from the start of the connect on.
    pub head: Duration,
    /// Longest silence within its body.
    pub silence: Duration,
    /// Most bytes of its body.
    pub max_bytes: usize,
}

impl FetchLimits {
    /// Limits that allow as much silence before the head as within the body.
    pub fn new(silence: Duration, max_bytes: usize) -> FetchLimits {
        FetchLimits { head: silence, silence, max_bytes }
    }

    /// Sets the longest wait for the head.
    pub fn with_head_timeout(self, head: Duration) -> FetchLimits {
        FetchLimits { head, ..self }
    }
}

/// An answer that came whole.
#[derive(Debug)]
pub struct Fetched {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Why there is no whole answer.
#[derive(Debug)]
pub enum FetchError {
    /// No byte of the request reached the connection.
    NotSent(BoxError),
    /// The request may have arrived; its answer was cut or too large.
    MayHaveRun(BoxError),
    /// The far side fell silent; the request may have arrived.
    TimedOut {
        /// Bytes of the answer's body that had come.
        received_bytes: usize,
    },
}

impl From<SendError> for FetchError {
    fn from(err: SendError) -> FetchError {
        match err {
            SendError::NotSent(err) => FetchError::NotSent(err),
            SendError::MayHaveRun(err) => FetchError::MayHaveRun(err),
        }
    }
}

impl Pool {
    /// Makes one call and reads its whole answer.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub async fn fetch(
        &self,
        request: Request<Body>,
        limits: FetchLimits,
    ) -> Result<Fetched, FetchError> {
        self.fetch_noting(request, limits, || {}).await
    }

    /// As [`Pool::fetch`], and calls `on_piece` whenever something of an answer has come that is no refusal.
    ///
    /// # Errors
    ///
    /// Why there is no whole answer.
    pub async fn fetch_noting(
        &self,
        request: Request<Body>,
        limits: FetchLimits,
        on_piece: impl Fn(),
    ) -> Result<Fetched, FetchError> {
        let Some(response) = within(limits.head, self.send(request)).await else {
            return Err(FetchError::TimedOut { received_bytes: 0 });
        };
        let (head, body) = response?.into_parts();
        let is_success = head.status.is_success();
        let note = || {
            if is_success {
                on_piece()
            }
        };
        note();
        let reading = within(LONGEST_BODY, read(body, limits, note)).await;
        let body = reading.unwrap_or_else(|| Err(FetchError::MayHaveRun("it trickled".into())))?;
        Ok(Fetched { status: head.status, headers: head.headers, body })
    }
}

async fn read(
    body: ResponseBody,
    limits: FetchLimits,
    on_piece: impl Fn(),
) -> Result<Bytes, FetchError> {
    let mut body = pin!(body);
    let mut whole = BytesMut::new();
    loop {
        let frame = match within(limits.silence, body.frame()).await {
            None => return Err(FetchError::TimedOut { received_bytes: whole.len() }),
            Some(None) => return Ok(whole.freeze()),
            Some(Some(frame)) => frame.map_err(FetchError::MayHaveRun)?,
        };
        on_piece();
        let Ok(piece) = frame.into_data() else { continue };
        if whole.len() + piece.len() > limits.max_bytes {
            return Err(FetchError::MayHaveRun("the answer is too large".into()));
        }
        whole.extend_from_slice(&piece);
    }
}
