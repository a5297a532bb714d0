//! One request and its complete response, with idle timeouts.
//!
//! A timeout on the whole response would abort large responses wherever many share a slow link: the received part is
//! discarded and requested again, and the link stays full of responses that are never completed. So the timeouts limit only
//! the wait for the head and the time between two pieces of the body.

use std::{pin::pin, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{HeaderMap, Request, StatusCode};

use crate::{
    Body, BoxError, Pool,
    pool::{ResponseBody, SendError, within},
};

/// Timeout of the whole body, even if it keeps arriving; after this time its reader has no more use for it.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeouts and size limit of a response.
#[derive(Debug, Clone, Copy)]
pub struct FetchLimits {
    /// Limits the wait for the head of the response, including the connect.
    pub head_timeout: Duration,
    /// Limits the time between two pieces of its body.
    pub idle_timeout: Duration,
    /// Maximum size of its body.
    pub max_bytes: usize,
}

impl FetchLimits {
    /// Limits with the same timeout for the head and within the body.
    pub fn new(idle_timeout: Duration, max_bytes: usize) -> FetchLimits {
        FetchLimits { head_timeout: idle_timeout, idle_timeout, max_bytes }
    }

    /// Sets the timeout for the head.
    pub fn with_head_timeout(self, head_timeout: Duration) -> FetchLimits {
        FetchLimits { head_timeout, ..self }
    }
}

/// A complete response.
#[derive(Debug)]
pub struct Fetched {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Why there is no complete response.
#[derive(Debug)]
pub enum FetchError {
    /// No byte of the request was written to a connection.
    NotSent(BoxError),
    /// The request may have arrived; its response was cut off, too slow or too large.
    MayHaveRun(BoxError),
    /// The server sent nothing before a timeout; the request may have arrived.
    TimedOut {
        /// Bytes of the response body that had been received.
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
    /// Sends a request and reads its complete response.
    ///
    /// # Errors
    ///
    /// There is no complete response; the error shows whether the request may have arrived.
    pub async fn fetch(
        &self,
        request: Request<Body>,
        limits: FetchLimits,
    ) -> Result<Fetched, FetchError> {
        self.fetch_with_progress(request, limits, || {}).await
    }

    /// Like [`Pool::fetch`]; also calls `on_progress` for the head and each piece of a response with a success status.
    ///
    /// # Errors
    ///
    /// As for [`Pool::fetch`].
    pub async fn fetch_with_progress(
        &self,
        request: Request<Body>,
        limits: FetchLimits,
        on_progress: impl Fn(),
    ) -> Result<Fetched, FetchError> {
        let Some(response) = within(limits.head_timeout, self.send(request)).await else {
            return Err(FetchError::TimedOut { received_bytes: 0 });
        };
        let (head, body) = response?.into_parts();
        let is_success = head.status.is_success();
        let report_progress = || {
            if is_success {
                on_progress()
            }
        };
        report_progress();
        let reading = within(BODY_TIMEOUT, read(body, limits, report_progress)).await;
        let body = reading
            .unwrap_or_else(|| Err(FetchError::MayHaveRun("the response took too long".into())))?;
        Ok(Fetched { status: head.status, headers: head.headers, body })
    }
}

async fn read(
    body: ResponseBody,
    limits: FetchLimits,
    on_progress: impl Fn(),
) -> Result<Bytes, FetchError> {
    let mut body = pin!(body);
    let mut received = BytesMut::new();
    loop {
        let frame = match within(limits.idle_timeout, body.frame()).await {
            None => return Err(FetchError::TimedOut { received_bytes: received.len() }),
            Some(None) => return Ok(received.freeze()),
            Some(Some(frame)) => frame.map_err(FetchError::MayHaveRun)?,
        };
        on_progress();
        let Ok(piece) = frame.into_data() else { continue };
        if received.len() + piece.len() > limits.max_bytes {
            return Err(FetchError::MayHaveRun("the response is too large".into()));
        }
        received.extend_from_slice(&piece);
    }
}
