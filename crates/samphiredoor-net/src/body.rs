//! The body type of every request and answer.
//!
//! A body is either whole in memory or a stream. Streams are passed on frame by frame, so that a first token leaves in
//! the same turn of the scheduler in which it arrived.

use std::{
    pin::{Pin, pin},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures_util::{FutureExt, Stream, StreamExt, select_biased};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

/// Error of a body or connection; its text goes to logs.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

type BoxedBody = Pin<Box<dyn HttpBody<Data = Bytes, Error = BoxError>>>;

/// Body of a request or an answer.
pub enum Body {
    /// Whole content; `None` once it was sent.
    Full(Option<Bytes>),
    /// Content that arrives piece by piece.
    Stream(BoxedBody),
}

impl Body {
    /// Body without content.
    pub fn empty() -> Body {
        Body::Full(None)
    }

    /// Body with its whole content.
    pub fn full(content: impl Into<Bytes>) -> Body {
        let content = content.into();
        Body::Full((!content.is_empty()).then_some(content))
    }

    /// Body that passes on another one.
    pub fn boxed<B>(body: B) -> Body
    where
        B: HttpBody<Data = Bytes> + 'static,
        B::Error: Into<BoxError>,
    {
        Body::Stream(Box::pin(body.map_err(Into::into)))
    }

    /// Body made of a stream of pieces; an error cuts the connection, so that the reader sees the body as cut.
    pub fn stream<S>(pieces: S) -> Body
    where
        S: Stream<Item = Result<Bytes, BoxError>> + 'static,
    {
        let frames = pieces.map(|piece| piece.map(Frame::data));
        Body::Stream(Box::pin(http_body_util::StreamBody::new(frames)))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match self.get_mut() {
            Body::Full(content) => Poll::Ready(content.take().map(|it| Ok(Frame::data(it)))),
            Body::Stream(body) => body.as_mut().poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Full(content) => content.is_none(),
            Body::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(content) => {
                SizeHint::with_exact(content.as_ref().map_or(0, |it| it.len() as u64))
            }
            Body::Stream(body) => body.size_hint(),
        }
    }
}

/// Why a body could not be read whole.
#[derive(Debug)]
pub enum ReadError {
    /// More than the allowed bytes.
    TooLarge,
    /// The connection failed or the framing was cut.
    Cut(BoxError),
}

/// Reads a whole body of at most `max_bytes`.
pub async fn read_whole<B>(body: B, max_bytes: usize) -> Result<Bytes, ReadError>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    match http_body_util::Limited::new(body, max_bytes).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(err) if err.is::<http_body_util::LengthLimitError>() => Err(ReadError::TooLarge),
        Err(err) => Err(ReadError::Cut(err)),
    }
}

/// Why a body gave no next piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PieceError {
    /// The connection failed or the framing was cut.
    Cut,
    /// Nothing came in time.
    TimedOut,
}

/// Next piece of a body, waited for no longer than `wait`; `None` at the end of its framing. A piece that has arrived
/// is given also when no time is left.
pub async fn next_piece<B>(body: &mut B, wait: Duration) -> Result<Option<Bytes>, PieceError>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    let mut timeout = pin!(compio::time::sleep(wait).fuse());
    loop {
        let frame = select_biased! {
            frame = body.frame().fuse() => frame,
            () = timeout => return Err(PieceError::TimedOut),
        };
        match frame.transpose().map_err(|_| PieceError::Cut)?.map(Frame::into_data) {
            Some(Ok(piece)) => return Ok(Some(piece)),
            // Trailers are no piece.
            Some(Err(_)) => {}
            None => return Ok(None),
        }
    }
}
